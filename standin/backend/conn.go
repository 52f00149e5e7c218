package backend

import (
	"context"
	"net"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// conn is a connection that can be made silent: it then neither reads nor writes, and stays open until the server ends.
type conn struct {
	net.Conn
	owner *gate

	once   sync.Once
	closed chan struct{}
	silent chan struct{}
	quiet  sync.Once

	mu     sync.Mutex
	passed chan struct{} // closed when the read deadline lies in the past
}

func (c *conn) mute() { c.quiet.Do(func() { close(c.silent) }) }

func (c *conn) muted() bool {
	select {
	case <-c.silent:
		return true
	default:
		return false
	}
}

// Read implements net.Conn. On a silent connection it waits until the connection is closed by this side, so that data and
// the end of the other side go unnoticed.
func (c *conn) Read(p []byte) (int, error) {
	if !c.muted() {
		n, err := c.Conn.Read(p)
		if !c.muted() || isTimeout(err) {
			return n, err
		}
	}
	c.mu.Lock()
	passed := c.passed
	c.mu.Unlock()
	select {
	case <-c.closed:
		return 0, net.ErrClosed
	case <-passed:
		return 0, os.ErrDeadlineExceeded
	}
}

// SetReadDeadline implements net.Conn. net/http sets a deadline in the past to end its read in the background when a
// handler returns; without it the handler of a request on a silent connection would never end.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	past := !t.IsZero() && t.Before(time.Now())
	select {
	case <-c.passed:
		if !past {
			c.passed = make(chan struct{})
		}
	default:
		if past {
			close(c.passed)
		}
	}
	return c.Conn.SetReadDeadline(t)
}

func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

// Write implements net.Conn. On a silent connection it discards the data.
func (c *conn) Write(p []byte) (int, error) {
	if c.muted() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.owner.forget(c)
	})
	return c.Conn.Close()
}

type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// connOf returns the connection of a request's context, nil on the control listener.
func connOf(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c
}

// gate is a listener that can refuse connections for a while by closing its socket, and that tracks open connections.
type gate struct {
	addr string

	mu      sync.Mutex
	ln      net.Listener  // nil while refusing
	reopen  chan struct{} // closed when the socket is open again or the gate is closed
	closed  bool
	conns   map[*conn]struct{}
	maxOpen int
}

func newGate(addr string) (*gate, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	return &gate{addr: ln.Addr().String(), ln: ln, reopen: make(chan struct{}), conns: map[*conn]struct{}{}}, nil
}

// Addr implements net.Listener.
func (g *gate) Addr() net.Addr {
	a, _ := net.ResolveTCPAddr("tcp", g.addr)
	return a
}

// Accept implements net.Listener.
func (g *gate) Accept() (net.Conn, error) {
	for {
		g.mu.Lock()
		ln, reopen, closed := g.ln, g.reopen, g.closed
		g.mu.Unlock()
		if closed {
			return nil, net.ErrClosed
		}
		if ln == nil {
			<-reopen
			continue
		}
		c, err := ln.Accept()
		if err == nil {
			return g.track(c), nil
		}
		if !errors.Is(err, net.ErrClosed) {
			return nil, err
		}
	}
}

func (g *gate) track(c net.Conn) net.Conn {
	tracked := &conn{Conn: c, owner: g, closed: make(chan struct{}), silent: make(chan struct{}), passed: make(chan struct{})}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.conns[tracked] = struct{}{}
	g.maxOpen = max(g.maxOpen, len(g.conns))
	return tracked
}

func (g *gate) forget(c *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.conns, c)
}

func (g *gate) counts() (open, maxOpen int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.conns), g.maxOpen
}

// mute makes all open connections but one silent.
func (g *gate) mute(except *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.conns {
		if c != except {
			c.mute()
		}
	}
}

// refuse closes the socket.
func (g *gate) refuse() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ln == nil || g.closed {
		return
	}
	_ = g.ln.Close()
	g.ln = nil
}

const (
	// reopenAttempts and reopenPause bound how long the socket's port may be in use by another process.
	reopenAttempts = 20
	reopenPause    = 50 * time.Millisecond
)

// open opens the socket again after refuse.
func (g *gate) open() error {
	for i := 1; ; i++ {
		err := g.tryOpen()
		if err == nil || i == reopenAttempts {
			return errors.Wrapf(err, "listen again on %s", g.addr)
		}
		time.Sleep(reopenPause)
	}
}

func (g *gate) tryOpen() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ln != nil || g.closed {
		return nil
	}
	ln, err := net.Listen("tcp", g.addr)
	if err != nil {
		return err
	}
	g.ln = ln
	close(g.reopen)
	g.reopen = make(chan struct{})
	return nil
}

// Close implements net.Listener.
func (g *gate) Close() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return nil
	}
	g.closed = true
	close(g.reopen)
	if g.ln == nil {
		return nil
	}
	return g.ln.Close()
}
