package entry

import (
	"context"
	"io"
	"maps"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/berylwharf/berylwharf/resource"
	"github.com/berylwharf/berylwharf/routing"
	"github.com/berylwharf/berylwharf/verdict"
)

// maxBuffered is how much of an answer is held back before the first byte goes to the caller, so that a short answer
// that ends early can still be refused.
const maxBuffered = 1 << 20

// result is the outcome of sending a request. Exactly one of answer and err is set.
type result struct {
	answer *answer
	err    *verdict.Error
}

// unwritten reports whether the request provably reached no backend server.
func (r result) unwritten() bool { return r.err != nil && r.err.Verdict == verdict.NotRun }

// try sends the request on a slot and ends the lease, or leaves that to a streamed answer. current is told about each
// attempt before it starts.
func (s *service) try(ctx context.Context, rq *request, l *lease, fresh bool, current func(*attempt)) result {
	r, stale := s.send(ctx, rq, l, fresh, current)
	if stale {
		// The server closed an idle connection before a byte was written. That says nothing about the server, so it is
		// asked again on a new connection.
		r, _ = s.send(ctx, rq, l, true, current)
	}
	return r
}

// exchanged is the end of one attempt.
type exchanged struct {
	result
	stale bool
}

// send makes one attempt and returns at its end or at the deadline, the end of ctx. A request that was written by then
// keeps its connection, because its answer tells when the slot is free. Without it the slot would be out of use for
// maxRun, and a flood of requests that miss their deadlines by little would take the slots one by one. stale means that
// a reused connection was closed before a byte was written; the lease is then still held.
func (s *service) send(ctx context.Context, rq *request, l *lease, fresh bool, current func(*attempt)) (result, bool) {
	waitCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), rq.deadline.Add(s.maxRun()))
	a := &attempt{deadline: rq.deadline, clock: s.h.cfg.Clock, cancel: cancel}
	current(a)
	done := make(chan exchanged, 1)
	go func() { done <- s.exchange(ctx, waitCtx, rq, l, fresh, a) }()
	select {
	case x := <-done:
		if x.answer != nil && x.answer.rest != nil {
			// A streamed answer ends with the deadline.
			context.AfterFunc(ctx, cancel)
		}
		return x.result, x.stale
	case <-ctx.Done():
	}
	if a.seal() {
		cancel()
		x := <-done
		return x.result, x.stale
	}
	l.abandon()
	if a.silent() {
		s.h.conns.closeIdle(a.writer.Load())
	}
	s.h.late.Go(func() { s.awaitLate(a, done) })
	return result{err: verdict.New(verdict.MayHaveRun, verdict.ReasonDeadline, http.StatusGatewayTimeout,
		"no complete answer before the deadline")}, false
}

// awaitLate waits for the end of an attempt whose deadline has passed, at most until the service is closed.
func (s *service) awaitLate(a *attempt, done <-chan exchanged) {
	var x exchanged
	select {
	case x = <-done:
	case <-s.ctx.Done():
		a.cancel()
		x = <-done
	}
	if x.answer != nil {
		x.answer.discard()
	}
}

