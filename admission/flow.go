package admission

import "sort"

// queue is the sorted waiting list of one (customer, urgency). Deadlines mostly arrive in rising order, so an insertion
// moves few entries.
type queue struct {
	items []*Request
	head  int
}

func (q *queue) len() int { return len(q.items) - q.head }

func (q *queue) first() *Request {
	if q.len() == 0 {
		return nil
	}
	return q.items[q.head]
}

func (q *queue) insert(p Policy, r *Request) {
	if q.head > 32 && q.head*2 > len(q.items) {
		n := copy(q.items, q.items[q.head:])
		clear(q.items[n:])
		q.items = q.items[:n]
		q.head = 0
	}
	i := q.search(p, r)
	q.items = append(q.items, nil)
	copy(q.items[i+1:], q.items[i:])
	q.items[i] = r
}

// search returns the index of the first entry that r does not come after.
func (q *queue) search(p Policy, r *Request) int {
	return q.head + sort.Search(q.len(), func(i int) bool { return !p.Before(q.items[q.head+i], r) })
}

func (q *queue) remove(p Policy, r *Request) {
	i := q.search(p, r)
	if i == q.head {
		q.items[i] = nil
		q.head++
		return
	}
	copy(q.items[i:], q.items[i+1:])
	q.items[len(q.items)-1] = nil
	q.items = q.items[:len(q.items)-1]
}

// flow is the state of one customer.
type flow struct {
	name    string
	weight  float64
	share   int
	quota   int
	running int
	queued  int
	vtime   float64 // virtual time at which its next request starts
	cost    mean    // slot time in seconds
	queues  [urgencies]queue
	known   bool // in the last SetCustomers
}

func (f *flow) atQuota() bool { return f.quota > 0 && f.running >= f.quota }

// best returns the next request of the customer, nil when there is none.
func (f *flow) best(p Policy) *Request {
	var b *Request
	for i := range f.queues {
		r := f.queues[i].first()
		if r != nil && (b == nil || p.Before(r, b)) {
			b = r
		}
	}
	return b
}

// worst returns the request that is served last; under byUrgency the least urgent with the latest deadline.
func (f *flow) worst(p Policy) *Request {
	var w *Request
	for i := range f.queues {
		q := &f.queues[i]
		if q.len() == 0 {
			continue
		}
		if r := q.items[len(q.items)-1]; w == nil || p.Before(w, r) {
			w = r
		}
	}
	return w
}

// ahead returns how many requests of the customer are served before r, which is queued.
func (f *flow) ahead(p Policy, r *Request) int {
	n := 0
	for i := range f.queues {
		n += f.queues[i].search(p, r) - f.queues[i].head
	}
	return n
}

// mean is an exponentially weighted mean.
type mean struct {
	value float64
	n     int
}

const meanWeight = 0.05

func (m *mean) add(v float64) {
	m.n++
	m.value += (v - m.value) * max(meanWeight, 1/float64(m.n))
}
