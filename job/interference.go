package job

import (
	"fmt"
	"slices"
	"time"

	"github.com/berylwharf/berylwharf/interference"
)

const (
	// settlingTime is how long before a report the tasks and speeds on a worker must have been unchanged for the reported tail
	// latency to reflect them: half a second that the latency covers, 100 ms until an order takes effect and 100 ms of transit.
	settlingTime = 700 * time.Millisecond
	// candidateWorkers is the number of workers for which the interference with a task to be placed is looked up. It is fixed, so
	// that the cost of a start does not grow with the pool.
	candidateWorkers = 8
	// harmfulEffect is the expected effect from which a pair counts as harmful: the tail latency is a fifth longer.
	harmfulEffect = 0.18
	// harmlessEffect is the upper bound of an effect below which a pair counts as harmless. It is the noise of one report.
	harmlessEffect = 0.15
	// harmlessBonus cancels the deduction in score for each latency-critical task on the worker of a best-effort task.
	harmlessBonus = 5.0
	// slowedPenalty is the deduction for a worker on which a best-effort task would do no work.
	slowedPenalty = 20.0
	// longRunningPenalty bounds the deduction for a latency-critical long-running task. It is less than the 10 points for a
	// worker that already has long-running tasks, so that no further machine is used.
	longRunningPenalty = 8.0
	// shortPenalty bounds the deduction for another latency-critical task. Packing counts up to 1.
	shortPenalty = 0.5
)

// interferenceState is what a pool has learned about interference.
type interferenceState struct {
	estimator *interference.Estimator
	stats     InterferenceStats
	exposures []interference.Exposure // reused by each report
	statsAt   time.Duration           // when the stats were last taken
	// changed states that there is evidence since the last snapshot, and stored that the store has a record. A record that
	// is not nil is to be stored with the next commit.
	changed, stored bool
	snapshotAt      time.Duration
	record          *Record
}

// InterferenceStats counts what was done about interference.
type InterferenceStats struct {
	Evidence   int64 // reported tail latencies that changed the estimates
	NoEvidence int64 // reported tail latencies of tasks with an image that did not
	KeptApart  int64 // placements in which a harmful pair was kept apart
	Together   int64 // placements in which a harmful pair was not kept apart
	Raised     int64 // speed-ups beyond the usual step
	FirstSlow  int64 // starts below full speed
	Kinds      int   // kinds that are known now
	Pairs      int   // pairs with recent evidence now
}

// statsInterval is the minimum time between the stats of a pool, because counting the pairs takes longer than a scheduling step
// of a small pool.
const statsInterval = time.Second

// TakeInterferenceStats returns the counts since the last ones. It returns false if those were taken less than a second
// ago.
func (p *Pool) TakeInterferenceStats(now Time) (InterferenceStats, bool) {
	if now.Steady-p.interference.statsAt < statsInterval {
		return InterferenceStats{}, false
	}
	s := p.interference.stats
	p.interference.stats, p.interference.statsAt = InterferenceStats{}, now.Steady
	s.Kinds, s.Pairs = p.interference.estimator.Size(now.Steady)
	return s, true
}

// coLocation is the part of a worker's runs that can interfere.
type coLocation struct {
	latencyCritical, bestEffort []*run        // in the order of sortedRuns
	changedAt                   time.Duration // when one of them last started or ended
	figuresAt                   time.Duration // when the last report arrived
	raisedAt, checkedAt         time.Duration // when raiseLearned last ordered a speed, and when it last looked for one
}

// latencyCritical reports whether best-effort tasks are slowed for the tasks of the step.
func (s *Step) latencyCritical() bool { return s.LatencyTarget.Milliseconds() > 0 && !s.BestEffort }

// kindOf returns the kind of the tasks of a step for the estimates of interference. It returns nil for tasks without an image
// and for those that neither have a latency target nor are best-effort.
func (p *Pool) kindOf(spec *Spec, s *Step, now Time) *interference.Kind {
	if p.cfg.IgnoreInterference || s.Image == "" || (!s.BestEffort && !s.latencyCritical()) {
		return nil
	}
	return p.interference.estimator.Kind(interference.Key{Image: s.Image, Customer: spec.Customer}, now.Steady)
}

