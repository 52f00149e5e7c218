package jobmanager

import (
	"cmp"
	"context"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/berylwharf/berylwharf/job"
)

const (
	// inboxSize bounds the messages that wait for a shard's goroutine. Senders wait when it is full.
	inboxSize = 512
	// stepEvery is the least time between rounds of scheduling.
	stepEvery = 8 * time.Millisecond
	// stepShare bounds the part of the time that rounds take: after a round of d, the next waits for stepShare times d. A
	// round of a large pool in a flood takes milliseconds, and the process also serves callers and workers.
	stepShare = 5
	// idleStep is the time between rounds while nothing happens.
	idleStep = 60 * time.Millisecond
	// storeTimeout bounds one call to the store.
	storeTimeout = 1200 * time.Millisecond
	// adviceTimeout bounds a request for advice, which waits in turn behind others of this node.
	adviceTimeout = 4 * time.Second
	// storePause is the pause before a failed call to the store is repeated.
	storePause = 60 * time.Millisecond
	// runsPerEpoch separates the run numbers of successive owners.
	runsPerEpoch = 64
	// driftFactor covers a worker's clock that is up to 2% slow, with reserve.
	driftFactor = 1.03
	// retryAfterTrouble and maxRetryAfterTrouble bound when callers are asked to return while a shard has no owner or the
	// store does not answer.
	retryAfterTrouble    = time.Second
	maxRetryAfterTrouble = 4 * time.Second
)

// outcome answers a caller's request.
type outcome struct {
	answer job.Answer
	retry  time.Duration
	err    error
}

var (
	errNotOwner = errors.New("this node does not own the shard")
	// errStoreDown means that the request was not stored, because the store does not answer.
	errStoreDown = errors.New("the store does not answer")
	// errUncertain means that the request may or may not have been stored.
	errUncertain = errors.New("the outcome is not known")
)

// waiter is a caller that waits for a commit.
type waiter struct {
	reply chan outcome
	// ended states that the commit must contain the end of the job, not just its submission.
	ended bool
}

// shard is the owner of one shard. One goroutine runs it; others reach it through its inbox.
type shard struct {
	node   *Node
	number int
	epoch  int64
	ctx    context.Context
	cancel context.CancelCauseFunc
	inbox  chan func(job.Time)
	done   chan struct{}

	pools     map[string]*job.Pool
	loaded    *job.Loaded
	links     map[string]*link
	waiters   map[string][]waiter // by job, until a commit is stored
	begun     job.Time
	evacuated map[string]time.Duration // by pool, until when an evacuation is in force
	extra     []job.Record             // to store with the next commit
	nonce     string                   // tells this ownership's claim from others
	seq       int64                    // of the last append
	previous  claim                    // of the earlier owner
	closed    bool                     // the release is the last append; what arrives now is left to the successor
	// releasing states that the shard is handed over: nothing new is accepted or ordered.
	releasing atomic.Bool
	commitAt  time.Duration // begin of the outstanding commit, 0 if there is none
	failingTo time.Duration // until when new jobs are refused, because the store turned a commit away
	trouble   time.Duration // since when commits are not stored, 0 if they are
	lastAt    time.Duration // begin of the last commit
	stepAt    time.Duration
	stepTook  time.Duration // duration of the last round
}

func newShard(n *Node, number int) *shard {
	s := &shard{
		node: n, number: number, nonce: uuid.NewString(),
		inbox:     make(chan func(job.Time), inboxSize),
		done:      make(chan struct{}),
		pools:     make(map[string]*job.Pool),
		links:     make(map[string]*link),
		waiters:   make(map[string][]waiter),
		evacuated: make(map[string]time.Duration),
	}
	s.ctx, s.cancel = context.WithCancelCause(n.ctx)
	return s
}

// retryAfter returns when callers should return after trouble of some age: trouble that has lasted for long lasts longer, and
// callers repeat a request only a few times.
func retryAfter(age time.Duration) time.Duration {
	return min(maxRetryAfterTrouble, max(retryAfterTrouble, age))
}

// lose ends the ownership.
func (s *shard) lose(why string) { s.cancel(errors.New(why)) }

// call runs f on the shard's goroutine and waits for it. It returns false when the shard or the context ended first.
func (s *shard) call(ctx context.Context, f func(job.Time)) bool {
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

// run takes the shard over and serves it until the ownership ends.
func (s *shard) run() {
	defer s.close()
	s.begun = s.node.clock.Now()
	if err := s.takeOver(); err != nil {
		s.node.log.Event(LogEvent{Part: "shard", What: "takeover failed", Shard: s.number, Epoch: s.epoch, Why: err.Error()})
		s.cancel(err)
		return
	}
	s.node.log.Event(LogEvent{
		Part: "shard", What: "taken over", Shard: s.number, Epoch: s.epoch, Count: len(s.loaded.Specs),
		AgeMs: (s.node.clock.Now().Steady - s.begun.Steady).Milliseconds(),
	})
	if s.number == fleetShard {
		s.node.wg.Go(func() { newFleetLoop(s).run() })
	}
	s.serve()
}

// retry repeats a call to the store until it succeeds or is given up, the ownership ends or a later owner exists.
func (s *shard) retry(f func(context.Context) error) error {
	for {
		ctx, cancel := context.WithTimeout(s.ctx, storeTimeout)
		err := f(ctx)
		cancel()
		if err == nil || errors.Is(err, ErrFenced) || errors.Is(err, ErrMoved) || errors.Is(err, errNotStored) {
			return err
		}
		if s.ctx.Err() != nil {
			return context.Cause(s.ctx)
		}
		s.node.log.Event(LogEvent{Part: "store", What: "call failed", Shard: s.number, Why: err.Error()})
		pause(s.ctx, storePause)
	}
}

// serve runs the shard's loop.
func (s *shard) serve() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case f := <-s.inbox:
			s.drain(f)
		case <-timer.C:
		}
		now := s.node.clock.Now()
		wait := s.stepAt + max(stepEvery, stepShare*s.stepTook) - now.Steady
		if wait > 0 {
			timer.Reset(wait)
			continue
		}
		s.step(now)
		s.stepTook = s.node.clock.Now().Steady - now.Steady
		timer.Reset(idleStep)
	}
}

