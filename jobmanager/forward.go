package jobmanager

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/berylwharf/berylwharf/fleet"
	"github.com/berylwharf/berylwharf/job"
	"github.com/berylwharf/berylwharf/peer"
	"github.com/berylwharf/berylwharf/verdict"
)

// Types of peer messages.
const (
	typeSubmit  = "job.submit"
	typeCancel  = "job.cancel"
	typeState   = "job.state"
	typeWaiting = "job.waiting"
	typeFleet   = "fleet.load"
	typeQuiet   = "shard.quiet"
)

const (
	// ownerWait is how long a request that was not passed on waits for a shard to get an owner.
	ownerWait = 1200 * time.Millisecond
	// forwardPause is the pause before a request is passed on again.
	forwardPause = 50 * time.Millisecond
	// forwardTimeout bounds one attempt, so that a silent link does not use up the whole deadline.
	forwardTimeout = 1500 * time.Millisecond
)

// call is a caller's request as it is passed to the owner of a shard.
type call struct {
	Pool  string    `cbor:"1,keyasint"`
	ID    string    `cbor:"2,keyasint,omitempty"`
	Queue string    `cbor:"3,keyasint,omitempty"`
	Spec  *job.Spec `cbor:"4,keyasint,omitempty"`
	// Evacuate lists the workers of the pool that the fleet controller wants empty.
	Evacuate []string `cbor:"5,keyasint,omitempty"`
}

// code is the outcome of a call.
type code uint8

const (
	codeOK code = iota
	codeNotOwner
	codeUncertain
	codeRefused
	codeUnknown
	codeStoreDown
)

// reply is the owner's answer.
type reply struct {
	Code    code        `cbor:"1,keyasint,omitempty"`
	RetryMs int64       `cbor:"2,keyasint,omitempty"`
	State   job.State   `cbor:"3,keyasint,omitempty"`
	Waiting int         `cbor:"4,keyasint,omitempty"`
	Load    *fleet.Load `cbor:"5,keyasint,omitempty"`
}

// Submit hands a job to the owner of its pool. The error is a *verdict.Error.
func (n *Node) Submit(ctx context.Context, spec *job.Spec) error {
	r, err := n.pass(ctx, typeSubmit, call{Pool: spec.Pool, ID: spec.ID, Spec: spec})
	if err != nil {
		return err
	}
	if r.Code == codeRefused {
		e := verdict.New(verdict.NotRun, verdict.ReasonQueueFull, http.StatusServiceUnavailable,
			"the pool is overloaded; the job would miss its objective")
		e.RetryAfter = time.Duration(r.RetryMs) * time.Millisecond
		return e
	}
	return nil
}

// Cancel ends a job. The first result is false when there is no such job. The error is a *verdict.Error.
func (n *Node) Cancel(ctx context.Context, pool, id string) (bool, error) {
	r, err := n.pass(ctx, typeCancel, call{Pool: pool, ID: id})
	return r.Code == codeOK, err
}

// State returns the state of a job. The second result is false when there is no such job.
func (n *Node) State(ctx context.Context, pool, id string) (job.State, bool, error) {
	r, err := n.pass(ctx, typeState, call{Pool: pool, ID: id})
	return r.State, r.Code == codeOK, err
}

// Waiting returns how many jobs of a queue wait for their first task.
func (n *Node) Waiting(ctx context.Context, pool, queue string) (int, error) {
	r, err := n.pass(ctx, typeWaiting, call{Pool: pool, Queue: queue})
	return r.Waiting, err
}

// pass hands a call to the owner of its pool, and again to the next owner when the ownership changes. All calls are
// idempotent, so an attempt whose outcome is not known is repeated.
func (n *Node) pass(ctx context.Context, kind string, c call) (reply, error) {
	shard := n.shardOf(c.Pool)
	begin := n.clock.Now().Steady
	defer func() { n.metrics.callLatency.Update((n.clock.Now().Steady - begin).Microseconds()) }()
	uncertain := false
	for {
		r := n.attempt(ctx, shard, kind, c)
		switch r.Code {
		case codeOK, codeUnknown:
			return r, nil
		case codeRefused:
			if uncertain {
				return reply{}, uncertainError()
			}
			return r, nil
		case codeStoreDown:
			return reply{}, passError(uncertain, time.Duration(r.RetryMs)*time.Millisecond)
		case codeUncertain:
			uncertain = true
		case codeNotOwner:
		}
		n.wake(n.refreshOwners)
		// Without the store no node can become the owner, so waiting would not help.
		hopeless := n.storeDown.Load() > 0 || n.clock.Now().Steady-begin > ownerWait
		if ctx.Err() != nil || (!uncertain && hopeless) {
			return reply{}, passError(uncertain, retryAfter(n.storeDownFor()))
		}
		pause(ctx, forwardPause)
	}
}

