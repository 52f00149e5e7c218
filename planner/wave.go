package planner

import (
	"fmt"
	"sort"
)

const (
	// correlationWindow is the number of latest results in which failures are counted.
	correlationWindow = 10
	// correlatedFailures stops a wave when that many of the latest results failed: two failures among ten VMs are
	// unlikely to be chance when 82 of 10,000 VMs fail on an ordinary day.
	correlatedFailures = 2
)

// planWave stops the wave or starts maintenance of its next VMs.
func (p *Plan) planWave(f *Fleet, l *ledger, w *Wave) {
	if w.Stopped != "" {
		p.waitWave(w, "stopped: "+w.Stopped)
		return
	}
	if reason := correlated(w); reason != "" {
		p.Steps = append(p.Steps, Step{Kind: StepStopWave, Wave: w.Name, Reason: reason})
		return
	}
	if w.Paused {
		p.waitWave(w, "paused by an operator")
		return
	}
	p.startNext(f, l, w)
}

// correlated returns a reason when the failures within a wave are unlikely to be chance. A failure in the first group
// stops the wave at once: that group exists to find a fault that all VMs share.
func correlated(w *Wave) string {
	failures, last := 0, ""
	for i, r := range w.Finished {
		if r.Failed && i < w.FirstGroup {
			return fmt.Sprintf("VM %s of the first group failed", r.VM)
		}
		if r.Failed && i >= len(w.Finished)-correlationWindow {
			failures++
			last = r.VM
		}
	}
	if failures >= correlatedFailures {
		n := min(len(w.Finished), correlationWindow)
		return fmt.Sprintf("%d of the last %d VMs failed, the last one is %s", failures, n, last)
	}
	return ""
}

// startNext drains the next VMs in order until the wave's parallelism or a budget is reached.
func (p *Plan) startNext(f *Fleet, l *ledger, w *Wave) {
	next, active := candidates(f, w)
	if len(next) == 0 {
		if active > 0 {
			p.waitWave(w, fmt.Sprintf("%d VMs in maintenance, none left to start", active))
		}
		return
	}
	limit := w.MaxParallel
	if len(w.Finished) < w.FirstGroup {
		// Later VMs start only after the whole first group has finished.
		limit = min(limit, w.FirstGroup-len(w.Finished))
	}
	started := 0
	for _, v := range next {
		if active+started >= limit {
			p.waitWave(w, fmt.Sprintf("%d VMs in maintenance, at most %d now", active+started, limit))
			return
		}
		if reason := l.takeOutForMaintenance(v); reason != "" {
			p.Waits = append(p.Waits, Wait{Wave: w.Name, VM: v.Name, Reason: reason})
			return
		}
		p.Steps = append(p.Steps, Step{Kind: StepDrain, Wave: w.Name, VM: v.Name, Reason: "next in the wave"})
		started++
	}
}

// candidates returns the VMs that the wave has not touched, in order, and how many it has in maintenance. VMs that an
// operator drained are left out: somebody else works on them.
func candidates(f *Fleet, w *Wave) (next []*VM, active int) {
	finished := make(map[string]bool, len(w.Finished))
	for _, r := range w.Finished {
		finished[r.VM] = true
	}
	for i := range f.VMs {
		v := &f.VMs[i]
		switch {
		case v.Pool != w.Pool || finished[v.Name]:
		case inMaintenance(v.Phase):
			if v.Wave == w.Name {
				active++
			}
		case v.Phase == PhaseServing && !v.Drained && v.Next == "":
			next = append(next, v)
		}
	}
	orderCandidates(next, w.Order)
	return next, active
}

// orderCandidates sorts by the declared order, then unhealthy VMs first (their maintenance costs no budget), then rack by
// rack so that one failure domain is finished before the next begins.
func orderCandidates(vms []*VM, declared []string) {
	rank := make(map[string]int, len(declared))
	for i, name := range declared {
		rank[name] = i - len(declared)
	}
	sort.Slice(vms, func(i, j int) bool {
		a, b := vms[i], vms[j]
		switch {
		case rank[a.Name] != rank[b.Name]:
			return rank[a.Name] < rank[b.Name]
		case a.Healthy != b.Healthy:
			return !a.Healthy
		case a.Zone != b.Zone:
			return a.Zone < b.Zone
		case a.Rack != b.Rack:
			return a.Rack < b.Rack
		}
		return a.Name < b.Name
	})
}
