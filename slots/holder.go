package slots

import (
	"time"

	"github.com/berylwharf/berylwharf/membership"
)

const (
	// askAtOnce is the number of candidates whose home nodes are asked together. Two cover the case that the preferred
	// worker is busy, without collecting many slots that are not needed.
	askAtOnce = 2
	// askMoreAfter is the waiting time after which the next candidates are asked too.
	askMoreAfter = 100 * time.Millisecond
)

type heldState uint8

const (
	heldNone heldState = iota
	heldInUse
	heldIdle
	heldQuarantined
	heldReturning // returned, not yet acknowledged
)

// held is one slot of a worker at a holder.
type held struct {
	state  heldState
	serial Serial // greatest seen
	since  time.Time
	until  time.Time // end of the quarantine, also while returning
	sent   time.Time
}

// holding is a worker of which this node holds, wants or has held slots.
type holding struct {
	slots         [PerWorker]held
	queue         []*waiter // in order of arrival; satisfied ones are removed lazily
	live          int       // waiters in queue that still wait
	asked         int       // live waiters whose request includes this worker
	sentWant      int
	sentAt        time.Time
	dirty         bool // asked differs from what the home node was told
	owed          int
	recalledUntil time.Time // others wait, as far as is known
	orphans       int       // requests that run on slots of an ended membership
}

// waiter is a request that waits for a slot of one of its candidates.
type waiter struct {
	id         uint64
	candidates []string
	asked      int // candidates[:asked] were asked
	askedAt    time.Time
	done       bool
}

// Assignment gives a slot of a worker to a waiter.
type Assignment struct {
	ID     uint64
	Worker string
}

// holder is the side of a node that uses slots.
type holder struct {
	node     string
	set      *membership.Set // nil while not a member
	workers  map[string]*holding
	waiters  map[uint64]*waiter
	reports  map[string]time.Time // home nodes that have not acknowledged the report, with the time it was last sent
	changed  []string             // workers whose wants changed
	order    uint64
	draining bool
	assigned []Assignment
	send     func(to string, m Message)
}

func newHolder(node string, send func(string, Message)) *holder {
	return &holder{
		node:    node,
		workers: make(map[string]*holding),
		waiters: make(map[uint64]*waiter),
		reports: make(map[string]time.Time),
		send:    send,
	}
}

// setEpoch moves to a new epoch; set is nil when this node is not a member. The caller sends the reports.
func (h *holder) setEpoch(set *membership.Set) {
	h.set = set
	clear(h.reports)
	for _, name := range sortedKeys(h.workers) {
		w := h.workers[name]
		if set == nil {
			w.reset()
		}
		w.owed = 0
		w.recalledUntil = time.Time{}
		w.sentWant = 0
		w.dirty = false
		h.mark(name, w)
		if w.empty() {
			delete(h.workers, name)
		}
	}
	if set == nil {
		return
	}
	for i := range set.Members {
		h.reports[set.Members[i].Node] = time.Time{}
	}
}

// reset gives up all slots after the membership ended. The other members keep them in quarantine. Requests that still
// run are remembered, so that their end is not taken for the end of a later request.
func (w *holding) reset() {
	for i := range w.slots {
		if w.slots[i].state == heldInUse {
			w.orphans++
		}
		w.slots[i].state = heldNone
	}
}

func (w *holding) empty() bool {
	for i := range w.slots {
		if w.slots[i].state != heldNone {
			return false
		}
	}
	return w.live == 0 && w.orphans == 0
}

// holdings returns the entries of the report to a home node.
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

func (h *holder) worker(name string) *holding {
	w := h.workers[name]
	if w == nil {
		w = &holding{}
		h.workers[name] = w
	}
	return w
}

// acquire takes an idle slot of the first candidate that has one, or waits.
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
		w.live++
	}
	h.ask(x, now)
}

// ask includes the next candidates of a waiter in the requests to their home nodes.
func (h *holder) ask(x *waiter, now time.Time) {
	x.askedAt = now
	for n := 0; n < askAtOnce && x.asked < len(x.candidates); n++ {
		name := x.candidates[x.asked]
		x.asked++
		w := h.worker(name)
		w.asked++
		h.mark(name, w)
	}
}

// wanted returns the slots of a worker to ask for; none while draining, since a grant would go back at once.
func (h *holder) wanted(w *holding) int {
	if h.draining {
		return 0
	}
	return min(w.asked, maxWant)
}

// mark notes that the wants for a worker changed. They are sent once at the end of the step.
func (h *holder) mark(name string, w *holding) {
	if !w.dirty && h.wanted(w) != w.sentWant {
		w.dirty = true
		h.changed = append(h.changed, name)
	}
}