// exchange sends the request and receives its answer. deadlineCtx ends at the deadline, ctx when the answer is no longer
// waited for.
func (s *service) exchange(deadlineCtx, ctx context.Context, rq *request, l *lease, fresh bool, a *attempt) exchanged {
	ctx, span := s.h.tracer.Start(ctx, "entry attempt", trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	if span.IsRecording() {
		span.SetAttributes(attribute.String("berylwharf.vm", l.vm), attribute.String("server.address", l.addr))
	}
	began := s.h.now()
	out := rq.outgoing(httptrace.WithClientTrace(ctx, a.trace()), l.addr)
	resp, err := s.transport(rq, fresh).RoundTrip(out) //nolint:bodyclose // closed below or by answer.done
	if err != nil {
		defer a.cancel()
		unwritten := a.seal()
		if unwritten && a.reused.Load() && !fresh && deadlineCtx.Err() == nil {
			return exchanged{stale: true}
		}
		span.SetStatus(codes.Error, "no answer")
		return exchanged{result: s.failed(deadlineCtx, l, a, err, unwritten)}
	}
	ans, err := s.receive(rq, resp)
	if err != nil {
		defer a.cancel()
		a.abort()
		// The connection is already closed.
		_ = resp.Body.Close()
		span.SetStatus(codes.Error, "no complete answer")
		return exchanged{result: s.failed(deadlineCtx, l, a, err, false)}
	}
	outcome := routing.OutcomeOK
	if ans.status >= http.StatusInternalServerError {
		outcome = routing.OutcomeFailed
	}
	ans.done = func(complete bool) {
		if complete {
			l.end(outcome, 0)
			s.completed(began)
		} else {
			a.abort()
			l.end(routing.OutcomeFailed, s.quarantine(a))
		}
		_ = resp.Body.Close()
		a.cancel()
	}
	if ans.rest == nil {
		ans.done(true)
	}
	return exchanged{result: result{answer: ans}}
}

// abort closes the connection, so that nothing that still arrives on it can reach another request.
func (a *attempt) abort() {
	if c := a.conn.Load(); c != nil {
		_ = c.Close()
	}
}

// silent reports whether the request was written and no byte came back.
func (a *attempt) silent() bool {
	c := a.writer.Load()
	return c != nil && c != sealedMark && !a.received.Load()
}

func (s *service) maxRun() time.Duration {
	return time.Duration(s.spec.Load().MaxRunMs) * time.Millisecond
}

// quarantine returns how long a run without a complete answer may still take. A run starts before the deadline.
func (s *service) quarantine(a *attempt) time.Duration {
	longest := s.maxRun()
	return min(longest, max(0, a.deadline.Add(longest).Sub(s.h.now())))
}

func (s *service) completed(began time.Time) {
	now := s.h.now()
	d := now.Sub(began)
	s.mu.Lock()
	s.latency.Record(now, d)
	s.mu.Unlock()
	s.stats.attempt.Update(d.Microseconds())
}

func (s *service) transport(rq *request, fresh bool) http.RoundTripper {
	if fresh || rq.spec.AnswerCheck != resource.AnswerCheckEcho {
		return s.h.fresh
	}
	return s.h.reuse
}

// failed ends the lease of an attempt without a complete answer and states what is known about it.
func (s *service) failed(ctx context.Context, l *lease, a *attempt, err error, unwritten bool) result {
	late := errors.Is(ctx.Err(), context.DeadlineExceeded) || errors.Is(err, errLate)
	outcome := routing.OutcomeFailed
	if late {
		outcome = routing.OutcomeTimeout
	}
	if unwritten {
		l.end(outcome, 0)
		if late {
			return result{err: notRun(verdict.ReasonDeadline, http.StatusGatewayTimeout, "the deadline passed before dispatch")}
		}
		e := notRun(verdict.ReasonDialFailed, http.StatusServiceUnavailable, "the backend server cannot be reached")
		e.Cause = err
		return result{err: e}
	}
	l.end(outcome, s.quarantine(a))
	var e *verdict.Error
	switch {
	case late:
		e = verdict.Wrap(err, verdict.MayHaveRun, verdict.ReasonDeadline, http.StatusGatewayTimeout,
			"no complete answer before the deadline")
	case errors.As(err, &e):
	default:
		e = verdict.Wrap(err, verdict.MayHaveRun, verdict.ReasonConnectionBroken, http.StatusBadGateway,
			"the connection broke before an answer")
	}
	s.h.log.Debugf("entry: %s: attempt on %s failed: %v", s.name, l.vm, e)
	return result{err: e}
}

// outgoing returns the request for the backend server. It has no GetBody, so that the transport cannot send it twice.
func (rq *request) outgoing(ctx context.Context, addr string) *http.Request {
	u := rq.url
	u.Host = addr
	h := maps.Clone(rq.header)
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(h))
	r := &http.Request{
		Method: rq.method, URL: &u, Host: rq.host, Header: h,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Body: http.NoBody,
	}
	if len(rq.body) > 0 {
		r.Body = newBody(rq.body)
		r.ContentLength = int64(len(rq.body))
	}
	return r.WithContext(ctx)
}

// receive checks the head of an answer and reads it up to maxBuffered.
func (s *service) receive(rq *request, resp *http.Response) (*answer, error) {
	if e := checkHead(rq, resp); e != nil {
		return nil, e
	}
	ans := &answer{
		status: resp.StatusCode, header: endToEnd(resp.Header), trailer: resp.Trailer,
		length: resp.ContentLength, head: rq.method == http.MethodHead,
	}
	var err error
	n := resp.ContentLength
	switch {
	case n == 0 || !hasBody(rq.method, resp.StatusCode):
		_, err = io.Copy(io.Discard, resp.Body)
	case n > maxBuffered:
		ans.body = make([]byte, maxBuffered)
		_, err = io.ReadFull(resp.Body, ans.body)
		ans.rest = resp.Body
	case n > 0:
		ans.body = make([]byte, n)
		_, err = io.ReadFull(resp.Body, ans.body)
	default:
		ans.body, err = io.ReadAll(io.LimitReader(resp.Body, maxBuffered))
		if len(ans.body) == maxBuffered {
			ans.rest = resp.Body
		}
	}
	if err != nil {
		return nil, verdict.Wrap(err, verdict.MayHaveRun, verdict.ReasonTruncated, http.StatusBadGateway,
			"the answer ended early")
	}
	return ans, nil
}

func checkHead(rq *request, resp *http.Response) *verdict.Error {
	if resp.StatusCode < http.StatusOK {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonAnswerInvalid, http.StatusBadGateway,
			"status "+strconv.Itoa(resp.StatusCode)+" is not a final answer")
	}
	// With "fresh" the identifier may be missing, but an answer that names another request is refused all the same.
	echo := resp.Header.Get(HeaderRequestID)
	if echo != rq.id && (echo != "" || rq.spec.AnswerCheck == resource.AnswerCheckEcho) {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonAnswerMismatch, http.StatusBadGateway,
			"the answer does not carry the request's identifier")
	}
	chunked := len(resp.TransferEncoding) > 0
	if resp.ContentLength < 0 && !chunked && hasBody(rq.method, resp.StatusCode) {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonAnswerInvalid, http.StatusBadGateway,
			"the answer has neither length nor chunks, so its end cannot be told")
	}
	return nil
}

func hasBody(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}
