package slots

import (
	"slices"
	"time"
)

// grant grants free slots of a worker to waiting holders in round-robin order, and recalls slots for holders that still
// wait.
func (h *home) grant(name string, w *workerTable, now time.Time) {
	if !w.ready || h.closed {
		return
	}
	for i := range w.slots {
		s := &w.slots[i]
		if s.state != slotFree || len(w.requests) == 0 {
			continue
		}
		first := w.requests[0]
		first.count--
		w.requests = slices.Delete(w.requests, 0, 1)
		if first.count > 0 {
			w.requests = append(w.requests, first)
		}
		h.serial++
		*s = slot{state: slotGranted, node: first.node, serial: Serial{h.current().set.Epoch, h.serial}}
		h.sendGrant(name, i, s, now)
	}
	if len(w.requests) > 0 && now.Sub(w.balancedAt) >= rebalanceInterval {
		h.recall(name, w, now)
	}
}

func (h *home) sendGrant(name string, i int, s *slot, now time.Time) {
	s.sent = now
	h.send(s.node, Message{Kind: KindGrant, Worker: name, Slot: uint8(i), Serial: s.serial})
}

// tick expires requests and quarantines, resends unacknowledged grants and recalls, and deletes the tables of workers
// without requests whose slots are all free.
func (h *home) tick(now time.Time) {
	for _, name := range sortedKeys(h.workers) {
		w := h.workers[name]
		w.requests = slices.DeleteFunc(w.requests, func(x slotRequest) bool { return now.Sub(x.receivedAt) >= acquireTTL })
		inUse := len(w.requests) > 0 || !w.ready
		for i := range w.slots {
			s := &w.slots[i]
			if s.state == slotQuarantined && !now.Before(s.until) {
				*s = slot{}
			}
			if s.state == slotGranted && !s.acked && now.Sub(s.sent) >= ResendInterval {
				h.sendGrant(name, i, s, now)
			}
			inUse = inUse || s.state != slotFree
		}
		if !inUse {
			delete(h.workers, name)
			continue
		}
		h.grant(name, w, now)
	}
	h.expireRetainedQuarantines(now)
}

func (h *home) expireRetainedQuarantines(now time.Time) {
	kept := 0
	for i := range h.retainedQuarantines {
		if now.Before(h.retainedUntil[i]) {
			h.retainedQuarantines[kept], h.retainedUntil[kept] = h.retainedQuarantines[i], h.retainedUntil[i]
			kept++
		}
	}
	h.retainedQuarantines, h.retainedUntil = h.retainedQuarantines[:kept], h.retainedUntil[:kept]
}
