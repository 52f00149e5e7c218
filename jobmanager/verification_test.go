package jobmanager

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/berylwharf/berylwharf/job"
)

// TestRejoinedOwnerVerifiesItsShards guards against an owner that was cut off, gets its shards back in the list with its next join, and
// sends orders with its old epoch although another node has claimed them in between.
func TestRejoinedOwnerVerifiesItsShards(t *testing.T) {
	for name, change := range map[string]func(n *Node){
		"expired membership": func(n *Node) {
			n.confirmedUntil.Store(0)
			n.doubtOwnerships(false, n.clock.Now())
			n.confirmMembership(n.clock.Now())
		},
		"changed group": func(n *Node) { n.doubtOwnerships(true, n.clock.Now()) },
	} {
		t.Run(name, func(t *testing.T) {
			store := &faultyStore{}
			s := newTestShard(t, store)
			n := s.node
			n.shards = map[int]*shard{s.number: s}
			f := &fleetLoop{shard: s, node: n}
			s.runInLoop(n.ctx, func(now job.Time) {
				if !f.mayOrder(now) {
					t.Error("an owner without doubts sends no orders")
				}
				store.mode.Store(storeFences)
				change(n)
				if f.mayOrder(n.clock.Now()) {
					t.Error("orders are sent although another node may have claimed the shard")
				}
			})
			select {
			case <-s.done:
			case <-time.After(time.Minute):
				t.Fatal("a replaced owner keeps the shard")
			}
			if cause := context.Cause(s.ctx); !errors.Is(cause, ErrFenced) {
				t.Errorf("the ownership ended because of %v", cause)
			}
		})
	}
}

// TestVerifiedOwnerOrdersAgain guards against an owner that sends no orders any more after the group has changed.
func TestVerifiedOwnerOrdersAgain(t *testing.T) {
	s := newTestShard(t, &faultyStore{})
	s.node.shards = map[int]*shard{s.number: s}
	s.node.doubtOwnerships(true, s.node.clock.Now())
	for end := time.Now().Add(time.Minute); !s.ownershipVerified(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the ownership is never verified")
		}
	}
}
