package slots

import (
	"slices"
	"time"

	"github.com/berylwharf/berylwharf/membership"
)

// maxHomeEpochs is the number of epochs kept to decide whether a worker's table remains valid. If an epoch has been
// dropped, the home node only waits for reports where it could otherwise have continued a table.
const maxHomeEpochs = 16

type slotState uint8

const (
	slotFree slotState = iota
	slotGranted
	slotQuarantined
)

// slot is one slot of a worker at its home node.
type slot struct {
	state  slotState
	node   string // holder, when granted
	serial Serial
	acked  bool
	sent   time.Time // time of the last grant message
	until  time.Time // end of the quarantine
}

// slotRequest is a holder's request for slots of a worker.
type slotRequest struct {
	node       string
	count      int
	receivedAt time.Time // time of the last request
}

// workerTable holds the state of a worker's slots at its home node.
type workerTable struct {
	ready      bool
	slots      [PerWorker]slot
	requests   []slotRequest // served in round-robin order, from the front
	lastSeq    map[string]uint64
	balancedAt time.Time            // when the balance was last computed
	recalledAt map[string]time.Time // when a recall was last sent, by holder
}

// homeEpoch is what this node, as a home node, knows about one membership epoch.
type homeEpoch struct {
	set *membership.Set
	// discontinuous means that no table continues from the epoch before: epochs in between may have been missed, this node
	// is not a member, or no earlier epoch is kept.
	discontinuous bool
	reported      map[string]bool // members that have reported the slots that they hold
	complete      bool            // all members have reported
	// removedInUseUntil is the time until which slots of removed members may still be in use on workers that are new at
	// this node. It is set together with complete.
	removedInUseUntil time.Time
}

// reportedSlot is an entry of a report with the node that sent it and the end of its quarantine.
type reportedSlot struct {
	node    string
	holding Holding
	until   time.Time
}

// home is the state of a node as the home node of some workers.
type home struct {
	node    string
	maxRun  time.Duration
	epochs  []homeEpoch
	workers map[string]*workerTable
	reports map[string][]reportedSlot // of the newest epoch, by worker
	// retainedQuarantines holds the quarantines of workers whose table was dropped, for the reports to their new home
	// nodes.
	retainedQuarantines []Holding
	retainedUntil       []time.Time // ends of retainedQuarantines, by index
	serial              uint64
	closed              bool // set by CloseHome; no slot is granted
	// removedInUseUntil is the time until which slots of removed members may still be in use. From removalsKnownFrom on,
	// this node knows of all such removals itself.
	removedInUseUntil  time.Time
	removalsKnownFrom  time.Time
	reportedInUseUntil time.Time // latest one reported by a member with RemovalsKnown at the newest epoch
	removalsReported   bool      // a member with RemovalsKnown has reported at the newest epoch
	send               func(to string, m Message)
}

func newHome(node string, maxRun time.Duration, send func(string, Message)) *home {
	return &home{node: node, maxRun: maxRun, workers: make(map[string]*workerTable), send: send}
}

func (h *home) current() *homeEpoch {
	if len(h.epochs) == 0 {
		return nil
	}
	return &h.epochs[len(h.epochs)-1]
}

// setEpoch moves to a new epoch. Tables of workers whose home node remains this one are kept, unless epochs in between
// may have been missed.
func (h *home) setEpoch(set *membership.Set, gap, member bool, released func(string, uint64) bool, now time.Time) {
	prev := h.current()
	if prev == nil {
		h.removalsKnownFrom = now
		if set.Epoch > 0 && !set.NeverRemoved {
			// Members may have been removed shortly before this node began to observe the region.
			h.removalsKnownFrom = now.Add(h.maxRun)
		}
	}
	if prev != nil && prev.set.Epoch == 0 && (gap || !member) && !set.NeverRemoved {
		// At epoch 0 this node had not caught up with the log, so it may have missed recent removals of members.
		h.removalsKnownFrom = now.Add(h.maxRun)
	}
	var removedNodes map[string]bool
	if prev != nil {
		removedNodes = make(map[string]bool)
		for _, m := range prev.set.Removed(set) {
			removedNodes[m.Node] = true
			if !released(m.Node, m.Incarnation) {
				h.removedInUseUntil = now.Add(h.maxRun)
			}
		}
	}
	if !member || prev == nil {
		gap = true
	}
	h.epochs = append(h.epochs, homeEpoch{set: set, discontinuous: gap, reported: make(map[string]bool)})
	if len(h.epochs) > maxHomeEpochs {
		h.epochs = slices.Clone(h.epochs[1:])
		h.epochs[0].discontinuous = true
	}
	h.reports = make(map[string][]reportedSlot)
	h.removalsReported = false
	h.reportedInUseUntil = time.Time{}
	for _, name := range sortedKeys(h.workers) {
		w := h.workers[name]
		w.requests = nil
		w.lastSeq = nil
		w.recalledAt = nil
		if ready, _ := h.tableContinues(name, len(h.epochs)-1); ready && w.ready {
			h.quarantineRemoved(w, removedNodes, now)
			continue
		}
		h.dropTable(name, w)
	}
}

