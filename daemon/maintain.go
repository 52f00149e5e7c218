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
	// proposeTimeout limits one proposed change. If the outcome is unknown, the next plan is based on a view that shows it.
	proposeTimeout = 5 * time.Second
	// requestInterval is the time after which a drain or reboot request to the platform is repeated, because its response
	// may have been lost. Both requests may safely be sent twice.
	requestInterval = 30 * time.Second
)

// maintainer plans and performs maintenance for the pools of which this node is the home node. The home node only avoids
// duplicate work and is not needed for safety: every step changes the maintenance resource of the pool, so if two nodes plan
// for a pool, one of them gets a conflict.
type maintainer struct {
	d           *Daemon
	lastRequest map[string]time.Time // time of the last request to the platform, by kind and VM

	mu         sync.Mutex
	lastAbsent map[string]time.Time // time at which a VM was last found absent from the VM list
}

func newMaintainer(d *Daemon) *maintainer {
	return &maintainer{d: d, lastRequest: make(map[string]time.Time), lastAbsent: make(map[string]time.Time)}
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
			m.reconcile(ctx)
		}
	}
}

// onVMList records which VMs in maintenance are absent from the VM list.
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
			m.lastAbsent[vm] = now
		}
	}
}

func (m *maintainer) restarted(vm string, since time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lastAbsent[vm].After(since)
}

// observe returns the fleet as observed by this node. The observation calls the platform to find out whether a VM is idle.
func (m *maintainer) observe(ctx context.Context, v *statelog.View, inScope func(pool string) bool) *planner.Fleet {
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
	}, inScope)
}

// idle reports whether all members have applied the latest change of the pool's maintenance resource and have no requests in
// flight on the VM, and the platform runs no task on it. If the platform cannot be asked, the VM does not count as idle.
func (m *maintainer) idle(ctx context.Context, v *statelog.View, vm string) bool {
	spec, ok := v.Spec(vmResource(vm)).(*resource.VM)
	if !ok {
		return false
	}
	r := v.Get(resource.Key{Kind: resource.KindMaintenance, Name: spec.Pool})
	if r == nil || len(m.d.coord.UnacknowledgedMembers(vm, r.Version)) > 0 {
		return false
	}
	w, err := m.d.platform.Worker(ctx, vm)
	return err == nil && len(w.Tasks) == 0
}

// reconcile computes one plan and applies the steps for the pools of which this node is the home node.
func (m *maintainer) reconcile(ctx context.Context) {
	v := m.d.follower.View()
	m.repeatRequests(ctx, v)
	plan := planner.Compute(m.observe(ctx, v, m.homedPools(v)), deadlines(v), time.Now())
	pools := make(map[string][]planner.Step)
	for _, s := range plan.Steps {
		pool := poolOfStep(v, s)
		pools[pool] = append(pools[pool], s)
	}
	for pool, steps := range pools {
		if err := m.applySteps(ctx, v, pool, steps); err != nil {
			m.d.log.Warnf("fleet: maintenance steps of pool %s not completed: %v", pool, err)
		}
	}
}

