package planner

import "sort"

// Ack is what one member has acknowledged about a release of a VM.
type Ack struct {
	Node string
	// Applied is the next offset that the member had to read; it has applied all records before it.
	Applied uint64
	// Busy states that the member still has a request in flight on the VM.
	Busy bool
	// Known is false while no heartbeat of the member's present incarnation has arrived.
	Known bool
}

// HandoverReady tells whether a VM released by the record at offset release may be assigned to its next pool: every
// member has applied the release and has no request in flight on the VM. Otherwise it returns the sorted names of the
// members it waits for. A silent member blocks the hand-over until its membership ends.
func HandoverReady(release uint64, acks []Ack) (ready bool, waitingFor []string) {
	for _, a := range acks {
		if !a.Known || a.Applied <= release || a.Busy {
			waitingFor = append(waitingFor, a.Node)
		}
	}
	sort.Strings(waitingFor)
	return len(waitingFor) == 0, waitingFor
}
