package resource

import "sort"

// Phases of a VM in maintenance. A wave takes a VM through draining, rebooting and verifying, in this order.
const (
	PhaseDraining  = "draining"
	PhaseRebooting = "rebooting"
	PhaseVerifying = "verifying"
	// PhaseReleasing is the only phase of a VM that moves to another pool.
	PhaseReleasing = "releasing"
)

var activePhases = map[string]bool{
	PhaseDraining: true, PhaseRebooting: true, PhaseVerifying: true, PhaseReleasing: true,
}

// maxActiveVMs limits how many VMs of one pool may be in maintenance at the same time.
const maxActiveVMs = 512

// Maintenance lists the VMs of one pool that are out of service for planned maintenance or a move. It has the name of the
// pool. Taking any VM of the pool out of service changes this one resource. The accept rule therefore serializes these
// changes, and two planners cannot both spend the last unit of an availability budget.
type Maintenance struct {
	Active []ActiveVM `json:"active,omitempty"`
}

// ActiveVM is one VM in maintenance.
type ActiveVM struct {
	VM    string `json:"vm"`
	Wave  string `json:"wave,omitempty"` // empty for a VM that moves to another pool
	Phase string `json:"phase"`
	// SinceMs is the start time of the phase by the clock of the planning node, in Unix milliseconds.
	SinceMs int64 `json:"sinceMs"`
	// Zone and Rack are stored here because a VM is missing from the VM list while it reboots.
	Zone string `json:"zone,omitempty"`
	Rack string `json:"rack,omitempty"`
}

// SetDefaults implements Spec. It sorts the VMs by name, so that equal sets have equal encodings.
func (m *Maintenance) SetDefaults() {
	sort.Slice(m.Active, func(i, j int) bool { return m.Active[i].VM < m.Active[j].VM })
}

// Validate implements Spec.
func (m *Maintenance) Validate() error {
	if len(m.Active) > maxActiveVMs {
		return fieldErrorf("active", "%d VMs (permitted: at most %d)", len(m.Active), maxActiveVMs)
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
