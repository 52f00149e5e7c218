package jobmanager

import (
	"cmp"
	"context"
	"fmt"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/berylwharf/berylwharf/job"
)

const (
	// inboxSize is the number of messages that may wait for a shard's goroutine. Senders block while the inbox is full.
	inboxSize = 512
	// minStepInterval is the minimum time between the starts of two scheduling steps.
	minStepInterval = 8 * time.Millisecond
	// stepPauseFactor limits the fraction of time spent in scheduling steps: after a step that took d, the next one
	// starts no earlier than stepPauseFactor times d after the start of that step. A step of a large pool under a flood
	// of requests takes milliseconds, and the process also serves callers and workers.
	stepPauseFactor = 5
	// idleStepInterval is the time between steps while no messages arrive.
	idleStepInterval = 60 * time.Millisecond
	// storeTimeout bounds one call to the store whose request and response do not grow with the stored data.
	storeTimeout = 1200 * time.Millisecond
	// adviceTimeout bounds a request for advice, including the time that it is queued behind other requests of this
	// node.
	adviceTimeout = 4 * time.Second
	// storeRetryDelay is the delay before a failed call to the store is retried.
	storeRetryDelay = 60 * time.Millisecond
	// runsPerEpoch is the distance between the first run numbers of successive owners.
	runsPerEpoch = 64
	// clockDriftFactor covers a worker's clock that is up to 2% slow, with a margin.
	clockDriftFactor = 1.03
	// minRetryAfter and maxRetryAfter bound the delay after which callers are asked to retry while a shard has no owner
	// or the store does not answer.
	minRetryAfter = time.Second
	maxRetryAfter = 4 * time.Second
)

// outcome is the result of a caller's request.
type outcome struct {
	answer job.Answer
	retry  time.Duration
	err    error
	// movedTo is the pool that answers the request; the request had no effect.
	movedTo string
}

var (
	errNotOwner = errors.New("this node does not own the shard")
	// errStoreDown means that the request was not stored, because the store does not answer.
	errStoreDown = errors.New("the store does not answer")
	// errUncertain means that the request may or may not have been stored.
	errUncertain = errors.New("the outcome of the request is unknown")
)

// waiter is a caller that waits for a commit.
type waiter struct {
	reply chan outcome
	// untilEnded means that the commit must contain the end of the job, not only its submission.
	untilEnded bool
}

// shard owns one shard of the store. Its state belongs to a single goroutine; other goroutines reach it through the
// inbox.
type shard struct {
	node   *Node
	number int
	epoch  int64
	// generation is that of the group when the shard was assigned.
	generation int64
	ctx        context.Context
	cancel     context.CancelCauseFunc
	inbox      chan func(job.Time)
	done       chan struct{}

	pools            map[string]*job.Pool
	loaded           *job.Loaded
	links            map[string]*link
	relaysAssignedAt map[string]time.Duration // by pool; when its workers were last assigned to relays
	// directoryVersions and workersVersions hold, by pool, the version of the directory that was applied and the version
	// of the workers to which links are open.
	directoryVersions, workersVersions map[string]int64
	waiters                            map[string][]waiter // by job; callers that wait for a commit
	takeoverStart                      job.Time
	evacuationExpiry                   map[string]time.Duration // by pool; when its evacuation request expires
	extraRecords                       []extraRecord            // records to store with the next commit
	queues                             map[queueKey]*heldQueue
	queuesCheckedAt                    time.Duration
	routed                             routedQueues
	homes                              map[string]queueHome // by address of the queue; in fleetShard only
	customersVersions                  map[string]int64     // by pool; version of the configuration whose customers were applied
	nonce                              string               // distinguishes the claim of this ownership from other claims
	seq                                int64                // number of the last append; until then, of the claim
	previousClaim                      claim                // claim of the previous owner
	unsettled                          atomic.Bool          // an earlier owner may still send orders
	appendsClosed                      bool                 // no append may follow the release record; later changes are left to the successor
	// serving means that the shard's records are loaded.
	serving atomic.Bool
	// doubts counts the times at which another node may have owned the shard since it was claimed, and settledDoubts those
	// that an append has settled since.
	doubts, settledDoubts atomic.Int64
	verifyingDoubts       int64 // doubts that the append in progress settles
	// releasing means that the shard is being handed over: no new jobs are accepted and no orders are sent.
	releasing         atomic.Bool
	commitStartedAt   time.Duration // start of the commit in progress; 0 if there is none
	refuseUntil       time.Duration // new jobs are refused until then, because the store rejected a commit
	storeFailingSince time.Duration // since when commits have failed; 0 if they succeed
	lastCommitAt      time.Duration // start of the last commit
	lastStepAt        time.Duration
	lastStepDuration  time.Duration
	explainAgainAt    time.Duration // requests for explanations are answered with codeNotOwner until then
}

