package slots

import (
	"time"

	"github.com/berylwharf/berylwharf/membership"
)

const (
	// requestBatch is the number of candidates from which slots are requested at the same time. Two cover the case that
	// the preferred worker is busy without collecting many slots that are not needed.
	requestBatch = 2
	// requestMoreAfter is the waiting time after which slots of the next candidates are requested as well.
	requestMoreAfter = 100 * time.Millisecond
)

type heldState uint8

const (
	heldNone heldState = iota
	heldInUse
	heldIdle
	heldQuarantined
	heldReturning // returned, not yet acknowledged
)

// heldSlot is one slot of a worker at a holder.
type heldSlot struct {
	state  heldState
	serial Serial // highest serial received
	since  time.Time
	until  time.Time // end of the quarantine, also while returning
	sent   time.Time
}

// heldWorker is a worker of which this node holds, requests or has held slots.
type heldWorker struct {
	slots         [PerWorker]heldSlot
	queue         []*waiter // in order of arrival; ended waiters are removed lazily
	waiting       int       // waiters in queue that have not ended
	demand        int       // such waiters for which slots of this worker are requested
	sentDemand    int
	sentAt        time.Time
	dirty         bool      // capped demand differs from sentDemand; listed in holder.changed
	toReturn      int       // slots to return for the last recall, each when it falls free
	recalledUntil time.Time // until then other nodes are taken to wait for slots
	orphans       int       // running requests on slots of an ended membership
}

// waiter is a request that waits for a slot of one of its candidates.
type waiter struct {
	id          uint64
	candidates  []string
	requested   int // slots of candidates[:requested] have been requested
	requestedAt time.Time
	done        bool
}

// Assignment is a slot of a worker given to a request. ID is the one passed to Acquire.
type Assignment struct {
	ID     uint64
	Worker string
}

// holder is the state of a node as a user of slots.
type holder struct {
	node           string
	set            *membership.Set // nil while not a member
	workers        map[string]*heldWorker
	waiters        map[uint64]*waiter
	unackedReports map[string]time.Time // when the report was last sent, by home node
	changed        []string             // workers whose demand changed
	lastSeq        uint64
	draining       bool
	assigned       []Assignment
	send           func(to string, m Message)
}

func newHolder(node string, send func(string, Message)) *holder {
	return &holder{
		node:           node,
		workers:        make(map[string]*heldWorker),
		waiters:        make(map[uint64]*waiter),
		unackedReports: make(map[string]time.Time),
		send:           send,
	}
}

// setEpoch moves to a new epoch; set is nil if this node is not a member. The caller sends the reports.
func (h *holder) setEpoch(set *membership.Set) {
	h.set = set
	clear(h.unackedReports)
	for _, name := range sortedKeys(h.workers) {
		w := h.workers[name]
		if set == nil {
			w.reset()
		}
		w.toReturn = 0
		w.recalledUntil = time.Time{}
		w.sentDemand = 0
		w.dirty = false
		h.markChanged(name, w)
		if w.empty() {
			delete(h.workers, name)
		}
	}
	if set == nil {
		return
	}
	for i := range set.Members {
		h.unackedReports[set.Members[i].Node] = time.Time{}
	}
}

// reset drops all slots after this node's membership ended. The other members keep them in quarantine. Requests that
// still run are counted as orphans, so that their end is not mistaken for the end of a later request.
func (w *heldWorker) reset() {
	for i := range w.slots {
		if w.slots[i].state == heldInUse {
			w.orphans++
		}
		w.slots[i].state = heldNone
	}
}

func (w *heldWorker) empty() bool {
	for i := range w.slots {
		if w.slots[i].state != heldNone {
			return false
		}
	}
	return w.waiting == 0 && w.orphans == 0
}

// holdings returns the entries of the report to a home node, without retained quarantines.
func (h *holder) holdings(to string, now time.Time) []Holding {
	var report []Holding
	for _, name := range sortedKeys(h.workers) {
		w := h.workers[name]
		if h.set.Home(name) != to {
			continue
		}
		for i := range w.slots {
			s := &w.slots[i]
			hd := Holding{Worker: name, Slot: uint8(i), Serial: s.serial}
			switch s.state {
			case heldNone:
				continue
			case heldReturning:
				if !now.Before(s.until) {
					continue
				}
				hd.Quarantine = s.until.Sub(now)
			}
			report = append(report, hd)
		}
	}
	return report
}

