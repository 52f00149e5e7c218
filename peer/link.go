package peer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/pkg/errors"
)

const (
	// queueFrames and queueBytes limit the send queue of a link. A frame that would exceed either is refused with
	// ErrQueueFull; queued frames stay in order.
	queueFrames = 1024
	queueBytes  = 4 << 20
	// maxConcurrentRequests is the number of requests of one peer served concurrently. Further ones are refused with an
	// error reply.
	maxConcurrentRequests = 64
	// readTimeout is how long a link may receive nothing before it is closed: three heartbeat intervals and a margin.
	readTimeout = 4 * time.Second
	// writeTimeout limits the write of one frame.
	writeTimeout = 4 * time.Second
)

// link is an authenticated connection to one peer.
type link struct {
	net          *Net
	peer         hello
	dialed       bool
	conn         *websocket.Conn
	ctx          context.Context
	cancel       context.CancelCauseFunc
	queue        chan []byte
	bytes        atomic.Int64  // queued
	requestSlots chan struct{} // one element per request being served

	mu      sync.Mutex
	closed  bool
	nextID  uint64
	pending map[uint64]chan frame
}

func newLink(n *Net, c *websocket.Conn, other hello, dialed bool) *link {
	l := &link{
		net:          n,
		peer:         other,
		dialed:       dialed,
		conn:         c,
		queue:        make(chan []byte, queueFrames),
		requestSlots: make(chan struct{}, maxConcurrentRequests),
		pending:      make(map[uint64]chan frame),
	}
	l.ctx, l.cancel = context.WithCancelCause(n.ctx)
	c.SetReadLimit(MaxFrame)
	return l
}

// run serves the link until it ends and returns the reason.
func (l *link) run() error {
	var wg sync.WaitGroup
	wg.Go(l.write)
	err := l.read()
	l.cancel(err)
	// The cause of the cancellation is more specific than the resulting read error.
	if cause := context.Cause(l.ctx); cause != nil {
		err = cause
	}
	_ = l.conn.CloseNow()
	wg.Wait()
	l.failPending()
	return err
}

// failPending makes all calls that wait for a reply fail with ErrLinkLost.
func (l *link) failPending() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for id, ch := range l.pending {
		close(ch)
		delete(l.pending, id)
	}
}

func (l *link) write() {
	for {
		select {
		case <-l.ctx.Done():
			return
		case b := <-l.queue:
			l.bytes.Add(-int64(len(b)))
			ctx, cancel := context.WithTimeout(l.ctx, writeTimeout)
			err := l.conn.Write(ctx, websocket.MessageBinary, b)
			cancel()
			if err != nil {
				l.cancel(errors.Wrap(err, "write"))
				return
			}
			l.net.framesOut.Inc(1)
			l.net.bytesOut.Inc(int64(len(b)))
		}
	}
}

func (l *link) read() error {
	for {
		ctx, cancel := context.WithTimeout(l.ctx, readTimeout)
		messageType, b, err := l.conn.Read(ctx)
		cancel()
		if err != nil {
			return errors.Wrap(err, "read")
		}
		if messageType != websocket.MessageBinary {
			return errors.New("message is not binary")
		}
		f, err := decodeFrame(b)
		if err != nil {
			return err
		}
		l.net.framesIn.Inc(1)
		if err := l.handle(f); err != nil {
			return err
		}
	}
}

// handle dispatches a frame. One-way messages are handled synchronously, in order; each request in its own goroutine.
func (l *link) handle(f frame) error {
	if f.ReplyTo != 0 {
		l.deliverReply(f)
		return nil
	}
	if f.ID == 0 {
		_, err := l.net.serve(l.ctx, l.peer.Node, f)
		if errors.Is(err, ErrMalformed) {
			return err
		}
		return nil
	}
	select {
	case l.requestSlots <- struct{}{}:
	default:
		return l.sendReply(f.ID, nil, errBusy)
	}
	l.net.wg.Go(func() {
		defer func() { <-l.requestSlots }()
		body, err := l.net.serve(l.ctx, l.peer.Node, f)
		if errors.Is(err, ErrMalformed) {
			l.cancel(err)
			return
		}
		if err := l.sendReply(f.ID, body, err); err != nil {
			l.net.log.Debugf("peer: reply to %s not sent: %v", l.peer.Node, err)
		}
	})
	return nil
}

// sendReply queues the reply to a request. It drops the reply if the queue is full: that does not end the link, and the
// caller times out.
func (l *link) sendReply(id uint64, body any, failure error) error {
	f := frame{ReplyTo: id}
	if failure == nil && body != nil {
		f.Body, failure = Encode(body)
	}
	if failure != nil {
		f.Error = failure.Error()
	}
	err := l.enqueue(f)
	if errors.Is(err, ErrTooLarge) {
		err = l.enqueue(frame{ReplyTo: id, Error: err.Error()})
	}
	if errors.Is(err, ErrQueueFull) {
		return nil
	}
	return err
}

// deliverReply passes a reply to the call that waits for it, if any.
func (l *link) deliverReply(f frame) {
	l.mu.Lock()
	ch, ok := l.pending[f.ReplyTo]
	delete(l.pending, f.ReplyTo)
	l.mu.Unlock()
	if ok {
		ch <- f
	}
}

// enqueue adds a frame to the send queue. It does not block.
func (l *link) enqueue(f frame) error {
	b, err := encodeFrame(f)
	if err != nil {
		return err
	}
	if l.bytes.Add(int64(len(b))) > queueBytes {
		l.bytes.Add(-int64(len(b)))
		l.net.refused.Inc(1)
		return ErrQueueFull
	}
	select {
	case l.queue <- b:
		return nil
	default:
		l.bytes.Add(-int64(len(b)))
		l.net.refused.Inc(1)
		return ErrQueueFull
	}
}

// call sends a request and waits for the reply.
func (l *link) call(ctx context.Context, msgType string, body Body, reply any) error {
	ch := make(chan frame, 1)
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return ErrNotConnected
	}
	l.nextID++
	id := l.nextID
	l.pending[id] = ch
	l.mu.Unlock()
	if err := l.enqueue(frame{ID: id, Type: msgType, Body: body}); err != nil {
		l.dropPending(id)
		return err
	}
	select {
	case f, ok := <-ch:
		if !ok {
			return ErrLinkLost
		}
		if f.Error != "" {
			return &RemoteError{Node: l.peer.Node, Message: f.Error}
		}
		if reply == nil {
			return nil
		}
		return Decode(f.Body, reply)
	case <-ctx.Done():
		l.dropPending(id)
		return errors.Wrap(ctx.Err(), "waiting for a reply from "+l.peer.Node)
	}
}

// dropPending removes a call, so that a late reply to it is ignored.
func (l *link) dropPending(id uint64) {
	l.mu.Lock()
	delete(l.pending, id)
	l.mu.Unlock()
}
