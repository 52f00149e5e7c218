package jobmanager

import (
	"time"

	"github.com/rcrowley/go-metrics"
)

const (
	// configCheckInterval is the time between checks whether the node follows the configuration.
	configCheckInterval = 200 * time.Millisecond
	// behindLogTime is the time for which a node must have been behind before it logs it.
	behindLogTime = 1500 * time.Millisecond
	// behindLogInterval is the time between log lines while a node is behind.
	behindLogInterval = 2 * time.Second
	// outdatedMargin is the part of the bound of a configuration that is left for the decision on a call.
	outdatedMargin = 200 * time.Millisecond
)

// ConfigState says how new the configuration of a node is.
type ConfigState struct {
	Version int64 // of the configuration in force on the node; 0 if there is none
	// Pending is the number of operators' records that the store is known to hold and that the node has not applied. BehindFor is the
	// time for which they may have been there; 0 if there are none.
	Pending   int64
	BehindFor time.Duration
	// Known is false until the node has read all records once. Age is the time since the beginning of the last read after which
	// it had applied all records.
	Known bool
	Age   time.Duration
}

// mayLack reports whether the configuration may lack a version that is in force by the bound, as far as the node can tell. Without a
// bound it tells from the records that it knows of alone.
func (s ConfigState) mayLack(bound time.Duration) bool {
	return s.Pending > 0 || bound > 0 && (!s.Known || s.Age > bound)
}

// outdated reports whether the configuration lacks records that may have been there for as long as the bound.
func (s ConfigState) outdated(bound time.Duration) bool {
	return bound > 0 && s.BehindFor > bound-outdatedMargin
}

// configOutdated reports whether the node has to refuse calls, because it would decide on them by a configuration that is no
// longer in force. A node that cannot reach the store does not know of any change, and stays in service.
func (n *Node) configOutdated() bool {
	return n.ConfigState().outdated(n.settings.Limits.configBound())
}

// ConfigState returns how new the node's configuration is.
func (n *Node) ConfigState() ConfigState {
	s, now := ConfigState{}, n.clock.Now().Steady
	if records, since := n.operators.Pending(); records > 0 {
		s.Pending, s.BehindFor = records, max(0, now-since)
	}
	if k := n.knowledge.Load(); k != nil {
		s.Known, s.Age = true, now-k.ReadAt
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
		"config.outdated": func(s ConfigState) int64 {
			if s.outdated(n.settings.Limits.configBound()) {
				return 1
			}
			return 0
		},
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
	behind, outdated, loggedAt := false, false, time.Duration(0)
	for n.ctx.Err() == nil {
		now := n.clock.Now().Steady
		s := n.ConfigState()
		refusing := s.outdated(n.settings.Limits.configBound())
		switch {
		case s.BehindFor > behindLogTime && (!behind || refusing != outdated || now-loggedAt >= behindLogInterval):
			behind, loggedAt = true, now
			n.logConfigState("behind", s)
		case behind && s.Pending == 0:
			behind = false
			n.logConfigState("caught up", s)
		}
		outdated = refusing
		sleep(n.ctx, configCheckInterval)
	}
}

func (n *Node) logConfigState(event string, s ConfigState) {
	e := LogEvent{Component: "config", Event: event, Epoch: s.Version, Count: int(s.Pending), AgeMs: s.BehindFor.Milliseconds()}
	if s.outdated(n.settings.Limits.configBound()) {
		e.Reason = "calls are refused"
	}
	n.log.Event(e)
}
