package slots

import (
	"slices"
	"time"
)

// recall asks holders for slots of a worker that others wait for. Every other holder returns its idle slots. A holder
// with more slots than a waiting one has also returns some that are in use, when their requests end; without this, a
// holder with waiting requests of its own would keep its slots for ever.
func (h *home) recall(name string, w *homed, now time.Time) {
	w.recalled = now
	held := make(map[string]int, len(w.wants))
	for i := range w.slots {
		if w.slots[i].state == slotOut {
			held[w.slots[i].node]++
		}
	}
	holders := make([]string, 0, len(held))
	for node := range held {
		holders = append(holders, node)
	}
	slices.Sort(holders)
	owed := balance(w.wants, held, holders)
	if w.notified == nil {
		w.notified = make(map[string]time.Time)
	}
	for _, node := range holders {
		if owed[node] == 0 && len(w.wants) == 1 && w.wants[0].node == node {
			continue
		}
		pause := recallTime / 2
		if owed[node] > 0 {
			pause = ResendInterval
		}
		if last, ok := w.notified[node]; ok && now.Sub(last) < pause {
			continue
		}
		w.notified[node] = now
		h.send(node, Message{Kind: KindRecall, Worker: name, Count: owed[node]})
	}
}

// balance returns how many slots each holder owes to those that wait. It modifies held.
func balance(wants []want, held map[string]int, holders []string) map[string]int {
	owed := make(map[string]int)
	for _, x := range wants {
		for range x.count {
			most := ""
			for _, node := range holders {
				if node != x.node && (most == "" || held[node] > held[most]) {
					most = node
				}
			}
			// A difference of one is kept, or two holders would exchange slots all the time. A holder without any
			// slot gets one all the same.
			if most == "" || held[most] == 0 || (held[x.node] > 0 && held[most]-held[x.node] < 2) {
				break
			}
			held[most]--
			held[x.node]++
			owed[most]++
		}
	}
	return owed
}
