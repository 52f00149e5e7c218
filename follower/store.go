// Package follower keeps a statelog.State current from the platform's log, from snapshots or from a peer, proposes
// changes, and publishes immutable views.
package follower

import (
	"context"

	"github.com/berylwharf/berylwharf/resource"
	"github.com/berylwharf/berylwharf/statelog"
)

// Change is a proposed change of one resource or of the membership.
type Change struct {
	// ID makes a repeated proposal harmless. A zero ID is replaced by a random one.
	ID     statelog.RecordID
	Op     statelog.Op
	Key    resource.Key
	Base   uint64
	Author string
	Spec   []byte
	Member *statelog.Member
}

// Store is the shared state as other packages use it.
type Store interface {
	// View returns the newest applied view. It never blocks and never returns nil.
	View() *statelog.View
	// Changed returns a channel that is closed when a view newer than v is available.
	Changed(v *statelog.View) <-chan struct{}
	// Propose appends a change and waits until its outcome is known from the log. Errors are *ProposeError.
	Propose(ctx context.Context, c Change) (statelog.Outcome, error)
	// Lookup returns the outcome of a record that is still remembered.
	Lookup(id statelog.RecordID) (statelog.Outcome, bool)
}

// ProposeError tells whether a change whose outcome is not known may still take effect.
type ProposeError struct {
	ID statelog.RecordID
	// MayTakeEffect is false only when every attempt failed with proof that nothing took effect. An attempt that is on
	// its way when the context ends may take effect.
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
