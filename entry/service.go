package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/berylwharf/berylwharf/admission"
	"github.com/berylwharf/berylwharf/resource"
	"github.com/berylwharf/berylwharf/routing"
	"github.com/berylwharf/berylwharf/verdict"
)

const (
	// acquireTimeout limits one wait for a slot. After it, the candidates are selected anew.
	acquireTimeout = 100 * time.Millisecond
	acquireBackoff = 5 * time.Millisecond
	// retryAfter is the Retry-After of refusals that do not depend on the state of a queue.
	retryAfter = time.Second
)

// service is the state of one service at this node: its queue, its backend servers and the goroutine that assigns slots
// to requests.
type service struct {
	h    *Handler
	name string
	spec atomic.Pointer[resource.Service]
	// wake has capacity 1. If it is full, a signal is already pending and another one is not needed.
	wake   chan struct{}
	ctx    context.Context
	cancel context.CancelFunc
	stats  *serviceStats

	mu          sync.Mutex
	queue       *admission.Queue
	backends    *routing.BackendSet
	retryBudget *routing.RetryBudget
	latency     *routing.LatencyEstimator
	closed      bool
}

// heldSlot is a slot on a backend server that is held for one attempt.
type heldSlot struct {
	s           *service
	server      *routing.Server
	vm          string
	addr        string
	outcomeOnce sync.Once // guards recordOutcome
	returnOnce  sync.Once // guards returnSlot
}

// queuedRequest is a request in the queue of a service.
type queuedRequest struct {
	admission.Request
	result chan grant // capacity 1; receives exactly one value unless the request is cancelled
}

// grant is the outcome of queueing a request: a slot or a refusal.
type grant struct {
	slot *heldSlot
	err  *verdict.Error
}

func newService(h *Handler, name string) *service {
	s := &service{
		h: h, name: name,
		wake:        make(chan struct{}, 1),
		queue:       admission.New(admission.Options{Policy: h.cfg.Policy}),
		backends:    routing.NewBackendSet(h.cfg.Zone, rand.New(rand.NewPCG(h.cfg.Seed, xxhash.Sum64String(name)))),
		retryBudget: routing.NewRetryBudget(),
		latency:     routing.NewLatencyEstimator(),
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.stats = newServiceStats(h.cfg.Registry, s)
	return s
}

// update applies the service's part of a routing table. After it returns, no new requests are sent to VMs that are not in
// the table.
func (s *service) update(now time.Time, r *routing.Service, customers map[string]admission.Customer) {
	s.mu.Lock()
	s.spec.Store(r.Spec)
	s.queue.SetLimit(r.Spec.QueueLimit)
	s.queue.SetCustomers(customers)
	s.backends.Update(now, r.Backends)
	s.mu.Unlock()
	s.signal()
}

// close stops a service that was removed from the routing table. Waiting requests are refused. Running requests are not
// interrupted.
func (s *service) close() {
	s.mu.Lock()
	s.closed = true
	s.backends.Update(s.h.now(), nil)
	s.refuseAll()
	s.mu.Unlock()
	s.cancel()
	s.stats.unregister()
}

// signal tells the dispatch loop to check the queue. It never blocks.
func (s *service) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// dispatchLoop assigns slots to waiting requests until the service is closed.
func (s *service) dispatchLoop() {
	candidates := make([]string, 0, routing.MaxCandidates)
	for {
		select {
		case <-s.wake:
		case <-s.ctx.Done():
			return
		}
		for s.dispatchNext(candidates[:0]) {
		}
	}
}

// dispatchNext acquires a slot and then assigns it to the waiting request that is served next. It reports whether more
// requests may be waiting.
func (s *service) dispatchNext(candidates []string) bool {
	s.mu.Lock()
	if s.closed || !s.queue.Ready() {
		s.mu.Unlock()
		return false
	}
	candidates = s.backends.Choose(s.h.now(), candidates)
	if len(candidates) == 0 {
		s.refuseAll()
		s.mu.Unlock()
		return false
	}
	s.mu.Unlock()
	// A slot that is not yet assigned to a request counts as in flight, so that Drain waits for its return.
	s.h.inFlight.beginInternal()
	defer s.h.inFlight.end()
	ctx, cancel := context.WithTimeout(s.ctx, acquireTimeout)
	defer cancel()
	vm, err := s.h.cfg.Slots.Acquire(ctx, candidates)
	if err == nil {
		s.assignSlot(vm)
		return true
	}
	if ctx.Err() == nil {
		s.backOff()
	}
	return s.ctx.Err() == nil
}

// backOff waits for acquireBackoff, so that the dispatch loop does not spin when Acquire fails immediately.
func (s *service) backOff() {
	timer := time.NewTimer(acquireBackoff)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.ctx.Done():
	}
}

// assignSlot assigns a slot on vm to the waiting request that is served next, or returns the slot if there is none.
func (s *service) assignSlot(vm string) {
	now := s.h.now()
	s.mu.Lock()
	hs := s.newHeldSlot(vm)
	if hs == nil {
		s.mu.Unlock()
		s.h.cfg.Slots.Return(vm, 0)
		return
	}
	r, refused := s.queue.Dequeue(now)
	deliverRefusals(refused)
	if r != nil {
		r.Ref.(*queuedRequest).result <- grant{slot: hs}
	}
	s.mu.Unlock()
	if r == nil {
		hs.release(routing.OutcomeUnused, 0)
	}
}

// newHeldSlot counts an attempt on vm and returns its slot, or nil if no new requests may be sent to vm. The caller holds
// s.mu.
func (s *service) newHeldSlot(vm string) *heldSlot {
	srv := s.backends.Start(vm)
	if srv == nil {
		return nil
	}
	s.h.inFlight.addAttempts(vm, 1)
	return &heldSlot{s: s, server: srv, vm: vm, addr: srv.Addr}
}

