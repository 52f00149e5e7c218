package slots

import "time"

// tick ends quarantines, returns slots that have been idle for IdleTimeout, resends unacknowledged returns and standing
// requests, and extends waiting requests to further candidates.
func (h *holder) tick(now time.Time) {
	for _, name := range sortedKeys(h.workers) {
		w := h.workers[name]
		for i := range w.slots {
			h.tickSlot(name, w, i, now)
		}
	}
	if h.set == nil {
		return
	}
	for _, id := range sortedKeys(h.waiters) {
		x := h.waiters[id]
		if x.requested < len(x.candidates) && now.Sub(x.requestedAt) >= requestMoreAfter {
			h.requestNext(x, now)
		}
	}
	for _, name := range sortedKeys(h.workers) {
		w := h.workers[name]
		if h.cappedDemand(w) > 0 && now.Sub(w.sentAt) >= acquireResendInterval {
			h.sendAcquire(name, w, now)
		}
	}
}

func (h *holder) tickSlot(name string, w *heldWorker, i int, now time.Time) {
	s := &w.slots[i]
	switch s.state {
	case heldQuarantined:
		if !now.Before(s.until) {
			h.freeSlot(name, w, i, now)
		}
	case heldIdle:
		if now.Sub(s.since) >= IdleTimeout {
			h.returnSlot(name, s, i, time.Time{}, now)
		}
	case heldReturning:
		if now.Sub(s.sent) >= ResendInterval {
			h.sendReturn(name, s, i, now)
		}
	}
}

// drain returns all slots that are not in use, including quarantined ones. From then on a slot is returned to its home
// node as soon as its use ends.
func (h *holder) drain(now time.Time) {
	h.draining = true
	for _, name := range sortedKeys(h.workers) {
		w := h.workers[name]
		h.markChanged(name, w)
		for i := range w.slots {
			s := &w.slots[i]
			switch s.state {
			case heldIdle:
				h.returnSlot(name, s, i, time.Time{}, now)
			case heldQuarantined:
				h.returnSlot(name, s, i, s.until, now)
			}
		}
	}
}

// count returns the number of slots held, of slots in use, and of returned slots that are not yet acknowledged.
func (h *holder) count() (total, inUse, returning int) {
	for _, w := range h.workers {
		inUse += w.orphans
		for i := range w.slots {
			switch w.slots[i].state {
			case heldInUse:
				inUse++
				total++
			case heldIdle, heldQuarantined:
				total++
			case heldReturning:
				returning++
			}
		}
	}
	return total, inUse, returning
}
