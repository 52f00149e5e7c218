package jobmanager

import (
	"context"
	"time"

	"github.com/berylwharf/berylwharf/job"
	"github.com/berylwharf/berylwharf/peer"
)

// strongCheckInterval is the time between checks of the fleet shard's log while no strong member is proved alive.
const strongCheckInterval = 400 * time.Millisecond

// StrongMember reports whether the node is a confirmed member of the group and strong. The other nodes leave the
// shards to such nodes.
func (n *Node) StrongMember() bool {
	return n.settings.strong() && !n.leaving.Load() && n.confirmed(n.clock.Now())
}

// Heartbeat applies a heartbeat of another node.
func (n *Node) Heartbeat(hb peer.Heartbeat) {
	if hb.StrongMember {
		n.strongMembers.prove(n.clock.Now().Steady)
	}
}

// shouldOwnShards reports whether the node should own shards: it is strong, or no strong member is alive. It is called by
// maintainMembership only.
func (n *Node) shouldOwnShards(now job.Time) bool {
	switch {
	case n.settings.strong():
		return true
	case !n.substitutes.Load() && n.strongMembers.gone(now.Steady):
		n.log.Event(LogEvent{
			Component: "node", Event: "taking over from strong members",
			AgeMs: n.strongMembers.unprovenFor(now.Steady).Milliseconds(), Reason: n.describeStrongMembers(now.Steady),
		})
		n.substitutesSince = now.Steady
		n.substitutes.Store(true)
	case n.substitutes.Load() && n.strongMembers.back(now.Steady):
		n.substitutes.Store(false)
	}
	return n.substitutes.Load()
}

// settling reports whether the node has joined the group so recently in place of strong members, together with others, that
// the shards assigned to it may soon go to those.
func (n *Node) settling(now job.Time) bool {
	return n.substitutes.Load() && !n.ownsAnyShard() && now.Steady-n.substitutesSince < settleTime
}

// yieldToStrongNodes releases the shards of a node that is not strong, because strong nodes are available again.
// Settings.strong defines a strong node.
func (n *Node) yieldToStrongNodes() {
	if n.confirmedUntil.Swap(0) == 0 {
		return
	}
	n.log.Event(LogEvent{Component: "node", Event: "yielding to strong nodes"})
	n.releaseShards("strong nodes are back")
}

// watchStrongMembers asks the store for signs of life of strong members while no heartbeat shows one.
func (n *Node) watchStrongMembers() {
	for n.ctx.Err() == nil {
		if n.strongMembers.suspicious(n.clock.Now().Steady) {
			n.readFleetLog()
		}
		sleep(n.ctx, strongCheckInterval)
	}
}

// readFleetLog looks whether a strong member has extended the log of the fleet shard.
func (n *Node) readFleetLog() {
	ctx, cancel := context.WithTimeout(n.ctx, storeTimeout)
	defer cancel()
	startedAt := n.clock.Now().Steady
	end, err := n.store.End(ctx, fleetShard)
	byStrong := false
	if err == nil && n.strongMembers.logGrew(end) {
		// The owner is read after the growth. A list read before may name an expired member in place of the one that has
		// extended the log.
		byStrong, err = n.strongOwnsFleetShard(ctx)
	}
	if err != nil {
		n.strongMembers.recordReadFailure()
		n.log.Event(LogEvent{Component: "node", Event: "log of the fleet shard not read", Reason: err.Error()})
		return
	}
	n.strongMembers.recordLog(startedAt, end, byStrong)
}

func (n *Node) strongOwnsFleetShard(ctx context.Context) (bool, error) {
	owners, err := n.group.Owners(ctx)
	return isStrongMember(owners[fleetShard]), err
}

// proveListedMembers records the strong members in a list of owners as alive, if the list was read at a time at which this
// node had been a member for so long that the store has assigned the shards of expired members to others.
func (n *Node) proveListedMembers(owners map[int]string, readAt time.Duration) {
	if n.memberFor(job.Time{Steady: readAt}) <= membershipTTL+joinInterval {
		return
	}
	for _, member := range owners {
		if isStrongMember(member) {
			n.strongMembers.prove(readAt)
			return
		}
	}
}
