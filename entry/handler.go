package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/berylwharf/berylwharf/admission"
	"github.com/berylwharf/berylwharf/claims"
	"github.com/berylwharf/berylwharf/routing"
	"github.com/berylwharf/berylwharf/verdict"
)

// Handler is the http.Handler that serves callers' requests. It is safe for concurrent use.
type Handler struct {
	overdue         sync.WaitGroup // attempts still waiting for a response after their deadline
	cfg             Config
	log             logrus.FieldLogger
	tracer          trace.Tracer
	conns           *connTracker
	pooledTransport *http.Transport
	freshTransport  *http.Transport
	refusals        *refusals
	inFlight        inFlightCounter
	dispatchers     sync.WaitGroup // one goroutine for each service

	mu    sync.Mutex // serializes SetTable and Close
	table atomic.Pointer[activeTable]
}

// activeTable is a routing table with the state of its services.
type activeTable struct {
	table    *routing.Table
	services map[string]*service
}

// New returns a handler without a routing table. Until the first call to SetTable it refuses requests as not ready.
func New(cfg Config) (*Handler, error) {
	if cfg.Slots == nil {
		return nil, errors.New("entry: Config.Slots is missing")
	}
	if cfg.Clock == nil {
		cfg.Clock = time.Now
	}
	if cfg.Logger == nil {
		cfg.Logger = logrus.StandardLogger()
	}
	if cfg.Registry == nil {
		cfg.Registry = metrics.NewRegistry()
	}
	if cfg.Seed == 0 {
		cfg.Seed = rand.Uint64()
	}
	if cfg.TracerProvider == nil {
		cfg.TracerProvider = noop.NewTracerProvider()
	}
	h := &Handler{cfg: cfg, log: cfg.Logger, conns: newConnTracker()}
	h.tracer = cfg.TracerProvider.Tracer("github.com/berylwharf/berylwharf/entry")
	h.pooledTransport = h.conns.newTransport(true)
	h.freshTransport = h.conns.newTransport(false)
	h.refusals = &refusals{registry: cfg.Registry}
	h.inFlight.byVM = make(map[string]int)
	return h, nil
}

func (h *Handler) now() time.Time { return h.cfg.Clock() }

// SetTable installs a routing table. After it returns, no new requests are sent to a VM that is not in the table.
// Requests in flight on such a VM are not interrupted.
func (h *Handler) SetTable(t *routing.Table) {
	h.mu.Lock()
	defer h.mu.Unlock()
	customers := make(map[string]admission.Customer, len(t.Customers))
	for name, c := range t.Customers {
		customers[name] = admission.Customer{Share: c.Share, Quota: c.Quota}
	}
	next := &activeTable{table: t, services: make(map[string]*service, len(t.Services))}
	old := h.table.Load()
	for name, r := range t.Services {
		var s *service
		if old != nil {
			s = old.services[name]
		}
		created := s == nil
		if created {
			s = newService(h, name)
		}
		s.update(h.now(), r, customers)
		if created {
			h.dispatchers.Go(s.dispatchLoop)
		}
		next.services[name] = s
	}
	h.table.Store(next)
	if old == nil {
		return
	}
	for name, s := range old.services {
		if next.services[name] == nil {
			s.close()
			h.log.Infof("entry: service %s removed from the routing table", name)
		}
	}
}

// SetProbe records the result of a health probe of vm for all services.
func (h *Handler) SetProbe(vm string, p routing.Probe) {
	active := h.table.Load()
	if active == nil {
		return
	}
	for _, s := range active.services {
		s.mu.Lock()
		s.backends.SetProbe(h.now(), vm, p)
		s.mu.Unlock()
		s.signal()
	}
}

// InFlight returns the number of attempts of this node in flight on vm, even if vm is no longer in the routing table.
// Attempts that are past their deadline are not counted.
func (h *Handler) InFlight(vm string) int { return h.inFlight.attemptsOn(vm) }

// Drain refuses new requests as not-run and waits until no request is in flight or ctx is done.
func (h *Handler) Drain(ctx context.Context) error {
	return errors.Wrap(h.inFlight.drain(ctx), "entry: drain")
}

// Close stops all services. When it returns, all slots have been returned, including those of requests that missed their
// deadlines. Drain must be called first.
func (h *Handler) Close() {
	h.closeServices()
	h.overdue.Wait()
}

func (h *Handler) closeServices() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if old := h.table.Swap(nil); old != nil {
		for _, s := range old.services {
			s.close()
		}
	}
	h.dispatchers.Wait()
	h.pooledTransport.CloseIdleConnections()
	h.freshTransport.CloseIdleConnections()
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	rq := new(request)
	if err := parseHeaders(r, rq); err != nil {
		h.refuse(w, rq, err)
		return
	}
	if !h.inFlight.beginRequest() {
		h.refuse(w, rq, rq.refusalBeforeClaim(
			notRun(verdict.ReasonDraining, http.StatusServiceUnavailable, "this node is stopping")))
		return
	}
	defer h.inFlight.end()
	s, err := h.resolve(r, rq)
	if err != nil {
		h.refuse(w, rq, rq.refusalBeforeClaim(err))
		return
	}
	ctx := propagation.TraceContext{}.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := h.tracer.Start(ctx, "entry request", trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	if span.IsRecording() {
		span.SetAttributes(attribute.String("berylwharf.service", rq.service),
			attribute.String("berylwharf.request_id", rq.id), attribute.String("berylwharf.customer", rq.customer))
	}
	if err := rq.readBody(w, r); err != nil {
		h.refuse(w, rq, rq.refusalBeforeClaim(err))
		return
	}
	rq.header = rq.backendHeader(r.Header)
	began := h.now()
	if rq.needsClaim() && h.cfg.Claims != nil {
		h.serveClaimed(ctx, w, rq, s)
	} else {
		h.write(w, rq, s, s.process(ctx, rq), func(bool) {})
	}
	s.stats.total.Update(h.now().Sub(began).Microseconds())
}

