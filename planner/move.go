package planner

import "sort"

// planMoves releases VMs that an operator moves to another pool, as far as the budgets of their old pool permit.
func (p *Plan) planMoves(f *Fleet, l *ledger) {
	var moving []*VM
	for i := range f.VMs {
		if v := &f.VMs[i]; v.Next != "" && v.Phase == PhaseServing {
			moving = append(moving, v)
		}
	}
	sort.Slice(moving, func(i, j int) bool { return moving[i].Name < moving[j].Name })
	for _, v := range moving {
		if reason := l.takeOut(v); reason != "" {
			p.wait(v, reason)
			continue
		}
		p.step(StepRelease, v, "moves to pool "+v.Next)
	}
}

// advanceRelease assigns a released VM once no member uses it for its old pool. There is no deadline: assigning the VM
// while a member may still use it would put it into two pools.
func (p *Plan) advanceRelease(v *VM) {
	switch {
	case v.Next == "":
		p.step(StepCancel, v, "the move was withdrawn")
	case v.Idle:
		p.step(StepAssign, v, "every member acknowledged the release")
	default:
		p.wait(v, "waits for members that use it or have not acknowledged its release")
	}
}
