package relay

import (
	"cmp"
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/berylwharf/berylwharf/job"
	"github.com/berylwharf/berylwharf/jobmanager"
	"github.com/berylwharf/berylwharf/peer"
)

const (
	// callValidity is how long after the owner issued a call the relay may still begin it. It is as long as the owner
	// waits for the answer to an order.
	callValidity = 700 * time.Millisecond
	// callInterval is the time in which calls are collected into one batch.
	callInterval = 2 * time.Millisecond
	// checkInterval is the time between checks for silent relays.
	checkInterval = 100 * time.Millisecond
	// silenceTimeout is how long a relay that has calls to answer may be silent. It sends a message at least every
	// aliveInterval.
	silenceTimeout = 800 * time.Millisecond
	// avoidPeriod is how long a relay that was silent gets no calls.
	avoidPeriod = 3 * time.Second
	// maxBatchBytes limits the payloads in one batch, so that it fits into a frame.
	maxBatchBytes = 256 << 10
	// maxBatchCalls limits the calls in one batch.
	maxBatchCalls = 512
)

// errNotMade is returned for calls that the relay did not make.
var errNotMade = errors.WithMessage(jobmanager.ErrNoEffect, "the relay did not make the call")

// Workers calls workers through relays. It implements jobmanager.Workers and jobmanager.Relays.
type Workers struct {
	direct  jobmanager.Workers
	net     Messenger
	clock   jobmanager.Clock
	process uint64 // identifies this process to relays

	cancel context.CancelFunc
	wg     sync.WaitGroup
	wake   chan struct{}

	mu        sync.Mutex
	nextID    uint64
	sessions  map[string]*session // by node
	nodes     map[string]nodeInfo
	checkedAt time.Duration
}

// nodeInfo is what the heartbeats of a node say.
type nodeInfo struct {
	zone     string
	draining bool
}

// session is the state of the calls through one relay.
type session struct {
	process    uint64        // of the relay; 0 while unknown
	clockMs    int64         // last reading of the relay's clock
	clockAt    time.Duration // when the reading arrived
	heardAt    time.Duration // when the last message arrived
	busySince  time.Duration // since when calls have been waiting for results
	probedAt   time.Duration // when the relay was last asked for its clock
	avoidUntil time.Duration
	queue      []queuedCall
	pending    map[uint64]chan callResult
}

type queuedCall struct {
	call    workerCall
	payload string
}

// NewWorkers returns workers that are called through relays where the target names one, and otherwise directly.
func NewWorkers(direct jobmanager.Workers, net Messenger, clock jobmanager.Clock) *Workers {
	w := &Workers{
		direct: direct, net: net, clock: clock, process: rand.Uint64(), wake: make(chan struct{}, 1),
		sessions: make(map[string]*session), nodes: make(map[string]nodeInfo),
	}
	var ctx context.Context
	ctx, w.cancel = context.WithCancel(context.Background())
	net.Handle(typeResults, w.handleResults)
	w.wg.Go(func() { w.run(ctx) })
	return w
}

// Close ends the background work. Calls through relays stay without an answer from then on.
func (w *Workers) Close() {
	w.cancel()
	w.wg.Wait()
}

// Heartbeat records what a node says of itself.
func (w *Workers) Heartbeat(node string, hb peer.Heartbeat) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nodes[node] = nodeInfo{zone: hb.Zone, draining: hb.Draining}
}

// LinkChanged records that the link to a node was established or ended. Calls that were sent before have no answer.
func (w *Workers) LinkChanged(node string, up bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endSession(node, "the link to the relay changed")
	if !up {
		delete(w.nodes, node)
	}
}

// Candidates implements jobmanager.Relays.
func (w *Workers) Candidates() []jobmanager.RelayNode {
	now := w.clock.Now().Steady
	connected := w.net.ConnectedNodes()
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []jobmanager.RelayNode
	for _, node := range connected {
		info, known := w.nodes[node]
		s := w.sessions[node]
		if !known || info.draining || (s != nil && now < s.avoidUntil) {
			continue
		}
		out = append(out, jobmanager.RelayNode{Node: node, Zone: info.zone})
	}
	return out
}

