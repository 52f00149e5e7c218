package flood

import (
	"bytes"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"strings"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"

	"github.com/berylwharf/berylwharf/load"
)

// Sizes of a plot in pixels.
const (
	plotWidth   = 860
	panelHeight = 220
	plotLeft    = 60
	plotRight   = 20
	panelTop    = 50
	panelGap    = 60
	// bucketDuration is the time resolution of a plot. Between peaks, a bucket holds only a few requests.
	bucketDuration = 500 * time.Millisecond
)

var colors = []string{"#1b6ca8", "#c0392b", "#d68910", "#6c3483"}

// series is one line of a panel. It has one value for each bucket, NaN if the bucket has no requests.
type series struct {
	name   string
	color  string
	values []float64
}

// panel is one diagram of a plot.
type panel struct {
	title   string
	axisMax float64 // value at the top of the vertical axis
	lines   []series
}

// WritePlots writes one SVG file for each scenario.
func (r *Report) WritePlots(dir string) error {
	for _, sc := range Scenarios() {
		var kept, latency []series
		for _, s := range r.Samples {
			if s.Scenario.Name != sc.Name {
				continue
			}
			k, l := s.timeline()
			color := colors[len(kept)%len(colors)]
			kept = append(kept, series{s.Policy, color, k})
			latency = append(latency, series{s.Policy, color, l})
		}
		if len(kept) == 0 {
			continue
		}
		svg := draw(sc, []panel{
			{"kept part of the work of customers that do not flood", 1, kept},
			{"p99 latency of the same work, ms", latencyAxisMax(latency), latency},
		})
		if err := os.WriteFile(filepath.Join(dir, sc.Name+".svg"), svg, 0o644); err != nil {
			return err
		}
	}
	return nil
}

// timeline returns the fraction of requests answered in time and the p99 latency in milliseconds for each bucket. It
// counts, by scheduled time, the work at the flooded service of customers that do not flood.
func (s *Sample) timeline() (kept, latency []float64) {
	n := int(s.traceDuration() / bucketDuration)
	demand, answered := make([]int, n), make([]int, n)
	histograms := make([]*hdr.Histogram, n)
	for i := range s.Work.Outcomes {
		o := &s.Work.Outcomes[i]
		b := int(arrivalTime(o.Event) / bucketDuration)
		if !toFloodedService(o.Event) || s.Scenario.hasFloodFrom(o.Event.Customer) || b >= n {
			continue
		}
		demand[b]++
		if inTime(o) {
			answered[b]++
		}
		if o.Kind == load.KindAnswered {
			if histograms[b] == nil {
				histograms[b] = hdr.New(1, histogramMax, histogramDigits)
			}
			// Latencies are below the maximum of the histogram, so RecordValue cannot fail.
			_ = histograms[b].RecordValue(max(o.Latency.Microseconds(), 1))
		}
	}
	kept, latency = make([]float64, n), make([]float64, n)
	for b := range n {
		kept[b], latency[b] = math.NaN(), math.NaN()
		if demand[b] > 0 {
			kept[b] = ratio(answered[b], demand[b])
		}
		if histograms[b] != nil {
			latency[b] = quantile(histograms[b], 99)
		}
	}
	return kept, latency
}

func (s *Sample) traceDuration() time.Duration {
	if s.Scenario.Name == Saturated {
		return saturatedTraceDuration
	}
	return workTraceDuration
}

// latencyAxisMax returns the maximum of the vertical axis: the greatest value rounded up to a multiple of 500, at least
// 500.
func latencyAxisMax(lines []series) float64 {
	maximum := 1.0
	for _, l := range lines {
		for _, v := range l.values {
			if !math.IsNaN(v) {
				maximum = max(maximum, v)
			}
		}
	}
	return math.Ceil(maximum/500) * 500
}

// draw returns a plot of the panels, one below the other, as an SVG document.
func draw(sc Scenario, panels []panel) []byte {
	var b bytes.Buffer
	height := panelTop + len(panels)*(panelHeight+panelGap)
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="12">`+"\n",
		plotWidth, height)
	fmt.Fprintf(&b, `<rect width="%d" height="%d" fill="white"/>`+"\n", plotWidth, height)
	fmt.Fprintf(&b, `<text x="%d" y="20" font-size="15">%s</text>`+"\n", plotLeft, sc.Title)
	for i, p := range panels {
		p.draw(&b, sc, float64(panelTop+i*(panelHeight+panelGap)))
	}
	b.WriteString("</svg>\n")
	return b.Bytes()
}

// draw writes the panel with its upper edge at top. The time of the floods is shaded.
func (p panel) draw(b *bytes.Buffer, sc Scenario, top float64) {
	width := float64(plotWidth - plotLeft - plotRight)
	n := len(p.lines[0].values)
	totalSeconds := (time.Duration(n) * bucketDuration).Seconds()
	x := func(seconds float64) float64 { return plotLeft + seconds/totalSeconds*width }
	y := func(v float64) float64 { return top + panelHeight*(1-v/p.axisMax) }
	fmt.Fprintf(b, `<text x="%d" y="%.0f">%s</text>`+"\n", plotLeft, top-6, p.title)
	if len(sc.Floods) > 0 {
		from, to := x(floodStart.Seconds()), x(floodEnd.Seconds())
		fmt.Fprintf(b, `<rect x="%.1f" y="%.1f" width="%.1f" height="%d" fill="#f3e6d8"/>`+"\n", from, top, to-from, panelHeight)
	}
	for i := range 5 {
		v := p.axisMax * float64(i) / 4
		fmt.Fprintf(b, `<path d="M%d %.1fH%d" stroke="#ddd"/><text x="%d" y="%.1f" text-anchor="end">%.4g</text>`+"\n",
			plotLeft, y(v), plotWidth-plotRight, plotLeft-6, y(v)+4, v)
	}
	for s := 0.0; s <= totalSeconds; s++ {
		fmt.Fprintf(b, `<text x="%.1f" y="%.1f" text-anchor="middle">%.0f s</text>`+"\n", x(s), top+panelHeight+16, s)
	}
	for i, l := range p.lines {
		fmt.Fprintf(b, `<path d="%s" fill="none" stroke="%s" stroke-width="2"/>`+"\n", l.path(x, y), l.color)
		fmt.Fprintf(b, `<text x="%d" y="%.1f" fill="%s">%s</text>`+"\n", plotLeft+i*130, top+panelHeight+34, l.color, l.name)
	}
}

// path returns the SVG path data of a line through the midpoints of the buckets. It skips buckets without requests.
func (l series) path(x, y func(float64) float64) string {
	var parts []string
	for i, v := range l.values {
		if math.IsNaN(v) {
			continue
		}
		command := "L"
		if len(parts) == 0 {
			command = "M"
		}
		middle := (time.Duration(i)*bucketDuration + bucketDuration/2).Seconds()
		parts = append(parts, fmt.Sprintf("%s%.1f %.1f", command, x(middle), y(v)))
	}
	return strings.Join(parts, " ")
}