// drain handles a message and those that wait behind it.
func (s *shard) drain(f func(job.Time)) {
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

// step lets the pools decide, sends their orders and begins a commit.
func (s *shard) step(now job.Time) {
	s.stepAt = now.Steady
	s.syncPools(now)
	if !s.node.confirmed(now) {
		// Another node may own the shard by now. Nothing is ordered until the store confirms the membership again.
		return
	}
	if s.stale(now) {
		s.trouble = cmp.Or(s.trouble, s.commitAt)
		s.withdraw(now)
	}
	if s.releasing.Load() {
		s.commit(now)
		return
	}
	s.endEvacuations(now)
	for name, p := range s.pools {
		p.Tick(now)
		s.syncLinks(p)
		for _, o := range p.TakeOrders() {
			if l := s.links[o.Worker]; l != nil {
				l.send(s.ctx, o, now)
			}
		}
		for _, r := range p.TakeAdviceRequests() {
			s.node.wg.Go(func() { s.advise(p, r) })
		}
		s.logEvents(name, p)
	}
	s.commit(now)
}

// advise asks for advice on a step.
func (s *shard) advise(p *job.Pool, r job.AdviceRequest) {
	asked := s.node.clock.Now().Steady
	ctx, cancel := context.WithTimeout(s.ctx, adviceTimeout)
	defer cancel()
	tickets, valid, err := s.node.advisor.Advise(ctx, r)
	if err != nil {
		s.node.log.Event(LogEvent{Part: "advice", What: "no answer", Job: r.Step.Job, Why: err.Error(), Count: len(r.Workers)})
	}
	s.call(s.ctx, func(now job.Time) { p.Advised(r, tickets, valid, asked, now) })
}

// syncPools creates the pools that are configured or have stored jobs, and passes them the directory.
func (s *shard) syncPools(now job.Time) {
	for _, name := range s.node.poolsOf(s.number) {
		s.pool(name, now)
	}
	for _, lj := range s.loaded.Specs {
		s.pool(lj.Spec.Pool, now)
	}
	s.loaded.Specs = nil
	entries, version := s.node.directory()
	if version == 0 {
		return
	}
	for name, p := range s.pools {
		p.Directory(entries[name], now)
	}
}

// pool returns a pool of the shard and creates it when it is new.
func (s *shard) pool(name string, now job.Time) *job.Pool {
	if p := s.pools[name]; p != nil {
		return p
	}
	b := s.node.settings.Bounds
	lease := time.Duration(float64(b.maxLease())*driftFactor) + orderTimeout
	fleetWait := time.Duration(0)
	if s.epoch > 1 {
		fleetWait = fleetEvery + loadTimeout + machineTimeout
	}
	p := job.New(job.Config{
		Pool:           name,
		RunBase:        1 + int(s.epoch-1)*runsPerEpoch,
		MaxLease:       lease,
		InheritedLease: membershipTTL + lease,
		InheritedStops: orderTimeout + time.Duration(b.StopMs)*time.Millisecond,
		FleetWait:      fleetWait,
		KeepFinished:   time.Duration(b.StatusS * float64(time.Second)),
		RackFactor:     b.RackFactor,
	}, now)
	p.Restore(s.loaded, now)
	s.pools[name] = p
	return p
}

// syncLinks opens a link to each worker of a pool and closes those to workers that are forgotten.
func (s *shard) syncLinks(p *job.Pool) {
	known := make(map[string]bool)
	for _, w := range p.Workers() {
		known[w.Info.ID] = true
		if l := s.links[w.Info.ID]; l != nil {
			l.status.Info = w.Info
			continue
		}
		l := newLink(s, p, w.Info.ID)
		l.status = w
		ctx, cancel := context.WithCancel(s.ctx)
		l.cancel = cancel
		s.links[w.Info.ID] = l
		s.node.wg.Go(func() { l.run(ctx) })
	}
	for id, l := range s.links {
		if l.pool == p && !known[id] {
			l.cancel()
			delete(s.links, id)
		}
	}
}

// close ends the shard: callers learn that their outcome is not known.
func (s *shard) close() {
	close(s.done)
	for id := range s.waiters {
		s.answer(id, true, outcome{err: errUncertain})
	}
	s.node.log.Event(LogEvent{
		Part: "shard", What: "given up", Shard: s.number, Epoch: s.epoch, Why: context.Cause(s.ctx).Error(),
	})
}

func (s *shard) logEvents(pool string, p *job.Pool) {
	for _, e := range p.TakeEvents() {
		s.node.logJob(pool, s.epoch, e)
	}
}
