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
	// repeatableCaller is the name of the caller that sends repeatable requests.
	repeatableCaller = "get"
	// refusingAddr is an address that refuses connections. A free port in the ephemeral range is unsuitable, because a
	// connection to it can be assigned the same source port and connect to itself.
	refusingAddr = "127.0.0.1:1"
)

// fault is the behaviour of a backend server for one request.
type fault int

const (
	respondFully fault = iota
	closeAtAccept
	closeWhileReading
	closeWithoutRun
	runAndClose
	runAndTruncate
	runAndRespondTwice
	runAndRespondWrongID
	runRespondAndClose
	runAndRespondLate
	runWithoutResponse
	runWithoutLength
	runAndFail
	faultCount
)

// faultEnv is the environment of one fault schedule. It simulates backend servers, slots and claims, and injects faults
// into all of them.
type faultEnv struct {
	mu               sync.Mutex
	rnd              *rand.Rand
	faultProbability float64
	runs             map[string]int
	openConns        int // open connections to backend servers
	slotsHeld        int // acquired and not returned
	claims           map[claims.Key]*fakeClaim
	claimsHeld       int
	violations       []string
}

type fakeClaim struct {
	phase  claims.Phase
	fp     claims.Fingerprint
	answer *claims.StoredResponse
}

func (env *faultEnv) violation(format string, args ...any) {
	env.violations = append(env.violations, fmt.Sprintf(format, args...))
}

func (env *faultEnv) pickFault() fault {
	env.mu.Lock()
	defer env.mu.Unlock()
	if env.rnd.Float64() >= env.faultProbability {
		return respondFully
	}
	return fault(env.rnd.IntN(int(faultCount)))
}

func (env *faultEnv) intN(n int) int {
	env.mu.Lock()
	defer env.mu.Unlock()
	return env.rnd.IntN(n)
}

func (env *faultEnv) runCount(key string) int {
	env.mu.Lock()
	defer env.mu.Unlock()
	return env.runs[key]
}

// Acquire implements Slots. The number of slots is unlimited; those in use are counted.
func (env *faultEnv) Acquire(_ context.Context, candidates []string) (string, error) {
	env.mu.Lock()
	defer env.mu.Unlock()
	if env.rnd.IntN(20) == 0 {
		return "", errors.New("home node unreachable")
	}
	env.slotsHeld++
	return candidates[0], nil
}

// Return implements Slots.
func (env *faultEnv) Return(string, time.Duration) {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.slotsHeld--
}

// Begin implements Claims.
func (env *faultEnv) Begin(_ context.Context, k claims.Key, fp claims.Fingerprint, first bool) claims.Decision {
	env.mu.Lock()
	defer env.mu.Unlock()
	c := env.claims[k]
	switch {
	case env.rnd.IntN(20) == 0:
		return claims.Decision{Result: claims.ResultUndecided}
	case c == nil && !first && env.rnd.IntN(5) == 0:
		return claims.Decision{Result: claims.ResultUncovered}
	case c != nil && c.fp != fp:
		return claims.Decision{Result: claims.ResultMismatch}
	case c != nil && c.phase == claims.PhaseDone:
		return claims.Decision{Result: claims.ResultReplay, Response: c.answer}
	case c != nil && c.phase != claims.PhaseNotRun:
		return claims.Decision{Result: claims.ResultInProgress}
	}
	env.claimsHeld++
	env.claims[k] = &fakeClaim{phase: claims.PhaseClaimed, fp: fp}
	return claims.Decision{Result: claims.ResultGranted}
}

// Finish implements Claims.
func (env *faultEnv) Finish(k claims.Key, p claims.Phase, a *claims.StoredResponse) {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.claimsHeld--
	c := env.claims[k]
	if c.phase != claims.PhaseClaimed {
		env.violation("%s finished twice", k.ID)
	}
	c.phase, c.answer = p, a
}

// serve handles one connection to a backend server. A run is counted when the request has been read completely.
func (env *faultEnv) serve(c net.Conn) {
	defer func() {
		c.Close()
		env.mu.Lock()
		env.openConns--
		env.mu.Unlock()
	}()
	br := bufio.NewReader(c)
	for {
		f := env.pickFault()
		switch f {
		case closeAtAccept:
			return
		case closeWhileReading:
			io.CopyN(io.Discard, br, int64(1+env.intN(60)))
			return
		}
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil || f == closeWithoutRun {
			return
		}
		key := string(body)
		if key == "" {
			key = r.Header.Get(HeaderKey)
		}
		env.mu.Lock()
		env.runs[key]++
		env.mu.Unlock()
		if !env.respond(c, f, r, key) {
			return
		}
	}
}

// respond sends the response, altered according to f, and reports whether the connection stays open.
func (env *faultEnv) respond(c net.Conn, f fault, r *http.Request, key string) bool {
	id := r.Header.Get(HeaderRequestID)
	status, length := 200, fmt.Sprintf("Content-Length: %d\r\n", len(key))
	switch f {
	case runAndClose:
		return false
	case runAndRespondWrongID:
		id, key = "another", strings.Repeat("x", len(key))
	case runAndRespondLate:
		time.Sleep(faultDeadline * 3 / 2)
	case runWithoutResponse:
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
		text = text[:env.intN(len(text))]
	case runAndRespondTwice:
		text += text
	}
	io.WriteString(c, text)
	return f != runAndTruncate && f != runWithoutLength && f != runRespondAndClose
}

