package platform

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Kinds of faults.
const (
	// FaultOutage responds with 503 and Platform-Effect: none. It also ends long polls that are waiting.
	FaultOutage = "outage"
	// FaultDelay delays a request by DelayMs before it takes effect. It takes effect even if the client has
	// disconnected. On the log, only appends are delayed unless Method is set.
	FaultDelay = "delay"
	// FaultLoseAnswer executes a request and closes the connection without a response. It applies to POST unless Method
	// is set.
	FaultLoseAnswer = "lose-answer"
	// FaultTruncate executes a request and closes the connection in the middle of the response body.
	FaultTruncate = "truncate"
	// FaultHang reads a request and neither executes it nor responds. The connection is closed at the next fault
	// command or when the server is closed.
	FaultHang = "hang"
	// FaultFailTasks makes a worker accept a task that fails at once: when the response is sent, the worker no longer
	// runs the task.
	FaultFailTasks = "fail-tasks"
	// FaultClear ends the faults of the target, or all faults if the target is empty or "all".
	FaultClear = "clear"
)

// Targets of faults.
const (
	TargetLog     = "log"
	TargetVMs     = "vms"
	TargetWorkers = "workers"
	TargetAll     = "all"
)

// Fault is a fault command. The fault ends after DurationMs (0: no time limit) or after Count requests (0: no limit),
// whichever comes first. Method restricts it to GET or POST requests.
type Fault struct {
	Kind       string `json:"kind"`
	Target     string `json:"target,omitempty"` // default "all"
	Method     string `json:"method,omitempty"`
	DurationMs int64  `json:"duration_ms,omitempty"`
	DelayMs    int64  `json:"delay_ms,omitempty"`
	Count      int    `json:"count,omitempty"`
}

func (f *Fault) validate() error {
	switch f.Kind {
	case FaultOutage, FaultDelay, FaultLoseAnswer, FaultTruncate, FaultHang, FaultFailTasks, FaultClear:
	default:
		return fmt.Errorf("kind %q (permitted: outage, delay, lose-answer, truncate, hang, fail-tasks, clear)", f.Kind)
	}
	switch f.Target {
	case "":
		f.Target = TargetAll
	case TargetLog, TargetVMs, TargetWorkers, TargetAll:
	default:
		return fmt.Errorf("target %q (permitted: log, vms, workers, all)", f.Target)
	}
	if f.Method != "" && f.Method != http.MethodGet && f.Method != http.MethodPost {
		return fmt.Errorf("method %q (permitted: GET, POST)", f.Method)
	}
	if f.DurationMs < 0 || f.DelayMs < 0 || f.Count < 0 {
		return fmt.Errorf("duration_ms, delay_ms and count must not be negative")
	}
	if f.Kind == FaultDelay && f.DelayMs == 0 {
		return fmt.Errorf("delay_ms must be above 0 for kind delay")
	}
	return nil
}

// matches reports whether the fault applies to a request with this target and method.
func (f *Fault) matches(target, method string) bool {
	if f.Target != TargetAll && f.Target != target {
		return false
	}
	if f.Method != "" {
		return f.Method == method
	}
	switch f.Kind {
	case FaultLoseAnswer:
		return method == http.MethodPost
	case FaultDelay:
		return target != TargetLog || method == http.MethodPost
	}
	return true
}

type activeFault struct {
	Fault
	expiresAt time.Time // zero: no time limit
}

// faults is the set of active faults. The channel changed is closed and replaced at each fault command.
type faults struct {
	mu      sync.Mutex
	now     func() time.Time
	active  []*activeFault
	changed chan struct{}
}

func newFaults(now func() time.Time) *faults {
	return &faults{now: now, changed: make(chan struct{})}
}

func (fs *faults) inject(f Fault) error {
	if err := f.validate(); err != nil {
		return err
	}
	fs.mu.Lock()
	defer fs.mu.Unlock()
	if f.Kind == FaultClear {
		fs.clear(f.Target)
	} else {
		a := &activeFault{Fault: f}
		if f.DurationMs > 0 {
			a.expiresAt = fs.now().Add(time.Duration(f.DurationMs) * time.Millisecond)
		}
		fs.active = append(fs.active, a)
	}
	close(fs.changed)
	fs.changed = make(chan struct{})
	return nil
}

func (fs *faults) clear(target string) {
	var kept []*activeFault
	for _, a := range fs.active {
		if target != TargetAll && a.Target != target {
			kept = append(kept, a)
		}
	}
	fs.active = kept
}

// expire removes the faults whose duration has passed. The caller must hold mu.
func (fs *faults) expire() {
	now := fs.now()
	var kept []*activeFault
	for _, a := range fs.active {
		if a.expiresAt.IsZero() || now.Before(a.expiresAt) {
			kept = append(kept, a)
		}
	}
	fs.active = kept
}

// consume returns the first active fault of the kind that applies, and decrements its count.
func (fs *faults) consume(kind, target, method string) (Fault, bool) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	fs.expire()
	for i, a := range fs.active {
		if a.Kind != kind || !a.matches(target, method) {
			continue
		}
		if a.Count > 0 {
			a.Count--
			if a.Count == 0 {
				fs.active = append(fs.active[:i:i], fs.active[i+1:]...)
			}
		}
		return a.Fault, true
	}
	return Fault{}, false
}

// list returns the active faults with their remaining durations and counts.
func (fs *faults) list() []Fault {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	fs.expire()
	out := make([]Fault, 0, len(fs.active))
	for _, a := range fs.active {
		f := a.Fault
		if !a.expiresAt.IsZero() {
			f.DurationMs = a.expiresAt.Sub(fs.now()).Milliseconds()
		}
		out = append(out, f)
	}
	return out
}

// nextCommand returns a channel that is closed at the next fault command.
func (fs *faults) nextCommand() <-chan struct{} {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	return fs.changed
}
