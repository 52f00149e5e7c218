// Package coord runs the membership, claims and slots state machines of a node. It connects them to the peer network
// and to the replicated state log, and implements entry.Claims and entry.Slots.
package coord

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/berylwharf/berylwharf/claims"
	"github.com/berylwharf/berylwharf/entry"
	"github.com/berylwharf/berylwharf/follower"
	"github.com/berylwharf/berylwharf/membership"
	"github.com/berylwharf/berylwharf/peer"
	"github.com/berylwharf/berylwharf/slots"
	"github.com/berylwharf/berylwharf/statelog"
	"github.com/berylwharf/berylwharf/vmapi"
)

var (
	_ entry.Claims = (*Coord)(nil)
	_ entry.Slots  = (*Coord)(nil)
)

const (
	// tickInterval is the period at which idle timeouts, quarantines and retransmissions are processed.
	tickInterval = 100 * time.Millisecond
	// heartbeatTimeout is the time without a heartbeat after which a member counts as silent: three heartbeat intervals.
	heartbeatTimeout = 3 * peer.HeartbeatInterval
	// defaultShutdownTimeout limits how long shutdown waits for slots to be returned.
	defaultShutdownTimeout = 10 * time.Second
	// defaultMaxRun is the maximum run time assumed while no service declares one.
	defaultMaxRun = 30 * time.Second
)

// ErrDraining is returned by Acquire once the node has started to shut down.
var ErrDraining = errors.New("the node is shutting down")

// ErrReplaced is returned by Run when another process has joined under the same node name.
var ErrReplaced = errors.New("another process joined under this node name")

// Config configures a Coord.
type Config struct {
	Node   string
	VM     string // name of this node's VM in the platform's VM list
	Zone   string
	Region string
	// Incarnation identifies this start of the process and must increase with each start. Zero selects the current time
	// in nanoseconds.
	Incarnation uint64
	// Listener accepts connections from peers. Run closes it.
	Listener net.Listener
	// Protect limits what clients of the listener can hold, see peer.Config.
	Protect func(*http.Server, net.Listener) net.Listener
	// Advertise is the address at which other nodes connect to this one. Empty selects the address of Listener.
	Advertise string
	Key       string         // shared by all nodes, at least peer.MinKeyBytes
	Allow     []netip.Prefix // addresses that may connect; empty allows all
	// Addresses are peers to contact before the member list is known.
	Addresses []string
	Store     follower.Store
	// Ready is closed once Store has caught up with the log or with a peer. Until then Run only maintains peer
	// connections, so that the follower can fetch state through them. A nil channel means that Store is already up to
	// date.
	Ready <-chan struct{}
	// Peers, if not nil, is bound to the peer connections of this Coord.
	Peers *PeerSource
	// Records answers requests from the followers of other nodes. If it is nil, such requests are rejected.
	Records RecordSource
	// ReleasedInFlight returns the VMs being released that still have requests from this node. A nil function means
	// none.
	ReleasedInFlight func() []string
	// TableOffset returns the offset below which all records are in effect in the routing table. If it is nil, the next
	// offset of the view is used. It is called before ReleasedInFlight, so that a request routed by an older table is
	// still reported as in flight.
	TableOffset func() uint64
	// UnhealthyWorkers returns the workers that this node, as their home node, has found not to be alive. A nil
	// function means none.
	UnhealthyWorkers func() []peer.WorkerHealth
	// OnUnhealthyWorkers is called on each heartbeat of another member with the workers that the member has found not
	// to be alive. It may be nil.
	OnUnhealthyWorkers func(node string, workers []peer.WorkerHealth)
	// MaxClaims and MaxResponseBytes limit the table of claims. Zero selects the defaults of package claims.
	MaxClaims, MaxResponseBytes int
	// ShutdownTimeout limits how long Run waits for slots to be returned after its context ends. Zero selects 10 s.
	ShutdownTimeout time.Duration
	Log             *logrus.Logger   // nil discards log output
	Metrics         metrics.Registry // nil creates a private registry
}

