package daemon

import (
	"cmp"
	"slices"
	"time"

	"github.com/berylwharf/berylwharf/planner"
	"github.com/berylwharf/berylwharf/resource"
	"github.com/berylwharf/berylwharf/routing"
	"github.com/berylwharf/berylwharf/statelog"
	"github.com/berylwharf/berylwharf/vmapi"
)

// maintenanceConfig is the name of the config resource that overrides the default deadlines of maintenance phases. Its
// values are durations such as "10m".
const maintenanceConfig = "maintenance"

// activeVMs returns the VMs in planned maintenance or being released to another pool, by name. An entry of a pool's
// maintenance resource is ignored if the VM does not belong to that pool.
func activeVMs(v *statelog.View) map[string]resource.ActiveVM {
	active := make(map[string]resource.ActiveVM)
	v.Each(resource.KindMaintenance, func(r *resource.Resource, spec resource.Spec) bool {
		for _, a := range spec.(*resource.Maintenance).Active {
			if vm, ok := v.Spec(vmResource(a.VM)).(*resource.VM); ok && vm.Pool == r.Name {
				active[a.VM] = a
			}
		}
		return true
	})
	return active
}

func vmResource(name string) resource.Key { return resource.Key{Kind: resource.KindVM, Name: name} }

// observation is the information about VMs that a node has in addition to the declared state.
type observation struct {
	listed map[string]vmapi.VM
	probe  func(vm string) routing.Probe
	// idle reports whether all members have acknowledged the release of the VM and no request or task runs there.
	idle func(vm string) bool
	// restarted reports whether the VM was absent from the VM list at some time after since.
	restarted func(vm string, since time.Time) bool
}

// observeFleet combines the declared state with the observation of this node. It includes only the VMs and waves of pools
// for which inScope returns true, but all pools and budgets.
func observeFleet(v *statelog.View, o observation, inScope func(pool string) bool) *planner.Fleet {
	f := &planner.Fleet{}
	active := activeVMs(v)
	v.Each(resource.KindVM, func(r *resource.Resource, spec resource.Spec) bool {
		if vm := spec.(*resource.VM); inScope(vm.Pool) {
			f.VMs = append(f.VMs, observeVM(r.Name, vm, active, o))
		}
		return true
	})
	v.Each(resource.KindPool, func(r *resource.Resource, spec resource.Spec) bool {
		f.Pools = append(f.Pools, planner.Pool{Name: r.Name, MinVMs: spec.(*resource.Pool).MinVMs})
		return true
	})
	v.Each(resource.KindCustomer, func(r *resource.Resource, spec resource.Spec) bool {
		for pool, b := range spec.(*resource.Customer).AvailabilityBudget {
			f.Budgets = append(f.Budgets, planner.AvailabilityBudget{Customer: r.Name, Pool: pool, MaxUnavailable: b.MaxUnavailable})
		}
		return true
	})
	v.Each(resource.KindWave, func(r *resource.Resource, spec resource.Spec) bool {
		if w := spec.(*resource.Wave); inScope(w.Pool) {
			f.Waves = append(f.Waves, observeWave(v, r, w))
		}
		return true
	})
	return f
}

func observeVM(name string, spec *resource.VM, active map[string]resource.ActiveVM, o observation) planner.VM {
	listed, ok := o.listed[name]
	p := o.probe(name)
	vm := planner.VM{
		Name: name, Zone: listed.Zone, Rack: listed.Rack, Pool: spec.Pool, Drained: spec.Drain, NextPool: spec.NextPool,
		Healthy: ok && listed.State == vmapi.StateLive && p != routing.ProbeFailed && p != routing.ProbeLeaving,
	}
	a, ok := active[name]
	if !ok {
		return vm
	}
	vm.Phase, vm.Wave, vm.PhaseSince = planner.Phase(a.Phase), a.Wave, time.UnixMilli(a.SinceMs)
	vm.Zone, vm.Rack = a.Zone, a.Rack
	switch a.Phase {
	case resource.PhaseDraining, resource.PhaseReleasing:
		vm.Idle = o.idle(name)
	case resource.PhaseRebooting:
		vm.Rebooted = o.restarted(name, vm.PhaseSince)
	}
	return vm
}

// observeWave collects the results of a wave from the status of its VMs, in the order in which the results were recorded.
func observeWave(v *statelog.View, r *resource.Resource, spec *resource.Wave) planner.Wave {
	w := planner.Wave{
		Name: r.Name, Pool: spec.Pool, FirstVMs: spec.FirstVMs, FirstGroup: spec.FirstGroup, MaxParallel: spec.MaxParallel,
		Paused: spec.Paused,
	}
	status := waveStatus(v, r.Name)
	w.StopReason = status.StopReason
	type vmResult struct {
		version uint64
		result  planner.MaintenanceResult
	}
	var results []vmResult
	v.Each(resource.KindVMStatus, func(vm *resource.Resource, s resource.Spec) bool {
		spec := s.(*resource.VMStatus)
		if spec.LastWave == r.Name {
			failed := spec.LastFailed && vm.Version > status.ResumedAt
			results = append(results, vmResult{vm.Version, planner.MaintenanceResult{VM: vm.Name, Failed: failed}})
		}
		return true
	})
	slices.SortFunc(results, func(a, b vmResult) int { return cmp.Compare(a.version, b.version) })
	for _, e := range results {
		w.Results = append(w.Results, e.result)
	}
	return w
}

// waveStatus returns the status of a wave, or an empty status if none is recorded.
func waveStatus(v *statelog.View, wave string) *resource.WaveStatus {
	if s, ok := v.Spec(resource.Key{Kind: resource.KindWaveStatus, Name: wave}).(*resource.WaveStatus); ok {
		return s
	}
	return &resource.WaveStatus{}
}

// deadlines returns the deadlines of maintenance phases with the operators' overrides. It ignores values that are not
// positive durations.
func deadlines(v *statelog.View) planner.Deadlines {
	d := planner.DefaultDeadlines()
	c, ok := v.Spec(resource.Key{Kind: resource.KindConfig, Name: maintenanceConfig}).(*resource.Config)
	if !ok {
		return d
	}
	for name, target := range map[string]*time.Duration{
		"drain": &d.Drain, "reboot": &d.Reboot, "verify": &d.Verify, "healthProof": &d.HealthProof,
	} {
		if value, err := time.ParseDuration(c.Values[name]); err == nil && value > 0 {
			*target = value
		}
	}
	return d
}
