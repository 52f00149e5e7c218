package jobmanager

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/berylwharf/berylwharf/job"
)

// recordingStore records appends. An append of the claim, which a release makes, waits until it is let go.
type recordingStore struct {
	mu      sync.Mutex
	seqs    []int64
	release chan struct{}
	began   chan struct{}
}

func (s *recordingStore) Load(context.Context, int) ([]job.Record, int64, error) { return nil, 0, nil }

func (s *recordingStore) Claim(context.Context, int, int64, int64, job.Record) error { return nil }

func (s *recordingStore) Append(_ context.Context, _ int, _, seq int64, records []job.Record) error {
	s.mu.Lock()
	s.seqs = append(s.seqs, seq)
	s.mu.Unlock()
	if records[0].Key == claimKey {
		close(s.began)
		<-s.release
	}
	return nil
}

// TestReleaseIsTheLastAppend guards against a commit that has the number of the release: the store takes it for a repetition
// and drops it, a worker forgets the ends that it contained, and their tasks are started again.
func TestReleaseIsTheLastAppend(t *testing.T) {
	store := &recordingStore{release: make(chan struct{}), began: make(chan struct{})}
	s := storeNode(t, store)
	n := s.node
	submit := func(id string) {
		s.call(n.ctx, func(now job.Time) {
			s.pool("p", now).Submit(&job.Spec{ID: id, Pool: "p", Attempts: 1, Steps: []job.Step{{Count: 1}}}, now)
		})
	}
	submit("a")
	released := make(chan struct{})
	go func() {
		s.release()
		close(released)
	}()
	<-store.began
	submit("b")
	time.Sleep(4 * commitEvery)
	close(store.release)
	<-released
	n.cancel()
	n.wg.Wait()
	seen := make(map[int64]bool)
	for _, seq := range store.seqs {
		if seen[seq] {
			t.Fatalf("two appends have one number: %v", store.seqs)
		}
		seen[seq] = true
	}
}
