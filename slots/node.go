package slots

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/berylwharf/berylwharf/membership"
)

// Node is both sides of one node. Its methods must not be called concurrently.
type Node struct {
	name   string
	set    *membership.Set
	member bool
	home   *home
	holder *holder
	local  []Message
	out    []Envelope
	// Stale counts the dropped messages of another epoch or of a node that is not a member.
	Stale uint64
}

// NewNode returns a node outside of any epoch. maxRun is how long a slot whose use is not known to have ended stays in
// quarantine.
func NewNode(name string, maxRun time.Duration) *Node {
	n := &Node{name: name}
	n.home = newHome(name, maxRun, n.send)
	n.holder = newHolder(name, n.send)
	return n
}

// SetMaxRun changes the quarantine of slots of removed members.
func (n *Node) SetMaxRun(d time.Duration) { n.home.maxRun = d }

// SetEpoch moves the node to a newer set. gap states that epochs in between may have been missed; member that this
// incarnation of the node is a member. released tells whether an incarnation of a removed member had stated that it
// holds nothing.
func (n *Node) SetEpoch(set *membership.Set, gap, member bool, released func(node string, incarnation uint64) bool, now time.Time) {
	n.set = set
	n.member = member
	n.local = nil
	n.home.setEpoch(set, gap, member, released, now)
	if member {
		n.holder.setEpoch(set)
	} else {
		n.holder.setEpoch(nil)
	}
	n.sendReports(now)
	n.settle(now)
}

// Receive handles a message from another node.
func (n *Node) Receive(from string, m Message, now time.Time) {
	if !n.valid(from, m) {
		n.Stale++
		return
	}
	n.dispatch(from, m, now)
	n.settle(now)
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
	n.settle(now)
}

// Acquire asks for a slot of one of the candidates, which are in order of preference. The assignment is given by
// Assigned, in this step or a later one.
func (n *Node) Acquire(id uint64, candidates []string, now time.Time) {
	n.holder.acquire(id, candidates, now)
	n.settle(now)
}

// Cancel ends a request that waits. It returns false when the request was already assigned.
func (n *Node) Cancel(id uint64, now time.Time) bool {
	ok := n.holder.cancel(id)
	n.settle(now)
	return ok
}

// Return ends the use of a slot. A quarantine above zero keeps the slot out of use for that long.
func (n *Node) Return(worker string, quarantine time.Duration, now time.Time) {
	n.holder.giveUp(worker, quarantine, now)
	n.settle(now)
}

// Drain returns all slots that are not in use, now and whenever a use ends.
func (n *Node) Drain(now time.Time) {
	n.holder.drain(now)
	n.settle(now)
}

// Release ends this node's duty as a home node, before it leaves: it grants nothing more and takes no quarantines.
func (n *Node) Release() { n.home.closed = true }

// Outbox returns the messages to send to other nodes since the last call.
func (n *Node) Outbox() []Envelope {
	out := n.out
	n.out = nil
	return out
}

// Assigned returns the assignments since the last call.
func (n *Node) Assigned() []Assignment {
	a := n.holder.assigned
	n.holder.assigned = nil
	return a
}

// Counts tells how many slots a node holds and grants.
type Counts struct {
	Held      int // slots held, those in use included
	InUse     int
	Returning int // returned, not yet acknowledged by the home node
	Waiting   int // requests that wait for a slot
	Workers   int // workers of which slots are out, in quarantine or wanted, at this home node
	Out       int // slots granted by this home node
	// Quarantined counts the slots that this home node keeps in quarantine, for others included.
	Quarantined int
}

// Counts returns the present numbers.
func (n *Node) Counts() Counts {
	var c Counts
	c.Held, c.InUse, c.Returning = n.holder.count()
	c.Waiting = len(n.holder.waiters)
	c.Workers = len(n.home.workers)
	c.Quarantined = len(n.home.legacy)
	for _, w := range n.home.workers {
		for i := range w.slots {
			switch w.slots[i].state {
			case slotOut:
				c.Out++
			case slotQuarantined:
				c.Quarantined++
			}
		}
	}
	return c
}

// Free returns the slots of a worker that its home node, this one, can grant at once. ok is false when this node is not
// the home node or does not know yet.
func (n *Node) Free(worker string, now time.Time) (free int, ok bool) {
	if !n.member || n.set.Home(worker) != n.name {
		return 0, false
	}
	w := n.home.workers[worker]
	if w == nil {
		ready, removal := n.home.readyAt(worker, len(n.home.epochs)-1)
		if ready && !now.Before(removal) {
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

// send is called by both sides. Messages to this node itself are handled at the end of the step.
func (n *Node) send(to string, m Message) {
	m.Epoch = n.set.Epoch
	if to == n.name {
		n.local = append(n.local, m)
		return
	}
	n.out = append(n.out, Envelope{Node: to, Msg: m})
}

// settle handles the messages of this node to itself until none is left.
func (n *Node) settle(now time.Time) {
	for {
		n.holder.flush(now)
		if len(n.local) == 0 {
			return
		}
		batch := n.local
		n.local = nil
		for _, m := range batch {
			if n.valid(n.name, m) {
				n.dispatch(n.name, m, now)
			}
		}
	}
}

// sendReports sends the holdings to the home nodes that have not acknowledged them.
func (n *Node) sendReports(now time.Time) {
	if !n.member {
		return
	}
	removal, aware := n.home.removalBound(now)
	for _, to := range sortedKeys(n.holder.reports) {
		sent := n.holder.reports[to]
		if now.Sub(sent) < ResendInterval {
			continue
		}
		n.holder.reports[to] = now
		report := n.home.legacyHoldings(to, n.holder.holdings(to, now), now)
		n.send(to, Message{Kind: KindReport, Holdings: report, Removal: removal, Aware: aware})
	}
}

// sortedKeys gives a fixed order to decisions and messages, so that a schedule can be replayed.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
