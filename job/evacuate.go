package job

import "time"

const (
	// availableProgress is the reported progress of a long-running task that is available.
	availableProgress = 100
	// speedChangeInterval is the minimum time between speed changes on a worker. A change takes effect after about half
	// a second.
	speedChangeInterval = 600 * time.Millisecond
	// slowDownRatio and speedUpRatio are the fractions of a latency target above which best-effort tasks are slowed
	// down, and below which they are sped up.
	slowDownRatio = 0.85
	speedUpRatio  = 0.55
	// speedUpStep is the number of percentage points by which a best-effort task is sped up in one change.
	speedUpStep = 20
)

// Evacuate sets the workers to evacuate before planned maintenance. Long-running tasks move within their disruption
// budgets, checkpointable tasks move at once, and other tasks run to their end.
func (p *Pool) Evacuate(ids []string) {
	p.evacuationsKnown = true
	evacuating := make(map[string]bool, len(ids))
	for _, id := range ids {
		evacuating[id] = true
	}
	for _, w := range p.workers {
		w.evacuating = evacuating[w.info.ID]
		w.fleetHoldUntil = 0
	}
}

// Evacuated reports whether nothing runs on a worker and nothing can start there.
func (p *Pool) Evacuated(id string) bool {
	w := p.workers[id]
	return w == nil || (w.evacuating && w.reported && len(w.runs) == 0 && len(w.strays) == 0)
}

// evacuate moves tasks away from workers that are leaving, draining or about to be maintained.
func (p *Pool) evacuate(now Time) {
	for _, w := range p.sortedWorkers() {
		if !w.draining() && !w.evacuating {
			continue
		}
		for _, r := range w.sortedRuns() {
			if r.state == runActive && p.mayEvict(r, w.draining(), now) {
				p.event(Event{Kind: "run evacuated", Task: r.task.id, Run: r.number, Worker: w.info.ID})
				p.stop(r, now)
			}
		}
	}
}

// mayEvict reports whether a run may be stopped now, so that its task moves to another worker.
func (p *Pool) mayEvict(r *run, leaving bool, now Time) bool {
	s := r.task.step
	if !s.LongRunning {
		return s.Checkpointable && !s.Gang
	}
	if leaving {
		return true
	}
	return p.withinBudget(r.task, now) && p.fitsElsewhere(r, now)
}

// withinBudget reports whether one more task of a long-running step may become unavailable.
func (p *Pool) withinBudget(t *task, now Time) bool {
	if t.step.DisruptionBudget == 0 {
		return true
	}
	unavailable := 0
	for _, m := range t.job.occurrences[t.id.Occurrence].steps[t.id.Step] {
		if m != t && !p.available(m, now) {
			unavailable++
		}
	}
	return unavailable < t.step.DisruptionBudget
}

// available reports whether a long-running task is available according to a recent report, and no stop order of an
// earlier owner may still reach it.
func (p *Pool) available(t *task, now Time) bool {
	r := t.run
	if r == nil || r.state != runActive || r.progress < availableProgress {
		return false
	}
	if r.adopted && now.Steady-r.activeSince < p.cfg.InheritedStopTimeout {
		return false
	}
	return now.Steady-r.worker.lastReportSentAt < maxReportAge
}

// fitsElsewhere reports whether another worker may run the task of a run and has capacity for it.
func (p *Pool) fitsElsewhere(r *run, now Time) bool {
	for _, w := range p.workers {
		if w != r.worker && w.usable(now) && p.eligible(r.task, w) && satisfiesConstraints(r.task.step, r.task, w) &&
			r.task.step.reserved().Fits(w.free()) {
			return true
		}
	}
	return false
}

// adjustSpeeds slows best-effort tasks down when a latency-critical task on their worker approaches its latency target,
// and speeds them up when there is headroom.
func (p *Pool) adjustSpeeds(now Time) {
	for _, w := range p.sortedWorkers() {
		if now.Steady-w.lastSpeedChange < speedChangeInterval || now.Steady-w.lastReportSentAt > maxReportAge {
			continue
		}
		worst := w.worstLatencyRatio()
		for _, r := range w.sortedRuns() {
			if !r.task.step.BestEffort || r.state != runActive {
				continue
			}
			if percent := nextSpeedPercent(r.speedPercent, worst); percent != r.speedPercent {
				w.lastSpeedChange = now.Steady
				r.speedPercent = percent
				p.enqueueOrder(Order{Kind: OrderSetSpeed, Worker: w.info.ID, Task: r.task.id, Run: r.number, SpeedPercent: percent})
				p.event(Event{Kind: "run paced", Task: r.task.id, Run: r.number, Worker: w.info.ID, Count: percent})
			}
		}
	}
}

// worstLatencyRatio returns the highest tail latency of a latency-critical task as a fraction of its target.
func (w *worker) worstLatencyRatio() float64 {
	worst := 0.0
	for _, r := range w.runs {
		if target := r.task.step.LatencyTarget.Milliseconds(); target > 0 && !r.task.step.BestEffort {
			worst = max(worst, float64(r.usage)/float64(target))
		}
	}
	return worst
}

func nextSpeedPercent(percent int, worst float64) int {
	switch {
	case worst > 1:
		return 0
	case worst > slowDownRatio:
		return percent / 2
	case worst < speedUpRatio:
		return min(100, percent+speedUpStep)
	}
	return percent
}
