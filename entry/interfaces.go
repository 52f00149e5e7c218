package entry

import (
	"context"
	"time"

	"github.com/berylwharf/berylwharf/claims"
)

// Claims decides whether an attempt of a non-repeatable request with a request identifier may run.
type Claims interface {
	// Begin claims the identifier. first states that the caller declared its first attempt.
	Begin(ctx context.Context, key claims.Key, fp claims.Fingerprint, first bool) claims.Decision
	// Finish records how a granted attempt ended. It must be called once for each ResultGranted.
	Finish(key claims.Key, phase claims.Phase, answer *claims.Answer)
}

// Slots hands out permissions to run one request on a worker.
type Slots interface {
	// Acquire takes one slot on one of the candidates, which are VM names in order of preference, and waits until one
	// is free or ctx ends.
	Acquire(ctx context.Context, candidates []string) (vm string, err error)
	// Return gives a slot back. A quarantine above zero keeps the slot out of use for that long, because the backend
	// server may still be working on the request.
	Return(vm string, quarantine time.Duration)
}
