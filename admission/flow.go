package admission

import "sort"

// requestList holds the waiting requests of one customer and urgency, sorted by Policy.Before. Deadlines mostly arrive in
// ascending order, so an insertion moves few entries.
type requestList struct {
	items []*Request
	head  int // index of the first entry; those before it are nil
}

func (l *requestList) len() int { return len(l.items) - l.head }

func (l *requestList) first() *Request {
	if l.len() == 0 {
		return nil
	}
	return l.items[l.head]
}

func (l *requestList) insert(p Policy, r *Request) {
	if l.head > 32 && l.head*2 > len(l.items) {
		n := copy(l.items, l.items[l.head:])
		clear(l.items[n:])
		l.items = l.items[:n]
		l.head = 0
	}
	i := l.search(p, r)
	l.items = append(l.items, nil)
	copy(l.items[i+1:], l.items[i:])
	l.items[i] = r
}

// search returns the index in items at which r is, or would be inserted.
func (l *requestList) search(p Policy, r *Request) int {
	return l.head + sort.Search(l.len(), func(i int) bool { return !p.Before(l.items[l.head+i], r) })
}

func (l *requestList) remove(p Policy, r *Request) {
	i := l.search(p, r)
	if i == l.head {
		l.items[i] = nil
		l.head++
		return
	}
	copy(l.items[i:], l.items[i+1:])
	l.items[len(l.items)-1] = nil
	l.items = l.items[:len(l.items)-1]
}

// flow is the queueing state of one customer.
type flow struct {
	name        string
	weight      float64
	share       int
	quota       int
	running     int
	queued      int
	virtualTime float64 // virtual start time of the next request
	meanCost    ewma    // slot time in seconds
	lists       [urgencyCount]requestList
	declared    bool // present in the last SetCustomers
}

func (f *flow) atQuota() bool { return f.quota > 0 && f.running >= f.quota }

// firstRequest returns the customer's waiting request that is served first, or nil if there is none.
func (f *flow) firstRequest(p Policy) *Request {
	var best *Request
	for i := range f.lists {
		r := f.lists[i].first()
		if r != nil && (best == nil || p.Before(r, best)) {
			best = r
		}
	}
	return best
}

// lastRequest returns the customer's waiting request that is served last, or nil if there is none. Under byUrgency this
// is the least urgent request with the latest deadline.
func (f *flow) lastRequest(p Policy) *Request {
	var last *Request
	for i := range f.lists {
		l := &f.lists[i]
		if l.len() == 0 {
			continue
		}
		if r := l.items[len(l.items)-1]; last == nil || p.Before(last, r) {
			last = r
		}
	}
	return last
}

// countAhead returns the number of the customer's waiting requests that are served before r, which must be queued.
func (f *flow) countAhead(p Policy, r *Request) int {
	n := 0
	for i := range f.lists {
		n += f.lists[i].search(p, r) - f.lists[i].head
	}
	return n
}

// ewma is an exponentially weighted moving average. It is the plain mean until 1/ewmaWeight values have been added.
type ewma struct {
	value float64
	n     int
}

const ewmaWeight = 0.05

func (m *ewma) add(v float64) {
	m.n++
	m.value += (v - m.value) * max(ewmaWeight, 1/float64(m.n))
}
