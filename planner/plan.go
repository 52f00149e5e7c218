package planner

import (
	"fmt"
	"time"
)

// StepKind is the action of a step.
type StepKind string

// The kinds of steps.
const (
	StepDrain    StepKind = "drain"     // stop new requests and tasks on the VM
	StepReboot   StepKind = "reboot"    // the VM is idle; reboot it
	StepVerify   StepKind = "verify"    // the VM restarted; check that it stays healthy
	StepReturn   StepKind = "return"    // the VM is healthy; return it to service
	StepGiveUp   StepKind = "give-up"   // the VM did not become healthy in time; count it as failed
	StepCancel   StepKind = "cancel"    // return the VM to service: its drain timed out (a failure) or its move was withdrawn
	StepStopWave StepKind = "stop-wave" // the failures in the wave are correlated
	StepRelease  StepKind = "release"   // the VM's current pool stops using it
	StepAssign   StepKind = "assign"    // every member acknowledged the release; assign the VM to its next pool
)

// Step is one action of a plan. VM is empty for StepStopWave.
type Step struct {
	Kind   StepKind
	Wave   string
	VM     string
	Reason string
}

// Blocked is a VM or a wave that cannot proceed, with the reason. VM is empty if the whole wave is blocked.
type Blocked struct {
	Wave   string
	VM     string
	Reason string
}

// Plan is the result of one planning round.
type Plan struct {
	Steps   []Step
	Waiting []Blocked
}

// Deadlines are the maximum durations of the maintenance phases.
type Deadlines struct {
	Drain  time.Duration
	Reboot time.Duration
	Verify time.Duration
	// HealthProof is the time after the start of PhaseVerifying from which a healthy VM may return to service.
	HealthProof time.Duration
}

// DefaultDeadlines returns deadlines for VMs that boot within a few minutes.
func DefaultDeadlines() Deadlines {
	return Deadlines{
		Drain:       10 * time.Minute,
		Reboot:      15 * time.Minute,
		Verify:      5 * time.Minute,
		HealthProof: 30 * time.Second,
	}
}

// Compute plans one round. It continues maintenance and moves in progress, stops waves whose failures are correlated, and
// starts moves and maintenance of further VMs as far as every budget permits.
func Compute(f *Fleet, d Deadlines, now time.Time) Plan {
	var p Plan
	for i := range f.VMs {
		p.advance(&f.VMs[i], d, now)
	}
	tracker := newBudgetTracker(f)
	p.planMoves(f, tracker)
	for _, w := range f.SortedWaves() {
		p.planWave(f, tracker, w)
	}
	return p
}

// advance adds the next step, or the reason to wait, of a VM that is in maintenance or being moved. Maintenance in
// progress continues even if its wave is paused or stopped, because the VM would otherwise stay unavailable.
func (p *Plan) advance(v *VM, d Deadlines, now time.Time) {
	elapsed := now.Sub(v.PhaseSince)
	switch v.Phase {
	case PhaseServing:
	case PhaseReleasing:
		p.advanceRelease(v)
	case PhaseDraining:
		p.advanceDrain(v, d, elapsed)
	case PhaseRebooting:
		p.advanceReboot(v, d, elapsed)
	case PhaseVerifying:
		p.advanceVerify(v, d, elapsed)
	}
}

func (p *Plan) advanceDrain(v *VM, d Deadlines, elapsed time.Duration) {
	switch {
	case v.Idle:
		p.addStep(StepReboot, v, "no work is left on it")
	case elapsed >= d.Drain:
		p.addStep(StepCancel, v, fmt.Sprintf("work still runs after %s and a planned stop cuts nothing off", d.Drain))
	default:
		p.addBlocked(v, fmt.Sprintf("waits for running work, at most %s more", d.Drain-elapsed))
	}
}

func (p *Plan) advanceReboot(v *VM, d Deadlines, elapsed time.Duration) {
	switch {
	case v.Rebooted && v.Healthy:
		p.addStep(StepVerify, v, "restarted and answering")
	case elapsed >= d.Reboot:
		p.addStep(StepGiveUp, v, fmt.Sprintf("did not come back within %s", d.Reboot))
	default:
		p.addBlocked(v, fmt.Sprintf("waits for the restart, at most %s more", d.Reboot-elapsed))
	}
}

func (p *Plan) advanceVerify(v *VM, d Deadlines, elapsed time.Duration) {
	switch {
	case v.Healthy && elapsed >= d.HealthProof:
		p.addStep(StepReturn, v, fmt.Sprintf("healthy %s after the restart", d.HealthProof))
	case elapsed >= d.Verify:
		p.addStep(StepGiveUp, v, fmt.Sprintf("not healthy within %s after the restart", d.Verify))
	default:
		p.addBlocked(v, "waits for its health proof")
	}
}

func (p *Plan) addStep(kind StepKind, v *VM, reason string) {
	p.Steps = append(p.Steps, Step{Kind: kind, Wave: v.Wave, VM: v.Name, Reason: reason})
}

func (p *Plan) addBlocked(v *VM, reason string) {
	p.Waiting = append(p.Waiting, Blocked{Wave: v.Wave, VM: v.Name, Reason: reason})
}

func (p *Plan) addBlockedWave(w *Wave, reason string) {
	p.Waiting = append(p.Waiting, Blocked{Wave: w.Name, Reason: reason})
}

// CheckStillDue returns an error if a plan computed from f does not contain the step.
func CheckStillDue(s Step, f *Fleet, d Deadlines, now time.Time) error {
	for _, current := range Compute(f, d, now).Steps {
		if current.Kind == s.Kind && current.VM == s.VM && current.Wave == s.Wave {
			return nil
		}
	}
	return fmt.Errorf("step %s of VM %q in wave %q is no longer due", s.Kind, s.VM, s.Wave)
}
