package jobmanager

import (
	"net/http"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// sampleSize is the reservoir size of a latency histogram.
const sampleSize = 512

// nodeMetrics holds the counters and histograms of a node.
type nodeMetrics struct {
	registry     metrics.Registry
	storeLatency metrics.Histogram // duration of a stored commit in microseconds
	callLatency  metrics.Histogram // duration of a forwarded request in microseconds
}

func newNodeMetrics() *nodeMetrics {
	m := &nodeMetrics{registry: metrics.NewRegistry()}
	m.storeLatency = metrics.GetOrRegisterHistogram("store.commit.us", m.registry, metrics.NewUniformSample(sampleSize))
	m.callLatency = metrics.GetOrRegisterHistogram("callers.request.us", m.registry, metrics.NewUniformSample(sampleSize))
	return m
}

// count increments the counter of an event kind. Kinds are a small set of constants, so the registry stays small.
func (m *nodeMetrics) count(kind string) {
	metrics.GetOrRegisterCounter("job."+strings.ReplaceAll(kind, " ", "."), m.registry).Inc(1)
}

// countKey increments a counter of the API keys: an outcome of a decision, or another short constant.
func (m *nodeMetrics) countKey(kind string) {
	metrics.GetOrRegisterCounter("keys."+strings.ReplaceAll(kind, " ", "."), m.registry).Inc(1)
}

// MetricsRegistry returns the registry that Metrics serves.
func (n *Node) MetricsRegistry() metrics.Registry { return n.metrics.registry }

// Metrics serves the counters and histograms as JSON.
func (n *Node) Metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	metrics.WriteJSONOnce(n.metrics.registry, w)
}

// registerJobMemory registers the gauges of the memory that the state of jobs takes and may take, in bytes.
func (n *Node) registerJobMemory() {
	// The registry is new, so the names are not taken.
	_ = n.metrics.registry.Register("jobs.memory.bytes", metrics.NewFunctionalGauge(n.jobMemory.Used))
	_ = n.metrics.registry.Register("jobs.memory.max", metrics.NewFunctionalGauge(n.jobMemory.Limit))
}
