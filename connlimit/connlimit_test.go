package connlimit

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
)

// serve starts a protected server for HTTP/1 and HTTP/2 and returns its address.
func serve(t *testing.T, a *Account, s Server, handler http.HandlerFunc) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	srv := &http.Server{Protocols: &protocols, Handler: handler}
	go func() { _ = srv.Serve(a.Protect(srv, l, s)) }()
	t.Cleanup(func() { _ = srv.Close() })
	return l.Addr().String()
}

// countBody answers with the length of the body.
func countBody(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, "body not received", http.StatusBadRequest)
		return
	}
	fmt.Fprintf(w, "%d headers %d", len(b), len(r.Header))
}

func dial(t *testing.T, addr string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	return c, bufio.NewReader(c)
}

// awaitUsed waits until the account has charged no more than the given number of bytes.
func awaitUsed(t *testing.T, a *Account, most int64) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if a.used.Load() <= most {
			return
		}
	}
	t.Fatalf("%d bytes remain charged, want at most %d", a.used.Load(), most)
}

// TestLegalRequests guards against limits that a client inside the promised ones reaches on the smallest machine, on a
// connection that is used again, whose requests are pipelined or arrive in pieces, and against charges that remain.
func TestLegalRequests(t *testing.T) {
	a := NewAccount(Limits{MemoryMB: 184, MaxFDs: 4100}, nil)
	addr := serve(t, a, Server{Name: "callers", DecodesJSON: true}, countBody)
	var names strings.Builder // 16,384 bytes of the shortest lines with different names
	for i := 0; names.Len() < 16384-60; i++ {
		fmt.Fprintf(&names, "%c%c%c:\r\n", 'a'+i%26, 'a'+i/26%26, 'a'+i/676)
	}
	same := strings.Repeat("a:\r\n", (16384-60)/4)
	long := "X-Long: " + strings.Repeat("a", 16384-80) + "\r\n"
	bodies := []string{"", "x", strings.Repeat("\n", 5000), strings.Repeat("{}", 131072), strings.Repeat("a", 262144)}
	var all bytes.Buffer
	var want []string
	for _, head := range []string{"", names.String(), same, long} {
		for _, b := range bodies {
			fmt.Fprintf(&all, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n%s\r\n%s", len(b), head, b)
			want = append(want, fmt.Sprintf("%d headers ", len(b)))
			fmt.Fprintf(&all, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n%s\r\n%x\r\n%s\r\n0\r\nT: x\r\n\r\n", head, len(b)+1, b+"z")
			want = append(want, fmt.Sprintf("%d headers ", len(b)+1))
		}
	}
	for _, seed := range []uint64{1, 2, 3} {
		rng := rand.New(rand.NewPCG(seed, 0))
		c, r := dial(t, addr)
		go func() {
			for data := all.Bytes(); len(data) > 0; {
				n := min(len(data), 1+rng.IntN([]int{1 << 20, 5000, 60000}[seed-1]))
				if _, err := c.Write(data[:n]); err != nil {
					return
				}
				data = data[n:]
			}
		}()
		for i, w := range want {
			resp, err := http.ReadResponse(r, nil)
			if err != nil {
				t.Fatalf("seed %d, request %d: %v", seed, i, err)
			}
			b, _ := io.ReadAll(resp.Body)
			if resp.StatusCode != http.StatusOK || !strings.HasPrefix(string(b), w) {
				t.Fatalf("seed %d, request %d: status %d, %s, want %s", seed, i, resp.StatusCode, b, w)
			}
		}
		awaitUsed(t, a, connCost+headCost(maxAhead, maxAhead/minLine)) // what may be buffered ahead
		_ = c.Close()
		awaitUsed(t, a, 0)
	}
	for k, counter := range a.refusals.counters {
		if counter.Count() != 0 {
			t.Errorf("%s: %d", Kind(k), counter.Count())
		}
	}
}

// TestSlowestAndLargestGoFirst guards against an account that closes or refuses clients with whole requests while slow ones
// hold the memory, and against charges that are never returned.
func TestSlowestAndLargestGoFirst(t *testing.T) {
	reports := make(chan Refusal, 100)
	a := NewAccount(Limits{ClientMemoryMB: 8, MaxConns: 100, MaxFDs: 1000}, func(r Refusal) { reports <- r })
	addr := serve(t, a, Server{Name: "callers"}, countBody)
	var slow []net.Conn
	for i := range 60 { // each holds up to 16,000 lines of a body or a head
		c, _ := dial(t, addr)
		text := "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 262144\r\n\r\n" + strings.Repeat("x", 262000)
		if i%2 == 0 {
			text = "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", 4000)
		}
		_, _ = io.WriteString(c, text)
		slow = append(slow, c)
	}
	for i := range 50 {
		c, r := dial(t, addr)
		_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody")
		resp, err := http.ReadResponse(r, nil)
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("whole request %d: %v, %v", i, resp, err)
		}
		slow = append(slow, c)
	}
	if used := a.used.Load(); used > a.limit {
		t.Errorf("%d bytes charged, limit %d", used, a.limit)
	}
	if n := a.refusals.counters[ClosedForMemory].Count(); n == 0 {
		t.Error("no slow client was closed")
	}
	if r := <-reports; r.Kind != ClosedForMemory || r.Listener != "callers" || len(reports) > int(kinds) {
		t.Errorf("first report %+v, %d more", r, len(reports))
	}
	for _, c := range slow {
		_ = c.Close()
	}
	awaitUsed(t, a, 0)
	registry := metrics.NewRegistry()
	if err := a.RegisterMetrics(registry); err != nil || a.open() != 0 {
		t.Errorf("%v; %d connections remain", err, a.open())
	}
}

