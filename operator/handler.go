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

// Default values of the fields of Config.
const (
	DefaultProposeTimeout = 10 * time.Second
	DefaultCatchUpTimeout = 2 * time.Second
	DefaultKeepAlive      = 10 * time.Second
	DefaultMaxWatches     = 64
)

// Nodes reports the state of the nodes. The daemon implements it.
type Nodes interface {
	// NodeStatuses returns the status of all nodes known to this node, including itself, in any order.
	NodeStatuses() []NodeStatus
}

// Config configures the operators' API.
type Config struct {
	Store Store // required; FromFollower adapts a follower.Store
	Nodes Nodes // if nil, no nodes are listed
	// Planner computes the maintenance plan. If nil, the plan is empty.
	Planner Planner
	// Token is the bearer token. If empty, only loopback addresses have access.
	Token string
	// AllowedNetworks lists the networks that have access. If empty, only loopback addresses have access.
	AllowedNetworks []netip.Prefix
	// ProposeTimeout limits how long a change waits for its outcome.
	ProposeTimeout time.Duration
	// CatchUpTimeout limits how long a request waits if this node has read less of the log than the client has seen.
	CatchUpTimeout time.Duration
	// KeepAlive is the time without events after which a watch stream sends EventKeepAlive.
	KeepAlive time.Duration
	// MaxWatches limits the number of open watch streams.
	MaxWatches int
	// Closing ends all watch streams when it is closed, so that a graceful shutdown does not wait for them. May be nil.
	Closing <-chan struct{}
	// Log receives log messages. If nil, nothing is logged.
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
	s := &service{Config: config, store: config.Store, specHistory: newSpecHistory(), watchSlots: make(chan struct{}, config.MaxWatches)}
	mux := http.NewServeMux()
	mux.Handle("/v1/resources/{kind}", methodHandlers{
		http.MethodGet: s.endpointHandler(typedEndpoint(s.list), decodeKind, encodeJSON),
	})
	mux.Handle("/v1/resources/{kind}/{name}", methodHandlers{
		http.MethodGet:    s.endpointHandler(typedEndpoint(s.get), decodeKey, encodeJSON),
		http.MethodPut:    s.endpointHandler(typedEndpoint(s.apply), decodePut, encodeJSON),
		http.MethodDelete: s.endpointHandler(typedEndpoint(s.apply), decodeDelete, encodeJSON),
	})
	mux.Handle("/v1/changes/{id}", methodHandlers{http.MethodGet: s.endpointHandler(typedEndpoint(s.changeStatus), decodeID, encodeJSON)})
	mux.Handle("/v1/nodes", methodHandlers{http.MethodGet: s.endpointHandler(endpointWithoutRequest(s.nodes), decodeEmpty, encodeJSON)})
	mux.Handle("/v1/plan", methodHandlers{http.MethodGet: s.endpointHandler(endpointWithoutRequest(s.plan), decodeEmpty, encodeJSON)})
	mux.Handle("/v1/watch", methodHandlers{http.MethodGet: s.endpointHandler(typedEndpoint(s.openWatch), decodeWatch, encodeWatch)})
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		writeError(w, errorf(http.StatusNotFound, CodeNotFound, "", "there is no %s", quoteShort(r.URL.Path)))
	})
	return s.recoverPanics(s.requireAccess(newAccessPolicy(config.Token, config.AllowedNetworks), mux))
}

// endpointHandler combines an endpoint with its decoder and encoder. Every endpoint first waits until this node has read
// the log as far as the client has seen.
func (s *service) endpointHandler(e endpoint.Endpoint, dec kithttp.DecodeRequestFunc, enc kithttp.EncodeResponseFunc) http.Handler {
	return kithttp.NewServer(s.waitForClientOffset(e), dec, enc,
		kithttp.ServerBefore(contextWithNextOffset),
		kithttp.ServerAfter(func(ctx context.Context, w http.ResponseWriter) context.Context {
			setNextOffset(w, s.store.Current().NextOffset())
			return ctx
		}),
		kithttp.ServerErrorEncoder(func(_ context.Context, err error, w http.ResponseWriter) {
			setNextOffset(w, s.store.Current().NextOffset())
			writeError(w, err)
		}),
	)
}

// waitForClientOffset is middleware that waits until this node has read the log as far as the client has seen.
func (s *service) waitForClientOffset(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		offset, err := nextOffsetFromContext(ctx)
		if err != nil {
			return nil, err
		}
		if err := s.waitForOffset(ctx, offset); err != nil {
			return nil, err
		}
		return next(ctx, request)
	}
}

// requireAccess is middleware that rejects unauthorized requests before their path, query and body are parsed.
func (s *service) requireAccess(a *accessPolicy, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		err := a.authorize(r)
		if err == nil {
			next.ServeHTTP(w, r)
			return
		}
		s.Log.Warnf("operators: request from %s rejected: %v", r.RemoteAddr, err)
		if err.StatusCode == http.StatusUnauthorized {
			w.Header().Set("WWW-Authenticate", "Bearer")
		}
		writeError(w, err)
	})
}

// recoverPanics is middleware that logs panics. The response has status 500 if the handler had not yet written a header.
// http.ErrAbortHandler is passed on.
func (s *service) recoverPanics(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			p := recover()
			if p == nil {
				return
			}
			if err, ok := p.(error); ok && errors.Is(err, http.ErrAbortHandler) {
				panic(p)
			}
			s.Log.Errorf("operators: panic in HTTP handler: %v\n%s", p, debug.Stack())
			writeError(w, errorf(http.StatusInternalServerError, CodeInternal, "", "internal error; the daemon's log has the details"))
		}()
		next.ServeHTTP(w, r)
	})
}

// methodHandlers maps HTTP methods to the handlers of one path.
type methodHandlers map[string]http.Handler

// ServeHTTP calls the handler of the method, or responds with status 405 if there is none.
func (m methodHandlers) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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
	writeError(w, errorf(http.StatusMethodNotAllowed, CodeMethodNotAllowed, "", "method %s (permitted: %s)", quoteShort(r.Method), strings.Join(allowed, ", ")))
}

// typedEndpoint adapts a function with typed request and response to a go-kit endpoint.
func typedEndpoint[Request, Response any](f func(context.Context, Request) (Response, error)) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		return f(ctx, request.(Request))
	}
}

func endpointWithoutRequest[Response any](f func(context.Context) (Response, error)) endpoint.Endpoint {
	return func(ctx context.Context, _ any) (any, error) { return f(ctx) }
}