// homedPools returns a function that reports whether this node is the home node of a pool. The home nodes are determined
// once, so that they cannot change during a call of reconcile.
func (m *maintainer) homedPools(v *statelog.View) func(pool string) bool {
	homed := make(map[string]bool)
	v.Each(resource.KindPool, func(r *resource.Resource, _ resource.Spec) bool {
		homed[r.Name] = m.d.coord.IsHomeNode("pool/" + r.Name)
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

// repeatRequests requests the platform to drain the VMs in phase draining and to reboot the VMs in phase rebooting, until
// their phase ends.
func (m *maintainer) repeatRequests(ctx context.Context, v *statelog.View) {
	for vm, a := range activeVMs(v) {
		spec := v.Spec(vmResource(vm)).(*resource.VM)
		if !m.d.coord.IsHomeNode("pool/" + spec.Pool) {
			continue
		}
		switch a.Phase {
		case resource.PhaseDraining:
			m.sendRequest(vm, "drain", func() error { return m.d.platform.DrainVM(ctx, vm) })
		case resource.PhaseRebooting:
			if !m.restarted(vm, time.UnixMilli(a.SinceMs)) {
				m.sendRequest(vm, "reboot", func() error { return m.d.platform.RebootVM(ctx, vm) })
			}
		}
	}
}

func (m *maintainer) sendRequest(vm, kind string, send func() error) {
	key := kind + " " + vm
	if time.Since(m.lastRequest[key]) < requestInterval {
		return
	}
	m.lastRequest[key] = time.Now()
	if err := send(); err != nil {
		m.d.log.Warnf("fleet: platform request to %s %s failed: %v", kind, vm, err)
		return
	}
	m.d.log.Infof("fleet: requested the platform to %s %s", kind, vm)
}

// applySteps applies the steps of one pool. Changes of VMs and waves are written before the change of the pool's maintenance
// resource. A crash in between therefore leaves a VM out of service, and never returns one to service without its result.
func (m *maintainer) applySteps(ctx context.Context, v *statelog.View, pool string, steps []planner.Step) error {
	key := resource.Key{Kind: resource.KindMaintenance, Name: pool}
	current, ok := v.Spec(key).(*resource.Maintenance)
	if !ok {
		current = &resource.Maintenance{}
	}
	next := &resource.Maintenance{Active: slices.Clone(current.Active)}
	for _, s := range steps {
		if err := m.recordOutcome(ctx, v, s); err != nil {
			return err
		}
		applyStep(next, s, m.listedVM(s.VM))
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

func (m *maintainer) listedVM(vm string) vmapi.VM {
	list, _ := m.d.poller.List()
	for _, e := range list.VMs {
		if e.Name == vm {
			return e
		}
	}
	return vmapi.VM{}
}

// phaseOfStep maps steps to the phase that they begin. All other steps with a VM end the maintenance of that VM.
var phaseOfStep = map[planner.StepKind]string{
	planner.StepDrain:   resource.PhaseDraining,
	planner.StepReboot:  resource.PhaseRebooting,
	planner.StepVerify:  resource.PhaseVerifying,
	planner.StepRelease: resource.PhaseReleasing,
}

func applyStep(next *resource.Maintenance, s planner.Step, listed vmapi.VM) {
	if s.VM == "" {
		return
	}
	i := slices.IndexFunc(next.Active, func(a resource.ActiveVM) bool { return a.VM == s.VM })
	phase, begins := phaseOfStep[s.Kind]
	switch {
	case !begins && i >= 0:
		next.Active = slices.Delete(next.Active, i, i+1)
	case begins && i >= 0:
		next.Active[i].Phase, next.Active[i].SinceMs = phase, time.Now().UnixMilli()
	case begins:
		next.Active = append(next.Active, resource.ActiveVM{
			VM: s.VM, Wave: s.Wave, Phase: phase, SinceMs: time.Now().UnixMilli(), Zone: listed.Zone, Rack: listed.Rack,
		})
	}
}

// recordOutcome writes the changes of a step to resources other than the maintenance resource: the result of a VM, its new
// pool, or the status of a stopped wave.
func (m *maintainer) recordOutcome(ctx context.Context, v *statelog.View, s planner.Step) error {
	switch s.Kind {
	case planner.StepStopWave:
		status := &resource.WaveStatus{StopReason: s.Reason, ResumedAt: waveStatus(v, s.Wave).ResumedAt}
		return m.put(ctx, v, resource.Key{Kind: resource.KindWaveStatus, Name: s.Wave}, status)
	case planner.StepAssign:
		vm := *v.Spec(vmResource(s.VM)).(*resource.VM)
		vm.Pool, vm.NextPool = vm.NextPool, ""
		return m.put(ctx, v, vmResource(s.VM), &vm)
	case planner.StepReturn, planner.StepGiveUp, planner.StepCancel:
		if s.Wave == "" {
			return nil // a cancelled move has no result
		}
		status := &resource.VMStatus{LastWave: s.Wave, LastFailed: s.Kind != planner.StepReturn}
		return m.put(ctx, v, resource.Key{Kind: resource.KindVMStatus, Name: s.VM}, status)
	}
	return nil
}

// put proposes a spec with the version in the view as the base version.
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
		Op: statelog.OpPut, Key: key, BaseVersion: base, Author: "node " + m.d.cfg.Node, Spec: data,
	})
	if err != nil {
		return errors.Wrap(err, key.String())
	}
	if out.Status != statelog.StatusAccepted {
		return errors.Errorf("%s: change not accepted (%s), will plan again", key, out.Status)
	}
	return nil
}
