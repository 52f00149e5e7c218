package connlimit

import (
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// connCost is charged for each connection, in bytes: the read and the write buffer of net/http (4 KB each), two goroutine
	// stacks, the structures of a connection and its request, and the allowance.
	connCost = 20<<10 + allowance
	// allowance is what a request may cost without a further charge, so that ordinary requests of HTTP/1 do not contend for the
	// account. A head of 10 lines and a short body cost about 5 KB.
	allowance = 6 << 10
	// streamsCost is charged in addition for a connection that uses HTTP/2: receive buffers, header table, one header block and
	// the first includedStreams of the requests that are open at the same time.
	streamsCost     = 128<<10 + includedStreams*streamCost
	includedStreams = 2
	// streamCost is charged for each further request: goroutines, structures of the request and write buffer of the response.
	streamCost = 24 << 10
	// maxWait limits how long a reader waits for memory before its request is refused.
	maxWait = time.Second
	// minAge is the time in a phase before a connection may be closed to free memory. The rest of a request that the client has
	// sent at once may still be in the kernel's buffer.
	minAge = 200 * time.Millisecond
	// reclaimInterval is how often a waiting reader looks for connections that have become slow.
	reclaimInterval = minAge + 50*time.Millisecond
	// reclaimPause is the time between two attempts to free memory for requests of HTTP/2.
	reclaimPause = 20 * time.Millisecond
	// 1/reclaimDivisor of the memory is freed at once when it is exhausted. If only the need of one reader were freed, all
	// connections would be sorted again for every reader.
	reclaimDivisor = 8
	// 1/acceptDivisor of the memory is reserved for new connections, so that a caller with a small request is accepted while
	// others wait for memory.
	acceptDivisor = 8
	// 1/batchDivisor of the connections is closed at once when there are too many, so that not every new one sorts all of them.
	batchDivisor = 16
	// idleDivisor reduces the weight of a connection that is idle after a complete request, because its client has shown that it
	// sends whole requests.
	idleDivisor = 4
)

// Errors of readers.
var (
	// ErrRefused is returned to a reader for which there is no memory. The request that it reads was not processed.
	ErrRefused = errors.New("no memory for the request")
	errClosed  = errors.New("closed to free memory or descriptors")
)

// Account is the budget of one process for its clients. Its methods may be called by several goroutines.
type Account struct {
	limit    int64 // bytes
	requests int64 // bytes up to which requests may be charged
	maxConns int
	soft     int64 // soft limit of the runtime's memory in bytes, 0 for none
	started  time.Time
	refusals refusals

	used        atomic.Int64 // bytes charged
	waiters     atomic.Int64 // length of queue
	reclaimedAt atomic.Int64 // when memory was last freed for a request of HTTP/2, in now

	queueMu sync.Mutex
	queue   []*waiter

	mu       sync.Mutex
	conns    map[*Conn]struct{}
	closing  int   // connections closed by the account that the server has not closed yet
	expected int64 // bytes that these will release
}

// waiter is a reader that waits for memory.
type waiter struct {
	need    int64
	granted chan struct{}
}

// NewAccount returns the account of a process with the limits. Refusals are reported to report, which must not block.
func NewAccount(limits Limits, report func(Refusal)) *Account {
	a := &Account{started: time.Now(), conns: make(map[*Conn]struct{})}
	a.limit, a.maxConns, a.soft = limits.budget(processFDs())
	a.requests = a.limit - a.limit/acceptDivisor
	a.refusals.init(report)
	return a
}

// now returns the time since the account was created, in nanoseconds.
func (a *Account) now() int64 { return int64(time.Since(a.started)) }

// take charges n bytes for a request and returns true, or returns false if they do not fit.
func (a *Account) take(n int64) bool {
	for {
		used := a.used.Load()
		if used+n > a.requests {
			return false
		}
		if a.used.CompareAndSwap(used, used+n) {
			return true
		}
	}
}

// charge charges n bytes for a connection. If they do not fit, it closes other connections and waits for the memory. It
// returns ErrRefused if there is none in time, and errClosed if the connection itself is closed to free memory.
func (a *Account) charge(c *Conn, n int64) error {
	if !a.take(n) {
		if err := a.wait(c, n); err != nil {
			return err
		}
	}
	c.charged.Add(n)
	return nil
}

// chargeAtOnce charges n bytes for a connection, or returns ErrRefused if they do not fit. It closes other connections then, but
// does not wait for their memory.
func (a *Account) chargeAtOnce(c *Conn, n int64) error {
	if !a.take(n) {
		a.reclaimForStreams(c, n)
		return ErrRefused
	}
	c.charged.Add(n)
	return nil
}

// reclaimForStreams frees memory for requests of HTTP/2, at most once in reclaimPause, because very many may be refused at once.
func (a *Account) reclaimForStreams(c *Conn, n int64) {
	last, now := a.reclaimedAt.Load(), a.now()
	if now-last >= int64(reclaimPause) && a.reclaimedAt.CompareAndSwap(last, now) {
		a.freeMemory(c, n)
	}
}

// release returns n charged bytes to the account and serves the readers that wait.
func (a *Account) release(n int64) {
	if n == 0 {
		return
	}
	a.used.Add(-n)
	if a.waiters.Load() > 0 {
		a.serveQueue()
	}
}

