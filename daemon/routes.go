package daemon

import "context"

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
			d.routedNext.Store(view.Next)
		}
		select {
		case <-ctx.Done():
			return
		case <-d.follower.Changed(view):
		case <-d.routes:
		}
	}
}

// releasedInFlight returns the VMs out of service by plan on which this node still has requests.
func (d *Daemon) releasedInFlight() []string {
	var busy []string
	for vm := range activeVMs(d.follower.View()) {
		if d.entry.InFlight(vm) > 0 {
			busy = append(busy, vm)
		}
	}
	return busy
}