// Coord is the coordination component of one node. Its methods are safe for concurrent use.
type Coord struct {
	cfg   Config
	log   *logrus.Logger
	net   *peer.Net
	store follower.Store
	// epochOf returns the epoch of the region in a view. Tests replace it because they cannot construct views that
	// carry epochs.
	epochOf func(*statelog.View) uint64

	mu           sync.Mutex
	incarnation  uint64
	history      *membership.History
	slots        *slots.Node
	claimTable   *claims.Table
	heartbeats   map[string]peer.Heartbeat
	waiters      map[uint64]chan string
	nextWaiter   uint64
	nextAttempt  uint64
	activeClaims map[claims.Key]activeClaim
	epochChanged chan struct{} // closed and replaced on each epoch change
	draining     bool
	released     bool
	joinProposed bool
	joined       bool // a join proposed by this process was accepted
	polledVMs    vmList

	undeliveredLoggedAt time.Time // when an undelivered outcome was last logged

	backgroundSem chan struct{} // limits concurrent background deliveries and member removals
	background    sync.WaitGroup
	stopped       chan struct{} // closed when Run stops background deliveries
	servedState   stateCache
}

// New validates the configuration and returns a Coord. Call Run to start it.
func New(cfg Config) (*Coord, error) {
	if cfg.Node == "" || cfg.Region == "" {
		return nil, errors.New("coord: Config.Node and Config.Region must be set")
	}
	if cfg.Store == nil {
		return nil, errors.New("coord: Config.Store must be set")
	}
	if cfg.Incarnation == 0 {
		cfg.Incarnation = uint64(time.Now().UnixNano())
	}
	if cfg.ShutdownTimeout <= 0 {
		cfg.ShutdownTimeout = defaultShutdownTimeout
	}
	if cfg.Log == nil {
		cfg.Log = logrus.New()
		cfg.Log.SetOutput(io.Discard)
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewRegistry()
	}
	c := &Coord{
		cfg:           cfg,
		log:           cfg.Log,
		store:         cfg.Store,
		incarnation:   cfg.Incarnation,
		history:       membership.NewHistory(cfg.Node, cfg.Incarnation),
		slots:         slots.NewNode(cfg.Node, defaultMaxRun),
		claimTable:    claims.NewTable(cfg.MaxClaims, cfg.MaxResponseBytes),
		heartbeats:    make(map[string]peer.Heartbeat),
		waiters:       make(map[uint64]chan string),
		activeClaims:  make(map[claims.Key]activeClaim),
		epochChanged:  make(chan struct{}),
		backgroundSem: make(chan struct{}, maxDeliveries),
		stopped:       make(chan struct{}),
	}
	c.epochOf = func(v *statelog.View) uint64 { return v.Epoch(cfg.Region) }
	n, err := peer.New(peer.Config{
		Node:        cfg.Node,
		Incarnation: cfg.Incarnation,
		Key:         cfg.Key,
		Listener:    cfg.Listener,
		Protect:     cfg.Protect,
		Allow:       cfg.Allow,
		Heartbeat:   c.heartbeat,
		OnHeartbeat: c.onHeartbeat,
		Log:         cfg.Log,
		Metrics:     cfg.Metrics,
	})
	if err != nil {
		return nil, errors.Wrap(err, "coord")
	}
	c.net = n
	if c.cfg.Advertise == "" {
		c.cfg.Advertise = n.Addr().String()
	}
	c.registerHandlers()
	if cfg.Peers != nil {
		cfg.Peers.c.Store(c)
	}
	return c, nil
}

// registerHandlers registers the handlers for messages from peers.
func (c *Coord) registerHandlers() {
	for _, kind := range slotMessageTypes {
		c.net.Handle(kind, c.serveSlots)
	}
	c.net.Handle(typeClaim, c.serveClaim)
	c.net.Handle(typeClaimDone, c.serveClaimDone)
	c.net.Handle(typeRecords, c.serveRecords)
}

// Run joins the region, serves until ctx ends, then returns all slots and leaves. It returns an error when the
// listener fails or another process has replaced this node.
func (c *Coord) Run(ctx context.Context) error {
	netCtx, stopNet := context.WithCancel(context.Background())
	defer stopNet()
	var netErr error
	netDone := make(chan struct{})
	go func() {
		netErr = c.net.Run(netCtx)
		close(netDone)
	}()

	c.updateTargets()
	err := c.serve(ctx, netDone)
	stopNet()
	<-netDone
	if err == nil {
		err = netErr
	}
	return err
}

