package job

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// weightUnit is the number of integer units of a weight of 1. Sums of integers do not depend on the order of a map.
const weightUnit = 1_000_000

// admissionMargin is the part of the time for which a job can wait that the work before it may take at admission. A large job
// needs the rest for its own tasks, which do not all start at once, and work of others may come before it. In replays of a flood,
// 55 of 476 jobs were admitted and then late with 1, and 13 with 0.5. With 0.35, 5% fewer jobs of peaks in turn were on time.
const admissionMargin = 0.5

// party is a customer with a weight, or all jobs without one together, as one pool sees it. All fields except those of the rate
// and nextReturn are derived from the jobs and runs of the pool in each scheduling pass.
type party struct {
	name   string
	weight int64 // in weightUnit
	active bool  // it has work in the pool
	held   Resources
	// heldShare is held as a part of the pool's capacity.
	heldShare float64
	asked     Resources // by its occurrences in the queue that were counted so far, and its jobs admitted since
	backlog   backlog   // its own work; like that of the pool, as the time that the whole pool needs
	// tokens is the number of jobs that it may submit now within its rate, as of refilledAt.
	tokens     float64
	refilledAt time.Duration
	nextReturn time.Duration // time that its next refused caller is given
}

// shares divides a pool among the customers with a weight.
type shares struct {
	parties map[string]*party // by customer
	// unowned is the party of the jobs without a customer that has a weight.
	unowned      party
	activeWeight int64     // of the active customers
	activeCount  int64     // active customers
	demand       Resources // that all parties hold and ask for
	version      int64     // of the configuration
	generation   int64     // increases with each change of the parties
	// spare is the part of the pool's backlog that exceeds the rates of customers, as the time that the pool needs for it.
	spare time.Duration
	// capacity is that of the pool at the last scheduling pass. Admission uses it, so that its cost does not grow with the
	// pool.
	capacity   Resources
	computedAt time.Duration
	scratch    []queueEntry // of moveBeyondShareBack
}

// set replaces the weights. A customer that stays keeps the tokens of its rate, so that frequent versions of the configuration
// do not raise it.
func (s *shares) set(limits map[string]CustomerLimits) {
	old := s.parties
	s.parties = make(map[string]*party, len(limits))
	s.generation++
	s.activeWeight, s.activeCount = 0, 0
	for name, l := range limits {
		if l.Weight <= 0 {
			continue
		}
		c := old[name]
		if c == nil {
			c = &party{name: name, tokens: math.Inf(1)}
		}
		c.weight = max(1, int64(math.Min(l.Weight, math.MaxInt32)*weightUnit))
		s.parties[name] = c
		if c.active {
			s.activeWeight += c.weight
			s.activeCount++
		}
	}
}

// enabled reports whether any customer has a weight.
func (s *shares) enabled() bool { return len(s.parties) > 0 }

// of returns the party of a job. It must be called only with enabled shares.
func (s *shares) of(j *jobState) *party {
	if j.partyGeneration == s.generation {
		return j.party
	}
	j.party, j.partyGeneration = s.parties[j.spec.Customer], s.generation
	if j.party == nil {
		j.party = &s.unowned
	}
	return j.party
}

// reset clears the derived state before a scheduling pass counts it again.
func (s *shares) reset(capacity Resources, now Time) {
	for _, c := range s.parties {
		c.reset()
	}
	s.unowned.reset()
	s.activeWeight, s.activeCount, s.spare, s.demand = 0, 0, 0, Resources{}
	s.capacity, s.computedAt = capacity, now.Steady
}

func (c *party) reset() {
	c.active, c.held, c.heldShare, c.asked, c.backlog = false, Resources{}, 0, Resources{}, backlog{}
}

// activate records that a party has work in the pool.
func (s *shares) activate(c *party) {
	if c.active {
		return
	}
	c.active = true
	if c != &s.unowned {
		s.activeWeight += c.weight
		s.activeCount++
	}
}

// fraction returns a party's share of the pool: its weight over the weights of all parties with work, itself included. The
// jobs without a weighted customer have the mean weight of the active customers, so that neither side shuts the other out.
func (s *shares) fraction(c *party) float64 {
	total, count := s.activeWeight, s.activeCount
	if c == &s.unowned {
		return 1 / float64(count+1)
	}
	if !c.active {
		total, count = total+c.weight, count+1
	}
	if s.unowned.active {
		total += total / count
	}
	return float64(c.weight) / float64(total)
}

// serviceShare returns the part of the pool that a party can count on: its share, or what it holds of the shares of others.
func (s *shares) serviceShare(c *party) float64 { return max(s.fraction(c), c.heldShare) }

// within reports whether what a party holds and asks for is less than its share.
func (s *shares) within(c *party) bool { return c.held.Add(c.asked).Share(s.capacity) < s.fraction(c) }

