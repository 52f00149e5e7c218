package jobmanager

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/berylwharf/berylwharf/fleet"
	"github.com/berylwharf/berylwharf/job"
	"github.com/berylwharf/berylwharf/peer"
	"github.com/berylwharf/berylwharf/quota"
	"github.com/berylwharf/berylwharf/verdict"
)

// Types of peer messages.
const (
	typeSubmit       = "job.submit"
	typeCancel       = "job.cancel"
	typeState        = "job.state"
	typeWaiting      = "job.waiting"
	typeFleet        = "fleet.load"
	typeOwnerStopped = "shard.quiet"
	typeClaimQueue   = "queue.claim"
	typeMoveQueue    = "queue.move"
	typeQuota        = "quota.round"
	typeExplain      = "job.explain"
)

const (
	// ownerWait is how long a request that certainly had no effect waits for its shard to get an owner.
	ownerWait = 1200 * time.Millisecond
	// forwardRetryDelay is the pause between attempts while no owner of the shard can be reached or the outcome of an
	// attempt is unknown.
	forwardRetryDelay = 50 * time.Millisecond
	// forwardTimeout bounds one attempt, so that an unresponsive connection does not use up the deadline of the
	// request.
	forwardTimeout = 1500 * time.Millisecond
)

// call is a request as it is forwarded to the owner of a shard.
type call struct {
	Pool  string    `cbor:"1,keyasint"`
	ID    string    `cbor:"2,keyasint,omitempty"`
	Queue string    `cbor:"3,keyasint,omitempty"`
	Spec  *job.Spec `cbor:"4,keyasint,omitempty"`
	// Evacuate lists the workers of the pool that the fleet controller wants evacuated.
	Evacuate []string `cbor:"5,keyasint,omitempty"`
	// Removed lists the workers of the pool that the platform lists on no machine any more.
	Removed []string `cbor:"10,keyasint,omitempty"`
	// Address and Version are those of the QueueRef of the call.
	Address string `cbor:"6,keyasint,omitempty"`
	Version int64  `cbor:"7,keyasint,omitempty"`
	// RedirectedBy is the pool whose owner redirected the call to Pool.
	RedirectedBy string `cbor:"8,keyasint,omitempty"`
	// Customer is the customer in whose name the call is made: empty for a call without a key on a public route, nil if the
	// version of the configuration has no customers. A call without the field is not checked.
	Customer *string `cbor:"11,keyasint,omitempty"`
	// MoveTo is the pool that takes the queue over from Pool.
	MoveTo string `cbor:"9,keyasint,omitempty"`
	// Quota is an offer of the allocator of caps.
	Quota *quota.Offer `cbor:"12,keyasint,omitempty"`
}

// queueCall returns a call about a job, or about no job if id is empty.
func queueCall(q QueueRef, id string) call {
	return call{Pool: q.Pool, Queue: q.Name, Address: q.Address, Version: q.Version, Customer: q.Customer, ID: id}
}

// redirect directs a call to the pool that the owner of another pool named.
func (c *call) redirect(pool string) {
	c.RedirectedBy, c.Pool = c.Pool, pool
	if c.Spec != nil {
		spec := *c.Spec
		spec.Pool = pool
		c.Spec = &spec
	}
}

// replyCode is the outcome of a call.
type replyCode uint8

const (
	codeOK        replyCode = iota
	codeNotOwner            // the call had no effect, because its node does not own the shard or cannot be reached
	codeUncertain           // the call may have taken effect
	codeRefused             // the job is not accepted and never runs
	codeUnknown             // there is no such job
	codeStoreDown           // nothing was stored, because the store does not answer
	codeMoved               // the call had no effect; another pool answers it
	codeForeign             // the call had no effect; the job belongs to another customer
	codeOverCap             // the job needs more at once than the cap of its customer; it is not accepted and never runs
)

// reply is the owner's answer to a call.
type reply struct {
	Code    replyCode   `cbor:"1,keyasint,omitempty"`
	RetryMs int64       `cbor:"2,keyasint,omitempty"`
	State   job.State   `cbor:"3,keyasint,omitempty"`
	Waiting int         `cbor:"4,keyasint,omitempty"`
	Load    *fleet.Load `cbor:"5,keyasint,omitempty"`
	// Pool is the pool that answers the call, with codeMoved.
	Pool string `cbor:"6,keyasint,omitempty"`
	// Pools lists the earlier pools of the queue.
	Pools []string `cbor:"7,keyasint,omitempty"`
	// Version is that of the configuration under which a pool took the queue over.
	Version int64 `cbor:"8,keyasint,omitempty"`
	// Jobs lists the jobs that a pool knows.
	Jobs []string `cbor:"9,keyasint,omitempty"`
	// Quota is the answer to an offer of the allocator of caps.
	Quota *quota.Report `cbor:"11,keyasint,omitempty"`
	// Explained is the answer to typeExplain.
	Explained *OwnerExplanation `cbor:"13,keyasint,omitempty"`
}

