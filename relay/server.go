package relay

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/berylwharf/berylwharf/jobmanager"
	"github.com/berylwharf/berylwharf/peer"
)

const (
	// resultInterval is the time in which results are collected into one batch.
	resultInterval = 4 * time.Millisecond
	// aliveInterval is the maximum time between batches to an owner that waits for results.
	aliveInterval = 200 * time.Millisecond
	// maxCalls is the number of calls that a relay makes at the same time. Further calls are not made.
	maxCalls = 2048
	// maxCallTimeout bounds the duration of a call that an owner asks for.
	maxCallTimeout = 5 * time.Second
)

var (
	errNotOrder  = errors.New("the call is not an order")
	errNoPayload = errors.New("the batch does not contain the payload")
	errLate      = errors.New("the call arrived too late")
	errBusy      = errors.New("the relay has too many calls")
	errRestarted = errors.New("the call was meant for an earlier process of the relay")
)

// Messenger sends messages to other nodes. A peer.Net implements it.
type Messenger interface {
	Send(node, msgType string, body any) error
	Handle(msgType string, h peer.Handler)
	ConnectedNodes() []string
}

// Server makes calls to workers for the owners of shards on other nodes.
type Server struct {
	workers jobmanager.Workers
	net     Messenger
	clock   jobmanager.Clock
	process uint64 // identifies this process to owners

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	calls  atomic.Int32 // calls in progress
	// made and refused count the calls that were made and those that were not.
	made, refused metrics.Counter

	mu      sync.Mutex
	outputs map[outputKey]*output
}

// outputKey identifies a process of an owner.
type outputKey struct {
	node  string
	owner uint64
}

// output collects the results for one process of an owner.
type output struct {
	key     outputKey
	wake    chan struct{}
	results []callResult
	calls   int // calls without a result
}

