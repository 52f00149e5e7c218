package slots

import (
	"slices"
	"time"

	"github.com/berylwharf/berylwharf/membership"
)

// maxHomeEpochs bounds the epochs remembered for the decision whether a worker's table continues. Forgetting one only
// makes the home node wait for reports.
const maxHomeEpochs = 16

type slotState uint8

const (
	slotFree slotState = iota
	slotOut
	slotQuarantined
)

// slot is one slot of a worker at its home node.
type slot struct {
	state  slotState
	node   string // holder, when out
	serial Serial
	acked  bool
	sent   time.Time // of the last grant message
	until  time.Time // end of the quarantine
}

// want is a holder's request for slots of a worker.
type want struct {
	node  string
	count int
	heard time.Time // of the last request
}

// homed is a worker at its home node.
type homed struct {
	ready    bool
	slots    [PerWorker]slot
	wants    []want // served in turn, front first
	orders   map[string]uint64
	recalled time.Time            // when the balance was last looked at
	notified map[string]time.Time // when a holder was last sent a recall
}

// homeEpoch is one epoch as the home side saw it.
type homeEpoch struct {
	set      *membership.Set
	gap      bool
	reported map[string]bool
	complete bool
	// removal is, once complete, until when slots of removed members may still be in use on workers that are new here.
	removal time.Time
}

// reportedSlot is a holding with the node that reported it.
type reportedSlot struct {
	node    string
	holding Holding
	until   time.Time
}

// home is the home side of a node.
type home struct {
	node    string
	maxRun  time.Duration
	epochs  []homeEpoch
	workers map[string]*homed
	reports map[string][]reportedSlot // at the newest epoch, by worker
	// legacy holds the quarantines of workers whose home node is another one now.
	legacy []Holding
	until  []time.Time // of legacy
	serial uint64
	closed bool // nothing is granted any more
	// removal is until when slots of removed members may still be in use; aware is from when on this node knows of all
	// such removals itself.
	removal time.Time
	aware   time.Time
	bound   time.Time // greatest removal in the aware reports of the newest epoch
	bounded bool
	send    func(to string, m Message)
}

func newHome(node string, maxRun time.Duration, send func(string, Message)) *home {
	return &home{node: node, maxRun: maxRun, workers: make(map[string]*homed), send: send}
}

func (h *home) current() *homeEpoch {
	if len(h.epochs) == 0 {
		return nil
	}
	return &h.epochs[len(h.epochs)-1]
}

// setEpoch moves to a new epoch. Workers that stay here keep their tables, unless epochs in between were missed.
func (h *home) setEpoch(set *membership.Set, gap, member bool, released func(string, uint64) bool, now time.Time) {
	prev := h.current()
	if prev == nil {
		h.aware = now
		if set.Epoch > 0 && !set.NeverRemoved {
			// Members may have been removed shortly before this node started to look.
			h.aware = now.Add(h.maxRun)
		}
	}
	if prev != nil && prev.set.Epoch == 0 && (gap || !member) && !set.NeverRemoved {
		// The empty state was that of a node that had not caught up.
		h.aware = now.Add(h.maxRun)
	}
	var gone map[string]bool
	if prev != nil {
		gone = make(map[string]bool)
		for _, m := range prev.set.Removed(set) {
			gone[m.Node] = true
			if !released(m.Node, m.Incarnation) {
				h.removal = now.Add(h.maxRun)
			}
		}
	}
	if !member || prev == nil {
		gap = true
	}
	h.epochs = append(h.epochs, homeEpoch{set: set, gap: gap, reported: make(map[string]bool)})
	if len(h.epochs) > maxHomeEpochs {
		h.epochs = slices.Clone(h.epochs[1:])
		h.epochs[0].gap = true
	}
	h.reports = make(map[string][]reportedSlot)
	h.bounded = false
	h.bound = time.Time{}
	for _, name := range sortedKeys(h.workers) {
		w := h.workers[name]
		w.wants = nil
		w.orders = nil
		w.notified = nil
		if ready, _ := h.chained(name, len(h.epochs)-1); ready && w.ready {
			h.quarantineGone(w, gone, now)
			continue
		}
		h.retire(name, w)
	}
}

