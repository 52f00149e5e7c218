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
	// userTimeout bounds how long sent bytes may stay without acknowledgement. The kernel of a slow server acknowledges
	// them; a path that lost the connection does not.
	userTimeout = 3 * time.Second
	dialTimeout = time.Second
	// maxIdlePerWorker keeps 8 slots plus 4 idle connections of 14 nodes within a worker's 64 connections.
	maxIdlePerWorker = 4
	// maxIdleAge is how long after a complete answer a connection may be reused. It applies to all requests, although
	// only non-repeatable ones need it, so that one pool and one idle bound per worker suffice.
	maxIdleAge           = 2 * time.Second
	maxAnswerHeaderBytes = 256 << 10
	transportBufferBytes = 8 << 10
	probeIdle            = time.Second
	probeInterval        = time.Second
	probeCount           = 3
)

var (
	errReplay   = errors.New("attempt has already written on another connection")
	errLate     = errors.New("deadline passed before the first byte")
	errSealed   = errors.New("attempt has ended")
	errUnbound  = errors.New("write outside an attempt")
	sealedMark  = new(trackedConn)
	closingMark = new(attempt)
)

// attempt is one sending of a request to one backend server. Its bytes go to at most one connection, which the
// connection itself enforces, whatever the HTTP transport does.
type attempt struct {
	// writer is nil while nothing was written, the connection that carries the request, or sealedMark.
	writer   atomic.Pointer[trackedConn]
	conn     atomic.Pointer[trackedConn]
	reused   atomic.Bool
	received atomic.Bool
	deadline time.Time
	clock    func() time.Time
	cancel   context.CancelFunc
}

// seal ends the attempt and reports whether it provably wrote nothing. Later writes fail.
func (a *attempt) seal() bool {
	return a.writer.CompareAndSwap(nil, sealedMark) || a.writer.Load() == sealedMark
}

// claim permits a write on c.
func (a *attempt) claim(c *trackedConn) error {
	w := a.writer.Load()
	if w == c {
		return nil
	}
	if w == nil && !a.clock().Before(a.deadline) {
		return errLate
	}
	if w == nil && a.writer.CompareAndSwap(nil, c) {
		return nil
	}
	// Cancelling stops the transport from trying its other connections.
	a.cancel()
	if a.writer.Load() == sealedMark {
		return errSealed
	}
	return errReplay
}

// trackedConn is a connection to a backend server.
type trackedConn struct {
	net.Conn
	pool    *connTracker
	addr    string
	created uint64
	// current is the attempt that uses the connection, nil while it is idle.
	current atomic.Pointer[attempt]
	once    sync.Once
}

// bind makes a the attempt that uses the connection. The transport may hand out the connection before the PutIdleConn
// hook of the previous attempt has run, so the previous attempt is replaced. A connection that is being closed stays
// marked, so that its writes fail.
func (c *trackedConn) bind(a *attempt) {
	for {
		old := c.current.Load()
		if old == closingMark || c.current.CompareAndSwap(old, a) {
			return
		}
	}
}

// Write implements net.Conn. It refuses bytes that would break the at-most-once rule.
func (c *trackedConn) Write(b []byte) (int, error) {
	a := c.current.Load()
	if a == nil {
		return 0, errUnbound
	}
	if a == closingMark {
		return 0, net.ErrClosed
	}
	fresh := a.writer.Load() == nil
	if err := a.claim(c); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(b)
	if n == 0 && err != nil && fresh {
		// The kernel took no byte, so the request is still unwritten.
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
	c.once.Do(func() { c.pool.forget(c) })
	return c.Conn.Close()
}

// connTracker knows the open connections to each backend server.
type connTracker struct {
	dialer net.Dialer
	mu     sync.Mutex
	seq    uint64
	byAddr map[string]map[*trackedConn]struct{}
}

func newConnTracker() *connTracker {
	return &connTracker{
		byAddr: make(map[string]map[*trackedConn]struct{}),
		dialer: net.Dialer{
			Timeout: dialTimeout,
			KeepAliveConfig: net.KeepAliveConfig{
				Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount,
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
	t.seq++
	c := &trackedConn{Conn: nc, pool: t, addr: addr, created: t.seq}
	set := t.byAddr[addr]
	if set == nil {
		set = make(map[*trackedConn]struct{})
		t.byAddr[addr] = set
	}
	set[c] = struct{}{}
	return c, nil
}

func (t *connTracker) forget(c *trackedConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	set := t.byAddr[c.addr]
	delete(set, c)
	if len(set) == 0 {
		delete(t.byAddr, c.addr)
	}
}

// closeIdle closes the idle connections to the server of silent that are older than it, and silent itself. They share
// its path and are likely silent too.
func (t *connTracker) closeIdle(silent *trackedConn) {
	var old []*trackedConn
	t.mu.Lock()
	for c := range t.byAddr[silent.addr] {
		if c.created < silent.created && c.current.CompareAndSwap(nil, closingMark) {
			old = append(old, c)
		}
	}
	t.mu.Unlock()
	for _, c := range old {
		// The connection is given up; an error while closing it changes nothing.
		_ = c.Close()
	}
}

// transport returns an HTTP/1.1 transport. With reuse, connections are kept for maxIdleAge.
func (t *connTracker) transport(reuse bool) *http.Transport {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	return &http.Transport{
		DialContext:            t.dial,
		Protocols:              p,
		DisableKeepAlives:      !reuse,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdlePerWorker,
		IdleConnTimeout:        maxIdleAge,
		MaxResponseHeaderBytes: maxAnswerHeaderBytes,
		ReadBufferSize:         transportBufferBytes,
		WriteBufferSize:        transportBufferBytes,
	}
}

// trace binds the connections that the transport picks to the attempt.
func (a *attempt) trace() *httptrace.ClientTrace {
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
