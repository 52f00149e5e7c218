package relay

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/berylwharf/berylwharf/job"
	"github.com/berylwharf/berylwharf/jobmanager"
	"github.com/berylwharf/berylwharf/peer"
)

// testClock is a steady clock that the test sets.
type testClock struct {
	mu  sync.Mutex
	now time.Duration
}

func (c *testClock) Now() job.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return job.Time{Steady: c.now}
}

func (c *testClock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now += d
}

// testNet delivers messages between two nodes in the calling goroutine. A node that is held keeps its incoming messages
// until it is released, like a process that is paused.
type testNet struct {
	mu       sync.Mutex
	handlers map[string]map[string]peer.Handler // by node and message type
	held     map[string]bool
	waiting  map[string][]func()
}

func newTestNet() *testNet {
	return &testNet{handlers: make(map[string]map[string]peer.Handler), held: make(map[string]bool), waiting: make(map[string][]func())}
}

// testNode is a Messenger of one node.
type testNode struct {
	net  *testNet
	name string
}

func (n testNode) Handle(msgType string, h peer.Handler) {
	n.net.mu.Lock()
	defer n.net.mu.Unlock()
	if n.net.handlers[n.name] == nil {
		n.net.handlers[n.name] = make(map[string]peer.Handler)
	}
	n.net.handlers[n.name][msgType] = h
}

func (n testNode) ConnectedNodes() []string {
	n.net.mu.Lock()
	defer n.net.mu.Unlock()
	var out []string
	for node := range n.net.handlers {
		if node != n.name {
			out = append(out, node)
		}
	}
	slices.Sort(out)
	return out
}

func (n testNode) Send(node, msgType string, body any) error {
	b, err := peer.Encode(body)
	if err != nil {
		return err
	}
	n.net.mu.Lock()
	h := n.net.handlers[node][msgType]
	if h == nil {
		n.net.mu.Unlock()
		return peer.ErrNotConnected
	}
	deliver := func() { _, _ = h(context.Background(), n.name, b) }
	if n.net.held[node] {
		n.net.waiting[node] = append(n.net.waiting[node], deliver)
		n.net.mu.Unlock()
		return nil
	}
	n.net.mu.Unlock()
	deliver()
	return nil
}

func (t *testNet) hold(node string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.held[node] = true
}

func (t *testNet) release(node string) {
	t.mu.Lock()
	t.held[node] = false
	waiting := t.waiting[node]
	t.waiting[node] = nil
	t.mu.Unlock()
	for _, deliver := range waiting {
		deliver()
	}
}

// testWorkers records the calls that reach workers.
type testWorkers struct {
	mu     sync.Mutex
	orders []job.Order
	renews int
	reply  *jobmanager.RenewLeaseReply
	err    error
}

func (w *testWorkers) RenewLease(context.Context, jobmanager.Target, jobmanager.RenewLeaseRequest) (*jobmanager.RenewLeaseReply, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.renews++
	return w.reply, w.err
}

func (w *testWorkers) Send(_ context.Context, _ jobmanager.Target, o job.Order, _ int64) (job.Result, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.orders = append(w.orders, o)
	return job.ResultDone, w.err
}

func (w *testWorkers) count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.orders)
}

// fixture is an owner with one relay.
type fixture struct {
	t                       *testing.T
	net                     *testNet
	clock                   *testClock // of the owner
	relayClock              *testClock
	relayed, direct         *testWorkers
	workers                 *Workers
	server                  *Server
	ownerNode, relayNodeEnd testNode
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	net := newTestNet()
	f := &fixture{
		t: t, net: net, clock: &testClock{now: time.Hour}, relayClock: &testClock{now: 3 * time.Hour},
		relayed: &testWorkers{}, direct: &testWorkers{},
		ownerNode: testNode{net, "owner"}, relayNodeEnd: testNode{net, "relay"},
	}
	f.server = NewServer(f.relayed, f.relayNodeEnd, f.relayClock)
	f.workers = NewWorkers(f.direct, f.ownerNode, f.clock)
	f.workers.Heartbeat("relay", peer.Heartbeat{Zone: "z"})
	t.Cleanup(func() {
		f.workers.Close()
		f.server.Close()
	})
	return f
}

var testTarget = jobmanager.Target{Worker: "w", Addr: "127.0.0.1:1", FencingToken: 7, Relay: "relay"}

func testOrder(i int) job.Order {
	return job.Order{
		Kind: job.OrderStart, Worker: "w", Task: job.TaskID{Job: "j", Index: i}, Run: 3, Payload: "payload", Checkpoint: "c",
	}
}

// send sends an order and returns its result.
func (f *fixture) send(o job.Order) (job.Result, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	return f.workers.Send(ctx, testTarget, o, 99)
}

// connect makes the owner learn the relay's clock. Calls are made directly until then.
func (f *fixture) connect() {
	f.t.Helper()
	f.waitFor("a session with the relay", func() bool {
		if _, err := f.send(testOrder(0)); err != nil {
			f.t.Fatal(err)
		}
		f.workers.mu.Lock()
		defer f.workers.mu.Unlock()
		s := f.workers.sessions["relay"]
		return s != nil && s.process != 0
	})
}