// NewServer returns a server that calls workers and registers its message handler with net.
func NewServer(workers jobmanager.Workers, net Messenger, clock jobmanager.Clock) *Server {
	s := &Server{
		workers: workers, net: net, clock: clock, process: rand.Uint64() | 1, outputs: make(map[outputKey]*output),
		made: metrics.NewCounter(), refused: metrics.NewCounter(),
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	net.Handle(typeCalls, s.handleCalls)
	return s
}

// RegisterMetrics adds the counters of the server to a registry.
func (s *Server) RegisterMetrics(r metrics.Registry) error {
	if err := r.Register("relay.calls.made", s.made); err != nil {
		return errors.Wrap(err, "relay.calls.made")
	}
	return errors.Wrap(r.Register("relay.calls.refused", s.refused), "relay.calls.refused")
}

// Close aborts all calls and waits until they have ended.
func (s *Server) Close() {
	s.mu.Lock()
	s.cancel()
	s.mu.Unlock()
	s.wg.Wait()
}

// handleCalls accepts a batch of calls. It does not block.
func (s *Server) handleCalls(_ context.Context, from string, body peer.Body) (any, error) {
	var b callBatch
	if err := peer.Decode(body, &b); err != nil {
		return nil, errors.Wrap(peer.ErrMalformed, err.Error())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx.Err() != nil {
		return nil, nil
	}
	out := s.output(outputKey{node: from, owner: b.Owner})
	out.calls += len(b.Calls)
	out.wakeUp()
	for i := range b.Calls {
		c := &b.Calls[i]
		if b.Relay != s.process {
			out.add(notMade(c, errRestarted))
			continue
		}
		if s.calls.Add(1) > maxCalls {
			s.calls.Add(-1)
			out.add(notMade(c, errBusy))
			continue
		}
		s.wg.Go(func() {
			r := s.call(c, b.Payloads)
			s.calls.Add(-1)
			if r.Code == codeNotMade {
				s.refused.Inc(1)
			} else {
				s.made.Inc(1)
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			out.add(r)
		})
	}
	return nil, nil
}

// output returns the output for an owner and starts it if necessary. The caller holds s.mu.
func (s *Server) output(key outputKey) *output {
	if out := s.outputs[key]; out != nil {
		return out
	}
	out := &output{key: key, wake: make(chan struct{}, 1)}
	s.outputs[key] = out
	s.wg.Go(func() { s.send(out) })
	return out
}

// add appends a result. The caller holds Server.mu.
func (o *output) add(r callResult) {
	o.results = append(o.results, r)
	o.calls--
	o.wakeUp()
}

func (o *output) wakeUp() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// send sends batches of results while the owner waits for results.
func (s *Server) send(out *output) {
	timer := time.NewTimer(aliveInterval)
	defer timer.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-out.wake:
			// Results that follow shortly join the batch.
			if !sleep(s.ctx, resultInterval) {
				return
			}
		case <-timer.C:
		}
		if !s.sendBatch(out) {
			return
		}
		timer.Reset(aliveInterval)
	}
}

// sendBatch sends one batch. It returns false when the owner waits for nothing more.
func (s *Server) sendBatch(out *output) bool {
	s.mu.Lock()
	b := resultBatch{Owner: out.key.owner, Relay: s.process, Results: out.results}
	out.results = nil
	more := out.calls > 0
	if !more {
		delete(s.outputs, out.key)
	}
	s.mu.Unlock()
	b.ClockMs = clockMs(s.clock)
	// Results that cannot be sent are lost, like those of a relay that fails: the owner's calls time out.
	if err := s.net.Send(out.key.node, typeResults, b); errors.Is(err, peer.ErrTooLarge) {
		s.sendSeparately(out.key.node, b)
	}
	return more
}

// sendSeparately sends each result of a batch that is too large for one message.
func (s *Server) sendSeparately(node string, b resultBatch) {
	for _, r := range b.Results {
		single := b
		single.Results = []callResult{r}
		if s.net.Send(node, typeResults, single) != nil {
			single.Results = []callResult{{ID: r.ID, Code: codeFailed, Message: "the result does not fit into a message"}}
			_ = s.net.Send(node, typeResults, single)
		}
	}
}

func notMade(c *workerCall, err error) callResult {
	return callResult{ID: c.ID, Code: codeNotMade, Message: err.Error()}
}

// call makes one call to a worker.
func (s *Server) call(c *workerCall, payloads []string) callResult {
	ctx, cancel := context.WithTimeout(s.ctx, min(maxCallTimeout, time.Duration(c.TimeoutMs)*time.Millisecond))
	defer cancel()
	if c.Kind == callRenewLease {
		return s.renewLease(ctx, c)
	}
	o, err := c.order(payloads)
	if err != nil {
		return notMade(c, err)
	}
	if clockMs(s.clock) > c.ValidUntilMs {
		return notMade(c, errLate)
	}
	result, err := s.workers.Send(ctx, c.target(), o, c.ExpiresMs)
	out := failure(c, err)
	out.Result = result
	return out
}

func (s *Server) renewLease(ctx context.Context, c *workerCall) callResult {
	if clockMs(s.clock) > c.ValidUntilMs {
		return notMade(c, errLate)
	}
	reply, err := s.workers.RenewLease(ctx, c.target(), c.renewal())
	if err != nil {
		return failure(c, err)
	}
	return callResult{ID: c.ID, Report: newReport(reply)}
}

// failure returns the result of a call that ended with an error, or with nil.
func failure(c *workerCall, err error) callResult {
	r := callResult{ID: c.ID}
	switch {
	case err == nil:
		return r
	case errors.Is(err, jobmanager.ErrFenced):
		r.Code = codeFenced
	case errors.Is(err, jobmanager.ErrIncarnationEnded):
		r.Code = codeIncarnationEnded
	default:
		r.Code = codeFailed
	}
	r.Message = err.Error()
	return r
}

func clockMs(c jobmanager.Clock) int64 { return c.Now().Steady.Milliseconds() }

// sleep waits for d. It returns false if the context ends before.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