// addRunning counts a run.
func (s *shares) addRunning(r *run, work time.Duration) {
	if !s.enabled() {
		return
	}
	c := s.of(r.task.job)
	s.activate(c)
	size := r.task.step.reserved()
	c.held, s.demand = c.held.Add(size), s.demand.Add(size)
	c.addWork(work, true)
}

// addWork counts work.
func (c *party) addWork(work time.Duration, onTime bool) {
	if c == nil {
		return
	}
	c.backlog.total += work
	if onTime {
		c.backlog.onTime += work
	}
}

// countShares adds the occurrences of a queue to the parties, whose runs have been counted.
func (p *Pool) countShares(q []queueEntry) {
	s := &p.shares
	if !s.enabled() {
		return
	}
	for i := range q {
		if w := &q[i]; w.precedence != precedenceLongRunning {
			w.party = s.of(w.job)
			w.request = w.pendingRequest()
			s.activate(w.party)
			s.demand = s.demand.Add(w.request)
		}
	}
	for _, c := range s.parties {
		c.heldShare = c.held.Share(s.capacity)
	}
}

// markShares determines which occurrences lie beyond the share of their party, and moves them behind the others of their class. The
// queue must be sorted and without marks. An occurrence is beyond the share if what the party holds and what its earlier
// occurrences ask for reach the share. So the first one is within the share whatever its size.
//
// A late job that is about to become useless goes ahead of jobs that can be on time only within its share. Otherwise a customer
// that sends too much would use up the time for which the jobs of the others can wait.
func (p *Pool) markShares(q []queueEntry) {
	s := &p.shares
	if s.activeCount == 0 {
		return
	}
	for _, c := range s.parties {
		c.asked = Resources{}
	}
	s.unowned.asked = Resources{}
	changedClass := false
	for i := range q {
		w := &q[i]
		if w.party == nil {
			continue
		}
		w.beyondShare = !s.within(w.party)
		w.party.asked = w.party.asked.Add(w.request)
		if w.beyondShare && w.precedence == precedenceExpiring {
			w.precedence = precedenceLate
			changedClass = true
		}
	}
	if changedClass {
		slices.SortFunc(q, compareQueueEntries)
		return
	}
	for start := 0; start < len(q); {
		end := start + 1
		for end < len(q) && q[end].precedence == q[start].precedence {
			end++
		}
		s.moveBeyondShareBack(q[start:end])
		start = end
	}
}

// moveBeyondShareBack moves the occurrences beyond the share behind the others of a class and keeps the order otherwise. It
// replaces a second sort of the whole queue.
func (s *shares) moveBeyondShareBack(q []queueEntry) {
	within := 0
	for i := range q {
		if q[i].beyondShare {
			s.scratch = append(s.scratch, q[i])
			continue
		}
		q[within] = q[i]
		within++
	}
	copy(q[within:], s.scratch)
	clear(s.scratch)
	s.scratch = s.scratch[:0]
}

// remarkShares marks the shares again after occurrences were moved to another precedence class. Those that were moved behind
// others must not use up the share of those that stay.
func (p *Pool) remarkShares(q []queueEntry) {
	for i := range q {
		q[i].beyondShare = false
	}
	slices.SortFunc(q, compareQueueEntries)
	p.markShares(q)
}

// onTimeAtShare reports whether an occurrence can begin in time behind its customer's own work that was counted so far. Beyond the
// share, new work of other customers keeps coming before it, so the work that is in the queue now says too little.
func (p *Pool) onTimeAtShare(w *queueEntry, now Time) bool {
	if !w.beyondShare || w.party == &p.shares.unowned {
		return true
	}
	return atShare(w.party.backlog.onTime, p.shares.serviceShare(w.party)) <= w.latestStart-now.Steady
}

// pendingRequest returns what the tasks of an occurrence occupy that could start now.
func (w *queueEntry) pendingRequest() Resources {
	var sum Resources
	for i, tasks := range w.occurrence.steps {
		step := &w.job.spec.Steps[i]
		if w.occurrence.unfinished[i] == 0 || !w.occurrence.ready(step) {
			continue
		}
		size := step.reserved()
		for _, t := range tasks {
			if !t.done && t.run == nil {
				sum = sum.Add(size)
			}
		}
	}
	return sum
}

// firstRequest returns what the tasks of a job occupy that could start at once.
func (s *Spec) firstRequest() Resources {
	var sum Resources
	for i := range s.Steps {
		if step := &s.Steps[i]; len(step.DependsOn) == 0 {
			size, n := step.reserved(), int64(step.Count)
			sum = sum.Add(Resources{CPU: size.CPU * n, MemMB: size.MemMB * n, GPU: size.GPU * n})
		}
	}
	return sum
}