func newShard(n *Node, number int) *shard {
	s := &shard{
		node: n, number: number, nonce: uuid.NewString(), seq: newFirstSeq(),
		inbox:             make(chan func(job.Time), inboxSize),
		done:              make(chan struct{}),
		pools:             make(map[string]*job.Pool),
		links:             make(map[string]*link),
		relaysAssignedAt:  make(map[string]time.Duration),
		directoryVersions: make(map[string]int64), workersVersions: make(map[string]int64),
		waiters:          make(map[string][]waiter),
		evacuationExpiry: make(map[string]time.Duration),
		queues:           make(map[queueKey]*heldQueue),
		homes:            make(map[string]queueHome),

		customersVersions: make(map[string]int64),
	}
	s.ctx, s.cancel = context.WithCancelCause(n.ctx)
	return s
}

// retryAfter returns the delay after which callers should retry during an outage of the given age. The delay grows with
// the age, because a long outage is likely to continue and callers retry only a few times.
func retryAfter(age time.Duration) time.Duration {
	return min(maxRetryAfter, max(minRetryAfter, age))
}

// endOwnership ends the ownership and records the reason.
func (s *shard) endOwnership(reason string) { s.cancel(errors.New(reason)) }

// runInLoop runs f on the shard's goroutine and waits for it. It returns false if the shard or the context ended first;
// f may have run nevertheless.
func (s *shard) runInLoop(ctx context.Context, f func(job.Time)) bool {
	ran := make(chan struct{})
	wrapped := func(now job.Time) {
		f(now)
		close(ran)
	}
	select {
	case s.inbox <- wrapped:
	case <-s.ctx.Done():
		return false
	case <-ctx.Done():
		return false
	}
	select {
	case <-ran:
		return true
	case <-s.done:
		return false
	}
}

// run takes over the shard and serves it until the ownership ends.
func (s *shard) run() {
	defer s.close()
	defer s.recoverPanic()
	s.takeoverStart = s.node.clock.Now()
	err := s.takeOver()
	if errors.Is(err, errVacant) {
		s.node.setVacant(s.number, s.generation)
		s.cancel(err)
		return
	}
	if err != nil {
		s.node.log.Event(LogEvent{Component: "shard", Event: "takeover failed", Shard: s.number, Epoch: s.epoch, Reason: err.Error()})
		s.cancel(err)
		return
	}
	s.node.log.Event(LogEvent{
		Component: "shard", Event: "taken over", Shard: s.number, Epoch: s.epoch, Count: len(s.loaded.Specs),
		AgeMs: (s.node.clock.Now().Steady - s.takeoverStart.Steady).Milliseconds(),
	})
	s.restoreQueues(s.loaded.Other)
	s.serving.Store(true)
	if s.number == fleetShard {
		s.node.wg.Go(func() {
			defer s.recoverPanic()
			newFleetLoop(s).run()
		})
		s.startQuotaLoop()
	}
	s.serve()
}

// maxStackBytes limits the stack trace in a log line.
const maxStackBytes = 2000

// recoverPanic ends the ownership after a panic of one of the shard's goroutines. The state in memory may be inconsistent
// then; the next owner, which may be this node, loads it from the store. The other shards and the callers of the node are
// not affected.
func (s *shard) recoverPanic() {
	r := recover()
	if r == nil {
		return
	}
	stack := debug.Stack()
	s.node.log.Event(LogEvent{
		Component: "shard", Event: "panicked", Shard: s.number, Epoch: s.epoch,
		Reason: fmt.Sprintf("%v: %s", r, stack[:min(len(stack), maxStackBytes)]),
	})
	s.node.metrics.count("shard panicked")
	s.cancel(errors.Errorf("panic: %v", r))
}

