package operator

import (
	"context"

	"github.com/berylwharf/berylwharf/follower"
	"github.com/berylwharf/berylwharf/resource"
	"github.com/berylwharf/berylwharf/statelog"
)

// Snapshot is an immutable picture of the resources at one offset.
type Snapshot interface {
	// Next returns the next offset to read; the snapshot covers all records before it.
	Next() uint64
	// Get returns a resource, or nil when it does not exist.
	Get(resource.Key) *resource.Resource
	// Each calls f for each resource of a kind, or of all kinds when kind is empty, until f returns false.
	Each(kind resource.Kind, f func(*resource.Resource, resource.Spec) bool)
}

// Store is what the API needs of follower.Store.
type Store interface {
	// Current returns the newest snapshot. It never blocks.
	Current() Snapshot
	// Changed returns a channel that is closed when a snapshot newer than s, which Current returned, is available.
	Changed(s Snapshot) <-chan struct{}
	// Propose appends a change and waits until its outcome is known. Errors are *follower.ProposeError.
	Propose(ctx context.Context, c follower.Change) (statelog.Outcome, error)
	// Lookup returns the outcome of a record that is still remembered.
	Lookup(id statelog.RecordID) (statelog.Outcome, bool)
}

// FromFollower adapts a follower.Store.
func FromFollower(s follower.Store) Store { return followerStore{Store: s} }

type followerStore struct{ follower.Store }

func (f followerStore) Current() Snapshot { return viewSnapshot{View: f.View()} }

func (f followerStore) Changed(s Snapshot) <-chan struct{} {
	return f.Store.Changed(s.(viewSnapshot).View)
}

type viewSnapshot struct{ *statelog.View }

func (v viewSnapshot) Next() uint64 { return v.View.Next }
