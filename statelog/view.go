package statelog

import (
	"github.com/berylwharf/berylwharf/resource"
)

// View is an immutable picture of the state at one offset. Callers must not modify what it returns.
type View struct {
	Next      uint64   // next offset to read; the view covers all records before it
	Hash      [32]byte // hash of the state; equal on all nodes at the same Next
	Members   []Member // of all regions, sorted by node name
	epochs    map[string]uint64
	resources map[resource.Key]*resource.Resource
	specs     map[resource.Key]resource.Spec
}

// Get returns a resource, or nil when it does not exist.
func (v *View) Get(k resource.Key) *resource.Resource { return v.resources[k] }

// Spec returns the decoded spec of a resource, or nil when it does not exist.
func (v *View) Spec(k resource.Key) resource.Spec { return v.specs[k] }

// Len returns the number of resources.
func (v *View) Len() int { return len(v.resources) }

// Each calls f for each resource of a kind, or of all kinds when kind is empty, in no particular order, until f returns
// false.
func (v *View) Each(kind resource.Kind, f func(*resource.Resource, resource.Spec) bool) {
	for k, r := range v.resources {
		if kind != "" && k.Kind != kind {
			continue
		}
		if !f(r, v.specs[k]) {
			return
		}
	}
}

// Epoch returns the membership epoch of a region: the offset of its last accepted membership record, 0 when there is
// none.
func (v *View) Epoch(region string) uint64 { return v.epochs[region] }

// RegionMembers returns the members of one region, sorted by node name.
func (v *View) RegionMembers(region string) []Member {
	var members []Member
	for _, m := range v.Members {
		if m.Region == region {
			members = append(members, m)
		}
	}
	return members
}
