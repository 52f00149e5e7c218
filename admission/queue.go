package admission

import (
	"net/http"
	"time"

	"github.com/berylwharf/berylwharf/verdict"
)

const (
	// minCost is the minimum cost of a request in seconds, so that requests that fail immediately are still charged to
	// their customer.
	minCost = 0.001
	// slotTimeHalfLife is the time without a completion after which the slot time estimate halves. Without this decay, an
	// estimate above all deadlines would cause every request to be refused and would never be corrected.
	slotTimeHalfLife = time.Second
	// minRetryAfter and maxRetryAfter bound the Retry-After of refusals.
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)

// Options configures a Queue.
type Options struct {
	// Limit is the maximum number of waiting requests of the service.
	Limit int
	// Policy orders requests and customers; nil means Weighted.
	Policy Policy
}

// Queue holds the waiting requests of one service. It is not safe for concurrent use.
type Queue struct {
	limit       int
	policy      Policy
	flows       map[string]*flow
	active      []*flow // flows with waiting requests
	queued      int
	seq         uint64
	virtualTime float64 // highest virtual start time of a dequeued request

	dequeueInterval ewma // seconds between dequeues while requests wait
	lastDequeue     time.Time
	backlogged      bool
	slotTime        ewma // slot time in seconds
	lastCompletion  time.Time
}

// New returns an empty queue.
func New(o Options) *Queue {
	if o.Policy == nil {
		o.Policy = Weighted{}
	}
	return &Queue{limit: max(o.Limit, 1), policy: o.Policy, flows: make(map[string]*flow)}
}

// SetLimit changes the maximum number of waiting requests. Requests already queued above a lower limit are kept.
func (q *Queue) SetLimit(n int) { q.limit = max(n, 1) }

// SetCustomers replaces the declared shares and quotas. Waiting and running requests of a customer that is no longer
// declared are kept, and the customer keeps its last share and quota until they have ended.
func (q *Queue) SetCustomers(cs map[string]Customer) {
	for _, f := range q.flows {
		f.declared = false
	}
	for name, c := range cs {
		f := q.flows[name]
		if f == nil {
			f = &flow{name: name}
			q.flows[name] = f
		}
		f.share, f.weight, f.quota, f.declared = c.Share, q.policy.Weight(c.Share), c.Quota, true
	}
	for name, f := range q.flows {
		if !f.declared && f.queued == 0 && f.running == 0 {
			delete(q.flows, name)
		}
	}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.queued }

// LenByUrgency returns the number of waiting requests with urgency u.
func (q *Queue) LenByUrgency(u Urgency) int {
	n := 0
	for _, f := range q.active {
		n += f.lists[u].len()
	}
	return n
}

// Running returns the number of running requests of a customer.
func (q *Queue) Running(customer string) int {
	if f := q.flows[customer]; f != nil {
		return f.running
	}
	return 0
}

// Enqueue adds r and returns the requests that are refused as a consequence, which may include r.
func (q *Queue) Enqueue(now time.Time, r *Request) []Refusal {
	f := q.flows[r.Customer]
	if f == nil || !f.declared {
		r.state = stateEnded
		return []Refusal{{r, newRefusal(verdict.ReasonUnknownCustomer, http.StatusForbidden, minRetryAfter,
			"the customer is not declared")}}
	}
	q.seq++
	r.seq = q.seq
	r.state = stateQueued
	r.flow = f
	if f.queued == 0 {
		q.activate(f)
	}
	f.lists[r.Urgency].insert(q.policy, r)
	f.queued++
	q.queued++
	if wait := q.estimateWait(f, r); q.missesDeadline(now, r, wait) {
		q.removeWaiting(f, r)
		r.state = stateEnded
		return []Refusal{{r, q.deadlineRefusal(f, wait)}}
	}
	if q.queued > q.limit {
		return []Refusal{q.shed()}
	}
	return nil
}

// Dequeue removes and returns the request that runs next, or nil if none may run. It also returns the refusals of
// requests that can no longer meet their deadlines. The returned request must be ended with Done.
func (q *Queue) Dequeue(now time.Time) (*Request, []Refusal) {
	var refused []Refusal
	for {
		f := q.nextFlow()
		if f == nil {
			return nil, refused
		}
		r := f.firstRequest(q.policy)
		q.removeWaiting(f, r)
		if q.missesDeadline(now, r, 0) {
			r.state = stateEnded
			refused = append(refused, Refusal{r, q.deadlineRefusal(f, 0)})
			continue
		}
		q.startRequest(now, f, r)
		return r, refused
	}
}

// startRequest marks r as running, charges its expected cost to f and samples the dequeue interval.
func (q *Queue) startRequest(now time.Time, f *flow, r *Request) {
	r.state = stateRunning
	r.started = now
	f.running++
	q.virtualTime = max(q.virtualTime, f.virtualTime)
	f.virtualTime += q.expectedCost(f, r) / f.weight
	if q.backlogged {
		q.dequeueInterval.add(q.clampInterval(now.Sub(q.lastDequeue).Seconds()))
	}
	q.lastDequeue = now
	q.backlogged = q.queued > 0
}

// clampInterval bounds an interval sample, so that a single stall does not inflate all later wait estimates.
func (q *Queue) clampInterval(v float64) float64 {
	if q.dequeueInterval.n > 0 {
		v = min(v, 4*q.dequeueInterval.value+minCost)
	}
	return max(v, 0)
}

