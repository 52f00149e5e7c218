package coord

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/berylwharf/berylwharf/claims"
	"github.com/berylwharf/berylwharf/membership"
	"github.com/berylwharf/berylwharf/slots"
	"github.com/berylwharf/berylwharf/statelog"
)

// newBenchHome returns a home node and the names of its workers. On each worker, one remote holder has four slots.
func newBenchHome(workers int) (*slots.Node, []string) {
	now := time.Unix(0, 0)
	members := []statelog.Member{{Node: "a", Incarnation: 1}, {Node: "b", Incarnation: 1}}
	set := membership.NewSet(1, members)
	n := slots.NewNode("a", time.Second)
	n.SetEpoch(membership.NewSet(0, nil), true, false, nil, now)
	n.SetEpoch(set, false, true, func(string, uint64) bool { return true }, now)
	n.Receive("b", slots.Message{Kind: slots.KindReport, Epoch: 1, RemovalsKnown: true}, now)
	var names []string
	for i := 0; len(names) < workers; i++ {
		name := fmt.Sprintf("worker-%05d", i)
		if set.Home(name) != "a" {
			continue
		}
		names = append(names, name)
		n.Receive("b", slots.Message{Kind: slots.KindAcquire, Epoch: 1, Worker: name, Count: 4, Seq: uint64(i + 1)}, now)
	}
	for _, e := range n.Outbox() {
		if m := e.Msg; m.Kind == slots.KindGrant {
			n.Receive("b", slots.Message{Kind: slots.KindGrantAck, Epoch: 1, Worker: m.Worker, Slot: m.Slot, Serial: m.Serial}, now)
		}
	}
	return n, names
}

// BenchmarkHome measures a home node that has granted slots on all of its workers: the memory per worker, and the
// time of one tick. A node runs ten ticks per second.
func BenchmarkHome(b *testing.B) {
	for _, workers := range []int{10, 139, 1250} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			n, _ := newBenchHome(workers)
			runtime.GC()
			runtime.ReadMemStats(&after)
			now := time.Unix(1, 0)
			b.ReportAllocs()
			for b.Loop() {
				n.Tick(now)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(workers), "B/worker")
		})
	}
}

// BenchmarkHomeRequest measures one slot request and the return of the slot at the home node.
func BenchmarkHomeRequest(b *testing.B) {
	for _, workers := range []int{10, 139, 1250} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			n, names := newBenchHome(workers)
			now := time.Unix(1, 0)
			seq := uint64(1 << 40)
			i := 0
			b.ReportAllocs()
			for b.Loop() {
				i++
				seq++
				n.Receive("b", slots.Message{Kind: slots.KindAcquire, Epoch: 1, Worker: names[i%workers], Count: 1, Seq: seq}, now)
				for _, e := range n.Outbox() {
					m := e.Msg
					n.Receive("b", slots.Message{Kind: slots.KindReturn, Epoch: 1, Worker: m.Worker, Slot: m.Slot, Serial: m.Serial}, now)
				}
				n.Outbox()
			}
		})
	}
}

// BenchmarkClaim measures a claim and its outcome at a home node, and the memory per claim.
func BenchmarkClaim(b *testing.B) {
	table := claims.NewTable(0, 0)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	now := time.Now()
	i := 0
	b.ReportAllocs()
	for b.Loop() {
		i++
		if i%50_000 == 0 {
			now = now.Add(claims.Horizon)
		}
		k := claims.Key{Customer: "customer", Service: "service", ID: fmt.Sprintf("01a7f0e4-0000-7000-8000-%012d", i)}
		id := claims.AttemptID{Node: "a", Incarnation: 1, Seq: uint64(i)}
		table.Claim(claims.Request{Key: k, First: true, Attempt: id}, claims.Coverage{EarlierHomesInactive: true}, now)
		table.Finish(claims.Outcome{Key: k, Attempt: id, Phase: claims.PhaseDone}, now)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(int64(after.HeapAlloc)-int64(before.HeapAlloc))/float64(table.Len()), "B/claim")
}

// startBenchPair starts two members. It returns the first member, and a worker whose home node is the other member if
// remote is set and the first member otherwise.
func startBenchPair(b *testing.B, remote bool) (*testNode, string) {
	log := newFakeLog()
	n := start(b, log, "a", nil)
	eventually(b, "a joins", n.Member)
	m := start(b, log, "b", nil)
	awaitCoverage(b, []*testNode{n, m})
	for i := 0; ; i++ {
		name := fmt.Sprintf("worker-%d", i)
		if (n.history.Current().Home(name) == "b") == remote {
			return n, name
		}
	}
}

// BenchmarkAcquire measures Acquire and Return of a slot that the node already holds idle, of one granted by the node
// itself as the home node, and of one granted by a remote home node over loopback.
func BenchmarkAcquire(b *testing.B) {
	ctx := context.Background()
	for _, c := range []struct {
		name         string
		remote, held bool
	}{{"held", true, true}, {"home-local", false, false}, {"home-remote", true, false}} {
		b.Run(c.name, func(b *testing.B) {
			n, worker := startBenchPair(b, c.remote)
			b.ReportAllocs()
			for b.Loop() {
				vm, err := n.Acquire(ctx, []string{worker})
				if err != nil {
					b.Fatal(err)
				}
				n.Return(vm, 0)
				if !c.held {
					// A recall makes the holder return the idle slot.
					n.step(func(now time.Time) {
						recall := slots.Message{Kind: slots.KindRecall, Epoch: n.history.Current().Epoch, Worker: worker}
						n.slots.Receive(n.history.Current().Home(worker), recall, now)
					})
				}
			}
		})
	}
}
