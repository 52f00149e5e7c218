package job

import (
	"slices"
	"time"
)

// pass is the state of one scheduling pass.
type pass struct {
	pool   *Pool
	usable []*worker
	racks  map[string]bool // racks of usable workers
	// reservedWorkers get no other tasks in this pass, because a task waits for more free capacity there.
	reservedWorkers map[*worker]bool
	// unplaceable holds requests for which no worker had free capacity in this pass. Requests that are at least as
	// large are not tried again.
	unplaceable []Resources
}

func newPass(p *Pool, now Time) *pass {
	ps := &pass{pool: p, racks: make(map[string]bool), reservedWorkers: make(map[*worker]bool)}
	for _, w := range p.sortedWorkers() {
		if w.usable(now) {
			ps.usable = append(ps.usable, w)
			ps.racks[w.info.Rack] = true
		}
	}
	return ps
}

// place chooses a worker for a task. It returns nil when no worker is suitable.
func (ps *pass) place(t *task, now Time) *worker {
	s := t.step
	need := s.reserved()
	if ps.knownUnplaceable(need) {
		return nil
	}
	waitForRack := ps.waitForRack(t, now)
	choice := ps.pool.newChoice(t, now)
	fits := false
	for _, w := range ps.usable {
		if ps.reservedWorkers[w] || !w.hasRoom(need, 0) {
			continue
		}
		fits = true
		if t.job.spec.NeedsAdvice && ps.pool.ticket(t, w, now) == "" {
			continue
		}
		if !satisfiesConstraints(s, t, w) || (waitForRack && w.info.Rack != s.DataRack) {
			continue
		}
		choice.add(w, ps.score(t, w))
	}
	if !fits {
		ps.unplaceable = append(ps.unplaceable, need)
	}
	return ps.pool.choose(&choice, t, now)
}

// reserveWorker keeps a worker free of other tasks for the rest of the pass, so that free capacity accumulates there
// for a task. It prefers the worker that it reserved in the last pass, then the least loaded one.
//
// Without a reservation, a large task starves in a full pool: each piece of capacity that becomes free is too small for
// it and goes to a smaller task.
func (ps *pass) reserveWorker(t *task) {
	best := t.reservedWorker
	if best == nil || !slices.Contains(ps.usable, best) || !ps.mayReserve(t, best) {
		best = ps.leastLoaded(t)
	}
	t.reservedWorker = best
	if best != nil {
		ps.reservedWorkers[best] = true
	}
}

// mayReserve reports whether a worker is not reserved for another task and could run a task once the short tasks there
// have ended. Any other worker would be kept free in vain: its tasks end, and nothing takes their place.
func (ps *pass) mayReserve(t *task, w *worker) bool {
	return !ps.reservedWorkers[w] && ps.pool.eligible(t, w) && satisfiesConstraints(t.step, t, w) &&
		t.step.reserved().Fits(w.info.Capacity.Sub(w.usedLongRunning))
}

// leastLoaded returns the least loaded of the workers that may be reserved for a task.
func (ps *pass) leastLoaded(t *task) *worker {
	var best *worker
	for _, w := range ps.usable {
		if !ps.mayReserve(t, w) {
			continue
		}
		if best == nil || w.used.Share(w.info.Capacity) < best.used.Share(best.info.Capacity) {
			best = w
		}
	}
	return best
}

// knownUnplaceable reports whether a request that is not larger has already found no worker in this pass.
func (ps *pass) knownUnplaceable(need Resources) bool {
	for _, r := range ps.unplaceable {
		if r.Fits(need) {
			return true
		}
	}
	return false
}

// satisfiesConstraints reports whether a worker meets the label and the per-worker limit of a step.
func satisfiesConstraints(s *Step, t *task, w *worker) bool {
	if s.Label != "" && !slices.Contains(w.info.Labels, s.Label) {
		return false
	}
	return s.MaxPerWorker == 0 || w.stepTasks(t) < s.MaxPerWorker
}

// stepTasks counts the tasks of the same step and occurrence on a worker.
func (w *worker) stepTasks(t *task) int {
	n := 0
	for id := range w.runs {
		if id.Job == t.id.Job && id.Occurrence == t.id.Occurrence && id.Step == t.id.Step {
			n++
		}
	}
	return n
}

