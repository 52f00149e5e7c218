package slots

import "time"

// tick ends quarantines and idle times, repeats messages that were not acknowledged, and widens waiting requests.
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
		if x.asked < len(x.candidates) && now.Sub(x.askedAt) >= askMoreAfter {
			h.ask(x, now)
		}
	}
	for _, name := range sortedKeys(h.workers) {
		w := h.workers[name]
		if h.wanted(w) > 0 && now.Sub(w.sentAt) >= wantResend {
			h.sendWant(name, w, now)
		}
	}
}

func (h *holder) tickSlot(name string, w *holding, i int, now time.Time) {
	s := &w.slots[i]
	switch s.state {
	case heldQuarantined:
		if !now.Before(s.until) {
			h.free(name, w, i, now)
		}
	case heldIdle:
		if now.Sub(s.since) >= IdleTime {
			h.giveBack(name, s, i, time.Time{}, now)
		}
	case heldReturning:
		if now.Sub(s.sent) >= ResendInterval {
			h.sendReturn(name, s, i, now)
		}
	}
}

// drain returns all slots that are not in use, quarantined ones included, and makes later returns go back at once.
func (h *holder) drain(now time.Time) {
	h.draining = true
	for _, name := range sortedKeys(h.workers) {
		w := h.workers[name]
		h.mark(name, w)
		for i := range w.slots {
			s := &w.slots[i]
			switch s.state {
			case heldIdle:
				h.giveBack(name, s, i, time.Time{}, now)
			case heldQuarantined:
				h.giveBack(name, s, i, s.until, now)
			}
		}
	}
}

// count returns the slots held, those in use among them, and those that are being returned.
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