// TestRefusalIsTrue guards against a refusal of a request that ran, against one that does not say that it did not run, and
// against a complete request that is closed for another.
func TestRefusalIsTrue(t *testing.T) {
	a := NewAccount(Limits{ClientMemoryMB: 8, MaxConns: 400, MaxFDs: 1000}, nil)
	release := make(chan struct{})
	var mu sync.Mutex
	ran := make(map[string]bool)
	addr := serve(t, a, Server{Name: "callers"}, func(_ http.ResponseWriter, r *http.Request) {
		if _, err := io.ReadAll(r.Body); err != nil {
			return
		}
		mu.Lock()
		ran[r.URL.Path] = true
		mu.Unlock()
		<-release
	})
	free := sync.OnceFunc(func() { close(release) })
	t.Cleanup(free)
	type answer struct {
		path, verdict, retry string
		status               int
	}
	answers := make(chan answer, 60)
	head := strings.Repeat("a:\r\n", 900)
	for i := range cap(answers) {
		c, r := dial(t, addr)
		path := fmt.Sprintf("/%d", i)
		go func() {
			// The handlers hold about 0.2 MB each, so that not all fit into 8 MB.
			_, _ = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h\r\n%sContent-Length: 9\r\n\r\nabcdefghi", path, head)
			resp, err := http.ReadResponse(r, nil)
			if err != nil {
				answers <- answer{path: path}
				return
			}
			answers <- answer{path, resp.Header.Get("Berylwharf-Verdict"), resp.Header.Get("Retry-After"), resp.StatusCode}
		}()
	}
	refused := 0
	for range cap(answers) {
		var got answer
		select {
		case got = <-answers:
		case <-time.After(3 * maxWait):
			free()
			got = <-answers
		}
		mu.Lock()
		did := ran[got.path]
		mu.Unlock()
		switch {
		case got.status == http.StatusOK && did:
		case got.status == http.StatusServiceUnavailable && got.verdict == "not-run" && got.retry == "1" && !did:
			refused++
		default:
			t.Errorf("%+v, ran: %t", got, did)
		}
	}
	if refused == 0 || refused == cap(answers) {
		t.Errorf("%d of %d requests refused", refused, cap(answers))
	}
}