func (f *fixture) waitFor(what string, done func() bool) {
	f.t.Helper()
	for end := time.Now().Add(time.Minute); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			f.t.Fatalf("timed out waiting for %s", what)
		}
	}
}

// waitForHeldMessage waits until a message to the held relay waits.
func (f *fixture) waitForHeldMessage() {
	f.t.Helper()
	f.waitFor("a message to the relay", func() bool {
		f.net.mu.Lock()
		defer f.net.mu.Unlock()
		return len(f.net.waiting["relay"]) > 0
	})
}

// TestCallsThroughRelay guards against orders and reports that are changed or exchanged on their way.
func TestCallsThroughRelay(t *testing.T) {
	f := newFixture(t)
	f.connect()
	direct := f.direct.count()
	var wg sync.WaitGroup
	for i := range 100 {
		wg.Go(func() {
			if result, err := f.send(testOrder(i)); result != job.ResultDone || err != nil {
				t.Errorf("result %d, error %v", result, err)
			}
		})
	}
	wg.Wait()
	if f.direct.count() != direct {
		t.Error("the owner made calls itself although a relay was available")
	}
	seen := make(map[job.Order]bool)
	for _, o := range f.relayed.orders {
		seen[o] = true
	}
	for i := range 100 {
		if !seen[testOrder(i)] {
			t.Errorf("order %d did not reach the worker unchanged", i)
		}
	}
	want := jobmanager.RenewLeaseReply{ClockMs: 5, Report: job.Report{
		Worker: "w", Incarnation: 4,
		Running: []job.RunningTask{{Task: job.TaskID{Job: "j", Step: 1, Index: 2}, Run: 3, Checkpoint: "c", Progress: 50, Usage: 6}},
		Ended:   []job.EndedTask{{Seq: 8, Task: job.TaskID{Job: "j"}, Run: 1, Outcome: job.EndDone, Checkpoint: "d"}},
	}}
	f.relayed.reply = &want
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	got, err := f.workers.RenewLease(ctx, testTarget, jobmanager.RenewLeaseRequest{})
	if err != nil || fmt.Sprintf("%+v", *got) != fmt.Sprintf("%+v", want) {
		t.Errorf("got report %+v (%v), want %+v", got, err, want)
	}
}

// TestErrorsThroughRelay guards against a fenced owner that goes on because it does not learn that it is fenced, and
// against an ended incarnation that is taken for a silent worker.
func TestErrorsThroughRelay(t *testing.T) {
	f := newFixture(t)
	f.connect()
	for _, want := range []error{jobmanager.ErrFenced, jobmanager.ErrIncarnationEnded} {
		f.relayed.mu.Lock()
		f.relayed.err = errors.Wrap(want, "text")
		f.relayed.mu.Unlock()
		if _, err := f.send(testOrder(1)); !errors.Is(err, want) {
			t.Errorf("order: got error %v, want %v", err, want)
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		if _, err := f.workers.RenewLease(ctx, testTarget, jobmanager.RenewLeaseRequest{}); !errors.Is(err, want) {
			t.Errorf("renewal: got error %v, want %v", err, want)
		}
		cancel()
	}
}

// TestPausedRelayMakesNoLateCalls guards against a relay that is paused and then starts tasks or acknowledges run ends
// on a permission of the owner that has run out meanwhile.
func TestPausedRelayMakesNoLateCalls(t *testing.T) {
	f := newFixture(t)
	f.connect()
	before := f.relayed.count()
	f.net.hold("relay")
	result := make(chan job.Result, 1)
	go func() {
		r, _ := f.send(testOrder(1))
		result <- r
	}()
	f.waitForHeldMessage()
	f.relayClock.advance(callValidity + time.Millisecond)
	f.net.release("relay")
	if r := <-result; r != job.ResultNotSent {
		t.Errorf("got result %d, want not sent", r)
	}
	if f.relayed.count() != before {
		t.Error("the relay made a call after its time had run out")
	}
}

// TestRestartedRelayRefusesCalls guards against calls whose time limit refers to the clock of an earlier process of the
// relay's node.
func TestRestartedRelayRefusesCalls(t *testing.T) {
	f := newFixture(t)
	f.connect()
	f.server.Close()
	next := &testWorkers{}
	server := NewServer(next, f.relayNodeEnd, &testClock{})
	t.Cleanup(server.Close)
	if r, err := f.send(testOrder(1)); (r != job.ResultNotSent && r != job.ResultNoAnswer) || err != nil {
		t.Errorf("got result %d, error %v", r, err)
	}
	if next.count() != 0 {
		t.Error("the new process of the relay made a call that was meant for the earlier one")
	}
}

// TestSilentRelayIsAvoided guards against calls that all wait for their timeouts because a relay has failed without
// ending its connections.
func TestSilentRelayIsAvoided(t *testing.T) {
	f := newFixture(t)
	f.connect()
	f.net.hold("relay")
	result := make(chan job.Result, 1)
	go func() {
		r, _ := f.send(testOrder(1))
		result <- r
	}()
	f.waitForHeldMessage()
	silentSince := f.clock.Now().Steady
	f.waitFor("the end of the call", func() bool {
		f.clock.advance(checkInterval)
		f.workers.check(f.clock.Now().Steady)
		return len(result) == 1
	})
	if took := f.clock.Now().Steady - silentSince; took > 2*silenceTimeout {
		t.Errorf("the silence was noticed after %v, want %v", took, silenceTimeout)
	}
	if r := <-result; r != job.ResultNoAnswer {
		t.Errorf("got result %d, want no answer", r)
	}
	if c := f.workers.Candidates(); len(c) != 0 {
		t.Errorf("the silent relay is still a candidate: %v", c)
	}
	direct := f.direct.count()
	if _, err := f.send(testOrder(2)); err != nil || f.direct.count() != direct+1 {
		t.Errorf("the owner did not make the next call itself (%v)", err)
	}
}

// TestOwnPauseIsNotSilence guards against an owner that was paused and takes its relays for silent, although their
// messages wait in its own buffers.
func TestOwnPauseIsNotSilence(t *testing.T) {
	f := newFixture(t)
	f.connect()
	f.net.hold("relay")
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = f.send(testOrder(1))
	}()
	f.waitForHeldMessage()
	f.workers.check(f.clock.Now().Steady)
	f.clock.advance(10 * silenceTimeout)
	f.workers.check(f.clock.Now().Steady)
	if c := f.workers.Candidates(); len(c) != 1 {
		t.Error("the relay is avoided after a pause of the owner")
	}
	f.net.release("relay")
	<-done
}

