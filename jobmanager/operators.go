package jobmanager

import "github.com/berylwharf/berylwharf/fleet"

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
		for _, problem := range change.Malformed {
			n.log.Event(LogEvent{Component: "config", Event: "entry ignored", Reason: problem.Error()})
		}
		n.applyWaves(change.Waves)
		if change.Config != nil {
			n.applyConfig(change.Config)
		}
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

func (n *Node) applyConfig(c *Config) {
	if old := n.config.Load(); old != nil && old.Version >= c.Version {
		n.log.Event(LogEvent{Component: "config", Event: "older version ignored", Epoch: c.Version})
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
	n.shardPools.Store(&pools)
	n.config.Store(c)
	n.log.Event(LogEvent{Component: "config", Event: "applied", Epoch: c.Version, Count: len(c.Routes)})
}
