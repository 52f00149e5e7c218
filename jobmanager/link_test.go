package jobmanager

import (
	"context"
	"sync/atomic"
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

// TestAcknowledgementIsSentOnce guards against a worker that restarts and then receives the acknowledgement of an earlier
// incarnation's run ends again: it forgot its own ends, and their tasks were started again. That the acknowledgement does
// not wait at the worker is tested with the platform's client, which sends it.
func TestAcknowledgementIsSentOnce(t *testing.T) {
	s := newTestShard(t, &recordingStore{})
	s.node.workers = &countingWorkers{}
	var l *link
	var acks []RenewLeaseRequest
	s.runInLoop(s.node.ctx, func(now job.Time) {
		p := s.pool("p", now)
		p.UpdateDirectory([]job.WorkerInfo{{ID: "w", Capacity: job.Resources{CPU: 1000}}}, now)
		l = newLink(s, p, "w")
		l.lastAnswerAt = now.Steady
		report := job.Report{Worker: "w", Incarnation: 1, SentAt: now.Steady}
		report.Ended = []job.EndedTask{{Seq: 4, Task: job.TaskID{Job: "x"}, Run: 1, Outcome: job.EndDone}}
		p.Report(report, now)
		p.Committed(p.TakeCommit(), now)
		for range 3 {
			r, _, _ := l.nextRenewLease(now)
			acks = append(acks, r)
			if len(acks) > 1 {
				l.acknowledged(r, 1) // the first one has no answer
			}
		}
	})
	for i, r := range acks {
		last := i == len(acks)-1
		if acked := r.AckedUpTo > 0; acked == last || r.Wait == 0 {
			t.Errorf("request %d acknowledges up to %d and waits for %v", i, r.AckedUpTo, r.Wait)
		}
	}
}

// countingWorkers counts the orders that are sent. It answers no request for a report.
type countingWorkers struct {
	sent atomic.Int32
}

func (w *countingWorkers) RenewLease(ctx context.Context, _ Target, _ RenewLeaseRequest) (*RenewLeaseReply, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func (w *countingWorkers) Send(context.Context, Target, job.Order, int64) (job.Result, error) {
	w.sent.Add(1)
	return job.ResultDone, nil
}

// TestDelayedOrderIsNotSent guards against an order that waited in this process, for other orders to the worker or because the
// process was paused, and reaches a worker after the owner has stopped counting on its lease.
func TestDelayedOrderIsNotSent(t *testing.T) {
	workers := &countingWorkers{}
	s := newTestShard(t, &recordingStore{})
	s.node.workers = workers
	send := func(blocked bool, age time.Duration) int32 {
		sentBefore := workers.sent.Load()
		var l *link
		s.runInLoop(s.node.ctx, func(now job.Time) {
			l = newLink(s, s.pool("p", now), "w")
			for blocked && len(l.orderSlots) < cap(l.orderSlots) {
				l.orderSlots <- struct{}{}
			}
			decided := job.Time{Steady: now.Steady - age, WallMs: now.WallMs}
			l.send(s.node.ctx, job.Order{Kind: job.OrderStart, Worker: "w"}, decided)
		})
		time.Sleep(orderTimeout + orderTimeout/2)
		if blocked {
			<-l.orderSlots
			time.Sleep(orderTimeout / 2)
		}
		return workers.sent.Load() - sentBefore
	}
	if n := send(false, 0); n != 1 {
		t.Errorf("a prompt order is sent %d times", n)
	}
	if n := send(true, 0); n != 0 {
		t.Errorf("an order that waited too long is sent %d times", n)
	}
	if n := send(false, 2*orderTimeout); n != 0 {
		t.Errorf("an order that was decided long ago is sent %d times", n)
	}
}
