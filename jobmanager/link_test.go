package jobmanager

import (
	"testing"
	"time"

	"github.com/berylwharf/berylwharf/job"
)

// TestRefusedConnectionIsNoAnswer guards against a lease that is extended indefinitely on a worker that no longer
// exists. Orders to its address were refused every 0.6 s and counted as answers, so the tasks assigned to it never
// started elsewhere.
func TestRefusedConnectionIsNoAnswer(t *testing.T) {
	s := newTestShard(t, &recordingStore{})
	n := s.node
	var l *link
	s.runInLoop(n.ctx, func(now job.Time) { l = newLink(s, s.pool("p", now), "w") })
	answered := func(result job.Result, err error) bool {
		l.handleResult(n.ctx, Target{}, job.Order{Kind: job.OrderStop, Worker: "w"}, result, err)
		var at time.Duration
		s.runInLoop(n.ctx, func(job.Time) {
			at = l.lastAnswerAt
			l.lastAnswerAt = 0
		})
		return at > 0
	}
	for _, r := range []job.Result{job.ResultRefused, job.ResultNoAnswer} {
		if answered(r, nil) {
			t.Errorf("result %d counts as an answer of the worker", r)
		}
	}
	if answered(job.ResultRefused, ErrIncarnationEnded) {
		t.Error("the answer of another incarnation counts as one of the worker")
	}
	if !answered(job.ResultDone, nil) {
		t.Error("an answer does not count")
	}
}
