package load

import (
	"sync"
	"time"
)

// downTime is how long an address that refused a connection is skipped.
const downTime = 500 * time.Millisecond

// entries hands out entry addresses in turn, as a load balancer would.
type entries struct {
	mu    sync.Mutex
	addrs []string
	down  []time.Time // until when the address is skipped
	next  int
}

func newEntries(addrs []string) *entries {
	return &entries{addrs: addrs, down: make([]time.Time, len(addrs))}
}

// pick returns the next address that is not skipped and not in tried; when all are skipped, the next one not in tried.
// ok is false when all were tried.
func (e *entries) pick(tried map[string]bool, now time.Time) (addr string, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	fallback := -1
	for range e.addrs {
		i := e.next
		e.next = (e.next + 1) % len(e.addrs)
		if tried[e.addrs[i]] {
			continue
		}
		if now.After(e.down[i]) {
			return e.addrs[i], true
		}
		if fallback < 0 {
			fallback = i
		}
	}
	if fallback < 0 {
		return "", false
	}
	return e.addrs[fallback], true
}

func (e *entries) markDown(addr string, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, a := range e.addrs {
		if a == addr {
			e.down[i] = now.Add(downTime)
		}
	}
}
