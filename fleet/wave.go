package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// maintenanceCycle is the expected time from the start of an evacuation until the machine is back.
	maintenanceCycle = 5 * time.Second
	// deadlineMargin is the time by which a wave is planned to finish before its deadline.
	deadlineMargin = 3 * time.Second
	// unlistedTimeout is how long the platform must not list a machine before a wave counts it as done.
	unlistedTimeout = 5 * time.Second
)

// waveState is the progress of a wave.
type waveState struct {
	wave          Wave
	startedAt     time.Duration
	done          map[string]bool
	unlistedSince map[string]time.Duration // by host; when the machine was first found missing from the platform's list
	changed       bool                     // done has changed since it was last reported
	published     bool
	completed     bool
}

func newWaveState(w Wave, now time.Duration) *waveState {
	return &waveState{wave: w, startedAt: now, done: make(map[string]bool), unlistedSince: make(map[string]time.Duration)}
}

// Restore adds a wave with the machines that underwent maintenance under a preceding controller.
func (c *Controller) Restore(w Wave, done []string, now time.Duration) {
	s := newWaveState(w, now)
	for _, host := range done {
		s.done[host] = true
	}
	c.waves[w.Number] = s
}

func (s *waveState) markDone(host string) {
	if !s.done[host] {
		s.done[host] = true
		s.changed = true
	}
}

// permitsAnother reports whether another machine may go down while the given number are down.
func (s *waveState) permitsAnother(down int) bool { return down < max(1, s.wave.MaxUnavailable) }

// planWaves starts the evacuation of machines that are due for maintenance.
//
// It starts with the machines that are cheapest to evacuate, and evacuates only as many at a time as the deadline
// requires, so that pools keep their capacity under changing load. Long-running tasks move slowly, because the
// disruption budgets of their steps limit how many are unavailable at a time; so one machine with long-running tasks is
// kept in progress in each pool.
func (c *Controller) planWaves(now time.Duration) {
	numbers := slices.Sorted(maps.Keys(c.waves))
	for _, n := range numbers {
		c.planWave(c.waves[n], now)
	}
}

func (c *Controller) planWave(s *waveState, now time.Duration) {
	var candidates []Machine
	active := 0
	longRunningActive := make(map[string]bool) // pools with a machine in progress that runs long-running tasks
	for _, host := range s.wave.Hosts {
		if s.done[host] {
			continue
		}
		m, listed := c.machines[host]
		if !listed {
			s.trackUnlisted(host, now)
			continue
		}
		delete(s.unlistedSince, host)
		op := c.ops[host]
		switch {
		case op != nil && op.order.Kind == OrderMaintenance:
			active++
			longRunningActive[m.Pool] = longRunningActive[m.Pool] || c.hasLongRunning(m)
		case op == nil && m.State == Up:
			candidates = append(candidates, m)
		}
	}
	slices.SortStableFunc(candidates, func(a, b Machine) int {
		return cmp.Or(cmp.Compare(c.evacuationCost(a), c.evacuationCost(b)), cmp.Compare(a.Host, b.Host))
	})
	candidates = c.longRunningFirst(candidates, longRunningActive)
	for _, m := range candidates[:min(len(candidates), max(0, s.parallelism(len(candidates)+active, now)-active))] {
		c.ops[m.Host] = &operation{
			order: Order{Kind: OrderMaintenance, Host: m.Host, Wave: s.wave.Number}, worker: m.Worker, fromPool: m.Pool, startedAt: now,
		}
	}
}

// longRunningFirst moves one machine with long-running tasks to the front for each pool that has none in progress.
func (c *Controller) longRunningFirst(candidates []Machine, active map[string]bool) []Machine {
	var first, rest []Machine
	for _, m := range candidates {
		if c.hasLongRunning(m) && !active[m.Pool] {
			active[m.Pool] = true
			first = append(first, m)
		} else {
			rest = append(rest, m)
		}
	}
	return append(first, rest...)
}

func (c *Controller) hasLongRunning(m Machine) bool {
	w, ok := c.workerLoad(m)
	return ok && w.LongRunning > 0
}

// trackUnlisted marks a machine as done when it has been missing from the platform's list for unlistedTimeout.
func (s *waveState) trackUnlisted(host string, now time.Duration) {
	since, ok := s.unlistedSince[host]
	if !ok {
		s.unlistedSince[host] = now
		return
	}
	if now-since > unlistedTimeout {
		s.markDone(host)
	}
}

// evacuationCost estimates the effort to evacuate a machine. It weights long-running tasks higher than other runs.
func (c *Controller) evacuationCost(m Machine) int {
	if c.pools[m.Pool].Standby {
		return 0
	}
	w, ok := c.workerLoad(m)
	if !ok {
		return 1 << 20
	}
	return w.Runs + 10*w.LongRunning
}

// parallelism returns the number of machines to process concurrently so that the remaining ones finish before the
// deadline.
func (s *waveState) parallelism(remaining int, now time.Duration) int {
	available := s.startedAt + s.wave.Deadline - deadlineMargin - now
	if available <= maintenanceCycle {
		return max(1, s.wave.MaxUnavailable)
	}
	need := (remaining*int(maintenanceCycle) + int(available) - 1) / int(available)
	return min(max(1, s.wave.MaxUnavailable), need+1)
}

// collectWaves adds changed wave states and progress to the plan.
func (c *Controller) collectWaves(p *Plan) {
	for n, s := range c.waves {
		if s.changed {
			s.changed = false
			p.Progress[n] = slices.Sorted(maps.Keys(s.done))
		}
		completed := s.allDone()
		if !s.published || completed != s.completed {
			s.published, s.completed = true, completed
			p.Status[n] = completed
		}
	}
}

func (s *waveState) allDone() bool {
	for _, host := range s.wave.Hosts {
		if !s.done[host] {
			return false
		}
	}
	return true
}
