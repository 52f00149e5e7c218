package connlimit

import (
	"errors"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/berylwharf/berylwharf/verdict"
)

const (
	// maxAhead is the size of net/http's read buffer: the most that it can read behind the end of a request.
	maxAhead = 4096
	// writeStall is how long a response may make no progress.
	writeStall = 30 * time.Second
	// refusalTimeout limits the sending of a refusal to a client that may not read.
	refusalTimeout = 50 * time.Millisecond
)

// Phases of a connection.
const (
	phaseNew      int32 = iota // nothing was received yet
	phaseHead                  // a part of a head was received
	phaseBody                  // the head is complete, the body is not
	phaseServing               // the request is complete, its handler runs
	phaseIdle                  // the last request was answered
	phaseStreams               // HTTP/2; see Conn.streams
	phaseHijacked              // the connection belongs to the handler
)

// refusal is the answer to a request whose head could not be read for want of memory.
var refusal = []byte("HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Type: application/json\r\nRetry-After: 1\r\n" +
	verdict.Header + ": " + string(verdict.NotRun) + "\r\nContent-Length: " + strconv.Itoa(len(refusalBody)) + "\r\n\r\n" + refusalBody)

const refusalBody = `{"verdict":"` + string(verdict.NotRun) + `","reason":"` + string(verdict.ReasonQueueFull) +
	`","message":"no memory left","retryAfterMs":1000}` + "\n"

// Conn is a connection of a client. It charges the account before it hands bytes to the server.
type Conn struct {
	net.Conn
	a        *Account
	listener string

	charged  atomic.Int64 // bytes charged for this connection
	phase    atomic.Int32
	since    atomic.Int64 // when the phase began, in Account.now
	closed   atomic.Bool  // closed by the account
	expected int64        // charge at that time; under Account.mu

	inRequest    atomic.Bool  // the head of the current request is complete
	bodyDeadline atomic.Int64 // Unix time in nanoseconds until which the body must arrive, 0 for none
	writeUntil   atomic.Int64 // Unix time in nanoseconds of the write deadline that was set by Write, 0 for none

	// streams and reading count the open HTTP/2 requests and those whose body is not complete.
	streams, reading atomic.Int32

	// The server reads from one goroutine at a time. The fields below belong to it.
	head headReader
	// ahead and aheadLines describe the bytes that may be buffered behind the end of the request.
	ahead, aheadLines int
}

// incomplete reports whether the connection may be closed to free memory or descriptors: it has no request, or one that was
// not received completely.
func (c *Conn) incomplete() bool {
	switch c.phase.Load() {
	case phaseNew, phaseHead, phaseBody, phaseIdle:
		return true
	case phaseStreams:
		return c.streams.Load() == c.reading.Load()
	}
	return false
}

func (c *Conn) setPhase(phase int32) {
	c.since.Store(c.a.now())
	c.phase.Store(phase)
}

// Read implements net.Conn. It may wait until there is memory for what was read.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	phase := c.phase.Load()
	if n > 0 && phase != phaseHijacked && phase != phaseStreams {
		if refused := c.received(p[:n]); refused != nil {
			// A server does not answer after an error of this type.
			return 0, &net.OpError{Op: "read", Net: "tcp", Err: refused}
		}
	}
	if err != nil && errors.Is(err, os.ErrDeadlineExceeded) {
		switch phase {
		case phaseNew, phaseHead:
			c.a.notes.add(HeadTimedOut, c.listener)
		case phaseBody:
			c.a.notes.add(BodyStalled, c.listener)
		}
	}
	return n, err
}

// received charges the part of p that belongs to a head.
func (c *Conn) received(p []byte) error {
	if c.inRequest.Load() {
		c.noteAhead(p)
		return nil
	}
	if c.phase.CompareAndSwap(phaseNew, phaseHead) || c.phase.CompareAndSwap(phaseIdle, phaseHead) {
		c.since.Store(c.a.now())
	}
	n, lines, end := c.head.read(p)
	if err := c.a.charge(c, headCost(n, lines)); err != nil {
		if errors.Is(err, ErrRefused) {
			c.a.notes.add(HeadRefused, c.listener)
			_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalTimeout))
			_, _ = c.Conn.Write(refusal)
		}
		return err
	}
	if !end {
		return nil
	}
	c.inRequest.Store(true)
	c.ahead, c.aheadLines = 0, 0
	c.noteAhead(p[n:])
	if !c.head.http2() {
		c.setPhase(phaseServing)
		return nil
	}
	c.setPhase(phaseStreams)
	return c.a.charge(c, streamsCost)
}

// noteAhead records bytes behind a head. Bytes before the last read were used before it, except for the single byte that
// the server reads while a handler runs.
func (c *Conn) noteAhead(p []byte) {
	lines := 0
	if len(p) <= maxAhead {
		for _, b := range p {
			if b == '\n' {
				lines++
			}
		}
	} else {
		lines = maxAhead / minLine
	}
	if len(p) != 1 {
		c.ahead, c.aheadLines = 0, 0
	}
	c.ahead = min(c.ahead+len(p), maxAhead)
	c.aheadLines = min(c.aheadLines+lines, c.ahead/minLine)
}

// requestDone returns the charge of a request. What is buffered behind it stays charged as the begin of the next head.
func (c *Conn) requestDone() {
	c.bodyDeadline.Store(0)
	// Write sets the deadline again, because the server removes it after each request.
	c.writeUntil.Store(0)
	c.head = headReader{}
	keep := connCost + headCost(c.ahead, c.aheadLines)
	charged := c.charged.Load()
	if keep < charged {
		c.charged.Add(keep - charged)
		c.a.giveBack(charged - keep)
	}
	c.setPhase(phaseIdle)
	c.inRequest.Store(false)
}

// state follows the server's states of the connection.
func (c *Conn) state(s http.ConnState) {
	if c.phase.Load() == phaseStreams {
		return
	}
	switch s {
	case http.StateIdle:
		c.requestDone()
	case http.StateHijacked:
		c.bodyDeadline.Store(0)
		c.setPhase(phaseHijacked)
		charged := c.charged.Swap(connCost)
		c.a.giveBack(charged - connCost)
	}
}

// SetReadDeadline implements net.Conn. While a body arrives, the deadline is not later than that of the body.
func (c *Conn) SetReadDeadline(t time.Time) error {
	if ns := c.bodyDeadline.Load(); ns != 0 {
		if body := time.Unix(0, ns); t.IsZero() || t.After(body) {
			t = body
		}
	}
	return c.Conn.SetReadDeadline(t)
}

// SetWriteDeadline implements net.Conn. A deadline of the handler replaces that for stalled responses.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	if t.IsZero() {
		c.writeUntil.Store(0)
	} else {
		c.writeUntil.Store(1 << 62)
	}
	return c.Conn.SetWriteDeadline(t)
}

// Write implements net.Conn. A response that makes no progress ends the connection.
func (c *Conn) Write(p []byte) (int, error) {
	if c.phase.Load() != phaseHijacked {
		now := time.Now()
		if until := c.writeUntil.Load(); until < now.Add(writeStall/2).UnixNano() {
			end := now.Add(writeStall)
			c.writeUntil.Store(end.UnixNano())
			_ = c.Conn.SetWriteDeadline(end)
		}
	}
	return c.Conn.Write(p)
}

// CloseWrite closes the sending side. The server uses it so that a client can read an answer to a request that was not read
// completely.
func (c *Conn) CloseWrite() error {
	if tcp, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// Close implements net.Conn and returns what the connection holds.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.a.remove(c)
	return err
}
