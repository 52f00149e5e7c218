// Package peer holds the links between nodes: authenticated WebSocket connections that carry CBOR frames, with requests,
// one-way messages and heartbeats. There is one link for each pair of nodes.
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

// Errors of messages. The first three state that the message was not sent.
var (
	ErrNotConnected = errors.New("no link to the node")
	ErrQueueFull    = errors.New("the send queue of the link is full")
	ErrTooLarge     = errors.New("frame larger than 1 MiB")
	ErrLinkLost     = errors.New("the link ended before the reply")
	ErrWrongKey     = errors.New("the other side does not have the shared key")
	// ErrMalformed is returned by a handler for a body that does not decode. It ends the link.
	ErrMalformed = errors.New("malformed message")

	errBusy      = errors.New("too many requests at once")
	errDuplicate = errors.New("another link to the node is in use")
	errSelf      = errors.New("the address is this node's own")
	errClosed    = errors.New("shutting down")
)

// RemoteError is an error that the other node's handler returned.
type RemoteError struct {
	Node    string
	Message string
}

// Error implements error.
func (e *RemoteError) Error() string { return e.Node + ": " + e.Message }

// MinKeyBytes is the least length of the shared key.
const MinKeyBytes = 16

// path is the HTTP path of the WebSocket.
const path = "/peer"

// maxHandshakes bounds the connections that are accepted but not yet authenticated.
const maxHandshakes = 32

// Handler serves a message. The result of a one-way message is ignored, and the handler must not block.
type Handler func(ctx context.Context, from string, body Body) (reply any, err error)

// Config configures a Net.
type Config struct {
	Node        string
	Incarnation uint64
	Key         string         // shared by all nodes, at least MinKeyBytes
	Listener    net.Listener   // closed by Run
	Allow       []netip.Prefix // addresses that may connect; empty permits all
	// Heartbeat returns the content of the next heartbeat; OnHeartbeat receives those of others.
	Heartbeat   func() Heartbeat
	OnHeartbeat func(from string, hb Heartbeat)
	// OnLink is called when a link to a node begins or ends.
	OnLink  func(node string, up bool)
	Log     *logrus.Logger   // nil discards
	Metrics metrics.Registry // nil creates a private one
}

// Net is the set of links of one node.
type Net struct {
	cfg Config
	key []byte
	log *logrus.Logger

	ctx    context.Context
	cancel context.CancelCauseFunc
	wg     sync.WaitGroup
	client *http.Client
	slots  chan struct{} // handshakes in progress

	mu       sync.Mutex
	inc      uint64
	handlers map[string]Handler
	links    map[string]*link
	targets  map[string]*target // by address

	framesIn, framesOut, bytesOut, refused metrics.Counter
}

// New returns a Net that does nothing until Run.
func New(cfg Config) (*Net, error) {
	if len(cfg.Key) < MinKeyBytes {
		return nil, errors.Errorf("the shared key of peers must have at least %d bytes", MinKeyBytes)
	}
	if cfg.Node == "" || len(cfg.Node) > maxNodeName {
		return nil, errors.Errorf("the node name must have 1 to %d bytes", maxNodeName)
	}
	if cfg.Listener == nil {
		return nil, errors.New("peer links need a listener")
	}
	if cfg.Log == nil {
		cfg.Log = logrus.New()
		cfg.Log.SetOutput(io.Discard)
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewRegistry()
	}
	n := &Net{
		cfg:       cfg,
		inc:       cfg.Incarnation,
		key:       []byte(cfg.Key),
		log:       cfg.Log,
		client:    &http.Client{Transport: &http.Transport{Proxy: nil}},
		slots:     make(chan struct{}, maxHandshakes),
		handlers:  make(map[string]Handler),
		links:     make(map[string]*link),
		targets:   make(map[string]*target),
		framesIn:  metrics.GetOrRegisterCounter("peer.frames.in", cfg.Metrics),
		framesOut: metrics.GetOrRegisterCounter("peer.frames.out", cfg.Metrics),
		bytesOut:  metrics.GetOrRegisterCounter("peer.bytes.out", cfg.Metrics),
		refused:   metrics.GetOrRegisterCounter("peer.queue.refused", cfg.Metrics),
	}
	n.ctx, n.cancel = context.WithCancelCause(context.Background())
	n.Handle(TypeHeartbeat, n.serveHeartbeat)
	return n, nil
}

