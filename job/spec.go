package job

import (
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Limits of a submitted job. They bound the memory that one caller can occupy.
const (
	MaxSteps        = 64
	MaxTasksPerStep = 1024
	MaxSpecBytes    = 4000
	MaxOccurrences  = 10_000
)

// Resources is an amount of CPU (millicores), memory and GPUs.
type Resources struct {
	CPU   int64 `cbor:"1,keyasint,omitempty"`
	MemMB int64 `cbor:"2,keyasint,omitempty"`
	GPU   int64 `cbor:"3,keyasint,omitempty"`
}

// Add returns the sum of r and o.
func (r Resources) Add(o Resources) Resources {
	return Resources{CPU: r.CPU + o.CPU, MemMB: r.MemMB + o.MemMB, GPU: r.GPU + o.GPU}
}

// Sub returns r minus o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{CPU: r.CPU - o.CPU, MemMB: r.MemMB - o.MemMB, GPU: r.GPU - o.GPU}
}

func (r Resources) times(n int) Resources {
	return Resources{CPU: r.CPU * int64(n), MemMB: r.MemMB * int64(n), GPU: r.GPU * int64(n)}
}

// Fits reports whether r is at most o in every dimension.
func (r Resources) Fits(o Resources) bool {
	return r.CPU <= o.CPU && r.MemMB <= o.MemMB && r.GPU <= o.GPU
}

// Share returns the largest fraction of capacity that r uses in any dimension (the dominant share).
func (r Resources) Share(capacity Resources) float64 {
	share := 0.0
	for _, d := range [...][2]int64{{r.CPU, capacity.CPU}, {r.MemMB, capacity.MemMB}, {r.GPU, capacity.GPU}} {
		if d[1] > 0 {
			share = max(share, float64(d[0])/float64(d[1]))
		}
	}
	return share
}

// Step is a group of identical tasks.
type Step struct {
	Count     int           `cbor:"1,keyasint"`
	Request   Resources     `cbor:"2,keyasint"` // per task
	Estimate  time.Duration `cbor:"3,keyasint,omitempty"`
	DependsOn []int         `cbor:"4,keyasint,omitempty"` // indices, from 0, of the steps that must be done first
	// Checkpointable marks tasks that can resume from a checkpoint.
	Checkpointable bool `cbor:"5,keyasint,omitempty"`
	// Gang marks tasks that are started all together or not at all, and that end together.
	Gang     bool   `cbor:"6,keyasint,omitempty"`
	SameRack bool   `cbor:"7,keyasint,omitempty"`
	Label    string `cbor:"8,keyasint,omitempty"` // label that a worker must have
	DataRack string `cbor:"9,keyasint,omitempty"` // rack that holds the data; the step runs faster there
	// MaxPerWorker bounds the tasks of one occurrence of the step on one worker. Zero means no limit.
	MaxPerWorker int `cbor:"10,keyasint,omitempty"`
	// Speculative permits parallel copies of a task.
	Speculative bool `cbor:"11,keyasint,omitempty"`
	// LongRunning marks tasks that run until the job is cancelled and are restarted however they end.
	LongRunning   bool          `cbor:"12,keyasint,omitempty"`
	Image         string        `cbor:"13,keyasint,omitempty"`
	LatencyTarget time.Duration `cbor:"14,keyasint,omitempty"` // upper bound on the tail latency of a latency-critical task
	// BestEffort marks tasks that use leftover CPU: their CPU request does not count against a worker's capacity.
	BestEffort bool `cbor:"15,keyasint,omitempty"`
	// DisruptionBudget is how many tasks of a long-running step planned actions may make unavailable at the same time.
	DisruptionBudget int `cbor:"16,keyasint,omitempty"`
}

// reserved returns the part of a worker's capacity that a task of the step occupies.
func (s *Step) reserved() Resources {
	r := s.Request
	if s.BestEffort {
		r.CPU = 0
	}
	return r
}

