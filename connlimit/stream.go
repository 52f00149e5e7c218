package connlimit

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/berylwharf/berylwharf/verdict"
)

// serveStream serves a request of HTTP/2. The server has decoded its head, whose size HTTP2Config limits. The request is refused at
// once if there is no memory for it, because many requests that wait would themselves take the memory.
func (h *handler) serveStream(w http.ResponseWriter, r *http.Request, c *Conn) {
	charge := &streamCharge{c: c}
	open := c.streams.Add(1)
	// The stream is open until its response was sent, which may be after the handler has returned.
	context.AfterFunc(r.Context(), func() {
		charge.end()
		c.streams.Add(-1)
		c.since.Store(c.a.now())
	})
	sw := &streamWriter{ResponseWriter: w, c: c}
	defer sw.handlerReturned(r.Context())
	cost := headerCost(r.Header)
	if open > includedStreams {
		cost += streamCost
	}
	if err := h.a.chargeAtOnce(c, cost); err != nil {
		h.a.refusals.add(HeadRefused, h.server.Name)
		refuseStream(w)
		return
	}
	charge.add(cost)
	if r.Body != nil && r.Body != http.NoBody {
		b := &body{ReadCloser: r.Body, r: r, c: c, server: h.server, stream: charge}
		r.Body = b
		c.reading.Add(1)
		defer b.complete()
	}
	h.next.ServeHTTP(sw, r)
}

// streamCharge is what is charged for a request of HTTP/2, as a part of the charge of its connection.
type streamCharge struct {
	c *Conn

	mu    sync.Mutex
	n     int64 // bytes
	ended bool
}

// add records n charged bytes. They are released with the others, or at once if the stream has ended meanwhile.
func (s *streamCharge) add(n int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		s.c.release(n)
		return
	}
	s.n += n
}

// end releases the charge.
func (s *streamCharge) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	s.c.release(s.n)
}

// headerCost returns the memory that a header or a trailer costs.
func headerCost(h http.Header) int64 {
	n, lines := 0, 0
	for name, values := range h {
		for _, v := range values {
			n, lines = n+len(name)+len(v), lines+1
		}
	}
	return headCost(n, lines)
}

// refuseStream refuses a request for which there is no memory. The response has no body, which the client might not accept.
func refuseStream(w http.ResponseWriter) {
	w.Header().Set(verdict.Header, string(verdict.NotRun))
	w.Header().Set("Retry-After", strconv.Itoa(int(refusalRetry/time.Second)))
	w.WriteHeader(http.StatusServiceUnavailable)
}

// streamWriter is the ResponseWriter of an HTTP/2 request. It ends a stream whose response makes no progress.
type streamWriter struct {
	http.ResponseWriter
	c            *Conn
	ownsDeadline bool // the handler has set a deadline
}

// Unwrap lets http.ResponseController reach the server's writer.
func (w *streamWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// SetWriteDeadline sets a deadline of the handler, which replaces that for stalled responses.
func (w *streamWriter) SetWriteDeadline(t time.Time) error {
	w.ownsDeadline = !t.IsZero()
	return http.NewResponseController(w.ResponseWriter).SetWriteDeadline(t)
}

// Write implements http.ResponseWriter.
func (w *streamWriter) Write(p []byte) (int, error) {
	w.extendDeadline()
	w.c.responding.Add(1)
	n, err := w.ResponseWriter.Write(p)
	w.c.responding.Add(-1)
	w.c.since.Store(w.c.a.now())
	return n, err
}

// handlerReturned follows the rest of the response, which the server sends after the handler has returned.
func (w *streamWriter) handlerReturned(ctx context.Context) {
	w.extendDeadline()
	w.c.responding.Add(1)
	context.AfterFunc(ctx, func() { w.c.responding.Add(-1) })
}

func (w *streamWriter) extendDeadline() {
	if !w.ownsDeadline {
		// An error means that the stream is closed already.
		_ = http.NewResponseController(w.ResponseWriter).SetWriteDeadline(time.Now().Add(writeStall))
	}
}
