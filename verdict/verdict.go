// Package verdict expresses what is known about a request that did not complete: whether a backend server may have
// executed it.
//
// Every error returned to a caller carries a Verdict. NotRun is a guarantee that no byte of the request reached a
// backend server under its request identifier; every less certain case is MayHaveRun.
package verdict

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// Header is the response header that carries the verdict of a response that was not produced by a backend server.
const Header = "Berylwharf-Verdict"

// Verdict states whether a request may have run.
type Verdict string

const (
	// NotRun means that the request did not run and will not run.
	NotRun Verdict = "not-run"
	// MayHaveRun means that the request may have run, completely or partially.
	MayHaveRun Verdict = "may-have-run"
)

// Reason is the machine-readable cause of a refusal. The values are stable and documented in docs/interface.md.
type Reason string

// Reasons of refusals, grouped by the component that refuses.
const (
	ReasonBadRequest       Reason = "bad-request"
	ReasonUnknownService   Reason = "unknown-service"
	ReasonUnknownCustomer  Reason = "unknown-customer"
	ReasonKeyUnknown       Reason = "key-unknown"
	ReasonForeignJob       Reason = "job-of-another-customer"
	ReasonTooLarge         Reason = "request-too-large"
	ReasonIdentifierReused Reason = "identifier-reused"
	ReasonIdentifierFuture Reason = "identifier-in-future"

	ReasonQueueFull           Reason = "queue-full"
	ReasonQuota               Reason = "quota-exceeded"
	ReasonDeadlineUnreachable Reason = "deadline-cannot-be-met"
	ReasonDraining            Reason = "draining"
	ReasonNotReady            Reason = "not-ready"

	ReasonNoBackend          Reason = "no-backend-server"
	ReasonBackendUnreachable Reason = "backend-server-unreachable"
	ReasonConnectionBroken   Reason = "connection-broken"
	ReasonDeadline           Reason = "deadline-exceeded"
	ReasonResponseTruncated  Reason = "answer-truncated"
	ReasonResponseMismatch   Reason = "answer-mismatch"
	ReasonResponseInvalid    Reason = "answer-invalid"

	ReasonDuplicateInProgress   Reason = "duplicate-in-progress"
	ReasonDuplicateCompleted    Reason = "duplicate-completed"
	ReasonEarlierAttemptUnknown Reason = "earlier-attempt-unknown"
	ReasonClaimUnreachable      Reason = "claim-home-unreachable"
	ReasonInternal              Reason = "internal"
)

// Error is a refusal with its verdict. Status is the HTTP status sent to the caller. RetryAfter is zero if no retry
// delay can be given.
type Error struct {
	Verdict    Verdict
	Reason     Reason
	Message    string
	Status     int
	RetryAfter time.Duration
	Cause      error
}

// New returns a refusal without a cause.
func New(v Verdict, r Reason, status int, message string) *Error {
	return &Error{Verdict: v, Reason: r, Status: status, Message: message}
}

// Wrap returns a refusal that retains its cause for logging. The cause is not sent to the caller.
func Wrap(cause error, v Verdict, r Reason, status int, message string) *Error {
	return &Error{Verdict: v, Reason: r, Status: status, Message: message, Cause: cause}
}

// Error implements error.
func (e *Error) Error() string {
	s := string(e.Verdict) + ": " + string(e.Reason) + ": " + e.Message
	if e.Cause != nil {
		s += ": " + e.Cause.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// From converts err to a refusal. An error of any other type becomes MayHaveRun, because nothing is known about the
// request.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(err, MayHaveRun, ReasonInternal, http.StatusBadGateway, "internal error")
}

// Body is the JSON body of a refusal.
type Body struct {
	Verdict      Verdict `json:"verdict"`
	Reason       Reason  `json:"reason"`
	Message      string  `json:"message"`
	Service      string  `json:"service,omitempty"`
	RequestID    string  `json:"requestId,omitempty"`
	RetryAfterMs int64   `json:"retryAfterMs,omitempty"`
}

// Write sends the refusal to the caller with status, headers and JSON body.
func (e *Error) Write(w http.ResponseWriter, service, requestID string) {
	h := w.Header()
	h.Set(Header, string(e.Verdict))
	h.Set("Content-Type", "application/json")
	if e.RetryAfter > 0 {
		seconds := int64((e.RetryAfter + time.Second - 1) / time.Second)
		h.Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	w.WriteHeader(e.Status)
	body := Body{
		Verdict: e.Verdict, Reason: e.Reason, Message: e.Message,
		Service: service, RequestID: requestID, RetryAfterMs: e.RetryAfter.Milliseconds(),
	}
	// The caller may have closed the connection, in which case there is nobody to report the error to.
	_ = json.NewEncoder(w).Encode(body)
}