// Spec is a job as submitted.
type Spec struct {
	ID              string        `cbor:"1,keyasint"`
	Queue           string        `cbor:"2,keyasint"`
	Pool            string        `cbor:"3,keyasint"`
	Priority        int           `cbor:"4,keyasint,omitempty"` // 0 is the most urgent
	Attempts        int           `cbor:"5,keyasint"`           // failed runs of a task after which the job fails
	ObjectiveFactor float64       `cbor:"6,keyasint,omitempty"` // completion objective as a multiple of the critical path
	ObjectiveMargin time.Duration `cbor:"7,keyasint,omitempty"` // added to the completion objective
	Payload         string        `cbor:"8,keyasint,omitempty"` // passed to each task
	Steps           []Step        `cbor:"9,keyasint"`
	// Occurrences is the number of scheduled executions of the steps. Zero means one immediate execution.
	Occurrences int   `cbor:"10,keyasint,omitempty"`
	StartMs     int64 `cbor:"11,keyasint,omitempty"` // Unix time of occurrence 0
	IntervalMs  int64 `cbor:"12,keyasint,omitempty"`
	AcceptedMs  int64 `cbor:"13,keyasint"` // Unix time
	// NeedsAdvice states that tasks of the queue may start only with a ticket from the advice service.
	NeedsAdvice bool `cbor:"14,keyasint,omitempty"`
	// Customer is the customer that submitted the job; empty if the call was not authenticated.
	Customer string `cbor:"15,keyasint,omitempty"`
}

// Validate returns an error for the first field that is out of bounds.
func (s *Spec) Validate() error {
	if s.ID == "" || strings.ContainsAny(s.ID, "./") {
		return errors.Errorf("job identifier %q is invalid", s.ID)
	}
	if len(s.Payload) > MaxSpecBytes {
		return errors.Errorf("spec has %d bytes, more than %d", len(s.Payload), MaxSpecBytes)
	}
	if len(s.Steps) == 0 || len(s.Steps) > MaxSteps {
		return errors.Errorf("a job needs 1 to %d steps, not %d", MaxSteps, len(s.Steps))
	}
	if s.Occurrences < 0 || s.Occurrences > MaxOccurrences || s.IntervalMs < 0 {
		return errors.New("the schedule is out of bounds")
	}
	for i := range s.Steps {
		if err := s.Steps[i].validate(i); err != nil {
			return errors.Wrapf(err, "step %d", i)
		}
	}
	return nil
}

func (s *Step) validate(number int) error {
	if s.Count < 1 || s.Count > MaxTasksPerStep {
		return errors.Errorf("count must be 1 to %d, not %d", MaxTasksPerStep, s.Count)
	}
	if s.Request.CPU < 0 || s.Request.MemMB < 0 || s.Request.GPU < 0 || s.Estimate < 0 || s.MaxPerWorker < 0 {
		return errors.New("negative amount")
	}
	for _, d := range s.DependsOn {
		// Only earlier steps are permitted, so the dependency graph has no cycles.
		if d < 0 || d >= number {
			return errors.Errorf("dependsOn names step %d, which is not an earlier step", d)
		}
	}
	return nil
}

// longRunning reports whether the job runs until it is cancelled.
func (s *Spec) longRunning() bool {
	for i := range s.Steps {
		if s.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// criticalPath returns the longest chain of dependent steps by estimated run time.
func (s *Spec) criticalPath() time.Duration {
	var longest time.Duration
	ends := make([]time.Duration, len(s.Steps))
	for i := range s.Steps {
		var earliestStart time.Duration
		for _, d := range s.Steps[i].DependsOn {
			earliestStart = max(earliestStart, ends[d])
		}
		ends[i] = earliestStart + s.Steps[i].Estimate
		longest = max(longest, ends[i])
	}
	return longest
}

// TaskID identifies a task: an index within a step of an occurrence of a job.
type TaskID struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// String returns the form JOB.OCCURRENCE.STEP.INDEX.
func (t TaskID) String() string {
	b := make([]byte, 0, len(t.Job)+12)
	b = append(b, t.Job...)
	for _, n := range [...]int{t.Occurrence, t.Step, t.Index} {
		b = append(b, '.')
		b = strconv.AppendInt(b, int64(n), 10)
	}
	return string(b)
}

// ParseTaskID parses the format that String writes.
func ParseTaskID(s string) (TaskID, error) {
	parts := strings.Split(s, ".")
	if len(parts) != 4 || parts[0] == "" {
		return TaskID{}, errors.Errorf("task name %q does not have the form JOB.OCCURRENCE.STEP.INDEX", s)
	}
	var n [3]int
	for i := range n {
		v, err := strconv.Atoi(parts[i+1])
		if err != nil || v < 0 {
			return TaskID{}, errors.Errorf("task name %q: %q is not a number from 0", s, parts[i+1])
		}
		n[i] = v
	}
	return TaskID{Job: parts[0], Occurrence: n[0], Step: n[1], Index: n[2]}, nil
}
