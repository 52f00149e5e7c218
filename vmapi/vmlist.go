package vmapi

import (
	"fmt"
	"net/netip"
	"slices"
	"sort"

	"github.com/pkg/errors"

	"github.com/berylwharf/berylwharf/resource"
)

// Validate returns an error that names the first invalid entry and field of a VM list. A list without as_of or without
// the field vms is malformed; an empty array is a valid list of no VMs.
func (l *VMList) Validate() error {
	if l.AsOf.IsZero() {
		return errors.New("as_of is missing")
	}
	if l.VMs == nil {
		return errors.New("vms is missing")
	}
	seen := make(map[string]int, len(l.VMs))
	for i := range l.VMs {
		vm := &l.VMs[i]
		if err := vm.Validate(); err != nil {
			return errors.Wrapf(err, "vms[%d]", i)
		}
		if first, ok := seen[vm.Name]; ok {
			return fmt.Errorf("vms[%d]: name %q is also used by vms[%d]", i, vm.Name, first)
		}
		seen[vm.Name] = i
	}
	return nil
}

// Validate returns an error that names the first invalid field of a VM list entry and, for a role or state, the permitted
// values.
func (v *VM) Validate() error {
	if err := (resource.Key{Kind: resource.KindVM, Name: v.Name}).Validate(); err != nil {
		return err
	}
	if v.Zone == "" {
		return fmt.Errorf("%s: zone is empty", v.Name)
	}
	if v.Role != RoleWorker && v.Role != RoleEntry {
		return fmt.Errorf("%s: role %q (permitted: worker, entry)", v.Name, v.Role)
	}
	if v.State != StateLive && v.State != StateLeaving {
		return fmt.Errorf("%s: state %q (permitted: live, leaving)", v.Name, v.State)
	}
	addr, err := netip.ParseAddrPort(v.Addr)
	if err != nil || addr.Port() == 0 {
		return fmt.Errorf("%s: addr %q is not ip:port", v.Name, v.Addr)
	}
	if v.Role == RoleEntry && v.Node == "" {
		return fmt.Errorf("%s: node is empty for an entry VM", v.Name)
	}
	return nil
}

func (l *VMList) sort() {
	sort.Slice(l.VMs, func(i, j int) bool { return l.VMs[i].Name < l.VMs[j].Name })
}

// sameVMs reports whether two sorted lists have equal entries. It ignores AsOf.
func sameVMs(a, b VMList) bool { return slices.Equal(a.VMs, b.VMs) }
