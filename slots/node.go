package slots

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/berylwharf/berylwharf/membership"
)

// Node is the home and holder state of one node. Its methods must not be called concurrently.
type Node struct {
	name     string
	set      *membership.Set
	member   bool
	home     *home
	holder   *holder
	loopback []Message
	outbox   []Envelope
	// Dropped counts the messages dropped because they belong to another epoch, name an invalid slot, or because sender
	// or receiver is not a member.
	Dropped uint64
}

// NewNode returns a node that is not at any epoch yet. maxRun is how long a slot stays in quarantine when it is not known
// whether its use has ended.
func NewNode(name string, maxRun time.Duration) *Node {
	n := &Node{name: name}
	n.home = newHome(name, maxRun, n.send)
	n.holder = newHolder(name, n.send)
	return n
}

// SetMaxRun sets the duration of the quarantine for slots of removed members.
func (n *Node) SetMaxRun(d time.Duration) { n.home.maxRun = d }

// SetEpoch moves the node to a newer membership set. gap means that epochs in between may have been missed; member, that
// this incarnation of the node is a member. released reports whether an incarnation of a removed member had declared that
// it holds no slots.
func (n *Node) SetEpoch(set *membership.Set, gap, member bool, released func(node string, incarnation uint64) bool, now time.Time) {
	n.set = set
	n.member = member
	n.loopback = nil
	n.home.setEpoch(set, gap, member, released, now)
	if member {
		n.holder.setEpoch(set)
	} else {
		n.holder.setEpoch(nil)
	}
	n.sendReports(now)
	n.deliverLocal(now)
}

// Receive handles a message from another node.
func (n *Node) Receive(from string, m Message, now time.Time) {
	if !n.valid(from, m) {
		n.Dropped++
		return
	}
	n.dispatch(from, m, now)
	n.deliverLocal(now)
}

func (n *Node) valid(from string, m Message) bool {
	if !n.member || m.Epoch != n.set.Epoch || m.Slot >= PerWorker {
		return false
	}
	_, ok := n.set.Find(from)
	return ok
}

func (n *Node) dispatch(from string, m Message, now time.Time) {
	switch m.Kind {
	case KindAcquire, KindGrantAck, KindReturn, KindReport:
		n.home.receive(from, m, now)
	case KindGrant, KindReturnAck, KindRecall, KindReportAck:
		n.holder.receive(from, m, now)
	}
}

// Tick must be called at least every 100 ms.
func (n *Node) Tick(now time.Time) {
	n.holder.tick(now)
	if n.member {
		n.sendReports(now)
		n.home.tick(now)
	}
	n.deliverLocal(now)
}

// Acquire requests a slot of one of the candidate workers, given in order of preference. Assigned returns the assignment
// after this call or a later one.
func (n *Node) Acquire(id uint64, candidates []string, now time.Time) {
	n.holder.acquire(id, candidates, now)
	n.deliverLocal(now)
}

// Cancel removes a waiting request. It returns false if no such request waits, as when it has been assigned a slot.
func (n *Node) Cancel(id uint64, now time.Time) bool {
	ok := n.holder.cancel(id)
	n.deliverLocal(now)
	return ok
}

// Return ends the use of a slot of a worker. A positive quarantine keeps the slot out of use for that long.
func (n *Node) Return(worker string, quarantine time.Duration, now time.Time) {
	n.holder.endUse(worker, quarantine, now)
	n.deliverLocal(now)
}

// Drain returns all slots that are not in use, and from then on each slot as soon as its use ends.
func (n *Node) Drain(now time.Time) {
	n.holder.drain(now)
	n.deliverLocal(now)
}

// CloseHome stops this node from acting as a home node before it leaves: it grants no more slots and accepts no returns
// with a quarantine, because it declares to the other members that it holds none.
func (n *Node) CloseHome() { n.home.closed = true }

// Outbox returns the messages to other nodes that were queued since the last call.
func (n *Node) Outbox() []Envelope {
	outbox := n.outbox
	n.outbox = nil
	return outbox
}

// Assigned returns the assignments made since the last call.
func (n *Node) Assigned() []Assignment {
	a := n.holder.assigned
	n.holder.assigned = nil
	return a
}

// Counts holds the numbers of slots that a node holds and has granted.
type Counts struct {
	Held      int // slots held, including those in use or in quarantine
	InUse     int // slots in use, including those of an ended membership, which Held does not include
	Returning int // returned, not yet acknowledged by the home node
	Waiting   int // requests waiting for a slot
	Workers   int // workers with a table at this home node: slots granted, quarantined or requested
	Out       int // slots granted by this home node
	// Quarantined counts the slots that this node keeps in quarantine, including those of workers whose table it dropped.
	Quarantined int
}

// Counts returns the current numbers.
func (n *Node) Counts() Counts {
	var c Counts
	c.Held, c.InUse, c.Returning = n.holder.count()
	c.Waiting = len(n.holder.waiters)
	c.Workers = len(n.home.workers)
	c.Quarantined = len(n.home.retainedQuarantines)
	for _, w := range n.home.workers {
		for i := range w.slots {
			switch w.slots[i].state {
			case slotGranted:
				c.Out++
			case slotQuarantined:
				c.Quarantined++
			}
		}
	}
	return c
}

// Free returns the number of slots of a worker that this node can grant at once. ok is false if this node is not the
// worker's home node or does not have a complete table yet.
func (n *Node) Free(worker string, now time.Time) (free int, ok bool) {
	if !n.member || n.set.Home(worker) != n.name {
		return 0, false
	}
	w := n.home.workers[worker]
	if w == nil {
		ready, removedInUseUntil := n.home.tableReady(worker, len(n.home.epochs)-1)
		if ready && !now.Before(removedInUseUntil) {
			return PerWorker, true
		}
		return 0, ready
	}
	for i := range w.slots {
		if w.slots[i].state == slotFree {
			free++
		}
	}
	return free, w.ready
}

// send queues a message from either role. deliverLocal handles messages to this node itself at the end of each call.
func (n *Node) send(to string, m Message) {
	m.Epoch = n.set.Epoch
	if to == n.name {
		n.loopback = append(n.loopback, m)
		return
	}
	n.outbox = append(n.outbox, Envelope{Node: to, Msg: m})
}

// deliverLocal sends the changed requests and handles the messages from this node to itself, until none are left.
func (n *Node) deliverLocal(now time.Time) {
	for {
		n.holder.flush(now)
		if len(n.loopback) == 0 {
			return
		}
		batch := n.loopback
		n.loopback = nil
		for _, m := range batch {
			if n.valid(n.name, m) {
				n.dispatch(n.name, m, now)
			}
		}
	}
}

// sendReports sends the report of slots held to each home node that has not acknowledged it.
func (n *Node) sendReports(now time.Time) {
	if !n.member {
		return
	}
	inUseFor, known := n.home.removedInUse(now)
	for _, to := range sortedKeys(n.holder.unackedReports) {
		sent := n.holder.unackedReports[to]
		if now.Sub(sent) < ResendInterval {
			continue
		}
		n.holder.unackedReports[to] = now
		report := n.home.appendRetainedQuarantines(to, n.holder.holdings(to, now), now)
		n.send(to, Message{Kind: KindReport, Holdings: report, RemovedInUse: inUseFor, RemovalsKnown: known})
	}
}

// sortedKeys returns the keys of m in order. Iterating in a fixed order makes decisions and messages deterministic, so
// that a schedule can be replayed.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
