package jobmanager

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/berylwharf/berylwharf/job"
	"github.com/berylwharf/berylwharf/peer"
)

// testAdvisor reports the steps on which advice is requested.
type testAdvisor chan job.StepID

func (a testAdvisor) Advise(_ context.Context, r job.AdviceRequest) ([]job.Ticket, time.Duration, error) {
	a <- r.Step
	return nil, 0, nil
}

// TestAdvisorIsUsed guards against a node that ends with a nil dereference at the first queue that needs advice.
func TestAdvisorIsUsed(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	peers, err := peer.New(peer.Config{Node: "n", Key: "a key of the tests", Listener: l})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	advisor := make(testAdvisor, 1)
	n := NewNode(&Settings{Node: "n", Peers: "127.0.0.1:1", Shards: 1}, Platform{Advisor: advisor}, peers, SystemClock{}, NewLog(io.Discard, "n"))
	defer n.Close()
	s := newShard(n, 0)
	n.wg.Go(func() { s.advise(job.New(job.Config{}, n.clock.Now()), job.AdviceRequest{Step: job.StepID{Job: "j"}}) })
	if step := <-advisor; step.Job != "j" {
		t.Errorf("advice on %+v was requested", step)
	}
	close(s.done) // the loop of the shard does not run
}

// TestPanicEndsOneOwnership guards against an unexpected error in one shard that ends the process and with it the other
// shards and all callers' requests.
func TestPanicEndsOneOwnership(t *testing.T) {
	s := newTestShard(t, &recordingStore{})
	n := s.node
	waiting := make(chan bool, 1)
	s.runInLoop(n.ctx, func(job.Time) {})
	s.inbox <- func(job.Time) { panic("unexpected") }
	go func() { waiting <- s.runInLoop(n.ctx, func(job.Time) {}) }()
	<-s.done
	if <-waiting {
		t.Error("a request was served after the panic")
	}
	if n.ctx.Err() != nil {
		t.Error("the panic ended the node")
	}
	if cause := context.Cause(s.ctx); cause == nil || !strings.Contains(cause.Error(), "unexpected") {
		t.Errorf("the ownership ended with the reason %v", cause)
	}
	n.shards = map[int]*shard{fleetShard: s}
	n.refreshWorkers = make(chan struct{}, 1)
	n.updateOwnership(Membership{Shards: []int{fleetShard}})
	if next := n.shard(fleetShard); next == nil || next == s {
		t.Error("the shard is not taken over again")
	}
}

// TestMemberNames guards against a node that cannot be reached because its member name cannot be parsed.
func TestMemberNames(t *testing.T) {
	for _, s := range []*Settings{{Node: "n", Peers: "10.0.0.1:7"}, {Node: "n", Peers: "10.0.0.1:7", CPUShare: 0.1}} {
		node, addr, err := splitMember(memberName(s))
		if err != nil || node != "n" || addr != "10.0.0.1:7" {
			t.Errorf("%q: %q %q %v", memberName(s), node, addr, err)
		}
	}
	if _, _, err := splitMember("nobody"); err == nil {
		t.Error("a name without an address was accepted")
	}
}
