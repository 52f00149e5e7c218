package entry

import (
	"bufio"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/berylwharf/berylwharf/claims"
	"github.com/berylwharf/berylwharf/resource"
	"github.com/berylwharf/berylwharf/verdict"
)

var (
	firstSeed = flag.Uint64("entry.seed", 1, "seed of the first fault schedule")
	schedules = flag.Int("entry.schedules", 10_000, "number of fault schedules")
)

const (
	faultDeadline = 25 * time.Millisecond
	faultWorkers  = 24
	// repeatable names the caller whose requests may run more than once.
	repeatable = "get"
	// refusing is an address that refuses connections. A free port of the ephemeral range would not do: a dial to it can
	// be given the same source port and connect to itself.
	refusing = "127.0.0.1:1"
)

// fault is what a backend server does with one request.
type fault int

const (
	answerFully fault = iota
	closeAtAccept
	closeWhileReading
	closeUnrun
	runAndClose
	runAndTruncate
	runAndAnswerTwice
	runAndAnswerAnother
	runAnswerAndClose
	runAndAnswerLate
	runSilently
	runWithoutLength
	runAndFail
	faults
)

// world is the environment of one schedule: backend servers, slots and claims, all faulty.
type world struct {
	mu       sync.Mutex
	rnd      *rand.Rand
	faulty   float64
	runs     map[string]int
	accepted uint64
	open     int // connections
	held     int // slots
	claims   map[claims.Key]*fakeClaim
	granted  int
	bad      []string
}

type fakeClaim struct {
	phase  claims.Phase
	fp     claims.Fingerprint
	answer *claims.Answer
}

func (w *world) fail(format string, args ...any) { w.bad = append(w.bad, fmt.Sprintf(format, args...)) }

func (w *world) pick() fault {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.rnd.Float64() >= w.faulty {
		return answerFully
	}
	return fault(w.rnd.IntN(int(faults)))
}

func (w *world) intN(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rnd.IntN(n)
}

func (w *world) ran(key string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[key]
}

// Acquire implements Slots without a bound; it counts.
func (w *world) Acquire(_ context.Context, candidates []string) (string, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.rnd.IntN(20) == 0 {
		return "", errors.New("home node unreachable")
	}
	w.held++
	return candidates[0], nil
}

// Return implements Slots.
func (w *world) Return(string, time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.held--
}

// Begin implements Claims.
func (w *world) Begin(_ context.Context, k claims.Key, fp claims.Fingerprint, first bool) claims.Decision {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.claims[k]
	switch {
	case w.rnd.IntN(20) == 0:
		return claims.Decision{Result: claims.ResultUnreachable}
	case c == nil && !first && w.rnd.IntN(5) == 0:
		return claims.Decision{Result: claims.ResultUncovered}
	case c != nil && c.fp != fp:
		return claims.Decision{Result: claims.ResultMismatch}
	case c != nil && c.phase == claims.PhaseDone:
		return claims.Decision{Result: claims.ResultReplay, Answer: c.answer}
	case c != nil && c.phase != claims.PhaseNotRun:
		return claims.Decision{Result: claims.ResultInProgress}
	}
	w.granted++
	w.claims[k] = &fakeClaim{phase: claims.PhaseClaimed, fp: fp}
	return claims.Decision{Result: claims.ResultGranted}
}

// Finish implements Claims.
func (w *world) Finish(k claims.Key, p claims.Phase, a *claims.Answer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.granted--
	c := w.claims[k]
	if c.phase != claims.PhaseClaimed {
		w.fail("%s finished twice", k.ID)
	}
	c.phase, c.answer = p, a
}

