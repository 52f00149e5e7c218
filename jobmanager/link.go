package jobmanager

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/berylwharf/berylwharf/job"
)

const (
	// targetLease is the lease that an owner requests for its workers. It covers the loss of an owner: membershipTTL,
	// the takeover and one report interval. Otherwise it is kept short, because a task on an unresponsive worker cannot
	// be restarted elsewhere before the lease expires.
	targetLease = 5 * time.Second
	// reportWait is how long a worker may delay its report while no run ends. Each report extends the lease.
	reportWait = 1500 * time.Millisecond
	// reportTimeout is the time after the requested wait when a report counts as lost.
	reportTimeout = 700 * time.Millisecond
	// responsiveWindow is the maximum age of a worker's last answer at which its lease is still extended. The lease of
	// an unresponsive worker must expire.
	responsiveWindow = reportWait + reportTimeout
	// failedPollDelay is the delay before a worker is polled again after a failed request.
	failedPollDelay = 250 * time.Millisecond
	// endsStoredTimeout limits how long the next poll waits until the run ends of the last report are stored.
	endsStoredTimeout = 150 * time.Millisecond
	// orderTimeout bounds a start, stop or speed order.
	orderTimeout = 700 * time.Millisecond
)

// OrdersPerWorker is the number of concurrent orders that a process sends to one worker, beside a request for a report. It
// is small: a machine without power leaves its connections open at the worker, which accepts a limited number of them.
const OrdersPerWorker = 2

// link is the connection of a shard to one worker.
type link struct {
	shard        *shard
	pool         *job.Pool
	worker       string
	cancel       context.CancelFunc
	orderSlots   chan struct{} // semaphore that limits concurrent orders
	commitStored chan struct{} // signals that a commit was stored
	silent       bool          // the last request for a report failed; used by run only

	// The fields below are accessed only by the shard's goroutine.
	status       job.WorkerStatus
	clock        workerClock
	acked        acknowledgement // the last one that the worker answered
	lastAnswerAt time.Duration   // steady time of the worker's last answer
	relay        string          // node that calls the worker; empty if the owner does
	directUntil  time.Duration   // until then the owner calls the worker itself, although it has a relay
}

// acknowledgement is the number up to which an incarnation of a worker has been told to forget run ends.
type acknowledgement struct{ incarnation, upTo int64 }

func newLink(s *shard, p *job.Pool, worker string) *link {
	return &link{
		shard: s, pool: p, worker: worker,
		orderSlots:   make(chan struct{}, OrdersPerWorker),
		commitStored: make(chan struct{}, 1),
	}
}

// leaseExpiry returns the time on the worker's clock at which a lease that starts now expires, or 0 while that clock is
// unknown.
func (l *link) leaseExpiry(now job.Time) int64 {
	return l.clock.leaseExpiry(now, l.shard.node.settings.Limits.requestedLease())
}

// nextRenewLease prepares the next RenewLease request. It returns false if the link is to be closed because the pool
// has forgotten the worker.
//
// Run ends are acknowledged once. The worker may restart while the request is on its way, and its next incarnation would
// take the number for its own ends.
func (l *link) nextRenewLease(now job.Time) (RenewLeaseRequest, Target, bool) {
	status, ok := l.pool.Status(l.worker, now)
	if !ok {
		return RenewLeaseRequest{}, Target{}, false
	}
	l.status = status
	var r RenewLeaseRequest
	if status.StableEnd > 0 && l.acked != (acknowledgement{status.Incarnation, status.StableEnd}) {
		r.AckedUpTo = status.StableEnd
	}
	responsive := l.lastAnswerAt > 0 && now.Steady-l.lastAnswerAt < responsiveWindow
	if responsive {
		r.Wait = reportWait
	}
	if responsive && status.ExtendLease && l.shard.node.confirmed(now) {
		r.ExpiresMs = l.leaseExpiry(now)
		l.pool.LeaseExtended(l.worker, now)
	}
	if !l.pool.EndsStored(l.worker) {
		// The worker repeats ends that are not acknowledged, so it would answer at once.
		r.Wait = 0
	}
	return r, l.target(now), true
}

func (l *link) target(now job.Time) Target {
	t := Target{Worker: l.worker, Addr: l.status.Info.Addr, FencingToken: l.shard.epoch}
	if now.Steady >= l.directUntil {
		t.Relay = l.relay
	}
	return t
}

// relayFailed makes the owner call the worker itself for directPeriod, if the failed call was made through a relay.
func (l *link) relayFailed(t Target, now job.Time) {
	if t.Relay != "" {
		l.directUntil = now.Steady + directPeriod
	}
}

// run polls the worker for reports until the link is closed.
func (l *link) run(ctx context.Context) {
	for ctx.Err() == nil {
		var req RenewLeaseRequest
		var target Target
		ok := false
		if !l.shard.runInLoop(ctx, func(now job.Time) { req, target, ok = l.nextRenewLease(now) }) || !ok {
			return
		}
		l.poll(ctx, target, req)
	}
}

