package daemon

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/berylwharf/berylwharf/operator"
	"github.com/berylwharf/berylwharf/resource"
	"github.com/berylwharf/berylwharf/standin/backend"
	platformstandin "github.com/berylwharf/berylwharf/standin/platform"
	"github.com/berylwharf/berylwharf/vmapi"
)

// TestRepeatedBookingAtAnotherNode guards against a booking that is executed twice because its retry reaches another entry
// node, and against an identifier that is accepted for a second, different booking.
func TestRepeatedBookingAtAnotherNode(t *testing.T) {
	c := newCluster(t, 2, 3, backend.Work{})
	c.declare(time.Second)
	for i := range 20 {
		key := newKey(t)
		first := c.book(c.nodes["n0"], key, "1", "slot 1")
		if first.status != http.StatusOK {
			t.Fatalf("booking %d: status %d, verdict %q, %s", i, first.status, first.verdict, first.body)
		}
		repeated := c.book(c.nodes["n1"], key, "2", "slot 1")
		if repeated.status != http.StatusOK || !repeated.replayed || string(repeated.body) != string(first.body) {
			t.Fatalf("repeat: status %d, replayed %v, %s", repeated.status, repeated.replayed, repeated.body)
		}
		other := c.book(c.nodes["n2"], key, "2", "slot 2")
		if other.status != http.StatusUnprocessableEntity || other.verdict != "not-run" {
			t.Fatalf("identifier with another body: status %d, verdict %q", other.status, other.verdict)
		}
		if n := c.runs(key); n != 1 {
			t.Fatalf("booking ran %d times", n)
		}
	}
}

// TestSlotsAcrossNodes guards against a worker that gets more than 8 concurrent requests or 64 connections when all entry
// nodes send requests to it at the same time, and against slots that are not returned afterwards.
func TestSlotsAcrossNodes(t *testing.T) {
	c := newCluster(t, 1, 3, backend.Work{Mean: 10 * time.Millisecond})
	c.declare(time.Second)
	var wg sync.WaitGroup
	var refused atomic.Int64
	for _, n := range c.nodes {
		for range 20 {
			wg.Go(func() {
				for range 10 {
					if r := c.get(n); r.status != http.StatusOK {
						refused.Add(1)
					}
				}
			})
		}
	}
	wg.Wait()
	runs := c.backends["w0"].Runs()
	if runs.MaxRunning > 8 || runs.MaxConnections > 64 {
		t.Fatalf("%d concurrent requests and %d concurrent connections", runs.MaxRunning, runs.MaxConnections)
	}
	if refused.Load() > 0 {
		t.Fatalf("%d of 600 requests were refused", refused.Load())
	}
	c.eventually("all slots are free", func() bool { return c.freeSlots() == 8 })
}

// TestSimultaneousStart guards against slots that stay in quarantine when nodes start at the same time, because none of them
// knows the members before it. A quarantine lasts as long as the longest run time, which is an hour here.
func TestSimultaneousStart(t *testing.T) {
	c := newCluster(t, 8, 3, backend.Work{})
	c.startDeferredNodes()
	c.declare(time.Hour)
	c.eventually("all slots are free", func() bool { return c.freeSlots() == 64 })
}

func (c *cluster) freeSlots() int {
	free := 0
	for _, n := range c.nodes {
		free += n.coord.Status().FreeSlots
	}
	return free
}

// TestLeavingServerGetsNoNewWork guards against new requests to a backend server that is leaving. A node learns of this from
// a declared drain, from the VM list or from a health probe. The last two must work while the log service is down.
func TestLeavingServerGetsNoNewWork(t *testing.T) {
	c := newCluster(t, 4, 2, backend.Work{})
	c.declare(time.Second)
	if _, err := c.put("n0", vmKey("w0"), c.version("n0", vmKey("w0")), resource.VM{Pool: "p", Drain: true}); err != nil {
		t.Fatal(err)
	}
	c.inject(platformstandin.Fault{Kind: platformstandin.FaultOutage, Target: platformstandin.TargetLog})
	leaving := vmapi.VM{
		Name: "w1", Zone: "z", Rack: "r", Role: vmapi.RoleWorker, Addr: c.backends["w1"].Addr(), State: vmapi.StateLeaving,
	}
	c.addVM(leaving)
	if err := c.backends["w2"].Inject(backend.Fault{Kind: backend.FaultLeave}); err != nil {
		t.Fatal(err)
	}
	for _, vm := range []string{"w0", "w1", "w2"} {
		c.eventually(vm+" gets no new work", func() bool { return c.idleAfterRequests(vm) })
	}
}

