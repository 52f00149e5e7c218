package daemon

import (
	"context"

	"github.com/berylwharf/berylwharf/resource"
)

// keepRoutes rebuilds the routing table when the declared state or the VM list changes. It starts once the state is
// complete: a table from half a state would refuse services that exist.
func (d *Daemon) keepRoutes(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-d.follower.Loaded():
	}
	for {
		view := d.follower.View()
		if list, ok := d.poller.List(); ok {
			d.entry.SetTable(buildTable(view, list.VMs))
			d.routed.Store(true)
		}
		select {
		case <-ctx.Done():
			return
		case <-d.follower.Changed(view):
		case <-d.routes:
		}
	}
}

// releasedInFlight returns the VMs under hand-over on which this node still has requests.
func (d *Daemon) releasedInFlight() []string {
	var busy []string
	d.follower.View().Each(resource.KindVM, func(r *resource.Resource, spec resource.Spec) bool {
		if spec.(*resource.VM).Next != "" && d.entry.InFlight(r.Name) > 0 {
			busy = append(busy, r.Name)
		}
		return true
	})
	return busy
}
