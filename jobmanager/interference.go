package jobmanager

import (
	"github.com/rcrowley/go-metrics"

	"github.com/berylwharf/berylwharf/job"
)

// interferenceGauges are the names of the gauges of a pool.
var interferenceGauges = [...]string{"interference.kinds.", "interference.pairs."}

// recordInterference adds what a pool did about interference to the counters of the node and sets the gauges of the pool.
func (m *nodeMetrics) recordInterference(pool string, s job.InterferenceStats) {
	for _, c := range []struct {
		name  string
		count int64
	}{
		{"interference.evidence", s.Evidence},
		{"interference.no.evidence", s.NoEvidence},
		{"interference.kept.apart", s.KeptApart},
		{"interference.not.kept.apart", s.Together},
		{"interference.speed.raised", s.Raised},
		{"interference.start.slowed", s.FirstSlow},
	} {
		metrics.GetOrRegisterCounter(c.name, m.registry).Inc(c.count)
	}
	for i, value := range []int{s.Kinds, s.Pairs} {
		metrics.GetOrRegisterGauge(interferenceGauges[i]+pool, m.registry).Update(int64(value))
	}
}

// dropInterference removes the gauges of a pool that the node no longer owns.
func (m *nodeMetrics) dropInterference(pool string) {
	for _, name := range interferenceGauges {
		m.registry.Unregister(name + pool)
	}
}
