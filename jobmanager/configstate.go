package jobmanager

import (
	"time"

	"github.com/rcrowley/go-metrics"
)

const (
	// configCheckInterval is the time between checks whether the node follows the configuration.
	configCheckInterval = 200 * time.Millisecond
	// behindLogAge is the age of a node's knowledge from which it logs that it is behind.
	behindLogAge = 1500 * time.Millisecond
	// behindLogInterval is the time between log lines while a node is behind.
	behindLogInterval = 2 * time.Second
)

// ConfigState says how new the configuration of a node is.
type ConfigState struct {
	Version int64 // of the configuration in force on the node; 0 if there is none
	// Pending is the number of operators' records that the store holds as far as known and that the node has not applied.
	Pending int64
	// Known is false until the node has read all records once. Age is the time since the beginning of the last read after which
	// it had applied all records.
	Known bool
	Age   time.Duration
}

// behind reports whether the node has known for a while that there are records that it has not applied.
func (s ConfigState) behind() bool { return s.Known && s.Pending > 0 && s.Age > behindLogAge }

// ConfigState returns how new the node's configuration is.
func (n *Node) ConfigState() ConfigState {
	s := ConfigState{Pending: n.operators.Pending()}
	if k := n.knowledge.Load(); k != nil {
		s.Known, s.Age = true, n.clock.Now().Steady-k.ReadAt
	}
	if c := n.config.Load(); c != nil {
		s.Version = c.Version
	}
	return s
}

// registerConfigGauges registers the gauges of the configuration. The age is in milliseconds, or -1 if no read was complete.
func (n *Node) registerConfigGauges() {
	gauges := map[string]func(ConfigState) int64{
		"config.version": func(s ConfigState) int64 { return s.Version },
		"config.pending": func(s ConfigState) int64 { return s.Pending },
		"keys.config.age.ms": func(s ConfigState) int64 {
			if !s.Known {
				return -1
			}
			return s.Age.Milliseconds()
		},
	}
	for name, value := range gauges {
		// The registry is new, so the names are not taken.
		_ = n.metrics.registry.Register(name, metrics.NewFunctionalGauge(func() int64 { return value(n.ConfigState()) }))
	}
}

// watchConfig logs when the node falls behind the operators' records, and when it has caught up.
func (n *Node) watchConfig() {
	behind, loggedAt := false, time.Duration(0)
	for n.ctx.Err() == nil {
		now := n.clock.Now().Steady
		s := n.ConfigState()
		switch {
		case s.behind() && (!behind || now-loggedAt >= behindLogInterval):
			behind, loggedAt = true, now
			n.logConfigState("behind", s)
		case behind && s.Pending == 0:
			behind = false
			n.logConfigState("caught up", s)
		}
		sleep(n.ctx, configCheckInterval)
	}
}

func (n *Node) logConfigState(event string, s ConfigState) {
	n.log.Event(LogEvent{Component: "config", Event: event, Epoch: s.Version, Count: int(s.Pending), AgeMs: s.Age.Milliseconds()})
}
