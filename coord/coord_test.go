package coord

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/berylwharf/berylwharf/claims"
	"github.com/berylwharf/berylwharf/follower"
	"github.com/berylwharf/berylwharf/slots"
)

const testKey = "0123456789abcdef"

// testNode is a running Coord and the means to stop it.
type testNode struct {
	*Coord
	stop context.CancelFunc
	done chan error
}

// start runs a node until the test ends. If edit is not nil, it changes the configuration first.
func start(t testing.TB, log *fakeLog, name string, edit func(*Config)) *testNode {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	cfg := Config{
		Node: name, VM: "vm-" + name, Zone: "z", Region: "r", Listener: ln, Key: testKey,
		Store: log, ShutdownTimeout: 2 * time.Second,
	}
	if edit != nil {
		edit(&cfg)
	}
	c, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	c.epochOf = log.epoch
	ctx, cancel := context.WithCancel(context.Background())
	n := &testNode{Coord: c, stop: cancel, done: make(chan error, 1)}
	go func() { n.done <- c.Run(ctx) }()
	t.Cleanup(func() { n.shutdown(t) })
	return n
}

func (n *testNode) shutdown(t testing.TB) {
	n.stop()
	if err := <-n.done; err != nil {
		t.Errorf("run: %v", err)
	}
	n.done <- nil
}

// eventually polls a condition and fails the test after about 30 s, so that a broken condition cannot block the test
// run.
func eventually(t testing.TB, what string, f func() bool) {
	t.Helper()
	for range 3000 {
		if f() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("condition not met in time: %s", what)
}

func startThreeNodes(t *testing.T) (*fakeLog, []*testNode) {
	t.Helper()
	log := newFakeLog()
	var nodes []*testNode
	for _, name := range []string{"a", "b", "c"} {
		n := start(t, log, name, nil)
		nodes = append(nodes, n)
		eventually(t, name+" joins", n.Member)
	}
	awaitCoverage(t, nodes)
	return log, nodes
}

func awaitCoverage(t testing.TB, nodes []*testNode) {
	t.Helper()
	for _, n := range nodes {
		eventually(t, n.cfg.Node+" knows that all members have reached its epoch", func() bool {
			s := n.Status()
			return s.Covered && len(s.Members) == len(nodes)
		})
	}
}

func newRequestKey(t *testing.T) claims.Key {
	t.Helper()
	id, err := uuid.NewV7()
	if err != nil {
		t.Fatal(err)
	}
	return claims.Key{Customer: "cust", Service: "svc", ID: id.String()}
}

// TestOneNodeUsesAllSlots guards against a node that cannot acquire all slots of the fleet while the other nodes are
// idle, against more than eight holders of one worker, and against slots that are not returned to their home nodes.
func TestOneNodeUsesAllSlots(t *testing.T) {
	_, nodes := startThreeNodes(t)
	workers := []string{"w1", "w2", "w3", "w4"}
	for round, n := range nodes {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		var wg sync.WaitGroup
		var mu sync.Mutex
		got := make(map[string]int)
		for i := range len(workers) * slots.PerWorker {
			order := append(slices.Clone(workers[i%4:]), workers[:i%4]...)
			wg.Go(func() {
				vm, err := n.Acquire(ctx, order)
				if err != nil {
					t.Error(err)
					return
				}
				mu.Lock()
				got[vm]++
				mu.Unlock()
			})
		}
		wg.Wait()
		cancel()
		for _, w := range workers {
			if got[w] != slots.PerWorker {
				t.Fatalf("round %d: %d slots of %s, want %d", round, got[w], w, slots.PerWorker)
			}
		}
		for _, w := range workers {
			for range got[w] {
				n.Return(w, 0)
			}
		}
	}
	eventually(t, "all slots are returned", func() bool {
		for _, n := range nodes {
			if s := n.Status(); s.HeldSlots != 0 || s.Quarantined != 0 {
				return false
			}
		}
		return true
	})
}

// TestAcquireCancelled guards against a slot that is lost when its request is cancelled before the grant arrives.
func TestAcquireCancelled(t *testing.T) {
	_, nodes := startThreeNodes(t)
	for i := range 200 {
		ctx, cancel := context.WithCancel(context.Background())
		go cancel()
		n := nodes[i%3]
		if vm, err := n.Acquire(ctx, []string{"w1"}); err == nil {
			n.Return(vm, 0)
		}
		cancel()
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	for range slots.PerWorker {
		if _, err := nodes[0].Acquire(ctx, []string{"w1"}); err != nil {
			t.Fatal(err)
		}
	}
}

// TestClaims guards against a request identifier that runs a second time through another node, and against a stored
// answer that is not replayed.
func TestClaims(t *testing.T) {
	_, nodes := startThreeNodes(t)
	ctx := context.Background()
	fp := claims.Fingerprint{1}
	eventually(t, "a later attempt under a new key is covered", func() bool {
		k := newRequestKey(t)
		d := nodes[0].Begin(ctx, k, fp, false)
		nodes[0].Finish(k, claims.PhaseNotRun, nil)
		return d.Result == claims.ResultGranted
	})
	for i := range 20 {
		k := newRequestKey(t)
		if d := nodes[i%3].Begin(ctx, k, fp, true); d.Result != claims.ResultGranted {
			t.Fatalf("first attempt: result %d", d.Result)
		}
		if d := nodes[(i+1)%3].Begin(ctx, k, fp, false); d.Result != claims.ResultInProgress {
			t.Fatalf("concurrent attempt: result %d", d.Result)
		}
		if d := nodes[(i+1)%3].Begin(ctx, k, claims.Fingerprint{2}, false); d.Result != claims.ResultMismatch {
			t.Fatalf("other body: result %d", d.Result)
		}
		nodes[i%3].Finish(k, claims.PhaseDone, &claims.StoredResponse{Status: 201, Body: []byte("ok")})
		eventually(t, "the answer is replayed", func() bool {
			d := nodes[(i+2)%3].Begin(ctx, k, fp, false)
			return d.Result == claims.ResultReplay && d.Response != nil && d.Response.Status == 201
		})
	}
}

// TestSingleMember guards against a node that waits for peers although it is the only member.
func TestSingleMember(t *testing.T) {
	log := newFakeLog()
	n := start(t, log, "a", nil)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if _, err := n.Acquire(ctx, []string{"w1"}); err != nil {
		t.Fatal(err)
	}
	n.Return("w1", 0)
	if d := n.Begin(ctx, newRequestKey(t), claims.Fingerprint{}, true); d.Result != claims.ResultGranted {
		t.Fatalf("result %d", d.Result)
	}
	n.shutdown(t)
	if m := log.View().Members; len(m) != 0 {
		t.Fatalf("members after shutdown: %v", m)
	}
}

var _ follower.Store = (*fakeLog)(nil)

func ExampleStatus() {
	s := Status{Node: "a", HeldSlots: 2}
	fmt.Println(s.Node, s.HeldSlots)
	// Output: a 2
}
