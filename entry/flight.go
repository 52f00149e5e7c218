package entry

import (
	"context"
	"sync"
)

// flight counts the callers' requests and the attempts in flight.
type flight struct {
	mu       sync.Mutex
	draining bool
	total    int
	byVM     map[string]int
	idle     []chan struct{} // closed when total reaches 0
}

// enter counts a caller's request. It returns false while draining.
func (f *flight) enter() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.draining {
		return false
	}
	f.total++
	return true
}

// hold counts work that is not a caller's request, also while draining.
func (f *flight) hold() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.total++
}

func (f *flight) leave() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.change(-1)
}

// add counts attempts on vm.
func (f *flight) add(vm string, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.byVM[vm] += n
	if f.byVM[vm] == 0 {
		delete(f.byVM, vm)
	}
	f.change(n)
}

func (f *flight) change(n int) {
	f.total += n
	if f.total > 0 {
		return
	}
	for _, c := range f.idle {
		close(c)
	}
	f.idle = nil
}

func (f *flight) on(vm string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.byVM[vm]
}

func (f *flight) drain(ctx context.Context) error {
	f.mu.Lock()
	f.draining = true
	if f.total == 0 {
		f.mu.Unlock()
		return nil
	}
	c := make(chan struct{})
	f.idle = append(f.idle, c)
	f.mu.Unlock()
	select {
	case <-c:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