// TestStalledBody guards against a body that stalls and keeps its connection, whether the handler reads it or the server does
// after the handler, and against a deadline that ends a body which arrives slowly but fast enough.
func TestStalledBody(t *testing.T) {
	a := NewAccount(Limits{}, nil)
	reads := serve(t, a, Server{Name: "callers"}, countBody)
	var wg sync.WaitGroup
	for _, addr := range []string{reads, serve(t, a, Server{Name: "admin"}, http.NotFound)} {
		c, r := dial(t, addr)
		_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9000\r\n\r\n"+strings.Repeat("x", 8000))
		wg.Go(func() {
			if _, err := io.Copy(io.Discard, r); errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("%s: the connection is still open", addr)
			}
		})
	}
	c, r := dial(t, reads)
	_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 160000\r\n\r\n")
	for range 16 {
		time.Sleep(bodyGrace / 14)
		_, _ = io.WriteString(c, strings.Repeat("x", 10000))
	}
	if resp, err := http.ReadResponse(r, nil); err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("slow body: %v, %v", resp, err)
	}
	wg.Wait()
	if n := a.refusals.counters[BodyStalled].Count(); n != 2 {
		t.Errorf("%d stalled bodies counted, want 2", n)
	}
}

// awaitServing waits until the handlers of n connections run.
func awaitServing(t *testing.T, a *Account, n int) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		a.mu.Lock()
		serving := 0
		for c := range a.conns {
			if c.phase.Load() == phaseServing && c.answering.Load() {
				serving++
			}
		}
		a.mu.Unlock()
		if serving == n {
			return
		}
	}
	t.Fatalf("no %d connections are served", n)
}

// TestUnreadResponses guards against clients that do not read their responses and keep all others out while they stay.
func TestUnreadResponses(t *testing.T) {
	a := NewAccount(Limits{MaxConns: 16}, nil)
	addr := serve(t, a, Server{Name: "callers"}, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/large" {
			_, _ = w.Write(make([]byte, 16<<20))
		}
	})
	var left atomic.Int32
	for range 16 {
		c, _ := dial(t, addr)
		_ = c.SetDeadline(time.Time{})
		_, _ = io.WriteString(c, "GET /large HTTP/1.1\r\nHost: h\r\n\r\n")
		left.Add(1)
		go func() {
			// Reads nothing until the server has closed the connection.
			for _, err := c.Write([]byte("x")); err == nil; _, err = c.Write([]byte("x")) {
				time.Sleep(20 * time.Millisecond)
			}
			left.Add(-1)
		}()
	}
	awaitServing(t, a, 16)
	served := func() bool {
		c, r := dial(t, addr)
		_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		_, err := http.ReadResponse(r, nil)
		return err == nil
	}
	for end := time.Now().Add(2 * writeStall); !served(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no request was served")
		}
	}
	if n := left.Load(); n < 8 {
		t.Errorf("served only when all but %d of the others were closed", n)
	}
}

// TestHTTP2 guards against streams that are not charged and against a multiplexed connection that is taken for a body.
func TestHTTP2(t *testing.T) {
	a := NewAccount(Limits{}, nil)
	url := "http://" + serve(t, a, Server{Name: "callers"}, countBody)
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{Protocols: &protocols}
	client := http.Client{Transport: transport, Timeout: 20 * time.Second}
	var wg sync.WaitGroup
	for range 50 {
		wg.Go(func() {
			for range 5 {
				resp, err := client.Post(url, "", strings.NewReader(strings.Repeat("x", 100_000)))
				if err != nil {
					t.Error(err)
					return
				}
				b, _ := io.ReadAll(resp.Body)
				_ = resp.Body.Close()
				if resp.ProtoMajor != 2 || !strings.HasPrefix(string(b), "100000 ") {
					t.Errorf("%s %s", resp.Proto, b)
				}
			}
		})
	}
	wg.Wait()
	awaitUsed(t, a, 50*(connCost+streamsCost+headCost(200, 10)))
	transport.CloseIdleConnections()
	awaitUsed(t, a, 0)
}