// RenewLease implements jobmanager.Workers.
func (w *Workers) RenewLease(ctx context.Context, t jobmanager.Target, r jobmanager.RenewLeaseRequest) (*jobmanager.RenewLeaseReply, error) {
	if t.Relay != "" {
		if result, sent := w.call(ctx, t.Relay, queuedCall{call: renewCall(t, r)}); sent {
			return renewReply(t.Worker, result)
		}
	}
	return w.direct.RenewLease(ctx, t, r)
}

func renewReply(worker string, r callResult) (*jobmanager.RenewLeaseReply, error) {
	switch {
	case r.Code == codeFenced:
		return nil, jobmanager.ErrFenced
	case r.Code == codeIncarnationEnded:
		return nil, errors.Wrap(jobmanager.ErrIncarnationEnded, r.Message)
	case r.Code == codeNotMade:
		return nil, errors.Wrap(errNotMade, r.Message)
	case r.Code != codeAnswered || r.Report == nil:
		return nil, errors.Errorf("call through a relay: %s", cmp.Or(r.Message, "no report"))
	}
	return r.Report.reply(worker)
}

// Send implements jobmanager.Workers.
func (w *Workers) Send(ctx context.Context, t jobmanager.Target, o job.Order, expiresMs int64) (job.Result, error) {
	if t.Relay != "" {
		if r, sent := w.call(ctx, t.Relay, queuedCall{call: orderCall(t, o, expiresMs), payload: o.Payload}); sent {
			return orderResult(r)
		}
	}
	return w.direct.Send(ctx, t, o, expiresMs)
}

func orderResult(r callResult) (job.Result, error) {
	switch r.Code {
	case codeAnswered:
		return r.Result, nil
	case codeFenced:
		return job.ResultRefused, jobmanager.ErrFenced
	case codeIncarnationEnded:
		return job.ResultRefused, jobmanager.ErrIncarnationEnded
	case codeNotMade:
		return job.ResultNotSent, nil
	case codeFailed:
	}
	return job.ResultNoAnswer, nil
}

// call makes a call through a relay and waits for its result. It returns false if the relay cannot be used; nothing was
// sent in that case.
func (w *Workers) call(ctx context.Context, node string, q queuedCall) (callResult, bool) {
	now := w.clock.Now().Steady
	deadline, ok := ctx.Deadline()
	if !ok {
		return callResult{}, false
	}
	q.call.TimeoutMs = time.Until(deadline).Milliseconds()
	result := make(chan callResult, 1)
	w.mu.Lock()
	s := w.usableSession(node, now)
	if s == nil {
		w.mu.Unlock()
		return callResult{}, false
	}
	w.nextID++
	id := w.nextID
	q.call.ID = id
	q.call.ValidUntilMs = s.clockMs + (now - s.clockAt + callValidity).Milliseconds()
	if len(s.pending) == 0 {
		s.busySince = now
	}
	s.pending[id] = result
	s.queue = append(s.queue, q)
	w.mu.Unlock()
	w.wakeUp()
	select {
	case r := <-result:
		return r, true
	case <-ctx.Done():
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(s.pending, id)
	return callResult{Code: codeFailed, Message: ctx.Err().Error()}, true
}

// usableSession returns the session with a relay, or nil while the relay is avoided or its clock is unknown. The caller
// holds w.mu.
func (w *Workers) usableSession(node string, now time.Duration) *session {
	s := w.sessions[node]
	if s == nil {
		s = &session{pending: make(map[uint64]chan callResult)}
		w.sessions[node] = s
	}
	if now < s.avoidUntil {
		return nil
	}
	if s.process != 0 {
		return s
	}
	if s.probedAt == 0 || now-s.probedAt > silenceTimeout {
		s.probedAt = now
		// A probe that is lost is repeated after silenceTimeout.
		_ = w.net.Send(node, typeCalls, callBatch{Owner: w.process})
	}
	return nil
}

func (w *Workers) wakeUp() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// run sends the queued calls and checks for silent relays.
func (w *Workers) run(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.wake:
			if !sleep(ctx, callInterval) {
				return
			}
			w.sendQueued()
		case <-ticker.C:
			w.check(w.clock.Now().Steady)
		}
	}
}

