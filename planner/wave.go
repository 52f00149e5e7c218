package planner

import (
	"fmt"
	"sort"
)

const (
	// correlationWindow is the number of most recent results in which failures are counted.
	correlationWindow = 10
	// correlatedFailureThreshold is the number of failures in the window that stops a wave. On an ordinary day 82 of 10,000
	// VMs fail, so that two failures among ten VMs are unlikely to be a coincidence.
	correlatedFailureThreshold = 2
)

// planWave adds the step that stops the wave, the reason why it waits, or the steps that start maintenance of its next
// VMs.
func (p *Plan) planWave(f *Fleet, t *budgetTracker, w *Wave) {
	if w.StopReason != "" {
		p.addBlockedWave(w, "stopped: "+w.StopReason)
		return
	}
	if reason := failureCorrelation(w); reason != "" {
		p.Steps = append(p.Steps, Step{Kind: StepStopWave, Wave: w.Name, Reason: reason})
		return
	}
	if w.Paused {
		p.addBlockedWave(w, "paused by an operator")
		return
	}
	p.startNext(f, t, w)
}

// failureCorrelation returns a reason if the failures of a wave are unlikely to be independent, and an empty string
// otherwise. One failure in the first group is enough, because that group exists to detect faults shared by all VMs.
func failureCorrelation(w *Wave) string {
	failures, last := 0, ""
	for i, r := range w.Results {
		if r.Failed && i < w.FirstGroup {
			return fmt.Sprintf("VM %s of the first group failed", r.VM)
		}
		if r.Failed && i >= len(w.Results)-correlationWindow {
			failures++
			last = r.VM
		}
	}
	if failures >= correlatedFailureThreshold {
		n := min(len(w.Results), correlationWindow)
		return fmt.Sprintf("%d of the last %d VMs failed, the last one is %s", failures, n, last)
	}
	return ""
}

// startNext adds drain steps for the next VMs in order until the wave's parallelism or a budget is reached.
func (p *Plan) startNext(f *Fleet, t *budgetTracker, w *Wave) {
	next, active := waveCandidates(f, w)
	if len(next) == 0 {
		if active > 0 {
			p.addBlockedWave(w, fmt.Sprintf("%d VMs in maintenance, none left to start", active))
		}
		return
	}
	limit := w.MaxParallel
	if len(w.Results) < w.FirstGroup {
		// Other VMs start only after the whole first group has finished.
		limit = min(limit, w.FirstGroup-len(w.Results))
	}
	started := 0
	for _, v := range next {
		if active+started >= limit {
			p.addBlockedWave(w, fmt.Sprintf("%d VMs in maintenance, at most %d now", active+started, limit))
			return
		}
		if reason := t.reserveForMaintenance(v); reason != "" {
			p.Waiting = append(p.Waiting, Blocked{Wave: w.Name, VM: v.Name, Reason: reason})
			return
		}
		p.Steps = append(p.Steps, Step{Kind: StepDrain, Wave: w.Name, VM: v.Name, Reason: "next in the wave"})
		started++
	}
}

// waveCandidates returns the VMs whose maintenance the wave has yet to start, in order, and the number of VMs that it has
// in maintenance. VMs drained by an operator are left out, because the operator may be working on them.
func waveCandidates(f *Fleet, w *Wave) (next []*VM, active int) {
	finished := make(map[string]bool, len(w.Results))
	for _, r := range w.Results {
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
		case v.Phase == PhaseServing && !v.Drained && v.NextPool == "":
			next = append(next, v)
		}
	}
	orderCandidates(next, w.FirstVMs)
	return next, active
}

// orderCandidates sorts by the declared order, then unhealthy VMs first (their maintenance uses no budget), then by zone
// and rack, so that one failure domain is finished before the next one begins.
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