// FuzzHead guards against a reader of heads that sees the end of a head elsewhere than net/http, or that counts fewer lines
// than the head has, whatever the pieces in which it arrives.
func FuzzHead(f *testing.F) {
	for _, s := range []string{
		"GET / HTTP/1.1\r\nHost: h\r\n\r\nGET", "POST /a HTTP/1.1\nHost: h\nA: b\n\n\nx", "GET / HTTP/1.0\r\nA: b\r\n  c\r\n \r\n\r\n",
		"\r\n\r\nGET / HTTP/1.1\r\n\r\n", "GET / HTTP/1.1\r\nA:\r\r\n\r\n", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", "GET / HTTP/1.0\r\n\t\r\n\r\n\r\n",
	} {
		f.Add([]byte(s), uint8(3))
	}
	f.Fuzz(func(t *testing.T, data []byte, piece uint8) {
		var whole, pieces headReader
		n, lines, end := whole.read(data)
		total, totalLines, ended := 0, 0, false
		for rest := data; len(rest) > 0 && !ended; rest = data[total:] {
			m, k, e := pieces.read(rest[:min(len(rest), 1+int(piece))])
			total, totalLines, ended = total+m, totalLines+k, e
		}
		if total != n || totalLines != lines || ended != end || pieces.http2() != whole.http2() {
			t.Fatalf("in pieces %d bytes, %d lines, end %t; whole %d, %d, %t", total, totalLines, ended, n, lines, end)
		}
		if pos := bytes.Count(data[:n], []byte("\n")); pos != lines {
			t.Fatalf("%d lines counted, %d sent", lines, pos)
		}
		source := bytes.NewReader(data)
		r := bufio.NewReader(source)
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		used := len(data) - source.Len() - r.Buffered()
		if !end || n != used {
			t.Fatalf("the head ends after %d bytes, read %d, end %t: %q", used, n, end, data)
		}
		fields := 0
		for _, v := range req.Header {
			fields += len(v)
		}
		if fields > lines {
			t.Fatalf("%d header values in %d lines", fields, lines)
		}
	})
}

// TestLimits guards against a budget that leaves no room for the process itself or exceeds its limits.
func TestLimits(t *testing.T) {
	for _, c := range []struct {
		l         Limits
		open      int64 // descriptors that the process may open
		memory    int64
		conns     int
		softBelow int64
	}{
		{Limits{MemoryMB: 184, MaxFDs: 4100}, 20000, 64, 1268, 184 << 20},
		{Limits{MemoryMB: 536, MaxFDs: 8192}, 20000, 187, 3694, 536 << 20},
		{Limits{MemoryMB: 536, MaxFDs: 300}, 20000, 187, 50, 536 << 20},
		{Limits{MaxFDs: 4100}, 20000, 64, 1268, 1},
		{Limits{MemoryMB: 184, MaxFDs: 4100, ClientMemoryMB: 20, MaxConns: 30}, 20000, 20, 30, 184 << 20},
		// The process may open fewer descriptors than the settings say.
		{Limits{MemoryMB: 184, MaxFDs: 4100}, 1024, 64, 412, 184 << 20},
		{Limits{MemoryMB: 184, MaxFDs: 4100, MaxConns: 2000}, 256, 64, 28, 184 << 20},
		{Limits{}, 1024, 64, 412, 1},
	} {
		memory, conns, soft := c.l.budget(c.open)
		if memory>>20 != c.memory || conns != c.conns || soft >= c.softBelow {
			t.Errorf("%+v: %d MB, %d connections, soft limit %d MB", c.l, memory>>20, conns, soft>>20)
		}
	}
	a := NewAccount(Limits{}, nil)
	if err := a.charge(&Conn{a: a}, a.limit+1); !errors.Is(err, ErrRefused) || a.used.Load() != 0 {
		t.Errorf("a charge beyond the budget: %v, %d bytes charged", err, a.used.Load())
	}
}