// chained tells whether a worker's table at the epoch before i continues at epoch i, and until when slots of removed
// members counted when that table began.
func (h *home) chained(worker string, i int) (ok bool, removal time.Time) {
	e := &h.epochs[i]
	if i == 0 || e.gap || e.set.Home(worker) != h.node {
		return false, time.Time{}
	}
	if h.epochs[i-1].set.Home(worker) != h.node {
		return false, time.Time{}
	}
	return h.readyAt(worker, i-1)
}

func (h *home) readyAt(worker string, i int) (ok bool, removal time.Time) {
	if ok, removal = h.chained(worker, i); ok {
		return ok, removal
	}
	return h.epochs[i].complete, h.epochs[i].removal
}

func (h *home) quarantineGone(w *homed, gone map[string]bool, now time.Time) {
	for i := range w.slots {
		s := &w.slots[i]
		if s.state == slotOut && gone[s.node] {
			s.state = slotQuarantined
			s.node = ""
			s.until = now.Add(h.maxRun)
		}
	}
}

// retire forgets a worker that has another home node now, but keeps its quarantines for the report to that node.
func (h *home) retire(name string, w *homed) {
	delete(h.workers, name)
	if !w.ready {
		return
	}
	for i := range w.slots {
		s := &w.slots[i]
		if s.state == slotQuarantined {
			h.legacy = append(h.legacy, Holding{Worker: name, Slot: uint8(i), Serial: s.serial})
			h.until = append(h.until, s.until)
		}
	}
}

// legacyHoldings adds the quarantines kept for workers of another home node to a report.
func (h *home) legacyHoldings(to string, report []Holding, now time.Time) []Holding {
	set := h.current().set
	for i, l := range h.legacy {
		if now.Before(h.until[i]) && set.Home(l.Worker) == to {
			l.Quarantine = h.until[i].Sub(now)
			report = append(report, l)
		}
	}
	return report
}

// removalBound returns for how long slots of removed members may be in use, as far as this node knows.
func (h *home) removalBound(now time.Time) (d time.Duration, aware bool) {
	return max(0, h.removal.Sub(now)), !now.Before(h.aware)
}

// worker returns a worker's table, created on first use.
func (h *home) worker(name string, now time.Time) *homed {
	w := h.workers[name]
	if w != nil {
		return w
	}
	w = &homed{}
	h.workers[name] = w
	h.prepare(name, w, now)
	return w
}

// prepare makes a new table ready when the reports are complete, or when this node has been the home node before.
func (h *home) prepare(name string, w *homed, now time.Time) {
	n := len(h.epochs) - 1
	ok, removal := h.chained(name, n)
	if !ok {
		ok, removal = h.epochs[n].complete, h.epochs[n].removal
		if ok {
			h.build(w, h.reports[name])
		}
	}
	w.ready = ok
	if !ok || !now.Before(removal) {
		return
	}
	for i := range w.slots {
		if w.slots[i].state == slotFree {
			w.slots[i].state = slotQuarantined
			w.slots[i].until = removal
		}
	}
}

// build fills a table from reports. A slot in use takes precedence over a quarantine of the same slot.
func (h *home) build(w *homed, reports []reportedSlot) {
	for _, r := range reports {
		s := &w.slots[r.holding.Slot]
		switch {
		case r.holding.Quarantine == 0:
			*s = slot{state: slotOut, node: r.node, serial: r.holding.Serial, acked: true}
		case s.state != slotOut && s.until.Before(r.until):
			*s = slot{state: slotQuarantined, serial: r.holding.Serial, until: r.until}
		}
	}
}

