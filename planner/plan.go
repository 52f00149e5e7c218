package planner

import (
	"fmt"
	"time"
)

// StepKind is what a step does.
type StepKind string

// The kinds of steps.
const (
	StepDrain    StepKind = "drain"     // stop new work on the VM
	StepReboot   StepKind = "reboot"    // the VM is idle or its drain deadline passed; reboot it
	StepVerify   StepKind = "verify"    // the VM restarted; wait for its health proof
	StepReturn   StepKind = "return"    // the VM is healthy; give it work again
	StepGiveUp   StepKind = "give-up"   // the VM did not come back; count it as failed
	StepCancel   StepKind = "cancel"    // the VM could not be drained; give it work again and count it as failed
	StepStopWave StepKind = "stop-wave" // failures within the wave correlate
	StepRelease  StepKind = "release"   // the VM's old pool stops using it
	StepAssign   StepKind = "assign"    // every member acknowledged the release; the next pool uses the VM
)

// Step is one planned action. VM is empty for StepStopWave.
type Step struct {
	Kind   StepKind
	Wave   string
	VM     string
	Reason string
}

// Wait explains why a VM or a wave does not go on. VM is empty when the whole wave waits.
type Wait struct {
	Wave   string
	VM     string
	Reason string
}

// Plan is the outcome of one planning round.
type Plan struct {
	Steps []Step
	Waits []Wait
}

// Deadlines bound the phases of maintenance.
type Deadlines struct {
	Drain  time.Duration
	Reboot time.Duration
	Verify time.Duration
	// HealthProof is how long a VM must be healthy in PhaseVerifying before it returns.
	HealthProof time.Duration
}

// DefaultDeadlines suit VMs that boot within a few minutes.
func DefaultDeadlines() Deadlines {
	return Deadlines{
		Drain:       10 * time.Minute,
		Reboot:      15 * time.Minute,
		Verify:      5 * time.Minute,
		HealthProof: 30 * time.Second,
	}
}

// Compute plans one round: it carries on what is under way, stops waves whose failures correlate, and starts maintenance
// of further VMs as far as every budget permits.
func Compute(f *Fleet, d Deadlines, now time.Time) Plan {
	var p Plan
	for i := range f.VMs {
		p.advance(&f.VMs[i], d, now)
	}
	l := newLedger(f)
	p.planMoves(f, l)
	for _, w := range f.SortedWaves() {
		p.planWave(f, l, w)
	}
	return p
}

// advance adds the next step of a VM in maintenance. Steps under way go on even when their wave is paused or stopped,
// because a VM left half-way would stay unavailable.
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
		p.step(StepReboot, v, "no work is left on it")
	case elapsed >= d.Drain:
		p.step(StepCancel, v, fmt.Sprintf("work still runs after %s and a planned stop cuts nothing off", d.Drain))
	default:
		p.wait(v, fmt.Sprintf("waits for running work, at most %s more", d.Drain-elapsed))
	}
}

func (p *Plan) advanceReboot(v *VM, d Deadlines, elapsed time.Duration) {
	switch {
	case v.Rebooted && v.Healthy:
		p.step(StepVerify, v, "restarted and answering")
	case elapsed >= d.Reboot:
		p.step(StepGiveUp, v, fmt.Sprintf("did not come back within %s", d.Reboot))
	default:
		p.wait(v, fmt.Sprintf("waits for the restart, at most %s more", d.Reboot-elapsed))
	}
}

func (p *Plan) advanceVerify(v *VM, d Deadlines, elapsed time.Duration) {
	switch {
	case v.Healthy && elapsed >= d.HealthProof:
		p.step(StepReturn, v, fmt.Sprintf("healthy %s after the restart", d.HealthProof))
	case elapsed >= d.Verify:
		p.step(StepGiveUp, v, fmt.Sprintf("not healthy within %s after the restart", d.Verify))
	default:
		p.wait(v, "waits for its health proof")
	}
}

func (p *Plan) step(kind StepKind, v *VM, reason string) {
	p.Steps = append(p.Steps, Step{Kind: kind, Wave: v.Wave, VM: v.Name, Reason: reason})
}

func (p *Plan) wait(v *VM, reason string) {
	p.Waits = append(p.Waits, Wait{Wave: v.Wave, VM: v.Name, Reason: reason})
}

func (p *Plan) waitWave(w *Wave, reason string) {
	p.Waits = append(p.Waits, Wait{Wave: w.Name, Reason: reason})
}

// Check tells whether a step is still right for the newest fleet. It returns nil or the reason against it.
func Check(s Step, f *Fleet, d Deadlines, now time.Time) error {
	for _, fresh := range Compute(f, d, now).Steps {
		if fresh.Kind == s.Kind && fresh.VM == s.VM && fresh.Wave == s.Wave {
			return nil
		}
	}
	return fmt.Errorf("step %s of VM %q in wave %q is no longer due", s.Kind, s.VM, s.Wave)
}