// flush sends the changed wants.
func (h *holder) flush(now time.Time) {
	for _, name := range h.changed {
		w := h.workers[name]
		if w == nil || !w.dirty {
			continue
		}
		w.dirty = false
		if h.wanted(w) != w.sentWant {
			h.sendWant(name, w, now)
		}
	}
	h.changed = h.changed[:0]
}

func (h *holder) sendWant(name string, w *holding, now time.Time) {
	if h.set == nil {
		return
	}
	h.order++
	w.sentWant = h.wanted(w)
	w.sentAt = now
	h.send(h.set.Home(name), Message{Kind: KindAcquire, Worker: name, Count: w.sentWant, Order: h.order})
}

// remove ends a waiter.
func (h *holder) remove(x *waiter) {
	x.done = true
	delete(h.waiters, x.id)
	for i, name := range x.candidates {
		w := h.workers[name]
		w.live--
		if i < x.asked {
			w.asked--
			h.mark(name, w)
		}
		w.compact()
	}
}

// compact drops ended waiters when they outnumber the others.
func (w *holding) compact() {
	const minQueue = 16
	if len(w.queue) < minQueue || len(w.queue) < 2*w.live {
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

// oldest returns the waiter of a worker that has waited longest, or nil.
func (w *holding) oldest() *waiter {
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
	h.remove(x)
	return true
}

// free puts a slot to its next use: back to the home node when that is owed, to a waiter, or idle.
func (h *holder) free(name string, w *holding, i int, now time.Time) {
	s := &w.slots[i]
	if h.draining || (w.owed > 0 && now.Before(w.recalledUntil)) {
		w.owed = max(0, w.owed-1)
		h.giveBack(name, s, i, time.Time{}, now)
		return
	}
	h.use(name, w, i, now)
}

// use gives a slot to the oldest waiter, or keeps it idle unless another node waits for it.
func (h *holder) use(name string, w *holding, i int, now time.Time) {
	s := &w.slots[i]
	if x := w.oldest(); x != nil {
		s.state = heldInUse
		h.assigned = append(h.assigned, Assignment{x.id, name})
		h.remove(x)
		return
	}
	if now.Before(w.recalledUntil) {
		h.giveBack(name, s, i, time.Time{}, now)
		return
	}
	s.state = heldIdle
	s.since = now
}

func (h *holder) giveBack(name string, s *held, i int, until time.Time, now time.Time) {
	s.state = heldReturning
	s.until = until
	h.sendReturn(name, s, i, now)
}

func (h *holder) sendReturn(name string, s *held, i int, now time.Time) {
	s.sent = now
	m := Message{Kind: KindReturn, Worker: name, Slot: uint8(i), Serial: s.serial}
	m.Quarantine = max(0, s.until.Sub(now))
	if s.until.IsZero() {
		m.Quarantine = 0
	}
	h.send(h.set.Home(name), m)
}

// giveUp ends the use of a slot.
func (h *holder) giveUp(name string, quarantine time.Duration, now time.Time) {
	w := h.workers[name]
	if w == nil {
		return
	}
	if w.orphans > 0 {
		// The slots of the ended membership are in quarantine at the other members.
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
			h.free(name, w, i, now)
		case h.draining:
			h.giveBack(name, s, i, now.Add(quarantine), now)
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
		delete(h.reports, from)
		return
	}
	if h.set.Home(m.Worker) != from {
		return
	}
	switch m.Kind {
	case KindGrant:
		h.granted(from, m, now)
	case KindReturnAck:
		if w := h.workers[m.Worker]; w != nil {
			if s := &w.slots[m.Slot]; s.state == heldReturning && s.serial == m.Serial {
				s.state = heldNone
			}
		}
	case KindRecall:
		h.recall(m, now)
	}
}

func (h *holder) granted(from string, m Message, now time.Time) {
	h.send(from, Message{Kind: KindGrantAck, Worker: m.Worker, Slot: m.Slot, Serial: m.Serial})
	w := h.worker(m.Worker)
	s := &w.slots[m.Slot]
	if !s.serial.Less(m.Serial) {
		return
	}
	s.serial = m.Serial
	w.sentWant = max(0, w.sentWant-1)
	if h.draining {
		h.giveBack(m.Worker, s, int(m.Slot), time.Time{}, now)
	} else {
		// What was owed before does not apply: the home node grants in the knowledge of who else waits.
		h.use(m.Worker, w, int(m.Slot), now)
	}
	h.mark(m.Worker, w)
}

func (h *holder) recall(m Message, now time.Time) {
	w := h.workers[m.Worker]
	if w == nil {
		return
	}
	owed := m.Count
	for i := range w.slots {
		s := &w.slots[i]
		if s.state == heldIdle {
			h.giveBack(m.Worker, s, i, time.Time{}, now)
		}
		if s.state == heldReturning {
			owed--
		}
	}
	w.owed = max(0, owed)
	w.recalledUntil = now.Add(recallTime)
}
