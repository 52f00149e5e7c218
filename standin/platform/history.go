package platform

import "time"

// history keeps earlier versions of a value, so that the value at an earlier time can be read.
type history[T any] struct {
	versions []version[T] // sorted by time, never empty
}

type version[T any] struct {
	validFrom time.Time
	value     T
}

// newHistory returns a history in which the value is valid from the zero time.
func newHistory[T any](value T) *history[T] {
	return &history[T]{versions: []version[T]{{value: value}}}
}

func (h *history[T]) set(validFrom time.Time, value T) {
	h.versions = append(h.versions, version[T]{validFrom: validFrom, value: value})
}

func (h *history[T]) current() T { return h.versions[len(h.versions)-1].value }

// valueAt returns the value at the given time and drops the versions before it. The time must not decrease from call to
// call.
func (h *history[T]) valueAt(at time.Time) T {
	i := 0
	for i+1 < len(h.versions) && !h.versions[i+1].validFrom.After(at) {
		i++
	}
	h.versions = h.versions[i:]
	return h.versions[0].value
}
