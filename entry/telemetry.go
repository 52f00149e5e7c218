package entry

import (
	"sync"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/berylwharf/berylwharf/admission"
	"github.com/berylwharf/berylwharf/verdict"
)

const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// refusals counts refusals by verdict and reason.
type refusals struct {
	registry metrics.Registry
	counters sync.Map // map[refusalKey]metrics.Counter
}

type refusalKey struct {
	verdict verdict.Verdict
	reason  verdict.Reason
}

func (r *refusals) count(e *verdict.Error) {
	k := refusalKey{e.Verdict, e.Reason}
	c, ok := r.counters.Load(k)
	if !ok {
		name := "entry.refused." + string(k.verdict) + "." + string(k.reason)
		c, _ = r.counters.LoadOrStore(k, metrics.GetOrRegisterCounter(name, r.registry))
	}
	c.(metrics.Counter).Inc(1)
}

// serviceStats holds the metrics of one service. Durations are in microseconds.
type serviceStats struct {
	registry metrics.Registry
	prefix   string
	answers  metrics.Counter
	retries  metrics.Counter
	hedges   metrics.Counter
	total    metrics.Histogram
	wait     metrics.Histogram
	attempt  metrics.Histogram
}

func newServiceStats(r metrics.Registry, s *service) *serviceStats {
	p := "entry.service." + s.name + "."
	st := &serviceStats{
		registry: r, prefix: p,
		answers: metrics.GetOrRegisterCounter(p+"answers", r),
		retries: metrics.GetOrRegisterCounter(p+"retries", r),
		hedges:  metrics.GetOrRegisterCounter(p+"hedges", r),
		total:   histogram(p+"total_us", r),
		wait:    histogram(p+"queue_wait_us", r),
		attempt: histogram(p+"attempt_us", r),
	}
	for _, u := range []admission.Urgency{admission.Urgent, admission.Normal, admission.Batch} {
		name := p + "queued." + u.String()
		r.Unregister(name)
		// Register fails only for a name in use, and this one has just been unregistered.
		_ = r.Register(name, metrics.NewFunctionalGauge(func() int64 {
			s.mu.Lock()
			defer s.mu.Unlock()
			return int64(s.queue.LenByUrgency(u))
		}))
	}
	return st
}

func histogram(name string, r metrics.Registry) metrics.Histogram {
	return metrics.GetOrRegisterHistogram(name, r, metrics.NewExpDecaySample(sampleSize, sampleAlpha))
}

// unregister removes the queue length gauges of a service that was removed from the routing table. Counters and
// histograms stay registered.
func (st *serviceStats) unregister() {
	for _, u := range []admission.Urgency{admission.Urgent, admission.Normal, admission.Batch} {
		st.registry.Unregister(st.prefix + "queued." + u.String())
	}
}
