package entry

import (
	"context"
	"time"

	"github.com/berylwharf/berylwharf/claims"
)

// Claims decides whether an attempt of a non-repeatable request with a request identifier may run.
type Claims interface {
	// Begin claims the identifier. first reports whether the caller declared this as its first attempt.
	Begin(ctx context.Context, key claims.Key, fp claims.Fingerprint, first bool) claims.Decision
	// Finish records the outcome of a granted attempt. It must be called exactly once for each ResultGranted.
	Finish(key claims.Key, phase claims.Phase, answer *claims.StoredResponse)
}

// Slots grants permissions to run one request on a worker.
type Slots interface {
	// Acquire acquires a slot on one of the candidates, which are VM names in order of preference. It blocks until a slot
	// is free or ctx is done.
	Acquire(ctx context.Context, candidates []string) (vm string, err error)
	// Return releases a slot. A positive quarantine keeps the slot out of use for that time, because the backend server
	// may still be processing the request.
	Return(vm string, quarantine time.Duration)
}
