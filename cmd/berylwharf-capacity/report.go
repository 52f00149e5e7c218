package main

import (
	"fmt"
	"io"
	"math"
	"strings"
)

// sample holds the measurements for one node at one fleet size.
type sample struct {
	workers           int
	stateBytes        float64 // size of the encoded state
	catchUp           float64 // seconds from the start of a node with no state in memory until its state is loaded
	rss               float64 // resident set size in MiB
	idleCPU           float64 // CPU usage without changes, in percent of a core
	changeCPU         float64 // additional CPU time for each change, in milliseconds
	logBytes          float64 // bytes per second between an idle node and the platform, without VM list bodies
	listBytes         float64 // bytes per second of VM list bodies to an idle node
	probeBytes        float64 // bytes per second between an idle node and the backend servers
	changeBytes       float64 // additional bytes for each change between a node and the platform
	propagationMedian float64 // milliseconds from the response that accepts a change at one node until another node has it
	propagationMax    float64
}

type row struct {
	name   string
	unit   string
	format string
	value  func(s *sample) float64
}

var rows = []row{
	{"encoded state", "KiB", "%.1f", func(s *sample) float64 { return s.stateBytes / 1024 }},
	{"catch-up with empty memory", "s", "%.2f", func(s *sample) float64 { return s.catchUp }},
	{"resident memory", "MiB", "%.1f", func(s *sample) float64 { return s.rss }},
	{"processor, no changes", "% of a core", "%.2f", func(s *sample) float64 { return s.idleCPU }},
	{"processor for one change", "ms", "%.2f", func(s *sample) float64 { return s.changeCPU }},
	{"log service, no changes", "B/s", "%.0f", func(s *sample) float64 { return s.logBytes }},
	{"log service for one change", "B", "%.0f", func(s *sample) float64 { return s.changeBytes }},
	{"VM list", "B/s", "%.0f", func(s *sample) float64 { return s.listBytes }},
	{"health probes", "B/s", "%.0f", func(s *sample) float64 { return s.probeBytes }},
	{"change in force at another node, median", "ms", "%.1f", func(s *sample) float64 { return s.propagationMedian }},
	{"change in force at another node, greatest", "ms", "%.1f", func(s *sample) float64 { return s.propagationMax }},
}

func printReport(out io.Writer, samples []sample) {
	w := new(strings.Builder)
	fmt.Fprint(w, "| Measured for one node |")
	for i := range samples {
		fmt.Fprintf(w, " %d workers |", samples[i].workers)
	}
	fmt.Fprint(w, " Slope for 1,000 workers | R² |\n|---|")
	for range samples {
		fmt.Fprint(w, "---:|")
	}
	fmt.Fprint(w, "---:|---:|\n")
	for _, r := range rows {
		fmt.Fprintf(w, "| %s (%s) |", r.name, r.unit)
		xs, ys := make([]float64, len(samples)), make([]float64, len(samples))
		for i := range samples {
			xs[i], ys[i] = float64(samples[i].workers), r.value(&samples[i])
			fmt.Fprintf(w, " "+r.format+" |", ys[i])
		}
		slope, r2 := fit(xs, ys)
		fmt.Fprintf(w, " "+r.format+" | %.2f |\n", slope*1000, r2)
	}
	_, _ = io.WriteString(out, w.String())
}

// fit returns the slope of the least-squares line and the coefficient of determination R².
func fit(xs, ys []float64) (slope, r2 float64) {
	n := float64(len(xs))
	var mx, my float64
	for i := range xs {
		mx += xs[i] / n
		my += ys[i] / n
	}
	var sxy, sxx, syy float64
	for i := range xs {
		sxy += (xs[i] - mx) * (ys[i] - my)
		sxx += (xs[i] - mx) * (xs[i] - mx)
		syy += (ys[i] - my) * (ys[i] - my)
	}
	if sxx == 0 || syy == 0 {
		return 0, math.NaN()
	}
	return sxy / sxx, sxy * sxy / (sxx * syy)
}
