package load

import (
	"sync"
	"time"
)

// downDuration is how long an address is skipped after it refused a connection.
const downDuration = 500 * time.Millisecond

// entryPool selects entry addresses in round-robin order, as a load balancer does.
type entryPool struct {
	mu        sync.Mutex
	addrs     []string
	downUntil []time.Time // per address; it is skipped until then
	next      int
}

func newEntryPool(addrs []string) *entryPool {
	return &entryPool{addrs: addrs, downUntil: make([]time.Time, len(addrs))}
}

// pick returns the next address that is neither marked down nor excluded or, if there is none, the next address that is
// not excluded. ok is false if all addresses are excluded.
func (e *entryPool) pick(excluded map[string]bool, now time.Time) (addr string, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	fallback := -1
	for range e.addrs {
		i := e.next
		e.next = (e.next + 1) % len(e.addrs)
		if excluded[e.addrs[i]] {
			continue
		}
		if now.After(e.downUntil[i]) {
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

func (e *entryPool) markDown(addr string, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, a := range e.addrs {
		if a == addr {
			e.downUntil[i] = now.Add(downDuration)
		}
	}
}