// serve waits for the store to be ready, then participates in the coordination until ctx ends or the peer network
// stops.
func (c *Coord) serve(ctx context.Context, netDone <-chan struct{}) error {
	if c.cfg.Ready != nil {
		select {
		case <-ctx.Done():
			return nil
		case <-netDone:
			return nil
		case <-c.cfg.Ready:
		}
	}
	// Observe the member list before this node joins, so that the history shows whether the region already had members.
	c.applyView(c.store.View())
	runCtx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	loopCtx, stopLoops := context.WithCancel(context.Background())
	defer stopLoops()
	var loops, member sync.WaitGroup
	loops.Go(func() { c.watch(loopCtx) })
	loops.Go(func() { c.tick(loopCtx) })
	member.Go(func() { c.maintainMembership(runCtx, stop) })

	linksUp := true
	select {
	case <-runCtx.Done():
	case <-netDone:
		linksUp = false
		stop(nil)
	}
	member.Wait()
	var err error
	if cause := context.Cause(runCtx); errors.Is(cause, ErrReplaced) {
		err = cause
	}
	c.leave(linksUp && err == nil)
	c.mu.Lock()
	close(c.stopped)
	c.mu.Unlock()
	stopLoops()
	loops.Wait()
	c.background.Wait()
	return err
}

// step calls f with mu held, then delivers the assignments and sends the messages that the slots state machine
// produced.
func (c *Coord) step(f func(now time.Time)) {
	c.mu.Lock()
	f(time.Now())
	for _, a := range c.slots.Assigned() {
		// The channel has a buffer of one, and a waiter gets at most one assignment, so this send never blocks.
		c.waiters[a.ID] <- a.Worker
		delete(c.waiters, a.ID)
	}
	out := c.slots.Outbox()
	c.mu.Unlock()
	for _, e := range out {
		// The slots state machine retransmits a message that could not be sent.
		_ = c.net.Send(e.Node, slotMessageTypes[e.Msg.Kind-1], e.Msg)
	}
}

// tick advances the timers of the slots state machine and expires claims every tickInterval.
func (c *Coord) tick(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		c.step(func(now time.Time) {
			c.slots.Tick(now)
			c.claimTable.Expire(now)
		})
	}
}

// heartbeat returns the payload of this node's next heartbeat.
func (c *Coord) heartbeat() peer.Heartbeat {
	v := c.store.View()
	routedOffset := c.routedOffset()
	var inFlight []string
	if c.cfg.ReleasedInFlight != nil {
		inFlight = c.cfg.ReleasedInFlight()
	}
	var health []peer.WorkerHealth
	if c.cfg.UnhealthyWorkers != nil {
		health = c.cfg.UnhealthyWorkers()
		health = health[:min(len(health), peer.MaxHealthEntries)]
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	hb := peer.Heartbeat{
		Health:      health,
		TableOffset: routedOffset,
		Zone:        c.cfg.Zone,
		Next:        v.NextOffset,
		Draining:    c.draining,
		FreeSlots:   uint32(c.freeSlots(time.Now())),
		InFlight:    inFlight,
		Released:    c.released,
	}
	copy(hb.Hash[:], v.Hash[:])
	if s := c.history.Current(); s != nil {
		hb.Epoch = s.Epoch
	}
	return hb
}

func (c *Coord) onHeartbeat(from string, hb peer.Heartbeat) {
	if c.cfg.OnUnhealthyWorkers != nil {
		c.cfg.OnUnhealthyWorkers(from, hb.Health)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.heartbeats[from] = hb
	c.history.Acknowledge(from, hb.Incarnation, hb.Epoch, hb.Released, time.Now())
}

// routedOffset returns the offset below which all records are in effect in the routing of this node.
func (c *Coord) routedOffset() uint64 {
	if c.cfg.TableOffset == nil {
		return c.store.View().NextOffset
	}
	return c.cfg.TableOffset()
}

// IsHomeNode reports whether this node is the home node of a worker.
func (c *Coord) IsHomeNode(worker string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	set := c.history.Current()
	return set != nil && set.Home(worker) == c.cfg.Node
}

// freeSlots returns the number of free slots on the listed workers whose home node is this node.
func (c *Coord) freeSlots(now time.Time) int {
	free := 0
	for _, vm := range c.polledVMs.vms {
		if vm.Role == vmapi.RoleWorker {
			n, _ := c.slots.Free(vm.Name, now)
			free += n
		}
	}
	return free
}
