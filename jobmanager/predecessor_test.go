package jobmanager

import (
	"context"
	"testing"
)

// TestPredecessorReleased guards against two fleet controllers that send orders at the same time, and against a fleet
// that receives no orders for seconds after a restart of all nodes.
func TestPredecessorReleased(t *testing.T) {
	n := &Node{settings: &Settings{Node: "a"}, processID: "now"}
	cases := []struct {
		name     string
		previous claim
		want     bool
	}{
		{"no earlier owner", claim{}, true},
		{"released", claim{Epoch: 3, Node: "b", Process: "x", Released: true}, true},
		{"an earlier process of this node", claim{Epoch: 3, Node: "a", Process: "before"}, true},
		{"this process", claim{Epoch: 3, Node: "a", Process: "now"}, false},
		{"another node", claim{Epoch: 3, Node: "b", Process: "x"}, false},
	}
	for _, c := range cases {
		if got := (&shard{node: n, previousClaim: c.previous}).predecessorReleased(); got != c.want {
			t.Errorf("%s: released %v, want %v", c.name, got, c.want)
		}
	}
}

// TestOwnerStoppedOnlyAfterLastOrder guards against a node that reports to have stopped while it owns the shard in that
// epoch or while a machine order is in flight.
func TestOwnerStoppedOnlyAfterLastOrder(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	n := &Node{settings: &Settings{Node: "a"}, shards: map[int]*shard{0: {epoch: 4, ctx: ctx}}}
	if n.ownerStopped(ownerStoppedCall{Shard: 0, Epoch: 4}) {
		t.Error("the owner in the epoch reports to have stopped")
	}
	if !n.ownerStopped(ownerStoppedCall{Shard: 0, Epoch: 3}) {
		t.Error("the owner in a later epoch does not report to have stopped")
	}
	n.machineOrdersInFlight.Add(1)
	if n.ownerStopped(ownerStoppedCall{Shard: 0, Epoch: 3}) {
		t.Error("a node reports to have stopped while an order is in flight")
	}
	n.machineOrdersInFlight.Add(-1)
	cancel()
	if !n.ownerStopped(ownerStoppedCall{Shard: 0, Epoch: 4}) {
		t.Error("a node that released the shard does not report to have stopped")
	}
}