// refill adds the tokens since the last refill. The bucket holds the tokens of one second, and at least one.
func (c *party) refill(now Time) {
	rate := float64(c.weight) / weightUnit
	earned := (now.Steady - c.refilledAt).Seconds() * rate
	c.tokens = min(max(1, rate), c.tokens+max(0, earned))
	c.refilledAt = now.Steady
}

// admission is the decision on a submitted job.
type admission struct {
	wait  time.Duration // until capacity is expected, for a refused job; otherwise zero
	spare bool          // the job exceeds its customer's rate
	event Event         // explains the decision; without a kind if the job is admitted and shares had no part in that
}

// checkShare decides on a job of a customer with a weight. Any job is admitted while the pool has free capacity, or when it can meet
// its objective behind all work of the pool. Besides, a job within the rate is admitted when the customer is within its share, or
// when the job can meet its objective behind the customer's own work at the part of the pool that the customer can count on. A job
// beyond the rate is admitted when it can meet its objective behind the work within the rates and the customer's own.
//
// The conditions do not depend on the work of the job itself, so that large jobs are not refused for their size.
func (p *Pool) checkShare(c *party, s *Spec, now Time) admission {
	c.refill(now)
	work := p.work(s, p.shares.capacity)
	slack := time.Duration(admissionMargin * float64(s.objective()-s.criticalPath()))
	share := p.shares.serviceShare(c)
	own := backlog{onTime: atShare(c.backlog.onTime, share), total: atShare(c.backlog.total, share)}
	room := p.shares.demand.Share(p.shares.capacity) < 1 || p.backlog.total <= slack
	a := admission{spare: c.tokens < 1}
	switch {
	case a.spare && (room || p.backlog.total-p.shares.spare+own.total <= slack):
		a.event = Event{Kind: "job over rate"}
	case a.spare:
		a.event = Event{Kind: "job refused over rate"}
		a.wait = c.returnTime(min(own.total, p.backlog.total)-slack, atShare(work, share), now)
	case room:
	case p.shares.within(c) || own.onTime <= slack:
		a.event = Event{Kind: "job within share"}
	default:
		a.event = Event{Kind: "job refused over share"}
		a.wait = c.returnTime(min(own.onTime, p.backlog.total)-slack, atShare(work, share), now)
	}
	if a.event.Kind != "" {
		a.event.Reason = p.shares.describe(c, now)
	}
	if a.wait == 0 {
		p.admitAtShare(c, s, work, a.spare)
	}
	return a
}

// admitAtShare counts an admitted job until the next scheduling pass.
func (p *Pool) admitAtShare(c *party, s *Spec, work time.Duration, spare bool) {
	request := s.firstRequest()
	p.shares.activate(c)
	p.shares.demand = p.shares.demand.Add(request)
	c.asked = c.asked.Add(request)
	c.addWork(work, !spare)
	p.backlog.total += work
	if spare {
		p.shares.spare += work
		return
	}
	c.tokens--
	p.backlog.onTime += work
}

// atShare returns how long a party needs for work at its share of the pool.
func atShare(work time.Duration, share float64) time.Duration {
	return time.Duration(min(float64(work)/share, float64(time.Hour)))
}

// returnTime returns the time after which a refused caller of the customer may return. Room is the time until the customer's
// backlog has room, step the time in which the pool serves the refused job at the customer's share.
//
// Successive callers get times that are a step apart, so that they return in the order and at the rate in which the pool can
// serve them. The sequence starts again when it reaches maxRetryAfter. The first time is at most half of that, which leaves
// the other half for spreading.
func (c *party) returnTime(room, step time.Duration, now Time) time.Duration {
	first := now.Steady + min(maxRetryAfter/2, max(minRetryAfter, room))
	if c.nextReturn < first || c.nextReturn > now.Steady+maxRetryAfter {
		c.nextReturn = first
	}
	wait := c.nextReturn - now.Steady
	c.nextReturn += max(step, time.Millisecond)
	return wait
}

// describe returns the state of a customer's share for the log.
func (s *shares) describe(c *party, now Time) string {
	return fmt.Sprintf("customer %q of configuration %d: share %.4f of the pool as of %d ms ago, backlog %d ms on time and %d ms in total, %.1f jobs left of its rate",
		c.name, s.version, s.fraction(c), (now.Steady - s.computedAt).Milliseconds(), c.backlog.onTime.Milliseconds(),
		c.backlog.total.Milliseconds(), c.tokens)
}

// explainShare returns the state of the share of a waiting job's customer, or an empty string if the customer has no weight.
func (p *Pool) explainShare(j *jobState, now Time) string {
	c := p.shares.parties[j.spec.Customer]
	if c == nil {
		return ""
	}
	rate := ""
	if j.spare {
		rate = ", the job exceeds its rate"
	}
	return fmt.Sprintf("; %s, holds %.4f%s", p.shares.describe(c, now), c.heldShare, rate)
}
