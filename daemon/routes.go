package daemon

import "context"

// maintainRoutingTable rebuilds the routing table whenever the declared state or the VM list changes. It starts after the
// state is completely loaded, because requests for services missing from a table of a partial state would be refused.
func (d *Daemon) maintainRoutingTable(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-d.follower.Loaded():
	}
	for {
		view := d.follower.View()
		if list, ok := d.poller.List(); ok {
			d.entry.SetTable(buildTable(view, list.VMs))
			d.tableOffset.Store(view.NextOffset)
		}
		select {
		case <-ctx.Done():
			return
		case <-d.follower.Changed(view):
		case <-d.tableUpdates:
		}
	}
}

// releasedInFlight returns the VMs in planned maintenance or being released to another pool on which this node still has
// requests in flight.
func (d *Daemon) releasedInFlight() []string {
	var busy []string
	for vm := range activeVMs(d.follower.View()) {
		if d.entry.InFlight(vm) > 0 {
			busy = append(busy, vm)
		}
	}
	return busy
}