func vmKey(vm string) resource.Key { return resource.Key{Kind: resource.KindVM, Name: vm} }

// idleAfterRequests sends requests to all nodes and reports whether none of them was executed on the VM.
func (c *cluster) idleAfterRequests(vm string) bool {
	before := c.backends[vm].Runs().Total
	for _, n := range c.nodes {
		for range 20 {
			if r := c.get(n); r.status != http.StatusOK {
				c.t.Fatalf("status %d, verdict %q, %s", r.status, r.verdict, r.body)
			}
		}
	}
	return c.backends[vm].Runs().Total == before
}

func (c *cluster) inject(f platformstandin.Fault) {
	c.t.Helper()
	if err := c.platform.Inject(f); err != nil {
		c.t.Fatal(err)
	}
}

func (c *cluster) version(n string, key resource.Key) uint64 {
	r := c.nodes[n].follower.View().Get(key)
	if r == nil {
		return 0
	}
	return r.Version
}

// TestLogOutage guards against an outage of the log service that interrupts requests, loses or reverts an accepted change,
// or leaves nodes with different states, and against a new node that cannot load the state during the outage.
func TestLogOutage(t *testing.T) {
	c := newCluster(t, 1, 2, backend.Work{})
	c.declare(time.Second)
	pool := resource.Key{Kind: resource.KindPool, Name: "p"}
	accepted, err := c.put("n0", pool, c.version("n0", pool), resource.Pool{Description: "before"})
	if err != nil {
		t.Fatal(err)
	}
	c.eventually("both nodes have the change", func() bool { return c.version("n1", pool) == accepted.Offset })
	c.inject(platformstandin.Fault{Kind: platformstandin.FaultOutage, Target: platformstandin.TargetLog})

	if r := c.book(c.nodes["n1"], newKey(t), "1", "x"); r.status != http.StatusOK {
		t.Fatalf("booking during the outage: status %d, %s", r.status, r.body)
	}
	newNode := c.startNode("n2")
	c.eventually("the new node has the state from a peer", func() bool { return newNode.follower.View().NextOffset == c.nodes["n0"].follower.View().NextOffset })
	if newNode.follower.View().Hash != c.nodes["n0"].follower.View().Hash {
		t.Fatal("the new node has another state")
	}
	if newNode.Ready() == "" {
		t.Fatal("the new node is ready, although it cannot be a member")
	}
	c.inject(platformstandin.Fault{Kind: platformstandin.FaultClear})
	c.awaitReady("n2")
	if _, err := c.put("n2", pool, accepted.Offset, resource.Pool{Description: "after"}); err != nil {
		t.Fatal(err)
	}
	c.eventually("all nodes have the same state", func() bool {
		a, b, d := c.nodes["n0"].follower.View(), c.nodes["n1"].follower.View(), newNode.follower.View()
		return a.NextOffset == b.NextOffset && b.NextOffset == d.NextOffset && a.Hash == b.Hash && b.Hash == d.Hash &&
			c.version("n1", pool) > accepted.Offset
	})
}

// TestRacingOperators guards against a lost update when operators at two nodes change the same version of a resource at the
// same time, also when responses of the log service are lost.
func TestRacingOperators(t *testing.T) {
	c := newCluster(t, 0, 2, backend.Work{})
	c.startDeferredNodes()
	c.awaitReady("n0")
	c.awaitReady("n1")
	for round := range 10 {
		key := resource.Key{Kind: resource.KindPool, Name: fmt.Sprintf("p%d", round)}
		c.inject(platformstandin.Fault{Kind: platformstandin.FaultLoseAnswer, Target: platformstandin.TargetLog, Method: "POST", Count: 1})
		var accepted, conflicts atomic.Int64
		var wg sync.WaitGroup
		for _, n := range []string{"n0", "n1"} {
			wg.Go(func() {
				_, err := c.put(n, key, 0, resource.Pool{Description: n})
				var e *operator.Error
				switch {
				case err == nil:
					accepted.Add(1)
				case errors.As(err, &e) && e.Code == operator.CodeConflict && strings.HasPrefix(e.Author, "test@"):
					conflicts.Add(1)
				default:
					t.Errorf("put at %s: %v", n, err)
				}
			})
		}
		wg.Wait()
		if accepted.Load() != 1 || conflicts.Load() != 1 {
			t.Fatalf("round %d: %d accepted, %d conflicts", round, accepted.Load(), conflicts.Load())
		}
	}
}