// coLocate adds a run to those that can interfere on its worker.
func (p *Pool) coLocate(r *run, now Time) {
	r.kind = p.kindOf(r.task.job.spec, r.task.step, now)
	c := &r.worker.coLocation
	var list *[]*run
	switch s := r.task.step; {
	case s.BestEffort:
		list = &c.bestEffort
		r.speed.firstPending = r.kind != nil && r.state == runStarting
	case s.latencyCritical():
		list = &c.latencyCritical
	default:
		return
	}
	i, _ := slices.BinarySearchFunc(*list, r, func(a, b *run) int { return compareTasks(a.task.id, b.task.id) })
	*list = slices.Insert(*list, i, r)
	c.changedAt = now.Steady
}

// remove removes a run that has ended.
func (c *coLocation) remove(r *run, now Time) {
	for _, list := range []*[]*run{&c.latencyCritical, &c.bestEffort} {
		if i := slices.Index(*list, r); i >= 0 {
			*list = slices.Delete(*list, i, i+1)
			c.changedAt = now.Steady
		}
	}
}

// settled reports whether the tasks that can interfere were the same during the time that a report at the given time covers.
func (c *coLocation) settled(reportedAt time.Duration) bool {
	if reportedAt-c.changedAt < settlingTime {
		return false
	}
	for _, r := range c.bestEffort {
		if r.state != runActive || reportedAt-r.activeSince < settlingTime {
			return false
		}
	}
	for _, r := range c.latencyCritical {
		if r.state != runActive || reportedAt-r.activeSince < settlingTime {
			return false
		}
	}
	return true
}

// latencyRatio returns the reported tail latency of a latency-critical run as a fraction of its target.
func (r *run) latencyRatio() float64 {
	return float64(r.usage) / float64(r.task.step.LatencyTarget.Milliseconds())
}

// learnInterference learns from the tail latencies that a worker has just reported.
func (p *Pool) learnInterference(w *worker, now Time) {
	if p.cfg.IgnoreInterference {
		return
	}
	c := &w.coLocation
	w.recordReportedSpeeds(now)
	for _, r := range c.latencyCritical {
		if r.kind == nil {
			continue
		}
		if p.learnFrom(w, r, now) {
			p.interference.stats.Evidence++
			p.interference.changed = p.interference.changed || len(c.bestEffort) > 0
		} else {
			p.interference.stats.NoEvidence++
		}
	}
}

// learnFrom learns from the tail latency of one run. It reports whether it was evidence.
func (p *Pool) learnFrom(w *worker, r *run, now Time) bool {
	if !w.coLocation.settled(now.Steady) || (r.task.step.LongRunning && r.progress < availableProgress) {
		return false
	}
	exposures := p.interference.exposures[:0]
	lowerBound := false
	for _, b := range w.coLocation.bestEffort {
		if b.kind == nil || b.speed.unknown {
			return false
		}
		highest := b.speedPercent
		if now.Steady-b.speed.changedAt < settlingTime {
			highest = max(highest, b.speed.highest)
			lowerBound = true
		}
		exposures = append(exposures, interference.Exposure{Aggressor: b.kind, Speed: float64(highest) / 100})
	}
	p.interference.exposures = exposures
	return p.interference.estimator.Observe(interference.Sample{
		Worker: w.info.ID, Victim: r.kind, Ratio: r.latencyRatio(), Exposures: exposures, LowerBound: lowerBound,
	}, now.Steady)
}

// effect returns the effect of a best-effort task on a latency-critical one; nothing is expected of tasks without a kind.
func (p *Pool) effect(aggressor, victim *interference.Kind, now Time) interference.Effect {
	if aggressor == nil || victim == nil {
		return interference.Effect{}
	}
	return p.interference.estimator.Effect(aggressor, victim, now.Steady)
}

// expectedEffect returns the expected effect of a pair at full speed. The less evidence there is, the closer it is to 0.
func (p *Pool) expectedEffect(aggressor, victim *interference.Kind, now Time) float64 {
	return p.effect(aggressor, victim, now).Mean
}

// choice collects the workers with the highest scores for a task, in descending order and, of equal scores, in the
// order in which they were added.
type choice struct {
	kind    *interference.Kind // of the task; nil if only the score decides
	workers [candidateWorkers]*worker
	scores  [candidateWorkers]float64
	n       int
}

