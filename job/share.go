package job

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// weightUnit is the number of integer units of a weight of 1. Sums of integers do not depend on the order of a map.
const weightUnit = 1_000_000

// admissionMargin is the fraction of a job's slack that the work ahead of it may take at admission. The rest covers the job's
// own tasks, which do not all start at once, and work that arrives later and is placed before it. With a greater fraction more
// admitted jobs are late; with a smaller one more jobs are refused that could be on time.
const admissionMargin = 0.5

// tenant is a customer with a weight, or the group of all jobs that have none. All fields except those of the rate and nextReturn
// are derived from the jobs and runs of the pool in each scheduling pass.
type tenant struct {
	name   string
	weight int64 // in weightUnit
	active bool  // has work in the pool
	held   Resources
	// heldShare is held as a fraction of the pool's capacity.
	heldShare float64
	asked     Resources // requested by the queued occurrences counted so far and by the jobs admitted since the last pass
	backlog   backlog   // of the tenant's work, as the time that the whole pool needs
	// tokens is the number of jobs that it may submit now within its rate, as of refilledAt.
	tokens     float64
	refilledAt time.Duration
	nextReturn time.Duration // time at which the next refused caller may retry
}

// shares divides a pool among the customers with a weight.
type shares struct {
	tenants map[string]*tenant // by customer
	// unweighted is the tenant of the jobs without a customer that has a weight.
	unweighted   tenant
	activeWeight int64     // of the active customers
	activeCount  int64     // active customers
	demand       Resources // what all tenants hold and request
	version      int64     // of the configuration
	generation   int64     // increases with each change of the tenants
	// overRateBacklog is the time that the pool needs for the queued jobs beyond the rates of their customers.
	overRateBacklog time.Duration
	// capacity is that of the pool at the last scheduling pass. It is stored so that admission does not iterate over the workers.
	capacity   Resources
	computedAt time.Duration
	scratch    []queueEntry // of moveBeyondShareBack
}

// set replaces the weights. Customers that remain keep their tokens, so that frequent configuration changes do not refill them.
func (s *shares) set(limits map[string]CustomerLimits) {
	old := s.tenants
	s.tenants = make(map[string]*tenant, len(limits))
	s.generation++
	s.activeWeight, s.activeCount = 0, 0
	for name, l := range limits {
		if l.Weight <= 0 {
			continue
		}
		c := old[name]
		if c == nil {
			c = &tenant{name: name, tokens: math.Inf(1)}
		}
		c.weight = max(1, int64(math.Min(l.Weight, math.MaxInt32)*weightUnit))
		s.tenants[name] = c
		if c.active {
			s.activeWeight += c.weight
			s.activeCount++
		}
	}
}

// enabled reports whether any customer has a weight.
func (s *shares) enabled() bool { return len(s.tenants) > 0 }

// of returns the tenant of a job. It must be called only if shares are enabled.
func (s *shares) of(j *jobState) *tenant {
	if j.tenantGeneration == s.generation {
		return j.tenant
	}
	j.tenant, j.tenantGeneration = s.tenants[j.spec.Customer], s.generation
	if j.tenant == nil {
		j.tenant = &s.unweighted
	}
	return j.tenant
}

// reset clears the derived state at the beginning of a scheduling pass.
func (s *shares) reset(capacity Resources, now Time) {
	for _, c := range s.tenants {
		c.reset()
	}
	s.unweighted.reset()
	s.activeWeight, s.activeCount, s.overRateBacklog, s.demand = 0, 0, 0, Resources{}
	s.capacity, s.computedAt = capacity, now.Steady
}

func (c *tenant) reset() {
	c.active, c.held, c.heldShare, c.asked, c.backlog = false, Resources{}, 0, Resources{}, backlog{}
}

// activate records that a tenant has work in the pool.
func (s *shares) activate(c *tenant) {
	if c.active {
		return
	}
	c.active = true
	if c != &s.unweighted {
		s.activeWeight += c.weight
		s.activeCount++
	}
}

