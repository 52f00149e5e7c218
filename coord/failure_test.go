package coord

import (
	"bytes"
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/berylwharf/berylwharf/claims"
	"github.com/berylwharf/berylwharf/follower"
	"github.com/berylwharf/berylwharf/statelog"
	"github.com/berylwharf/berylwharf/vmapi"
)

// unreachableStore is a store whose proposals can be made to fail. A node that shuts down then cannot record that it
// leaves, so to the other members it looks like a node that was killed.
type unreachableStore struct {
	*fakeLog
	unreachable atomic.Bool
}

func (s *unreachableStore) Propose(ctx context.Context, c follower.Change) (statelog.Outcome, error) {
	if s.unreachable.Load() {
		return statelog.Outcome{}, &follower.ProposeError{ID: c.ID, Cause: errors.New("log unreachable")}
	}
	return s.fakeLog.Propose(ctx, c)
}

func listedVMs(nodes ...string) []vmapi.VM {
	var list []vmapi.VM
	for _, n := range nodes {
		list = append(list, vmapi.VM{Name: "vm-" + n, Role: vmapi.RoleEntry, Node: n})
	}
	return append(list, vmapi.VM{Name: "w1", Role: vmapi.RoleWorker})
}

// TestNodeLeaves guards against slots that stay in quarantine after a graceful shutdown, and against a node that
// remains a member after its shutdown.
func TestNodeLeaves(t *testing.T) {
	_, nodes := startThreeNodes(t)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	workers := []string{"w1", "w2", "w3", "w4", "w5", "w6"}
	vm, err := nodes[2].Acquire(ctx, workers)
	if err != nil {
		t.Fatal(err)
	}
	nodes[2].Return(vm, 0)
	nodes[2].shutdown(t)
	if _, err := nodes[2].Acquire(ctx, workers); !errors.Is(err, ErrDraining) {
		t.Errorf("after the shutdown: %v", err)
	}
	awaitCoverage(t, nodes[:2])
	for _, w := range workers {
		for range 8 {
			if _, err := nodes[0].Acquire(ctx, []string{w}); err != nil {
				t.Fatal(w, err)
			}
		}
	}
	if q := nodes[0].Status().Quarantined + nodes[1].Status().Quarantined; q != 0 {
		t.Errorf("%d slots in quarantine", q)
	}
}

// TestNodeKilled guards against a killed member that blocks the others indefinitely, and against claims that fail
// because one of their home nodes is dead. It also guards against a removal that is premature: after fewer than three
// VM lists, based on lists that lack the VM of the proposing node, or of a member that is still alive.
func TestNodeKilled(t *testing.T) {
	log, nodes := startThreeNodes(t)
	store := &unreachableStore{fakeLog: log}
	d := start(t, log, "d", func(c *Config) { c.Store = store })
	all := append(slices.Clone(nodes), d)
	awaitCoverage(t, all)
	for range 2 * removalPollsUnseen {
		nodes[0].SetVMList(listedVMs("a", "b", "c", "d"))
		nodes[0].SetVMList(listedVMs("a", "b", "c"))
	}
	if n := len(log.View().Members); n != 4 {
		t.Fatalf("%d members while all are alive", n)
	}
	fp := claims.Fingerprint{}
	granted := 0
	eventually(t, "keys are covered at their home nodes", func() bool {
		k := newRequestKey(t)
		if d.Begin(context.Background(), k, fp, false).Result == claims.ResultGranted {
			granted++
			d.Finish(k, claims.PhaseNotRun, nil)
		} else {
			granted = 0
		}
		return granted == 50
	})
	store.unreachable.Store(true)
	d.shutdown(t)
	for range 30 {
		k := newRequestKey(t)
		if got := nodes[0].Begin(context.Background(), k, fp, true); got.Result != claims.ResultGranted {
			t.Errorf("first attempt with a dead home node: result %d", got.Result)
		}
		nodes[0].Finish(k, claims.PhaseDone, nil)
	}
	eventually(t, "the killed node has missed its heartbeats", func() bool {
		nodes[0].mu.Lock()
		defer nodes[0].mu.Unlock()
		return len(nodes[0].history.Silent(heartbeatTimeout, time.Now())) == 1
	})
	for range 100 {
		nodes[0].SetVMList(listedVMs("b", "c"))
	}
	for _, n := range nodes {
		n.SetVMList(listedVMs("a", "b", "c"))
		n.SetVMList(listedVMs("a", "b", "c"))
	}
	if n := len(log.View().Members); n != 4 {
		t.Fatalf("%d members after two lists", n)
	}
	eventually(t, "the killed node is removed", func() bool {
		nodes[0].SetVMList(listedVMs("a", "b", "c"))
		return len(log.View().Members) == 3
	})
	awaitCoverage(t, nodes)
}

// TestReplaced guards against two processes that run under one node name: the older one must stop.
func TestReplaced(t *testing.T) {
	log := newFakeLog()
	older := start(t, log, "a", nil)
	eventually(t, "the first joins", older.Member)
	newer := start(t, log, "a", func(c *Config) { c.Incarnation = older.incarnation + 1 })
	if err := <-older.done; !errors.Is(err, ErrReplaced) {
		t.Errorf("run: %v", err)
	}
	older.done <- nil
	eventually(t, "the second is a member", newer.Member)
}