// Submit forwards a job to the owner of the pool of its queue. The error is a *verdict.Error.
func (n *Node) Submit(ctx context.Context, q QueueRef, spec *job.Spec) error {
	if err := n.checkNewJob(spec); err != nil {
		return err
	}
	c := queueCall(q, spec.ID)
	c.Spec = spec
	r, err := n.forward(ctx, typeSubmit, c)
	if err != nil {
		return err
	}
	return submissionError(r)
}

// checkNewJob returns the refusal of a job that cannot be stored.
func (n *Node) checkNewJob(spec *job.Spec) error {
	err := spec.CheckNew(n.settings.Limits.recordBytes())
	switch {
	case err == nil:
		return nil
	case errors.Is(err, job.ErrTooLarge):
		return verdict.Wrap(err, verdict.NotRun, verdict.ReasonTooLarge, http.StatusRequestEntityTooLarge, err.Error())
	}
	return verdict.Wrap(err, verdict.NotRun, verdict.ReasonBadRequest, http.StatusBadRequest, err.Error())
}

// submissionError returns the refusal of a submission, or nil.
func submissionError(r reply) error {
	if r.Code == codeRefused {
		e := verdict.New(verdict.NotRun, verdict.ReasonQueueFull, http.StatusServiceUnavailable,
			"the pool is overloaded; the job would miss its objective")
		e.RetryAfter = time.Duration(r.RetryMs) * time.Millisecond
		return e
	}
	if r.Code == codeOverCap {
		return overCapError()
	}
	return nil
}

// Cancel cancels a job. It returns false if the job does not exist. The error is a *verdict.Error.
func (n *Node) Cancel(ctx context.Context, q QueueRef, id string) (bool, error) {
	r, err := n.forward(ctx, typeCancel, queueCall(q, id))
	return r.Code == codeOK, err
}

// State returns the state of a job. The second result is false if the job does not exist.
func (n *Node) State(ctx context.Context, q QueueRef, id string) (job.State, bool, error) {
	r, err := n.forward(ctx, typeState, queueCall(q, id))
	return r.State, r.Code == codeOK, err
}

// CountQueued returns the number of jobs in a queue that wait for their first task, those in earlier pools of the queue
// included.
func (n *Node) CountQueued(ctx context.Context, q QueueRef) (int, error) {
	r, err := n.forward(ctx, typeWaiting, queueCall(q, ""))
	total := r.Waiting
	for _, pool := range r.Pools {
		if err != nil {
			break
		}
		c := queueCall(q, "")
		c.Pool, c.RedirectedBy = pool, q.Pool
		r, err = n.forward(ctx, typeWaiting, c)
		total += r.Waiting
	}
	return total, err
}

// forward sends a call to the owner of its pool, and to the next owner if the ownership or the pool changes. All calls
// are idempotent, so an attempt with an unknown outcome is repeated.
func (n *Node) forward(ctx context.Context, kind string, c call) (reply, error) {
	startedAt := n.clock.Now().Steady
	defer func() { n.metrics.callLatency.Update((n.clock.Now().Steady - startedAt).Microseconds()) }()
	uncertain := false
	for {
		r := n.attempt(ctx, n.shardOf(c.Pool), kind, c)
		switch r.Code {
		case codeOK, codeUnknown:
			return r, nil
		case codeRefused, codeOverCap:
			if uncertain {
				return reply{}, uncertainError()
			}
			return r, nil
		case codeForeign:
			if uncertain {
				return reply{}, uncertainError()
			}
			return reply{}, foreignJobError()
		case codeStoreDown:
			return reply{}, forwardError(uncertain, time.Duration(r.RetryMs)*time.Millisecond)
		case codeUncertain:
			uncertain = true
		case codeMoved:
			if c.RedirectedBy == "" {
				c.redirect(r.Pool)
				continue
			}
			c.redirect(r.Pool)
		case codeNotOwner:
		}
		n.wakeUp(n.refreshOwners)
		now := n.clock.Now()
		takeoverIn, missing := n.takeoverIn(n.shardOf(c.Pool), now)
		if missing && !uncertain {
			return reply{}, forwardError(false, takeoverIn)
		}
		// While the store is down no other node can become the owner, so waiting would be pointless.
		giveUp := n.storeDownSince.Load() > 0 || now.Steady-startedAt > ownerWait
		if ctx.Err() != nil || (!uncertain && giveUp) {
			return reply{}, forwardError(uncertain, retryAfter(n.storeDownFor()))
		}
		sleep(ctx, forwardRetryDelay)
	}
}

