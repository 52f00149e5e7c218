package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/berylwharf/berylwharf/verdict"
)

// maxAttempts limits the attempts of one request, including retries and hedges.
const maxAttempts = 3

// hedgeAcquireTimeout limits the wait for the slot of a hedge. During this wait, a response to the first attempt is not
// delivered.
const hedgeAcquireTimeout = 5 * time.Millisecond

// process queues the request, sends it and returns its outcome. Attempts continue if the caller disconnects: the backend
// server finishes the request, so that its slot is free at a known time and a later attempt with the same key finds the
// response.
func (s *service) process(ctx context.Context, rq *request) result {
	queueCtx, cancel := context.WithDeadline(ctx, rq.deadline)
	began := s.h.now()
	qr, hs, err := s.admit(queueCtx, rq)
	cancel()
	if err != nil {
		return result{err: err}
	}
	s.stats.wait.Update(s.h.now().Sub(began).Microseconds())
	sendCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), rq.deadline)
	var r result
	if rq.repeatable {
		r = s.sendRepeatable(sendCtx, cancel, rq, hs)
	} else {
		r = s.sendOnce(sendCtx, rq, hs)
		r.afterEnd(cancel)
	}
	completed := r.response != nil
	r.afterEnd(func() { s.finishRequest(qr, completed) })
	return r
}

// afterEnd calls f when the attempt has ended: at the end of a streamed response, otherwise immediately.
func (r result) afterEnd(f func()) {
	if r.response == nil || r.response.remaining == nil {
		f()
		return
	}
	done := r.response.onEnd
	r.response.onEnd = func(complete bool) {
		done(complete)
		f()
	}
}

// sendOnce sends a request that must run at most once. It is sent to another server only if no byte has been written.
func (s *service) sendOnce(ctx context.Context, rq *request, hs *heldSlot) result {
	var tried []string
	for n := 1; ; n++ {
		r := s.sendWithRedial(ctx, rq, hs, false, func(*attempt) {})
		if !r.unwritten() || n == maxAttempts || ctx.Err() != nil {
			return r
		}
		tried = append(tried, hs.vm)
		if hs = s.acquireForRetry(ctx, tried, acquireTimeout); hs == nil {
			return r
		}
		s.stats.retries.Inc(1)
	}
}

// hedgedRequest is a repeatable request with up to maxAttempts attempts, several of which may be in flight together. The
// first attempt that returns a response is used.
type hedgedRequest struct {
	s       *service
	ctx     context.Context
	rq      *request
	results chan result // capacity maxAttempts, so that sending never blocks
	won     atomic.Bool
	refs    atomic.Int32 // attempts in flight plus one for the reader of results
	cancel  context.CancelFunc

	mu       sync.Mutex
	attempts []*attempt
	tried    []string
}

// sendRepeatable sends a request that may run more than once, with retries and at most one hedge. cancel is called when
// all attempts have ended. Attempts whose responses are not used continue until their response or deadline, because
// their slots are in use until then.
func (s *service) sendRepeatable(ctx context.Context, cancel context.CancelFunc, rq *request, hs *heldSlot) result {
	hr := &hedgedRequest{s: s, ctx: ctx, rq: rq, results: make(chan result, maxAttempts), cancel: cancel}
	hr.refs.Store(1)
	defer hr.unref()
	hr.launchAttempt(hs, false)
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
		case r := <-hr.results:
			running--
			if r.response != nil {
				hr.closeUnanswered()
				return r
			}
			if r.err != nil {
				last = r
				mayHaveRun = mayHaveRun || r.err.Verdict == verdict.MayHaveRun
			}
			if running > 0 {
				continue
			}
			if launched == maxAttempts || ctx.Err() != nil || !hr.launchExtra(false) {
				return last.withCombinedVerdict(mayHaveRun)
			}
		case <-timer.C:
			if launched == maxAttempts || !hr.launchExtra(true) {
				continue
			}
		}
		launched++
		running++
	}
}

// withCombinedVerdict returns the refusal of the last attempt with a verdict that is valid for all attempts.
func (r result) withCombinedVerdict(mayHaveRun bool) result {
	if mayHaveRun {
		r.err.Verdict = verdict.MayHaveRun
	}
	return r
}

// launchAttempt starts an attempt on hs. A hedge is sent on a new connection.
func (hr *hedgedRequest) launchAttempt(hs *heldSlot, hedge bool) {
	hr.mu.Lock()
	hr.tried = append(hr.tried, hs.vm)
	hr.mu.Unlock()
	hr.refs.Add(1)
	go func() {
		r := hr.s.sendWithRedial(hr.ctx, hr.rq, hs, hedge, hr.addAttempt)
		r.afterEnd(hr.unref)
		if r.response != nil && !hr.won.CompareAndSwap(false, true) {
			r.response.discard()
			return
		}
		hr.results <- r
	}()
}

func (hr *hedgedRequest) addAttempt(a *attempt) {
	hr.mu.Lock()
	defer hr.mu.Unlock()
	hr.attempts = append(hr.attempts, a)
}

// launchExtra starts a retry or a hedge. It reports whether a slot could be acquired for it.
func (hr *hedgedRequest) launchExtra(hedge bool) bool {
	hr.mu.Lock()
	tried := hr.tried
	hr.mu.Unlock()
	wait := acquireTimeout
	if hedge {
		wait = hedgeAcquireTimeout
	}
	hs := hr.s.acquireForRetry(hr.ctx, tried, wait)
	if hs == nil {
		return false
	}
	if hedge {
		hr.s.stats.hedges.Inc(1)
	} else {
		hr.s.stats.retries.Inc(1)
	}
	hr.launchAttempt(hs, hedge)
	return true
}

// closeUnanswered is called when an attempt has returned a response. Where another attempt has not received a byte on its
// connection, the network path is presumed broken and the older idle connections to the same server are closed.
func (hr *hedgedRequest) closeUnanswered() {
	hr.mu.Lock()
	defer hr.mu.Unlock()
	if len(hr.attempts) < 2 {
		return
	}
	for _, a := range hr.attempts {
		if a.unanswered() {
			hr.s.h.conns.closeOlderIdle(a.writer.Load())
		}
	}
}

// unref drops a reference and cancels the context of the attempts when none is left.
func (hr *hedgedRequest) unref() {
	if hr.refs.Add(-1) == 0 {
		hr.cancel()
	}
}
