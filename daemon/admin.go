package daemon

import (
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// Readiness reports whether this node can serve callers.
type Readiness interface {
	// Ready returns "" if the node is ready, else the reason why it is not.
	Ready() (reason string)
}

// newAdminHandler returns the handler of /healthz (the process is running), /readyz (the platform's load balancer may route
// callers to this node) and /metrics.
func newAdminHandler(ready Readiness, registry metrics.Registry) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "ok\n")
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if reason := ready.Ready(); reason != "" {
			http.Error(w, reason, http.StatusServiceUnavailable)
			return
		}
		_, _ = io.WriteString(w, "ready\n")
	})
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		writeMetrics(w, registry)
	})
	return mux
}

// writeMetrics writes one line per metric, sorted by name. A line has the name, followed by the values as key=value pairs.
// The unit of timers is the nanosecond.
func writeMetrics(w io.Writer, registry metrics.Registry) {
	var lines []string
	registry.Each(func(name string, m any) {
		lines = append(lines, name+" "+formatMetric(m))
	})
	sort.Strings(lines)
	_, _ = io.WriteString(w, strings.Join(lines, "\n")+"\n")
}

func formatMetric(m any) string {
	switch m := m.(type) {
	case metrics.Counter:
		return fmt.Sprintf("count=%d", m.Count())
	case metrics.Gauge:
		return fmt.Sprintf("value=%d", m.Value())
	case metrics.GaugeFloat64:
		return fmt.Sprintf("value=%g", m.Value())
	case metrics.Meter:
		s := m.Snapshot()
		return fmt.Sprintf("count=%d rate1=%.2f rate5=%.2f", s.Count(), s.Rate1(), s.Rate5())
	case metrics.Histogram:
		s := m.Snapshot()
		return formatQuantiles(s.Count(), s.Mean(), s.Percentiles(quantiles))
	case metrics.Timer:
		s := m.Snapshot()
		return formatQuantiles(s.Count(), s.Mean(), s.Percentiles(quantiles))
	}
	return "unsupported"
}

var quantiles = []float64{0.5, 0.99, 0.999}

func formatQuantiles(count int64, mean float64, p []float64) string {
	return fmt.Sprintf("count=%d mean=%.0f p50=%.0f p99=%.0f p999=%.0f", count, mean, p[0], p[1], p[2])
}
