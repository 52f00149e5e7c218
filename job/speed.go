package job

import "time"

const (
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
