package connlimit

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

// reportPeriod is the time between two reports of the same kind.
const reportPeriod = 10 * time.Second

// Kind is a kind of refusal.
type Kind int

// Kinds of refusals.
const (
	// ClosedForMemory is a connection with an incomplete request that was closed because the memory was needed.
	ClosedForMemory Kind = iota
	// ClosedForDescriptors is such a connection that was closed because there were too many connections.
	ClosedForDescriptors
	// ConnRefused is a connection that was closed at once because no other could be closed for it.
	ConnRefused
	// HeadRefused is a request that was answered with 503 because there was no memory for its head.
	HeadRefused
	// BodyRefused is a request whose connection was closed because there was no memory for its body.
	BodyRefused
	// HeadTimedOut is a connection whose head did not arrive in time.
	HeadTimedOut
	// BodyStalled is a connection whose body arrived at less than the minimum rate.
	BodyStalled
	kinds
)

var kindNames = [kinds]string{
	"closed-for-memory", "closed-for-descriptors", "connection-refused", "head-refused", "body-refused", "head-timed-out", "body-stalled",
}

// String returns the name that metrics and log lines use.
func (k Kind) String() string { return kindNames[k] }

// Refusal reports refusals of one kind.
type Refusal struct {
	Kind     Kind
	Listener string // of the last one
	Count    int64  // since the last report of the kind
}

// refusals counts refusals and reports each kind at most once in reportPeriod.
type refusals struct {
	report   func(Refusal)
	counters [kinds]metrics.Counter

	mu       sync.Mutex
	last     [kinds]time.Time
	reported [kinds]int64
}

func (n *refusals) init(report func(Refusal)) {
	n.report = report
	for k := range n.counters {
		n.counters[k] = metrics.NewCounter()
	}
}

// add counts one refusal.
func (n *refusals) add(k Kind, listener string) {
	n.counters[k].Inc(1)
	if n.report == nil {
		return
	}
	now := time.Now()
	n.mu.Lock()
	if !n.last[k].IsZero() && now.Sub(n.last[k]) < reportPeriod {
		n.mu.Unlock()
		return
	}
	count := n.counters[k].Count()
	r := Refusal{Kind: k, Listener: listener, Count: count - n.reported[k]}
	n.last[k], n.reported[k] = now, count
	n.mu.Unlock()
	n.report(r)
}

// RegisterMetrics adds the account's metrics to a registry: the gauges connections.open, connections.max,
// connections.memory.bytes, connections.memory.max and connections.waiting, and a counter for each kind of refusal.
func (a *Account) RegisterMetrics(r metrics.Registry) error {
	gauges := map[string]func() int64{
		"connections.open":         func() int64 { return int64(a.open()) },
		"connections.max":          func() int64 { return int64(a.maxConns) },
		"connections.memory.bytes": a.used.Load,
		"connections.memory.max":   func() int64 { return a.limit },
		"connections.waiting":      a.waiters.Load,
	}
	for name, value := range gauges {
		if err := r.Register(name, metrics.NewFunctionalGauge(value)); err != nil {
			return err
		}
	}
	for k, c := range a.refusals.counters {
		if err := r.Register("connections."+Kind(k).String(), c); err != nil {
			return err
		}
	}
	return nil
}
