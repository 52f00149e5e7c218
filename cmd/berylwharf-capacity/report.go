package main

import (
	"fmt"
	"io"
	"math"
	"strings"
)

// sample is what was measured at one fleet size, for one node.
type sample struct {
	workers       int
	stateBytes    float64 // encoded state, from the snapshot in the log
	catchUp       float64 // seconds from the start of a node with empty memory until its state is complete
	rss           float64 // MiB
	idleCPU       float64 // per cent of a core
	changeCPU     float64 // milliseconds of processor time for each change
	logBytes      float64 // bytes a second between one idle node and the log service
	listBytes     float64 // bytes a second between one idle node and the VM list
	probeBytes    float64 // bytes a second between one idle node and the backend servers
	changeBytes   float64 // bytes for each change between one node and the log service
	inForceMedian float64 // milliseconds from the accepted answer at one node until another node has it
	inForceMax    float64
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
	{"change in force at another node, median", "ms", "%.1f", func(s *sample) float64 { return s.inForceMedian }},
	{"change in force at another node, greatest", "ms", "%.1f", func(s *sample) float64 { return s.inForceMax }},
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

// fit returns the slope of the least-squares line and the share of the variance that it explains.
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