// wait frees memory and waits until n bytes are charged.
func (a *Account) wait(c *Conn, n int64) error {
	if c.closed.Load() {
		return errClosed
	}
	if n > a.requests {
		return ErrRefused
	}
	began := a.now()
	c.waiting.Store(true)
	defer func() {
		c.since.Add(a.now() - began)
		c.waiting.Store(false)
	}()
	w := &waiter{need: n, granted: make(chan struct{})}
	a.queueMu.Lock()
	a.queue = append(a.queue, w)
	a.waiters.Add(1)
	a.queueMu.Unlock()
	if a.freeMemory(c, n) {
		a.leaveQueue(w)
		return errClosed
	}
	a.serveQueue()
	ticker := time.NewTicker(reclaimInterval)
	defer ticker.Stop()
	for end := time.Now().Add(maxWait); time.Now().Before(end); {
		select {
		case <-w.granted:
			return nil
		case <-ticker.C:
		}
		if a.freeMemory(c, n) || c.closed.Load() {
			a.leaveQueue(w)
			return errClosed
		}
	}
	if a.dequeue(w) {
		return ErrRefused
	}
	return nil
}

// leaveQueue ends the wait of a reader whose connection was closed, and releases what was charged for it meanwhile.
func (a *Account) leaveQueue(w *waiter) {
	if !a.dequeue(w) {
		a.release(w.need)
	}
}

// dequeue removes a waiter. It returns false if the waiter's memory has been charged.
func (a *Account) dequeue(w *waiter) bool {
	a.queueMu.Lock()
	defer a.queueMu.Unlock()
	i := slices.Index(a.queue, w)
	if i < 0 {
		return false
	}
	a.queue = slices.Delete(a.queue, i, i+1)
	a.waiters.Add(-1)
	return true
}

// serveQueue charges the memory of the readers that wait, in the order of their arrival, as far as it fits.
func (a *Account) serveQueue() {
	a.queueMu.Lock()
	defer a.queueMu.Unlock()
	for len(a.queue) > 0 && a.take(a.queue[0].need) {
		close(a.queue[0].granted)
		a.queue = slices.Delete(a.queue, 0, 1)
		a.waiters.Add(-1)
	}
}

// freeMemory closes connections so that n bytes will fit. It returns true if self is one of the closed connections.
func (a *Account) freeMemory(self *Conn, n int64) (closedSelf bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.used.Load()-a.expected+n <= a.requests {
		return false
	}
	for _, c := range a.candidates(minAge) {
		if a.used.Load()-a.expected+n <= a.requests-a.requests/reclaimDivisor {
			break
		}
		a.close(c, ClosedForMemory)
		closedSelf = closedSelf || c == self
	}
	return closedSelf
}

// candidates returns the connections that have been closable for at least the given time, in descending order of charge times
// duration. The caller holds mu.
func (a *Account) candidates(age time.Duration) []*Conn {
	type candidate struct {
		c      *Conn
		weight float64
	}
	now := a.now()
	list := make([]candidate, 0, len(a.conns))
	for c := range a.conns {
		since, closable := c.closableSince(now)
		if c.closed.Load() || !closable || now-since < int64(age) {
			continue
		}
		weight := float64(c.charged.Load()) * float64(now-since)
		if c.phase.Load() == phaseIdle {
			weight /= idleDivisor
		}
		list = append(list, candidate{c, weight})
	}
	slices.SortFunc(list, func(x, y candidate) int {
		switch {
		case x.weight > y.weight:
			return -1
		case x.weight < y.weight:
			return 1
		}
		return 0
	})
	out := make([]*Conn, len(list))
	for i, x := range list {
		out[i] = x.c
	}
	return out
}

// close closes a connection. Its charge is released when the server closes it, too. The caller holds mu.
func (a *Account) close(c *Conn, kind Kind) {
	c.closed.Store(true)
	c.expected = c.charged.Load()
	a.expected += c.expected
	a.closing++
	// The server gets an error from its next call and closes the connection.
	_ = c.Conn.Close()
	a.refusals.add(kind, c.listener)
}

// admit charges a new connection. It closes others if there are too many or if they hold all memory. It returns false if
// that is not enough.
func (a *Account) admit(c *Conn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.conns)-a.closing >= a.maxConns {
		candidates := a.candidates(0)
		for _, x := range candidates[:min(len(candidates), max(1, a.maxConns/batchDivisor))] {
			a.close(x, ClosedForDescriptors)
		}
	}
	if a.used.Load()-a.expected+connCost > a.limit {
		for _, x := range a.candidates(0) {
			if a.used.Load()-a.expected+connCost <= a.requests {
				break
			}
			a.close(x, ClosedForMemory)
		}
	}
	// Connections that are being closed hold their memory until the server has closed them. Their number is bounded, so that
	// clients that reconnect at once are not accepted faster than their earlier connections end.
	if len(a.conns)-a.closing >= a.maxConns || a.closing > a.maxConns || a.used.Load()-a.expected+connCost > a.limit {
		return false
	}
	a.used.Add(connCost)
	c.charged.Store(connCost)
	a.conns[c] = struct{}{}
	return true
}

// remove removes a connection and releases its charge.
func (a *Account) remove(c *Conn) {
	a.mu.Lock()
	if _, ok := a.conns[c]; !ok {
		a.mu.Unlock()
		return
	}
	delete(a.conns, c)
	if c.closed.Load() {
		a.closing--
		a.expected -= c.expected
	}
	a.mu.Unlock()
	a.release(c.charged.Swap(0))
}

// open returns the number of open connections.
func (a *Account) open() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.conns)
}
