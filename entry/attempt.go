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

// maxBufferedBytes is the part of a response that is buffered before the first byte is sent to the caller, so that a
// truncated response up to this size can still be replaced by a refusal.
const maxBufferedBytes = 1 << 20

// result is the outcome of a request. Exactly one of response and err is set.
type result struct {
	response *response
	err      *verdict.Error
}

// unwritten reports whether provably no byte of the request was written to a backend server.
func (r result) unwritten() bool { return r.err != nil && r.err.Verdict == verdict.NotRun }

// sendWithRedial sends the request and, if a reused connection proves to be closed, sends it again on a new one. It
// releases the slot, or leaves that to the end of a streamed response. onAttempt is called before each attempt starts.
func (s *service) sendWithRedial(
	ctx context.Context, rq *request, hs *heldSlot, newConn bool, onAttempt func(*attempt),
) result {
	r, stale := s.sendAttempt(ctx, rq, hs, newConn, onAttempt)
	if stale {
		// The server closed an idle connection before a byte was written. This does not indicate a failure of the server,
		// so the request is sent to it again on a new connection.
		r, _ = s.sendAttempt(ctx, rq, hs, true, onAttempt)
	}
	return r
}

// attemptResult is the outcome of one attempt.
type attemptResult struct {
	result
	stale bool // a reused connection was closed before a byte was written; the slot is still held
}

// sendAttempt makes one attempt and returns its result and whether the connection was stale. It returns when the attempt
// ends or when ctx is done, which is at the deadline. If the request has been written by then, its connection is kept
// open, because the arrival of the response shows that the slot is free. Otherwise the slot would be quarantined for
// maxRun, and many requests that miss their deadlines by a little would put all slots out of use.
func (s *service) sendAttempt(
	ctx context.Context, rq *request, hs *heldSlot, newConn bool, onAttempt func(*attempt),
) (result, bool) {
	responseCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), rq.deadline.Add(s.maxRun()))
	a := &attempt{deadline: rq.deadline, clock: s.h.cfg.Clock, cancel: cancel}
	onAttempt(a)
	done := make(chan attemptResult, 1)
	go func() { done <- s.roundTrip(ctx, responseCtx, rq, hs, newConn, a) }()
	select {
	case res := <-done:
		if res.response != nil && res.response.remaining != nil {
			// A streamed response is cut off at the deadline.
			context.AfterFunc(ctx, cancel)
		}
		return res.result, res.stale
	case <-ctx.Done():
	}
	if a.seal() {
		cancel()
		res := <-done
		return res.result, res.stale
	}
	hs.recordTimeout()
	if a.unanswered() {
		s.h.conns.closeOlderIdle(a.writer.Load())
	}
	s.h.overdue.Go(func() { s.awaitOverdue(a, done) })
	return result{err: verdict.New(verdict.MayHaveRun, verdict.ReasonDeadline, http.StatusGatewayTimeout,
		"no complete answer before the deadline")}, false
}

// awaitOverdue waits for the end of an attempt whose deadline has passed. The attempt is cancelled if the service is
// closed.
func (s *service) awaitOverdue(a *attempt, done <-chan attemptResult) {
	var res attemptResult
	select {
	case res = <-done:
	case <-s.ctx.Done():
		a.cancel()
		res = <-done
	}
	if res.response != nil {
		res.response.discard()
	}
}

