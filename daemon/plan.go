package daemon

import (
	"context"
	"time"

	"github.com/berylwharf/berylwharf/operator"
	"github.com/berylwharf/berylwharf/planner"
	"github.com/berylwharf/berylwharf/resource"
)

// PlanNow implements operator.Planner. It computes a plan for the pools of all home nodes and does not carry it out.
func (m *maintainer) PlanNow(ctx context.Context) *operator.PlanResponse {
	v := m.d.follower.View()
	fleet := m.observe(ctx, v, func(string) bool { return true })
	plan := planner.Compute(fleet, deadlines(v), time.Now())
	p := &operator.PlanResponse{
		Waves: waveProgress(fleet), Steps: make([]operator.PlanStep, 0, len(plan.Steps)),
		Waiting: make([]operator.PlanStep, 0, len(plan.Waiting)),
	}
	for _, s := range plan.Steps {
		p.Steps = append(p.Steps, operator.PlanStep{Kind: string(s.Kind), Wave: s.Wave, VM: s.VM, Reason: s.Reason})
	}
	for _, w := range plan.Waiting {
		reason := w.Reason
		if members := m.unacknowledged(w.VM); members != "" {
			reason += "; not acknowledged by " + members
		}
		p.Waiting = append(p.Waiting, operator.PlanStep{Wave: w.Wave, VM: w.VM, Reason: reason})
	}
	return p
}

// unacknowledged returns the names of the members, separated by commas, that have not yet acknowledged the release of a VM,
// that is, that they send it no more requests and have none in flight there.
func (m *maintainer) unacknowledged(vm string) string {
	v := m.d.follower.View()
	active, ok := activeVMs(v)[vm]
	if !ok || (active.Phase != resource.PhaseDraining && active.Phase != resource.PhaseReleasing) {
		return ""
	}
	spec := v.Spec(vmResource(vm)).(*resource.VM)
	r := v.Get(resource.Key{Kind: resource.KindMaintenance, Name: spec.Pool})
	names := ""
	for i, node := range m.d.coord.UnacknowledgedMembers(vm, r.Version) {
		if i > 0 {
			names += ", "
		}
		names += node
	}
	return names
}

func waveProgress(f *planner.Fleet) []operator.WaveProgress {
	progress := []operator.WaveProgress{}
	for _, w := range f.SortedWaves() {
		p := operator.WaveProgress{
			Name: w.Name, Pool: w.Pool, Finished: len(w.Results), Paused: w.Paused, StopReason: w.StopReason,
		}
		for _, r := range w.Results {
			if r.Failed {
				p.Failed++
			}
		}
		for i := range f.VMs {
			if f.VMs[i].Pool == w.Pool {
				p.Total++
			}
			if f.VMs[i].Wave == w.Name {
				p.InMaintenance++
			}
		}
		progress = append(progress, p)
	}
	return progress
}
