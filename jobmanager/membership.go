package jobmanager

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/berylwharf/berylwharf/job"
)

const (
	// membershipTTL is how long the store keeps a membership without a confirmation. An owner that has not been
	// confirmed for this time stops sending orders, and another node takes over. The store permits 1 s at the least; a
	// slow store answers within about 300 ms.
	membershipTTL = 1500 * time.Millisecond
	// joinInterval is the time between confirmations of the membership. Three may be lost within membershipTTL.
	joinInterval = 450 * time.Millisecond
	// joinTimeout bounds one confirmation.
	joinTimeout = 420 * time.Millisecond
	// weakTakeoverDelay is how long no strong member must have been seen before nodes that are not strong own shards.
	weakTakeoverDelay = 3 * time.Second
	// readRetryDelay is the delay after a failed read or a failed confirmation of the membership.
	readRetryDelay = 200 * time.Millisecond
)

// confirmed reports whether the store certainly still counts the node as a member.
func (n *Node) confirmed(now job.Time) bool { return int64(now.Steady) < n.confirmedUntil.Load() }

// confirmedFor returns the time since the last confirmation of the membership was asked for.
func (n *Node) confirmedFor(now job.Time) time.Duration {
	return max(0, now.Steady+membershipTTL-time.Duration(n.confirmedUntil.Load()))
}

// maintainMembership keeps the membership confirmed and owns the shards that the store assigns to this node.
func (n *Node) maintainMembership() {
	var generation int64
	for n.ctx.Err() == nil && !n.leaving.Load() {
		sent := n.clock.Now()
		if !n.shouldOwnShards(sent) {
			n.yieldToStrongNodes()
			sleep(n.ctx, joinInterval)
			continue
		}
		ctx, cancel := context.WithTimeout(n.ctx, joinTimeout)
		m, err := n.group.Join(ctx, n.member, membershipTTL, generation)
		cancel()
		if err != nil {
			n.log.Event(LogEvent{Component: "node", Event: "membership not confirmed", Reason: err.Error()})
			sleep(n.ctx, readRetryDelay)
			continue
		}
		changed := m.Generation != generation
		generation = m.Generation
		n.updateOwnership(m)
		n.confirmedUntil.Store(int64(sent.Steady + membershipTTL))
		if changed {
			n.log.Event(LogEvent{Component: "node", Event: "shards assigned", Epoch: m.Generation, Count: len(m.Shards)})
			n.wakeUp(n.refreshOwners)
			continue
		}
		sleep(n.ctx, joinInterval)
	}
}

// shouldOwnShards reports whether the node should own shards: it is strong, or no strong member has been seen for
// weakTakeoverDelay.
func (n *Node) shouldOwnShards(now job.Time) bool {
	return n.settings.strong() || int64(now.Steady)-n.strongSeenAt.Load() > int64(weakTakeoverDelay)
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

// releaseShards releases all shards and leaves the group.
func (n *Node) releaseShards(reason string) {
	n.mu.Lock()
	shards := slices.Collect(maps.Values(n.shards))
	n.mu.Unlock()
	var wg sync.WaitGroup
	for _, s := range shards {
		wg.Go(s.release)
	}
	wg.Wait()
	n.log.Event(LogEvent{Component: "node", Event: "shards released", Count: len(shards), Reason: reason})
	ctx, cancel := context.WithTimeout(n.ctx, storeTimeout)
	defer cancel()
	if err := n.group.Leave(ctx, n.member); err != nil {
		n.log.Event(LogEvent{Component: "node", Event: "leaving the group failed", Reason: err.Error()})
	}
}

// updateOwnership starts and ends ownerships according to a confirmed membership.
func (n *Node) updateOwnership(m Membership) {
	listed := make(map[int]bool, len(m.Shards))
	for _, number := range m.Shards {
		listed[number] = true
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if m.Generation != n.vacantGeneration {
		// Another node may have owned the shards in between.
		n.vacantGeneration = m.Generation
		clear(n.vacant)
	}
	for number, s := range n.shards {
		if !listed[number] {
			s.endOwnership("the store assigned the shard to another node")
		}
		if s.ctx.Err() != nil {
			delete(n.shards, number)
		}
	}
	for number := range listed {
		if n.shards[number] == nil && (n.isUsed(number) || !n.vacant[number]) && !n.leaving.Load() {
			s := newShard(n, number)
			s.generation = m.Generation
			n.shards[number] = s
			n.wg.Go(s.run)
			n.wakeUp(n.refreshWorkers)
		}
	}
}
