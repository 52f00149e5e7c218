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
	// maxAhead is the size of net/http's read buffer, which bounds what it reads beyond the end of a request.
	maxAhead = 4096
	// largeHead is the charge of a connection above which its head counts as large. A head of ordinary lines that fills net/http's
	// read buffer three times costs less.
	largeHead = connCost + 64<<10
	// blockedWrite is the time without progress of a response after which its connection may be closed for others.
	blockedWrite = 5 * time.Second
	// writeStall is how long a response may make no progress.
	writeStall = 30 * time.Second
	// refusalTimeout limits the time for sending a refusal, because the client may not read it.
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

// refusalRetry is the Retry-After of a refusal: by then, slow connections have been closed.
const refusalRetry = time.Second

// refusal is the response to a request for which there was no memory.
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
	expected int64        // charge when the account closed it; guarded by Account.mu

	inRequest    atomic.Bool  // the head of the current request is complete
	bodyDeadline atomic.Int64 // Unix time in nanoseconds until which the body must arrive, 0 for none
	answering    atomic.Bool  // a part of the response to the current request was sent
	writeUntil   atomic.Int64 // Unix time in nanoseconds of the write deadline that was set by Write, 0 for none

	writing atomic.Int64 // when the Write in progress began, in Account.now, 0 for none

	// streams counts the open HTTP/2 requests, reading those whose body is not complete, and responding those whose handler
	// writes the response or has returned.
	streams, reading, responding atomic.Int32

	wrote atomic.Int64 // when Write was last called, in Account.now

	// The server reads from one goroutine at a time. Only that one uses the fields below.
	unusedAllowance int64 // part of the allowance that is not used yet
	head            headReader
	// ahead and aheadLines describe the bytes that may be buffered behind the end of the request.
	ahead, aheadLines int
	scanned           bool // the head of the current request passed through head
	stalled           bool // the deadline of its body has passed
}

// closableSince reports whether the connection may be closed to free memory or descriptors: it has no request, one that was not
// received completely, or a client that does not read the response. It returns since when, in Account.now.
func (c *Conn) closableSince(now int64) (since int64, closable bool) {
	if w := c.writing.Load(); w != 0 && now-w >= int64(blockedWrite) {
		return w, true
	}
	since = c.since.Load()
	switch c.phase.Load() {
	case phaseNew, phaseHead, phaseIdle:
		// A small head that waits for memory is not the client's fault, and it is refused after maxWait. A large part of a head
		// that waits holds memory that other requests may need in order to complete, and so does a body.
		return since, !c.waiting.Load() || c.charged.Load() > largeHead
	case phaseBody:
		return since, true
	case phaseStreams:
		streams, reading := c.streams.Load(), c.reading.Load()
		return since, streams == reading || (streams <= reading+c.responding.Load() && now-since >= int64(blockedWrite))
	}
	return since, false
}

func (c *Conn) setPhase(phase int32) {
	c.since.Store(c.a.now())
	c.phase.Store(phase)
}

// chargeRequest charges n bytes for a request of HTTP/1, first to the allowance.
func (c *Conn) chargeRequest(n int64) error {
	if n <= c.unusedAllowance {
		c.unusedAllowance -= n
		return nil
	}
	if err := c.a.charge(c, n-c.unusedAllowance); err != nil {
		return err
	}
	c.unusedAllowance = 0
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
			c.a.refusals.add(HeadTimedOut, c.listener)
		case phaseBody:
			// The server also ends a pending read by a deadline in the past, and reads again after an error.
			if until := c.bodyDeadline.Load(); !c.stalled && until != 0 && time.Now().UnixNano() >= until {
				c.stalled = true
				c.a.refusals.add(BodyStalled, c.listener)
			}
		}
	}
	return n, err
}

// received charges the part of p that belongs to a head.
func (c *Conn) received(p []byte) error {
	if c.inRequest.Load() {
		c.recordAhead(p)
		return nil
	}
	n, lines, end := c.head.read(p)
	if end {
		// A connection is not closed for others while the memory for its complete head is awaited.
		c.phase.Store(phaseServing)
	} else if c.phase.CompareAndSwap(phaseNew, phaseHead) || c.phase.CompareAndSwap(phaseIdle, phaseHead) {
		c.since.Store(c.a.now())
	}
	cost := headCost(n, lines)
	if end {
		cost += bodyCost * int64(len(p)-n)
	}
	if err := c.chargeRequest(cost); err != nil {
		if errors.Is(err, ErrRefused) {
			c.a.refusals.add(HeadRefused, c.listener)
			c.refuse()
		}
		return err
	}
	if !end {
		return nil
	}
	c.inRequest.Store(true)
	c.ahead, c.aheadLines, c.scanned = 0, 0, true
	c.recordAhead(p[n:])
	if !c.head.http2() {
		return nil
	}
	c.setPhase(phaseStreams)
	return c.a.charge(c, streamsCost)
}

// refuse sends refusal, unless a part of another response was sent, and closes the connection, because the rest of the request
// must not be read as the beginning of the next one.
func (c *Conn) refuse() {
	if !c.answering.Load() {
		_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalTimeout))
		// The client may have closed the connection.
		_, _ = c.Conn.Write(refusal)
	}
	_ = c.Conn.Close()
}

// recordAhead records the bytes of a read that belong to the body or to later requests. The bytes of earlier reads have been
// consumed by then, unless this is the single byte that the server reads in the background while a handler runs.
func (c *Conn) recordAhead(p []byte) {
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

// requestDone releases the charge of a request. What is buffered beyond its end stays charged as the beginning of the next head.
func (c *Conn) requestDone() {
	c.bodyDeadline.Store(0)
	c.answering.Store(false)
	c.head, c.scanned, c.stalled = headReader{}, false, false
	ahead := headCost(c.ahead, c.aheadLines)
	c.unusedAllowance = max(0, allowance-ahead)
	keep := connCost + max(0, ahead-allowance)
	charged := c.charged.Load()
	if keep < charged {
		c.charged.Add(keep - charged)
		c.a.release(charged - keep)
	}
	c.since.Store(c.wrote.Load()) // the last write was the end of the response
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
		c.a.release(charged - connCost)
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
		began := int64(now.Sub(c.a.started))
		c.wrote.Store(began)
		c.writing.Store(began)
		defer c.writing.Store(0)
		if until := c.writeUntil.Load(); until < now.Add(writeStall/2).UnixNano() {
			end := now.Add(writeStall)
			c.writeUntil.Store(end.UnixNano())
			_ = c.Conn.SetWriteDeadline(end)
		}
	}
	return c.Conn.Write(p)
}

// CloseWrite closes the sending side. The server uses it so that a client can read the response to a request that was not read
// completely.
func (c *Conn) CloseWrite() error {
	if tcp, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// Close implements net.Conn and releases the charge of the connection.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.a.remove(c)
	return err
}