// retry repeats a call to the store until it succeeds, is abandoned with errCommitRejected, fails with ErrFenced or
// ErrLogExtended, finds the shard vacant, or the ownership ends. The call sets its own timeout.
func (s *shard) retry(f func(context.Context) error) error {
	for {
		err := f(s.ctx)
		if err == nil || errors.Is(err, ErrFenced) || errors.Is(err, ErrLogExtended) || errors.Is(err, errCommitRejected) || errors.Is(err, errVacant) {
			return err
		}
		if s.ctx.Err() != nil {
			return context.Cause(s.ctx)
		}
		s.node.log.Event(LogEvent{Component: "store", Event: "call failed", Shard: s.number, Reason: err.Error()})
		sleep(s.ctx, storeRetryDelay)
	}
}

// serve runs the event loop of the shard.
func (s *shard) serve() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case f := <-s.inbox:
			s.handleInbox(f)
		case <-timer.C:
		}
		now := s.node.clock.Now()
		wait := s.lastStepAt + max(minStepInterval, stepPauseFactor*s.lastStepDuration) - now.Steady
		if wait > 0 {
			timer.Reset(wait)
			continue
		}
		s.step(now)
		s.lastStepDuration = s.node.clock.Now().Steady - now.Steady
		timer.Reset(idleStepInterval)
	}
}

// handleInbox handles a message and those queued behind it.
func (s *shard) handleInbox(f func(job.Time)) {
	f(s.node.clock.Now())
	for range inboxSize {
		select {
		case f := <-s.inbox:
			f(s.node.clock.Now())
		default:
			return
		}
	}
}

// step runs the schedulers of the pools, sends their orders and starts a commit.
func (s *shard) step(now job.Time) {
	s.lastStepAt = now.Steady
	s.syncPools(now)
	if !s.node.confirmed(now) {
		// Another node may own the shard by now. No orders are sent until the store confirms the membership again.
		return
	}
	if s.storeUnavailable(now) {
		s.storeFailingSince = cmp.Or(s.storeFailingSince, s.commitStartedAt)
		s.withdrawUnsent(now)
	}
	if s.releasing.Load() {
		s.commit(now)
		return
	}
	if !s.ownershipVerified() {
		s.verifyOwnership()
		s.commit(now)
		return
	}
	s.endEvacuations(now)
	s.takeOverQueues(now)
	for name, p := range s.pools {
		p.Tick(now)
		s.syncLinks(name, p, now)
		for _, o := range p.TakeOrders() {
			if l := s.links[o.Worker]; l != nil {
				l.send(s.ctx, o, now)
			}
		}
		for _, r := range p.TakeAdviceRequests() {
			s.node.wg.Go(func() { s.advise(p, r) })
		}
		s.logEvents(name, p)
		if stats, ok := p.TakeInterferenceStats(now); ok {
			s.node.metrics.recordInterference(name, stats)
		}
	}
	s.extendLog(now)
	s.commit(now)
}

// advise requests advice on a step and passes it to the pool.
func (s *shard) advise(p *job.Pool, r job.AdviceRequest) {
	asked := s.node.clock.Now().Steady
	ctx, cancel := context.WithTimeout(s.ctx, adviceTimeout)
	defer cancel()
	tickets, valid, err := s.node.advisor.Advise(ctx, r)
	if err != nil {
		s.node.log.Event(LogEvent{Component: "advice", Event: "no answer", Job: r.Step.Job, Reason: err.Error(), Count: len(r.Workers)})
	}
	s.runInLoop(s.ctx, func(now job.Time) { p.ApplyAdvice(r, tickets, valid, asked, now) })
}

// close stops the shard. Waiting callers are told that the outcome is unknown.
func (s *shard) close() {
	close(s.done)
	for name, p := range s.pools {
		s.node.metrics.dropInterference(name)
		p.ReleaseMemory()
	}
	for id := range s.waiters {
		s.answerWaiters(id, true, outcome{err: errUncertain})
	}
	if errors.Is(context.Cause(s.ctx), errVacant) {
		return
	}
	s.node.log.Event(LogEvent{
		Component: "shard", Event: "ownership ended", Shard: s.number, Epoch: s.epoch, Reason: context.Cause(s.ctx).Error(),
	})
}

func (s *shard) logEvents(pool string, p *job.Pool) {
	for _, e := range p.TakeEvents() {
		s.node.logJob(pool, s.epoch, e)
	}
}
