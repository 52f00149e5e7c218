package entry

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/berylwharf/berylwharf/resource"
	"github.com/berylwharf/berylwharf/verdict"
)

// lateDeadline is short, because the requests below miss their deadlines.
const lateDeadline = 200 * time.Millisecond

// missDeadline sends a request until one was dispatched and missed its deadline, and returns when that one was sent. On a
// slow machine a deadline may pass before dispatch.
func (n *node) missDeadline(method string) time.Time {
	n.t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); {
		sent := time.Now()
		r := n.do(method, "/svc/booking", "", HeaderDeadline, strconv.FormatInt(lateDeadline.Milliseconds(), 10))
		if r.status == http.StatusGatewayTimeout && r.header.Get(verdict.Header) == string(verdict.MayHaveRun) {
			return sent
		}
		if r.header.Get(verdict.Header) != string(verdict.NotRun) {
			n.t.Fatalf("%s: got %d %v", method, r.status, r.header)
		}
	}
	n.t.Fatalf("%s: no request was dispatched", method)
	return time.Time{}
}

func (n *node) awaitFree(what string) {
	n.t.Helper()
	for end := time.Now().Add(testTimeout); n.slots.Used("vm-a") > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			n.t.Fatal(what)
		}
	}
}

// TestLateAnswerFreesSlot guards against a slot that stays out of use for maxRun, here an hour, although the answer came
// shortly after the deadline, and against a slot that is free while its run goes on.
func TestLateAnswerFreesSlot(t *testing.T) {
	for _, method := range []string{"GET", "POST"} {
		gate := make(chan struct{})
		addr, _ := echoServer(t, func(http.ResponseWriter, *http.Request) { <-gate })
		n := newNode(t, func(_ *Config, s *resource.Service) { s.MaxRunMs = time.Hour.Milliseconds() }, addr)
		n.missDeadline(method)
		if n.slots.Used("vm-a") == 0 {
			t.Errorf("%s: the slot is free while the request runs", method)
		}
		if n.h.InFlight("vm-a") != 0 {
			t.Errorf("%s: a request with a known outcome counts as in flight", method)
		}
		close(gate)
		n.awaitFree(method + ": the slot is not free after the answer")
	}
}

// TestSilentServerKeepsSlot guards against a slot that is used again before maxRun has passed since the deadline, although
// no answer told that the run had ended, and against a slot that is lost for good. The bound of time is a lower one,
// which a slow machine cannot break.
func TestSilentServerKeepsSlot(t *testing.T) {
	const maxRun = 300 * time.Millisecond
	gate := make(chan struct{})
	addr, _ := echoServer(t, func(http.ResponseWriter, *http.Request) { <-gate })
	t.Cleanup(func() { close(gate) })
	n := newNode(t, func(_ *Config, s *resource.Service) { s.MaxRunMs = maxRun.Milliseconds() }, addr)
	earliest := n.missDeadline("POST").Add(lateDeadline + maxRun)
	n.awaitFree("the slot is lost")
	if early := time.Until(earliest); early > 0 {
		t.Errorf("the slot is free %s before maxRun has passed", early)
	}
}