// roundTrip sends the request and reads the response. deadlineCtx is done at the deadline, ctx when the response is no
// longer awaited.
func (s *service) roundTrip(
	deadlineCtx, ctx context.Context, rq *request, hs *heldSlot, newConn bool, a *attempt,
) attemptResult {
	ctx, span := s.h.tracer.Start(ctx, "entry attempt", trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	if span.IsRecording() {
		span.SetAttributes(attribute.String("berylwharf.vm", hs.vm), attribute.String("server.address", hs.addr))
	}
	began := s.h.now()
	out := rq.backendRequest(httptrace.WithClientTrace(ctx, a.clientTrace()), hs.addr)
	httpResp, err := s.transportFor(rq, newConn).RoundTrip(out) //nolint:bodyclose // closed below or by response.onEnd
	if err != nil {
		defer a.cancel()
		unwritten := a.seal()
		if unwritten && a.reused.Load() && !newConn && deadlineCtx.Err() == nil {
			return attemptResult{stale: true}
		}
		span.SetStatus(codes.Error, "no answer")
		return attemptResult{result: s.failAttempt(deadlineCtx, hs, a, err, unwritten)}
	}
	resp, err := s.readResponse(rq, httpResp)
	if err != nil {
		defer a.cancel()
		a.abort()
		// abort has closed the connection, so an error here has no effect.
		_ = httpResp.Body.Close()
		span.SetStatus(codes.Error, "no complete answer")
		return attemptResult{result: s.failAttempt(deadlineCtx, hs, a, err, false)}
	}
	outcome := routing.OutcomeOK
	if resp.status >= http.StatusInternalServerError {
		outcome = routing.OutcomeFailed
	}
	resp.onEnd = func(complete bool) {
		if complete {
			hs.release(outcome, 0)
			s.recordLatency(began)
		} else {
			a.abort()
			hs.release(routing.OutcomeFailed, s.quarantine(a))
		}
		_ = httpResp.Body.Close()
		a.cancel()
	}
	if resp.remaining == nil {
		resp.onEnd(true)
	}
	return attemptResult{result: result{response: resp}}
}

// abort closes the connection, so that data that still arrives on it cannot be taken for the response to another request.
func (a *attempt) abort() {
	if c := a.conn.Load(); c != nil {
		_ = c.Close()
	}
}

// unanswered reports whether bytes of the request were written and none of a response were received.
func (a *attempt) unanswered() bool {
	c := a.writer.Load()
	return c != nil && c != sealedSentinel && !a.received.Load()
}

// maxRun returns the maximum time that a backend server takes to process a request.
func (s *service) maxRun() time.Duration {
	return time.Duration(s.spec.Load().MaxRunMs) * time.Millisecond
}

// quarantine returns the time for which the backend server may still process a request without a complete response. The
// run started before the deadline, so it ends at most maxRun after it.
func (s *service) quarantine(a *attempt) time.Duration {
	longest := s.maxRun()
	return min(longest, max(0, a.deadline.Add(longest).Sub(s.h.now())))
}

// recordLatency records the latency of a completed attempt, which determines the hedge delay.
func (s *service) recordLatency(began time.Time) {
	now := s.h.now()
	d := now.Sub(began)
	s.mu.Lock()
	s.latency.Record(now, d)
	s.mu.Unlock()
	s.stats.attempt.Update(d.Microseconds())
}

// transportFor returns the transport for an attempt. Connections are reused only if the service's responses carry the
// request identifier, since a response to an earlier request can then be detected.
func (s *service) transportFor(rq *request, newConn bool) http.RoundTripper {
	if newConn || rq.spec.AnswerCheck != resource.AnswerCheckEcho {
		return s.h.freshTransport
	}
	return s.h.pooledTransport
}

// failAttempt releases the slot of an attempt without a complete response and returns the refusal with its verdict.
func (s *service) failAttempt(ctx context.Context, hs *heldSlot, a *attempt, err error, unwritten bool) result {
	overdue := errors.Is(ctx.Err(), context.DeadlineExceeded) || errors.Is(err, errDeadlinePassed)
	outcome := routing.OutcomeFailed
	if overdue {
		outcome = routing.OutcomeTimeout
	}
	if unwritten {
		hs.release(outcome, 0)
		if overdue {
			return result{err: notRun(verdict.ReasonDeadline, http.StatusGatewayTimeout, "the deadline passed before dispatch")}
		}
		e := notRun(verdict.ReasonBackendUnreachable, http.StatusServiceUnavailable, "the backend server cannot be reached")
		e.Cause = err
		return result{err: e}
	}
	hs.release(outcome, s.quarantine(a))
	var e *verdict.Error
	switch {
	case overdue:
		e = verdict.Wrap(err, verdict.MayHaveRun, verdict.ReasonDeadline, http.StatusGatewayTimeout,
			"no complete answer before the deadline")
	case errors.As(err, &e):
	default:
		e = verdict.Wrap(err, verdict.MayHaveRun, verdict.ReasonConnectionBroken, http.StatusBadGateway,
			"the connection broke before an answer")
	}
	s.h.log.Debugf("entry: service %s: attempt on VM %s failed: %v", s.name, hs.vm, e)
	return result{err: e}
}

// backendRequest returns the request to send to the backend server. GetBody is not set, so that the transport cannot
// replay the body.
func (rq *request) backendRequest(ctx context.Context, addr string) *http.Request {
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

// readResponse validates the header of a response and reads the body up to maxBufferedBytes.
func (s *service) readResponse(rq *request, httpResp *http.Response) (*response, error) {
	if e := checkResponseHeader(rq, httpResp); e != nil {
		return nil, e
	}
	resp := &response{
		status: httpResp.StatusCode, header: endToEndHeader(httpResp.Header), trailer: httpResp.Trailer,
		length: httpResp.ContentLength, isHead: rq.method == http.MethodHead,
	}
	var err error
	n := httpResp.ContentLength
	switch {
	case n == 0 || !hasBody(rq.method, httpResp.StatusCode):
		_, err = io.Copy(io.Discard, httpResp.Body)
	case n > maxBufferedBytes:
		resp.body = make([]byte, maxBufferedBytes)
		_, err = io.ReadFull(httpResp.Body, resp.body)
		resp.remaining = httpResp.Body
	case n > 0:
		resp.body = make([]byte, n)
		_, err = io.ReadFull(httpResp.Body, resp.body)
	default:
		resp.body, err = io.ReadAll(io.LimitReader(httpResp.Body, maxBufferedBytes))
		if len(resp.body) == maxBufferedBytes {
			resp.remaining = httpResp.Body
		}
	}
	if err != nil {
		return nil, verdict.Wrap(err, verdict.MayHaveRun, verdict.ReasonResponseTruncated, http.StatusBadGateway,
			"the answer ended early")
	}
	return resp, nil
}

// checkResponseHeader rejects a response that is not final, that belongs to another request, or whose end cannot be
// determined.
func checkResponseHeader(rq *request, resp *http.Response) *verdict.Error {
	if resp.StatusCode < http.StatusOK {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonResponseInvalid, http.StatusBadGateway,
			"status "+strconv.Itoa(resp.StatusCode)+" is not a final answer")
	}
	// With the answer check "fresh" the identifier may be missing, but a response with a wrong identifier is still rejected.
	echoedID := resp.Header.Get(HeaderRequestID)
	if echoedID != rq.id && (echoedID != "" || rq.spec.AnswerCheck == resource.AnswerCheckEcho) {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonResponseMismatch, http.StatusBadGateway,
			"the answer does not carry the request's identifier")
	}
	chunked := len(resp.TransferEncoding) > 0
	if resp.ContentLength < 0 && !chunked && hasBody(rq.method, resp.StatusCode) {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonResponseInvalid, http.StatusBadGateway,
			"the answer has neither length nor chunks, so its end cannot be told")
	}
	return nil
}

// hasBody reports whether a response to method with this status can have a body.
func hasBody(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}
