package job

import (
	"slices"
	"time"
)

const (
	// availableProgress is the reported progress of a lasting task that is at work.
	availableProgress = 100
	// speedChangeInterval is the least time between changes of the shares on a worker; a change shows after about half a second.
	speedChangeInterval = 600 * time.Millisecond
	// slowDownRatio and paceBelow are the fractions of a latency target above which filling tasks are slowed down, and below
	// which they are sped up.
	slowDownRatio = 0.85
	speedUpRatio  = 0.55
	// speedUpStep is the percentage by which a filling task is sped up in one change.
	speedUpStep = 20
)

// Evacuate sets the workers that are evacuated before planned maintenance. Lasting tasks move within their budgets,
// checkpointable ones move at once, and others are left to end.
func (p *Pool) Evacuate(ids []string) {
	p.evacuationsKnown = true
	for _, w := range p.workers {
		w.evacuating = slices.Contains(ids, w.info.ID)
		w.fleetHoldUntil = 0
	}
}

// Empty tells whether nothing runs on a worker and nothing can start there.
func (p *Pool) Empty(id string) bool {
	w := p.workers[id]
	return w == nil || (w.evacuating && w.reported && len(w.runs) == 0 && len(w.strays) == 0)
}

// evacuate moves tasks away from workers that leave or are about to be maintained.
func (p *Pool) evacuate(now Time) {
	for _, w := range p.sortedWorkers() {
		leaving := w.leaving || w.info.Draining
		if !leaving && !w.evacuating {
			continue
		}
		for _, r := range w.sortedRuns() {
			if r.state == runActive && p.mayEvict(r, leaving, now) {
				p.event(Event{Kind: "run evacuated", Task: r.task.id, Run: r.number, Worker: w.info.ID})
				p.stop(r, now)
			}
		}
	}
}

// mayEvict tells whether a run may be stopped now to leave its worker.
func (p *Pool) mayEvict(r *run, leaving bool, now Time) bool {
	s := r.task.step
	if !s.Lasting {
		return s.Checkpointable && !s.Gang
	}
	if leaving {
		return true
	}
	return p.withinBudget(r.task, now) && p.roomElsewhere(r, now)
}

// withinBudget tells whether one more task of a lasting step may be unavailable.
func (p *Pool) withinBudget(t *task, now Time) bool {
	if t.step.MissBudget == 0 {
		return true
	}
	unavailable := 0
	for _, m := range t.job.occurrences[t.id.Occurrence].steps[t.id.Step] {
		if m != t && !p.available(m, now) {
			unavailable++
		}
	}
	return unavailable < t.step.MissBudget
}

// available tells whether a lasting task serves, as far as its worker reported recently, and no stop of an earlier owner may
// be on its way.
func (p *Pool) available(t *task, now Time) bool {
	r := t.run
	if r == nil || r.state != runActive || r.progress < availableProgress {
		return false
	}
	if r.adopted && now.Steady-r.activeSince < p.cfg.InheritedStops {
		return false
	}
	return now.Steady-r.worker.lastReportSentAt < maxReportAge
}

// roomElsewhere tells whether another worker could take the task of a run.
func (p *Pool) roomElsewhere(r *run, now Time) bool {
	for _, w := range p.workers {
		if w != r.worker && w.usable(now) && satisfiesConstraints(r.task.step, r.task, w) && r.task.step.reserved().Fits(w.free()) {
			return true
		}
	}
	return false
}

// adjustSpeeds slows filling tasks down where a serving task nears its latency target, and speeds them up where there is room.
func (p *Pool) adjustSpeeds(now Time) {
	for _, w := range p.sortedWorkers() {
		if now.Steady-w.lastSpeedChange < speedChangeInterval || now.Steady-w.lastReportSentAt > maxReportAge {
			continue
		}
		worst := w.worstLatencyRatio()
		for _, r := range w.sortedRuns() {
			if !r.task.step.Fills || r.state != runActive {
				continue
			}
			if percent := nextSpeedPercent(r.speedPercent, worst); percent != r.speedPercent {
				w.lastSpeedChange = now.Steady
				r.speedPercent = percent
				p.enqueueOrder(Order{Kind: OrderPace, Worker: w.info.ID, Task: r.task.id, Run: r.number, Percent: percent})
				p.event(Event{Kind: "run paced", Task: r.task.id, Run: r.number, Worker: w.info.ID, Count: percent})
			}
		}
	}
}

// worstLatencyRatio returns the greatest tail latency of a serving task as a fraction of its target.
func (w *worker) worstLatencyRatio() float64 {
	worst := 0.0
	for _, r := range w.runs {
		if target := r.task.step.Target.Milliseconds(); target > 0 && !r.task.step.Fills {
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