// fraction returns a tenant's share of the pool: its weight divided by the sum of the weights of all tenants with work and its
// own. The unweighted jobs together have the mean weight of the active customers, so that neither they nor the customers
// starve.
func (s *shares) fraction(c *tenant) float64 {
	total, count := s.activeWeight, s.activeCount
	if c == &s.unweighted {
		return 1 / float64(count+1)
	}
	if !c.active {
		total, count = total+c.weight, count+1
	}
	if s.unweighted.active {
		total += total / count
	}
	return float64(c.weight) / float64(total)
}

// serviceShare returns the fraction of the pool at which a tenant's work is served: its share, or what it holds if that is more.
func (s *shares) serviceShare(c *tenant) float64 { return max(s.fraction(c), c.heldShare) }

// within reports whether what a tenant holds and requests is less than its share.
func (s *shares) within(c *tenant) bool { return c.held.Add(c.asked).Share(s.capacity) < s.fraction(c) }

// addRunning counts a run and its remaining work for its tenant.
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

// addWork adds work to the tenant's backlog. A nil tenant is ignored.
func (c *tenant) addWork(work time.Duration, onTime bool) {
	if c == nil {
		return
	}
	c.backlog.total += work
	if onTime {
		c.backlog.onTime += work
	}
}

// countShares adds the demand of the queued occurrences to their tenants. The runs must have been counted before.
func (p *Pool) countShares(q []queueEntry) {
	s := &p.shares
	if !s.enabled() {
		return
	}
	for i := range q {
		if w := &q[i]; w.precedence != precedenceLongRunning {
			w.tenant = s.of(w.job)
			w.request = w.pendingRequest()
			s.activate(w.tenant)
			s.demand = s.demand.Add(w.request)
		}
	}
	for _, c := range s.tenants {
		c.heldShare = c.held.Share(s.capacity)
	}
}

