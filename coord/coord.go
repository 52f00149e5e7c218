// Package coord connects the cores membership, claims and slots with the other nodes and with the shared state. It
// implements the interfaces Claims and Slots of package entry.
package coord

import (
	"context"
	"io"
	"net"
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
	// tickInterval drives idle times, quarantines and repeated messages.
	tickInterval = 100 * time.Millisecond
	// silentAfter is the time without a heartbeat after which a member counts as silent: three heartbeats.
	silentAfter = 3 * peer.HeartbeatInterval
	// defaultShutdown bounds the return of slots on shutdown.
	defaultShutdown = 10 * time.Second
	// defaultMaxRun is used while no service declares a longer run time.
	defaultMaxRun = 30 * time.Second
)

// ErrDraining is returned for requests during shutdown.
var ErrDraining = errors.New("the node is shutting down")

// ErrReplaced is returned by Run when another process joined under the same node name.
var ErrReplaced = errors.New("another process joined under this node name")

// Config configures a Coord.
type Config struct {
	Node   string
	VM     string // name of the node's VM in the platform's VM list
	Zone   string
	Region string
	// Incarnation is greater for each start of the process; 0 takes the time.
	Incarnation uint64
	// Listener accepts the peers' connections. It is closed by Run.
	Listener net.Listener
	// Advertise is the address that the other nodes connect to; "" is the listener's.
	Advertise string
	Key       string
	Allow     []netip.Prefix
	// Addresses are peers to try before the members are known.
	Addresses []string
	Store     follower.Store
	// Ready is closed when Store has caught up with the log or with a peer. Until then Run only keeps links, so that the
	// follower can ask peers. nil means that it has caught up.
	Ready <-chan struct{}
	// Peers, when set, is connected to this Coord's links.
	Peers *PeerSource
	// Records serves the followers of other nodes; nil refuses them.
	Records RecordSource
	// InFlight returns the VMs under release on which this node still has requests; nil means none.
	InFlight func() []string
	// Routed returns the offset before which all records are in force in the routing table; nil takes that of the view. It
	// is asked before InFlight, so that a request that started earlier is seen.
	Routed func() uint64
	// Health returns the workers that this node found not alive as their home node; nil means none.
	Health func() []peer.WorkerHealth
	// OnHealth is called with the workers that another member found not alive, at each of its heartbeats. It may be nil.
	OnHealth func(node string, workers []peer.WorkerHealth)
	// ShutdownTimeout bounds the return of slots after the end of Run's context; 0 is 10 s.
	ShutdownTimeout time.Duration
	Log             *logrus.Logger   // nil discards
	Metrics         metrics.Registry // nil creates a private one
}

// Coord is one node's part in the coordination. Its methods may be called concurrently.
type Coord struct {
	cfg   Config
	log   *logrus.Logger
	net   *peer.Net
	store follower.Store
	// epochOf returns the region's epoch in a view; tests replace it, since they cannot build views with epochs.
	epochOf func(*statelog.View) uint64

	mu          sync.Mutex
	incarnation uint64
	history     *membership.History
	slots       *slots.Node
	table       *claims.Table
	heartbeats  map[string]peer.Heartbeat
	waiters     map[uint64]chan string
	nextWaiter  uint64
	nextAttempt uint64
	active      map[claims.Key]activeClaim
	epochMoved  chan struct{} // closed and replaced when the epoch changes
	draining    bool
	released    bool
	joinTried   bool
	joined      bool // a join of this process was accepted
	list        vmList

	undeliveredAt time.Time // of the last log line about it

	deliveries chan struct{} // bounds the claim outcomes being delivered
	background sync.WaitGroup
	stopped    chan struct{} // closed when Run stops delivering
	state      stateCache
}