// release records the outcome of the attempt and returns the slot. Each of the two is done only once.
func (hs *heldSlot) release(o routing.Outcome, quarantine time.Duration) {
	hs.recordOutcome(o, func() { hs.returnSlot(quarantine) })
	hs.returnSlot(quarantine)
}

// recordTimeout records that the attempt reached its deadline. The slot stays in use until release is called.
func (hs *heldSlot) recordTimeout() { hs.recordOutcome(routing.OutcomeTimeout, func() {}) }

// recordOutcome records the outcome of the attempt once. freeSlot is called before the attempt stops counting as in
// flight.
func (hs *heldSlot) recordOutcome(o routing.Outcome, freeSlot func()) {
	hs.outcomeOnce.Do(func() {
		hs.s.mu.Lock()
		hs.s.backends.Done(hs.s.h.now(), hs.server, o)
		hs.s.mu.Unlock()
		freeSlot()
		hs.s.h.inFlight.addAttempts(hs.vm, -1)
	})
}

func (hs *heldSlot) returnSlot(quarantine time.Duration) {
	hs.returnOnce.Do(func() { hs.s.h.cfg.Slots.Return(hs.vm, quarantine) })
}

// deliverRefusals passes the refusals to the goroutines that wait for the requests.
func deliverRefusals(refused []admission.Refusal) {
	for _, r := range refused {
		r.Request.Ref.(*queuedRequest).result <- grant{err: r.Err}
	}
}

// refuseAll refuses all waiting requests because there is no backend server. The caller holds s.mu.
func (s *service) refuseAll() {
	for r := s.queue.Drop(); r != nil; r = s.queue.Drop() {
		r.Ref.(*queuedRequest).result <- grant{err: errNoBackend()}
	}
}

func errNoBackend() *verdict.Error {
	return notRun(verdict.ReasonNoBackend, http.StatusServiceUnavailable, "the service has no backend server")
}

// notRun returns a not-run refusal, with a Retry-After if the status indicates a temporary condition.
func notRun(r verdict.Reason, status int, message string) *verdict.Error {
	e := verdict.New(verdict.NotRun, r, status, message)
	if status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout {
		e.RetryAfter = retryAfter
	}
	return e
}

// admit queues the request and waits for a slot. ctx is done when the caller disconnects or at the deadline.
func (s *service) admit(ctx context.Context, rq *request) (*queuedRequest, *heldSlot, *verdict.Error) {
	qr := &queuedRequest{result: make(chan grant, 1)}
	qr.Customer, qr.Urgency, qr.Deadline = rq.customer, rq.urgency, rq.deadline
	qr.Ref = qr
	s.mu.Lock()
	if s.closed || s.backends.Len() == 0 {
		s.mu.Unlock()
		return nil, nil, errNoBackend()
	}
	s.retryBudget.Deposit()
	deliverRefusals(s.queue.Enqueue(s.h.now(), &qr.Request))
	s.mu.Unlock()
	s.signal()
	select {
	case g := <-qr.result:
		return qr, g.slot, g.err
	case <-ctx.Done():
	}
	s.mu.Lock()
	cancelled := s.queue.Cancel(&qr.Request)
	s.mu.Unlock()
	if !cancelled {
		// The request was granted a slot or refused at the same time.
		g := <-qr.result
		if g.err != nil {
			return qr, nil, g.err
		}
		g.slot.release(routing.OutcomeUnused, 0)
		s.finishRequest(qr, false)
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return qr, nil, notRun(verdict.ReasonDeadline, http.StatusGatewayTimeout, "the deadline passed in the queue")
	}
	return qr, nil, notRun(verdict.ReasonConnectionBroken, http.StatusServiceUnavailable, "the caller went away")
}

// finishRequest ends a request that held a slot. completed reports whether its slot time is added to the estimates.
func (s *service) finishRequest(qr *queuedRequest, completed bool) {
	s.mu.Lock()
	s.queue.Done(s.h.now(), &qr.Request, completed)
	ready := s.queue.Ready()
	s.mu.Unlock()
	if ready {
		// Requests of the customer may have been waiting because it was at its quota.
		s.signal()
	}
}

// acquireForRetry acquires a slot for a retry or a hedge and charges the retry budget. It prefers servers that have not
// been tried, and falls back to all servers if there is no other. It returns nil if the budget is used up, there is no
// server, or no slot is free within wait.
func (s *service) acquireForRetry(ctx context.Context, tried []string, wait time.Duration) *heldSlot {
	s.mu.Lock()
	if !s.retryBudget.Withdraw() {
		s.mu.Unlock()
		return nil
	}
	candidates := s.backends.Choose(s.h.now(), nil, tried...)
	if len(candidates) == 0 {
		candidates = s.backends.Choose(s.h.now(), nil)
	}
	s.mu.Unlock()
	hs := s.acquireSlot(ctx, candidates, wait)
	if hs == nil {
		s.mu.Lock()
		s.retryBudget.Refund()
		s.mu.Unlock()
	}
	return hs
}

// acquireSlot acquires a slot on one of the candidates. It returns nil if none is free within wait.
func (s *service) acquireSlot(ctx context.Context, candidates []string, wait time.Duration) *heldSlot {
	if len(candidates) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	vm, err := s.h.cfg.Slots.Acquire(ctx, candidates)
	if err != nil {
		return nil
	}
	s.mu.Lock()
	hs := s.newHeldSlot(vm)
	s.mu.Unlock()
	if hs == nil {
		s.h.cfg.Slots.Return(vm, 0)
	}
	return hs
}
