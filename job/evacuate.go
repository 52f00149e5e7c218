package job

// availableProgress is the reported progress of a long-running task that is available.
const availableProgress = 100

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
			w.hasRoom(r.task.step.reserved(), 0) {
			return true
		}
	}
	return false
}