// tableContinues reports whether a worker's table at the epoch before i remains valid at epoch i, and the time until
// which slots of removed members may be in use, as known when that table was created.
func (h *home) tableContinues(worker string, i int) (ok bool, removedInUseUntil time.Time) {
	e := &h.epochs[i]
	if i == 0 || e.discontinuous || e.set.Home(worker) != h.node {
		return false, time.Time{}
	}
	if h.epochs[i-1].set.Home(worker) != h.node {
		return false, time.Time{}
	}
	return h.tableReady(worker, i-1)
}

// tableReady reports whether a worker's table at epoch i is known, because it continues or because all members have
// reported, and the time until which slots of removed members may be in use.
func (h *home) tableReady(worker string, i int) (ok bool, removedInUseUntil time.Time) {
	if ok, removedInUseUntil = h.tableContinues(worker, i); ok {
		return ok, removedInUseUntil
	}
	return h.epochs[i].complete, h.epochs[i].removedInUseUntil
}

// quarantineRemoved puts the slots granted to removed nodes into quarantine, since those nodes may still use them.
func (h *home) quarantineRemoved(w *workerTable, removedNodes map[string]bool, now time.Time) {
	for i := range w.slots {
		s := &w.slots[i]
		if s.state == slotGranted && removedNodes[s.node] {
			s.state = slotQuarantined
			s.node = ""
			s.until = now.Add(h.maxRun)
		}
	}
}

// dropTable deletes a worker's table at a new epoch and retains its quarantines for the report to the worker's new home
// node.
func (h *home) dropTable(name string, w *workerTable) {
	delete(h.workers, name)
	if !w.ready {
		return
	}
	for i := range w.slots {
		s := &w.slots[i]
		if s.state == slotQuarantined {
			h.retainedQuarantines = append(h.retainedQuarantines, Holding{Worker: name, Slot: uint8(i), Serial: s.serial})
			h.retainedUntil = append(h.retainedUntil, s.until)
		}
	}
}

// appendRetainedQuarantines appends the retained quarantines of the workers whose home node is to.
func (h *home) appendRetainedQuarantines(to string, report []Holding, now time.Time) []Holding {
	set := h.current().set
	for i, l := range h.retainedQuarantines {
		if now.Before(h.retainedUntil[i]) && set.Home(l.Worker) == to {
			l.Quarantine = h.retainedUntil[i].Sub(now)
			report = append(report, l)
		}
	}
	return report
}

// removedInUse returns how long slots of removed members may still be in use according to this node, and whether this
// node knows of all recent removals.
func (h *home) removedInUse(now time.Time) (d time.Duration, known bool) {
	return max(0, h.removedInUseUntil.Sub(now)), !now.Before(h.removalsKnownFrom)
}

// table returns a worker's table and creates it on first use.
func (h *home) table(name string, now time.Time) *workerTable {
	w := h.workers[name]
	if w != nil {
		return w
	}
	w = &workerTable{}
	h.workers[name] = w
	h.initTable(name, w, now)
	return w
}

// initTable makes a new table ready if all members have reported, or if this node was already the home node. Free slots
// start in quarantine while slots of removed members may still be in use.
func (h *home) initTable(name string, w *workerTable, now time.Time) {
	n := len(h.epochs) - 1
	ok, removedInUseUntil := h.tableContinues(name, n)
	if !ok {
		ok, removedInUseUntil = h.epochs[n].complete, h.epochs[n].removedInUseUntil
		if ok {
			h.loadReports(w, h.reports[name])
		}
	}
	w.ready = ok
	if !ok || !now.Before(removedInUseUntil) {
		return
	}
	for i := range w.slots {
		if w.slots[i].state == slotFree {
			w.slots[i].state = slotQuarantined
			w.slots[i].until = removedInUseUntil
		}
	}
}

