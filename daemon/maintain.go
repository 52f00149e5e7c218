package daemon

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/berylwharf/berylwharf/follower"
	"github.com/berylwharf/berylwharf/planner"
	"github.com/berylwharf/berylwharf/resource"
	"github.com/berylwharf/berylwharf/statelog"
	"github.com/berylwharf/berylwharf/vmapi"
)

const (
	planInterval = time.Second
	// proposeTimeout bounds one change by the planner. An unknown outcome is read from the next view.
	proposeTimeout = 5 * time.Second
	// requestInterval repeats a drain or reboot at the platform, whose answers can be lost. Both are harmless twice.
	requestInterval = 30 * time.Second
)

// maintainer carries out the plans for the pools of which this node is the home node. The home node is only a convention
// that saves work: every step changes the pool's maintenance resource, so that of two planners one gets a conflict.
type maintainer struct {
	d        *Daemon
	requests map[string]time.Time // last request to the platform, by kind and VM

	mu     sync.Mutex
	absent map[string]time.Time // when a VM was last seen unlisted
}

func newMaintainer(d *Daemon) *maintainer {
	return &maintainer{d: d, requests: make(map[string]time.Time), absent: make(map[string]time.Time)}
}

func (m *maintainer) run(ctx context.Context) {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if m.d.Ready() == "" {
			m.round(ctx)
		}
	}
}

// onVMList remembers which declared VMs are not listed.
func (m *maintainer) onVMList(list vmapi.VMList) {
	listed := make(map[string]bool, len(list.VMs))
	for _, vm := range list.VMs {
		listed[vm.Name] = true
	}
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	for vm := range activeVMs(m.d.follower.View()) {
		if !listed[vm] {
			m.absent[vm] = now
		}
	}
}

func (m *maintainer) restarted(vm string, since time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.absent[vm].After(since)
}

// observe returns the fleet as this node sees it. Idleness is asked from the platform and is therefore optional.
func (m *maintainer) observe(ctx context.Context, v *statelog.View, keep func(pool string) bool) *planner.Fleet {
	list, _ := m.d.poller.List()
	listed := make(map[string]vmapi.VM, len(list.VMs))
	for _, vm := range list.VMs {
		listed[vm.Name] = vm
	}
	return observeFleet(v, observation{
		listed:    listed,
		probe:     m.d.prober.result,
		idle:      func(vm string) bool { return m.idle(ctx, v, vm) },
		restarted: m.restarted,
	}, keep)
}

// idle tells whether all members have applied the newest change of the pool's maintenance without a request left on the
// VM, and the platform runs no task on it.
func (m *maintainer) idle(ctx context.Context, v *statelog.View, vm string) bool {
	spec, ok := v.Spec(vmResource(vm)).(*resource.VM)
	if !ok {
		return false
	}
	r := v.Get(resource.Key{Kind: resource.KindMaintenance, Name: spec.Pool})
	if r == nil || len(m.d.coord.ReleaseWaiting(vm, r.Version)) > 0 {
		return false
	}
	w, err := m.d.platform.Worker(ctx, vm)
	return err == nil && len(w.Tasks) == 0
}

// round plans once and carries out the steps of the pools homed here.
func (m *maintainer) round(ctx context.Context) {
	v := m.d.follower.View()
	m.repeatRequests(ctx, v)
	plan := planner.Compute(m.observe(ctx, v, m.homedPools(v)), deadlines(v), time.Now())
	pools := make(map[string][]planner.Step)
	for _, s := range plan.Steps {
		pool := poolOfStep(v, s)
		pools[pool] = append(pools[pool], s)
	}
	for pool, steps := range pools {
		if err := m.carryOut(ctx, v, pool, steps); err != nil {
			m.d.log.Warnf("fleet: steps for pool %s: %v", pool, err)
		}
	}
}

// homedPools returns a function that tells whether this node plans for a pool. The answer is fixed for one round.
func (m *maintainer) homedPools(v *statelog.View) func(pool string) bool {
	homed := make(map[string]bool)
	v.Each(resource.KindPool, func(r *resource.Resource, _ resource.Spec) bool {
		homed[r.Name] = m.d.coord.Homed("pool/" + r.Name)
		return true
	})
	return func(pool string) bool { return homed[pool] }
}

func poolOfStep(v *statelog.View, s planner.Step) string {
	if vm, ok := v.Spec(vmResource(s.VM)).(*resource.VM); ok {
		return vm.Pool
	}
	if w, ok := v.Spec(resource.Key{Kind: resource.KindWave, Name: s.Wave}).(*resource.Wave); ok {
		return w.Pool
	}
	return ""
}

// repeatRequests asks the platform to drain and reboot the VMs whose phase says so.
func (m *maintainer) repeatRequests(ctx context.Context, v *statelog.View) {
	for vm, a := range activeVMs(v) {
		spec := v.Spec(vmResource(vm)).(*resource.VM)
		if !m.d.coord.Homed("pool/" + spec.Pool) {
			continue
		}
		switch a.Phase {
		case resource.PhaseDraining:
			m.request(vm, "drain", func() error { return m.d.platform.DrainVM(ctx, vm) })
		case resource.PhaseRebooting:
			if !m.restarted(vm, time.UnixMilli(a.SinceMs)) {
				m.request(vm, "reboot", func() error { return m.d.platform.RebootVM(ctx, vm) })
			}
		}
	}
}

