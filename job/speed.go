package job

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// speedChangeInterval is the minimum time between speed changes on a worker. A change takes effect in the reported latencies
	// after about half a second.
	speedChangeInterval = 600 * time.Millisecond
	// slowDownRatio and speedUpRatio are the fractions of a latency target above which best-effort tasks are slowed
	// down, and below which they are sped up.
	slowDownRatio = 0.85
	speedUpRatio  = 0.55
	// speedUpStep is the number of percentage points by which a best-effort task is sped up in one change.
	speedUpStep = 20
	// learnedLimit is the fraction of a latency target below which the expected tail latency stays when a speed is chosen
	// by the estimates of interference. The distance to slowDownRatio covers the noise of one report.
	learnedLimit = 0.75
	// learnedDeviations is the number of standard deviations that are added to estimated effects before a task is sped up, because
	// a target missed for an estimate that was too low costs more than a slow best-effort task.
	learnedDeviations = 3
	// minLearnedStep is the smallest speed-up, in percentage points, that is made by the estimates. Smaller ones are not worth an
	// order to the worker.
	minLearnedStep = 5
	// maxSpeedRepeats bounds how often the order to stop working is repeated. A task whose own load exceeds its target may stay over
	// it for long, and each repetition is a call to the worker.
	maxSpeedRepeats = 2
	// minFirstSpeed is the lowest first speed. A harmful task must do some work, so that reports show whether it still is harmful.
	minFirstSpeed = 10
	// minLatencyRatio is a lower bound of the ratio from which headroom is computed. A task without requests reports no latency.
	minLatencyRatio = 0.05
)

// speedState is what the estimates of interference need to know about the speed of a best-effort run.
type speedState struct {
	changedAt time.Duration // when the last speed was ordered
	// highest is the highest percentage that was in force in the settlingTime before changedAt or later.
	highest int
	// reported is the percentage that the last reported tail latencies show with certainty.
	reported int
	// unknown states that an earlier owner may have ordered another speed than speedPercent.
	unknown bool
	// firstPending states that the first speed is not chosen yet.
	firstPending bool
	firstAt      time.Duration // when the first speed was ordered; 0 if it is full speed
	// overlapped states that the last order was sent before the previous one had certainly taken effect, and may have overtaken it.
	overlapped bool
	sentAt     time.Duration // when the last order was sent or repeated
	repeats    int           // of the last order
}

// adjustSpeeds slows best-effort tasks down when a latency-critical task on their worker approaches its latency target,
// and speeds them up when there is headroom. The estimates of interference determine the first speed and the size of speed-ups.
// They never delay or reduce a slowdown.
func (p *Pool) adjustSpeeds(now Time) {
	for _, w := range p.sortedWorkers() {
		if now.Steady-w.lastReportSentAt > maxReportAge {
			continue
		}
		worst := w.worstLatencyRatio()
		p.setFirstSpeeds(w, worst, now)
		p.repeatSpeeds(w, worst, now)
		if now.Steady-w.lastSpeedChange < speedChangeInterval {
			continue
		}
		if worst <= slowDownRatio && p.raiseLearned(w, worst, now) {
			continue
		}
		for _, r := range w.sortedRuns() {
			if !r.task.step.BestEffort || r.state != runActive || r.choseFirstSpeed(now) {
				continue
			}
			if percent := nextSpeedPercent(r.speedPercent, worst); percent != r.speedPercent {
				w.lastSpeedChange = now.Steady
				p.setSpeed(r, percent, now)
			}
		}
	}
}

// setSpeed orders a speed for a best-effort run.
func (p *Pool) setSpeed(r *run, percent int, now Time) {
	if now.Steady-r.speed.changedAt < settlingTime {
		r.speed.highest = max(r.speed.highest, r.speedPercent)
	} else {
		r.speed.highest = r.speedPercent
	}
	r.speed.overlapped = now.Steady-r.speed.sentAt < settlingTime
	r.speed.changedAt = now.Steady
	r.speed.unknown = false
	r.speed.repeats = 0
	r.speedPercent = percent
	p.sendSpeed(r, now)
	p.event(Event{Kind: "run paced", Task: r.task.id, Run: r.number, Worker: r.worker.info.ID, Count: percent})
}

