package backend

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Kinds of faults.
const (
	// FaultSlow makes a run take DelayMs instead of its work time.
	FaultSlow = "slow"
	// FaultFailFast responds with status 500 at once, without a run.
	FaultFailFast = "fail-fast"
	// FaultTruncate runs the request and closes the connection in the middle of the response body.
	FaultTruncate = "truncate"
	// FaultLate runs the request and responds DelayMs after the end of the run.
	FaultLate = "late"
	// FaultDuplicateAnswer sends the response twice on the connection, the second time after DelayMs.
	FaultDuplicateAnswer = "duplicate-answer"
	// FaultSilent stalls the connections that are open now: the server stops reading and responding on them permanently
	// without closing them, while requests in progress on them still run. New connections work. Method, DurationMs and
	// Count do not apply, and FaultClear does not end the fault.
	FaultSilent = "silent"
	// FaultCloseBefore closes the connection before the run, so that the request does not run.
	FaultCloseBefore = "close-before"
	// FaultCloseDuring closes the connection in the middle of the run, which continues to its end.
	FaultCloseDuring = "close-during"
	// FaultCloseAfter closes the connection after the run, without a response.
	FaultCloseAfter = "close-after"
	// FaultLeave makes GET /healthz return 503; requests are still served. Method and Count do not apply.
	FaultLeave = "leave"
	// FaultRefuse closes the listener, so that new connections are refused; open connections stay. Method and Count do
	// not apply.
	FaultRefuse = "refuse"
	// FaultClear ends all faults except FaultSilent.
	FaultClear = "clear"
)

const permittedKinds = "slow, fail-fast, truncate, late, duplicate-answer, silent, close-before, close-during, " +
	"close-after, leave, refuse, clear"

// Fault is a fault command. The fault ends after DurationMs (0: no time limit) or after Count requests (0: no limit),
// whichever comes first. Method restricts it to requests with that method. Several faults can be active at once.
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
	expiresAt time.Time // zero: no time limit
}

func (a *activeFault) activeAt(now time.Time) bool {
	return a.expiresAt.IsZero() || now.Before(a.expiresAt)
}

// faults is the set of active faults, except for FaultSilent and FaultRefuse, which act on connections and the
// listener.
type faults struct {
	mu     sync.Mutex
	active []*activeFault
}

func (fs *faults) add(f Fault) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	a := &activeFault{Fault: f}
	if f.DurationMs > 0 {
		a.expiresAt = time.Now().Add(time.Duration(f.DurationMs) * time.Millisecond)
	}
	fs.active = append(fs.active, a)
}

func (fs *faults) clear() {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	fs.active = nil
}

// requestFaults holds the kinds of faults that apply to one request, with the delay of each.
type requestFaults map[string]time.Duration

func (p requestFaults) has(kind string) bool {
	_, ok := p[kind]
	return ok
}

// consume returns the faults that apply to a request and decrements their counts. It removes faults that have ended. If
// several faults of a kind match, only the first applies.
func (fs *faults) consume(method string) requestFaults {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	now := time.Now()
	p := requestFaults{}
	var kept []*activeFault
	for _, a := range fs.active {
		if !a.activeAt(now) {
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
	fs.active = kept
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

// list returns the active faults with their remaining durations and counts.
func (fs *faults) list() []Fault {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	now := time.Now()
	out := []Fault{}
	for _, a := range fs.active {
		if !a.activeAt(now) {
			continue
		}
		f := a.Fault
		if !a.expiresAt.IsZero() {
			f.DurationMs = a.expiresAt.Sub(now).Milliseconds()
		}
		out = append(out, f)
	}
	return out
}
