package logclient

import (
	"fmt"
	"net"
	"syscall"

	"github.com/pkg/errors"
)

// ErrTooLarge means that an answer exceeds Config.MaxResponseBytes. A read can be repeated with fewer records.
var ErrTooLarge = errors.New("answer of the log service exceeds the size bound")

// AppendError is the error of Append.
type AppendError struct {
	// MayTakeEffect is false only with proof that no record of the append was or will be stored: it was not sent, the
	// connection was refused, or the answer was 503 with Platform-Effect: none.
	MayTakeEffect bool
	Err           error
}

// Error implements error.
func (e *AppendError) Error() string {
	if e.MayTakeEffect {
		return "append with unknown outcome: " + e.Err.Error()
	}
	return "append without effect: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *AppendError) Unwrap() error { return e.Err }

// MayTakeEffect reports whether an append that ended with err may have taken effect. Errors of unknown types count as
// unknown outcomes.
func MayTakeEffect(err error) bool {
	if err == nil {
		return true
	}
	var ae *AppendError
	if errors.As(err, &ae) {
		return ae.MayTakeEffect
	}
	return true
}

// GoneError means that the log no longer keeps the records from the requested offset on (status 410).
type GoneError struct {
	Oldest uint64 // offset of the oldest kept record
	Next   uint64 // next free offset
}

// Error implements error.
func (e *GoneError) Error() string {
	return fmt.Sprintf("records are no longer kept: oldest offset is %d, next is %d", e.Oldest, e.Next)
}

// StatusError is an answer with a status that the protocol does not use for results.
type StatusError struct {
	Status int    // HTTP status
	Body   string // first bytes of the body
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("log service answered with status %d: %q", e.Status, e.Body)
}

// refused reports whether the connection was refused, so that no byte of the request was sent. The HTTP transport does
// not dial again after it wrote a part of a POST request.
func refused(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial" && errors.Is(err, syscall.ECONNREFUSED)
}
