package jobmanager

import (
	"net/http"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// sampleSize is the reservoir of a latency histogram.
const sampleSize = 512

// nodeMetrics are the counters and histograms of a node.
type nodeMetrics struct {
	registry     metrics.Registry
	storeLatency metrics.Histogram // microseconds of a stored commit
	callLatency  metrics.Histogram // microseconds of a caller's request
}

func newNodeMetrics() *nodeMetrics {
	m := &nodeMetrics{registry: metrics.NewRegistry()}
	m.storeLatency = metrics.GetOrRegisterHistogram("store.commit.us", m.registry, metrics.NewUniformSample(sampleSize))
	m.callLatency = metrics.GetOrRegisterHistogram("callers.request.us", m.registry, metrics.NewUniformSample(sampleSize))
	return m
}

// count counts events of a kind. The kinds are few constants.
func (m *nodeMetrics) count(kind string) {
	metrics.GetOrRegisterCounter("job."+strings.ReplaceAll(kind, " ", "."), m.registry).Inc(1)
}

// Metrics serves the counters and histograms as JSON.
func (n *Node) Metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	metrics.WriteJSONOnce(n.metrics.registry, w)
}
