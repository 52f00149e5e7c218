package planner

import "fmt"

// poolUse counts the VMs of one pool.
type poolUse struct {
	total       int
	unavailable int
	// domain is the rack whose VMs are out of service by plan, empty when none is.
	domain string
}

// ledger tracks, for each pool, what is unavailable and what its budgets permit. Steps of one plan are booked in it, so
// that several steps together keep every budget.
type ledger struct {
	pools   map[string]*poolUse
	minVMs  map[string]int
	budgets map[string]Budget // the tightest budget of each pool
}

// newLedger books all VMs. Unplanned failures count like planned stops, so that they use up a budget first.
func newLedger(f *Fleet) *ledger {
	l := &ledger{
		pools:   make(map[string]*poolUse),
		minVMs:  make(map[string]int),
		budgets: make(map[string]Budget),
	}
	for _, p := range f.Pools {
		l.minVMs[p.Name] = p.MinVMs
	}
	for _, b := range f.Budgets {
		if cur, ok := l.budgets[b.Pool]; !ok || tighter(b, cur) {
			l.budgets[b.Pool] = b
		}
	}
	for i := range f.VMs {
		l.book(&f.VMs[i])
	}
	return l
}

// tighter orders budgets by size, then by customer so that the reason given does not depend on input order.
func tighter(a, b Budget) bool {
	if a.MaxUnavailable != b.MaxUnavailable {
		return a.MaxUnavailable < b.MaxUnavailable
	}
	return a.Customer < b.Customer
}

func (l *ledger) use(pool string) *poolUse {
	u, ok := l.pools[pool]
	if !ok {
		u = &poolUse{}
		l.pools[pool] = u
	}
	return u
}

func (l *ledger) book(v *VM) {
	u := l.use(v.Pool)
	u.total++
	if v.Available() {
		return
	}
	u.unavailable++
	if inMaintenance(v.Phase) {
		u.domain = v.Rack
	}
}

func inMaintenance(p Phase) bool {
	return p == PhaseDraining || p == PhaseRebooting || p == PhaseVerifying
}

// takeOutForMaintenance is takeOut with the rule of one failure domain at a time.
func (l *ledger) takeOutForMaintenance(v *VM) (reason string) {
	u := l.use(v.Pool)
	if u.domain != "" && u.domain != v.Rack {
		return fmt.Sprintf("pool %s has maintenance in rack %s; one failure domain at a time", v.Pool, u.domain)
	}
	if reason := l.takeOut(v); reason != "" {
		return reason
	}
	u.domain = v.Rack
	return ""
}

// takeOut books one more VM as unavailable by plan. It returns a reason and books nothing when a budget or the pool's
// lower bound does not permit it. A VM that is unavailable already costs nothing.
func (l *ledger) takeOut(v *VM) (reason string) {
	if v.Available() {
		return l.spend(v)
	}
	return ""
}

func (l *ledger) spend(v *VM) (reason string) {
	u := l.use(v.Pool)
	if b, ok := l.budgets[v.Pool]; ok && u.unavailable+1 > b.MaxUnavailable {
		left := max(b.MaxUnavailable-u.unavailable, 0)
		return fmt.Sprintf("customer %s has %d of %d unavailable VMs left in pool %s",
			b.Customer, left, b.MaxUnavailable, v.Pool)
	}
	if low := l.minVMs[v.Pool]; u.total-u.unavailable-1 < low {
		return fmt.Sprintf("pool %s has %d available VMs and needs %d", v.Pool, u.total-u.unavailable, low)
	}
	u.unavailable++
	return ""
}
