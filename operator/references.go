package operator

import (
	"net/http"
	"slices"
	"sort"
	"strings"

	"github.com/berylwharf/berylwharf/resource"
)

// reference is a field of a spec that names a pool.
type reference struct {
	field string
	pool  string
}

// references returns the pools that a spec names.
func references(spec resource.Spec) []reference {
	switch s := spec.(type) {
	case *resource.Service:
		return []reference{{"pool", s.Pool}}
	case *resource.Wave:
		return []reference{{"pool", s.Pool}}
	case *resource.VM:
		refs := []reference{{"pool", s.Pool}}
		if s.Next != "" {
			refs = append(refs, reference{"next", s.Next})
		}
		return refs
	case *resource.Customer:
		var refs []reference
		for pool := range s.AvailabilityBudget {
			refs = append(refs, reference{"availabilityBudget." + pool, pool})
		}
		sort.Slice(refs, func(i, j int) bool { return refs[i].pool < refs[j].pool })
		return refs
	}
	return nil
}

// checkReferences returns an error when the spec names a pool that does not exist. The check is made against this
// node's snapshot: a pool that is deleted at the same moment can still leave a reference to it.
func checkReferences(s Snapshot, key resource.Key, spec resource.Spec) *Error {
	for _, ref := range references(spec) {
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

// maxNamedUsers bounds the users of a pool that a message names; all are in References.
const maxNamedUsers = 5

// checkUnused returns an error when other resources name the pool that is to be deleted.
func checkUnused(s Snapshot, key resource.Key) *Error {
	if key.Kind != resource.KindPool {
		return nil
	}
	var users []resource.Key
	s.Each("", func(r *resource.Resource, spec resource.Spec) bool {
		if slices.ContainsFunc(references(spec), func(ref reference) bool { return ref.pool == key.Name }) {
			users = append(users, r.Key)
		}
		return true
	})
	if len(users) == 0 {
		return nil
	}
	sort.Slice(users, func(i, j int) bool { return users[i].Less(users[j]) })
	var names []string
	for _, u := range users[:min(len(users), maxNamedUsers)] {
		names = append(names, u.String())
	}
	if len(users) > maxNamedUsers {
		names = append(names, "...")
	}
	err := errorf(http.StatusUnprocessableEntity, CodeInUse, "", "%s is used by %s", key, strings.Join(names, ", "))
	err.References = users
	return err
}
