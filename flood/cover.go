package flood

import (
	"slices"
	"time"

	"github.com/berylwharf/berylwharf/load"
)

// covered returns which requests of one customer at one service a pool of its own would answer within their deadlines.
// The pool has the given part of the service's capacity and serves one request after another by urgency, then deadline,
// but no request in less than workTime. A request that can no longer be answered in time is skipped. events is sorted by
// time; the result has the same order.
func covered(events []load.Event, share float64) []bool {
	ok := make([]bool, len(events))
	interval := time.Duration(float64(time.Second) / (share * Capacity))
	var waiting []int
	free := time.Duration(0)
	next := 0
	for next < len(events) || len(waiting) > 0 {
		if len(waiting) == 0 {
			free = max(free, at(events[next]))
		}
		for next < len(events) && at(events[next]) <= free {
			waiting = append(waiting, next)
			next++
		}
		best := slices.MinFunc(waiting, func(a, b int) int { return compare(events[a], events[b]) })
		waiting = slices.DeleteFunc(waiting, func(i int) bool { return i == best })
		if free+max(interval, workTime) > deadline(events[best]) {
			continue
		}
		ok[best] = true
		free += interval
	}
	return ok
}

func at(e load.Event) time.Duration { return time.Duration(e.AtMs) * time.Millisecond }

func deadline(e load.Event) time.Duration {
	return at(e) + time.Duration(e.DeadlineMs)*time.Millisecond
}

var urgencyRank = map[string]int{"urgent": 0, "normal": 1, "batch": 2}

func compare(a, b load.Event) int {
	if a.Urgency != b.Urgency {
		return urgencyRank[a.Urgency] - urgencyRank[b.Urgency]
	}
	return int(deadline(a) - deadline(b))
}
