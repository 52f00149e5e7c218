package planner

import "sort"

// planMoves adds a release step for each VM that an operator moves to another pool, as far as the budgets of its current
// pool permit.
func (p *Plan) planMoves(f *Fleet, t *budgetTracker) {
	var moving []*VM
	for i := range f.VMs {
		if v := &f.VMs[i]; v.NextPool != "" && v.Phase == PhaseServing {
			moving = append(moving, v)
		}
	}
	sort.Slice(moving, func(i, j int) bool { return moving[i].Name < moving[j].Name })
	for _, v := range moving {
		if reason := t.reserve(v); reason != "" {
			p.addBlocked(v, reason)
			continue
		}
		p.addStep(StepRelease, v, "moves to pool "+v.NextPool)
	}
}

// advanceRelease adds the step that assigns a released VM to its next pool, once no member uses it for its old pool.
// There is no deadline, because assigning the VM while a member may still use it would put it into two pools.
func (p *Plan) advanceRelease(v *VM) {
	switch {
	case v.NextPool == "":
		p.addStep(StepCancel, v, "the move was withdrawn")
	case v.Idle:
		p.addStep(StepAssign, v, "every member acknowledged the release")
	default:
		p.addBlocked(v, "waits for members that use it or have not acknowledged its release")
	}
}
