package daemon

import "github.com/rcrowley/go-metrics"

// registerGauges registers gauges for the coordination status and the state log position of this node.
func (d *Daemon) registerGauges() {
	gauges := map[string]func() int64{
		"coord.members":           func() int64 { return int64(len(d.coord.Status().Members)) },
		"coord.slots.free":        func() int64 { return int64(d.coord.Status().FreeSlots) },
		"coord.slots.held":        func() int64 { return int64(d.coord.Status().HeldSlots) },
		"coord.slots.in-use":      func() int64 { return int64(d.coord.Status().InUse) },
		"coord.slots.quarantined": func() int64 { return int64(d.coord.Status().Quarantined) },
		"coord.claims":            func() int64 { return int64(d.coord.Status().Claims) },
		"follower.next":           func() int64 { return int64(d.follower.View().NextOffset) },
		"follower.pending":        func() int64 { return int64(d.follower.Status().Pending) },
	}
	for name, value := range gauges {
		// Register fails only for a duplicate name, and the names are distinct constants.
		_ = d.registry.Register(name, metrics.NewFunctionalGauge(value))
	}
}
