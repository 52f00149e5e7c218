package platform

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Kinds of faults.
const (
	// FaultOutage answers 503 with Platform-Effect: none. Long polls that wait end with it too.
	FaultOutage = "outage"
	// FaultDelay waits delay_ms before a request takes effect. The request takes effect even when the client has gone.
	// On the log it applies to appends only.
	FaultDelay = "delay"
	// FaultLoseAnswer lets a POST take effect and closes the connection without an answer.
	FaultLoseAnswer = "lose-answer"
	// FaultTruncate lets a request take effect and closes the connection in the middle of the answer's body.
	FaultTruncate = "truncate"
	// FaultHang reads a request and never answers; it takes no effect. The connection closes when the fault ends.
	FaultHang = "hang"
	// FaultFailTasks lets a worker accept a task that then fails at once: the worker runs it no longer when the answer
	// arrives.
	FaultFailTasks = "fail-tasks"
	// FaultClear ends the faults of the target, all of them when the target is empty or "all".
	FaultClear = "clear"
)

// Targets of faults.
const (
	TargetLog     = "log"
	TargetVMs     = "vms"
	TargetWorkers = "workers"
	TargetAll     = "all"
)

// Fault is a fault command. It ends after DurationMs (0: no limit in time) or after Count requests (0: no limit in
// number), whichever comes first. Method restricts it to GET or POST requests.
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

// matches reports whether the fault applies to a request of this target and method.
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
	until time.Time // zero: no limit
}

// faults is the set of active faults. changed is closed and replaced whenever the set changes by command.
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
			a.until = fs.now().Add(time.Duration(f.DurationMs) * time.Millisecond)
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

// expire removes the faults whose time has passed. It is called with mu held.
func (fs *faults) expire() {
	now := fs.now()
	var kept []*activeFault
	for _, a := range fs.active {
		if a.until.IsZero() || now.Before(a.until) {
			kept = append(kept, a)
		}
	}
	fs.active = kept
}

// take returns the first active fault of the kind that applies, and uses up one of its count.
func (fs *faults) take(kind, target, method string) (Fault, bool) {
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

// list returns the active faults with what remains of their duration and count.
func (fs *faults) list() []Fault {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	fs.expire()
	out := make([]Fault, 0, len(fs.active))
	for _, a := range fs.active {
		f := a.Fault
		if !a.until.IsZero() {
			f.DurationMs = a.until.Sub(fs.now()).Milliseconds()
		}
		out = append(out, f)
	}
	return out
}

// change returns a channel that is closed at the next command.
func (fs *faults) change() <-chan struct{} {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	return fs.changed
}
