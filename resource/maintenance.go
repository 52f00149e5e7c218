package resource

import "sort"

// Phases of a VM in maintenance, in their order.
const (
	PhaseDraining  = "draining"
	PhaseRebooting = "rebooting"
	PhaseVerifying = "verifying"
	// PhaseReleasing is the phase of a VM that moves to another pool.
	PhaseReleasing = "releasing"
)

var activePhases = map[string]bool{
	PhaseDraining: true, PhaseRebooting: true, PhaseVerifying: true, PhaseReleasing: true,
}

// maxActive bounds the VMs of one pool in maintenance at once.
const maxActive = 512

// Maintenance lists the VMs of one pool that are out of service by plan. Its name is the pool's. All planned stops of a
// pool change this one resource, so that the accept rule orders them and two planners cannot both use up the last of an
// availability budget.
type Maintenance struct {
	Active []ActiveVM `json:"active,omitempty"`
}

// ActiveVM is one VM in maintenance.
type ActiveVM struct {
	VM    string `json:"vm"`
	Wave  string `json:"wave,omitempty"` // empty for a VM that moves
	Phase string `json:"phase"`
	// SinceMs is the start of the phase by the planning node's clock, in milliseconds since 1970.
	SinceMs int64 `json:"sinceMs"`
	// Zone and Rack are kept because a VM that reboots is not in the VM list.
	Zone string `json:"zone,omitempty"`
	Rack string `json:"rack,omitempty"`
}

// SetDefaults implements Spec. It sorts the VMs, so that equal sets have equal encodings.
func (m *Maintenance) SetDefaults() {
	sort.Slice(m.Active, func(i, j int) bool { return m.Active[i].VM < m.Active[j].VM })
}

// Validate implements Spec.
func (m *Maintenance) Validate() error {
	if len(m.Active) > maxActive {
		return fieldErrorf("active", "%d VMs (permitted: at most %d)", len(m.Active), maxActive)
	}
	for i := range m.Active {
		a := &m.Active[i]
		switch {
		case !ValidName(a.VM):
			return fieldErrorf("active.vm", "%q is not a VM name", a.VM)
		case i > 0 && m.Active[i-1].VM == a.VM:
			return fieldErrorf("active.vm", "%q is listed twice", a.VM)
		case !activePhases[a.Phase]:
			return fieldErrorf("active.phase", "%q (permitted: draining, rebooting, verifying, releasing)", a.Phase)
		case a.Phase == PhaseReleasing && a.Wave != "":
			return fieldErrorf("active.wave", "a VM that is released belongs to no wave")
		case a.Phase != PhaseReleasing && !ValidName(a.Wave):
			return fieldErrorf("active.wave", "%q is not a wave name", a.Wave)
		}
	}
	return nil
}
