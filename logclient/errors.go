package logclient

import (
	"fmt"
	"net"
	"syscall"

	"github.com/pkg/errors"
)

// ErrResponseTooLarge means that a response exceeds Config.MaxResponseBytes. A read can be retried with fewer records.
var ErrResponseTooLarge = errors.New("response of the log service exceeds the size limit")

// AppendError is the type of all errors of Append.
type AppendError struct {
	// MayTakeEffect is false only if it is certain that no record of the append was or will be stored: the request was not
	// sent, the connection was refused, or the response was status 503 with the header Platform-Effect: none.
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

// MayTakeEffect reports whether an append that returned err may have taken effect. It is true for errors of other types
// than *AppendError, because nothing is known of their outcome.
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

// GoneError means that the log service has deleted the record at the requested offset (status 410).
type GoneError struct {
	Oldest uint64 // offset of the oldest retained record
	Next   uint64 // offset that the next appended record will get
}

// Error implements error.
func (e *GoneError) Error() string {
	return fmt.Sprintf("records are no longer kept: oldest offset is %d, next is %d", e.Oldest, e.Next)
}

// StatusError is a response with a status other than 200, and for a read other than 410.
type StatusError struct {
	Status int    // HTTP status
	Body   string // first bytes of the body
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("log service returned status %d: %q", e.Status, e.Body)
}

// connectionRefused reports whether the connection was refused, so that no byte of the request was sent. This cannot hide
// an earlier transmission, because the HTTP transport does not dial again after it has written a part of a POST request.
func connectionRefused(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial" && errors.Is(err, syscall.ECONNREFUSED)
}
