package entry

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// userTimeout (TCP_USER_TIMEOUT) limits how long sent data may remain unacknowledged. The kernel acknowledges data for
	// a slow server, but nothing does if the network path has lost the connection.
	userTimeout = 3 * time.Second
	dialTimeout = time.Second
	// maxIdlePerWorker limits the idle connections of one node to a worker. Connections for the worker's 8 slots and 4 idle
	// connections from each of 14 nodes fit into a worker's limit of 64 connections.
	maxIdlePerWorker = 4
	// maxIdleAge is the time after a complete response within which a connection may be reused. Only non-repeatable
	// requests need this limit, but it applies to all, so that they share one pool and one idle limit for each worker.
	maxIdleAge             = 2 * time.Second
	maxResponseHeaderBytes = 256 << 10
	transportBufferBytes   = 8 << 10
	keepAliveIdle          = time.Second
	keepAliveInterval      = time.Second
	keepAliveCount         = 3
)

var (
	errSecondConnection = errors.New("attempt has already written to another connection")
	errDeadlinePassed   = errors.New("deadline passed before the first byte was written")
	errAttemptEnded     = errors.New("attempt has ended")
	errNoAttempt        = errors.New("write on a connection that no attempt uses")
	sealedSentinel      = new(trackedConn)
	closingSentinel     = new(attempt)
)

// attempt is one transmission of a request to a backend server. Its bytes are written to at most one connection.
// trackedConn enforces this, regardless of retries in the HTTP transport.
type attempt struct {
	// writer is the connection to which the request is written. It is nil if nothing has been written yet, and
	// sealedSentinel if the attempt ended without a write.
	writer   atomic.Pointer[trackedConn]
	conn     atomic.Pointer[trackedConn]
	reused   atomic.Bool
	received atomic.Bool
	deadline time.Time
	clock    func() time.Time
	cancel   context.CancelFunc
}

// seal ends an attempt that has not written anything, so that later writes fail. It reports whether it did: true proves
// that nothing was written, false means that the request may have been written.
func (a *attempt) seal() bool {
	return a.writer.CompareAndSwap(nil, sealedSentinel) || a.writer.Load() == sealedSentinel
}

// authorizeWrite returns nil if the attempt may write to c. The first write selects the connection.
func (a *attempt) authorizeWrite(c *trackedConn) error {
	w := a.writer.Load()
	if w == c {
		return nil
	}
	if w == nil && !a.clock().Before(a.deadline) {
		return errDeadlinePassed
	}
	if w == nil && a.writer.CompareAndSwap(nil, c) {
		return nil
	}
	// Cancelling stops the transport from trying its other connections.
	a.cancel()
	if a.writer.Load() == sealedSentinel {
		return errAttemptEnded
	}
	return errSecondConnection
}

// trackedConn is a connection to a backend server that is registered with a connTracker.
type trackedConn struct {
	net.Conn
	tracker *connTracker
	addr    string
	dialSeq uint64
	// current is the attempt that uses the connection. It is nil if the connection is idle, and closingSentinel if the
	// connection is being closed.
	current   atomic.Pointer[attempt]
	closeOnce sync.Once
}

// bind sets the attempt that uses the connection. The transport may hand out the connection before the PutIdleConn hook
// of the previous attempt has run, so a previous attempt is replaced. A connection that is being closed is not bound, so
// that writes to it fail.
func (c *trackedConn) bind(a *attempt) {
	for {
		old := c.current.Load()
		if old == closingSentinel || c.current.CompareAndSwap(old, a) {
			return
		}
	}
}

// Write implements net.Conn. It fails if the write would violate the at-most-once guarantee.
func (c *trackedConn) Write(b []byte) (int, error) {
	a := c.current.Load()
	if a == nil {
		return 0, errNoAttempt
	}
	if a == closingSentinel {
		return 0, net.ErrClosed
	}
	firstWrite := a.writer.Load() == nil
	if err := a.authorizeWrite(c); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(b)
	if n == 0 && err != nil && firstWrite {
		// The kernel accepted no byte, so the request is still unwritten.
		a.writer.CompareAndSwap(c, nil)
	}
	return n, err
}

// Read implements net.Conn.
func (c *trackedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		if a := c.current.Load(); a != nil {
			a.received.Store(true)
		}
	}
	return n, err
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.closeOnce.Do(func() { c.tracker.remove(c) })
	return c.Conn.Close()
}

// connTracker dials backend servers and tracks the open connections to each.
type connTracker struct {
	dialer      net.Dialer
	mu          sync.Mutex
	lastDialSeq uint64
	byAddr      map[string]map[*trackedConn]struct{}
}

func newConnTracker() *connTracker {
	return &connTracker{
		byAddr: make(map[string]map[*trackedConn]struct{}),
		dialer: net.Dialer{
			Timeout: dialTimeout,
			KeepAliveConfig: net.KeepAliveConfig{
				Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
			},
			Control: setUserTimeout,
		},
	}
}

func setUserTimeout(_, _ string, rc syscall.RawConn) error {
	var opt error
	err := rc.Control(func(fd uintptr) {
		opt = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return opt
}

func (t *connTracker) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	nc, err := t.dialer.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastDialSeq++
	c := &trackedConn{Conn: nc, tracker: t, addr: addr, dialSeq: t.lastDialSeq}
	set := t.byAddr[addr]
	if set == nil {
		set = make(map[*trackedConn]struct{})
		t.byAddr[addr] = set
	}
	set[c] = struct{}{}
	return c, nil
}

func (t *connTracker) remove(c *trackedConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	set := t.byAddr[c.addr]
	delete(set, c)
	if len(set) == 0 {
		delete(t.byAddr, c.addr)
	}
}

// closeOlderIdle closes the idle connections to the same server that are older than unanswered. They use the same network
// path and are likely to be broken as well.
func (t *connTracker) closeOlderIdle(unanswered *trackedConn) {
	var old []*trackedConn
	t.mu.Lock()
	for c := range t.byAddr[unanswered.addr] {
		if c.dialSeq < unanswered.dialSeq && c.current.CompareAndSwap(nil, closingSentinel) {
			old = append(old, c)
		}
	}
	t.mu.Unlock()
	for _, c := range old {
		// The connection is no longer used, so an error while closing it has no effect.
		_ = c.Close()
	}
}

// newTransport returns an HTTP/1.1 transport. If reuse is true, idle connections are kept for maxIdleAge.
func (t *connTracker) newTransport(reuse bool) *http.Transport {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	return &http.Transport{
		DialContext:            t.dial,
		Protocols:              p,
		DisableKeepAlives:      !reuse,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdlePerWorker,
		IdleConnTimeout:        maxIdleAge,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		ReadBufferSize:         transportBufferBytes,
		WriteBufferSize:        transportBufferBytes,
	}
}

// clientTrace returns the hooks that bind the connections selected by the transport to the attempt.
func (a *attempt) clientTrace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			c, ok := info.Conn.(*trackedConn)
			if !ok {
				return
			}
			a.reused.Store(info.Reused)
			a.conn.Store(c)
			c.bind(a)
		},
		PutIdleConn: func(error) {
			if c := a.conn.Load(); c != nil {
				c.current.CompareAndSwap(a, nil)
			}
		},
	}
}