// TestRemovedNodeRejoins guards against a removed node that continues under its old incarnation instead of rejoining
// with a new one.
func TestRemovedNodeRejoins(t *testing.T) {
	log, nodes := startThreeNodes(t)
	before := nodes[0].Status().Incarnation
	m := findMember(log.View(), "a")
	if _, err := log.Propose(context.Background(), follower.Change{Op: statelog.OpLeave, BaseVersion: m.Version, Member: m}); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the node rejoins with a greater incarnation", func() bool {
		m := findMember(log.View(), "a")
		return m != nil && m.Incarnation > before
	})
	awaitCoverage(t, nodes)
}

// TestWrongKey guards against a node that obtains slots or peer connections without the shared key.
func TestWrongKey(t *testing.T) {
	log, nodes := startThreeNodes(t)
	x := start(t, log, "x", func(c *Config) { c.Key = "another key of 16" })
	eventually(t, "x is a member", x.Member)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	for _, w := range []string{"w1", "w2", "w3", "w4", "w5"} {
		if vm, err := x.Acquire(ctx, []string{w}); err == nil {
			t.Errorf("acquired a slot of %s without the shared key", vm)
		}
	}
	if n := x.net.ConnectedNodes(); len(n) != 0 {
		t.Errorf("x is connected to %v", n)
	}
	if n := nodes[0].net.ConnectedNodes(); slices.Contains(n, "x") {
		t.Errorf("a is connected to %v", n)
	}
}

// fakeRecords is a RecordSource with n records from an offset and a state larger than a frame.
type fakeRecords struct {
	from  uint64
	n     int
	state []byte
}

func (r *fakeRecords) RecordsFrom(offset uint64) ([]vmapi.LogRecord, bool) {
	if offset < r.from {
		return nil, false
	}
	var records []vmapi.LogRecord
	for i := offset; i < r.from+uint64(r.n); i++ {
		records = append(records, vmapi.LogRecord{Offset: i, Data: bytes.Repeat([]byte{byte(i)}, 60<<10)})
	}
	return records, true
}

func (r *fakeRecords) FullState() ([]byte, uint64, [32]byte, error) {
	return r.state, 77, [32]byte{7}, nil
}

// TestRecords guards against a follower that cannot catch up from a peer, either because the records exceed one frame
// or because the state arrives in chunks.
func TestRecords(t *testing.T) {
	log := newFakeLog()
	log.view.NextOffset = 50
	src := &fakeRecords{from: 10, n: 40, state: bytes.Repeat([]byte("state"), 300<<10)}
	a := start(t, log, "a", func(c *Config) { c.Records = src })
	var peers PeerSource
	if _, err := peers.Fetch(context.Background(), 1); !errors.Is(err, ErrNoPeer) {
		t.Errorf("Fetch before the source is bound to a Coord: %v", err)
	}
	ready := make(chan struct{})
	start(t, log, "b", func(c *Config) {
		c.Peers = &peers
		c.Ready = ready
		c.Addresses = []string{a.net.Addr().String()}
	})
	var got PeerResponse
	eventually(t, "records arrive before the node is ready", func() (ok bool) {
		var err error
		got, err = peers.Fetch(context.Background(), 20)
		return err == nil
	})
	if n := len(got.Records); n == 0 || n >= 30 || got.Records[0].Offset != 20 || len(got.State) != 0 {
		t.Errorf("%d records, %d bytes of state", n, len(got.State))
	}
	got, err := peers.Fetch(context.Background(), 1)
	if err != nil || !bytes.Equal(got.State, src.state) || got.Next != 77 || got.Hash != [32]byte{7} {
		t.Errorf("state of %d bytes at %d: %v", len(got.State), got.Next, err)
	}
	if got, err := peers.Fetch(context.Background(), 1000); err != nil || len(got.Records)+len(got.State) != 0 {
		t.Errorf("from a peer at an older offset: %d records, %d bytes of state, %v", len(got.Records), len(got.State), err)
	}
}

// TestRelease guards against a VM that moves to another pool while a node still has requests on it.
func TestRelease(t *testing.T) {
	log := newFakeLog()
	var busy atomic.Bool
	busy.Store(true)
	a := start(t, log, "a", nil)
	eventually(t, "a joins", a.Member)
	b := start(t, log, "b", func(c *Config) {
		c.ReleasedInFlight = func() []string {
			if busy.Load() {
				return []string{"w1"}
			}
			return nil
		}
	})
	awaitCoverage(t, []*testNode{a, b})
	offset := log.View().NextOffset - 1
	eventually(t, "the release waits for b only", func() bool { return slices.Equal(a.UnacknowledgedMembers("w1", offset), []string{"b"}) })
	if w := a.UnacknowledgedMembers("w2", offset+1); len(w) != 2 {
		t.Errorf("release at an offset that no member has applied: waiting for %v", w)
	}
	busy.Store(false)
	eventually(t, "the release waits for no member", func() bool { return len(a.UnacknowledgedMembers("w1", offset)) == 0 })
}
