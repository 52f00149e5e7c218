package jobmanager

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/berylwharf/berylwharf/job"
	"github.com/berylwharf/berylwharf/peer"
)

const (
	// predecessorCallTimeout bounds one call to the node of the previous owner.
	predecessorCallTimeout = 300 * time.Millisecond
	// predecessorCallInterval is the delay between such calls.
	predecessorCallInterval = 100 * time.Millisecond
)

// ownerStoppedCall asks a node whether it has stopped sending orders as the owner of a shard in an epoch.
type ownerStoppedCall struct {
	Shard int   `cbor:"1,keyasint"`
	Epoch int64 `cbor:"2,keyasint"`
}

// ownerStoppedReply answers an ownerStoppedCall. An epoch that has ended never resumes, so a true Stopped remains
// valid.
type ownerStoppedReply struct {
	Stopped bool `cbor:"1,keyasint,omitempty"`
}

// handleOwnerStopped answers the successor of an owner.
func (n *Node) handleOwnerStopped(_ context.Context, _ string, body peer.Body) (any, error) {
	var c ownerStoppedCall
	if err := peer.Decode(body, &c); err != nil {
		return nil, errors.Wrap(peer.ErrMalformed, err.Error())
	}
	return ownerStoppedReply{Stopped: n.ownerStopped(c)}, nil
}

func (n *Node) ownerStopped(c ownerStoppedCall) bool {
	s := n.shard(c.Shard)
	return (s == nil || s.epoch != c.Epoch) && n.machineOrdersInFlight.Load() == 0
}

// predecessorReleased reports whether the stored claim proves that earlier owners send no more orders: there was no owner,
// or the last one had excluded orders of those before it and released the shard or was an earlier process of this node.
func (s *shard) predecessorReleased() bool {
	p := s.previousClaim
	if p.Unsettled {
		return false
	}
	return p.Epoch == 0 || p.Released || (p.Node == s.node.settings.Node && p.Process != s.node.processID)
}

// awaitPredecessor permits orders as soon as the previous owner is known to send none any more. It asks the store
// whether the previous owner's node has left the group, and that node whether it has stopped. Without proof the
// controller waits until the previous membership must have expired.
//
// If an owner before the previous one may still send orders, only waiting helps: nothing names it.
func (f *fleetLoop) awaitPredecessor() {
	now := f.node.clock.Now().Steady
	settledAt := f.shard.takeoverStart.Steady + membershipTTL + machineTimeout
	if !f.shard.previousClaim.Unsettled {
		settledAt = f.askPredecessor(now, settledAt)
	}
	sleep(f.shard.ctx, settledAt-f.node.clock.Now().Steady)
	f.shard.runInLoop(f.shard.ctx, func(job.Time) { f.shard.settle() })
}

// askPredecessor permits orders as soon as the previous owner is known to send none any more, at the latest at until. It
// returns from when that is.
func (f *fleetLoop) askPredecessor(now, until time.Duration) time.Duration {
	if f.predecessorLapsed() {
		// An order that was sent earlier may still be in flight.
		f.allowOrdersIn(machineTimeout, "the previous owner has left the group")
		return min(until, f.node.clock.Now().Steady+machineTimeout)
	}
	for ; f.shard.ctx.Err() == nil && now < until; now = f.node.clock.Now().Steady {
		if f.predecessorStopped() {
			f.allowOrdersIn(0, "the previous owner has stopped sending orders")
			return now
		}
		sleep(f.shard.ctx, predecessorCallInterval)
	}
	return until
}

// settle stores the claim again, to tell the next owner that the owners before this one send no more orders.
func (s *shard) settle() {
	s.unsettled.Store(false)
	record, err := s.claimRecord(false)
	if err != nil {
		s.node.log.Event(LogEvent{Component: "shard", Event: "claim not stored", Shard: s.number, Epoch: s.epoch, Reason: err.Error()})
		return
	}
	s.store(record, nil)
}

func (f *fleetLoop) allowOrdersIn(in time.Duration, reason string) {
	f.node.log.Event(LogEvent{Component: "fleet", Event: "controller may send orders", Epoch: f.shard.epoch, AgeMs: in.Milliseconds(), Reason: reason})
	f.mu.Lock()
	defer f.mu.Unlock()
	f.controller.AllowOrdersFrom(f.node.clock.Now().Steady + in)
}

// predecessorLapsed reports whether the node of the previous owner owns no shard. While there are fewer members than
// shards, each member owns at least one; a node without a shard has therefore left the group and has not been confirmed
// for membershipTTL.
func (f *fleetLoop) predecessorLapsed() bool {
	ctx, cancel := context.WithTimeout(f.shard.ctx, storeTimeout)
	defer cancel()
	owners, err := f.node.group.Owners(ctx)
	if err != nil {
		f.node.log.Event(LogEvent{Component: "node", Event: "shard owners not read", Reason: err.Error()})
		return false
	}
	members := make(map[string]bool)
	for _, member := range owners {
		node, _, err := splitMember(member)
		if err != nil || node == f.shard.previousClaim.Node {
			return false
		}
		members[member] = true
	}
	return len(members) < f.node.settings.Shards
}

// predecessorStopped asks the node of the previous owner whether it has stopped.
func (f *fleetLoop) predecessorStopped() bool {
	c := ownerStoppedCall{Shard: f.shard.number, Epoch: f.shard.previousClaim.Epoch}
	if f.shard.previousClaim.Node == f.node.settings.Node {
		return f.node.ownerStopped(c)
	}
	ctx, cancel := context.WithTimeout(f.shard.ctx, predecessorCallTimeout)
	defer cancel()
	var r ownerStoppedReply
	// Without an answer the controller keeps waiting.
	err := f.node.peers.Call(ctx, f.shard.previousClaim.Node, typeOwnerStopped, c, &r)
	return err == nil && r.Stopped
}
