package load

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/berylwharf/berylwharf/standin/backend"
	"github.com/berylwharf/berylwharf/verdict"
)

// Headers of requests to entry nodes and of their responses.
const (
	headerCustomer = "Berylwharf-Customer"
	headerUrgency  = "Berylwharf-Urgency"
	headerDeadline = "Berylwharf-Deadline-Ms"
	headerAttempt  = "Berylwharf-Attempt"
	headerReplayed = "Berylwharf-Replayed"
	// headerIdempotencyKey is the map key under which Idempotency-Key is sent. It is not in canonical form, because
	// net/http's transport resends a request without a body after a connection failure when it finds the canonical key.
	// The checker would count the resent request as an attempt of the load generator.
	headerIdempotencyKey = "idempotency-key"
)

// maxResponseBytes limits how much of a response body is read into memory. Responses of the backend stand-in have a few
// hundred bytes unless they are padded.
const maxResponseBytes = 64 << 20

// Kind classifies the result of an attempt or of a request.
type Kind string

// Kinds of results.
const (
	KindAnswered    Kind = "answered"      // complete response to this request
	KindFailed      Kind = "failed"        // complete response of a backend server with an error status
	KindNotRun      Kind = "not-run"       // refused with verdict not-run
	KindMayHaveRun  Kind = "may-have-run"  // refused with verdict may-have-run
	KindBroken      Kind = "broken"        // connection failed before the response was complete, or timeout
	KindWrong       Kind = "wrong-answer"  // response that belongs to another request or is corrupt
	KindUnreachable Kind = "not-reachable" // no entry address accepted a connection, so nothing was sent
)

// request is an event with the identifiers that its response must contain.
type request struct {
	event      Event
	token      string
	key        string // Idempotency-Key of a booking
	body       []byte
	bodySHA256 string // in hexadecimal
}

func newRequest(e Event) *request {
	r := &request{event: e, token: newToken()}
	if e.Method == http.MethodPost {
		r.key = e.Key
		if r.key == "" {
			r.key = r.token
		}
		r.body = append([]byte(r.token), bytes.Repeat([]byte{'.'}, max(0, e.BodyBytes-len(r.token)))...)
	}
	sum := sha256.Sum256(r.body)
	r.bodySHA256 = hex.EncodeToString(sum[:])
	return r
}

func (r *request) path() string { return "/svc/" + r.event.Service + r.event.Path }

func (r *request) query() string { return "request=" + r.token }

// attemptResult is the result of one attempt.
type attemptResult struct {
	kind       Kind
	reason     string
	requestID  string // assigned by the entry node; empty if the response does not contain it
	replayed   bool
	status     int
	retryAfter time.Duration
}

// attempt sends the request once to an entry address and classifies the response.
func (r *request) attempt(ctx context.Context, client *http.Client, addr string, number int, remaining time.Duration) attemptResult {
	// io.MultiReader hides the type of the body's reader, so that net/http does not set GetBody and cannot send the
	// body a second time.
	var body io.Reader
	if r.event.Method == http.MethodPost {
		body = io.MultiReader(bytes.NewReader(r.body))
	}
	req, err := http.NewRequestWithContext(ctx, r.event.Method, "http://"+addr+r.path()+"?"+r.query(), body)
	if err != nil {
		return attemptResult{kind: KindUnreachable, reason: err.Error()}
	}
	if body != nil {
		req.ContentLength = int64(len(r.body))
	}
	req.Header.Set(headerCustomer, r.event.Customer)
	req.Header.Set(headerUrgency, r.event.Urgency)
	req.Header.Set(headerDeadline, strconv.FormatInt(max(1, remaining.Milliseconds()), 10))
	if r.key != "" {
		req.Header[headerIdempotencyKey] = []string{r.key}
		req.Header.Set(headerAttempt, strconv.Itoa(number))
	}
	resp, err := client.Do(req)
	if err != nil {
		if dialFailed(err) {
			return attemptResult{kind: KindUnreachable, reason: "connection could not be established"}
		}
		return attemptResult{kind: KindBroken, reason: brokenReason(ctx, "connection failed before the response")}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return attemptResult{kind: KindBroken, status: resp.StatusCode, reason: brokenReason(ctx, "connection failed during the response")}
	}
	return r.classify(resp, data)
}

// dialFailed reports whether no connection was established, so that nothing was sent.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func brokenReason(ctx context.Context, reason string) string {
	if ctx.Err() != nil {
		return "timeout before the response was complete"
	}
	return reason
}

// classify determines the result of an attempt from a complete HTTP response.
func (r *request) classify(resp *http.Response, data []byte) attemptResult {
	a := attemptResult{
		status:    resp.StatusCode,
		requestID: resp.Header.Get(backend.RequestIDHeader),
		replayed:  resp.Header.Get(headerReplayed) == "true",
	}
	if v := resp.Header.Get(verdict.Header); v != "" {
		return r.classifyRefusal(a, verdict.Verdict(v), resp, data)
	}
	a.kind = KindAnswered
	if resp.StatusCode/100 != 2 {
		a.kind = KindFailed
		a.reason = "backend server responded with status " + strconv.Itoa(resp.StatusCode)
	}
	if difference := r.mismatch(a.requestID, data); difference != "" {
		a.kind = KindWrong
		a.reason = fmt.Sprintf("status %d: %s", resp.StatusCode, difference)
	}
	return a
}

func (r *request) classifyRefusal(a attemptResult, v verdict.Verdict, resp *http.Response, data []byte) attemptResult {
	var body verdict.Body
	err := json.Unmarshal(data, &body)
	if body.RequestID != "" {
		a.requestID = body.RequestID
	}
	a.reason = string(body.Reason)
	if seconds, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
		a.retryAfter = time.Duration(seconds) * time.Second
	}
	switch {
	case err != nil || body.Verdict != v || resp.StatusCode/100 == 2:
		a.kind = KindWrong
		a.reason = "verdict header does not match the status or the body"
	case v == verdict.NotRun:
		a.kind = KindNotRun
	case v == verdict.MayHaveRun:
		a.kind = KindMayHaveRun
	default:
		a.kind = KindWrong
		a.reason = "unknown verdict " + string(v)
	}
	return a
}

// mismatch compares a response with the request and describes the first difference, or returns "". The path may come
// with or without the prefix /svc/SERVICE, because the entry node may strip it.
func (r *request) mismatch(requestID string, data []byte) string {
	var got backend.Response
	if err := json.Unmarshal(data, &got); err != nil {
		return "body is not a response of a backend server"
	}
	switch {
	case requestID != "" && got.RequestID != requestID:
		return "request ID differs between header and body"
	case got.Query != r.query():
		return "response to another request: token differs"
	case got.Path != r.path() && got.Path != strings.TrimPrefix(r.path(), "/svc/"+r.event.Service):
		return "response to another request: path is " + got.Path
	case got.Method != r.event.Method:
		return "response to another request: method is " + got.Method
	case got.Key != r.key:
		return "response to another request: key differs"
	case got.BodySHA256 != r.bodySHA256:
		return "hash of the request body differs"
	}
	return ""
}
