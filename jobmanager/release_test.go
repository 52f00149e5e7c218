package jobmanager

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/berylwharf/berylwharf/job"
)

// recordingStore records the numbers of appends. The append of a claim record, which a release makes, blocks until it
// is released.
type recordingStore struct {
	mu           sync.Mutex
	seqs         []int64
	release      chan struct{}
	releaseBegan chan struct{}
}

func (s *recordingStore) Load(context.Context, int) ([]job.Record, int64, error) { return nil, 0, nil }

func (s *recordingStore) End(context.Context, int) (int64, error) { return 0, nil }

func (s *recordingStore) Claim(context.Context, int, int64, int64, int64, job.Record) error {
	return nil
}

func (s *recordingStore) Append(_ context.Context, _ int, _, seq int64, records []job.Record) error {
	s.mu.Lock()
	s.seqs = append(s.seqs, seq)
	s.mu.Unlock()
	if records[0].Key == claimKey {
		close(s.releaseBegan)
		<-s.release
	}
	return nil
}

// TestReleaseIsTheLastAppend guards against a commit with the same number as the release. The store drops the commit as
// a repetition while the worker discards the run ends in it, and their tasks are started again.
func TestReleaseIsTheLastAppend(t *testing.T) {
	store := &recordingStore{release: make(chan struct{}), releaseBegan: make(chan struct{})}
	s := newTestShard(t, store)
	n := s.node
	submit := func(id string) {
		s.runInLoop(n.ctx, func(now job.Time) {
			s.pool("p", now).Submit(&job.Spec{ID: id, Pool: "p", Attempts: 1, Steps: []job.Step{{Count: 1}}}, now)
		})
	}
	submit("a")
	released := make(chan struct{})
	go func() {
		s.release()
		close(released)
	}()
	<-store.releaseBegan
	submit("b")
	time.Sleep(4 * commitInterval)
	close(store.release)
	<-released
	n.cancel()
	n.wg.Wait()
	seen := make(map[int64]bool)
	for _, seq := range store.seqs {
		if seen[seq] {
			t.Fatalf("two appends have the same number: %v", store.seqs)
		}
		seen[seq] = true
	}
}
