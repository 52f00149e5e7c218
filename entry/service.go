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
	// acquireTimeout bounds one wait for a slot; the candidates are then chosen again.
	acquireTimeout = 100 * time.Millisecond
	acquirePause   = 5 * time.Millisecond
	// retryAfter is named in refusals that do not depend on a queue.
	retryAfter = time.Second
)

// service is one service at this node: its queue, its backend servers and the goroutine that hands slots to requests.
type service struct {
	h    *Handler
	name string
	spec atomic.Pointer[resource.Service]
	// wake has capacity 1. A full channel means that the goroutine will look at the queue anyway.
	wake   chan struct{}
	ctx    context.Context
	cancel context.CancelFunc
	stats  *serviceStats

	mu      sync.Mutex
	queue   *admission.Queue
	set     *routing.Set
	budget  *routing.Budget
	latency *routing.Latency
	closed  bool
}

// lease is a slot on a backend server, held by one attempt.
type lease struct {
	s      *service
	server *routing.Server
	vm     string
	addr   string
	once   sync.Once // guards the counts
	slot   sync.Once // guards the slot
}

// ticket is a request that waits for a slot.
type ticket struct {
	admission.Request
	result chan grant // capacity 1; exactly one value unless the request is cancelled
}

type grant struct {
	lease *lease
	err   *verdict.Error
}

