package jobmanager

import (
	"context"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"github.com/berylwharf/berylwharf/job"
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
		{"released while an earlier owner may send orders", claim{Epoch: 3, Node: "b", Process: "x", Released: true, Unsettled: true}, false},
		{"an earlier process that took over from such an owner", claim{Epoch: 3, Node: "a", Process: "before", Unsettled: true}, false},
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

// claimStore holds one claim record and records the claims that are stored.
type claimStore struct {
	last   claim
	claims chan claim
}

func (s *claimStore) Load(context.Context, int) ([]job.Record, int64, error) {
	value, err := cbor.Marshal(s.last)
	return []job.Record{{Key: claimKey, Value: value}}, 0, err
}

func (s *claimStore) End(context.Context, int) (int64, error) { return 0, nil }

func (s *claimStore) Claim(_ context.Context, _ int, _, _, _ int64, r job.Record) error {
	return s.add(r)
}

func (s *claimStore) Append(_ context.Context, _ int, _, _ int64, records []job.Record) error {
	for _, r := range records {
		if r.Key == claimKey {
			return s.add(r)
		}
	}
	return nil
}

func (s *claimStore) add(r job.Record) error {
	var c claim
	if err := cbor.Unmarshal(r.Value, &c); err != nil {
		return err
	}
	s.claims <- c
	return nil
}

// TestClaimTellsOfEarlierOwners guards against two fleet controllers at once: an owner whose predecessor may still send orders
// gives the shard up, and its successor takes the release for proof that nobody sends orders.
func TestClaimTellsOfEarlierOwners(t *testing.T) {
	store := &claimStore{last: claim{Epoch: 3, Node: "other"}, claims: make(chan claim, 4)}
	s := newTestShard(t, store)
	if c := <-store.claims; !c.Unsettled {
		t.Errorf("claim %+v, although the previous owner may send orders", c)
	}
	s.runInLoop(s.node.ctx, func(job.Time) { s.settle() })
	if c := <-store.claims; c.Unsettled || c.Released || c.Epoch != 4 {
		t.Errorf("claim %+v after the previous owner stopped", c)
	}
	s.release()
	if c := <-store.claims; c.Unsettled || !c.Released {
		t.Errorf("claim %+v, want a release", c)
	}
}