func (p *Pool) newChoice(t *task, now Time) choice {
	return choice{kind: p.kindOf(t.job.spec, t.step, now)}
}

// add adds a worker if its score is among the highest.
func (c *choice) add(w *worker, score float64) {
	limit := candidateWorkers
	if c.kind == nil {
		limit = 1
	}
	if c.n == limit && score <= c.scores[c.n-1] {
		return
	}
	if c.n < limit {
		c.n++
	}
	i := c.n - 1
	for ; i > 0 && c.scores[i-1] < score; i-- {
		c.workers[i], c.scores[i] = c.workers[i-1], c.scores[i-1]
	}
	c.workers[i], c.scores[i] = w, score
}

// choose returns the best of the collected workers with regard to interference, or nil if there is none.
func (p *Pool) choose(c *choice, t *task, now Time) *worker {
	if c.n == 0 {
		return nil
	}
	if c.kind == nil {
		return c.workers[0]
	}
	best, bestScore := 0, 0.0
	for i := range c.n {
		score := c.scores[i] + p.interferenceTerm(c.kind, t.step, c.workers[i], now)
		if i == 0 || score > bestScore {
			best, bestScore = i, score
		}
	}
	p.explainChoice(c, best, t, now)
	return c.workers[best]
}

// explainChoice counts and logs whether harmful pairs were kept apart.
func (p *Pool) explainChoice(c *choice, best int, t *task, now Time) {
	w := c.workers[best]
	if aggressor, victim, e := p.worstPair(c.kind, t.step, w, now); e >= harmfulEffect {
		p.interference.stats.Together++
		p.event(Event{Kind: "pair not kept apart", Task: t.id, Worker: w.info.ID, Reason: describePair(aggressor, victim, e)})
		return
	}
	if best == 0 {
		return
	}
	if aggressor, victim, e := p.worstPair(c.kind, t.step, c.workers[0], now); e >= harmfulEffect {
		p.interference.stats.KeptApart++
		p.event(Event{Kind: "pair kept apart", Task: t.id, Worker: w.info.ID, Reason: describePair(aggressor, victim, e)})
	}
}

func describePair(aggressor, victim *interference.Kind, effect float64) string {
	name := func(k *interference.Kind) string {
		if k.Key().Customer == "" {
			return k.Key().Image
		}
		return k.Key().Image + " of " + k.Key().Customer
	}
	return fmt.Sprintf("%s lengthens the tail of %s by a factor of exp(%.2f)", name(aggressor), name(victim), effect)
}

// worstPair returns the pair with the largest expected effect that a task of a kind forms on a worker.
func (p *Pool) worstPair(kind *interference.Kind, s *Step, w *worker, now Time) (aggressor, victim *interference.Kind, effect float64) {
	others := w.coLocation.bestEffort
	if s.BestEffort {
		others = w.coLocation.latencyCritical
	}
	for _, r := range others {
		a, v := r.kind, kind
		if s.BestEffort {
			a, v = kind, r.kind
		}
		if e := p.expectedEffect(a, v, now); e > effect {
			aggressor, victim, effect = a, v, e
		}
	}
	return aggressor, victim, effect
}

// interferenceTerm returns what is added to the score of a worker for a task of a kind.
func (p *Pool) interferenceTerm(kind *interference.Kind, s *Step, w *worker, now Time) float64 {
	if s.BestEffort {
		return p.bestEffortTerm(kind, w, now)
	}
	harm := 0.0
	for _, r := range w.coLocation.bestEffort {
		harm += p.expectedEffect(r.kind, kind, now)
	}
	if s.LongRunning {
		return -longRunningPenalty * min(1, harm)
	}
	return -shortPenalty * min(1, harm)
}

// bestEffortTerm prefers workers whose latency-critical tasks a best-effort task does not harm, or with headroom for the
// harm.
func (p *Pool) bestEffortTerm(kind *interference.Kind, w *worker, now Time) float64 {
	term, speed := 0.0, 1.0
	for _, r := range w.coLocation.latencyCritical {
		e := p.effect(kind, r.kind, now)
		switch {
		case e.Known && e.Upper(1) < harmlessEffect:
			term += harmlessBonus
		case e.Mean >= harmfulEffect:
			speed = min(speed, max(0, r.headroom(learnedLimit)/e.Mean))
		}
	}
	return term - slowedPenalty*(1-speed)
}
