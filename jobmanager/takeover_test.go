package jobmanager

import (
	"context"
	"testing"
	"time"

	"github.com/berylwharf/berylwharf/job"
)

// deadlineStore records the timeouts of the calls of a takeover; 0 is none.
type deadlineStore struct {
	recordingStore
	load, claim time.Duration
}

func timeoutOf(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return time.Until(deadline)
}

func (s *deadlineStore) Load(ctx context.Context, _ int) ([]job.Record, int64, error) {
	s.load = timeoutOf(ctx)
	return nil, 0, nil
}

func (s *deadlineStore) Claim(ctx context.Context, _ int, _, _, _ int64, _ job.Record) error {
	s.claim = timeoutOf(ctx)
	return nil
}

// TestTimeoutsGrowWithData guards against a shard that is never taken over, and a commit that is never stored, because their
// transfers take longer than a fixed timeout.
func TestTimeoutsGrowWithData(t *testing.T) {
	store := &deadlineStore{}
	s := newTestShard(t, store)
	s.runInLoop(s.ctx, func(job.Time) {})
	if store.load != 0 || store.claim == 0 {
		t.Errorf("timeout of the load %v, want none; of the claim %v, want one", store.load, store.claim)
	}
	small, large := appendTimeout(nil), appendTimeout([]job.Record{{Key: "k", Value: make([]byte, 1<<20)}})
	if small != storeTimeout || large-small < 4*time.Second {
		t.Errorf("timeout of an empty append %v, of one of 1 MB %v", small, large)
	}
}
