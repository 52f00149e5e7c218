package admission

import (
	"net/http"
	"time"

	"github.com/berylwharf/berylwharf/verdict"
)

const (
	// minCost is the least cost of a request in seconds, so that a customer whose requests fail at once still pays.
	minCost = 0.001
	// typicalHalfLife is the time without a completion after which the service time estimate halves. Without ageing, an
	// estimate above all deadlines would refuse everything and never be corrected.
	typicalHalfLife = time.Second
	// minRetryAfter and maxRetryAfter bound the time named to a refused caller.
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)

// Options configures a Queue.
type Options struct {
	// Limit bounds the waiting requests of the service.
	Limit int
	// Policy is Weighted when nil.
	Policy Policy
}

// Queue holds the waiting requests of one service. It is not safe for concurrent use.
type Queue struct {
	limit  int
	policy Policy
	flows  map[string]*flow
	active []*flow // flows with waiting requests
	queued int
	seq    uint64
	vtime  float64

	interval    mean // seconds between dequeues while requests wait
	lastDequeue time.Time
	backlogged  bool
	typical     mean // slot time in seconds
	lastDone    time.Time
}

// New returns an empty queue.
func New(o Options) *Queue {
	if o.Policy == nil {
		o.Policy = Weighted{}
	}
	return &Queue{limit: max(o.Limit, 1), policy: o.Policy, flows: make(map[string]*flow)}
}

// SetLimit changes the bound on waiting requests. Requests above a lower bound stay.
func (q *Queue) SetLimit(n int) { q.limit = max(n, 1) }

// SetCustomers replaces the declared shares and quotas. Waiting and running requests of a customer that is no longer
// declared are kept, with the share they had.
func (q *Queue) SetCustomers(cs map[string]Customer) {
	for _, f := range q.flows {
		f.known = false
	}
	for name, c := range cs {
		f := q.flows[name]
		if f == nil {
			f = &flow{name: name}
			q.flows[name] = f
		}
		f.share, f.weight, f.quota, f.known = c.Share, q.policy.Weight(c.Share), c.Quota, true
	}
	for name, f := range q.flows {
		if !f.known && f.queued == 0 && f.running == 0 {
			delete(q.flows, name)
		}
	}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.queued }

// LenBy returns the number of waiting requests of one urgency.
func (q *Queue) LenBy(u Urgency) int {
	n := 0
	for _, f := range q.active {
		n += f.queues[u].len()
	}
	return n
}

// Running returns the running requests of a customer.
func (q *Queue) Running(customer string) int {
	if f := q.flows[customer]; f != nil {
		return f.running
	}
	return 0
}

// Enqueue adds r. The refusals name the requests that do not run as a consequence; r may be among them.
func (q *Queue) Enqueue(now time.Time, r *Request) []Refusal {
	f := q.flows[r.Customer]
	if f == nil || !f.known {
		r.state = stateEnded
		return []Refusal{{r, refusal(verdict.ReasonUnknownCustomer, http.StatusForbidden, minRetryAfter,
			"the customer is not declared")}}
	}
	q.seq++
	r.seq = q.seq
	r.state = stateQueued
	r.flow = f
	if f.queued == 0 {
		q.activate(f)
	}
	f.queues[r.Urgency].insert(q.policy, r)
	f.queued++
	q.queued++
	if wait := q.wait(f, r); q.late(now, r, wait) {
		q.take(f, r)
		r.state = stateEnded
		return []Refusal{{r, q.deadlineRefusal(f, wait)}}
	}
	if q.queued > q.limit {
		return []Refusal{q.shed()}
	}
	return nil
}

// Dequeue returns the request that runs next, nil when none may run. Requests whose deadline can no longer be met are
// refused on the way. The caller ends the request with Done.
func (q *Queue) Dequeue(now time.Time) (*Request, []Refusal) {
	var refused []Refusal
	for {
		f := q.next()
		if f == nil {
			return nil, refused
		}
		r := f.best(q.policy)
		q.take(f, r)
		if q.late(now, r, 0) {
			r.state = stateEnded
			refused = append(refused, Refusal{r, q.deadlineRefusal(f, 0)})
			continue
		}
		q.start(now, f, r)
		return r, refused
	}
}

func (q *Queue) start(now time.Time, f *flow, r *Request) {
	r.state = stateRunning
	r.started = now
	f.running++
	q.vtime = max(q.vtime, f.vtime)
	f.vtime += q.cost(f, r) / f.weight
	if q.backlogged {
		q.interval.add(q.clip(now.Sub(q.lastDequeue).Seconds()))
	}
	q.lastDequeue = now
	q.backlogged = q.queued > 0
}