// New checks the configuration and returns a Coord that is not running yet.
func New(cfg Config) (*Coord, error) {
	if cfg.Node == "" || cfg.Region == "" {
		return nil, errors.New("coord: node and region must be set")
	}
	if cfg.Store == nil {
		return nil, errors.New("coord: a store must be set")
	}
	if cfg.Incarnation == 0 {
		cfg.Incarnation = uint64(time.Now().UnixNano())
	}
	if cfg.ShutdownTimeout <= 0 {
		cfg.ShutdownTimeout = defaultShutdown
	}
	if cfg.Log == nil {
		cfg.Log = logrus.New()
		cfg.Log.SetOutput(io.Discard)
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewRegistry()
	}
	c := &Coord{
		cfg:         cfg,
		log:         cfg.Log,
		store:       cfg.Store,
		incarnation: cfg.Incarnation,
		history:     membership.NewHistory(cfg.Node, cfg.Incarnation),
		slots:       slots.NewNode(cfg.Node, defaultMaxRun),
		table:       claims.NewTable(0, 0),
		heartbeats:  make(map[string]peer.Heartbeat),
		waiters:     make(map[uint64]chan string),
		active:      make(map[claims.Key]activeClaim),
		epochMoved:  make(chan struct{}),
		deliveries:  make(chan struct{}, maxDeliveries),
		stopped:     make(chan struct{}),
	}
	c.epochOf = func(v *statelog.View) uint64 { return v.Epoch(cfg.Region) }
	n, err := peer.New(peer.Config{
		Node:        cfg.Node,
		Incarnation: cfg.Incarnation,
		Key:         cfg.Key,
		Listener:    cfg.Listener,
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
	c.handle()
	if cfg.Peers != nil {
		cfg.Peers.c.Store(c)
	}
	return c, nil
}

// handle sets the handlers of the messages of other nodes.
func (c *Coord) handle() {
	for _, kind := range slotTypes {
		c.net.Handle(kind, c.serveSlots)
	}
	c.net.Handle(typeClaim, c.serveClaim)
	c.net.Handle(typeClaimDone, c.serveClaimDone)
	c.net.Handle(typeRecords, c.serveRecords)
}

// Run joins the members, serves until ctx ends, then returns the slots and leaves. It returns an error when the listener
// fails or the node was replaced.
func (c *Coord) Run(ctx context.Context) error {
	netCtx, stopNet := context.WithCancel(context.Background())
	defer stopNet()
	var netErr error
	netDone := make(chan struct{})
	go func() {
		netErr = c.net.Run(netCtx)
		close(netDone)
	}()

	c.retarget()
	err := c.serve(ctx, netDone)
	stopNet()
	<-netDone
	if err == nil {
		err = netErr
	}
	return err
}

// serve takes part in the coordination until ctx or the links end.
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
	// The state before the own join tells whether there were members before.
	c.apply(c.store.View())
	runCtx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	loopCtx, stopLoops := context.WithCancel(context.Background())
	defer stopLoops()
	var loops, member sync.WaitGroup
	loops.Go(func() { c.watch(loopCtx) })
	loops.Go(func() { c.tick(loopCtx) })
	member.Go(func() { c.keepMembership(runCtx, stop) })

	linked := true
	select {
	case <-runCtx.Done():
	case <-netDone:
		linked = false
		stop(nil)
	}
	member.Wait()
	var err error
	if cause := context.Cause(runCtx); errors.Is(cause, ErrReplaced) {
		err = cause
	}
	c.leave(linked && err == nil)
	c.mu.Lock()
	close(c.stopped)
	c.mu.Unlock()
	stopLoops()
	loops.Wait()
	c.background.Wait()
	return err
}

// step runs f under the lock and then hands out what the slots core decided.
func (c *Coord) step(f func(now time.Time)) {
	c.mu.Lock()
	f(time.Now())
	for _, a := range c.slots.Assigned() {
		// The channel has room for the one assignment of its waiter.
		c.waiters[a.ID] <- a.Worker
		delete(c.waiters, a.ID)
	}
	out := c.slots.Outbox()
	c.mu.Unlock()
	for _, e := range out {
		// A message that cannot be sent is repeated by the core.
		_ = c.net.Send(e.Node, slotTypes[e.Msg.Kind-1], e.Msg)
	}
}

// tick drives the cores.
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
			c.table.Expire(now)
		})
	}
}

// heartbeat returns the content of this node's heartbeat.
func (c *Coord) heartbeat() peer.Heartbeat {
	v := c.store.View()
	routed := c.routed()
	var inFlight []string
	if c.cfg.InFlight != nil {
		inFlight = c.cfg.InFlight()
	}
	var health []peer.WorkerHealth
	if c.cfg.Health != nil {
		health = c.cfg.Health()
		health = health[:min(len(health), peer.MaxHealth)]
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	hb := peer.Heartbeat{
		Health:    health,
		Routed:    routed,
		Zone:      c.cfg.Zone,
		Next:      v.Next,
		Draining:  c.draining,
		FreeSlots: uint32(c.freeSlots(time.Now())),
		InFlight:  inFlight,
		Released:  c.released,
	}
	copy(hb.Hash[:], v.Hash[:])
	if s := c.history.Current(); s != nil {
		hb.Epoch = s.Epoch
	}
	return hb
}

func (c *Coord) onHeartbeat(from string, hb peer.Heartbeat) {
	if c.cfg.OnHealth != nil {
		c.cfg.OnHealth(from, hb.Health)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.heartbeats[from] = hb
	c.history.Acknowledge(from, hb.Incarnation, hb.Epoch, hb.Released, time.Now())
}

// routed returns the offset before which this node starts work by all records.
func (c *Coord) routed() uint64 {
	if c.cfg.Routed == nil {
		return c.store.View().Next
	}
	return c.cfg.Routed()
}

// Homed tells whether this node is the home node of a worker.
func (c *Coord) Homed(worker string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	set := c.history.Current()
	return set != nil && set.Home(worker) == c.cfg.Node
}

// freeSlots returns the free slots of the listed workers for which this node is the home node.
func (c *Coord) freeSlots(now time.Time) int {
	free := 0
	for _, vm := range c.list.vms {
		if vm.Role == vmapi.RoleWorker {
			n, _ := c.slots.Free(vm.Name, now)
			free += n
		}
	}
	return free
}