func (h *holder) worker(name string) *heldWorker {
	w := h.workers[name]
	if w == nil {
		w = &heldWorker{}
		h.workers[name] = w
	}
	return w
}

// acquire assigns an idle slot of the first candidate that has one, or else queues a waiter.
func (h *holder) acquire(id uint64, candidates []string, now time.Time) {
	for _, name := range candidates {
		w := h.workers[name]
		if w == nil {
			continue
		}
		for i := range w.slots {
			if w.slots[i].state == heldIdle {
				w.slots[i].state = heldInUse
				h.assigned = append(h.assigned, Assignment{id, name})
				return
			}
		}
	}
	x := &waiter{id: id, candidates: candidates}
	h.waiters[id] = x
	for _, name := range candidates {
		w := h.worker(name)
		w.queue = append(w.queue, x)
		w.waiting++
	}
	h.requestNext(x, now)
}

// requestNext adds a waiter to the demand for its next requestBatch candidates.
func (h *holder) requestNext(x *waiter, now time.Time) {
	x.requestedAt = now
	for n := 0; n < requestBatch && x.requested < len(x.candidates); n++ {
		name := x.candidates[x.requested]
		x.requested++
		w := h.worker(name)
		w.demand++
		h.markChanged(name, w)
	}
}

// cappedDemand returns the number of slots of a worker to request. It is 0 while draining, since a granted slot would be
// returned at once.
func (h *holder) cappedDemand(w *heldWorker) int {
	if h.draining {
		return 0
	}
	return min(w.demand, maxRequested)
}

// markChanged records that the demand for a worker may have changed. flush sends it once, at the end of the call.
func (h *holder) markChanged(name string, w *heldWorker) {
	if !w.dirty && h.cappedDemand(w) != w.sentDemand {
		w.dirty = true
		h.changed = append(h.changed, name)
	}
}

// flush sends the requests for workers whose demand changed.
func (h *holder) flush(now time.Time) {
	for _, name := range h.changed {
		w := h.workers[name]
		if w == nil || !w.dirty {
			continue
		}
		w.dirty = false
		if h.cappedDemand(w) != w.sentDemand {
			h.sendAcquire(name, w, now)
		}
	}
	h.changed = h.changed[:0]
}

func (h *holder) sendAcquire(name string, w *heldWorker, now time.Time) {
	if h.set == nil {
		return
	}
	h.lastSeq++
	w.sentDemand = h.cappedDemand(w)
	w.sentAt = now
	h.send(h.set.Home(name), Message{Kind: KindAcquire, Worker: name, Count: w.sentDemand, Seq: h.lastSeq})
}

// removeWaiter ends a waiter and its demand. The queues drop it later.
func (h *holder) removeWaiter(x *waiter) {
	x.done = true
	delete(h.waiters, x.id)
	for i, name := range x.candidates {
		w := h.workers[name]
		w.waiting--
		if i < x.requested {
			w.demand--
			h.markChanged(name, w)
		}
		w.compact()
	}
}

// compact removes ended waiters from a queue of at least minQueue when they are half of it or more.
func (w *heldWorker) compact() {
	const minQueue = 16
	if len(w.queue) < minQueue || len(w.queue) < 2*w.waiting {
		return
	}
	kept := w.queue[:0]
	for _, x := range w.queue {
		if !x.done {
			kept = append(kept, x)
		}
	}
	clear(w.queue[len(kept):])
	w.queue = kept
}

// oldest returns the waiter that has waited longest for the worker, or nil.
func (w *heldWorker) oldest() *waiter {
	for len(w.queue) > 0 && w.queue[0].done {
		w.queue = w.queue[1:]
	}
	if len(w.queue) == 0 {
		return nil
	}
	return w.queue[0]
}

func (h *holder) cancel(id uint64) bool {
	x := h.waiters[id]
	if x == nil {
		return false
	}
	h.removeWaiter(x)
	return true
}

