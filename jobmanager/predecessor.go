package jobmanager

import (
	"context"
	"time"

	"github.com/pkg/errors"

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

// predecessorReleased reports whether the stored claim proves that the previous owner sends no more orders: there was
// no owner, the owner released the shard, or it was an earlier process of this node.
func (s *shard) predecessorReleased() bool {
	p := s.previousClaim
	return p.Epoch == 0 || p.Released || (p.Node == s.node.settings.Node && p.Process != s.node.processID)
}

// awaitPredecessor permits orders as soon as the previous owner is known to send none any more. It asks the store
// whether the previous owner's node has left the group, and that node whether it has stopped. Without proof the
// controller waits until the previous membership must have expired.
func (f *fleetLoop) awaitPredecessor() {
	if f.predecessorLapsed() {
		// An order that was sent earlier may still be in flight.
		f.allowOrdersIn(machineTimeout, "the previous owner has left the group")
		return
	}
	until := f.shard.takeoverStart.Steady + membershipTTL + machineTimeout
	for f.shard.ctx.Err() == nil && f.node.clock.Now().Steady < until {
		if f.predecessorStopped() {
			f.allowOrdersIn(0, "the previous owner has stopped sending orders")
			return
		}
		sleep(f.shard.ctx, predecessorCallInterval)
	}
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
