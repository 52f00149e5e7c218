// Package peer implements the links between nodes: authenticated WebSocket connections that carry requests, one-way
// messages and heartbeats as CBOR frames. There is one link per pair of nodes.
package peer

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
)

// Errors of messages and links. After one of the first three the message was not sent.
var (
	ErrNotConnected = errors.New("no link to the node")
	ErrQueueFull    = errors.New("the send queue of the link is full")
	ErrTooLarge     = errors.New("frame larger than 1 MiB")
	ErrLinkLost     = errors.New("the link ended before the reply")
	ErrWrongKey     = errors.New("the other side does not have the shared key")
	// ErrMalformed is returned by a handler for a body that does not decode. It ends the link.
	ErrMalformed = errors.New("malformed message")

	errBusy = errors.New("too many requests at once")

	errTooManyHandshakes = errors.New("newer handshakes have replaced this one")
	errDuplicate         = errors.New("another link to the node is in use")
	errSelf              = errors.New("the address is this node's own")
	errClosed            = errors.New("shutting down")
)

// RemoteError is an error returned by the handler of another node.
type RemoteError struct {
	Node    string
	Message string
}

// Error implements error.
func (e *RemoteError) Error() string { return e.Node + ": " + e.Message }

// MinKeyBytes is the minimum length of the shared key.
const MinKeyBytes = 16

// linkPath is the HTTP path of the WebSocket endpoint.
const linkPath = "/peer"

// Handler handles a message. For a one-way message the reply is ignored, and the handler must not block.
type Handler func(ctx context.Context, from string, body Body) (reply any, err error)

// Config configures a Net.
type Config struct {
	Node        string
	Incarnation uint64
	Key         string         // shared by all nodes, at least MinKeyBytes
	Listener    net.Listener   // closed by Run
	Allow       []netip.Prefix // addresses that may connect; empty allows all
	// Heartbeat returns the content of the next heartbeat; OnHeartbeat receives the heartbeats of other nodes.
	Heartbeat   func() Heartbeat
	OnHeartbeat func(from string, hb Heartbeat)
	// OnLink is called when a link to a node is established or ends.
	OnLink func(node string, up bool)
	// OnPanic is called when a handler panics. The message is answered with an error.
	OnPanic func(msgType string, reason error)
	// Protect limits what unauthenticated clients of the server can hold. It returns the listener to accept from. A nil
	// function sets no limits.
	Protect func(*http.Server, net.Listener) net.Listener
	Log     *logrus.Logger   // nil discards all output
	Metrics metrics.Registry // nil creates a private registry
}

// Net is the set of links of one node.
type Net struct {
	cfg Config
	key []byte
	log *logrus.Logger

	ctx        context.Context
	cancel     context.CancelCauseFunc
	wg         sync.WaitGroup
	client     *http.Client
	handshakes pendingHandshakes

	mu                 sync.Mutex
	currentIncarnation uint64
	handlers           map[string]Handler
	links              map[string]*link
	targets            map[string]*target // by address

	framesIn, framesOut, bytesOut, refused metrics.Counter
}

// New returns a Net. It opens and accepts no links before Run.
func New(cfg Config) (*Net, error) {
	if len(cfg.Key) < MinKeyBytes {
		return nil, errors.Errorf("the shared key of peers must have at least %d bytes", MinKeyBytes)
	}
	if cfg.Node == "" || len(cfg.Node) > maxNodeName {
		return nil, errors.Errorf("the node name must have 1 to %d bytes", maxNodeName)
	}
	if cfg.Listener == nil {
		return nil, errors.New("no listener for peer links")
	}
	if cfg.Log == nil {
		cfg.Log = logrus.New()
		cfg.Log.SetOutput(io.Discard)
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewRegistry()
	}
	n := &Net{
		cfg:                cfg,
		currentIncarnation: cfg.Incarnation,
		key:                []byte(cfg.Key),
		log:                cfg.Log,
		client:             &http.Client{Transport: &http.Transport{Proxy: nil}},
		handlers:           make(map[string]Handler),
		links:              make(map[string]*link),
		targets:            make(map[string]*target),
		framesIn:           metrics.GetOrRegisterCounter("peer.frames.in", cfg.Metrics),
		framesOut:          metrics.GetOrRegisterCounter("peer.frames.out", cfg.Metrics),
		bytesOut:           metrics.GetOrRegisterCounter("peer.bytes.out", cfg.Metrics),
		refused:            metrics.GetOrRegisterCounter("peer.queue.refused", cfg.Metrics),
	}
	n.ctx, n.cancel = context.WithCancelCause(context.Background())
	n.Handle(TypeHeartbeat, n.serveHeartbeat)
	return n, nil
}