// receive handles a message of the current epoch from a member.
func (h *home) receive(from string, m Message, now time.Time) {
	if m.Kind == KindReport {
		h.report(from, m, now)
		return
	}
	if h.current().set.Home(m.Worker) != h.node {
		return
	}
	switch m.Kind {
	case KindAcquire:
		h.acquire(from, m, now)
	case KindGrantAck:
		if w := h.workers[m.Worker]; w != nil {
			if s := &w.slots[m.Slot]; s.state == slotOut && s.node == from && s.serial == m.Serial {
				s.acked = true
			}
		}
	case KindReturn:
		h.takeBack(from, m, now)
	}
}

func (h *home) report(from string, m Message, now time.Time) {
	e := h.current()
	h.send(from, Message{Kind: KindReportAck})
	if e.reported[from] {
		return
	}
	e.reported[from] = true
	for _, hd := range m.Holdings {
		if hd.Slot >= PerWorker || e.set.Home(hd.Worker) != h.node {
			continue
		}
		h.reports[hd.Worker] = append(h.reports[hd.Worker], reportedSlot{from, hd, now.Add(hd.Quarantine)})
	}
	if m.Aware {
		h.bounded = true
		if until := now.Add(m.Removal); m.Removal > 0 && until.After(h.bound) {
			h.bound = until
		}
	}
	for i := range e.set.Members {
		if !e.reported[e.set.Members[i].Node] {
			return
		}
	}
	h.complete(e, now)
}

// complete makes all workers ready once every member of the epoch has reported.
func (h *home) complete(e *homeEpoch, now time.Time) {
	if !h.bounded {
		// No member has looked long enough to know of all removals.
		h.bound = h.removal
		if h.aware.After(h.bound) {
			h.bound = h.aware
		}
	}
	e.complete = true
	e.removal = h.bound
	if h.bound.After(h.removal) {
		h.removal = h.bound
	}
	if h.bounded && h.aware.After(now) {
		h.aware = now
	}
	for _, name := range sortedKeys(h.reports) {
		h.worker(name, now)
	}
	for _, name := range sortedKeys(h.workers) {
		w := h.workers[name]
		if !w.ready {
			h.prepare(name, w, now)
		}
		h.grant(name, w, now)
	}
	h.reports = make(map[string][]reportedSlot)
}

func (h *home) acquire(from string, m Message, now time.Time) {
	w := h.worker(m.Worker, now)
	if w.orders == nil {
		w.orders = make(map[string]uint64)
	}
	if m.Order <= w.orders[from] {
		return
	}
	w.orders[from] = m.Order
	count := min(m.Count, maxWant)
	for i := range w.slots {
		if s := &w.slots[i]; s.state == slotOut && s.node == from && !s.acked {
			// The holder had not received this grant when it counted.
			count--
		}
	}
	w.setWant(from, count, now)
	h.grant(m.Worker, w, now)
}

func (w *homed) setWant(node string, count int, now time.Time) {
	i := slices.IndexFunc(w.wants, func(x want) bool { return x.node == node })
	switch {
	case count <= 0 && i >= 0:
		w.wants = slices.Delete(w.wants, i, i+1)
	case count > 0 && i >= 0:
		w.wants[i].count = count
		w.wants[i].heard = now
	case count > 0:
		w.wants = append(w.wants, want{node, count, now})
	}
}

func (h *home) takeBack(from string, m Message, now time.Time) {
	w := h.worker(m.Worker, now)
	if !w.ready || (h.closed && m.Quarantine > 0) {
		return
	}
	h.send(from, Message{Kind: KindReturnAck, Worker: m.Worker, Slot: m.Slot, Serial: m.Serial})
	s := &w.slots[m.Slot]
	if s.state != slotOut || s.node != from || s.serial != m.Serial {
		return
	}
	s.node = ""
	s.state = slotFree
	if m.Quarantine > 0 {
		s.state = slotQuarantined
		s.until = now.Add(m.Quarantine)
	}
	h.grant(m.Worker, w, now)
}
