package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	sdktrace "go.opentelemetry.io/otel/sdk/trace"

	"github.com/berylwharf/berylwharf/claims"
	"github.com/berylwharf/berylwharf/resource"
	"github.com/berylwharf/berylwharf/verdict"
)

// TestEndToEnd guards against losing or altering parts of a request or response, and against forwarding hop-by-hop
// headers.
func TestEndToEnd(t *testing.T) {
	addr, _ := echoServer(t, func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		w.Header().Set("X-Seen", r.Method+" "+r.URL.RequestURI()+" "+r.Header.Get(HeaderKey))
		w.Header().Set("Connection", "X-Drop")
		w.Header().Set("X-Drop", "1")
		w.WriteHeader(http.StatusCreated)
		w.Write(b)
	})
	n := newNode(t, nil, addr)
	r := n.do("POST", "/svc/booking/a%2Fb?x=1", "slot 9", HeaderKey, "k1")
	if r.status != http.StatusCreated || r.body != "slot 9" || r.header.Get("X-Seen") != "POST /a%2Fb?x=1 k1" {
		t.Fatalf("got %d %q %v", r.status, r.body, r.header)
	}
	if r.header.Get("X-Drop") != "" || r.header.Get(HeaderRequestID) == "" {
		t.Fatalf("headers: %v", r.header)
	}
	if r := n.do("GET", "/svc/booking", ""); r.header.Get("X-Seen") != "GET /" {
		t.Fatalf("headers: %v", r.header)
	}
}

// TestRefusals guards against wrong verdicts, statuses and reasons of requests that are refused before they are queued.
// With a key, a later attempt must not be refused as not-run, because an earlier attempt may have run.
func TestRefusals(t *testing.T) {
	addr, _ := echoServer(t, func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte("ok")) })
	n := newNode(t, func(_ *Config, s *resource.Service) { s.MaxBodyBytes = 4 }, addr)
	cases := []struct {
		path, body string
		headers    []string
		want       string
	}{
		{"/svc/booking/", "x", []string{HeaderCustomer, ""}, "400 not-run bad-request"},
		{"/svc/booking/", "x", []string{HeaderUrgency, "soon"}, "400 not-run bad-request"},
		{"/svc/booking/", "x", []string{HeaderDeadline, "-1"}, "400 not-run bad-request"},
		{"/svc/booking/", "x", []string{HeaderAttempt, "0"}, "400 not-run bad-request"},
		{"/svc/booking/", "x", []string{HeaderKey, strings.Repeat("k", 129)}, "400 not-run bad-request"},
		{"/svc/booking/", "x", []string{HeaderCustomer, "nobody"}, "403 not-run unknown-customer"},
		{"/svc/other/", "x", nil, "404 not-run unknown-service"},
		{"/", "x", nil, "404 not-run unknown-service"},
		{"/svc/booking/", "12345", nil, "413 not-run request-too-large"},
		{"/svc/booking/", "12345", []string{HeaderKey, "k", HeaderAttempt, "1"}, "413 not-run request-too-large"},
		{"/svc/booking/", "12345", []string{HeaderKey, "k", HeaderAttempt, "2"}, "413 may-have-run request-too-large"},
	}
	for _, c := range cases {
		r := n.do("POST", c.path, c.body, c.headers...)
		var b verdict.Body
		json.Unmarshal([]byte(r.body), &b)
		if got := fmt.Sprint(r.status, " ", r.header.Get(verdict.Header), " ", b.Reason); got != c.want || b.RequestID == "" {
			t.Errorf("%v: got %s, want %s", c, got, c.want)
		}
	}
}

// TestClaimDecisions guards against a wrong status or verdict for the results of claiming an identifier.
func TestClaimDecisions(t *testing.T) {
	want := map[claims.Result]string{
		claims.ResultInProgress: "409 may-have-run", claims.ResultReplay: "409 may-have-run",
		claims.ResultMismatch: "422 not-run", claims.ResultUncovered: "503 may-have-run",
		claims.ResultUndecided: "503 may-have-run", claims.ResultFuture: "400 not-run",
	}
	for result, text := range want {
		if e := claimRefusal(result, false); fmt.Sprint(e.Status, " ", e.Verdict) != text {
			t.Errorf("result %d: %d %s, want %s", result, e.Status, e.Verdict, text)
		}
	}
	if e := claimRefusal(claims.ResultUndecided, true); e.Verdict != verdict.NotRun {
		t.Errorf("first attempt, homes unreachable: %s", e.Verdict)
	}
}

