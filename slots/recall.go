package slots

import (
	"slices"
	"time"
)

// recall asks the holders of a worker's slots to return slots for which others wait. Every other holder returns its idle
// slots. A holder with more slots than a waiting one also returns some of its slots in use when their requests end;
// otherwise a holder with waiting requests of its own would never give them up.
func (h *home) recall(name string, w *workerTable, now time.Time) {
	w.balancedAt = now
	held := make(map[string]int, len(w.requests))
	for i := range w.slots {
		if w.slots[i].state == slotGranted {
			held[w.slots[i].node]++
		}
	}
	holders := make([]string, 0, len(held))
	for node := range held {
		holders = append(holders, node)
	}
	slices.Sort(holders)
	toReturn := balance(w.requests, held, holders)
	if w.recalledAt == nil {
		w.recalledAt = make(map[string]time.Time)
	}
	for _, node := range holders {
		if toReturn[node] == 0 && len(w.requests) == 1 && w.requests[0].node == node {
			continue
		}
		minInterval := recallTTL / 2
		if toReturn[node] > 0 {
			minInterval = ResendInterval
		}
		if last, ok := w.recalledAt[node]; ok && now.Sub(last) < minInterval {
			continue
		}
		w.recalledAt[node] = now
		h.send(node, Message{Kind: KindRecall, Worker: name, Count: toReturn[node]})
	}
}

// balance returns how many slots each holder has to return for the holders that wait. It modifies held.
func balance(requests []slotRequest, held map[string]int, holders []string) map[string]int {
	toReturn := make(map[string]int)
	for _, x := range requests {
		for range x.count {
			largest := ""
			for _, node := range holders {
				if node != x.node && (largest == "" || held[node] > held[largest]) {
					largest = node
				}
			}
			// A difference of one is tolerated; otherwise two holders would exchange slots continuously. A holder
			// without any slot gets one regardless.
			if largest == "" || held[largest] == 0 || (held[x.node] > 0 && held[largest]-held[x.node] < 2) {
				break
			}
			held[largest]--
			held[x.node]++
			toReturn[largest]++
		}
	}
	return toReturn
}