// sendQueued sends the queued calls of all sessions.
func (w *Workers) sendQueued() {
	w.mu.Lock()
	batches := make(map[string][]callBatch)
	for node, s := range w.sessions {
		for len(s.queue) > 0 {
			b, rest := nextBatch(s.queue)
			b.Owner, b.Relay = w.process, s.process
			s.queue = rest
			batches[node] = append(batches[node], b)
		}
	}
	w.mu.Unlock()
	for node, bs := range batches {
		for _, b := range bs {
			if err := w.net.Send(node, typeCalls, b); err != nil {
				w.notSent(node, b, err)
			}
		}
	}
}

// nextBatch returns the next batch of a queue, and the rest of the queue.
func nextBatch(queue []queuedCall) (callBatch, []queuedCall) {
	var b callBatch
	size := 0
	position := make(map[string]int)
	for i, q := range queue {
		if q.payload != "" && position[q.payload] == 0 {
			size += len(q.payload)
			if i > 0 && size > maxBatchBytes {
				return b, queue[i:]
			}
			b.Payloads = append(b.Payloads, q.payload)
			position[q.payload] = len(b.Payloads)
		}
		q.call.Payload = position[q.payload]
		b.Calls = append(b.Calls, q.call)
		if len(b.Calls) == maxBatchCalls {
			return b, queue[i+1:]
		}
	}
	return b, nil
}

// notSent ends the calls of a batch that was not sent.
func (w *Workers) notSent(node string, b callBatch, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.sessions[node]
	if s == nil {
		return
	}
	for i := range b.Calls {
		s.finish(notMade(&b.Calls[i], err))
	}
}

// finish delivers a result to the call that waits for it, if any.
func (s *session) finish(r callResult) {
	if ch := s.pending[r.ID]; ch != nil {
		delete(s.pending, r.ID)
		ch <- r
	}
}

// handleResults delivers a batch of results.
func (w *Workers) handleResults(_ context.Context, from string, body peer.Body) (any, error) {
	var b resultBatch
	if err := peer.Decode(body, &b); err != nil {
		return nil, errors.Wrap(peer.ErrMalformed, err.Error())
	}
	if b.Owner != w.process {
		return nil, nil
	}
	now := w.clock.Now().Steady
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.sessions[from]
	if s == nil {
		return nil, nil
	}
	if s.process != 0 && s.process != b.Relay {
		w.endSession(from, "the relay was restarted")
		return nil, nil
	}
	s.process, s.clockMs, s.clockAt, s.heardAt = b.Relay, b.ClockMs, now, now
	for _, r := range b.Results {
		s.finish(r)
	}
	return nil, nil
}

// check ends the sessions with silent relays. After a pause of this process it waits for the messages that arrived
// meanwhile, because the pause is not the silence of the relays.
func (w *Workers) check(now time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	paused := w.checkedAt > 0 && now-w.checkedAt > silenceTimeout/2
	w.checkedAt = now
	for node, s := range w.sessions {
		if paused {
			s.heardAt = now
		}
		if len(s.pending) > 0 && now-max(s.heardAt, s.busySince) > silenceTimeout {
			w.endSession(node, "the relay is silent")
			w.sessions[node].avoidUntil = now + avoidPeriod
		}
	}
}

// endSession ends all calls through a relay. Those that are still queued were certainly not made. The caller holds w.mu.
func (w *Workers) endSession(node, reason string) {
	s := w.sessions[node]
	if s == nil {
		return
	}
	for i := range s.queue {
		s.finish(notMade(&s.queue[i].call, errors.New(reason)))
	}
	for id := range s.pending {
		s.finish(callResult{ID: id, Code: codeFailed, Message: reason})
	}
	w.sessions[node] = &session{pending: make(map[uint64]chan callResult), avoidUntil: s.avoidUntil}
}