// serve handles one connection to a backend server. A run is counted once the whole request was read.
func (w *world) serve(c net.Conn) {
	defer func() {
		c.Close()
		w.mu.Lock()
		w.open--
		w.mu.Unlock()
	}()
	br := bufio.NewReader(c)
	for {
		f := w.pick()
		switch f {
		case closeAtAccept:
			return
		case closeWhileReading:
			io.CopyN(io.Discard, br, int64(1+w.intN(60)))
			return
		}
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil || f == closeUnrun {
			return
		}
		key := string(body)
		if key == "" {
			key = r.Header.Get(HeaderKey)
		}
		w.mu.Lock()
		w.runs[key]++
		w.mu.Unlock()
		if !w.answer(c, f, r, key) {
			return
		}
	}
}

// answer sends the answer and reports whether the connection stays open.
func (w *world) answer(c net.Conn, f fault, r *http.Request, key string) bool {
	id := r.Header.Get(HeaderRequestID)
	status, length := 200, fmt.Sprintf("Content-Length: %d\r\n", len(key))
	switch f {
	case runAndClose:
		return false
	case runAndAnswerAnother:
		id, key = "another", strings.Repeat("x", len(key))
	case runAndAnswerLate:
		time.Sleep(faultDeadline * 3 / 2)
	case runSilently:
		io.Copy(io.Discard, c)
		return false
	case runWithoutLength:
		length = ""
	case runAndFail:
		status = 503
	}
	text := fmt.Sprintf("HTTP/1.1 %d X\r\n%s%s: %s\r\n\r\n%s", status, length, HeaderRequestID, id, key)
	switch f {
	case runAndTruncate:
		text = text[:w.intN(len(text))]
	case runAndAnswerTwice:
		text += text
	}
	io.WriteString(c, text)
	return f != runAndTruncate && f != runWithoutLength && f != runAnswerAndClose
}

// caller sends one booking with up to three attempts and checks each reply.
func (w *world) caller(h http.Handler, name string, keyed bool, method string) {
	notRunOnly := true
	for n := 1; n <= 3; n++ {
		body := name
		if !keyed {
			body = fmt.Sprint(name, "/", n)
		}
		sent := body
		if method == "DELETE" {
			// The transport replays requests without a body more readily.
			sent = ""
		}
		r := httptest.NewRequest(method, "/svc/booking/x", strings.NewReader(sent))
		r.Header.Set(HeaderCustomer, "tanglaw")
		r.Header.Set(HeaderDeadline, fmt.Sprint(faultDeadline.Milliseconds()))
		if keyed {
			r.Header.Set(HeaderKey, name)
			r.Header.Set(HeaderAttempt, fmt.Sprint(n))
		}
		rec := httptest.NewRecorder()
		h.ServeHTTP(rec, r)
		v := verdict.Verdict(rec.Header().Get(verdict.Header))
		w.mu.Lock()
		switch {
		case v == verdict.NotRun && w.runs[body] > 0:
			w.fail("%s attempt %d: not-run after a run: %s", name, n, rec.Body)
		case v == "" && rec.Body.String() != body:
			w.fail("%s attempt %d: got the answer %q", name, n, rec.Body)
		}
		w.mu.Unlock()
		notRunOnly = notRunOnly && v == verdict.NotRun
		if !keyed && v == verdict.NotRun {
			// Checked again when all is over: no byte may arrive later.
			defer func() {
				if w.ran(body) > 0 {
					w.fail("%s: ran after not-run", body)
				}
			}()
		}
		if v == "" {
			return
		}
	}
	if keyed && notRunOnly {
		w.mu.Lock()
		w.runs["never:"+name] = 0
		w.mu.Unlock()
	}
}

// backends starts three servers that pass connections to the current world. A fourth address refuses connections.
func backends(t *testing.T, current func() *world) []string {
	var addrs []string
	for range 3 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { l.Close() })
		addrs = append(addrs, l.Addr().String())
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				w := current()
				w.mu.Lock()
				w.accepted++
				w.open++
				w.mu.Unlock()
				go w.serve(c)
			}
		}()
	}
	return append(addrs, refusing)
}

