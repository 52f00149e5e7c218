package platform

import "time"

// lagged keeps the versions of a value, so that it can be read as it was some time ago.
type lagged[T any] struct {
	versions []version[T] // in order of time, never empty
}

type version[T any] struct {
	at    time.Time
	value T
}

// newLagged returns a value that was the same at all times before.
func newLagged[T any](value T) *lagged[T] {
	return &lagged[T]{versions: []version[T]{{value: value}}}
}

func (l *lagged[T]) set(at time.Time, value T) {
	l.versions = append(l.versions, version[T]{at: at, value: value})
}

func (l *lagged[T]) current() T { return l.versions[len(l.versions)-1].value }

// asOf returns the value as it was at the given time and drops versions before it. Times must not decrease.
func (l *lagged[T]) asOf(at time.Time) T {
	i := 0
	for i+1 < len(l.versions) && !l.versions[i+1].at.After(at) {
		i++
	}
	l.versions = l.versions[i:]
	return l.versions[0].value
}