// Handle sets the handler of a message type.
func (n *Net) Handle(msgType string, h Handler) {
	n.mu.Lock()
	n.handlers[msgType] = h
	n.mu.Unlock()
}

// Addr returns the address of the listener.
func (n *Net) Addr() net.Addr { return n.cfg.Listener.Addr() }

// Run accepts and maintains links until ctx ends or the listener fails, and then closes them.
func (n *Net) Run(ctx context.Context) error {
	srv := &http.Server{
		Handler:           http.HandlerFunc(n.accept),
		ReadHeaderTimeout: handshakeTimeout,
		MaxHeaderBytes:    8 << 10,
		ErrorLog:          nil,
	}
	listener := n.cfg.Listener
	if n.cfg.Protect != nil {
		listener = n.cfg.Protect(srv, listener)
	}
	n.wg.Go(n.heartbeatLoop)
	served := make(chan error, 1)
	go func() { served <- srv.Serve(listener) }()
	var err error
	select {
	case <-ctx.Done():
	case err = <-served:
		err = errors.Wrap(err, "peer listener")
	}
	n.mu.Lock()
	n.cancel(errClosed)
	n.mu.Unlock()
	_ = srv.Close()
	n.wg.Wait()
	n.client.CloseIdleConnections()
	return err
}

// accept authenticates one incoming connection and serves its link until it ends.
func (n *Net) accept(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != linkPath {
		http.NotFound(w, r)
		return
	}
	if !n.allowed(r.RemoteAddr) {
		n.log.Warnf("peer: refused %s: the address is not in the allow list", r.RemoteAddr)
		http.Error(w, "address not allowed", http.StatusForbidden)
		return
	}
	if !n.addGoroutine() {
		http.Error(w, "shutting down", http.StatusServiceUnavailable)
		return
	}
	defer n.wg.Done()
	c, other, err := n.authenticate(w, r)
	if err != nil {
		n.log.Warnf("peer: refused %s: %v", r.RemoteAddr, err)
		return
	}
	n.runLink(newLink(n, c, other, false))
}

// authenticate makes a WebSocket connection of a request and performs the handshake on it.
func (n *Net) authenticate(w http.ResponseWriter, r *http.Request) (*websocket.Conn, hello, error) {
	ctx, pending := n.handshakes.begin(n.ctx)
	defer n.handshakes.end(pending)
	c, err := websocket.Accept(w, r, nil)
	if err != nil {
		return nil, hello{}, err
	}
	other, err := handshake(ctx, c, n.key, n.hello(), nil)
	if err != nil {
		_ = c.CloseNow()
		return nil, other, err
	}
	return c, other, nil
}

// SetIncarnation sets the incarnation sent in heartbeats and in the handshakes of new links.
func (n *Net) SetIncarnation(incarnation uint64) {
	n.mu.Lock()
	n.currentIncarnation = incarnation
	n.mu.Unlock()
}

func (n *Net) incarnation() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.currentIncarnation
}

func (n *Net) hello() hello { return newHello(n.cfg.Node, n.incarnation()) }

// addGoroutine adds the calling goroutine to the wait group. It returns false if the Net is shutting down.
func (n *Net) addGoroutine() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ctx.Err() != nil {
		return false
	}
	n.wg.Add(1)
	return true
}

