package peer

import (
	"context"
	"slices"
	"sync"
)

// maxHandshakes is the maximum number of accepted connections that are not yet authenticated.
const maxHandshakes = 32

// pendingHandshakes are the handshakes of accepted connections, the oldest first. When there are too many, the oldest is ended: a
// node completes its handshake within a few round trips, so those that take long are not of nodes.
type pendingHandshakes struct {
	mu   sync.Mutex
	list []*pendingHandshake
}

type pendingHandshake struct{ cancel context.CancelCauseFunc }

// begin adds a handshake, which must be removed by end. The context is cancelled when the handshake must end.
func (p *pendingHandshakes) begin(ctx context.Context) (context.Context, *pendingHandshake) {
	ctx, cancel := context.WithCancelCause(ctx)
	h := &pendingHandshake{cancel}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list = append(p.list, h)
	if len(p.list) > maxHandshakes {
		p.list[0].cancel(errTooManyHandshakes)
		p.list = slices.Delete(p.list, 0, 1)
	}
	return ctx, h
}

// end removes a handshake.
func (p *pendingHandshakes) end(h *pendingHandshake) {
	h.cancel(nil)
	p.mu.Lock()
	defer p.mu.Unlock()
	if i := slices.Index(p.list, h); i >= 0 {
		p.list = slices.Delete(p.list, i, i+1)
	}
}