// markShares marks the occurrences beyond the share of their tenant and moves them behind the others of their precedence class.
// The queue must be sorted and unmarked. An occurrence is beyond the share if what the tenant holds and its earlier occurrences
// request reach the share. The size of the occurrence itself does not count, so a large one is not beyond the share for its size.
//
// An expiring job is placed ahead of jobs that can be on time only if it is within the share. Otherwise the late jobs of a
// customer that submits too many would use up the slack of the other customers' jobs.
func (p *Pool) markShares(q []queueEntry) {
	s := &p.shares
	if s.activeCount == 0 {
		return
	}
	for _, c := range s.tenants {
		c.asked = Resources{}
	}
	s.unweighted.asked = Resources{}
	changedClass := false
	for i := range q {
		w := &q[i]
		if w.tenant == nil {
			continue
		}
		w.beyondShare = !s.within(w.tenant)
		w.tenant.asked = w.tenant.asked.Add(w.request)
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

// moveBeyondShareBack moves the occurrences beyond the share behind the others of a class and otherwise keeps the order. This
// costs less than sorting the queue again.
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

// remarkShares sorts and marks the queue again after occurrences were moved to another precedence class, because the moved
// ones must not use up the share of those that are now ahead of them.
func (p *Pool) remarkShares(q []queueEntry) {
	for i := range q {
		q[i].beyondShare = false
	}
	slices.SortFunc(q, compareQueueEntries)
	p.markShares(q)
}

// onTimeAtShare reports whether an occurrence can start in time at its customer's share, behind the customer's work counted so
// far. Beyond the share, this is checked because new work of other customers is placed ahead and the present queue does not
// show it.
func (p *Pool) onTimeAtShare(w *queueEntry, now Time) bool {
	if !w.beyondShare || w.tenant == &p.shares.unweighted {
		return true
	}
	return atShare(w.tenant.backlog.onTime, p.shares.serviceShare(w.tenant)) <= w.latestStart-now.Steady
}

// pendingRequest returns the resources requested by the tasks of an occurrence that could start now.
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

// firstRequest returns the resources requested by the tasks of a job without dependencies.
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
func (c *tenant) refill(now Time) {
	rate := float64(c.weight) / weightUnit
	earned := (now.Steady - c.refilledAt).Seconds() * rate
	c.tokens = min(max(1, rate), c.tokens+max(0, earned))
	c.refilledAt = now.Steady
}

// admission is the decision on a submitted job.
type admission struct {
	wait     time.Duration // until capacity is expected, for a refused job; otherwise zero
	overRate bool          // the job exceeds its customer's rate
	event    Event         // explains the decision; it has no kind if the job is admitted regardless of shares
}

// checkShare decides whether a job of a customer with a weight is admitted:
//   - any job, while the pool has free capacity or if the job can meet its objective behind all work of the pool;
//   - a job within the rate, if the customer is within its share, or if the job can meet its objective behind the customer's own
//     work at the customer's serviceShare;
//   - a job beyond the rate, if it can meet its objective behind all work within the rates and the customer's own.
//
// The work of the job itself does not count, so that large jobs are not refused for their size.
func (p *Pool) checkShare(c *tenant, s *Spec, now Time) admission {
	c.refill(now)
	work := p.work(s, p.shares.capacity)
	slack := time.Duration(admissionMargin * float64(s.objective()-s.criticalPath()))
	share := p.shares.serviceShare(c)
	own := backlog{onTime: atShare(c.backlog.onTime, share), total: atShare(c.backlog.total, share)}
	room := p.shares.demand.Share(p.shares.capacity) < 1 || p.backlog.total <= slack
	a := admission{overRate: c.tokens < 1}
	switch {
	case a.overRate && (room || p.backlog.total-p.shares.overRateBacklog+own.total <= slack):
		a.event = Event{Kind: "job over rate"}
	case a.overRate:
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
		p.admitAtShare(c, s, work, a.overRate)
	}
	return a
}

// admitAtShare counts an admitted job, which is not in the queue before the next scheduling pass.
func (p *Pool) admitAtShare(c *tenant, s *Spec, work time.Duration, overRate bool) {
	request := s.firstRequest()
	p.shares.activate(c)
	p.shares.demand = p.shares.demand.Add(request)
	c.asked = c.asked.Add(request)
	c.addWork(work, !overRate)
	p.backlog.total += work
	if overRate {
		p.shares.overRateBacklog += work
		return
	}
	c.tokens--
	p.backlog.onTime += work
}

// atShare returns the time that work takes at a share of the pool, at most an hour so that a tiny share does not overflow it.
func atShare(work time.Duration, share float64) time.Duration {
	return time.Duration(min(float64(work)/share, float64(time.Hour)))
}

// returnTime returns the time after which a refused caller of the customer may retry. Room is the time until the backlog admits
// the job, step the time that the job takes at the customer's share.
//
// Successive callers get times that are a step apart, so that they retry in order and no faster than the pool can serve them. The
// sequence starts again when it reaches maxRetryAfter. It begins at half of that at most, so that there is time left to spread
// the callers over.
func (c *tenant) returnTime(room, step time.Duration, now Time) time.Duration {
	first := now.Steady + min(maxRetryAfter/2, max(minRetryAfter, room))
	if c.nextReturn < first || c.nextReturn > now.Steady+maxRetryAfter {
		c.nextReturn = first
	}
	wait := c.nextReturn - now.Steady
	c.nextReturn += max(step, time.Millisecond)
	return wait
}

// describe returns the state of a customer's share for the log.
func (s *shares) describe(c *tenant, now Time) string {
	return fmt.Sprintf("customer %q of configuration %d: share %.4f of the pool as of %d ms ago, backlog %d ms on time and %d ms in total, %.1f jobs left of its rate",
		c.name, s.version, s.fraction(c), (now.Steady - s.computedAt).Milliseconds(), c.backlog.onTime.Milliseconds(),
		c.backlog.total.Milliseconds(), c.tokens)
}

// explainShare returns the state of the share of a waiting job's customer, or an empty string if the customer has no weight.
func (p *Pool) explainShare(j *jobState, now Time) string {
	c := p.shares.tenants[j.spec.Customer]
	if c == nil {
		return ""
	}
	rate := ""
	if j.overRate {
		rate = ", the job exceeds its rate"
	}
	return fmt.Sprintf("; %s, holds %.4f%s", p.shares.describe(c, now), c.heldShare, rate)
}
