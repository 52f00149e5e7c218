package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/berylwharf/berylwharf/verdict"
)

// maxAttempts bounds the attempts of one request, hedges and retries included.
const maxAttempts = 3

// hedgeAcquireTimeout bounds the wait for the slot of a hedge, during which an answer of the first attempt waits too.
const hedgeAcquireTimeout = 5 * time.Millisecond

// process queues the request, sends it and returns its outcome. The attempts are not tied to the caller's connection:
// a backend server that works on a request finishes it, so that its slot is free at a known time and a later attempt
// under the same key finds the answer.
func (s *service) process(ctx context.Context, rq *request) result {
	queueCtx, cancel := context.WithDeadline(ctx, rq.deadline)
	began := s.h.now()
	t, l, err := s.admit(queueCtx, rq)
	cancel()
	if err != nil {
		return result{err: err}
	}
	s.stats.wait.Update(s.h.now().Sub(began).Microseconds())
	sendCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), rq.deadline)
	var r result
	if rq.repeatable {
		r = s.sendRepeatable(sendCtx, cancel, rq, l)
	} else {
		r = s.sendOnce(sendCtx, rq, l)
		r.whenDone(cancel)
	}
	completed := r.answer != nil
	r.whenDone(func() { s.finish(t, completed) })
	return r
}

// whenDone calls f once the attempt has ended: now, or when its streamed answer has.
func (r result) whenDone(f func()) {
	if r.answer == nil || r.answer.rest == nil {
		f()
		return
	}
	done := r.answer.done
	r.answer.done = func(complete bool) {
		done(complete)
		f()
	}
}

// sendOnce sends a request that may run only once. Another server is used only while no byte was written.
func (s *service) sendOnce(ctx context.Context, rq *request, l *lease) result {
	var tried []string
	for n := 1; ; n++ {
		r := s.try(ctx, rq, l, false, func(*attempt) {})
		if !r.unwritten() || n == maxAttempts || ctx.Err() != nil {
			return r
		}
		tried = append(tried, l.vm)
		if l = s.another(ctx, tried, acquireTimeout); l == nil {
			return r
		}
		s.stats.retries.Inc(1)
	}
}

// race sends a repeatable request to several backend servers; the first complete answer wins.
type race struct {
	s       *service
	ctx     context.Context
	rq      *request
	results chan result // capacity maxAttempts, so that no attempt waits for its reader
	won     atomic.Bool
	refs    atomic.Int32 // attempts in flight, and the reader of results
	cancel  context.CancelFunc

	mu       sync.Mutex
	attempts []*attempt
	tried    []string
}

// sendRepeatable sends a request that may run more than once, with retries and a hedge. cancel is called once all
// attempts have ended. Attempts that lost run on until their answer or deadline, since their slots are in use until
// then.
func (s *service) sendRepeatable(ctx context.Context, cancel context.CancelFunc, rq *request, l *lease) result {
	rc := &race{s: s, ctx: ctx, rq: rq, results: make(chan result, maxAttempts), cancel: cancel}
	rc.refs.Store(1)
	defer rc.release()
	rc.launch(l, false)
	s.mu.Lock()
	delay := s.latency.HedgeDelay(s.h.now())
	s.mu.Unlock()
	timer := time.NewTimer(delay)
	defer timer.Stop()
	launched, running := 1, 1
	var last result
	mayHaveRun := false
	for {
		select {
		case r := <-rc.results:
			running--
			if r.answer != nil {
				rc.closeSilent()
				return r
			}
			if r.err != nil {
				last = r
				mayHaveRun = mayHaveRun || r.err.Verdict == verdict.MayHaveRun
			}
			if running > 0 {
				continue
			}
			if launched == maxAttempts || ctx.Err() != nil || !rc.extra(false) {
				return last.atLeast(mayHaveRun)
			}
		case <-timer.C:
			if launched == maxAttempts || !rc.extra(true) {
				continue
			}
		}
		launched++
		running++
	}
}

// atLeast returns the refusal with the verdict that covers all attempts.
func (r result) atLeast(mayHaveRun bool) result {
	if mayHaveRun {
		r.err.Verdict = verdict.MayHaveRun
	}
	return r
}

// launch starts an attempt on l. A hedge uses a new connection.
func (rc *race) launch(l *lease, hedge bool) {
	rc.mu.Lock()
	rc.tried = append(rc.tried, l.vm)
	rc.mu.Unlock()
	rc.refs.Add(1)
	go func() {
		r := rc.s.try(rc.ctx, rc.rq, l, hedge, rc.add)
		r.whenDone(rc.release)
		if r.answer != nil && !rc.won.CompareAndSwap(false, true) {
			r.answer.discard()
			return
		}
		rc.results <- r
	}()
}

func (rc *race) add(a *attempt) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.attempts = append(rc.attempts, a)
}

// extra starts a retry or a hedge and reports whether it did.
func (rc *race) extra(hedge bool) bool {
	rc.mu.Lock()
	tried := rc.tried
	rc.mu.Unlock()
	wait := acquireTimeout
	if hedge {
		wait = hedgeAcquireTimeout
	}
	l := rc.s.another(rc.ctx, tried, wait)
	if l == nil {
		return false
	}
	if hedge {
		rc.s.stats.hedges.Inc(1)
	} else {
		rc.s.stats.retries.Inc(1)
	}
	rc.launch(l, hedge)
	return true
}

// closeSilent is called when an attempt has won: connections on which other attempts got no byte are taken for silent.
func (rc *race) closeSilent() {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	if len(rc.attempts) < 2 {
		return
	}
	for _, a := range rc.attempts {
		if a.silent() {
			rc.s.h.conns.closeIdle(a.writer.Load())
		}
	}
}

// release cancels the context once nothing needs it.
func (rc *race) release() {
	if rc.refs.Add(-1) == 0 {
		rc.cancel()
	}
}
