package slots

import (
	"slices"
	"time"
)

// grant serves waiting holders in turn, one slot each, and recalls slots for those that remain.
func (h *home) grant(name string, w *homed, now time.Time) {
	if !w.ready || h.closed {
		return
	}
	for i := range w.slots {
		s := &w.slots[i]
		if s.state != slotFree || len(w.wants) == 0 {
			continue
		}
		first := w.wants[0]
		first.count--
		w.wants = slices.Delete(w.wants, 0, 1)
		if first.count > 0 {
			w.wants = append(w.wants, first)
		}
		h.serial++
		*s = slot{state: slotOut, node: first.node, serial: Serial{h.current().set.Epoch, h.serial}}
		h.sendGrant(name, i, s, now)
	}
	if len(w.wants) > 0 && now.Sub(w.recalled) >= recallInterval {
		h.recall(name, w, now)
	}
}

func (h *home) sendGrant(name string, i int, s *slot, now time.Time) {
	s.sent = now
	h.send(s.node, Message{Kind: KindGrant, Worker: name, Slot: uint8(i), Serial: s.serial})
}

// tick ends quarantines, repeats unacknowledged grants and recalls, and forgets workers with nothing to remember.
func (h *home) tick(now time.Time) {
	for _, name := range sortedKeys(h.workers) {
		w := h.workers[name]
		w.wants = slices.DeleteFunc(w.wants, func(x want) bool { return now.Sub(x.heard) >= wantTime })
		busy := len(w.wants) > 0 || !w.ready
		for i := range w.slots {
			s := &w.slots[i]
			if s.state == slotQuarantined && !now.Before(s.until) {
				*s = slot{}
			}
			if s.state == slotOut && !s.acked && now.Sub(s.sent) >= ResendInterval {
				h.sendGrant(name, i, s, now)
			}
			busy = busy || s.state != slotFree
		}
		if !busy {
			delete(h.workers, name)
			continue
		}
		h.grant(name, w, now)
	}
	h.expireLegacy(now)
}

func (h *home) expireLegacy(now time.Time) {
	kept := 0
	for i := range h.legacy {
		if now.Before(h.until[i]) {
			h.legacy[kept], h.until[kept] = h.legacy[i], h.until[i]
			kept++
		}
	}
	h.legacy, h.until = h.legacy[:kept], h.until[:kept]
}
