package jobmanager

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/berylwharf/berylwharf/peer"
)

const (
	// quietTimeout bounds one question to the earlier owner.
	quietTimeout = 300 * time.Millisecond
	// quietPause is the pause between questions.
	quietPause = 100 * time.Millisecond
)

// quietCall asks a node whether it orders nothing any more as the owner of a shard in an epoch.
type quietCall struct {
	Shard int   `cbor:"1,keyasint"`
	Epoch int64 `cbor:"2,keyasint"`
}

// quietReply answers a quietCall. An epoch that has ended never returns, so Quiet stays true.
type quietReply struct {
	Quiet bool `cbor:"1,keyasint,omitempty"`
}

// handleQuiet answers a successor.
func (n *Node) handleQuiet(_ context.Context, _ string, body peer.Body) (any, error) {
	var c quietCall
	if err := peer.Decode(body, &c); err != nil {
		return nil, errors.Wrap(peer.ErrMalformed, err.Error())
	}
	return quietReply{Quiet: n.quiet(c)}, nil
}

func (n *Node) quiet(c quietCall) bool {
	s := n.shard(c.Shard)
	return (s == nil || s.epoch != c.Epoch) && n.machineOrders.Load() == 0
}

// predecessorEnded tells whether the claim of the earlier owner shows that it orders nothing any more: there is none, it was
// released, or its process was an earlier one of this node.
func (s *shard) predecessorEnded() bool {
	p := s.previous
	return p.Epoch == 0 || p.Released || (p.Node == s.node.settings.Node && p.Process != s.node.process)
}

// awaitPredecessor lets the controller order as soon as the earlier one certainly orders nothing any more. It asks the node of
// the earlier one, and the store whether that node is out of the group. Without a proof the controller waits until the earlier
// membership must have lapsed.
func (f *fleetLoop) awaitPredecessor() {
	if f.predecessorLapsed() {
		// An order that was sent before may still be on its way.
		f.beginAt(machineTimeout, "the earlier owner is out of the group")
		return
	}
	until := f.shard.begun.Steady + membershipTTL + machineTimeout
	for f.shard.ctx.Err() == nil && f.node.clock.Now().Steady < until {
		if f.predecessorQuiet() {
			f.beginAt(0, "the earlier owner has ended")
			return
		}
		pause(f.shard.ctx, quietPause)
	}
}

func (f *fleetLoop) beginAt(in time.Duration, why string) {
	f.node.log.Event(LogEvent{Part: "fleet", What: "controller may order", Epoch: f.shard.epoch, AgeMs: in.Milliseconds(), Why: why})
	f.mu.Lock()
	defer f.mu.Unlock()
	f.controller.AllowOrdersFrom(f.node.clock.Now().Steady + in)
}

// predecessorLapsed tells whether the node of the earlier owner has no shard any more. Each member has one while there are
// fewer members than shards, so it is out of the group then, and was not confirmed for the time of a membership.
func (f *fleetLoop) predecessorLapsed() bool {
	ctx, cancel := context.WithTimeout(f.shard.ctx, storeTimeout)
	defer cancel()
	owners, err := f.node.group.Owners(ctx)
	if err != nil {
		f.node.log.Event(LogEvent{Part: "node", What: "owners not known", Why: err.Error()})
		return false
	}
	members := make(map[string]bool)
	for _, member := range owners {
		node, _, err := splitMember(member)
		if err != nil || node == f.shard.previous.Node {
			return false
		}
		members[member] = true
	}
	return len(members) < f.node.settings.Shards
}

// predecessorQuiet asks the node of the earlier owner.
func (f *fleetLoop) predecessorQuiet() bool {
	c := quietCall{Shard: f.shard.number, Epoch: f.shard.previous.Epoch}
	if f.shard.previous.Node == f.node.settings.Node {
		return f.node.quiet(c)
	}
	ctx, cancel := context.WithTimeout(f.shard.ctx, quietTimeout)
	defer cancel()
	var r quietReply
	// Without an answer the controller waits.
	err := f.node.peers.Call(ctx, f.shard.previous.Node, typeQuiet, c, &r)
	return err == nil && r.Quiet
}
