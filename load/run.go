package load

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// DefaultMaxInFlight limits the number of requests that wait for a response.
	DefaultMaxInFlight = 2000
	// DefaultGrace is how long the response is still awaited after the deadline of a request.
	DefaultGrace = time.Second
	// DefaultRetryDelay is the delay before a retry, unless the refusal names a longer one in Retry-After.
	DefaultRetryDelay = 100 * time.Millisecond

	dialTimeout = time.Second
)

// Config configures Run.
type Config struct {
	Entries     []string // addresses of entry nodes, ip:port
	Retries     int      // maximum number of further attempts, at other addresses and with the same key
	RetryDelay  time.Duration
	Grace       time.Duration
	MaxInFlight int
}

// Outcome is the result of one request.
type Outcome struct {
	Event    Event
	Key      string // Idempotency-Key of a booking
	Kind     Kind
	Reason   string
	Attempts int
	// Answers counts complete responses from a run of one of the attempts; Replays counts those that the entry node
	// marked as replayed from an earlier run.
	Answers int
	Replays int
	// Wrong counts responses that belong to another request or are corrupt.
	Wrong int
	// NotRunIDs are the request IDs, assigned by entry nodes, of attempts that were refused as not run.
	NotRunIDs []string
	Latency   time.Duration // from the scheduled time to the end of the last attempt
	Late      bool          // answered after the deadline
}

// Result holds the outcomes in the order of the schedule.
type Result struct {
	Outcomes []Outcome
	Elapsed  time.Duration
	// Delayed counts requests that were sent late because MaxInFlight requests were in flight.
	Delayed int
}

// Run sends the events to the entry nodes at their scheduled times and returns when all requests have ended. It sends
// no further requests once ctx is done.
func Run(ctx context.Context, cfg Config, events []Event) (*Result, error) {
	if len(cfg.Entries) == 0 {
		return nil, errors.New("no entry address")
	}
	if cfg.MaxInFlight <= 0 {
		cfg.MaxInFlight = DefaultMaxInFlight
	}
	if cfg.Grace <= 0 {
		cfg.Grace = DefaultGrace
	}
	if cfg.RetryDelay <= 0 {
		cfg.RetryDelay = DefaultRetryDelay
	}
	s := newSender(cfg)
	defer s.client.CloseIdleConnections()
	return s.sendAll(ctx, events), nil
}

type sender struct {
	cfg     Config
	client  *http.Client
	entries *entryPool
}

func newSender(cfg Config) *sender {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: 256,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,
	}
	client := &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return &sender{cfg: cfg, client: client, entries: newEntryPool(cfg.Entries)}
}

func (s *sender) sendAll(ctx context.Context, events []Event) *Result {
	res := &Result{Outcomes: make([]Outcome, len(events))}
	inFlight := make(chan struct{}, s.cfg.MaxInFlight)
	start := time.Now()
	sent := 0
	var wg sync.WaitGroup
	for i, e := range events {
		at := start.Add(time.Duration(e.AtMs) * time.Millisecond)
		if !sleepUntil(ctx, at) {
			break
		}
		select {
		case inFlight <- struct{}{}:
		default:
			res.Delayed++
			inFlight <- struct{}{}
		}
		sent++
		wg.Go(func() {
			defer func() { <-inFlight }()
			res.Outcomes[i] = s.sendWithRetries(newRequest(e), at)
		})
	}
	wg.Wait()
	res.Outcomes = res.Outcomes[:sent]
	res.Elapsed = time.Since(start)
	return res
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	d := time.Until(at)
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// sendWithRetries sends one request and its retries. It does not use the context of Run, so that requests in flight end
// with a known outcome when Run is cancelled.
func (s *sender) sendWithRetries(r *request, at time.Time) Outcome {
	start := time.Now()
	deadline := start.Add(time.Duration(r.event.DeadlineMs) * time.Millisecond)
	ctx, cancel := context.WithDeadline(context.Background(), deadline.Add(s.cfg.Grace))
	defer cancel()
	out := Outcome{Event: r.event, Key: r.key}
	lastAddr := ""
	for {
		a, addr := s.sendOnce(ctx, r, out.Attempts+1, lastAddr, time.Until(deadline))
		lastAddr = addr
		out.add(a)
		if !a.retryable() || out.Attempts > s.cfg.Retries || !s.waitForRetry(ctx, a, deadline) {
			break
		}
	}
	end := time.Now()
	out.Latency = end.Sub(at)
	out.Late = out.Kind == KindAnswered && end.After(deadline)
	return out
}

// sendOnce makes one attempt. It skips addresses that refuse the connection, since nothing was sent to them. A retry
// does not use the address of the previous attempt unless it is the only one.
func (s *sender) sendOnce(ctx context.Context, r *request, number int, lastAddr string, remaining time.Duration) (attemptResult, string) {
	excluded := map[string]bool{}
	if lastAddr != "" && len(s.cfg.Entries) > 1 {
		excluded[lastAddr] = true
	}
	for {
		addr, ok := s.entries.pick(excluded, time.Now())
		if !ok {
			return attemptResult{kind: KindUnreachable, reason: "no entry address accepted a connection"}, lastAddr
		}
		a := r.attempt(ctx, s.client, addr, number, remaining)
		if a.kind != KindUnreachable {
			return a, addr
		}
		s.entries.markDown(addr, time.Now())
		excluded[addr] = true
	}
}

// waitForRetry waits for the retry delay and reports whether it passed before the deadline. It returns at once if it
// cannot.
func (s *sender) waitForRetry(ctx context.Context, a attemptResult, deadline time.Time) bool {
	at := time.Now().Add(max(s.cfg.RetryDelay, a.retryAfter))
	return at.Before(deadline) && sleepUntil(ctx, at)
}

// retryable reports whether another attempt may change the outcome. A refusal with a 4xx status other than 409 and 429
// means that the request itself is invalid.
func (a *attemptResult) retryable() bool {
	switch a.kind {
	case KindBroken, KindUnreachable, KindMayHaveRun:
		return true
	case KindNotRun:
		return a.status/100 != 4 || a.status == http.StatusConflict || a.status == http.StatusTooManyRequests
	}
	return false
}

// add records the result of an attempt. The last attempt determines Kind and Reason, except that an attempt that
// reached no entry node does not replace the result of an earlier one that may have run.
func (o *Outcome) add(a attemptResult) {
	o.Attempts++
	switch a.kind {
	case KindAnswered:
		if a.replayed {
			o.Replays++
		} else {
			o.Answers++
		}
	case KindWrong:
		o.Wrong++
	case KindNotRun:
		if a.requestID != "" {
			o.NotRunIDs = append(o.NotRunIDs, a.requestID)
		}
	case KindUnreachable:
		if o.Kind == KindBroken || o.Kind == KindMayHaveRun {
			return
		}
	}
	o.Kind = a.kind
	o.Reason = a.reason
}