// TestDrainInterruptsNothing guards against Drain interrupting running or waiting requests or accepting new ones, and
// against refusals by a full queue without a verdict or Retry-After.
func TestDrainInterruptsNothing(t *testing.T) {
	started, release := make(chan struct{}, 100), make(chan struct{})
	addr, _ := echoServer(t, func(w http.ResponseWriter, _ *http.Request) {
		started <- struct{}{}
		<-release
		w.Write([]byte("ok"))
	})
	n := newNode(t, func(_ *Config, s *resource.Service) { s.QueueLimit = 4 }, addr)
	replies := make(chan reply, 100)
	const requests = SlotsPerWorker + 4
	send := func(count int) {
		for range count {
			go func() { replies <- n.do("POST", "/svc/booking/", "x") }()
		}
	}
	// The slots are filled one by one, because requests sent all at once would overflow the queue while slots are being
	// granted.
	for range SlotsPerWorker {
		send(1)
		<-started
	}
	send(requests - SlotsPerWorker)
	s := n.h.table.Load().services["booking"]
	waitFor(t, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.queue.Len() == requests-SlotsPerWorker
	})
	if got := n.h.InFlight("vm-a"); got != SlotsPerWorker {
		t.Fatalf("%d requests in flight on vm-a", got)
	}
	// The queue is full. This request has the latest deadline of the only customer, so it is the one that is refused.
	r := n.do("POST", "/svc/booking/", "x", HeaderDeadline, "60000")
	if r.status != 503 || r.header.Get(verdict.Header) != "not-run" || r.header.Get("Retry-After") == "" {
		t.Fatalf("full queue: %d %v %s", r.status, r.header, r.body)
	}
	drained := make(chan error, 1)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	go func() { drained <- n.h.Drain(ctx) }()
	waitFor(t, func() bool {
		r := n.do("POST", "/svc/booking/", "x", HeaderDeadline, "1")
		return r.status == 503 && r.header.Get(verdict.Header) == "not-run" && strings.Contains(r.body, "draining")
	})
	close(release)
	for range requests {
		if r := <-replies; r.status != 200 || r.body != "ok" {
			t.Errorf("request interrupted: %d %q", r.status, r.body)
		}
	}
	if err := <-drained; err != nil {
		t.Fatal(err)
	}
}

func waitFor(t *testing.T, cond func() bool) {
	t.Helper()
	for start := time.Now(); !cond(); time.Sleep(time.Millisecond) {
		if time.Since(start) > testTimeout {
			t.Fatal("the condition was never met")
		}
	}
}

// TestLeavingVMGetsNoNewWork guards against new requests to a VM that was removed from the routing table, and against
// interrupting the requests in flight on it.
func TestLeavingVMGetsNoNewWork(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	leaving, _ := echoServer(t, func(w http.ResponseWriter, _ *http.Request) {
		started <- struct{}{}
		<-release
		w.Write([]byte("leaving"))
	})
	stays, _ := echoServer(t, func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte("stays")) })
	n := newNode(t, nil, leaving)
	first := make(chan reply, 1)
	go func() { first <- n.do("POST", "/svc/booking/", "x") }()
	<-started
	next := newTable(n.table.Services["booking"].Spec, stays)
	next.Services["booking"].Backends[0].VM = "vm-b"
	n.h.SetTable(next)
	for range 20 {
		if r := n.do("POST", "/svc/booking/", "x"); r.body != "stays" {
			t.Fatalf("%d %s", r.status, r.body)
		}
	}
	if n.h.InFlight("vm-a") != 1 {
		t.Fatal("the request in flight on the leaving VM is not counted")
	}
	close(release)
	if r := <-first; r.body != "leaving" {
		t.Fatalf("request interrupted: %d %s", r.status, r.body)
	}
	waitFor(t, func() bool { return n.h.InFlight("vm-a") == 0 })
}

// TestCleartextHTTP2AndTrace guards against losing support for cleartext HTTP/2, and against not passing on the trace
// context with a span of the entry node as parent.
func TestCleartextHTTP2AndTrace(t *testing.T) {
	const trace = "0af7651916cd43dd8448eb211c80319c"
	addr, _ := echoServer(t, func(w http.ResponseWriter, r *http.Request) { io.WriteString(w, r.Header.Get("Traceparent")) })
	n := newNode(t, func(c *Config, _ *resource.Service) { c.TracerProvider = sdktrace.NewTracerProvider() }, addr)
	p := new(http.Protocols)
	p.SetUnencryptedHTTP2(true)
	tr := &http.Transport{Protocols: p}
	defer tr.CloseIdleConnections()
	req, _ := http.NewRequest("POST", n.srv.URL+"/svc/booking/", strings.NewReader("x"))
	req.Header.Set(HeaderCustomer, "tanglaw")
	req.Header.Set("Traceparent", "00-"+trace+"-b7ad6b7169203331-01")
	resp, err := tr.RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	b, _ := io.ReadAll(resp.Body)
	if resp.ProtoMajor != 2 || !strings.Contains(string(b), trace) || strings.Contains(string(b), "b7ad6b7169203331") {
		t.Fatalf("%s: traceparent %q", resp.Proto, b)
	}
}
