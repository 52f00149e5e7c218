package daemon

import (
	"sort"

	"github.com/berylwharf/berylwharf/resource"
	"github.com/berylwharf/berylwharf/routing"
	"github.com/berylwharf/berylwharf/statelog"
	"github.com/berylwharf/berylwharf/vmapi"
)

// buildTable builds the routing table from the declared state and the platform's VM list. A VM gets new requests for the
// services of its pool only while the list reports it as live, it is not declared as drained, and it is not in planned
// maintenance or being released to another pool.
func buildTable(v *statelog.View, vms []vmapi.VM) *routing.Table {
	pools := backendsByPool(v, vms)
	t := &routing.Table{
		Services:  make(map[string]*routing.Service),
		Hosts:     make(map[string]string),
		Customers: make(map[string]*resource.Customer),
	}
	v.Each(resource.KindService, func(r *resource.Resource, spec resource.Spec) bool {
		s := spec.(*resource.Service)
		t.Services[r.Name] = &routing.Service{Name: r.Name, Spec: s, Backends: pools[s.Pool]}
		addHosts(t, r.Name, s.Hosts)
		return true
	})
	v.Each(resource.KindCustomer, func(r *resource.Resource, spec resource.Spec) bool {
		t.Customers[r.Name] = spec.(*resource.Customer)
		return true
	})
	return t
}

// addHosts maps host names to a service. If two services declare the same host, it is mapped to the service whose name sorts
// first, so that all nodes have the same mapping.
func addHosts(t *routing.Table, service string, hosts []string) {
	for _, h := range hosts {
		if other, taken := t.Hosts[h]; taken && other < service {
			continue
		}
		t.Hosts[h] = service
	}
}

func backendsByPool(v *statelog.View, vms []vmapi.VM) map[string][]routing.Backend {
	pools := make(map[string][]routing.Backend)
	active := activeVMs(v)
	for _, vm := range vms {
		if vm.Role != vmapi.RoleWorker || vm.State != vmapi.StateLive {
			continue
		}
		pool, ok := poolOf(v, vm.Name)
		if _, inMaintenance := active[vm.Name]; !ok || inMaintenance {
			continue
		}
		pools[pool] = append(pools[pool], routing.Backend{VM: vm.Name, Zone: vm.Zone, Rack: vm.Rack, Addr: vm.Addr})
	}
	for _, b := range pools {
		sort.Slice(b, func(i, j int) bool { return b[i].VM < b[j].VM })
	}
	return pools
}

// poolOf returns the pool for which a VM gets new requests. A VM that is to move serves its old pool until it is released.
func poolOf(v *statelog.View, vm string) (string, bool) {
	spec, ok := v.Spec(vmResource(vm)).(*resource.VM)
	if !ok || spec.Drain {
		return "", false
	}
	return spec.Pool, true
}
