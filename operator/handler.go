package operator

import (
	"context"
	"net/http"
	"net/netip"
	"runtime/debug"
	"strings"
	"time"

	"github.com/go-kit/kit/endpoint"
	kithttp "github.com/go-kit/kit/transport/http"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
)

// Defaults of Config.
const (
	DefaultProposeTimeout = 10 * time.Second
	DefaultCatchUpTimeout = 2 * time.Second
	DefaultKeepAlive      = 10 * time.Second
	DefaultMaxWatches     = 64
)

// Nodes reports the state of the nodes. The daemon implements it.
type Nodes interface {
	// NodeStatuses returns the status of all nodes that this node knows, itself included, in any order.
	NodeStatuses() []NodeStatus
}

// Config configures the operators' API.
type Config struct {
	Store Store // required; FromFollower adapts a follower.Store
	Nodes Nodes // may be nil: no nodes are listed
	// Planner may be nil: the plan is empty.
	Planner Planner
	// Token is the bearer token. Without one, only loopback addresses have access.
	Token string
	// Allow lists the networks that have access. Empty: loopback addresses only.
	Allow []netip.Prefix
	// ProposeTimeout bounds how long a change waits for its outcome.
	ProposeTimeout time.Duration
	// CatchUpTimeout bounds how long a request waits for a node that has read less of the log than the client has seen.
	CatchUpTimeout time.Duration
	// KeepAlive is the time after which a watch stream on which nothing happened sends a line.
	KeepAlive time.Duration
	// MaxWatches bounds the open watch streams.
	MaxWatches int
	// Closing ends the watch streams when it is closed, so that a graceful shutdown need not wait for them. May be nil.
	Closing <-chan struct{}
	// Log may be nil: nothing is logged.
	Log logrus.FieldLogger
}

func (c *Config) setDefaults() {
	if c.ProposeTimeout == 0 {
		c.ProposeTimeout = DefaultProposeTimeout
	}
	if c.CatchUpTimeout == 0 {
		c.CatchUpTimeout = DefaultCatchUpTimeout
	}
	if c.KeepAlive == 0 {
		c.KeepAlive = DefaultKeepAlive
	}
	if c.MaxWatches == 0 {
		c.MaxWatches = DefaultMaxWatches
	}
	if c.Log == nil {
		log := logrus.New()
		log.SetLevel(logrus.PanicLevel)
		c.Log = log
	}
}

// NewHandler returns the handler of the operators' API.
func NewHandler(config Config) http.Handler {
	config.setDefaults()
	s := &service{Config: config, store: config.Store, history: newHistory(), watches: make(chan struct{}, config.MaxWatches)}
	mux := http.NewServeMux()
	mux.Handle("/v1/resources/{kind}", methods{
		http.MethodGet: s.server(typed(s.list), decodeKind, encodeJSON),
	})
	mux.Handle("/v1/resources/{kind}/{name}", methods{
		http.MethodGet:    s.server(typed(s.get), decodeKey, encodeJSON),
		http.MethodPut:    s.server(typed(s.apply), decodePut, encodeJSON),
		http.MethodDelete: s.server(typed(s.apply), decodeDelete, encodeJSON),
	})
	mux.Handle("/v1/changes/{id}", methods{http.MethodGet: s.server(typed(s.change), decodeID, encodeJSON)})
	mux.Handle("/v1/nodes", methods{http.MethodGet: s.server(typedNoRequest(s.nodes), decodeNothing, encodeJSON)})
	mux.Handle("/v1/plan", methods{http.MethodGet: s.server(typedNoRequest(s.plan), decodeNothing, encodeJSON)})
	mux.Handle("/v1/watch", methods{http.MethodGet: s.server(typed(s.watch), decodeWatch, encodeWatch)})
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		writeError(w, errorf(http.StatusNotFound, CodeNotFound, "", "there is no %s", shown(r.URL.Path)))
	})
	return s.recovered(s.admitted(newAccess(config.Token, config.Allow), mux))
}

// server connects an endpoint with its decoder and encoder. All endpoints wait for the read position of the client.
func (s *service) server(e endpoint.Endpoint, dec kithttp.DecodeRequestFunc, enc kithttp.EncodeResponseFunc) http.Handler {
	return kithttp.NewServer(s.caughtUp(e), dec, enc,
		kithttp.ServerBefore(contextWithNext),
		kithttp.ServerAfter(func(ctx context.Context, w http.ResponseWriter) context.Context {
			setNext(w, s.store.Current().Next())
			return ctx
		}),
		kithttp.ServerErrorEncoder(func(_ context.Context, err error, w http.ResponseWriter) {
			setNext(w, s.store.Current().Next())
			writeError(w, err)
		}),
	)
}

// caughtUp is the middleware that waits for the read position of the client.
func (s *service) caughtUp(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		position, err := nextFromContext(ctx)
		if err != nil {
			return nil, err
		}
		if err := s.waitNext(ctx, position); err != nil {
			return nil, err
		}
		return next(ctx, request)
	}
}

// admitted refuses requests without access before anything of them is read.
func (s *service) admitted(a *access, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		err := a.check(r)
		if err == nil {
			next.ServeHTTP(w, r)
			return
		}
		s.Log.Warnf("operators: refused %s: %v", r.RemoteAddr, err)
		if err.StatusCode == http.StatusUnauthorized {
			w.Header().Set("WWW-Authenticate", "Bearer")
		}
		writeError(w, err)
	})
}

// recovered answers 500 when a handler panics before it wrote anything, and logs the panic.
func (s *service) recovered(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			p := recover()
			if p == nil {
				return
			}
			if err, ok := p.(error); ok && errors.Is(err, http.ErrAbortHandler) {
				panic(p)
			}
			s.Log.Errorf("operators: panic: %v\n%s", p, debug.Stack())
			writeError(w, errorf(http.StatusInternalServerError, CodeInternal, "", "internal error; the daemon's log has the details"))
		}()
		next.ServeHTTP(w, r)
	})
}

// methods are the handlers of one path by HTTP method.
type methods map[string]http.Handler

// ServeHTTP implements http.Handler.
func (m methods) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h, ok := m[r.Method]; ok {
		h.ServeHTTP(w, r)
		return
	}
	var allowed []string
	for _, method := range []string{http.MethodGet, http.MethodPut, http.MethodDelete} {
		if _, ok := m[method]; ok {
			allowed = append(allowed, method)
		}
	}
	w.Header().Set("Allow", strings.Join(allowed, ", "))
	writeError(w, errorf(http.StatusMethodNotAllowed, CodeMethod, "", "method %s (permitted: %s)", shown(r.Method), strings.Join(allowed, ", ")))
}

// typed adapts a function with typed request and response to an endpoint.
func typed[Request, Response any](f func(context.Context, Request) (Response, error)) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		return f(ctx, request.(Request))
	}
}

func typedNoRequest[Response any](f func(context.Context) (Response, error)) endpoint.Endpoint {
	return func(ctx context.Context, _ any) (any, error) { return f(ctx) }
}