// waitForRack reports whether a task should wait for capacity on the rack of its data (delay scheduling). It waits for
// at most the time that it would lose on another rack.
func (ps *pass) waitForRack(t *task, now Time) bool {
	s := t.step
	if s.DataRack == "" || !ps.racks[s.DataRack] {
		return false
	}
	run := ps.pool.estimates.duration(t.job.spec.Queue, s)
	loss := time.Duration(float64(run) * (ps.pool.cfg.CrossRackFactor - 1))
	return now.Steady-t.readySince < loss
}

// score rates a worker for a task. The highest score wins.
func (ps *pass) score(t *task, w *worker) float64 {
	s := t.step
	share := w.used.Add(s.reserved()).Share(w.info.Capacity)
	score := 0.0
	if s.DataRack != "" && w.info.Rack == s.DataRack {
		score += 100
	}
	if t.lastFailedOn == w {
		// The worker may be one that fails every task, and the number of attempts is small.
		score -= 50
	}
	switch {
	case s.BestEffort:
		// Best-effort tasks use leftover capacity, and they slow down latency-critical tasks.
		score += 10*(1-share) - 5*float64(w.latencyCriticalTasks())
	case s.LongRunning:
		// The tasks of one step are spread over workers, so that the loss of a worker affects few of them. Different
		// steps share workers, so that the other workers can move to other pools.
		score += 10*min(1, float64(w.longRunningTasks())) - 20*float64(w.stepTasks(t)) - 2*float64(ps.stepTasksOnRack(t, w.info.Rack))
	default:
		// Short tasks are packed, which keeps free capacity for large ones.
		score += share
	}
	return score
}

// longRunningTasks counts the long-running tasks on a worker.
func (w *worker) longRunningTasks() int {
	n := 0
	for _, r := range w.runs {
		if r.task.step.LongRunning {
			n++
		}
	}
	return n
}

// latencyCriticalTasks counts the tasks on a worker that have a latency target.
func (w *worker) latencyCriticalTasks() int {
	n := 0
	for _, r := range w.runs {
		if r.task.step.LatencyTarget > 0 {
			n++
		}
	}
	return n
}

// stepTasksOnRack counts the tasks of the same step on a rack.
func (ps *pass) stepTasksOnRack(t *task, rack string) int {
	n := 0
	for _, o := range t.job.occurrences[t.id.Occurrence].steps[t.id.Step] {
		if o.run != nil && o.run.worker.info.Rack == rack {
			n++
		}
	}
	return n
}

// placeGang chooses workers for all tasks of a gang, on one rack if the step asks for it and a rack has the capacity.
// It returns nil when the gang does not fit as a whole.
func (ps *pass) placeGang(tasks []*task, now Time) []*worker {
	if tasks[0].step.SameRack {
		for rack := range ps.racks {
			if chosen := ps.placeAll(tasks, rack, now); chosen != nil {
				return chosen
			}
		}
	}
	return ps.placeAll(tasks, "", now)
}

// placeAll places tasks first-fit on the workers of a rack, or on all workers for "".
func (ps *pass) placeAll(tasks []*task, rack string, now Time) []*worker {
	chosen := make([]*worker, 0, len(tasks))
	taken := make(map[*worker]Resources)
	counts := make(map[*worker]int)
	step := tasks[0].step
	for _, t := range tasks {
		w := ps.firstFit(t, rack, taken, counts, now)
		if w == nil {
			return nil
		}
		taken[w] = taken[w].Add(step.reserved())
		counts[w]++
		chosen = append(chosen, w)
	}
	return chosen
}

func (ps *pass) firstFit(
	t *task, rack string, taken map[*worker]Resources, counts map[*worker]int, now Time,
) *worker {
	s := t.step
	for _, w := range ps.usable {
		if ps.reservedWorkers[w] || (rack != "" && w.info.Rack != rack) {
			continue
		}
		if t.job.spec.NeedsAdvice && ps.pool.ticket(t, w, now) == "" {
			continue
		}
		if s.MaxPerWorker > 0 && counts[w] >= s.MaxPerWorker {
			continue
		}
		if satisfiesConstraints(s, t, w) && w.hasRoom(s.reserved().Add(taken[w]), counts[w]) {
			return w
		}
	}
	return nil
}