func passError(uncertain bool, retry time.Duration) error {
	if uncertain {
		return uncertainError()
	}
	e := verdict.New(verdict.NotRun, verdict.ReasonNotReady, http.StatusServiceUnavailable, "no node can store a job of the pool at the moment")
	e.RetryAfter = retry
	return e
}

func uncertainError() error {
	return verdict.New(verdict.MayHaveRun, verdict.ReasonDeadline, http.StatusGatewayTimeout, "the owner of the pool did not answer")
}

// attempt hands a call to the owner that is known now.
func (n *Node) attempt(ctx context.Context, shard int, kind string, c call) reply {
	if s := n.shard(shard); s != nil {
		return n.serve(ctx, s, kind, c)
	}
	n.mu.Lock()
	member := n.owners[shard]
	n.mu.Unlock()
	node, _, err := splitMember(member)
	if err != nil || node == n.settings.Node {
		return reply{Code: codeNotOwner}
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	var r reply
	err = n.peers.Call(ctx, node, kind, c, &r)
	switch {
	case err == nil:
		return r
	case errors.Is(err, peer.ErrNotConnected), errors.Is(err, peer.ErrQueueFull), errors.Is(err, peer.ErrTooLarge):
		return reply{Code: codeNotOwner}
	}
	return reply{Code: codeUncertain}
}

// serve answers a call as the owner of its shard.
func (n *Node) serve(ctx context.Context, s *shard, kind string, c call) reply {
	switch kind {
	case typeSubmit:
		return outcomeReply(s.submit(ctx, c.Spec))
	case typeCancel:
		return outcomeReply(s.cancelJob(ctx, c.Pool, c.ID))
	case typeState:
		state, known, err := s.stateOf(ctx, c.Pool, c.ID)
		if err != nil {
			return reply{Code: codeNotOwner}
		}
		if !known {
			return reply{Code: codeUnknown}
		}
		return reply{State: state}
	case typeFleet:
		load, err := s.load(ctx, c.Pool, c.Evacuate)
		if err != nil {
			return reply{Code: codeNotOwner}
		}
		return reply{Load: load}
	default:
		waiting, err := s.waiting(ctx, c.Pool, c.Queue)
		if err != nil {
			return reply{Code: codeNotOwner}
		}
		return reply{Waiting: waiting}
	}
}

func outcomeReply(o outcome) reply {
	switch {
	case errors.Is(o.err, errNotOwner):
		return reply{Code: codeNotOwner}
	case errors.Is(o.err, errStoreDown):
		return reply{Code: codeStoreDown, RetryMs: o.retry.Milliseconds()}
	case o.err != nil:
		return reply{Code: codeUncertain}
	case o.answer == job.Refused:
		return reply{Code: codeRefused, RetryMs: o.retry.Milliseconds()}
	case o.answer == job.Unknown:
		return reply{Code: codeUnknown}
	}
	return reply{}
}

// handlePeers registers the handlers of calls from other nodes.
func (n *Node) handlePeers() {
	for _, kind := range []string{typeSubmit, typeCancel, typeState, typeWaiting, typeFleet} {
		n.peers.Handle(kind, func(ctx context.Context, _ string, body peer.Body) (any, error) {
			return n.handleCall(ctx, kind, body)
		})
	}
	n.peers.Handle(typeQuiet, n.handleQuiet)
}

func (n *Node) handleCall(ctx context.Context, kind string, body peer.Body) (any, error) {
	var c call
	if err := peer.Decode(body, &c); err != nil {
		return nil, errors.Wrap(peer.ErrMalformed, err.Error())
	}
	if kind == typeSubmit && c.Spec == nil {
		return nil, errors.Wrap(peer.ErrMalformed, "a submission without a job")
	}
	s := n.shard(n.shardOf(c.Pool))
	if s == nil {
		return reply{Code: codeNotOwner}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	return n.serve(ctx, s, kind, c), nil
}
