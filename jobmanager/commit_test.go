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

// faultyStore answers appends according to its mode.
type faultyStore struct {
	mode    atomic.Int32
	unblock chan struct{} // closed to unblock hanging calls
}

const (
	storeUp int32 = iota
	storeRejects
	storeHangs
	storeFences
)

func (s *faultyStore) Load(context.Context, int) ([]job.Record, int64, error) { return nil, 0, nil }

func (s *faultyStore) End(context.Context, int) (int64, error) { return 0, nil }

func (s *faultyStore) Claim(context.Context, int, int64, int64, int64, job.Record) error { return nil }

func (s *faultyStore) Append(ctx context.Context, _ int, _, _ int64, _ []job.Record) error {
	switch s.mode.Load() {
	case storeRejects:
		return errors.Wrap(ErrNoEffect, "status 503")
	case storeFences:
		return ErrFenced
	case storeHangs:
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.unblock:
		}
	}
	return nil
}

// newTestShard returns shard 1 of a node that owns it on the given store.
func newTestShard(t *testing.T, store Store) *shard {
	t.Helper()
	n := &Node{
		settings: &Settings{Node: "n", Shards: 1, Limits: Limits{MaxLeaseMs: 5000, StatusS: 60, CallBytes: 1 << 20}},
		clock:    SystemClock{}, store: store, log: NewLog(io.Discard, "n"), metrics: newNodeMetrics(),
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.entries.Store(&directoryView{})
	n.shardPools.Store(&map[int][]string{1: {"p"}})
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
	return &job.Spec{ID: id, Pool: "p", Queue: "q", Attempts: 1, ObjectiveFactor: 100, ObjectiveMargin: time.Hour, Steps: []job.Step{{Count: 1, Estimate: time.Second}}}
}

func submission(id string) call { return call{Pool: "p", ID: id, Spec: testSpec(id)} }

// TestRejectingStoreRefusesAtOnce guards against callers that wait for a job until their deadline and are then told
// that its outcome is unknown, although the store reported for every append that it had no effect.
func TestRejectingStoreRefusesAtOnce(t *testing.T) {
	store := &faultyStore{}
	store.mode.Store(storeRejects)
	s := newTestShard(t, store)
	if o := s.submit(context.Background(), submission("a")); !errors.Is(o.err, errStoreDown) {
		t.Fatalf("outcome %+v, want a refusal", o)
	}
	if o := s.submit(context.Background(), submission("b")); !errors.Is(o.err, errStoreDown) {
		t.Fatalf("outcome %+v of the next job, want a refusal", o)
	}
	store.mode.Store(storeUp)
	for end := time.Now().Add(time.Minute); ; time.Sleep(10 * time.Millisecond) {
		if o := s.submit(context.Background(), submission("c")); o.err == nil && o.answer == job.Accepted {
			break
		}
		if time.Now().After(end) {
			t.Fatal("no job is accepted after the store has returned")
		}
	}
	if r := s.jobState(context.Background(), call{Pool: "p", ID: "a"}); r.Code != codeUnknown {
		t.Errorf("the state of the refused job: code %d, want %d", r.Code, codeUnknown)
	}
}

// TestUnresponsiveStoreRefusesUnsentJobs guards against refusing a job too late while the store does not answer, and
// against refusing a job as not run that was already sent to the store.
func TestUnresponsiveStoreRefusesUnsentJobs(t *testing.T) {
	store := &faultyStore{unblock: make(chan struct{})}
	store.mode.Store(storeHangs)
	s := newTestShard(t, store)
	sent := make(chan outcome, 1)
	go func() { sent <- s.submit(context.Background(), submission("sent")) }()
	for outstanding := false; !outstanding; time.Sleep(time.Millisecond) {
		s.runInLoop(context.Background(), func(job.Time) { outstanding = s.commitStartedAt != 0 })
	}
	if o := s.submit(context.Background(), submission("waits")); !errors.Is(o.err, errStoreDown) {
		t.Fatalf("outcome %+v of the job that was not sent, want a refusal", o)
	}
	select {
	case o := <-sent:
		t.Fatalf("outcome %+v of the job that was sent, want none yet", o)
	default:
	}
	store.mode.Store(storeUp)
	close(store.unblock)
	if o := <-sent; o.err != nil || o.answer != job.Accepted {
		t.Fatalf("outcome %+v of the job that was sent, want its acceptance", o)
	}
}

// TestFirstRefusalOfAnOutage guards against the first callers of an outage being sent away for the longest delay, because
// the time since which the store fails is not known yet.
func TestFirstRefusalOfAnOutage(t *testing.T) {
	now := job.Time{Steady: time.Hour}
	for _, s := range []*shard{
		{commitStartedAt: now.Steady - commitStallTimeout - time.Millisecond},
		{refuseUntil: now.Steady + refusalPeriod},
	} {
		if !s.storeUnavailable(now) {
			t.Fatal("the store is available")
		}
		if o := s.storeDownOutcome(now); o.retry != minRetryAfter {
			t.Errorf("callers return in %v, want %v", o.retry, minRetryAfter)
		}
	}
}

// TestRetryAfterGrowsWithTheOutage guards against callers that use up their retries within an outage of a few seconds.
func TestRetryAfterGrowsWithTheOutage(t *testing.T) {
	for _, c := range []struct{ age, want time.Duration }{
		{0, minRetryAfter}, {2 * time.Second, 2 * time.Second}, {time.Minute, maxRetryAfter},
	} {
		if got := retryAfter(c.age); got != c.want {
			t.Errorf("after %v callers return in %v, want %v", c.age, got, c.want)
		}
	}
}
