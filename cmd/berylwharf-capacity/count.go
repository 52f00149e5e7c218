package main

import (
	"net"
	"net/http"
	"strings"
	"sync/atomic"
)

// countingListener adds the bytes read and written on all accepted connections to a counter.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{conn, l.bytes}, nil
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// countedServer is an HTTP server on a loopback port that counts the bytes of its connections.
type countedServer struct {
	addr  string
	bytes atomic.Int64
	srv   *http.Server
}

func serveCounted(h http.Handler) (*countedServer, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &countedServer{addr: ln.Addr().String(), srv: &http.Server{Handler: h}}
	go func() { _ = s.srv.Serve(countingListener{ln, &s.bytes}) }()
	return s, nil
}

// vmListCounter forwards requests to the platform stand-in and counts the bytes of VM list responses separately. The
// connections do not tell them apart, because a daemon has a single URL for the whole platform.
type vmListCounter struct {
	next      http.Handler
	listBytes atomic.Int64
}

func (p *vmListCounter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/v1/vms") {
		w = &countingWriter{ResponseWriter: w, bytes: &p.listBytes}
	}
	p.next.ServeHTTP(w, r)
}

type countingWriter struct {
	http.ResponseWriter
	bytes *atomic.Int64
}

func (w *countingWriter) Write(p []byte) (int, error) {
	n, err := w.ResponseWriter.Write(p)
	w.bytes.Add(int64(n))
	return n, err
}

// freePort returns a loopback port that was free when chosen, or 0 on failure.
func freePort() int {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().(*net.TCPAddr).Port
}
