package planner

import (
	"sort"
	"time"
)

// Phase is the phase of a VM's maintenance or of its move to another pool.
type Phase string

// The phases of a VM. The empty phase means that neither maintenance nor a move is in progress.
const (
	PhaseServing   Phase = ""
	PhaseDraining  Phase = "draining"
	PhaseRebooting Phase = "rebooting"
	PhaseVerifying Phase = "verifying"
	PhaseReleasing Phase = "releasing" // being moved to another pool
)

// VM is the observed state of one VM: its declared state from the log and its condition from the VM list and probes.
type VM struct {
	Name string
	Zone string
	Rack string
	Pool string
	// Phase and PhaseSince are the declared phase and the time at which it began.
	Phase      Phase
	PhaseSince time.Time
	// Wave is the name of the wave that put the VM into maintenance.
	Wave string
	// Drained is true if an operator declared a drain of the VM.
	Drained bool
	// NextPool is the pool to which an operator moves the VM, empty if it stays in its pool.
	NextPool string
	// Healthy is true if the VM is listed as live and its backend server answers probes.
	Healthy bool
	// Idle is true if no request and no task runs on the VM and every member has acknowledged that it starts none.
	Idle bool
	// Rebooted is true if the VM was observed to restart after PhaseSince.
	Rebooted bool
}

// Available reports whether the VM serves its pool.
func (v *VM) Available() bool { return v.Healthy && !v.Drained && v.Phase == PhaseServing }

// Pool is a pool with its minimum number of available VMs.
type Pool struct {
	Name   string
	MinVMs int
}

// AvailabilityBudget is the availability budget of one customer: the number of VMs of one pool that may be unavailable
// at once.
type AvailabilityBudget struct {
	Customer       string
	Pool           string
	MaxUnavailable int
}

// Wave is a declared maintenance wave with its progress.
type Wave struct {
	Name        string
	Pool        string
	FirstVMs    []string // VMs that go first
	FirstGroup  int
	MaxParallel int
	Paused      bool
	// Results holds the results of the VMs that the wave is done with, in order of completion.
	Results []MaintenanceResult
	// StopReason is the reason for which the planner stopped the wave, empty if it did not.
	StopReason string
}

// MaintenanceResult is the result of the maintenance of one VM.
type MaintenanceResult struct {
	VM     string
	Rack   string
	Failed bool
}

// Fleet is the observed state of the fleet at one time. Its slices may be in any order.
type Fleet struct {
	VMs     []VM
	Pools   []Pool
	Budgets []AvailabilityBudget
	Waves   []Wave
}

// SortedWaves returns the waves sorted by name, so that a plan does not depend on the order of the input.
func (f *Fleet) SortedWaves() []*Wave {
	waves := make([]*Wave, 0, len(f.Waves))
	for i := range f.Waves {
		waves = append(waves, &f.Waves[i])
	}
	sort.Slice(waves, func(i, j int) bool { return waves[i].Name < waves[j].Name })
	return waves
}
