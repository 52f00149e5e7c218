package backend

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"
)

func start(t *testing.T, work time.Duration) *Server {
	t.Helper()
	s, err := Start("127.0.0.1:0", Config{Name: "b1", Work: Work{Mean: work}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	return s
}

func inject(t *testing.T, s *Server, f Fault) {
	t.Helper()
	if err := s.Inject(f); err != nil {
		t.Fatal(err)
	}
}

// client is a connection on which tests write requests and read responses directly.
type client struct {
	t    *testing.T
	conn net.Conn
	in   *bufio.Reader
}

func dial(t *testing.T, s *Server) *client {
	t.Helper()
	c, err := net.Dial("tcp", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	return &client{t: t, conn: c, in: bufio.NewReader(c)}
}

func (c *client) send(key, body string) {
	c.t.Helper()
	req, _ := http.NewRequest("POST", "http://b/book/1?x=2", strings.NewReader(body))
	req.Header.Set(KeyHeader, key)
	req.Header.Set(RequestIDHeader, "id-"+key)
	if err := req.Write(c.conn); err != nil {
		c.t.Fatal(err)
	}
}

// receive returns the status and the response, or the error that ended the connection.
func (c *client) receive() (int, Response, error) {
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return 0, Response{}, err
	}
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return resp.StatusCode, Response{}, err
	}
	var a Response
	if resp.StatusCode == http.StatusOK {
		err = json.Unmarshal(data, &a)
		if err == nil && resp.Header.Get(RequestIDHeader) != a.RequestID {
			err = errors.New("request ID differs between header and body")
		}
	}
	return resp.StatusCode, a, err
}

// TestResponseIdentifiesRequest guards against a response that does not identify its request, and against miscounted
// runs.
func TestResponseIdentifiesRequest(t *testing.T) {
	s := start(t, 0)
	c := dial(t, s)
	sum := sha256.Sum256([]byte("body"))
	want := Response{
		Server: "b1", RequestID: "id-k", Key: "k", Method: "POST", Path: "/book/1", Query: "x=2",
		BodySHA256: hex.EncodeToString(sum[:]),
	}
	for run := 1; run <= 2; run++ {
		c.send("k", "body")
		status, got, err := c.receive()
		want.Run = run
		if err != nil || status != http.StatusOK || got != want {
			t.Fatalf("got %d %+v %v, want %+v", status, got, err, want)
		}
	}
	runs := s.Runs()
	if runs.Counts["k"] != 2 || runs.Total != 2 || runs.MaxRunning != 1 || runs.MaxConnections != 1 {
		t.Fatalf("runs %+v", runs)
	}
}

// TestFaults guards against a fault that has another effect than documented on the run or on what the client receives.
func TestFaults(t *testing.T) {
	cases := []struct {
		fault  Fault
		status int  // 0: no response
		broken bool // the connection ends before a complete response
		runs   int
	}{
		{Fault{Kind: FaultSlow, DelayMs: 30}, 200, false, 1},
		{Fault{Kind: FaultLate, DelayMs: 30}, 200, false, 1},
		{Fault{Kind: FaultFailFast}, 500, false, 0},
		{Fault{Kind: FaultTruncate}, 200, true, 1},
		{Fault{Kind: FaultCloseBefore}, 0, true, 0},
		{Fault{Kind: FaultCloseDuring}, 0, true, 1},
		{Fault{Kind: FaultCloseAfter}, 0, true, 1},
		{Fault{Kind: FaultSlow, Method: "GET", DelayMs: 60_000}, 200, false, 1},
	}
	for _, tc := range cases {
		t.Run(tc.fault.Kind+tc.fault.Method, func(t *testing.T) {
			s := start(t, 10*time.Millisecond)
			tc.fault.Count = 1
			inject(t, s, tc.fault)
			startTime := time.Now()
			c := dial(t, s)
			c.send("k", "body")
			status, _, err := c.receive()
			if status != tc.status || (err != nil) != tc.broken {
				t.Fatalf("got status %d, error %v", status, err)
			}
			if tc.fault.Method == "" && time.Since(startTime) < time.Duration(tc.fault.DelayMs)*time.Millisecond {
				t.Fatal("response received before the delay")
			}
			if got := s.Runs().Counts["k"]; got != tc.runs {
				t.Fatalf("%d runs, want %d", got, tc.runs)
			}
			again := dial(t, s)
			again.send("k2", "body")
			if status, _, err := again.receive(); status != 200 || err != nil {
				t.Fatalf("the fault did not end after its count: %d %v", status, err)
			}
		})
	}
}

// TestLargeResponses guards against padded or chunked responses that are corrupt, or that look complete when they were
// truncated: other tests use them to test the streaming of responses.
func TestLargeResponses(t *testing.T) {
	for _, chunked := range []bool{false, true} {
		s, err := Start("127.0.0.1:0", Config{AnswerBytes: 2 << 20, Chunked: chunked})
		if err != nil {
			t.Fatal(err)
		}
		defer s.Close()
		inject(t, s, Fault{Kind: FaultTruncate, Count: 1})
		cut, whole := dial(t, s), dial(t, s)
		cut.send("k1", "body")
		if status, _, err := cut.receive(); status != 200 || !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("chunked %v, truncated response: status %d, error %v", chunked, status, err)
		}
		whole.send("k2", "body")
		if _, a, err := whole.receive(); err != nil || len(a.Padding) < 2<<20-1000 {
			t.Errorf("chunked %v, complete response: %d bytes of padding, error %v", chunked, len(a.Padding), err)
		}
	}
}

