package connlimit

import (
	"context"
	"net"
	"net/http"
	"time"
)

const (
	// DefaultMaxHeaderBytes limits a head if the server sets no limit. Callers may send heads of 16,384 bytes.
	DefaultMaxHeaderBytes = 20 << 10
	// defaultHeadTimeout and defaultIdleTimeout apply if the server sets none. Callers may take 3 s for a head and keep a
	// connection idle for 15 s.
	defaultHeadTimeout = 5 * time.Second
	defaultIdleTimeout = 30 * time.Second
	// readBuffer is the size of the kernel's receive buffer of a connection. It limits what accumulates while the server does not
	// read.
	readBuffer = 64 << 10
	// Limits of an HTTP/2 connection, so that streamsCost covers its buffers.
	maxStreams      = 50
	streamBuffer    = 64 << 10
	streamsBuffer   = 64 << 10
	readFrameSize   = 16 << 10
	headerTableSize = 4 << 10
)

// Server describes a server to protect.
type Server struct {
	Name string // of the listener, for metrics and log lines
	// DecodesJSON is set if the handlers decode whole bodies as JSON. Each object of a body is then charged, because a short
	// object may be decoded into a large structure.
	DecodesJSON bool
}

// connKey is the key of the connection in the context of a request.
type connKey struct{}

// Protect charges the connections and requests of a server to the account, and returns the listener from which the server must
// accept. Timeouts and the limit of a head get defaults if the server does not set them. It must be called before the server
// serves.
func (a *Account) Protect(srv *http.Server, l net.Listener, s Server) net.Listener {
	if srv.MaxHeaderBytes == 0 {
		srv.MaxHeaderBytes = DefaultMaxHeaderBytes
	}
	if srv.ReadHeaderTimeout == 0 {
		srv.ReadHeaderTimeout = defaultHeadTimeout
	}
	if srv.IdleTimeout == 0 {
		srv.IdleTimeout = defaultIdleTimeout
	}
	if srv.HTTP2 == nil {
		srv.HTTP2 = &http.HTTP2Config{
			MaxConcurrentStreams: maxStreams, MaxReceiveBufferPerConnection: streamsBuffer, MaxReceiveBufferPerStream: streamBuffer,
			MaxReadFrameSize: readFrameSize, MaxDecoderHeaderTableSize: headerTableSize,
		}
	}
	next := srv.Handler
	srv.Handler = &handler{a: a, server: s, next: next}
	srv.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
	srv.ConnState = func(c net.Conn, state http.ConnState) {
		if c, ok := c.(*Conn); ok {
			c.state(state)
		}
	}
	return &listener{Listener: l, a: a, name: s.Name}
}

// listener accepts connections that are charged to an account.
type listener struct {
	net.Listener
	a    *Account
	name string
}

// Accept implements net.Listener. It closes connections that the account does not admit.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &Conn{Conn: raw, a: l.a, listener: l.name, unusedAllowance: allowance}
		c.since.Store(l.a.now())
		if !l.a.admit(c) {
			_ = raw.Close()
			l.a.refusals.add(ConnRefused, l.name)
			continue
		}
		if tcp, ok := raw.(*net.TCPConn); ok {
			// An error means that the connection is closed already; the server will see that.
			_ = tcp.SetReadBuffer(readBuffer)
		}
		return c, nil
	}
}
