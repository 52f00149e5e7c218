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

// Request and response headers of berylwharf.
const (
	headerCustomer = "Berylwharf-Customer"
	headerUrgency  = "Berylwharf-Urgency"
	headerDeadline = "Berylwharf-Deadline-Ms"
	headerAttempt  = "Berylwharf-Attempt"
	headerReplayed = "Berylwharf-Replayed"
	// headerKey is the map key under which Idempotency-Key is sent. Under its canonical form net/http's transport would
	// send a request without a body again on a broken connection, which the checker would count as an attempt of ours.
	headerKey = "idempotency-key"
)

// maxAnswerBytes bounds an answer in memory. Answers of the stand-in have a few hundred bytes unless they are padded.
const maxAnswerBytes = 64 << 20

// Kind classifies how an attempt or a request ended.
type Kind string

// The kinds of ends.
const (
	KindAnswered    Kind = "answered"      // complete answer to this request
	KindFailed      Kind = "failed"        // complete answer of a backend server with an error status
	KindNotRun      Kind = "not-run"       // refused with verdict not-run
	KindMayHaveRun  Kind = "may-have-run"  // refused with verdict may-have-run
	KindBroken      Kind = "broken"        // connection ended before a complete answer, or no answer in time
	KindWrong       Kind = "wrong-answer"  // an answer that belongs to another request or is damaged
	KindUnreachable Kind = "not-reachable" // no entry address accepted a connection: nothing was sent
)

// request is one event with the identifiers that make its answer recognisable.
type request struct {
	event Event
	token string
	key   string // Idempotency-Key of a booking
	body  []byte
	sum   string // SHA-256 of body
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
	r.sum = hex.EncodeToString(sum[:])
	return r
}

func (r *request) path() string { return "/svc/" + r.event.Service + r.event.Path }

func (r *request) query() string { return "request=" + r.token }

// attempt is the end of one attempt.
type attempt struct {
	kind       Kind
	reason     string
	requestID  string // assigned by the entry node, as far as its answer tells
	replayed   bool
	status     int
	retryAfter time.Duration
}

// attempt sends the request once to an entry address.
func (r *request) attempt(ctx context.Context, client *http.Client, addr string, number int, left time.Duration) attempt {
	// The body is hidden behind io.MultiReader, so that net/http sets no GetBody and cannot send it a second time.
	var body io.Reader
	if r.event.Method == http.MethodPost {
		body = io.MultiReader(bytes.NewReader(r.body))
	}
	req, err := http.NewRequestWithContext(ctx, r.event.Method, "http://"+addr+r.path()+"?"+r.query(), body)
	if err != nil {
		return attempt{kind: KindUnreachable, reason: err.Error()}
	}
	if body != nil {
		req.ContentLength = int64(len(r.body))
	}
	req.Header.Set(headerCustomer, r.event.Customer)
	req.Header.Set(headerUrgency, r.event.Urgency)
	req.Header.Set(headerDeadline, strconv.FormatInt(max(1, left.Milliseconds()), 10))
	if r.key != "" {
		req.Header[headerKey] = []string{r.key}
		req.Header.Set(headerAttempt, strconv.Itoa(number))
	}
	resp, err := client.Do(req)
	if err != nil {
		if dialFailed(err) {
			return attempt{kind: KindUnreachable, reason: "connection refused"}
		}
		return attempt{kind: KindBroken, reason: brokenReason(ctx, "no answer")}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return attempt{kind: KindBroken, status: resp.StatusCode, reason: brokenReason(ctx, "answer cut")}
	}
	return r.classify(resp, data)
}

// dialFailed reports whether no connection came about, so that nothing was sent.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func brokenReason(ctx context.Context, otherwise string) string {
	if ctx.Err() != nil {
		return "no complete answer in time"
	}
	return otherwise
}

// classify judges a complete HTTP answer.
func (r *request) classify(resp *http.Response, data []byte) attempt {
	a := attempt{
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
		a.reason = "backend server answered " + strconv.Itoa(resp.StatusCode)
	}
	if fault := r.mismatch(a.requestID, data); fault != "" {
		a.kind = KindWrong
		a.reason = fmt.Sprintf("status %d: %s", resp.StatusCode, fault)
	}
	return a
}

func (r *request) classifyRefusal(a attempt, v verdict.Verdict, resp *http.Response, data []byte) attempt {
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
		a.reason = "refusal with an inconsistent header, status or body"
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

// mismatch compares an answer with the request and names the first difference, or returns "". The path may come with or
// without the prefix /svc/SERVICE, since the entry node may strip it.
func (r *request) mismatch(requestID string, data []byte) string {
	var got backend.Answer
	if err := json.Unmarshal(data, &got); err != nil {
		return "answer is not the backend server's JSON"
	}
	switch {
	case requestID != "" && got.RequestID != requestID:
		return "request id differs between header and body"
	case got.Query != r.query():
		return "answer to another request (token)"
	case got.Path != r.path() && got.Path != strings.TrimPrefix(r.path(), "/svc/"+r.event.Service):
		return "answer to another path " + got.Path
	case got.Method != r.event.Method:
		return "answer to another method " + got.Method
	case got.Key != r.key:
		return "answer to another key"
	case got.BodySHA256 != r.sum:
		return "body hash differs"
	}
	return ""
}
