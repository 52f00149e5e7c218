package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// cycle is the expected time from the begin of an evacuation until the machine is back.
	cycle = 5 * time.Second
	// waveReserve is left before a wave's deadline.
	waveReserve = 3 * time.Second
	// goneAfter is how long a machine must be missing from the list before a wave goes on without it.
	goneAfter = 5 * time.Second
)

// waveState is the progress of a wave.
type waveState struct {
	wave      Wave
	begun     time.Duration
	done      map[string]bool
	gone      map[string]time.Duration // since when a machine is not listed
	changed   bool                     // the set of done machines changed
	published bool
	completed bool
}

func newWaveState(w Wave, now time.Duration) *waveState {
	return &waveState{wave: w, begun: now, done: make(map[string]bool), gone: make(map[string]time.Duration)}
}

// Restore tells the controller which machines had their maintenance under an earlier controller.
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

// room tells whether another machine may go down while some are.
func (s *waveState) room(down int) bool { return down < max(1, s.wave.Cap) }

// planWaves begins the evacuation of machines that are due.
//
// It answers waves that take many machines of pools whose load turns: it begins with the machines that run least, and takes
// only as many at once as the deadline needs, so that the pools keep their room. Lasting tasks move one after the other within
// their budgets, so one machine with such tasks in each pool is always in work.
func (c *Controller) planWaves(now time.Duration) {
	numbers := slices.Sorted(maps.Keys(c.waves))
	for _, n := range numbers {
		c.planWave(c.waves[n], now)
	}
}

func (c *Controller) planWave(s *waveState, now time.Duration) {
	var due []Machine
	active := 0
	lasting := make(map[string]bool) // pools that have a machine with lasting tasks in work
	for _, host := range s.wave.Hosts {
		if s.done[host] {
			continue
		}
		m, listed := c.machines[host]
		if !listed {
			s.noteMissing(host, now)
			continue
		}
		delete(s.gone, host)
		op := c.ops[host]
		switch {
		case op != nil && op.order.Kind == OrderMaintenance:
			active++
			lasting[m.Pool] = lasting[m.Pool] || c.hasLasting(m)
		case op == nil && m.State == Up:
			due = append(due, m)
		}
	}
	slices.SortStableFunc(due, func(a, b Machine) int {
		return cmp.Or(cmp.Compare(c.effort(a), c.effort(b)), cmp.Compare(a.Host, b.Host))
	})
	due = c.lastingFirst(due, lasting)
	for _, m := range due[:min(len(due), max(0, s.parallel(len(due)+active, now)-active))] {
		c.ops[m.Host] = &operation{
			order: Order{Kind: OrderMaintenance, Host: m.Host, Wave: s.wave.Number}, worker: m.Worker, pool: m.Pool, begun: now,
		}
	}
}

// lastingFirst puts one machine with lasting tasks before the others for each pool that has none in work.
func (c *Controller) lastingFirst(due []Machine, inWork map[string]bool) []Machine {
	var first, rest []Machine
	for _, m := range due {
		if c.hasLasting(m) && !inWork[m.Pool] {
			inWork[m.Pool] = true
			first = append(first, m)
		} else {
			rest = append(rest, m)
		}
	}
	return append(first, rest...)
}

func (c *Controller) hasLasting(m Machine) bool {
	w, ok := c.load(m)
	return ok && w.Lasting > 0
}

// noteMissing counts a machine as done when it has been missing for long.
func (s *waveState) noteMissing(host string, now time.Duration) {
	since, ok := s.gone[host]
	if !ok {
		s.gone[host] = now
		return
	}
	if now-since > goneAfter {
		s.markDone(host)
	}
}

// effort is how much has to move before a machine is empty.
func (c *Controller) effort(m Machine) int {
	if c.pools[m.Pool].Standby {
		return 0
	}
	w, ok := c.load(m)
	if !ok {
		return 1 << 20
	}
	return w.Runs + 10*w.Lasting
}

// parallel returns how many machines should be in work at once to finish the rest in time.
func (s *waveState) parallel(left int, now time.Duration) int {
	time := s.begun + s.wave.Deadline - waveReserve - now
	if time <= cycle {
		return max(1, s.wave.Cap)
	}
	need := (left*int(cycle) + int(time) - 1) / int(time)
	return min(max(1, s.wave.Cap), need+1)
}

// collectWaves writes changed states of waves into the plan.
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
