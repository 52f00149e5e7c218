package entry

import (
	"context"
	"slices"
	"sync"
	"time"
)

// SlotsPerWorker is the maximum number of requests that run on a worker at the same time.
const SlotsPerWorker = 8

// LocalSlots implements Slots in memory for an entry node that does not share the workers with other nodes.
type LocalSlots struct {
	mu      sync.Mutex
	used    map[string]int
	waiters []*slotWaiter
}

type slotWaiter struct {
	candidates []string
	granted    chan string // capacity 1
}

// NewLocalSlots returns a LocalSlots with all slots free.
func NewLocalSlots() *LocalSlots { return &LocalSlots{used: make(map[string]int)} }

// Acquire implements Slots.
func (l *LocalSlots) Acquire(ctx context.Context, candidates []string) (string, error) {
	l.mu.Lock()
	for _, vm := range candidates {
		if l.used[vm] < SlotsPerWorker {
			l.used[vm]++
			l.mu.Unlock()
			return vm, nil
		}
	}
	w := &slotWaiter{candidates: slices.Clone(candidates), granted: make(chan string, 1)}
	l.waiters = append(l.waiters, w)
	l.mu.Unlock()
	select {
	case vm := <-w.granted:
		return vm, nil
	case <-ctx.Done():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if i := slices.Index(l.waiters, w); i >= 0 {
		l.waiters = slices.Delete(l.waiters, i, i+1)
		return "", ctx.Err()
	}
	return <-w.granted, nil
}

// Return implements Slots.
func (l *LocalSlots) Return(vm string, quarantine time.Duration) {
	if quarantine > 0 {
		time.AfterFunc(quarantine, func() { l.release(vm) })
		return
	}
	l.release(vm)
}

func (l *LocalSlots) release(vm string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, w := range l.waiters {
		if slices.Contains(w.candidates, vm) {
			l.waiters = slices.Delete(l.waiters, i, i+1)
			w.granted <- vm
			return
		}
	}
	l.used[vm]--
	if l.used[vm] == 0 {
		delete(l.used, vm)
	}
}

// Used returns the number of slots of vm that are held or in quarantine.
func (l *LocalSlots) Used(vm string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.used[vm]
}