// Cancel removes a waiting request. It returns false if r is not waiting.
func (q *Queue) Cancel(r *Request) bool {
	if r.state != stateQueued {
		return false
	}
	q.removeWaiting(r.flow, r)
	r.state = stateEnded
	return true
}

// Ready reports whether any customer below its quota has waiting requests.
func (q *Queue) Ready() bool {
	for _, f := range q.active {
		if !f.atQuota() {
			return true
		}
	}
	return false
}

// Drop removes and returns an arbitrary waiting request, or nil if there is none. It is used to empty the queue of a
// service without backend servers.
func (q *Queue) Drop() *Request {
	if len(q.active) == 0 {
		return nil
	}
	f := q.active[0]
	r := f.firstRequest(q.policy)
	q.removeWaiting(f, r)
	r.state = stateEnded
	return r
}

// Done ends a request returned by Dequeue. If completed is true, its slot time is added to the estimates.
func (q *Queue) Done(now time.Time, r *Request, completed bool) {
	if r.state != stateRunning {
		return
	}
	r.state = stateEnded
	f := r.flow
	if f.atQuota() {
		// A customer held back by its quota earns no credit for that time towards more than its share later.
		f.virtualTime = max(f.virtualTime, q.virtualTime)
	}
	f.running--
	if completed {
		d := now.Sub(r.started).Seconds()
		f.meanCost.add(d)
		q.slotTime.add(d)
		q.lastCompletion = now
	}
}

// activate adds f to the active flows. Its virtual time is advanced so that it earns no credit for its idle time.
func (q *Queue) activate(f *flow) {
	f.virtualTime = max(f.virtualTime, q.virtualTime)
	q.active = append(q.active, f)
}

// nextFlow returns the flow that is served next, or nil if no customer below its quota has waiting requests.
func (q *Queue) nextFlow() *flow {
	var best *flow
	for _, f := range q.active {
		if f.atQuota() {
			continue
		}
		if best == nil || q.flowBefore(f, best) {
			best = f
		}
	}
	return best
}

// flowBefore reports whether a is served before b.
func (q *Queue) flowBefore(a, b *flow) bool {
	if q.policy.IgnoresShares() {
		return q.policy.Before(a.firstRequest(q.policy), b.firstRequest(q.policy))
	}
	if a.virtualTime != b.virtualTime {
		return a.virtualTime < b.virtualTime
	}
	return a.name < b.name
}

// removeWaiting removes the waiting request r from f.
func (q *Queue) removeWaiting(f *flow, r *Request) {
	f.lists[r.Urgency].remove(q.policy, r)
	f.queued--
	q.queued--
	q.backlogged = q.backlogged && q.queued > 0
	if f.queued > 0 {
		return
	}
	for i, a := range q.active {
		if a == f {
			last := len(q.active) - 1
			q.active[i] = q.active[last]
			q.active[last] = nil
			q.active = q.active[:last]
			break
		}
	}
}

// expectedCost returns the expected slot time of r in seconds.
func (q *Queue) expectedCost(f *flow, r *Request) float64 {
	switch {
	case r.Cost > 0:
		return r.Cost
	case f.meanCost.n > 0:
		return max(f.meanCost.value, minCost)
	}
	return max(q.slotTime.value, minCost)
}

// shed refuses the request that is served last of the customer furthest above its share of the queue. Policies that
// ignore shares refuse the request that is served last over all customers.
func (q *Queue) shed() Refusal {
	var victim *flow
	totalWeight := 0.0
	for _, f := range q.active {
		totalWeight += f.weight
		if victim == nil || q.shedsFirst(f, victim) {
			victim = f
		}
	}
	aboveShare := float64(victim.queued)*totalWeight > float64(q.queued)*victim.weight
	wait := q.estimateDrainTime(victim)
	r := victim.lastRequest(q.policy)
	quotaReached := victim.atQuota()
	q.removeWaiting(victim, r)
	r.state = stateEnded
	switch {
	case quotaReached:
		return Refusal{r, newRefusal(verdict.ReasonQuota, http.StatusTooManyRequests, wait,
			"the customer's quota of running requests is used up and the queue is full")}
	case aboveShare:
		return Refusal{r, newRefusal(verdict.ReasonQueueFull, http.StatusTooManyRequests, wait,
			"the queue is full and the customer is above its share")}
	}
	return Refusal{r, newRefusal(verdict.ReasonQueueFull, http.StatusServiceUnavailable, wait, "the queue is full")}
}

// shedsFirst reports whether a request of a is shed in preference to one of b. Policies that ignore shares shed the
// request that is served last over all customers.
func (q *Queue) shedsFirst(a, b *flow) bool {
	if q.policy.IgnoresShares() {
		return q.policy.Before(b.lastRequest(q.policy), a.lastRequest(q.policy))
	}
	return furtherAboveShare(a, b)
}

// furtherAboveShare reports whether a holds more of the queue than b in relation to its weight.
func furtherAboveShare(a, b *flow) bool {
	x, y := float64(a.queued)/a.weight, float64(b.queued)/b.weight
	if x != y {
		return x > y
	}
	if a.virtualTime != b.virtualTime {
		return a.virtualTime > b.virtualTime
	}
	return a.name > b.name
}
