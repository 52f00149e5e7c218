package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run to a file, one line each.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: f, start: time.Now()}, nil
}

// add writes one line: the seconds since the start, who acted, and what happened.
func (r *recorder) add(who, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// A record that can't be written doesn't change the result.
	_, _ = fmt.Fprintf(r.file, "%8.3f %s: %s\n", time.Since(r.start).Seconds(), who, fmt.Sprintf(format, args...))
}

// seconds returns a point in time as it stands in the record.
func (r *recorder) seconds(t time.Time) float64 { return t.Sub(r.start).Seconds() }

func (r *recorder) close() { _ = r.file.Close() }
