package statelog

import (
	"sort"

	"github.com/berylwharf/berylwharf/resource"
)

// View is an immutable, read-only view of the state at one offset. Callers must not modify the values that it returns.
// The zero View is empty.
type View struct {
	NextOffset uint64   // next offset to apply; the view includes all records before it
	Hash       [32]byte // hash of the state; equal on all nodes with the same NextOffset
	Members    []Member // members of all regions, sorted by node name
	epochs     map[string]regionEpoch
	tables     []*table // by kindIndex; nil for a kind that has had no resources yet
}

func (v *View) table(k resource.Kind) *table {
	i, ok := kindIndex[k]
	if !ok || i >= len(v.tables) {
		return nil
	}
	return v.tables[i]
}

// Get returns a resource, or nil when it does not exist.
func (v *View) Get(k resource.Key) *resource.Resource {
	if it := v.table(k.Kind).get(k.Name); it != nil {
		return it.res
	}
	return nil
}

// Spec returns the decoded spec of a resource, or nil when it does not exist.
func (v *View) Spec(k resource.Key) resource.Spec {
	if it := v.table(k.Kind).get(k.Name); it != nil {
		return it.spec
	}
	return nil
}

// Len returns the number of resources of all kinds.
func (v *View) Len() int {
	count := 0
	for _, t := range v.tables {
		if t != nil {
			count += t.count
		}
	}
	return count
}

// Each calls f for each resource of a kind, or of all kinds when kind is empty, in no particular order, until f returns
// false.
func (v *View) Each(kind resource.Kind, f func(*resource.Resource, resource.Spec) bool) {
	visit := func(it *resourceEntry) bool { return f(it.res, it.spec) }
	if kind != "" {
		v.table(kind).each(visit)
		return
	}
	for _, t := range v.tables {
		if !t.each(visit) {
			return
		}
	}
}

// Epoch returns the membership epoch of a region, which is the offset of its last accepted membership record, or 0 when
// there is none.
func (v *View) Epoch(region string) uint64 { return v.epochs[region].epoch }

// LastRemoval returns the offset of the last record that removed a member of a region or replaced its incarnation, or 0
// when there is none.
func (v *View) LastRemoval(region string) uint64 { return v.epochs[region].lastRemoval }

// Member returns the member with a node name and whether it exists.
func (v *View) Member(node string) (Member, bool) {
	i := sort.Search(len(v.Members), func(i int) bool { return v.Members[i].Node >= node })
	if i == len(v.Members) || v.Members[i].Node != node {
		return Member{}, false
	}
	return v.Members[i], true
}

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

// Diff calls f for each resource that differs between an older view and this one: before is nil for a new resource,
// after is nil for a deleted one. When both views come from the same State, the cost depends on the number of changes,
// not on the number of resources.
func (v *View) Diff(old *View, f func(before, after *resource.Resource)) {
	for _, k := range resource.Kinds() {
		a, b := old.table(k), v.table(k)
		if a == b {
			continue
		}
		var before, after [shardCount][]*resourceEntry
		if a != nil {
			before = a.shards
		}
		if b != nil {
			after = b.shards
		}
		for i := range before {
			if !sameShard(before[i], after[i]) {
				diffShard(before[i], after[i], f)
			}
		}
	}
}

// diffShard calls f for the differences of two shards, which are sorted by name.
func diffShard(a, b []*resourceEntry, f func(before, after *resource.Resource)) {
	for len(a) > 0 || len(b) > 0 {
		switch {
		case len(b) == 0 || len(a) > 0 && a[0].res.Name < b[0].res.Name:
			f(a[0].res, nil)
			a = a[1:]
		case len(a) == 0 || b[0].res.Name < a[0].res.Name:
			f(nil, b[0].res)
			b = b[1:]
		default:
			if a[0].res.Version != b[0].res.Version {
				f(a[0].res, b[0].res)
			}
			a, b = a[1:], b[1:]
		}
	}
}