// TestGracefulShutdown guards against a graceful shutdown that aborts requests in flight, against a wrong verdict for
// new requests, and against slots that are not returned.
func TestGracefulShutdown(t *testing.T) {
	c := newCluster(t, 1, 2, backend.Work{Mean: 300 * time.Millisecond})
	c.declare(time.Second)
	leaving := c.nodes["n1"]
	replies := make(chan reply, 6)
	for range cap(replies) {
		go func() { replies <- c.book(leaving, newKey(t), "1", "x") }()
	}
	c.eventually("requests are running", func() bool { return c.backends["w0"].Runs().Running >= 4 })
	leaving.stop()
	for range cap(replies) {
		r := <-replies
		// A request that arrives after the stop is refused with the verdict not-run, or its connection is not accepted.
		if r.err == nil && r.status != http.StatusOK && r.verdict != "not-run" {
			t.Fatalf("status %d, verdict %q, %s", r.status, r.verdict, r.body)
		}
	}
	leaving.stopAndWait(t)
	delete(c.nodes, "n1")
	c.eventually("all slots are free", func() bool { return c.freeSlots() == 8 })
}

// TestKilledNodeReturnsSlots guards against slots and claims that remain assigned to an entry node whose VM no longer
// exists, and against a booking that is executed twice because the node that held its claim is lost.
func TestKilledNodeReturnsSlots(t *testing.T) {
	c := newCluster(t, 1, 3, backend.Work{})
	c.declare(200 * time.Millisecond)
	keys := make([]string, 30)
	for i := range keys {
		keys[i] = newKey(t)
		if r := c.book(c.nodes["n2"], keys[i], "1", "x"); r.status != http.StatusOK {
			t.Fatalf("status %d, %s", r.status, r.body)
		}
	}
	c.nodes["n2"].kill()
	c.removeVM("n2")
	delete(c.nodes, "n2")
	for _, key := range keys {
		r := c.book(c.nodes["n0"], key, "2", "x")
		if r.err != nil || r.verdict == "not-run" || (r.status == http.StatusOK && !r.replayed) {
			t.Fatalf("repeat after the loss: status %d, verdict %q, replayed %v, %s", r.status, r.verdict, r.replayed, r.body)
		}
		if n := c.runs(key); n != 1 {
			t.Fatalf("booking ran %d times", n)
		}
	}
	c.eventually("all slots are free", func() bool { return c.freeSlots() == 8 })
	c.eventually("new bookings are served", func() bool {
		return c.book(c.nodes["n1"], newKey(t), "1", "x").status == http.StatusOK
	})
}

// kill stops the node so that it neither returns its slots nor appends a leave record. It closes the listeners; the failure
// of the peer listener closes the connections to the peers first.
func (n *node) kill() { n.listeners.close() }

// TestCatchUpAfterRetention guards against a node that cannot catch up because the log service has deleted records that
// the node has not read.
func TestCatchUpAfterRetention(t *testing.T) {
	c := newClusterWithPlatform(t, 0, 1, backend.Work{}, platformstandin.Config{RetentionRecords: 40})
	c.awaitReady("n0")
	key := resource.Key{Kind: resource.KindPool, Name: "p"}
	version := uint64(0)
	for i := range 100 {
		r, err := c.put("n0", key, version, resource.Pool{Description: fmt.Sprint(i)})
		if err != nil {
			t.Fatal(err)
		}
		version = r.Offset
	}
	c.startNode("n1")
	c.awaitReady("n1")
	c.eventually("the same state at both nodes", func() bool {
		a, b := c.nodes["n0"].follower.View(), c.nodes["n1"].follower.View()
		return a.NextOffset == b.NextOffset && a.Hash == b.Hash && c.version("n1", key) == version
	})
}
