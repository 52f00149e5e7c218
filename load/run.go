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
	// DefaultMaxInFlight bounds requests that wait for their answer.
	DefaultMaxInFlight = 2000
	// DefaultGrace is how long after its deadline an answer is still waited for.
	DefaultGrace = time.Second
	// DefaultRetryDelay is the pause before a retry when the refusal names none.
	DefaultRetryDelay = 100 * time.Millisecond

	dialTimeout = time.Second
)

// Config configures Run.
type Config struct {
	Entries     []string // addresses of entry nodes, ip:port
	Retries     int      // further attempts of a request, at other addresses and with the same key
	RetryDelay  time.Duration
	Grace       time.Duration
	MaxInFlight int
}

// Outcome is the end of one request.
type Outcome struct {
	Event    Event
	Key      string // Idempotency-Key of a booking
	Kind     Kind
	Reason   string
	Attempts int
	// Answers counts complete answers by a run of an attempt; Replays counts complete answers from an earlier run.
	Answers int
	Replays int
	// Wrong counts answers that belong to another request or are damaged.
	Wrong int
	// NotRunIDs are the entry nodes' request ids of attempts that were refused as not run.
	NotRunIDs []string
	Latency   time.Duration // from the scheduled time to the end
	Late      bool          // answered after the deadline
}

// Result holds the outcomes in the order of the schedule.
type Result struct {
	Outcomes []Outcome
	Elapsed  time.Duration
	// Delayed counts requests that were sent late because MaxInFlight requests were waiting.
	Delayed int
}

// Run plays the events against the entry nodes and returns when all requests have ended. When ctx ends, no further
// request is sent.
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
	p := newPlayer(cfg)
	defer p.client.CloseIdleConnections()
	return p.play(ctx, events), nil
}

type player struct {
	cfg     Config
	client  *http.Client
	entries *entries
}

func newPlayer(cfg Config) *player {
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
	return &player{cfg: cfg, client: client, entries: newEntries(cfg.Entries)}
}

func (p *player) play(ctx context.Context, events []Event) *Result {
	res := &Result{Outcomes: make([]Outcome, len(events))}
	slots := make(chan struct{}, p.cfg.MaxInFlight)
	start := time.Now()
	sent := 0
	var wg sync.WaitGroup
	for i, e := range events {
		at := start.Add(time.Duration(e.AtMs) * time.Millisecond)
		if !sleepUntil(ctx, at) {
			break
		}
		select {
		case slots <- struct{}{}:
		default:
			res.Delayed++
			slots <- struct{}{}
		}
		sent++
		wg.Go(func() {
			defer func() { <-slots }()
			res.Outcomes[i] = p.request(newRequest(e), at)
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

// request sends one request with its retries. It is not tied to the context of Run, so that a request in flight ends with
// a known outcome.
func (p *player) request(r *request, at time.Time) Outcome {
	start := time.Now()
	deadline := start.Add(time.Duration(r.event.DeadlineMs) * time.Millisecond)
	ctx, cancel := context.WithDeadline(context.Background(), deadline.Add(p.cfg.Grace))
	defer cancel()
	out := Outcome{Event: r.event, Key: r.key}
	lastAddr := ""
	for {
		a, addr := p.send(ctx, r, out.Attempts+1, lastAddr, time.Until(deadline))
		lastAddr = addr
		out.add(a)
		if !a.retryable() || out.Attempts > p.cfg.Retries || !p.pause(ctx, a, deadline) {
			break
		}
	}
	end := time.Now()
	out.Latency = end.Sub(at)
	out.Late = out.Kind == KindAnswered && end.After(deadline)
	return out
}

// send makes one attempt. An address that refuses the connection is skipped, since nothing was sent to it. An attempt
// after the first prefers an address other than the last one.
func (p *player) send(ctx context.Context, r *request, number int, lastAddr string, left time.Duration) (attempt, string) {
	tried := map[string]bool{}
	if lastAddr != "" && len(p.cfg.Entries) > 1 {
		tried[lastAddr] = true
	}
	for {
		addr, ok := p.entries.pick(tried, time.Now())
		if !ok {
			return attempt{kind: KindUnreachable, reason: "all entry addresses refused the connection"}, lastAddr
		}
		a := r.attempt(ctx, p.client, addr, number, left)
		if a.kind != KindUnreachable {
			return a, addr
		}
		p.entries.markDown(addr, time.Now())
		tried[addr] = true
	}
}

// pause waits before a retry and reports whether the deadline leaves time for it.
func (p *player) pause(ctx context.Context, a attempt, deadline time.Time) bool {
	at := time.Now().Add(max(p.cfg.RetryDelay, a.retryAfter))
	return at.Before(deadline) && sleepUntil(ctx, at)
}

// retryable reports whether a further attempt may change the outcome. A refusal with a 4xx other than 409 and 429 says
// that the request itself is wrong.
func (a *attempt) retryable() bool {
	switch a.kind {
	case KindBroken, KindUnreachable, KindMayHaveRun:
		return true
	case KindNotRun:
		return a.status/100 != 4 || a.status == http.StatusConflict || a.status == http.StatusTooManyRequests
	}
	return false
}

// add takes an attempt into the outcome. The last attempt decides, but an attempt that reached nobody cannot take back
// that an earlier one may have run.
func (o *Outcome) add(a attempt) {
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