// TestMalformedBatches guards against a malformed message of a peer that ends the process or reaches a worker.
func TestMalformedBatches(t *testing.T) {
	f := newFixture(t)
	f.connect()
	before := f.relayed.count()
	handle := f.net.handlers["relay"][typeCalls]
	for _, body := range [][]byte{nil, {0xff}, {0xa1, 0x04, 0x01}} {
		if _, err := handle(context.Background(), "owner", body); !errors.Is(err, peer.ErrMalformed) {
			t.Errorf("% x: got error %v, want malformed", body, err)
		}
	}
	valid := clockMs(f.relayClock) + 1000
	calls := []workerCall{
		{ID: 1, Kind: 99, Task: "j.0.0.0", ValidUntilMs: valid, TimeoutMs: 1000},
		{ID: 2, Kind: callStart, Task: "not a task", ValidUntilMs: valid, TimeoutMs: 1000},
		{ID: 3, Kind: callStart, Task: "j.0.0.0", Payload: 5, ValidUntilMs: valid, TimeoutMs: 1000},
		{ID: 4, Kind: callStart, Task: "j.0.0.0", Payload: -1, ValidUntilMs: valid, TimeoutMs: 1000},
	}
	for i := range calls {
		if r := f.server.call(&calls[i], nil); r.Code != codeNotMade {
			t.Errorf("call %d: got code %d, want not made", calls[i].ID, r.Code)
		}
	}
	if f.relayed.count() != before {
		t.Error("a malformed call reached a worker")
	}
}

// TestLargeQueueIsSplit guards against batches that exceed the size of a frame, so that none of their calls is sent.
func TestLargeQueueIsSplit(t *testing.T) {
	payload := make([]byte, 4000)
	var queue []queuedCall
	for i := range 1000 {
		queue = append(queue, queuedCall{call: workerCall{ID: uint64(i)}, payload: fmt.Sprint(i, string(payload))})
	}
	total := 0
	for len(queue) > 0 {
		var b callBatch
		b, queue = nextBatch(queue)
		for _, c := range b.Calls {
			if c.ID != uint64(total) || b.Payloads[c.Payload-1][:len(fmt.Sprint(total))] != fmt.Sprint(total) {
				t.Fatalf("call %d is out of order or has another payload", c.ID)
			}
			total++
		}
		if body, err := peer.Encode(b); err != nil || len(body) > peer.MaxFrame/2 {
			t.Fatalf("a batch has %d bytes (%v)", len(body), err)
		}
	}
	if total != 1000 {
		t.Fatalf("%d of 1000 calls are in the batches", total)
	}
}

// FuzzBatches guards against a batch that makes a decoder or its caller panic.
func FuzzBatches(f *testing.F) {
	b, err := peer.Encode(callBatch{Payloads: []string{"p"}, Calls: []workerCall{{Kind: callStart, Task: "j.0.0.0", Payload: 1}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add([]byte(b))
	f.Fuzz(func(t *testing.T, body []byte) {
		var calls callBatch
		if peer.Decode(body, &calls) == nil {
			for i := range calls.Calls {
				_, _ = calls.Calls[i].order(calls.Payloads)
			}
		}
		var results resultBatch
		if peer.Decode(body, &results) == nil {
			for _, r := range results.Results {
				_, _ = renewReply("w", r)
				_, _ = orderResult(r)
			}
		}
	})
}
