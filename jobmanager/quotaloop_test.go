package jobmanager

import (
	"context"
	"net/http"
	"testing"

	"github.com/berylwharf/berylwharf/job"
	"github.com/berylwharf/berylwharf/quota"
	"github.com/berylwharf/berylwharf/verdict"
)

// TestCapsReachThePools guards against pools without grants, against calls in a configuration without caps, and against callers
// that are told to retry a job that can never run.
func TestCapsReachThePools(t *testing.T) {
	s := newTestShard(t, &recordingStore{})
	n := s.node
	n.shards = map[int]*shard{0: s}
	n.refreshOwners = make(chan struct{}, 1)
	config := &Config{Version: 1, Routes: []Route{{Pool: "p"}, {Pool: "other"}}, Customers: []Customer{{Name: "c"}}}
	n.config.Store(config)
	s.runInLoop(n.ctx, func(job.Time) {})
	q := newQuotaLoop(s)
	if q.round(); q.allocator != nil {
		t.Error("the allocator runs without a cap")
	}
	n.config.Store(&Config{Version: 2, Routes: config.Routes, Customers: []Customer{{Name: "c", Limits: job.CustomerLimits{Cap: job.Resources{CPU: 4000}}}}})
	for range 3 {
		q.round()
	}
	var sum quota.Amount
	for _, pool := range []string{"p", "other"} {
		r := s.quotaRound(n.ctx, call{Pool: pool, Quota: &quota.Offer{Epoch: s.epoch}})
		sum = sum.Add(r.Quota.Granted["c"])
	}
	if sum[quota.CPU] != 4000 {
		t.Errorf("granted %v in all pools, want the whole cap", sum)
	}
	s.runInLoop(n.ctx, func(now job.Time) { s.syncPools(now) })
	spec := testSpec("large")
	spec.Customer, spec.Steps[0].Request = "c", job.Resources{CPU: 4001}
	err := n.Submit(context.Background(), QueueRef{Pool: "p"}, spec)
	if e := verdict.From(err); err == nil || e.Status != http.StatusTooManyRequests || e.Reason != verdict.ReasonQuota || e.Verdict != verdict.NotRun || e.RetryAfter != 0 {
		t.Errorf("submission beyond the cap: %v", err)
	}
	s.quotaRound(n.ctx, call{Pool: "p", Quota: &quota.Offer{Epoch: s.epoch + 1}})
	if q.round() {
		t.Error("the allocator goes on although a pool knows a later one")
	}
}