// poll requests one report and applies it.
func (l *link) poll(ctx context.Context, target Target, req RenewLeaseRequest) {
	sent := l.shard.node.clock.Now().Steady
	callCtx, cancel := context.WithTimeout(ctx, req.Wait+reportTimeout)
	reply, err := l.shard.node.workers.RenewLease(callCtx, target, req)
	cancel()
	if err != nil {
		l.shard.runInLoop(ctx, func(now job.Time) {
			l.pool.ReportFailed(l.worker, errors.Is(err, ErrNoEffect))
			l.relayFailed(target, now)
		})
	}
	switch {
	case err == nil:
		l.silent = false
		reply.Report.SentAt = sent
		endsStored := true
		l.shard.runInLoop(ctx, func(now job.Time) {
			l.clock.observe(reply.ClockMs, now)
			l.lastAnswerAt = now.Steady
			l.acknowledged(req, reply.Report.Incarnation)
			l.pool.Report(reply.Report, now)
			endsStored = l.pool.EndsStored(l.worker)
		})
		l.awaitEndsStored(ctx, endsStored, req.Wait == 0)
		return
	case errors.Is(err, ErrFenced):
		l.shard.endOwnership("a worker has seen an order of a later owner")
	case errors.Is(err, ErrIncarnationEnded):
		l.shard.runInLoop(ctx, func(now job.Time) { l.incarnationEnded(target, now) })
	default:
		// A refused connection is no proof that the worker has ended: a network that cuts the worker off may reset
		// connections to it while it runs on. Its runs end with its lease.
		if !l.silent {
			l.shard.node.log.Event(LogEvent{Component: "worker", Event: "no report", Worker: l.worker, Reason: err.Error()})
		}
		l.silent = true
	}
	sleep(ctx, failedPollDelay)
}

// acknowledged records that an incarnation of the worker answered a request.
func (l *link) acknowledged(r RenewLeaseRequest, incarnation int64) {
	if r.AckedUpTo > 0 && incarnation == l.status.Incarnation {
		l.acked = acknowledgement{incarnation, r.AckedUpTo}
	}
}

// incarnationEnded applies the answer of another worker that listens on the target's address. The answer says nothing
// about the worker if it has a different address by now.
func (l *link) incarnationEnded(t Target, now job.Time) {
	if t.Addr != l.status.Info.Addr {
		return
	}
	l.lastAnswerAt = 0
	l.pool.WorkerGone(l.worker, now)
}

// awaitEndsStored waits until the run ends of the last report are stored, so that the worker does not report them
// again.
func (l *link) awaitEndsStored(ctx context.Context, endsStored, immediate bool) {
	if endsStored {
		if immediate {
			sleep(ctx, time.Millisecond)
		}
		return
	}
	timer := time.NewTimer(endsStoredTimeout)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-l.commitStored:
			done := false
			l.shard.runInLoop(ctx, func(job.Time) { done = l.pool.EndsStored(l.worker) })
			if done {
				return
			}
		}
	}
}

// notifyCommitted signals that a commit was stored.
func (l *link) notifyCommitted() {
	select {
	case l.commitStored <- struct{}{}:
	default:
	}
}

// send sends an order from its own goroutine. The expiry of a start's lease is computed now, so that a start that is
// delayed in this process is already expired when it reaches the worker. An order that orderTimeout has passed since is
// not sent at all: a worker that has restarted would grant it a lease that lasts longer than the owner counts on.
func (l *link) send(ctx context.Context, o job.Order, now job.Time) {
	target, expires := l.target(now), l.leaseExpiry(now)
	l.shard.node.wg.Go(func() {
		callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		select {
		case l.orderSlots <- struct{}{}:
			defer func() { <-l.orderSlots }()
		case <-callCtx.Done():
		}
		clock := l.shard.node.clock
		if callCtx.Err() != nil || clock.Now().Steady-now.Steady > orderTimeout {
			l.handleResult(ctx, target, o, job.ResultNotSent, nil)
			return
		}
		result, err := l.shard.node.workers.Send(callCtx, target, o, expires)
		l.handleResult(ctx, target, o, result, err)
	})
}

// handleResult applies the result of an order.
func (l *link) handleResult(ctx context.Context, target Target, o job.Order, result job.Result, err error) {
	if errors.Is(err, ErrFenced) {
		l.shard.endOwnership("a worker has seen an order of a later owner")
		return
	}
	l.shard.runInLoop(ctx, func(now job.Time) {
		if errors.Is(err, ErrIncarnationEnded) {
			// The order reached another incarnation of the worker, which refused it.
			result = job.ResultRefused
			defer l.incarnationEnded(target, now)
		}
		if err == nil && provesWorkerAlive(result) {
			l.lastAnswerAt = now.Steady
		}
		if result == job.ResultNoAnswer || result == job.ResultNotSent {
			l.relayFailed(target, now)
		}
		switch o.Kind {
		case job.OrderStart:
			l.pool.Started(o, result, now)
		case job.OrderStop:
			l.pool.Stopped(o, result, now)
		case job.OrderSetSpeed:
		}
	})
}

// provesWorkerAlive reports whether a result proves that the worker is alive. A refusal may mean that nothing listens
// at its address.
func provesWorkerAlive(r job.Result) bool {
	return r != job.ResultNoAnswer && r != job.ResultRefused && r != job.ResultNotSent
}

// sleep waits for d or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
