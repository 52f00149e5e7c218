// Package follower replicates a statelog.State from the log service, from snapshots or from a peer. It publishes
// immutable views of the state and appends proposed changes to the log.
package follower

import (
	"context"

	"github.com/berylwharf/berylwharf/resource"
	"github.com/berylwharf/berylwharf/statelog"
)

// Change is a proposed change of one resource or of the membership.
type Change struct {
	// ID identifies the proposal, so that repeating it does not apply the change twice. A zero ID is replaced by a
	// random one.
	ID          statelog.RecordID
	Op          statelog.Op
	Key         resource.Key
	BaseVersion uint64
	Author      string
	Spec        []byte
	Member      *statelog.Member
}

// Store is the interface through which other packages read and change the shared state.
type Store interface {
	// View returns the newest view. It never blocks and never returns nil.
	View() *statelog.View
	// Changed returns a channel that is closed when a view newer than v is available.
	Changed(v *statelog.View) <-chan struct{}
	// Propose appends a change and waits until its outcome is known from the log. Errors are of type *ProposeError.
	Propose(ctx context.Context, c Change) (statelog.Outcome, error)
	// Lookup returns the outcome of a record whose identifier is still in the deduplication window.
	Lookup(id statelog.RecordID) (statelog.Outcome, bool)
}

// ProposeError is returned for a change without a known outcome. It states whether the change may still take effect.
type ProposeError struct {
	ID statelog.RecordID
	// MayTakeEffect is false only when every attempt failed with proof that it had no effect. An attempt that is in
	// flight when the context ends may take effect.
	MayTakeEffect bool
	Cause         error
}

// Error implements error.
func (e *ProposeError) Error() string {
	if e.MayTakeEffect {
		return "outcome unknown, ask for identifier " + e.ID.String() + ": " + e.Cause.Error()
	}
	return "not accepted: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ProposeError) Unwrap() error { return e.Cause }