// resolve looks up the service, validates the customer and sets the deadline.
func (h *Handler) resolve(r *http.Request, rq *request) (*service, *verdict.Error) {
	active := h.table.Load()
	if active == nil {
		return nil, notRun(verdict.ReasonNotReady, http.StatusServiceUnavailable, "this node has no routing table yet")
	}
	rq.resolve(r, active.table.Hosts)
	s := active.services[rq.service]
	if s == nil {
		return nil, notRun(verdict.ReasonUnknownService, http.StatusNotFound, "the service is not declared")
	}
	rq.spec = s.spec.Load()
	rq.repeatable = rq.spec.Repeatable(rq.method)
	if active.table.Customers[rq.customer] == nil {
		return nil, notRun(verdict.ReasonUnknownCustomer, http.StatusForbidden, "the customer is not declared")
	}
	return s, rq.parseDeadline(r.Header, h.now())
}

// serveClaimed serves a request that must run at most once under its identifier.
func (h *Handler) serveClaimed(ctx context.Context, w http.ResponseWriter, rq *request, s *service) {
	key := claims.Key{Customer: rq.customer, Service: rq.service, ID: rq.key}
	claimCtx, cancel := context.WithDeadline(ctx, rq.deadline)
	d := h.cfg.Claims.Begin(claimCtx, key, rq.fingerprint(), rq.firstAttempt)
	cancel()
	if d.Result == claims.ResultReplay && d.Response != nil {
		replayedResponse(d.Response, rq.method == http.MethodHead).write(w, rq.id)
		return
	}
	if d.Result != claims.ResultGranted {
		h.refuse(w, rq, claimRefusal(d.Result, rq.firstAttempt))
		return
	}
	finished := false
	finish := func(p claims.Phase, a *claims.StoredResponse) {
		if !finished {
			finished = true
			h.cfg.Claims.Finish(key, p, a)
		}
	}
	// After a panic it is unknown whether the request ran.
	defer finish(claims.PhaseUnknown, nil)
	r := s.process(ctx, rq)
	// The claim is finished before the caller learns the outcome and can retry.
	switch {
	case r.err != nil && r.err.Verdict == verdict.NotRun:
		finish(claims.PhaseNotRun, nil)
	case r.err != nil:
		finish(claims.PhaseUnknown, nil)
	case r.response.remaining == nil:
		finish(claims.PhaseDone, r.response.toStored())
	}
	h.write(w, rq, s, r, func(complete bool) {
		if complete {
			finish(claims.PhaseDone, nil)
		}
	})
}

// claimRefusal returns the refusal of a request whose claim was not granted. The verdict is not-run only where the result
// proves it: a fingerprint mismatch, an identifier in the future, or unreachable home nodes on a first attempt.
func claimRefusal(r claims.Result, first bool) *verdict.Error {
	switch r {
	case claims.ResultInProgress:
		return verdict.New(verdict.MayHaveRun, verdict.ReasonDuplicateInProgress, http.StatusConflict,
			"another attempt with this identifier is running or ended without an answer")
	case claims.ResultReplay:
		return verdict.New(verdict.MayHaveRun, verdict.ReasonDuplicateCompleted, http.StatusConflict,
			"the request completed earlier and its answer was not kept")
	case claims.ResultMismatch:
		return notRun(verdict.ReasonIdentifierReused, http.StatusUnprocessableEntity,
			"the identifier belongs to a different request")
	case claims.ResultFuture:
		return notRun(verdict.ReasonIdentifierFuture, http.StatusBadRequest, "the identifier's time is in the future")
	case claims.ResultUndecided:
		e := notRun(verdict.ReasonClaimUnreachable, http.StatusServiceUnavailable,
			"the nodes that keep this identifier cannot be reached")
		if !first {
			e.Verdict = verdict.MayHaveRun
		}
		return e
	}
	e := verdict.New(verdict.MayHaveRun, verdict.ReasonEarlierAttemptUnknown, http.StatusServiceUnavailable,
		"it is not known whether an earlier attempt ran")
	e.RetryAfter = retryAfter
	return e
}

// write sends the outcome to the caller. streamed is called after a streamed response and receives whether it was
// complete.
func (h *Handler) write(w http.ResponseWriter, rq *request, s *service, r result, streamed func(complete bool)) {
	if r.err != nil {
		h.refuse(w, rq, r.err)
		return
	}
	if r.response.remaining == nil {
		s.stats.answers.Inc(1)
		r.response.write(w, rq.id)
		return
	}
	rc := http.NewResponseController(w)
	// A caller that does not read must not keep the slot in use beyond the deadline. An error means that the writer does
	// not support deadlines, such as an in-memory recorder, which never blocks.
	_ = rc.SetWriteDeadline(rq.deadline)
	complete := r.response.write(w, rq.id)
	streamed(complete)
	if !complete {
		h.log.Debugf("entry: service %s: streamed response ended early; aborting the caller's connection", s.name)
		panic(http.ErrAbortHandler)
	}
	s.stats.answers.Inc(1)
	_ = rc.SetWriteDeadline(time.Time{})
}

func (h *Handler) refuse(w http.ResponseWriter, rq *request, e *verdict.Error) {
	h.refusals.count(e)
	if rq.id != "" {
		w.Header().Set(HeaderRequestID, rq.id)
	}
	if e.Cause != nil {
		h.log.Debugf("entry: request refused: %v", e)
	}
	e.Write(w, rq.service, rq.id)
}
