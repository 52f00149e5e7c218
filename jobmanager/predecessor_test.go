package jobmanager

import (
	"context"
	"testing"
)

// TestPredecessorEnded guards against two fleet controllers that order at once, and against a fleet without orders for
// seconds after all nodes restarted.
func TestPredecessorEnded(t *testing.T) {
	n := &Node{settings: &Settings{Node: "a"}, process: "now"}
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
		if got := (&shard{node: n, previous: c.previous}).predecessorEnded(); got != c.want {
			t.Errorf("%s: ended %v, want %v", c.name, got, c.want)
		}
	}
}

// TestQuietOnlyAfterLastOrder guards against a node that calls itself quiet while it owns the shard in the epoch, or while an
// order for a machine is on its way.
func TestQuietOnlyAfterLastOrder(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	n := &Node{settings: &Settings{Node: "a"}, shards: map[int]*shard{0: {epoch: 4, ctx: ctx}}}
	if n.quiet(quietCall{Shard: 0, Epoch: 4}) {
		t.Error("the owner in the epoch calls itself quiet")
	}
	if !n.quiet(quietCall{Shard: 0, Epoch: 3}) {
		t.Error("the owner in a later epoch does not call itself quiet")
	}
	n.machineOrders.Add(1)
	if n.quiet(quietCall{Shard: 0, Epoch: 3}) {
		t.Error("a node calls itself quiet while an order is on its way")
	}
	n.machineOrders.Add(-1)
	cancel()
	if !n.quiet(quietCall{Shard: 0, Epoch: 4}) {
		t.Error("a node that gave the shard up does not call itself quiet")
	}
}
