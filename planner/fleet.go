package planner

import (
	"sort"
	"time"
)

// Phase is where a VM stands in maintenance.
type Phase string

// The phases of a VM. The empty phase means that no maintenance is under way.
const (
	PhaseServing   Phase = ""
	PhaseDraining  Phase = "draining"
	PhaseRebooting Phase = "rebooting"
	PhaseVerifying Phase = "verifying"
	PhaseReleasing Phase = "releasing" // on its way to another pool
)

// VM is one machine as observed: its declared state from the log, and its condition from the VM list and probes.
type VM struct {
	Name string
	Zone string
	Rack string
	Pool string
	// Phase and PhaseSince are the declared maintenance state.
	Phase      Phase
	PhaseSince time.Time
	// Wave names the wave that put the VM into maintenance.
	Wave string
	// Drained states that an operator declared a drain.
	Drained bool
	// Next is the pool to which an operator moves the VM, empty when it stays.
	Next string
	// Healthy states that the VM is listed as live and that its backend server answers.
	Healthy bool
	// Idle states that no request and no task runs on the VM, and that every member has acknowledged that it starts none.
	Idle bool
	// Rebooted states that the VM was seen to restart after PhaseSince.
	Rebooted bool
}

// Available reports whether the VM serves its pool.
func (v *VM) Available() bool { return v.Healthy && !v.Drained && v.Phase == PhaseServing }

// Pool is a pool with the lower bound on its size.
type Pool struct {
	Name   string
	MinVMs int
}

// Budget bounds the unavailable VMs of one pool on one customer's account.
type Budget struct {
	Customer       string
	Pool           string
	MaxUnavailable int
}

// Wave is a declared maintenance wave with its progress.
type Wave struct {
	Name        string
	Pool        string
	Order       []string // VMs that go first
	FirstGroup  int
	MaxParallel int
	Paused      bool
	// Finished lists the VMs that the wave has left, in order of completion.
	Finished []Result
	// Stopped is the reason for which the wave stopped by itself, empty while it runs.
	Stopped string
}

// Result is how maintenance of one VM ended.
type Result struct {
	VM     string
	Rack   string
	Failed bool
}

// Fleet is the observed state at one moment. Slices may be in any order.
type Fleet struct {
	VMs     []VM
	Pools   []Pool
	Budgets []Budget
	Waves   []Wave
}

// SortedWaves returns the waves by name, so that a plan does not depend on the order of the input.
func (f *Fleet) SortedWaves() []*Wave {
	waves := make([]*Wave, 0, len(f.Waves))
	for i := range f.Waves {
		waves = append(waves, &f.Waves[i])
	}
	sort.Slice(waves, func(i, j int) bool { return waves[i].Name < waves[j].Name })
	return waves
}
