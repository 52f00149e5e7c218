package operator

import (
	"context"

	"github.com/berylwharf/berylwharf/follower"
	"github.com/berylwharf/berylwharf/resource"
	"github.com/berylwharf/berylwharf/statelog"
)

// Snapshot is an immutable view of the resources at one log offset.
type Snapshot interface {
	// NextOffset returns the next offset to read; the snapshot includes all records before it.
	NextOffset() uint64
	// Get returns a resource, or nil if it does not exist.
	Get(resource.Key) *resource.Resource
	// Each calls f for each resource of a kind, or of all kinds if kind is empty, until f returns false.
	Each(kind resource.Kind, f func(*resource.Resource, resource.Spec) bool)
}

// Store is the part of follower.Store that the API uses.
type Store interface {
	// Current returns the newest snapshot without blocking.
	Current() Snapshot
	// Changed returns a channel that is closed once a snapshot newer than s is available. s must come from Current.
	Changed(s Snapshot) <-chan struct{}
	// Propose appends a change and waits until its outcome is known. Errors are *follower.ProposeError.
	Propose(ctx context.Context, c follower.Change) (statelog.Outcome, error)
	// Lookup returns the outcome of a record, or false if none is kept for it.
	Lookup(id statelog.RecordID) (statelog.Outcome, bool)
}

// FromFollower adapts a follower.Store to Store.
func FromFollower(s follower.Store) Store { return followerStore{Store: s} }

type followerStore struct{ follower.Store }

func (f followerStore) Current() Snapshot { return viewSnapshot{View: f.View()} }

func (f followerStore) Changed(s Snapshot) <-chan struct{} {
	return f.Store.Changed(s.(viewSnapshot).View)
}

type viewSnapshot struct{ *statelog.View }

func (v viewSnapshot) NextOffset() uint64 { return v.View.NextOffset }