// runCaller sends a request with up to three attempts and checks each response.
func (env *faultEnv) runCaller(h http.Handler, name string, keyed bool, method string) {
	notRunOnly := true
	for n := 1; n <= 3; n++ {
		body := name
		if !keyed {
			body = fmt.Sprint(name, "/", n)
		}
		sent := body
		if method == "DELETE" {
			// http.Transport replays requests without a body in more cases.
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
		env.mu.Lock()
		switch {
		case v == verdict.NotRun && env.runs[body] > 0:
			env.violation("%s attempt %d: not-run after a run: %s", name, n, rec.Body)
		case v == "" && rec.Body.String() != body:
			env.violation("%s attempt %d: got the response %q", name, n, rec.Body)
		}
		env.mu.Unlock()
		notRunOnly = notRunOnly && v == verdict.NotRun
		if !keyed && v == verdict.NotRun {
			// Check again after the last attempt, because the request must not reach a server later either.
			defer func() {
				if env.runCount(body) > 0 {
					env.violation("%s: ran after not-run", body)
				}
			}()
		}
		if v == "" {
			return
		}
	}
	if keyed && notRunOnly {
		env.mu.Lock()
		env.runs["never:"+name] = 0
		env.mu.Unlock()
	}
}

// startBackends starts three servers that pass connections to the environment returned by current. It returns their
// addresses and a fourth one that refuses connections.
func startBackends(t *testing.T, current func() *faultEnv) []string {
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
				env := current()
				env.mu.Lock()
				env.openConns++
				env.mu.Unlock()
				go env.serve(c)
			}
		}()
	}
	return append(addrs, refusingAddr)
}

// runSchedule runs the fault schedule with the given seed. It returns the violations found and the number of runs.
func runSchedule(seed uint64, addrs []string, install func(*faultEnv)) ([]string, int) {
	rnd := rand.New(rand.NewPCG(seed, 7))
	env := &faultEnv{rnd: rnd, faultProbability: rnd.Float64(), runs: map[string]int{}, claims: map[claims.Key]*fakeClaim{}}
	check := resource.AnswerCheckEcho
	if rnd.IntN(3) == 0 {
		check = resource.AnswerCheckFresh
	}
	addrs = addrs[:1+rnd.IntN(len(addrs))]
	install(env)
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	h, err := New(Config{Slots: env, Claims: env, Logger: quiet, Seed: seed})
	if err != nil {
		return []string{err.Error()}, 0
	}
	spec := &resource.Service{Pool: "pool", AnswerCheck: check, MaxRunMs: 1}
	spec.SetDefaults()
	h.SetTable(newTable(spec, addrs...))
	var callers sync.WaitGroup
	for i := range 7 {
		name, keyed, method := fmt.Sprint("b", i), i < 4, "POST"
		if i < 2 {
			method = "DELETE"
		}
		if i == 6 {
			name, method = repeatableCaller, "GET"
		}
		callers.Go(func() { env.runCaller(h, name, keyed, method) })
	}
	callers.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	if err := h.Drain(ctx); err != nil {
		env.violation("%v", err)
	}
	h.Close()
	env.awaitConnsClosed(addrs)
	total := 0
	for name, n := range env.runs {
		total += n
		if n > 1 && !strings.HasPrefix(name, repeatableCaller) {
			env.violation("%s ran %d times", name, n)
		}
		if env.runs[strings.TrimPrefix(name, "never:")] > 0 && strings.HasPrefix(name, "never:") {
			env.violation("%s ran although each attempt was refused as not-run", name)
		}
	}
	if env.slotsHeld != 0 || env.claimsHeld != 0 {
		env.violation("%d slots and %d claims were not released", env.slotsHeld, env.claimsHeld)
	}
	return env.violations, total
}

// awaitConnsClosed waits until the servers have accepted and closed all connections, so that late runs are counted in
// their own schedule. Counting accepted connections would not do: a dial that ends with the deadline can leave a
// connection that the server accepts although the handler has not counted it. A server accepts connections in their
// order, so once it has closed a connection made now, it has accepted all earlier ones.
func (env *faultEnv) awaitConnsClosed(addrs []string) {
	for _, addr := range addrs {
		if addr == refusingAddr {
			continue
		}
		if err := awaitAccepted(addr); err != nil {
			env.violation("connection after the schedule: %v", err)
		}
	}
	for start := time.Now(); time.Since(start) < testTimeout; time.Sleep(time.Millisecond) {
		env.mu.Lock()
		done := env.openConns == 0
		env.mu.Unlock()
		if done {
			return
		}
	}
	env.violation("connections stay open")
}

// awaitAccepted opens a connection, sends nothing on it and waits until the server has closed it.
func awaitAccepted(addr string) error {
	c, err := net.DialTimeout("tcp", addr, testTimeout)
	if err != nil {
		return err
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		return err
	}
	if err := c.(*net.TCPConn).CloseWrite(); err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, c)
	return err
}

// TestFaultSchedules guards against non-repeatable requests that run twice, not-run verdicts for requests that ran,
// responses that reach another request, and slots or claims that are never released.
func TestFaultSchedules(t *testing.T) {
	// http.Transport logs unsolicited responses, which the schedules include, through the standard logger.
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
		var env *faultEnv
		var envMu sync.Mutex
		addrs := startBackends(t, func() *faultEnv {
			envMu.Lock()
			defer envMu.Unlock()
			return env
		})
		workers.Go(func() {
			for seed := range seeds {
				violations, total := runSchedule(seed, addrs, func(w *faultEnv) {
					envMu.Lock()
					defer envMu.Unlock()
					env = w
				})
				mu.Lock()
				runs += total
				if len(violations) > 0 {
					broken++
					t.Errorf("seed %d: %s\nreplay: go test ./entry -run TestFaultSchedules -entry.seed %d -entry.schedules 1",
						seed, strings.Join(violations, "; "), seed)
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