// allowed reports whether a remote address may connect.
func (n *Net) allowed(remote string) bool {
	if len(n.cfg.Allow) == 0 {
		return true
	}
	ap, err := netip.ParseAddrPort(remote)
	if err != nil {
		return false
	}
	addr := ap.Addr().Unmap()
	return slices.ContainsFunc(n.cfg.Allow, func(p netip.Prefix) bool { return p.Contains(addr) })
}

// runLink registers a link and serves it until it ends.
func (n *Net) runLink(l *link) {
	if err := n.register(l); err != nil {
		l.cancel(err)
		_ = l.conn.CloseNow()
		return
	}
	n.log.Infof("peer: link to %s established", l.peer.Node)
	if n.cfg.OnLink != nil {
		n.cfg.OnLink(l.peer.Node, true)
	}
	n.sendHeartbeat(l)
	err := l.run()
	n.mu.Lock()
	current := n.links[l.peer.Node] == l
	if current {
		delete(n.links, l.peer.Node)
	}
	n.mu.Unlock()
	n.log.Infof("peer: link to %s ended: %v", l.peer.Node, err)
	if current && n.cfg.OnLink != nil {
		n.cfg.OnLink(l.peer.Node, false)
	}
}

// register makes l the link to its node. Of two links in opposite directions, both nodes keep the one opened by the node
// with the lesser name. Otherwise the newer link replaces the older one, whose remote end is gone. A link from an older
// incarnation than that of the registered link is refused.
func (n *Net) register(l *link) error {
	if l.peer.Node == n.cfg.Node {
		return errSelf
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ctx.Err() != nil {
		return errClosed
	}
	old := n.links[l.peer.Node]
	if old != nil {
		preferOld := n.preferred(old) && !n.preferred(l) && l.peer.Incarnation == old.peer.Incarnation
		if preferOld || l.peer.Incarnation < old.peer.Incarnation {
			return errDuplicate
		}
		old.cancel(errDuplicate)
	}
	n.links[l.peer.Node] = l
	return nil
}

// preferred reports whether the link was opened by the node with the lesser name.
func (n *Net) preferred(l *link) bool { return l.dialed == (n.cfg.Node < l.peer.Node) }

// serve calls the handler for the type of a frame.
func (n *Net) serve(ctx context.Context, from string, f frame) (reply any, err error) {
	defer func() {
		if r := recover(); r != nil {
			reply, err = nil, errors.Errorf("the handler of %q panicked: %v", f.Type, r)
			n.log.Errorf("peer: %v", err)
			if n.cfg.OnPanic != nil {
				n.cfg.OnPanic(f.Type, err)
			}
		}
	}()
	n.mu.Lock()
	h := n.handlers[f.Type]
	n.mu.Unlock()
	if h == nil {
		return nil, fmt.Errorf("unknown message type %q", f.Type)
	}
	return h(ctx, from, f.Body)
}

// link returns the link to a node, or nil.
func (n *Net) link(node string) *link {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.links[node]
}

// Call sends a request to a node, waits for the reply and decodes it into reply unless that is nil. If it fails with
// ErrLinkLost or because ctx ended, the request may have been handled.
func (n *Net) Call(ctx context.Context, node, msgType string, body, reply any) error {
	l := n.link(node)
	if l == nil {
		return ErrNotConnected
	}
	b, err := Encode(body)
	if err != nil {
		return err
	}
	return l.call(ctx, msgType, b, reply)
}

// Send queues a one-way message to a node. It does not block. The message is lost if the link ends before it is
// delivered.
func (n *Net) Send(node, msgType string, body any) error {
	l := n.link(node)
	if l == nil {
		return ErrNotConnected
	}
	b, err := Encode(body)
	if err != nil {
		return err
	}
	return l.enqueue(frame{Type: msgType, Body: b})
}

// ConnectedNodes returns the sorted names of the nodes to which a link is established.
func (n *Net) ConnectedNodes() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	nodes := make([]string, 0, len(n.links))
	for node := range n.links {
		nodes = append(nodes, node)
	}
	slices.Sort(nodes)
	return nodes
}

// sleep waits for d. It returns false if the Net is shut down before.
func (n *Net) sleep(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-n.ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
