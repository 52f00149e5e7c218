package connlimit

import (
	"bytes"
	"io"
	"net/http"
	"time"
)

const (
	// bodyCost is charged for each byte of a body, because io.ReadAll holds the pieces that it has read and a copy of them.
	bodyCost = 2
	// objectCost is charged for each JSON object of a body that is decoded: a step of a job takes about 200 bytes, the
	// slice of steps has up to twice its size while it grows, and the steps are copied once.
	objectCost = 512
	// elementCost is charged for each comma of such a body, for an element of a list and the smaller arrays while the list grows.
	elementCost = 24
	// maxPiece is the maximum size of the pieces in which a body is charged and read.
	maxPiece = 32 << 10
	// bodyGrace and minBodyRate, in bytes per second, set the deadline of a body: the grace and the time that the bytes received
	// so far take at the minimum rate. A body of 262,144 bytes may take 21 s.
	bodyGrace   = 5 * time.Second
	minBodyRate = 16 << 10
	// deadlineStep is the number of bytes after which the deadline is extended.
	deadlineStep = minBodyRate / 2
)

// handler charges the bodies of requests.
type handler struct {
	a      *Account
	server Server
	next   http.Handler
}

// ServeHTTP implements http.Handler.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, ok := r.Context().Value(connKey{}).(*Conn)
	switch {
	case !ok:
		h.next.ServeHTTP(w, r)
	case r.ProtoMajor >= 2:
		h.serveStream(w, r, c)
	default:
		h.serve(w, r, c)
	}
}

// serve serves a request of HTTP/1. Its charge is released when the server changes the state of the connection.
func (h *handler) serve(w http.ResponseWriter, r *http.Request, c *Conn) {
	c.inRequest.Store(true)
	if r.Body == nil || r.Body == http.NoBody {
		// A pipelined head that the server had already buffered has not passed through Read.
		c.phase.Store(phaseServing)
		h.next.ServeHTTP(w, r)
		return
	}
	b := &body{ReadCloser: r.Body, r: r, c: c, server: h.server}
	r.Body = b
	if c.scanned {
		b.credit = bodyCost * int64(c.ahead)
	}
	// A short body has arrived with its head. Then the request is complete and needs no deadline.
	if !c.scanned || r.ContentLength < 0 || r.ContentLength > int64(c.ahead) {
		c.setPhase(phaseBody)
		b.start = time.Now()
		b.extend()
	}
	h.next.ServeHTTP(w, r)
}

// release releases a part of the connection's charge.
func (c *Conn) release(n int64) {
	// Close may have released all of it already.
	for {
		charged := c.charged.Load()
		n = min(n, charged)
		if c.charged.CompareAndSwap(charged, charged-n) {
			c.a.release(n)
			return
		}
	}
}

// body is a request body that is charged to the account as it is read.
type body struct {
	io.ReadCloser
	r      *http.Request
	c      *Conn
	server Server
	start  time.Time     // zero if the whole body came with its head
	stream *streamCharge // nil for HTTP/1

	received, extended int64 // bytes received so far, and those received when the deadline was last extended
	credit             int64 // bytes that are charged and not used yet
	decoded            int64 // bytes charged for what JSON is decoded into
	done               bool
}

// Read implements io.Reader. It waits while there is no memory, and returns ErrRefused if there is none in time.
func (b *body) Read(p []byte) (int, error) {
	if b.done {
		return b.ReadCloser.Read(p)
	}
	p = p[:min(len(p), maxPiece)]
	if left := b.r.ContentLength - b.received; left > 0 {
		p = p[:min(int64(len(p)), left)]
	} else if b.r.ContentLength >= 0 {
		return b.ReadCloser.Read(p) // the end of the body
	}
	if err := b.charge(bodyCost * int64(len(p))); err != nil {
		return 0, err
	}
	n, err := b.ReadCloser.Read(p)
	b.credit -= bodyCost * int64(n)
	b.received += int64(n)
	if b.server.DecodesJSON && n > 0 {
		if refused := b.chargeDecoded(p[:n]); refused != nil {
			return 0, refused
		}
	}
	if err == io.EOF {
		if refused := b.chargeTrailer(); refused != nil {
			return 0, refused
		}
		b.complete()
	} else if b.received-b.extended >= deadlineStep {
		b.extend()
	}
	return n, err
}

// charge raises the credit to n bytes if it is less.
func (b *body) charge(n int64) error {
	if n <= b.credit {
		return nil
	}
	n -= b.credit
	var err error
	if b.stream != nil {
		// The streams of a connection run concurrently, and its allowance is not safe for concurrent use.
		if err = b.c.a.charge(b.c, n); err == nil {
			b.stream.add(n)
		}
	} else if err = b.c.chargeRequest(n); err != nil {
		b.c.refuse()
	}
	if err != nil {
		b.c.a.refusals.add(BodyRefused, b.server.Name)
		return err
	}
	b.credit += n
	return nil
}

// chargeDecoded charges what the JSON in p is decoded into. It is charged with at most half of the budget for each body, so that any
// body of permitted size can be served, if only one at a time.
func (b *body) chargeDecoded(p []byte) error {
	n := objectCost*int64(bytes.Count(p, []byte{'{'})) + elementCost*int64(bytes.Count(p, []byte{','}))
	n = min(n, b.c.a.limit/2-b.decoded)
	if n <= 0 {
		return nil
	}
	if err := b.charge(b.credit + n); err != nil {
		return err
	}
	b.credit -= n
	b.decoded += n
	return nil
}

// chargeTrailer charges the trailer of a chunked body.
func (b *body) chargeTrailer() error {
	if len(b.r.Trailer) == 0 {
		return nil
	}
	return b.charge(b.credit + headerCost(b.r.Trailer))
}

// extend sets the deadline of the body. The requests of an HTTP/2 connection have no deadline of their own; the connection
// is closed when its memory is needed.
func (b *body) extend() {
	b.extended = b.received
	if b.start.IsZero() {
		return
	}
	end := b.start.Add(bodyGrace + time.Duration(b.received)*time.Second/minBodyRate)
	b.c.bodyDeadline.Store(end.UnixNano())
	_ = b.c.Conn.SetReadDeadline(end)
}

// complete ends the deadline of the body.
func (b *body) complete() {
	if b.done {
		return
	}
	b.done = true
	if b.stream != nil {
		b.c.reading.Add(-1)
		return
	}
	if b.c.bodyDeadline.Swap(0) != 0 {
		_ = b.c.Conn.SetReadDeadline(time.Time{})
		b.c.phase.Store(phaseServing)
	}
}