// Handle sets the handler of a message type.
func (n *Net) Handle(kind string, h Handler) {
	n.mu.Lock()
	n.handlers[kind] = h
	n.mu.Unlock()
}

// Addr returns the address of the listener.
func (n *Net) Addr() net.Addr { return n.cfg.Listener.Addr() }

// Run accepts and opens links until ctx ends, and then closes them.
func (n *Net) Run(ctx context.Context) error {
	srv := &http.Server{
		Handler:           http.HandlerFunc(n.accept),
		ReadHeaderTimeout: handshakeTimeout,
		MaxHeaderBytes:    8 << 10,
		ErrorLog:          nil,
	}
	n.wg.Go(n.beat)
	served := make(chan error, 1)
	go func() { served <- srv.Serve(n.cfg.Listener) }()
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

// accept serves one incoming connection.
func (n *Net) accept(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != path {
		http.NotFound(w, r)
		return
	}
	if !n.allowed(r.RemoteAddr) {
		n.log.Warnf("peer: refused %s: the address is not in the allow list", r.RemoteAddr)
		http.Error(w, "address not allowed", http.StatusForbidden)
		return
	}
	select {
	case n.slots <- struct{}{}:
	default:
		http.Error(w, "too many handshakes", http.StatusServiceUnavailable)
		return
	}
	if !n.begin() {
		<-n.slots
		http.Error(w, "shutting down", http.StatusServiceUnavailable)
		return
	}
	defer n.wg.Done()
	c, err := websocket.Accept(w, r, nil)
	if err != nil {
		<-n.slots
		n.log.Warnf("peer: refused %s: %v", r.RemoteAddr, err)
		return
	}
	other, err := handshake(n.ctx, c, n.key, n.hello(), nil)
	<-n.slots
	if err != nil {
		n.log.Warnf("peer: refused %s: %v", r.RemoteAddr, err)
		_ = c.CloseNow()
		return
	}
	n.runLink(newLink(n, c, other, false))
}

// SetIncarnation changes the incarnation that is stated in heartbeats and on new links.
func (n *Net) SetIncarnation(incarnation uint64) {
	n.mu.Lock()
	n.inc = incarnation
	n.mu.Unlock()
}

func (n *Net) incarnation() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.inc
}

func (n *Net) hello() hello { return newHello(n.cfg.Node, n.incarnation()) }

// begin counts one more goroutine, unless the links are being closed.
func (n *Net) begin() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ctx.Err() != nil {
		return false
	}
	n.wg.Add(1)
	return true
}

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
	n.log.Infof("peer: link to %s is up", l.peer.Node)
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

// register makes a link the one to its node. Of two links in opposite directions, both nodes keep the one that the node
// with the lesser name opened. Otherwise the newer link replaces the older, whose other end is gone.
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

// preferred tells whether the node with the lesser name opened the link.
func (n *Net) preferred(l *link) bool { return l.dialed == (n.cfg.Node < l.peer.Node) }

// serve calls the handler of a frame.
func (n *Net) serve(ctx context.Context, from string, f frame) (any, error) {
	n.mu.Lock()
	h := n.handlers[f.Type]
	n.mu.Unlock()
	if h == nil {
		return nil, fmt.Errorf("unknown message type %q", f.Type)
	}
	return h(ctx, from, f.Body)
}

func (n *Net) link(node string) *link {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.links[node]
}

// Call sends a request to a node and waits for the reply, which is decoded into reply unless that is nil. After
// ErrLinkLost or the end of ctx the request may have been handled.
func (n *Net) Call(ctx context.Context, node, kind string, body, reply any) error {
	l := n.link(node)
	if l == nil {
		return ErrNotConnected
	}
	b, err := Encode(body)
	if err != nil {
		return err
	}
	return l.call(ctx, kind, b, reply)
}

// Send queues a one-way message to a node. It does not block; the message may be lost with the link.
func (n *Net) Send(node, kind string, body any) error {
	l := n.link(node)
	if l == nil {
		return ErrNotConnected
	}
	b, err := Encode(body)
	if err != nil {
		return err
	}
	return l.enqueue(frame{Type: kind, Body: b})
}

// Connected returns the names of the nodes with a link, sorted.
func (n *Net) Connected() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	nodes := make([]string, 0, len(n.links))
	for node := range n.links {
		nodes = append(nodes, node)
	}
	slices.Sort(nodes)
	return nodes
}

// sleep waits for d, and returns false when the links are closed before.
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