// runSchedule plays one schedule and returns what went wrong and the number of runs.
func runSchedule(seed uint64, addrs []string, install func(*world)) ([]string, int) {
	rnd := rand.New(rand.NewPCG(seed, 7))
	w := &world{rnd: rnd, faulty: rnd.Float64(), runs: map[string]int{}, claims: map[claims.Key]*fakeClaim{}}
	check := resource.AnswerCheckEcho
	if rnd.IntN(3) == 0 {
		check = resource.AnswerCheckFresh
	}
	addrs = addrs[:1+rnd.IntN(len(addrs))]
	install(w)
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	h, err := New(Config{Slots: w, Claims: w, Logger: quiet, Seed: seed})
	if err != nil {
		return []string{err.Error()}, 0
	}
	spec := &resource.Service{Pool: "pool", AnswerCheck: check, MaxRunMs: 1}
	spec.SetDefaults()
	h.SetTable(tableOf(spec, addrs...))
	var callers sync.WaitGroup
	for i := range 7 {
		name, keyed, method := fmt.Sprint("b", i), i < 4, "POST"
		if i < 2 {
			method = "DELETE"
		}
		if i == 6 {
			name, method = repeatable, "GET"
		}
		callers.Go(func() { w.caller(h, name, keyed, method) })
	}
	callers.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	if err := h.Drain(ctx); err != nil {
		w.fail("%v", err)
	}
	h.Close()
	w.settle(h)
	total := 0
	for name, n := range w.runs {
		total += n
		if n > 1 && !strings.HasPrefix(name, repeatable) {
			w.fail("%s ran %d times", name, n)
		}
		if w.runs[strings.TrimPrefix(name, "never:")] > 0 && strings.HasPrefix(name, "never:") {
			w.fail("%s ran although each attempt was refused as not-run", name)
		}
	}
	if w.held != 0 || w.granted != 0 {
		w.fail("%d slots and %d claims were not given back", w.held, w.granted)
	}
	return w.bad, total
}

// settle waits until the servers have accepted and closed every connection, so that a late run is counted.
func (w *world) settle(h *Handler) {
	h.conns.mu.Lock()
	dialled := h.conns.seq
	h.conns.mu.Unlock()
	for start := time.Now(); time.Since(start) < testTimeout; time.Sleep(time.Millisecond) {
		w.mu.Lock()
		done := w.accepted >= dialled && w.open == 0
		w.mu.Unlock()
		if done {
			return
		}
	}
	w.fail("connections stay open")
}

// TestFaultSchedules guards against a booking that runs twice, a not-run refusal of a booking that ran, an answer that
// reaches another request, and slots or claims that are lost.
func TestFaultSchedules(t *testing.T) {
	// The transport reports unsolicited answers, which are part of the schedules, through the standard logger.
	log.SetOutput(io.Discard)
	defer log.SetOutput(os.Stderr)
	n := *schedules
	if testing.Short() {
		n /= 20
	}
	seeds := make(chan uint64)
	var workers sync.WaitGroup
	var mu sync.Mutex
	runs, broken := 0, 0
	for range faultWorkers {
		var now *world
		var nowMu sync.Mutex
		addrs := backends(t, func() *world {
			nowMu.Lock()
			defer nowMu.Unlock()
			return now
		})
		workers.Go(func() {
			for seed := range seeds {
				bad, total := runSchedule(seed, addrs, func(w *world) {
					nowMu.Lock()
					defer nowMu.Unlock()
					now = w
				})
				mu.Lock()
				runs += total
				if len(bad) > 0 {
					broken++
					t.Errorf("seed %d: %s\nreplay: go test ./entry -run TestFaultSchedules -entry.seed %d -entry.schedules 1",
						seed, strings.Join(bad, "; "), seed)
				}
				mu.Unlock()
			}
		})
	}
	for i := range n {
		seeds <- *firstSeed + uint64(i)
	}
	close(seeds)
	workers.Wait()
	t.Logf("%d schedules, %d runs, %d schedules with a wrong outcome", n, runs, broken)
}
