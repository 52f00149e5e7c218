package planner

import "fmt"

// poolUsage counts the VMs of one pool and those that are unavailable.
type poolUsage struct {
	total       int
	unavailable int
	// maintenanceRack is the rack that has VMs in maintenance, empty if there is none.
	maintenanceRack string
}

// budgetTracker tracks the unavailable VMs of each pool against its budgets. The steps of one plan are counted in it, so
// that together they stay within every budget.
type budgetTracker struct {
	pools   map[string]*poolUsage
	minVMs  map[string]int
	budgets map[string]AvailabilityBudget // the strictest budget of each pool
}

// newBudgetTracker returns a tracker that counts all VMs of f. VMs that failed count like VMs taken out by plan, so that
// failures use up a budget before planned stops do.
func newBudgetTracker(f *Fleet) *budgetTracker {
	t := &budgetTracker{
		pools:   make(map[string]*poolUsage),
		minVMs:  make(map[string]int),
		budgets: make(map[string]AvailabilityBudget),
	}
	for _, p := range f.Pools {
		t.minVMs[p.Name] = p.MinVMs
	}
	for _, b := range f.Budgets {
		if cur, ok := t.budgets[b.Pool]; !ok || stricter(b, cur) {
			t.budgets[b.Pool] = b
		}
	}
	for i := range f.VMs {
		t.countVM(&f.VMs[i])
	}
	return t
}

// stricter reports whether a permits fewer unavailable VMs than b. Ties are broken by customer, so that the reported
// reason does not depend on the order of the input.
func stricter(a, b AvailabilityBudget) bool {
	if a.MaxUnavailable != b.MaxUnavailable {
		return a.MaxUnavailable < b.MaxUnavailable
	}
	return a.Customer < b.Customer
}

// usage returns the usage of a pool, creating it if necessary.
func (t *budgetTracker) usage(pool string) *poolUsage {
	u, ok := t.pools[pool]
	if !ok {
		u = &poolUsage{}
		t.pools[pool] = u
	}
	return u
}

// countVM adds a VM in its current state to its pool's usage.
func (t *budgetTracker) countVM(v *VM) {
	u := t.usage(v.Pool)
	u.total++
	if v.Available() {
		return
	}
	u.unavailable++
	if inMaintenance(v.Phase) {
		u.maintenanceRack = v.Rack
	}
}

func inMaintenance(p Phase) bool {
	return p == PhaseDraining || p == PhaseRebooting || p == PhaseVerifying
}

// reserveForMaintenance is like reserve, but also permits maintenance of a pool in only one rack, which is a failure
// domain, at a time.
func (t *budgetTracker) reserveForMaintenance(v *VM) (reason string) {
	u := t.usage(v.Pool)
	if u.maintenanceRack != "" && u.maintenanceRack != v.Rack {
		return fmt.Sprintf("pool %s has maintenance in rack %s; one failure domain at a time", v.Pool, u.maintenanceRack)
	}
	if reason := t.reserve(v); reason != "" {
		return reason
	}
	u.maintenanceRack = v.Rack
	return ""
}

// reserve counts v as unavailable by plan. It returns a reason and counts nothing if a budget or the pool's minimum size
// does not permit it. A VM that is already unavailable is always permitted and uses no budget.
func (t *budgetTracker) reserve(v *VM) (reason string) {
	if v.Available() {
		return t.reserveAvailable(v)
	}
	return ""
}

// reserveAvailable is reserve for a VM that is available.
func (t *budgetTracker) reserveAvailable(v *VM) (reason string) {
	u := t.usage(v.Pool)
	if b, ok := t.budgets[v.Pool]; ok && u.unavailable+1 > b.MaxUnavailable {
		remaining := max(b.MaxUnavailable-u.unavailable, 0)
		return fmt.Sprintf("customer %s has %d of %d unavailable VMs left in pool %s",
			b.Customer, remaining, b.MaxUnavailable, v.Pool)
	}
	if minimum := t.minVMs[v.Pool]; u.total-u.unavailable-1 < minimum {
		return fmt.Sprintf("pool %s has %d available VMs and needs %d", v.Pool, u.total-u.unavailable, minimum)
	}
	u.unavailable++
	return ""
}