// TestDuplicateAnswer guards against a second copy that is lost or that ends the connection: it must arrive as the
// response to the next request on the connection.
func TestDuplicateAnswer(t *testing.T) {
	s := start(t, 0)
	inject(t, s, Fault{Kind: FaultDuplicateAnswer, DelayMs: 20, Count: 1})
	c := dial(t, s)
	c.send("k1", "body")
	c.send("k2", "body")
	for _, want := range []string{"k1", "k1", "k2"} {
		status, a, err := c.receive()
		if status != 200 || err != nil || a.Key != want {
			t.Fatalf("got %d %+v %v, want the response to %s", status, a, err, want)
		}
	}
}

// TestSilentConnections guards against a stalled connection that still responds or is closed, against new connections
// that fail, and against a shutdown that waits for stalled connections.
func TestSilentConnections(t *testing.T) {
	s := start(t, 100*time.Millisecond)
	idle, busy := dial(t, s), dial(t, s)
	idle.send("k1", "body")
	if _, _, err := idle.receive(); err != nil {
		t.Fatal(err)
	}
	busy.send("k2", "body")
	for s.Runs().Counts["k2"] == 0 {
		time.Sleep(time.Millisecond)
	}
	inject(t, s, Fault{Kind: FaultSilent})
	idle.send("k3", "body")
	fresh := dial(t, s)
	fresh.send("k4", "body")
	if status, _, err := fresh.receive(); status != 200 || err != nil {
		t.Fatalf("new connection: %d %v", status, err)
	}
	for _, c := range []*client{idle, busy} {
		_ = c.conn.SetDeadline(time.Now().Add(200 * time.Millisecond))
		if _, _, err := c.receive(); !isTimeout(err) {
			t.Fatalf("stalled connection returned error %v, want a timeout", err)
		}
	}
	runs := s.Runs()
	if runs.Counts["k2"] != 1 || runs.Counts["k3"] != 0 || runs.Running != 0 {
		t.Fatalf("runs %+v", runs)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if err := s.Shutdown(ctx); err != nil {
		t.Fatal(err)
	}
}

// TestRefuse guards against a refuse fault that also closes open connections, or that does not end.
func TestRefuse(t *testing.T) {
	s := start(t, 0)
	control, err := s.StartControl("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	open := dial(t, s)
	open.send("k1", "body")
	if _, _, err := open.receive(); err != nil {
		t.Fatal(err)
	}
	post(t, control, `{"kind":"refuse"}`, http.StatusOK)
	if _, err := net.Dial("tcp", s.Addr()); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Fatalf("dial returned %v, want connection refused", err)
	}
	open.send("k2", "body")
	if status, _, err := open.receive(); status != 200 || err != nil {
		t.Fatalf("open connection: %d %v", status, err)
	}
	post(t, control, `{"kind":"clear"}`, http.StatusOK)
	again := dial(t, s)
	again.send("k3", "body")
	if status, _, err := again.receive(); status != 200 || err != nil {
		t.Fatalf("after clear: %d %v", status, err)
	}
	post(t, s.Addr(), `{"kind":"refuse"}`, http.StatusBadRequest)
	post(t, s.Addr(), `{"kind":"vanish"}`, http.StatusBadRequest)
}

func post(t *testing.T, addr, body string, want int) {
	t.Helper()
	resp, err := http.Post("http://"+addr+"/fault", "application/json", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != want {
		t.Fatalf("%s: status %d, want %d", body, resp.StatusCode, want)
	}
}

// TestShutdownFinishesRuns guards against a shutdown that interrupts a running request, and against GET /healthz not
// reporting that the server is leaving.
func TestShutdownFinishesRuns(t *testing.T) {
	s := start(t, 100*time.Millisecond)
	inject(t, s, Fault{Kind: FaultLeave})
	resp, err := http.Get("http://" + s.Addr() + "/healthz")
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable {
		t.Fatalf("healthz while leaving: %v %v", resp, err)
	}
	resp.Body.Close()
	c := dial(t, s)
	c.send("k", "body")
	for s.Runs().Running == 0 {
		time.Sleep(time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if err := s.Shutdown(ctx); err != nil {
		t.Fatal(err)
	}
	if status, _, err := c.receive(); status != 200 || err != nil {
		t.Fatalf("running request: %d %v", status, err)
	}
}

// TestWorkTimesAreSeeded guards against work times that cannot be reproduced from the seed, or that have a wrong mean.
func TestWorkTimesAreSeeded(t *testing.T) {
	w := Work{Mean: time.Second, Dist: DistLognormal, Seed: 7}
	a, b := newWorkTimes(w), newWorkTimes(w)
	var sum time.Duration
	const n = 2000
	for range n {
		x := a.draw()
		if x != b.draw() {
			t.Fatal("the same seed gave different work times")
		}
		sum += x
	}
	if mean := sum / n; mean < 900*time.Millisecond || mean > 1100*time.Millisecond {
		t.Fatalf("mean work time %s, want about 1s", mean)
	}
}
