package jobmanager

import (
	"testing"
	"time"

	"github.com/berylwharf/berylwharf/job"
)

// TestRefusedConnectionIsNoAnswer guards against a lease that is extended for ever on a worker which is gone: orders to its
// address were refused each 0.6 s, counted as answers, and the tasks that were booked there never started elsewhere.
func TestRefusedConnectionIsNoAnswer(t *testing.T) {
	s := storeNode(t, &recordingStore{})
	n := s.node
	var l *link
	s.call(n.ctx, func(now job.Time) { l = newLink(s, s.pool("p", now), "w") })
	answered := func(result job.Result, err error) bool {
		l.finish(n.ctx, job.Order{Kind: job.OrderStop, Worker: "w"}, result, err)
		var at time.Duration
		s.call(n.ctx, func(job.Time) {
			at = l.answered
			l.answered = 0
		})
		return at > 0
	}
	for _, r := range []job.Result{job.ResultRefused, job.ResultNoAnswer} {
		if answered(r, nil) {
			t.Errorf("result %d counts as an answer of the worker", r)
		}
	}
	if answered(job.ResultRefused, ErrLifeOver) {
		t.Error("the answer of another life counts as one of the worker")
	}
	if !answered(job.ResultDone, nil) {
		t.Error("an answer does not count")
	}
}
