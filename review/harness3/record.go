package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// record collects what was sent, answered and run.
type record struct {
	startedAt time.Time

	mu    sync.Mutex
	lines []string
}

func newRecord() *record { return &record{startedAt: time.Now()} }

// add adds a line with the time since the start.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, fmt.Sprintf("%8.3f ", time.Since(r.startedAt).Seconds())+fmt.Sprintf(format, args...))
}

// seconds returns a time as seconds since the start.
func (r *record) seconds(t time.Time) float64 { return t.Sub(r.startedAt).Seconds() }

func (r *record) save(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	const mode = 0o644
	return errors.Wrap(os.WriteFile(path, []byte(strings.Join(r.lines, "\n")+"\n"), mode), "record")
}