func (m *maintainer) request(vm, kind string, f func() error) {
	key := kind + " " + vm
	if time.Since(m.requests[key]) < requestInterval {
		return
	}
	m.requests[key] = time.Now()
	if err := f(); err != nil {
		m.d.log.Warnf("fleet: %s of %s: %v", kind, vm, err)
		return
	}
	m.d.log.Infof("fleet: asked the platform to %s %s", kind, vm)
}

// carryOut applies the steps of one pool. Changes of VMs and waves come first, so that a crash in between leaves a VM
// that is still out of service, never one that is in service without its result.
func (m *maintainer) carryOut(ctx context.Context, v *statelog.View, pool string, steps []planner.Step) error {
	key := resource.Key{Kind: resource.KindMaintenance, Name: pool}
	current, ok := v.Spec(key).(*resource.Maintenance)
	if !ok {
		current = &resource.Maintenance{}
	}
	next := &resource.Maintenance{Active: slices.Clone(current.Active)}
	for _, s := range steps {
		if err := m.record(ctx, v, s); err != nil {
			return err
		}
		applyStep(next, s, m.place(s.VM))
		m.d.log.Infof("fleet: %s %s%s: %s", s.Kind, s.VM, waveSuffix(s.Wave), s.Reason)
	}
	next.Active = slices.DeleteFunc(next.Active, func(a resource.ActiveVM) bool {
		vm, ok := v.Spec(vmResource(a.VM)).(*resource.VM)
		return !ok || vm.Pool != pool
	})
	if slices.Equal(next.Active, current.Active) {
		return nil
	}
	return m.put(ctx, v, key, next)
}

func waveSuffix(wave string) string {
	if wave == "" {
		return ""
	}
	return " in wave " + wave
}

func (m *maintainer) place(vm string) vmapi.VM {
	list, _ := m.d.poller.List()
	for _, e := range list.VMs {
		if e.Name == vm {
			return e
		}
	}
	return vmapi.VM{}
}

// phaseAfter maps steps to the phase that they begin. Steps that are not listed end the maintenance of their VM.
var phaseAfter = map[planner.StepKind]string{
	planner.StepDrain:   resource.PhaseDraining,
	planner.StepReboot:  resource.PhaseRebooting,
	planner.StepVerify:  resource.PhaseVerifying,
	planner.StepRelease: resource.PhaseReleasing,
}

func applyStep(next *resource.Maintenance, s planner.Step, place vmapi.VM) {
	if s.VM == "" {
		return
	}
	i := slices.IndexFunc(next.Active, func(a resource.ActiveVM) bool { return a.VM == s.VM })
	phase, begins := phaseAfter[s.Kind]
	switch {
	case !begins && i >= 0:
		next.Active = slices.Delete(next.Active, i, i+1)
	case begins && i >= 0:
		next.Active[i].Phase, next.Active[i].SinceMs = phase, time.Now().UnixMilli()
	case begins:
		next.Active = append(next.Active, resource.ActiveVM{
			VM: s.VM, Wave: s.Wave, Phase: phase, SinceMs: time.Now().UnixMilli(), Zone: place.Zone, Rack: place.Rack,
		})
	}
}

// record writes what a step changes outside of the maintenance resource: the result of a VM, its new pool, or the status
// of a stopped wave.
func (m *maintainer) record(ctx context.Context, v *statelog.View, s planner.Step) error {
	switch s.Kind {
	case planner.StepStopWave:
		status := &resource.WaveStatus{StopReason: s.Reason, ResumedAt: waveStatus(v, s.Wave).ResumedAt}
		return m.put(ctx, v, resource.Key{Kind: resource.KindWaveStatus, Name: s.Wave}, status)
	case planner.StepAssign:
		vm := *v.Spec(vmResource(s.VM)).(*resource.VM)
		vm.Pool, vm.Next = vm.Next, ""
		return m.put(ctx, v, vmResource(s.VM), &vm)
	case planner.StepReturn, planner.StepGiveUp, planner.StepCancel:
		if s.Wave == "" {
			return nil // a withdrawn move
		}
		status := &resource.VMStatus{LastWave: s.Wave, LastFailed: s.Kind != planner.StepReturn}
		return m.put(ctx, v, resource.Key{Kind: resource.KindVMStatus, Name: s.VM}, status)
	}
	return nil
}

// put proposes a spec on the version in a view.
func (m *maintainer) put(ctx context.Context, v *statelog.View, key resource.Key, spec resource.Spec) error {
	base := uint64(0)
	if r := v.Get(key); r != nil {
		base = r.Version
	}
	return m.propose(ctx, key, base, spec)
}

func (m *maintainer) propose(ctx context.Context, key resource.Key, base uint64, spec resource.Spec) error {
	data, err := json.Marshal(spec)
	if err != nil {
		return errors.Wrap(err, key.String())
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	out, err := m.d.follower.Propose(ctx, follower.Change{
		Op: statelog.OpPut, Key: key, Base: base, Author: "node " + m.d.cfg.Node, Spec: data,
	})
	if err != nil {
		return errors.Wrap(err, key.String())
	}
	if out.Status != statelog.StatusAccepted {
		return errors.Errorf("%s: the change is %s; planning again", key, out.Status)
	}
	return nil
}
