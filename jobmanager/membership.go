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
	// settleTime is how long a node that is not strong waits at most, after it has joined the group, until the group stops
	// changing. Such nodes join at the same time, and each would load shards that go to the others next.
	settleTime = time.Second
	// settlePause is the delay between confirmations of the membership while the group changes.
	settlePause = 100 * time.Millisecond
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
		n.doubtOwnerships(changed, sent)
		if changed && n.settling(sent) {
			n.confirmMembership(sent)
			sleep(n.ctx, settlePause)
			continue
		}
		n.updateOwnership(m)
		n.confirmMembership(sent)
		if changed {
			n.log.Event(LogEvent{Component: "node", Event: "shards assigned", Epoch: m.Generation, Count: len(m.Shards)})
			n.wakeUp(n.refreshOwners)
			continue
		}
		sleep(n.ctx, joinInterval)
	}
}

// confirmMembership records that the store has answered a join that was sent at a time.
func (n *Node) confirmMembership(sent job.Time) {
	if !n.confirmed(sent) {
		n.memberSince.Store(int64(sent.Steady))
	}
	n.confirmedUntil.Store(int64(sent.Steady + membershipTTL))
}

// memberFor returns how long the node has been a member without a gap, or 0 if it is none.
func (n *Node) memberFor(now job.Time) time.Duration {
	if !n.confirmed(now) {
		return 0
	}
	return now.Steady - time.Duration(n.memberSince.Load())
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
