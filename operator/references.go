package operator

import (
	"net/http"
	"slices"
	"sort"
	"strings"

	"github.com/berylwharf/berylwharf/resource"
)

// poolReference is a field of a spec that refers to a pool.
type poolReference struct {
	field string
	pool  string
}

// poolReferences returns the references of a spec to pools.
func poolReferences(spec resource.Spec) []poolReference {
	switch s := spec.(type) {
	case *resource.Service:
		return []poolReference{{"pool", s.Pool}}
	case *resource.Wave:
		return []poolReference{{"pool", s.Pool}}
	case *resource.VM:
		refs := []poolReference{{"pool", s.Pool}}
		if s.NextPool != "" {
			refs = append(refs, poolReference{"next", s.NextPool})
		}
		return refs
	case *resource.Customer:
		var refs []poolReference
		for pool := range s.AvailabilityBudget {
			refs = append(refs, poolReference{"availabilityBudget." + pool, pool})
		}
		sort.Slice(refs, func(i, j int) bool { return refs[i].pool < refs[j].pool })
		return refs
	}
	return nil
}

// checkReferences returns an error if the spec refers to a pool that does not exist. The check uses this node's snapshot.
// It therefore misses a concurrent deletion of the pool, which leaves a dangling reference.
func checkReferences(s Snapshot, key resource.Key, spec resource.Spec) *Error {
	for _, ref := range poolReferences(spec) {
		pool := resource.Key{Kind: resource.KindPool, Name: ref.pool}
		if s.Get(pool) != nil {
			continue
		}
		err := errorf(http.StatusUnprocessableEntity, CodeMissingReference, "spec."+ref.field,
			"%s names %s, which does not exist", key, pool)
		err.References = []resource.Key{pool}
		return err
	}
	return nil
}

// maxListedReferrers limits the number of resources that the message of CodeInUse lists. Error.References contains all.
const maxListedReferrers = 5

// checkUnreferenced returns an error if other resources refer to the pool that is to be deleted.
func checkUnreferenced(s Snapshot, key resource.Key) *Error {
	if key.Kind != resource.KindPool {
		return nil
	}
	var referrers []resource.Key
	s.Each("", func(r *resource.Resource, spec resource.Spec) bool {
		if slices.ContainsFunc(poolReferences(spec), func(ref poolReference) bool { return ref.pool == key.Name }) {
			referrers = append(referrers, r.Key)
		}
		return true
	})
	if len(referrers) == 0 {
		return nil
	}
	sort.Slice(referrers, func(i, j int) bool { return referrers[i].Less(referrers[j]) })
	var names []string
	for _, referrer := range referrers[:min(len(referrers), maxListedReferrers)] {
		names = append(names, referrer.String())
	}
	if len(referrers) > maxListedReferrers {
		names = append(names, "...")
	}
	err := errorf(http.StatusUnprocessableEntity, CodeInUse, "", "%s is used by %s", key, strings.Join(names, ", "))
	err.References = referrers
	return err
}
