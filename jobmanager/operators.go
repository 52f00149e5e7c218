package jobmanager

import (
	"fmt"

	"github.com/berylwharf/berylwharf/apikey"
	"github.com/berylwharf/berylwharf/fleet"
)

// followOperators applies the operators' declarations as they arrive. A version of the configuration never replaces a
// later one.
func (n *Node) followOperators() {
	for n.ctx.Err() == nil {
		change, err := n.operators.Next(n.ctx)
		if err != nil {
			n.log.Event(LogEvent{Component: "config", Event: "read failed", Reason: err.Error()})
			sleep(n.ctx, readRetryDelay)
			continue
		}
		if change.Interrupted != nil {
			n.log.Event(LogEvent{Component: "config", Event: "read interrupted", Reason: change.Interrupted.Error()})
		}
		for _, problem := range change.Malformed {
			n.log.Event(LogEvent{Component: "config", Event: "entry ignored", Reason: problem.Error()})
		}
		n.applyWaves(change.Waves)
		n.applyConfiguration(change)
	}
}

// applyConfiguration applies the configuration of a change and records how new the node's knowledge is by then. The two loops
// that read the operators' records call it, so an earlier read may come after a later one; it has no effect then.
func (n *Node) applyConfiguration(change *OperatorChange) {
	n.operatorsMu.Lock()
	defer n.operatorsMu.Unlock()
	if change.Config != nil {
		n.applyConfig(change)
	}
	// The time is published after the configuration, and View reads it before, so that a configuration is never taken for newer
	// than it is.
	if old := n.knowledge.Load(); change.Complete && (old == nil || change.ReadAt > old.ReadAt) {
		n.knowledge.Store(&apikey.Knowledge{Complete: true, ReadAt: change.ReadAt})
	}
}

func (n *Node) applyWaves(waves []fleet.Wave) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, w := range waves {
		n.waves[w.Number] = w
		n.log.Event(LogEvent{Component: "fleet", Event: "wave declared", Epoch: w.Number, Count: len(w.Hosts)})
	}
}

func (n *Node) applyConfig(change *OperatorChange) {
	c := change.Config
	if old := n.config.Load(); old != nil && old.Version >= c.Version {
		if old.Version > c.Version {
			n.log.Event(LogEvent{Component: "config", Event: "older version ignored", Epoch: c.Version})
		}
		return
	}
	pools := make(map[int][]string)
	seen := make(map[string]bool)
	for _, r := range c.Routes {
		if !seen[r.Pool] {
			seen[r.Pool] = true
			number := n.shardOf(r.Pool)
			pools[number] = append(pools[number], r.Pool)
		}
	}
	for _, u := range c.Keys().Unusable() {
		n.metrics.countKey("unusable")
		n.log.Event(LogEvent{Component: "config", Event: "key unusable", Epoch: c.Version, Customer: u.Customer, Reason: string(u.Problem)})
	}
	n.shardPools.Store(&pools)
	n.shardQueues.Store(n.groupQueues(c))
	n.config.Store(c)
	n.logApplied(change)
}

// logApplied logs how long the configuration of a change was on its way to be in force. Both parts grow with its size.
func (n *Node) logApplied(change *OperatorChange) {
	now := n.clock.Now().Steady
	n.log.Event(LogEvent{
		Component: "config", Event: "applied", Epoch: change.Config.Version, Count: len(change.Config.Routes),
		AgeMs: (now - change.ResponseAt).Milliseconds(),
		Reason: fmt.Sprintf("received in %d ms, decoded in %d ms",
			(change.ReceivedAt - change.ResponseAt).Milliseconds(), (now - change.ReceivedAt).Milliseconds()),
	})
}