func (p *Pool) sendSpeed(r *run, now Time) {
	r.speed.sentAt = now.Steady
	p.enqueueOrder(Order{Kind: OrderSetSpeed, Worker: r.worker.info.ID, Task: r.task.id, Run: r.number, SpeedPercent: r.speedPercent})
}

// repeatSpeeds sends speed orders again that may have been overtaken or lost: orders that followed each other closely, and
// those that stopped a task beside one that still is over its target. Orders are sent concurrently, and their results don't
// tell whether they took effect.
func (p *Pool) repeatSpeeds(w *worker, worst float64, now Time) {
	for _, r := range w.coLocation.bestEffort {
		if r.kind == nil || r.state != runActive || now.Steady-r.speed.sentAt < orderRetryInterval {
			continue
		}
		overTarget := worst > 1 && r.speedPercent == 0 && r.speed.repeats < maxSpeedRepeats
		if r.speed.overlapped || overTarget {
			r.speed.overlapped = false
			r.speed.repeats++
			p.sendSpeed(r, now)
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

// headroom returns the logarithm of the factor by which the reported tail latency of a latency-critical run may grow until it
// is at a fraction of its target.
func (r *run) headroom(fraction float64) float64 {
	return math.Log(fraction / max(minLatencyRatio, r.latencyRatio()))
}

// recordReportedSpeeds records which speeds are reflected in the tail latencies that a worker has just reported.
func (w *worker) recordReportedSpeeds(now Time) {
	w.coLocation.figuresAt = now.Steady
	for _, r := range w.coLocation.bestEffort {
		switch {
		case r.speed.unknown || r.state != runActive || now.Steady-r.activeSince < settlingTime:
			r.speed.reported = 0
		case now.Steady-r.speed.changedAt < settlingTime:
			r.speed.reported = min(r.speed.reported, r.speedPercent)
		default:
			r.speed.reported = r.speedPercent
		}
	}
}

// headrooms returns, for each latency-critical run of a worker, the headroom that is left at the present speeds of its
// best-effort tasks, by the expected effects of what changed since the reported figures. Runs without a first speed don't
// count.
func (p *Pool) headrooms(w *worker, fraction float64, now Time) []float64 {
	out := make([]float64, len(w.coLocation.latencyCritical))
	for i, v := range w.coLocation.latencyCritical {
		out[i] = v.headroom(fraction)
		for _, r := range w.coLocation.bestEffort {
			if more := r.speedPercent - r.speed.reported; more > 0 && !r.speed.firstPending {
				out[i] -= p.expectedEffect(r.kind, v.kind, now) * float64(more) / 100
			}
		}
	}
	return out
}

// affordable returns by how many percentage points, at most the wanted ones, a task may be sped up within the headrooms. The
// effects at full speed belong to the same latency-critical runs as the headrooms.
func affordable(headrooms, effects []float64, wanted int) int {
	points := float64(wanted)
	for i, e := range effects {
		if e > 0 {
			points = min(points, 100*max(0, headrooms[i])/e)
		}
	}
	return int(points)
}

// spend subtracts the effects of a speed-up by percentage points from the headrooms.
func spend(headrooms, effects []float64, points int) {
	for i, e := range effects {
		headrooms[i] -= e * float64(points) / 100
	}
}

// setFirstSpeeds chooses the speed of the runs that have just been confirmed. It is full speed unless a run is expected to
// harm a latency-critical task of the worker.
//
// If a latency target is near, the first speed is at most the one to which the run would be slowed. So the slowdown in the
// same call of adjustSpeeds can leave the run out; see choseFirstSpeed.
func (p *Pool) setFirstSpeeds(w *worker, worst float64, now Time) {
	for _, r := range w.coLocation.bestEffort {
		if !r.speed.firstPending || r.state != runActive {
			continue
		}
		effects := make([]float64, len(w.coLocation.latencyCritical))
		harmful := false
		for i, v := range w.coLocation.latencyCritical {
			effects[i] = p.expectedEffect(r.kind, v.kind, now)
			harmful = harmful || effects[i] >= harmfulEffect
		}
		headrooms := p.headrooms(w, learnedLimit, now)
		r.speed.firstPending = false
		if !harmful {
			continue
		}
		percent := max(minFirstSpeed, affordable(headrooms, effects, 100))
		switch {
		case worst > 1:
			percent = 0
		case worst > slowDownRatio:
			percent = min(percent, r.speedPercent/2)
		}
		if percent < r.speedPercent {
			p.interference.stats.FirstSlow++
			r.speed.firstAt = now.Steady
			p.setSpeed(r, percent, now)
		}
	}
}

// choseFirstSpeed reports whether the first speed of a run was ordered at the time now.
func (r *run) choseFirstSpeed(now Time) bool { return r.speed.firstAt == now.Steady }

// raiseLearned speeds up the best-effort tasks of a worker by the estimates of interference. It returns false if the usual
// step applies instead, because there is no best-effort task, the estimates are turned off, or not all tasks that can
// interfere have an image.
//
// It does not set lastSpeedChange, so that a slowdown follows a raise without delay.
func (p *Pool) raiseLearned(w *worker, worst float64, now Time) bool {
	c := &w.coLocation
	if len(c.bestEffort) == 0 || p.cfg.IgnoreInterference || !c.allKnown() {
		return false
	}
	checkDue := c.figuresAt > c.checkedAt || now.Steady-c.checkedAt >= speedChangeInterval
	if now.Steady-c.raisedAt < speedChangeInterval || !checkDue {
		return true
	}
	c.checkedAt = now.Steady
	runs := p.leastHarmfulFirst(c, now)
	usual := p.headrooms(w, learnedLimit, now)
	learned := p.headrooms(w, learnedLimit, now)
	shown := c.figuresShowSpeeds()
	for _, x := range runs {
		r := x.run
		if r.state != runActive || r.speedPercent == 100 {
			continue
		}
		more := 0
		if worst < speedUpRatio {
			more = affordable(usual, x.expected, min(100-r.speedPercent, speedUpStep))
		}
		if shown && x.known {
			more = max(more, affordable(learned, x.upper, 100-r.speedPercent))
		}
		if more < minLearnedStep && r.speedPercent+more < 100 {
			continue
		}
		if more > speedUpStep || worst >= speedUpRatio {
			p.interference.stats.Raised++
		}
		c.raisedAt = now.Steady
		spend(usual, x.expected, more)
		spend(learned, x.upper, more)
		p.setSpeed(r, r.speedPercent+more, now)
	}
	return true
}

// allKnown reports whether all tasks that can interfere on a worker have an image.
func (c *coLocation) allKnown() bool {
	for _, r := range c.bestEffort {
		if r.kind == nil {
			return false
		}
	}
	for _, r := range c.latencyCritical {
		if r.kind == nil {
			return false
		}
	}
	return true
}

// figuresShowSpeeds reports whether the last reported tail latencies show the effect of the present tasks and speeds.
func (c *coLocation) figuresShowSpeeds() bool {
	if !c.settled(c.figuresAt) {
		return false
	}
	for _, r := range c.bestEffort {
		if r.speed.unknown || c.figuresAt-r.speed.changedAt < settlingTime {
			return false
		}
	}
	for _, r := range c.latencyCritical {
		if r.usage <= 0 {
			return false
		}
	}
	return true
}

// raise is a best-effort run that may be sped up, with its effects at full speed on the latency-critical runs of its
// worker.
type raise struct {
	run             *run
	expected, upper []float64
	worst           float64 // largest of upper
	known           bool    // all effects are known
}

// leastHarmfulFirst returns the best-effort runs of a worker in the order in which they are sped up.
func (p *Pool) leastHarmfulFirst(c *coLocation, now Time) []raise {
	out := make([]raise, 0, len(c.bestEffort))
	for _, r := range c.bestEffort {
		x := raise{run: r, known: true}
		for _, v := range c.latencyCritical {
			e := p.effect(r.kind, v.kind, now)
			x.upper = append(x.upper, e.Upper(learnedDeviations))
			x.expected = append(x.expected, p.expectedEffect(r.kind, v.kind, now))
			x.known = x.known && e.Known
			x.worst = max(x.worst, e.Upper(learnedDeviations))
		}
		out = append(out, x)
	}
	slices.SortStableFunc(out, func(a, b raise) int { return cmp.Compare(a.worst, b.worst) })
	return out
}