// clip bounds one interval sample, so that a single stall does not make all later waits look long.
func (q *Queue) clip(v float64) float64 {
	if q.interval.n > 0 {
		v = min(v, 4*q.interval.value+minCost)
	}
	return max(v, 0)
}

// Cancel removes a waiting request whose caller is gone. It returns false when the request no longer waits.
func (q *Queue) Cancel(r *Request) bool {
	if r.state != stateQueued {
		return false
	}
	q.take(r.flow, r)
	r.state = stateEnded
	return true
}

// Ready reports whether a request waits whose customer is below its quota.
func (q *Queue) Ready() bool {
	for _, f := range q.active {
		if !f.atQuota() {
			return true
		}
	}
	return false
}

// Drop removes and returns one waiting request, nil when there is none. It is for a service that has no backend server.
func (q *Queue) Drop() *Request {
	if len(q.active) == 0 {
		return nil
	}
	f := q.active[0]
	r := f.best(q.policy)
	q.take(f, r)
	r.state = stateEnded
	return r
}

// Done ends a request that Dequeue returned. completed states that its slot time is known, so that it may be learned.
func (q *Queue) Done(now time.Time, r *Request, completed bool) {
	if r.state != stateRunning {
		return
	}
	r.state = stateEnded
	f := r.flow
	if f.atQuota() {
		// Time during which the quota held the customer back gives no claim to more than its share later.
		f.vtime = max(f.vtime, q.vtime)
	}
	f.running--
	if completed {
		d := now.Sub(r.started).Seconds()
		f.cost.add(d)
		q.typical.add(d)
		q.lastDone = now
	}
}

func (q *Queue) activate(f *flow) {
	f.vtime = max(f.vtime, q.vtime)
	q.active = append(q.active, f)
}

// next returns the customer that is served next.
func (q *Queue) next() *flow {
	var best *flow
	for _, f := range q.active {
		if f.atQuota() {
			continue
		}
		if best == nil || q.before(f, best) {
			best = f
		}
	}
	return best
}

func (q *Queue) before(a, b *flow) bool {
	if q.policy.PickRequest() {
		return q.policy.Before(a.best(q.policy), b.best(q.policy))
	}
	if a.vtime != b.vtime {
		return a.vtime < b.vtime
	}
	return a.name < b.name
}

// take removes a waiting request from its queue.
func (q *Queue) take(f *flow, r *Request) {
	f.queues[r.Urgency].remove(q.policy, r)
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

// cost returns the slot time in seconds that r is expected to take.
func (q *Queue) cost(f *flow, r *Request) float64 {
	switch {
	case r.Cost > 0:
		return r.Cost
	case f.cost.n > 0:
		return max(f.cost.value, minCost)
	}
	return max(q.typical.value, minCost)
}

// shed refuses the least urgent, latest-deadline request of the customer furthest above its share of the queue.
func (q *Queue) shed() Refusal {
	var most *flow
	sum := 0.0
	for _, f := range q.active {
		sum += f.weight
		if most == nil || q.shedsBefore(f, most) {
			most = f
		}
	}
	above := float64(most.queued)*sum > float64(q.queued)*most.weight
	wait := q.drainTime(most)
	r := most.worst(q.policy)
	full := most.atQuota()
	q.take(most, r)
	r.state = stateEnded
	switch {
	case full:
		return Refusal{r, refusal(verdict.ReasonQuota, http.StatusTooManyRequests, wait,
			"the customer's quota of running requests is used up and the queue is full")}
	case above:
		return Refusal{r, refusal(verdict.ReasonQueueFull, http.StatusTooManyRequests, wait,
			"the queue is full and the customer is above its share")}
	}
	return Refusal{r, refusal(verdict.ReasonQueueFull, http.StatusServiceUnavailable, wait, "the queue is full")}
}

// shedsBefore reports whether a loses a request rather than b. Policies without shares drop the last request of all.
func (q *Queue) shedsBefore(a, b *flow) bool {
	if q.policy.PickRequest() {
		return q.policy.Before(b.worst(q.policy), a.worst(q.policy))
	}
	return furtherAbove(a, b)
}

func furtherAbove(a, b *flow) bool {
	x, y := float64(a.queued)/a.weight, float64(b.queued)/b.weight
	if x != y {
		return x > y
	}
	if a.vtime != b.vtime {
		return a.vtime > b.vtime
	}
	return a.name > b.name
}
