package backend

import (
	"context"
	"net"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// conn is a connection that can be stalled: it then neither reads nor writes, and stays open until the server is
// closed.
type conn struct {
	net.Conn
	listener *faultListener

	closeOnce sync.Once
	closed    chan struct{}
	stalled   chan struct{}
	stallOnce sync.Once

	mu          sync.Mutex
	readExpired chan struct{} // closed while the read deadline is in the past
}

func (c *conn) stall() { c.stallOnce.Do(func() { close(c.stalled) }) }

func (c *conn) isStalled() bool {
	select {
	case <-c.stalled:
		return true
	default:
		return false
	}
}

// Read implements net.Conn. On a stalled connection it blocks until this side closes the connection or the read
// deadline is in the past, so that data from the peer and a close by the peer go unnoticed.
func (c *conn) Read(p []byte) (int, error) {
	if !c.isStalled() {
		n, err := c.Conn.Read(p)
		if !c.isStalled() || isTimeout(err) {
			return n, err
		}
	}
	c.mu.Lock()
	expired := c.readExpired
	c.mu.Unlock()
	select {
	case <-c.closed:
		return 0, net.ErrClosed
	case <-expired:
		return 0, os.ErrDeadlineExceeded
	}
}

// SetReadDeadline implements net.Conn. When a handler returns, net/http sets a deadline in the past to stop its
// background read; if Read ignored it, the handler of a request on a stalled connection would never end.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	past := !t.IsZero() && t.Before(time.Now())
	select {
	case <-c.readExpired:
		if !past {
			c.readExpired = make(chan struct{})
		}
	default:
		if past {
			close(c.readExpired)
		}
	}
	return c.Conn.SetReadDeadline(t)
}

func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

// Write implements net.Conn. On a stalled connection it discards the data.
func (c *conn) Write(p []byte) (int, error) {
	if c.isStalled() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.closeOnce.Do(func() {
		close(c.closed)
		c.listener.untrack(c)
	})
	return c.Conn.Close()
}

type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// connFromContext returns the connection of a request's context, or nil for a request to the control listener.
func connFromContext(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c
}

// faultListener is a listener that can refuse connections for a while by closing its socket, and that tracks its open
// connections.
type faultListener struct {
	addr string

	mu       sync.Mutex
	ln       net.Listener  // nil while the socket is closed
	reopened chan struct{} // closed when the socket is open again or the listener is closed
	closed   bool
	conns    map[*conn]struct{}
	maxConns int
}

func newFaultListener(addr string) (*faultListener, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	return &faultListener{addr: ln.Addr().String(), ln: ln, reopened: make(chan struct{}), conns: map[*conn]struct{}{}}, nil
}

// Addr implements net.Listener.
func (l *faultListener) Addr() net.Addr {
	a, _ := net.ResolveTCPAddr("tcp", l.addr)
	return a
}

// Accept implements net.Listener.
func (l *faultListener) Accept() (net.Conn, error) {
	for {
		l.mu.Lock()
		ln, reopened, closed := l.ln, l.reopened, l.closed
		l.mu.Unlock()
		if closed {
			return nil, net.ErrClosed
		}
		if ln == nil {
			<-reopened
			continue
		}
		c, err := ln.Accept()
		if err == nil {
			return l.track(c), nil
		}
		if !errors.Is(err, net.ErrClosed) {
			return nil, err
		}
	}
}

func (l *faultListener) track(c net.Conn) net.Conn {
	tracked := &conn{Conn: c, listener: l, closed: make(chan struct{}), stalled: make(chan struct{}), readExpired: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[tracked] = struct{}{}
	l.maxConns = max(l.maxConns, len(l.conns))
	return tracked
}

func (l *faultListener) untrack(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

func (l *faultListener) connCounts() (open, maxConns int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns), l.maxConns
}

// stallAllExcept stalls all open connections but one.
func (l *faultListener) stallAllExcept(except *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if c != except {
			c.stall()
		}
	}
}

// closeSocket closes the socket, so that new connections are refused.
func (l *faultListener) closeSocket() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ln == nil || l.closed {
		return
	}
	_ = l.ln.Close()
	l.ln = nil
}

const (
	// reopenAttempts and reopenPause limit how long reopenSocket retries while another process uses the port.
	reopenAttempts = 20
	reopenPause    = 50 * time.Millisecond
)

// reopenSocket listens on the same address again after closeSocket.
func (l *faultListener) reopenSocket() error {
	for i := 1; ; i++ {
		err := l.tryReopen()
		if err == nil || i == reopenAttempts {
			return errors.Wrapf(err, "listen again on %s", l.addr)
		}
		time.Sleep(reopenPause)
	}
}

func (l *faultListener) tryReopen() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ln != nil || l.closed {
		return nil
	}
	ln, err := net.Listen("tcp", l.addr)
	if err != nil {
		return err
	}
	l.ln = ln
	close(l.reopened)
	l.reopened = make(chan struct{})
	return nil
}

// Close implements net.Listener.
func (l *faultListener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil
	}
	l.closed = true
	close(l.reopened)
	if l.ln == nil {
		return nil
	}
	return l.ln.Close()
}
