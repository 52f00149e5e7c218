package flood

import (
	"slices"
	"time"

	"github.com/berylwharf/berylwharf/load"
)

// coveredRequests computes which requests of one customer at one service a dedicated pool would answer within their
// deadlines. The pool has the given share of the service's capacity. It starts requests one after another at that rate,
// ordered by urgency, then deadline, and answers each after at least requestRunTime. A request that can no longer be
// answered in time is skipped. events must be sorted by time; the result has the same order.
func coveredRequests(events []load.Event, share float64) []bool {
	answered := make([]bool, len(events))
	interval := time.Duration(float64(time.Second) / (share * ServiceCapacity))
	var waiting []int
	nextFree := time.Duration(0)
	nextEvent := 0
	for nextEvent < len(events) || len(waiting) > 0 {
		if len(waiting) == 0 {
			nextFree = max(nextFree, arrivalTime(events[nextEvent]))
		}
		for nextEvent < len(events) && arrivalTime(events[nextEvent]) <= nextFree {
			waiting = append(waiting, nextEvent)
			nextEvent++
		}
		selected := slices.MinFunc(waiting, func(a, b int) int { return comparePriority(events[a], events[b]) })
		waiting = slices.DeleteFunc(waiting, func(i int) bool { return i == selected })
		if nextFree+max(interval, requestRunTime) > deadlineTime(events[selected]) {
			continue
		}
		answered[selected] = true
		nextFree += interval
	}
	return answered
}

// arrivalTime returns the time of a request since the start of its trace.
func arrivalTime(e load.Event) time.Duration { return time.Duration(e.AtMs) * time.Millisecond }

// deadlineTime returns the deadline of a request since the start of its trace.
func deadlineTime(e load.Event) time.Duration {
	return arrivalTime(e) + time.Duration(e.DeadlineMs)*time.Millisecond
}

var urgencyRank = map[string]int{"urgent": 0, "normal": 1, "batch": 2}

// comparePriority orders requests by urgency, then by deadline.
func comparePriority(a, b load.Event) int {
	if a.Urgency != b.Urgency {
		return urgencyRank[a.Urgency] - urgencyRank[b.Urgency]
	}
	return int(deadlineTime(a) - deadlineTime(b))
}
