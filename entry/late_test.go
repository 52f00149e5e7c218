package entry

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/berylwharf/berylwharf/resource"
	"github.com/berylwharf/berylwharf/verdict"
)

// lateDeadline is short because the requests in these tests wait until their deadlines.
const lateDeadline = 200 * time.Millisecond

// missDeadline sends requests until one has been dispatched and has missed its deadline, and returns the time at which
// that one was sent. On a slow machine a deadline may pass before dispatch.
func (n *testNode) missDeadline(method string) time.Time {
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

// awaitSlotsFree waits until all slots of vm-a are free, and fails the test with the message what if they never are.
func (n *testNode) awaitSlotsFree(what string) {
	n.t.Helper()
	for end := time.Now().Add(testTimeout); n.slots.Used("vm-a") > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			n.t.Fatal(what)
		}
	}
}

// TestLateAnswerFreesSlot guards against a slot staying in quarantine for maxRun, here an hour, although the response
// arrived shortly after the deadline, and against a slot being free while its request still runs.
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
		n.awaitSlotsFree(method + ": the slot is not free after the response")
	}
}

// TestSilentServerKeepsSlot guards against a slot being released before maxRun has passed since the deadline although no
// response has shown that the request ended, and against a slot that is never released. The test checks only a lower
// bound of time, so it does not fail on a slow machine.
func TestSilentServerKeepsSlot(t *testing.T) {
	const maxRun = 300 * time.Millisecond
	gate := make(chan struct{})
	addr, _ := echoServer(t, func(http.ResponseWriter, *http.Request) { <-gate })
	t.Cleanup(func() { close(gate) })
	n := newNode(t, func(_ *Config, s *resource.Service) { s.MaxRunMs = maxRun.Milliseconds() }, addr)
	earliest := n.missDeadline("POST").Add(lateDeadline + maxRun)
	n.awaitSlotsFree("the slot is never released")
	if early := time.Until(earliest); early > 0 {
		t.Errorf("the slot is free %s before maxRun has passed", early)
	}
}
