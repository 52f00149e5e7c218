package daemon

import (
	"context"

	"github.com/berylwharf/berylwharf/coord"
	"github.com/berylwharf/berylwharf/follower"
)

// peerSource adapts coord.PeerSource to follower.PeerSource, so that the follower can fetch state from peers.
type peerSource struct{ coord.PeerSource }

// Fetch implements follower.PeerSource.
func (p *peerSource) Fetch(ctx context.Context, from uint64) (follower.PeerResponse, error) {
	answer, err := p.PeerSource.Fetch(ctx, from)
	return follower.PeerResponse(answer), err
}
