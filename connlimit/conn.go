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
	// largeHead is the charge of a connection from which a head counts as large: three pieces of net/http's read buffer with
	// ordinary lines cost less.
	largeHead = connCost + 64<<10
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

// refusal is the answer to a request that could not be read for want of memory.
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
	waiting  atomic.Bool  // its reader waits for memory
	closed   atomic.Bool  // closed by the account
	expected int64        // charge at that time; under Account.mu

	inRequest    atomic.Bool  // the head of the current request is complete
	bodyDeadline atomic.Int64 // Unix time in nanoseconds until which the body must arrive, 0 for none
	answering    atomic.Bool  // a part of the answer to the current request was sent
	writeUntil   atomic.Int64 // Unix time in nanoseconds of the write deadline that was set by Write, 0 for none

	// streams and reading count the open HTTP/2 requests and those whose body is not complete.
	streams, reading atomic.Int32

	wrote atomic.Int64 // when Write was last called, in Account.now

	// The server reads from one goroutine at a time. The fields below belong to it.
	spare int64 // part of the allowance that is not used yet
	head  headReader
	// ahead and aheadLines describe the bytes that may be buffered behind the end of the request.
	ahead, aheadLines int
	scanned           bool // the head of the current request passed through head
	stalled           bool // the deadline of its body has passed
}

// incomplete reports whether the connection may be closed to free memory or descriptors: it has no request, or one that was
// not received completely.
func (c *Conn) incomplete() bool {
	switch c.phase.Load() {
	case phaseNew, phaseHead, phaseIdle:
		// A small head that waits for memory is not late by the fault of its client, and is refused after maxWait. A body or
		// a large part of a head that waits holds what others may need to be completed.
		return !c.waiting.Load() || c.charged.Load() > largeHead
	case phaseBody:
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

// draw charges n bytes for a request of HTTP/1, first to the allowance.
func (c *Conn) draw(n int64) error {
	if n <= c.spare {
		c.spare -= n
		return nil
	}
	if err := c.a.charge(c, n-c.spare); err != nil {
		return err
	}
	c.spare = 0
	return nil
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
			// The server also ends a pending read by a deadline in the past, and reads again after an error.
			if until := c.bodyDeadline.Load(); !c.stalled && until != 0 && time.Now().UnixNano() >= until {
				c.stalled = true
				c.a.notes.add(BodyStalled, c.listener)
			}
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
	n, lines, end := c.head.read(p)
	if end {
		// A request whose head is complete is not closed for others while it waits for memory.
		c.phase.Store(phaseServing)
	} else if c.phase.CompareAndSwap(phaseNew, phaseHead) || c.phase.CompareAndSwap(phaseIdle, phaseHead) {
		c.since.Store(c.a.now())
	}
	cost := headCost(n, lines)
	if end {
		cost += bodyCost * int64(len(p)-n)
	}
	if err := c.draw(cost); err != nil {
		if errors.Is(err, ErrRefused) {
			c.a.notes.add(HeadRefused, c.listener)
			c.refuse()
		}
		return err
	}
	if !end {
		return nil
	}
	c.inRequest.Store(true)
	c.ahead, c.aheadLines, c.scanned = 0, 0, true
	c.noteAhead(p[n:])
	if !c.head.http2() {
		return nil
	}
	c.setPhase(phaseStreams)
	return c.a.charge(c, streamsCost)
}

// refuse answers the current request with refusal, unless a part of another answer was sent, and closes the connection. The
// rest of the request must not be read as the begin of the next one.
func (c *Conn) refuse() {
	if !c.answering.Load() {
		_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalTimeout))
		// The client may have closed the connection.
		_, _ = c.Conn.Write(refusal)
	}
	_ = c.Conn.Close()
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
	c.answering.Store(false)
	c.head, c.scanned, c.stalled = headReader{}, false, false
	ahead := headCost(c.ahead, c.aheadLines)
	c.spare = max(0, allowance-ahead)
	keep := connCost + max(0, ahead-allowance)
	charged := c.charged.Load()
	if keep < charged {
		c.charged.Add(keep - charged)
		c.a.giveBack(charged - keep)
	}
	c.since.Store(c.wrote.Load()) // the end of the answer was written a moment ago
	c.phase.Store(phaseIdle)
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
		_ = c.Conn.SetWriteDeadline(time.Time{})
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

// handlerDeadline is the value of writeUntil while a deadline of the handler is in force.
const handlerDeadline = 1 << 62

// SetWriteDeadline implements net.Conn. A deadline of the handler replaces that for stalled responses. The server removes the
// deadline after each request; one that Write has set stays, because Write extends it.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	until := c.writeUntil.Load()
	switch {
	case !t.IsZero():
		c.writeUntil.Store(handlerDeadline)
	case until == handlerDeadline:
		c.writeUntil.Store(0)
	case c.phase.Load() != phaseHijacked:
		return nil
	}
	return c.Conn.SetWriteDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// Write implements net.Conn. A response that makes no progress ends the connection.
func (c *Conn) Write(p []byte) (int, error) {
	if c.phase.Load() != phaseHijacked {
		c.answering.Store(true)
		now := time.Now()
		c.wrote.Store(int64(now.Sub(c.a.started)))
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
