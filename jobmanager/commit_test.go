package jobmanager

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/berylwharf/berylwharf/job"
)

// faultyStore answers appends as its mode says.
type faultyStore struct {
	mode  atomic.Int32
	stuck chan struct{} // closed to end silent calls
}

const (
	storeUp int32 = iota
	storeTurnsAway
	storeSilent
)

func (s *faultyStore) Load(context.Context, int) ([]job.Record, int64, error) { return nil, 0, nil }

func (s *faultyStore) Claim(context.Context, int, int64, int64, job.Record) error { return nil }

func (s *faultyStore) Append(ctx context.Context, _ int, _, _ int64, _ []job.Record) error {
	switch s.mode.Load() {
	case storeTurnsAway:
		return errors.Wrap(ErrNoEffect, "status 503")
	case storeSilent:
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.stuck:
		}
	}
	return nil
}

// storeNode returns a node that owns shard 1 on a store.
func storeNode(t *testing.T, store Store) *shard {
	t.Helper()
	n := &Node{
		settings: &Settings{Node: "n", Shards: 1, Bounds: Bounds{MaxLeaseMs: 5000, StatusS: 60, CallBytes: 1 << 20}},
		clock:    SystemClock{}, store: store, log: NewLog(io.Discard, "n"), metrics: newNodeMetrics(),
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.entries.Store(&directoryView{})
	n.confirmedUntil.Store(int64(n.clock.Now().Steady + time.Hour))
	s := newShard(n, 1)
	n.wg.Go(s.run)
	t.Cleanup(func() {
		n.cancel()
		n.wg.Wait()
	})
	return s
}

func testSpec(id string) *job.Spec {
	return &job.Spec{ID: id, Pool: "p", Queue: "q", Attempts: 1, Slack: 100, Grace: time.Hour, Steps: []job.Step{{Count: 1, Estimate: time.Second}}}
}

// TestStoreThatTurnsAwayRefusesAtOnce guards against callers who wait for a job until their deadline and then hear that its
// outcome is not known, while the store said of each append that it did nothing.
func TestStoreThatTurnsAwayRefusesAtOnce(t *testing.T) {
	store := &faultyStore{}
	store.mode.Store(storeTurnsAway)
	s := storeNode(t, store)
	if o := s.submit(context.Background(), testSpec("a")); !errors.Is(o.err, errStoreDown) {
		t.Fatalf("outcome %+v, want a refusal", o)
	}
	if o := s.submit(context.Background(), testSpec("b")); !errors.Is(o.err, errStoreDown) {
		t.Fatalf("outcome %+v of the next job, want a refusal", o)
	}
	store.mode.Store(storeUp)
	for end := time.Now().Add(time.Minute); ; time.Sleep(10 * time.Millisecond) {
		if o := s.submit(context.Background(), testSpec("c")); o.err == nil && o.answer == job.Accepted {
			break
		}
		if time.Now().After(end) {
			t.Fatal("no job is accepted after the store has returned")
		}
	}
	if _, known, err := s.stateOf(context.Background(), "p", "a"); err != nil || known {
		t.Errorf("the refused job: known %v, error %v", known, err)
	}
}

// TestSilentStoreRefusesWhatWasNotSent guards against a true refusal that is given too late, and against a false one of a job
// that was sent to the store.
func TestSilentStoreRefusesWhatWasNotSent(t *testing.T) {
	store := &faultyStore{stuck: make(chan struct{})}
	store.mode.Store(storeSilent)
	s := storeNode(t, store)
	sent := make(chan outcome, 1)
	go func() { sent <- s.submit(context.Background(), testSpec("sent")) }()
	for outstanding := false; !outstanding; time.Sleep(time.Millisecond) {
		s.call(context.Background(), func(job.Time) { outstanding = s.commitAt != 0 })
	}
	if o := s.submit(context.Background(), testSpec("waits")); !errors.Is(o.err, errStoreDown) {
		t.Fatalf("outcome %+v of the job that was not sent, want a refusal", o)
	}
	select {
	case o := <-sent:
		t.Fatalf("outcome %+v of the job that was sent, want none yet", o)
	default:
	}
	store.mode.Store(storeUp)
	close(store.stuck)
	if o := <-sent; o.err != nil || o.answer != job.Accepted {
		t.Fatalf("outcome %+v of the job that was sent, want its acceptance", o)
	}
}

// TestRetryAfterGrowsWithTheOutage guards against callers that use up their repeats within an outage of a few seconds.
func TestRetryAfterGrowsWithTheOutage(t *testing.T) {
	for _, c := range []struct{ age, want time.Duration }{
		{0, retryAfterTrouble}, {2 * time.Second, 2 * time.Second}, {time.Minute, maxRetryAfterTrouble},
	} {
		if got := retryAfter(c.age); got != c.want {
			t.Errorf("after %v callers return in %v, want %v", c.age, got, c.want)
		}
	}
}
