package entry

import (
	"context"
	"sync"
)

// inFlightCounter counts callers' requests, attempts and unassigned slots in flight.
type inFlightCounter struct {
	mu           sync.Mutex
	draining     bool
	total        int
	byVM         map[string]int
	drainWaiters []chan struct{} // closed when total reaches 0
}

// beginRequest counts a caller's request. It returns false if the node is draining.
func (f *inFlightCounter) beginRequest() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.draining {
		return false
	}
	f.total++
	return true
}

// beginInternal counts an operation that is not a caller's request and is permitted while draining.
func (f *inFlightCounter) beginInternal() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.total++
}

// end ends a request or operation counted by beginRequest or beginInternal.
func (f *inFlightCounter) end() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.addToTotal(-1)
}

// addAttempts adds n, which may be negative, to the number of attempts on vm.
func (f *inFlightCounter) addAttempts(vm string, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.byVM[vm] += n
	if f.byVM[vm] == 0 {
		delete(f.byVM, vm)
	}
	f.addToTotal(n)
}

// addToTotal adds n to the total and wakes the callers of drain when it reaches 0. The caller holds f.mu.
func (f *inFlightCounter) addToTotal(n int) {
	f.total += n
	if f.total > 0 {
		return
	}
	for _, c := range f.drainWaiters {
		close(c)
	}
	f.drainWaiters = nil
}

func (f *inFlightCounter) attemptsOn(vm string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.byVM[vm]
}

// drain refuses further requests and waits until nothing is in flight or ctx is done.
func (f *inFlightCounter) drain(ctx context.Context) error {
	f.mu.Lock()
	f.draining = true
	if f.total == 0 {
		f.mu.Unlock()
		return nil
	}
	c := make(chan struct{})
	f.drainWaiters = append(f.drainWaiters, c)
	f.mu.Unlock()
	select {
	case <-c:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
