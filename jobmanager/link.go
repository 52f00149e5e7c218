package jobmanager

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/berylwharf/berylwharf/job"
)

const (
	// wantedLease is the lease that an owner keeps on its workers. It covers the loss of an owner (membershipTTL, the
	// takeover and one report interval) and is otherwise short, because a task on a worker that went silent waits for it.
	wantedLease = 5 * time.Second
	// reportWait is how long a worker may hold a report back while nothing ends. A lease is extended with each report.
	reportWait = 1500 * time.Millisecond
	// reportTimeout is added to the wait before a report counts as lost.
	reportTimeout = 700 * time.Millisecond
	// responsiveWithin is how recently a worker must have answered for its lease to be extended. The lease of a silent
	// worker must run out.
	responsiveWithin = reportWait + reportTimeout
	// silentPause is the pause between looks at a worker that does not answer.
	silentPause = 250 * time.Millisecond
	// settlePause is how long the next report waits at most for the ends of the last one to be stored.
	settlePause = 150 * time.Millisecond
	// orderTimeout bounds a start, stop or pace order.
	orderTimeout = 700 * time.Millisecond
	// ordersPerWorker bounds the orders that are on their way to one worker.
	ordersPerWorker = 12
	// refusalsForGone is how many refused connections in a row prove that a worker's life is over.
	refusalsForGone = 2
)

// link keeps in touch with one worker.
type link struct {
	shard  *shard
	pool   *job.Pool
	worker string
	cancel context.CancelFunc
	orders chan struct{} // bounds the orders on their way
	settle chan struct{} // signals that ends are stored

	// The fields below belong to the shard's goroutine.
	status   job.WorkerStatus
	clock    workerClock
	answered time.Duration // last answer
}

func newLink(s *shard, p *job.Pool, worker string) *link {
	return &link{
		shard: s, pool: p, worker: worker,
		orders: make(chan struct{}, ordersPerWorker),
		settle: make(chan struct{}, 1),
	}
}

// expires returns the moment on the worker's clock at which a lease that begins now ends, or 0 while the clock is unknown.
func (l *link) expires(now job.Time) int64 {
	return l.clock.expires(now, l.shard.node.settings.Bounds.maxLease())
}

// request prepares the next hold. The second result is false when the worker is not to be held any more.
func (l *link) request(now job.Time) (HoldRequest, Target, bool) {
	status, ok := l.pool.Status(l.worker, now)
	if !ok {
		return HoldRequest{}, Target{}, false
	}
	l.status = status
	r := HoldRequest{SeenUpTo: status.StableEnd}
	responsive := l.answered > 0 && now.Steady-l.answered < responsiveWithin
	if responsive {
		r.Wait = reportWait
	}
	if responsive && status.Wanted && l.shard.node.confirmed(now) {
		r.ExpiresMs = l.expires(now)
		l.pool.Extended(l.worker, now)
	}
	if !l.pool.EndsSettled(l.worker) {
		// The worker would return the unsettled ends at once.
		r.Wait = 0
	}
	return r, l.target(), true
}

func (l *link) target() Target {
	return Target{Worker: l.worker, Addr: l.status.Info.Addr, Fence: l.shard.epoch}
}

// run asks for reports until the link ends.
func (l *link) run(ctx context.Context) {
	refusals := 0
	for ctx.Err() == nil {
		var req HoldRequest
		var target Target
		ok := false
		if !l.shard.call(ctx, func(now job.Time) { req, target, ok = l.request(now) }) || !ok {
			return
		}
		refusals = l.look(ctx, target, req, refusals)
	}
}

// look makes one request for a report and returns the number of refused connections in a row.
func (l *link) look(ctx context.Context, target Target, req HoldRequest, refusals int) int {
	sent := l.shard.node.clock.Now().Steady
	callCtx, cancel := context.WithTimeout(ctx, req.Wait+reportTimeout)
	reply, err := l.shard.node.workers.Hold(callCtx, target, req)
	cancel()
	if err != nil {
		l.shard.call(ctx, func(job.Time) { l.pool.NoReport(l.worker) })
	}
	switch {
	case err == nil:
		reply.Report.SentAt = sent
		settled := true
		l.shard.call(ctx, func(now job.Time) {
			l.clock.observe(reply.ClockMs, now)
			l.answered = now.Steady
			l.pool.Report(reply.Report, now)
			settled = l.pool.EndsSettled(l.worker)
		})
		l.awaitSettled(ctx, settled, req.Wait == 0)
		return 0
	case errors.Is(err, ErrFenced):
		l.shard.lose("a worker knows a later owner")
		pause(ctx, silentPause)
		return 0
	case errors.Is(err, ErrLifeOver):
		refusals++
		if refusals >= refusalsForGone {
			l.shard.call(ctx, func(now job.Time) {
				l.answered = 0
				l.pool.Gone(l.worker, now)
			})
		}
		pause(ctx, silentPause)
		return refusals
	}
	l.shard.node.log.Event(LogEvent{Part: "worker", What: "no report", Worker: l.worker, Why: err.Error()})
	pause(ctx, silentPause)
	return 0
}

// awaitSettled waits until the ends of the last report are stored, so that the worker does not return them again.
func (l *link) awaitSettled(ctx context.Context, settled, immediate bool) {
	if settled {
		if immediate {
			pause(ctx, time.Millisecond)
		}
		return
	}
	timer := time.NewTimer(settlePause)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-l.settle:
			done := false
			l.shard.call(ctx, func(job.Time) { done = l.pool.EndsSettled(l.worker) })
			if done {
				return
			}
		}
	}
}

// committed signals that a commit is stored.
func (l *link) committed() {
	select {
	case l.settle <- struct{}{}:
	default:
	}
}

// send carries out an order in its own goroutine. The lease of a start is fixed now, so that a start that is delayed in
// this process expires at the worker.
func (l *link) send(ctx context.Context, o job.Order, now job.Time) {
	target, expires := l.target(), l.expires(now)
	l.shard.node.wg.Go(func() {
		select {
		case l.orders <- struct{}{}:
			defer func() { <-l.orders }()
		case <-ctx.Done():
			return
		}
		callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		result, err := l.shard.node.workers.Send(callCtx, target, o, expires)
		l.finish(ctx, o, result, err)
	})
}

// finish applies the outcome of an order.
func (l *link) finish(ctx context.Context, o job.Order, result job.Result, err error) {
	if errors.Is(err, ErrFenced) {
		l.shard.lose("a worker knows a later owner")
		return
	}
	l.shard.call(ctx, func(now job.Time) {
		if errors.Is(err, ErrLifeOver) {
			// The order reached another life, which refused it.
			result = job.ResultRefused
			defer l.pool.Gone(l.worker, now)
		}
		if err == nil && fromWorker(result) {
			l.answered = now.Steady
		}
		switch o.Kind {
		case job.OrderStart:
			l.pool.Started(o, result, now)
		case job.OrderStop:
			l.pool.Stopped(o, result, now)
		case job.OrderPace:
		}
	})
}

// fromWorker tells whether a result proves that the worker lives. A refusal may be that of an address at which nothing listens.
func fromWorker(r job.Result) bool { return r != job.ResultNoAnswer && r != job.ResultRefused }

// pause waits for d or until the context ends.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