func newService(h *Handler, name string) *service {
	s := &service{
		h: h, name: name,
		wake:    make(chan struct{}, 1),
		queue:   admission.New(admission.Options{Policy: h.cfg.Policy}),
		set:     routing.NewSet(h.cfg.Zone, rand.New(rand.NewPCG(h.cfg.Seed, xxhash.Sum64String(name)))),
		budget:  routing.NewBudget(),
		latency: routing.NewLatency(),
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.stats = newServiceStats(h.cfg.Registry, s)
	return s
}

// update installs the service's part of a routing table. After it returns, no new work starts on VMs that are not in
// the table.
func (s *service) update(now time.Time, r *routing.Service, customers map[string]admission.Customer) {
	s.mu.Lock()
	s.spec.Store(r.Spec)
	s.queue.SetLimit(r.Spec.QueueLimit)
	s.queue.SetCustomers(customers)
	s.set.Update(now, r.Backends)
	s.mu.Unlock()
	s.poke()
}

// close stops new work of a service that has left the table. Waiting requests are refused; running ones end.
func (s *service) close() {
	s.mu.Lock()
	s.closed = true
	s.set.Update(s.h.now(), nil)
	s.refuseAll()
	s.mu.Unlock()
	s.cancel()
	s.stats.unregister()
}

func (s *service) poke() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// run hands slots to waiting requests until the service is closed.
func (s *service) run() {
	candidates := make([]string, 0, routing.MaxCandidates)
	for {
		select {
		case <-s.wake:
		case <-s.ctx.Done():
			return
		}
		for s.serveNext(candidates[:0]) {
		}
	}
}

// serveNext acquires a slot and then takes the best waiting request. It reports whether there may be more to do.
func (s *service) serveNext(candidates []string) bool {
	s.mu.Lock()
	if s.closed || !s.queue.Ready() {
		s.mu.Unlock()
		return false
	}
	candidates = s.set.Choose(s.h.now(), candidates)
	if len(candidates) == 0 {
		s.refuseAll()
		s.mu.Unlock()
		return false
	}
	s.mu.Unlock()
	// A slot that is not yet given to a request counts as in flight, so that Drain waits for its return.
	s.h.flight.hold()
	defer s.h.flight.leave()
	ctx, cancel := context.WithTimeout(s.ctx, acquireTimeout)
	defer cancel()
	vm, err := s.h.cfg.Slots.Acquire(ctx, candidates)
	if err == nil {
		s.give(vm)
		return true
	}
	if ctx.Err() == nil {
		s.pause()
	}
	return s.ctx.Err() == nil
}

// pause keeps slots that fail at once from occupying a processor.
func (s *service) pause() {
	timer := time.NewTimer(acquirePause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.ctx.Done():
	}
}

// give passes a slot on vm to the best waiting request, or returns the slot when there is none.
func (s *service) give(vm string) {
	now := s.h.now()
	s.mu.Lock()
	l := s.start(vm)
	if l == nil {
		s.mu.Unlock()
		s.h.cfg.Slots.Return(vm, 0)
		return
	}
	r, refused := s.queue.Dequeue(now)
	deliver(refused)
	if r != nil {
		r.Ref.(*ticket).result <- grant{lease: l}
	}
	s.mu.Unlock()
	if r == nil {
		l.end(routing.OutcomeUnused, 0)
	}
}

// start counts a request on vm. It returns nil when vm may get no new work. The caller holds s.mu.
func (s *service) start(vm string) *lease {
	sv := s.set.Start(vm)
	if sv == nil {
		return nil
	}
	s.h.flight.add(vm, 1)
	return &lease{s: s, server: sv, vm: vm, addr: sv.Addr}
}

// end gives the slot back. Only the first call counts.
func (l *lease) end(o routing.Outcome, quarantine time.Duration) {
	l.settle(o, func() { l.giveBack(quarantine) })
	l.giveBack(quarantine)
}

// abandon ends the attempt at its deadline. The slot stays in use until end is called.
func (l *lease) abandon() { l.settle(routing.OutcomeTimeout, func() {}) }

// settle counts the end of the attempt once. free runs before the attempt stops counting as in flight.
func (l *lease) settle(o routing.Outcome, free func()) {
	l.once.Do(func() {
		l.s.mu.Lock()
		l.s.set.Done(l.s.h.now(), l.server, o)
		l.s.mu.Unlock()
		free()
		l.s.h.flight.add(l.vm, -1)
	})
}

func (l *lease) giveBack(quarantine time.Duration) {
	l.slot.Do(func() { l.s.h.cfg.Slots.Return(l.vm, quarantine) })
}

func deliver(refused []admission.Refusal) {
	for _, r := range refused {
		r.Request.Ref.(*ticket).result <- grant{err: r.Err}
	}
}

// refuseAll refuses the waiting requests because there is no backend server. The caller holds s.mu.
func (s *service) refuseAll() {
	for r := s.queue.Drop(); r != nil; r = s.queue.Drop() {
		r.Ref.(*ticket).result <- grant{err: errNoBackend()}
	}
}

func errNoBackend() *verdict.Error {
	return notRun(verdict.ReasonNoBackend, http.StatusServiceUnavailable, "the service has no backend server")
}

func notRun(r verdict.Reason, status int, message string) *verdict.Error {
	e := verdict.New(verdict.NotRun, r, status, message)
	if status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout {
		e.RetryAfter = retryAfter
	}
	return e
}

// admit queues the request and waits for a slot. ctx ends when the caller is gone or at the deadline.
func (s *service) admit(ctx context.Context, rq *request) (*ticket, *lease, *verdict.Error) {
	t := &ticket{result: make(chan grant, 1)}
	t.Customer, t.Urgency, t.Deadline = rq.customer, rq.urgency, rq.deadline
	t.Ref = t
	s.mu.Lock()
	if s.closed || s.set.Len() == 0 {
		s.mu.Unlock()
		return nil, nil, errNoBackend()
	}
	s.budget.Deposit()
	deliver(s.queue.Enqueue(s.h.now(), &t.Request))
	s.mu.Unlock()
	s.poke()
	select {
	case g := <-t.result:
		return t, g.lease, g.err
	case <-ctx.Done():
	}
	s.mu.Lock()
	cancelled := s.queue.Cancel(&t.Request)
	s.mu.Unlock()
	if !cancelled {
		// A slot or a refusal came at the same moment.
		g := <-t.result
		if g.err != nil {
			return t, nil, g.err
		}
		g.lease.end(routing.OutcomeUnused, 0)
		s.finish(t, false)
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return t, nil, notRun(verdict.ReasonDeadline, http.StatusGatewayTimeout, "the deadline passed in the queue")
	}
	return t, nil, notRun(verdict.ReasonConnectionBroken, http.StatusServiceUnavailable, "the caller went away")
}

// finish ends a request that held a slot. completed states that its slot time may be learned.
func (s *service) finish(t *ticket, completed bool) {
	s.mu.Lock()
	s.queue.Done(s.h.now(), &t.Request, completed)
	ready := s.queue.Ready()
	s.mu.Unlock()
	if ready {
		// The customer may have been at its quota.
		s.poke()
	}
}

// another acquires a slot for a retry or hedge within the retry budget, on a server that has not been tried. With one
// server, the same server is used. It returns nil when there is no budget, server or slot within wait.
func (s *service) another(ctx context.Context, tried []string, wait time.Duration) *lease {
	s.mu.Lock()
	if !s.budget.Withdraw() {
		s.mu.Unlock()
		return nil
	}
	candidates := s.set.Choose(s.h.now(), nil, tried...)
	if len(candidates) == 0 {
		candidates = s.set.Choose(s.h.now(), nil)
	}
	s.mu.Unlock()
	l := s.acquire(ctx, candidates, wait)
	if l == nil {
		s.mu.Lock()
		s.budget.Refund()
		s.mu.Unlock()
	}
	return l
}

func (s *service) acquire(ctx context.Context, candidates []string, wait time.Duration) *lease {
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
	l := s.start(vm)
	s.mu.Unlock()
	if l == nil {
		s.h.cfg.Slots.Return(vm, 0)
	}
	return l
}