// freeSlot returns a slot to its home node if it is recalled or the node drains; otherwise it assigns the slot or keeps
// it idle.
func (h *holder) freeSlot(name string, w *heldWorker, i int, now time.Time) {
	s := &w.slots[i]
	if h.draining || (w.toReturn > 0 && now.Before(w.recalledUntil)) {
		w.toReturn = max(0, w.toReturn-1)
		h.returnSlot(name, s, i, time.Time{}, now)
		return
	}
	h.assignOrIdle(name, w, i, now)
}

// assignOrIdle assigns a slot to the oldest waiter. Without a waiter it keeps the slot idle, or returns it if other nodes
// wait.
func (h *holder) assignOrIdle(name string, w *heldWorker, i int, now time.Time) {
	s := &w.slots[i]
	if x := w.oldest(); x != nil {
		s.state = heldInUse
		h.assigned = append(h.assigned, Assignment{x.id, name})
		h.removeWaiter(x)
		return
	}
	if now.Before(w.recalledUntil) {
		h.returnSlot(name, s, i, time.Time{}, now)
		return
	}
	s.state = heldIdle
	s.since = now
}

// returnSlot returns a slot to its home node. A non-zero until is the end of the slot's quarantine.
func (h *holder) returnSlot(name string, s *heldSlot, i int, until time.Time, now time.Time) {
	s.state = heldReturning
	s.until = until
	h.sendReturn(name, s, i, now)
}

func (h *holder) sendReturn(name string, s *heldSlot, i int, now time.Time) {
	s.sent = now
	m := Message{Kind: KindReturn, Worker: name, Slot: uint8(i), Serial: s.serial}
	m.Quarantine = max(0, s.until.Sub(now))
	if s.until.IsZero() {
		m.Quarantine = 0
	}
	h.send(h.set.Home(name), m)
}

// endUse ends the use of one slot of a worker.
func (h *holder) endUse(name string, quarantine time.Duration, now time.Time) {
	w := h.workers[name]
	if w == nil {
		return
	}
	if w.orphans > 0 {
		// The other members keep the slots of the ended membership in quarantine.
		w.orphans--
		return
	}
	for i := range w.slots {
		s := &w.slots[i]
		if s.state != heldInUse {
			continue
		}
		switch {
		case quarantine <= 0:
			h.freeSlot(name, w, i, now)
		case h.draining:
			h.returnSlot(name, s, i, now.Add(quarantine), now)
		default:
			s.state = heldQuarantined
			s.until = now.Add(quarantine)
		}
		return
	}
}

// receive handles a message from the home node of a worker at the current epoch.
func (h *holder) receive(from string, m Message, now time.Time) {
	if m.Kind == KindReportAck {
		delete(h.unackedReports, from)
		return
	}
	if h.set.Home(m.Worker) != from {
		return
	}
	switch m.Kind {
	case KindGrant:
		h.handleGrant(from, m, now)
	case KindReturnAck:
		if w := h.workers[m.Worker]; w != nil {
			if s := &w.slots[m.Slot]; s.state == heldReturning && s.serial == m.Serial {
				s.state = heldNone
			}
		}
	case KindRecall:
		h.handleRecall(m, now)
	}
}

func (h *holder) handleGrant(from string, m Message, now time.Time) {
	h.send(from, Message{Kind: KindGrantAck, Worker: m.Worker, Slot: m.Slot, Serial: m.Serial})
	w := h.worker(m.Worker)
	s := &w.slots[m.Slot]
	if !s.serial.Less(m.Serial) {
		return
	}
	s.serial = m.Serial
	w.sentDemand = max(0, w.sentDemand-1)
	if h.draining {
		h.returnSlot(m.Worker, s, int(m.Slot), time.Time{}, now)
	} else {
		// The slots to return for earlier recalls do not include this one: the home node granted it knowing which other
		// nodes wait.
		h.assignOrIdle(m.Worker, w, int(m.Slot), now)
	}
	h.markChanged(m.Worker, w)
}

func (h *holder) handleRecall(m Message, now time.Time) {
	w := h.workers[m.Worker]
	if w == nil {
		return
	}
	toReturn := m.Count
	for i := range w.slots {
		s := &w.slots[i]
		if s.state == heldIdle {
			h.returnSlot(m.Worker, s, i, time.Time{}, now)
		}
		if s.state == heldReturning {
			toReturn--
		}
	}
	w.toReturn = max(0, toReturn)
	w.recalledUntil = now.Add(recallTTL)
}
