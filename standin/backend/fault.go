package backend

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Kinds of faults.
const (
	// FaultSlow lets a run take DelayMs.
	FaultSlow = "slow"
	// FaultFailFast answers 500 at once, without a run.
	FaultFailFast = "fail-fast"
	// FaultTruncate runs the request and closes the connection in the middle of the answer's body.
	FaultTruncate = "truncate"
	// FaultLate runs the request and answers DelayMs after the end of the run.
	FaultLate = "late"
	// FaultDuplicateAnswer sends the answer twice on the connection, the second time after DelayMs.
	FaultDuplicateAnswer = "duplicate-answer"
	// FaultSilent makes the connections that are open now stop reading and answering for good without closing them;
	// requests in progress on them still run. New connections work. Duration and count do not apply, and clear does not
	// end it.
	FaultSilent = "silent"
	// FaultCloseBefore closes the connection before the run; the request does not run.
	FaultCloseBefore = "close-before"
	// FaultCloseDuring closes the connection in the middle of the run; the run goes on to its end.
	FaultCloseDuring = "close-during"
	// FaultCloseAfter closes the connection after the run, without an answer.
	FaultCloseAfter = "close-after"
	// FaultLeave makes /healthz answer 503; requests are still served.
	FaultLeave = "leave"
	// FaultRefuse closes the listener, so that new connections are refused; open connections stay.
	FaultRefuse = "refuse"
	// FaultClear ends all faults but silent connections.
	FaultClear = "clear"
)

const permittedKinds = "slow, fail-fast, truncate, late, duplicate-answer, silent, close-before, close-during, " +
	"close-after, leave, refuse, clear"

// Fault is a fault command. It ends after DurationMs (0: no limit in time) or after Count requests (0: no limit in
// number), whichever comes first. Method restricts it to requests with that method. Several faults can be active at once.
type Fault struct {
	Kind       string `json:"kind"`
	Method     string `json:"method,omitempty"`
	DelayMs    int64  `json:"delay_ms,omitempty"`
	DurationMs int64  `json:"duration_ms,omitempty"`
	Count      int    `json:"count,omitempty"`
}

func (f *Fault) validate() error {
	switch f.Kind {
	case FaultSlow, FaultLate:
		if f.DelayMs <= 0 {
			return fmt.Errorf("delay_ms must be above 0 for kind %s", f.Kind)
		}
	case FaultFailFast, FaultTruncate, FaultDuplicateAnswer, FaultSilent, FaultCloseBefore, FaultCloseDuring,
		FaultCloseAfter, FaultLeave, FaultRefuse, FaultClear:
	default:
		return fmt.Errorf("kind %q (permitted: %s)", f.Kind, permittedKinds)
	}
	if f.Method != "" && f.Method != http.MethodGet && f.Method != http.MethodPost {
		return fmt.Errorf("method %q (permitted: GET, POST)", f.Method)
	}
	if f.DelayMs < 0 || f.DurationMs < 0 || f.Count < 0 {
		return fmt.Errorf("delay_ms, duration_ms and count must not be negative")
	}
	return nil
}

type activeFault struct {
	Fault
	until time.Time // zero: no limit
}

func (a *activeFault) active(now time.Time) bool { return a.until.IsZero() || now.Before(a.until) }

// faults is the set of active faults of requests.
type faults struct {
	mu  sync.Mutex
	set []*activeFault
}

func (fs *faults) add(f Fault) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	a := &activeFault{Fault: f}
	if f.DurationMs > 0 {
		a.until = time.Now().Add(time.Duration(f.DurationMs) * time.Millisecond)
	}
	fs.set = append(fs.set, a)
}

func (fs *faults) clear() {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	fs.set = nil
}

// plan is what the active faults do to one request: the delay of each kind that applies.
type plan map[string]time.Duration

func (p plan) has(kind string) bool {
	_, ok := p[kind]
	return ok
}

// take returns the faults that apply to a request and uses up one of the count of each.
func (fs *faults) take(method string) plan {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	now := time.Now()
	p := plan{}
	var kept []*activeFault
	for _, a := range fs.set {
		if !a.active(now) {
			continue
		}
		if a.Kind == FaultLeave || (a.Method != "" && a.Method != method) || p.has(a.Kind) {
			kept = append(kept, a)
			continue
		}
		p[a.Kind] = time.Duration(a.DelayMs) * time.Millisecond
		if a.Count != 1 {
			kept = append(kept, a)
		}
		if a.Count > 1 {
			a.Count--
		}
	}
	fs.set = kept
	return p
}

// has reports whether a fault of the kind is active.
func (fs *faults) has(kind string) bool {
	for _, f := range fs.list() {
		if f.Kind == kind {
			return true
		}
	}
	return false
}

// list returns the active faults with what remains of their duration and count.
func (fs *faults) list() []Fault {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	now := time.Now()
	out := []Fault{}
	for _, a := range fs.set {
		if !a.active(now) {
			continue
		}
		f := a.Fault
		if !a.until.IsZero() {
			f.DurationMs = a.until.Sub(now).Milliseconds()
		}
		out = append(out, f)
	}
	return out
}