// loadReports fills a table from reports. A slot in use takes precedence over a quarantine of the same slot.
func (h *home) loadReports(w *workerTable, reports []reportedSlot) {
	for _, r := range reports {
		s := &w.slots[r.holding.Slot]
		switch {
		case r.holding.Quarantine == 0:
			*s = slot{state: slotGranted, node: r.node, serial: r.holding.Serial, acked: true}
		case s.state != slotGranted && s.until.Before(r.until):
			*s = slot{state: slotQuarantined, serial: r.holding.Serial, until: r.until}
		}
	}
}

// receive handles a message from a member at the current epoch.
func (h *home) receive(from string, m Message, now time.Time) {
	if m.Kind == KindReport {
		h.handleReport(from, m, now)
		return
	}
	if h.current().set.Home(m.Worker) != h.node {
		return
	}
	switch m.Kind {
	case KindAcquire:
		h.handleAcquire(from, m, now)
	case KindGrantAck:
		if w := h.workers[m.Worker]; w != nil {
			if s := &w.slots[m.Slot]; s.state == slotGranted && s.node == from && s.serial == m.Serial {
				s.acked = true
			}
		}
	case KindReturn:
		h.handleReturn(from, m, now)
	}
}

func (h *home) handleReport(from string, m Message, now time.Time) {
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
	if m.RemovalsKnown {
		h.removalsReported = true
		if until := now.Add(m.RemovedInUse); m.RemovedInUse > 0 && until.After(h.reportedInUseUntil) {
			h.reportedInUseUntil = until
		}
	}
	for i := range e.set.Members {
		if !e.reported[e.set.Members[i].Node] {
			return
		}
	}
	h.completeEpoch(e, now)
}

// completeEpoch makes the tables of all workers ready after every member of the epoch has reported.
func (h *home) completeEpoch(e *homeEpoch, now time.Time) {
	if !h.removalsReported {
		// No member has observed the region long enough to know of all recent removals: this node's own bounds apply.
		h.reportedInUseUntil = h.removedInUseUntil
		if h.removalsKnownFrom.After(h.reportedInUseUntil) {
			h.reportedInUseUntil = h.removalsKnownFrom
		}
	}
	e.complete = true
	e.removedInUseUntil = h.reportedInUseUntil
	if h.reportedInUseUntil.After(h.removedInUseUntil) {
		h.removedInUseUntil = h.reportedInUseUntil
	}
	if h.removalsReported && h.removalsKnownFrom.After(now) {
		h.removalsKnownFrom = now
	}
	for _, name := range sortedKeys(h.reports) {
		h.table(name, now)
	}
	for _, name := range sortedKeys(h.workers) {
		w := h.workers[name]
		if !w.ready {
			h.initTable(name, w, now)
		}
		h.grant(name, w, now)
	}
	h.reports = make(map[string][]reportedSlot)
}

func (h *home) handleAcquire(from string, m Message, now time.Time) {
	w := h.table(m.Worker, now)
	if w.lastSeq == nil {
		w.lastSeq = make(map[string]uint64)
	}
	if m.Seq <= w.lastSeq[from] {
		return
	}
	w.lastSeq[from] = m.Seq
	count := min(m.Count, maxRequested)
	for i := range w.slots {
		if s := &w.slots[i]; s.state == slotGranted && s.node == from && !s.acked {
			// Until the grant is acknowledged, the holder's count may still include this slot.
			count--
		}
	}
	w.setRequest(from, count, now)
	h.grant(m.Worker, w, now)
}

func (w *workerTable) setRequest(node string, count int, now time.Time) {
	i := slices.IndexFunc(w.requests, func(x slotRequest) bool { return x.node == node })
	switch {
	case count <= 0 && i >= 0:
		w.requests = slices.Delete(w.requests, i, i+1)
	case count > 0 && i >= 0:
		w.requests[i].count = count
		w.requests[i].receivedAt = now
	case count > 0:
		w.requests = append(w.requests, slotRequest{node, count, now})
	}
}

func (h *home) handleReturn(from string, m Message, now time.Time) {
	w := h.table(m.Worker, now)
	if !w.ready || (h.closed && m.Quarantine > 0) {
		return
	}
	h.send(from, Message{Kind: KindReturnAck, Worker: m.Worker, Slot: m.Slot, Serial: m.Serial})
	s := &w.slots[m.Slot]
	if s.state != slotGranted || s.node != from || s.serial != m.Serial {
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