func forwardError(uncertain bool, retry time.Duration) error {
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

// attempt sends a call once, to the owner that is currently known.
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
	if _, missing := n.takeoverIn(shard, n.clock.Now()); missing {
		return reply{Code: codeNotOwner}
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	var r reply
	err = n.peers.Call(ctx, node, kind, c, &r)
	switch {
	case err == nil:
		return r
	case errors.Is(err, peer.ErrNotConnected):
		n.wantOwner(shard)
		return reply{Code: codeNotOwner}
	case errors.Is(err, peer.ErrQueueFull), errors.Is(err, peer.ErrTooLarge):
		return reply{Code: codeNotOwner}
	}
	return reply{Code: codeUncertain}
}

// serve answers a call as the owner of its shard. While the shard is being loaded, which can take seconds on a slow link, the
// call has no effect.
func (n *Node) serve(ctx context.Context, s *shard, kind string, c call) reply {
	if !s.serving.Load() {
		return reply{Code: codeNotOwner}
	}
	switch kind {
	case typeSubmit:
		return outcomeReply(s.submit(ctx, c))
	case typeCancel:
		return outcomeReply(s.cancelJob(ctx, c))
	case typeState:
		return s.jobState(ctx, c)
	case typeClaimQueue:
		return s.claimHome(ctx, c)
	case typeMoveQueue:
		return s.moveQueue(ctx, c)
	case typeFleet:
		load, err := s.evacuateAndLoad(ctx, c)
		if err != nil {
			return reply{Code: codeNotOwner}
		}
		return reply{Load: load}
	case typeQuota:
		return s.quotaRound(ctx, c)
	case typeExplain:
		return s.explain(ctx, c)
	default:
		return s.waiting(ctx, c)
	}
}

func outcomeReply(o outcome) reply {
	switch {
	case errors.Is(o.err, errNotOwner):
		return reply{Code: codeNotOwner}
	case errors.Is(o.err, errForeignJob):
		return reply{Code: codeForeign}
	case o.movedTo != "":
		return reply{Code: codeMoved, Pool: o.movedTo}
	case errors.Is(o.err, errStoreDown):
		return reply{Code: codeStoreDown, RetryMs: o.retry.Milliseconds()}
	case o.err != nil:
		return reply{Code: codeUncertain}
	case o.answer == job.Refused:
		return reply{Code: codeRefused, RetryMs: o.retry.Milliseconds()}
	case o.answer == job.OverCap:
		return reply{Code: codeOverCap}
	case o.answer == job.Unknown:
		return reply{Code: codeUnknown}
	}
	return reply{}
}

// handlePeers registers the handlers of calls from other nodes.
func (n *Node) handlePeers() {
	for _, kind := range []string{typeSubmit, typeCancel, typeState, typeWaiting, typeFleet, typeClaimQueue, typeMoveQueue, typeQuota, typeExplain} {
		n.peers.Handle(kind, func(ctx context.Context, _ string, body peer.Body) (any, error) {
			return n.handleCall(ctx, kind, body)
		})
	}
	n.peers.Handle(typeOwnerStopped, n.handleOwnerStopped)
}

// checkSubmission checks the job of a submission that another node forwards.
func checkSubmission(c call) error {
	if c.Spec == nil || c.Spec.Pool != c.Pool {
		return errors.New("a submission without a job of the pool")
	}
	return c.Spec.Validate()
}

func (n *Node) handleCall(ctx context.Context, kind string, body peer.Body) (any, error) {
	var c call
	if err := peer.Decode(body, &c); err != nil {
		return nil, errors.Wrap(peer.ErrMalformed, err.Error())
	}
	if kind == typeSubmit || (kind == typeExplain && c.Spec != nil) {
		if err := checkSubmission(c); err != nil {
			return nil, errors.Wrap(peer.ErrMalformed, err.Error())
		}
	}
	number := n.shardOf(c.Pool)
	if kind == typeClaimQueue {
		number = fleetShard
	}
	s := n.shard(number)
	if s == nil {
		return reply{Code: codeNotOwner}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	return n.serve(ctx, s, kind, c), nil
}
