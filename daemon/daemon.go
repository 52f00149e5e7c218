package daemon

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/berylwharf/berylwharf/claims"
	"github.com/berylwharf/berylwharf/coord"
	"github.com/berylwharf/berylwharf/entry"
	"github.com/berylwharf/berylwharf/follower"
	"github.com/berylwharf/berylwharf/logclient"
	"github.com/berylwharf/berylwharf/operator"
	"github.com/berylwharf/berylwharf/peer"
	"github.com/berylwharf/berylwharf/settings"
	"github.com/berylwharf/berylwharf/vmapi"
)

const (
	// startSettle is the time without a change of the members after which a starting node takes callers. Identifiers made
	// up to twice the clock skew before a double change have no home node that covers them: in a run of make demo
	// without this wait, 281 of 1,509 bookings were refused.
	startSettle = 2 * claims.ClockSkew
	// startSettleLimit ends that wait. A member that is paused or cut off but still listed never acknowledges the join, and
	// must not keep other nodes from starting; requests that it makes uncertain are refused truthfully.
	startSettleLimit = 15 * time.Second
	// serverShutdown bounds the end of the operators' and the admin listener, which hold no callers' requests.
	serverShutdown = 2 * time.Second
	// adminHeaderTimeout ends connections to the operators' and the admin listener that send no header.
	adminHeaderTimeout = 5 * time.Second
)

// Daemon is one entry node.
type Daemon struct {
	cfg      *settings.Settings
	log      *logrus.Logger
	registry metrics.Registry
	traces   *traceProvider

	follower   *follower.Follower
	peers      peerSource
	coord      *coord.Coord
	entry      *entry.Handler
	platform   *vmapi.Client
	poller     *vmapi.Poller
	prober     *prober
	maintainer *maintainer
	routes     chan struct{} // wakes the goroutine that rebuilds the routing table

	listeners listeners
	draining  atomic.Bool
	// settle is how long the members must agree before this node becomes ready for the first time, settleLimit how long it
	// waits for that as a member.
	settle, settleLimit time.Duration
	settled             atomic.Bool
	// routedNext is the next offset after the state from which the routing table was made, 0 before the first table.
	routedNext atomic.Uint64
	closing    chan struct{}
}

// listeners are open from New on, so that a daemon that cannot listen fails before it joins the members.
type listeners struct {
	callers, operators, peers, admin net.Listener
}

// New opens the listeners and builds the parts. Run starts them.
func New(cfg *settings.Settings, log *logrus.Logger) (*Daemon, error) {
	d := &Daemon{
		cfg:      cfg,
		log:      log,
		registry: metrics.NewRegistry(),
		traces:   newTraceProvider(log, cfg.Node),
		routes:   make(chan struct{}, 1),
		settle:   startSettle,

		settleLimit: startSettleLimit,
		closing:     make(chan struct{}),
	}
	if err := d.listeners.open(cfg); err != nil {
		return nil, err
	}
	if err := d.build(); err != nil {
		d.listeners.close()
		return nil, err
	}
	return d, nil
}

func (l *listeners) open(cfg *settings.Settings) error {
	for _, x := range []struct {
		name string
		addr netip.AddrPort
		to   *net.Listener
	}{
		{"callers", cfg.Callers.Listen, &l.callers},
		{"operators", cfg.Operators.Listen, &l.operators},
		{"peers", cfg.Peers.Listen, &l.peers},
		{"admin", cfg.Admin.Listen, &l.admin},
	} {
		ln, err := net.Listen("tcp", x.addr.String())
		if err != nil {
			l.close()
			return errors.Wrapf(err, "%s.listen", x.name)
		}
		*x.to = ln
	}
	return nil
}

func (l *listeners) close() {
	for _, ln := range []net.Listener{l.callers, l.operators, l.peers, l.admin} {
		if ln != nil {
			_ = ln.Close()
		}
	}
}

func (d *Daemon) build() error {
	if err := d.buildState(); err != nil {
		return err
	}
	if err := d.buildCoord(); err != nil {
		return err
	}
	var err error
	d.entry, err = entry.New(entry.Config{
		Node:           d.cfg.Node,
		Zone:           d.cfg.Zone,
		Slots:          d.coord,
		Claims:         d.coord,
		Logger:         d.log,
		Registry:       d.registry,
		TracerProvider: d.traces,
		Seed:           uint64(time.Now().UnixNano()),
	})
	if err != nil {
		return err
	}
	d.maintainer = newMaintainer(d)
	d.prober = newProber(d.log, d.coord.Homed, d.entry.SetProbe)
	d.poller = vmapi.NewPoller(d.platform, d.cfg.Platform.PollInterval, d.onVMList, d.log)
	d.registerGauges()
	return nil
}

func (d *Daemon) buildState() error {
	log, err := logclient.New(logclient.Config{URL: d.cfg.Platform.URL})
	if err != nil {
		return err
	}
	d.platform, err = vmapi.NewClient(d.cfg.Platform.URL, 0)
	if err != nil {
		return err
	}
	d.follower, err = follower.New(follower.Config{
		Node:      d.cfg.Node,
		Log:       log,
		Peers:     &d.peers,
		Retention: d.cfg.Platform.LogRetention,
		Logger:    d.log,
	})
	return err
}

func (d *Daemon) buildCoord() error {
	addresses := make([]string, len(d.cfg.Peers.Addresses))
	for i, a := range d.cfg.Peers.Addresses {
		addresses[i] = a.String()
	}
	var err error
	d.coord, err = coord.New(coord.Config{
		Node:            d.cfg.Node,
		VM:              d.cfg.VM,
		Zone:            d.cfg.Zone,
		Region:          d.cfg.Region,
		Listener:        d.listeners.peers,
		Key:             d.cfg.Peers.Key.Reveal(),
		Allow:           d.cfg.Peers.Allow,
		Addresses:       addresses,
		Store:           d.follower,
		Ready:           d.follower.Loaded(),
		Peers:           &d.peers.PeerSource,
		Records:         d.follower,
		InFlight:        d.releasedInFlight,
		Routed:          d.routedNext.Load,
		Health:          func() []peer.WorkerHealth { return d.prober.notAlive() },
		OnHealth:        func(node string, w []peer.WorkerHealth) { d.prober.onRemote(node, w) },
		ShutdownTimeout: d.cfg.ShutdownTimeout,
		Log:             d.log,
		Metrics:         d.registry,
	})
	return err
}

// onVMList installs a new VM list.
func (d *Daemon) onVMList(list vmapi.VMList) {
	d.prober.setTargets(list.VMs)
	d.maintainer.onVMList(list)
	notify(d.routes)
}

// reportVMList passes each polled VM list to coord, changed or not, because a member is removed only after its VM was
// absent in several polls.
func (d *Daemon) reportVMList(ctx context.Context) {
	ticker := time.NewTicker(d.cfg.Platform.PollInterval)
	defer ticker.Stop()
	var last time.Time
	var start startWait
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		d.checkSettled(&start)
		list, ok := d.poller.List()
		polled := d.poller.Status().LastSuccess
		if ok && polled.After(last) {
			last = polled
			d.coord.SetVMList(list.VMs)
		}
	}
}

// startWait is the progress of a starting node; zero times mean "not yet".
type startWait struct {
	member time.Time // since when the node is a member
	agreed time.Time // since when all members are known to be at the same epoch
}

// checkSettled marks this node as settled once the members have agreed for long enough, or did not agree in time.
func (d *Daemon) checkSettled(w *startWait) {
	if d.settled.Load() {
		return
	}
	status := d.coord.Status()
	if w.over(status.Member, status.Member && status.Covered, d.settle, d.settleLimit, time.Now()) {
		d.settled.Store(true)
	}
}

// over tells whether a node that is a member now, and whose members agree now, need not wait any longer.
func (w *startWait) over(member, agreed bool, settle, limit time.Duration, now time.Time) bool {
	w.member = since(member, w.member, now)
	w.agreed = since(agreed, w.agreed, now)
	return agreed && now.Sub(w.agreed) >= settle || member && now.Sub(w.member) >= limit
}

// since returns from when on a condition holds, given from when on it held before.
func since(holds bool, before, now time.Time) time.Time {
	switch {
	case !holds:
		return time.Time{}
	case before.IsZero():
		return now
	}
	return before
}

// notify wakes the receiver of a channel with a buffer of one. A pending notification covers later ones.
func notify(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Run serves until ctx ends, then shuts down gracefully: new requests are refused as not run, requests in flight finish,
// slots go back, and the node leaves the members. It returns an error when a part failed.
func (d *Daemon) Run(ctx context.Context) error {
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	var parts sync.WaitGroup
	// The parts outlive ctx, because requests in flight still need them.
	partsCtx, stopParts := context.WithCancel(context.Background())
	coordCtx, stopCoord := context.WithCancel(context.Background())
	coordDone := make(chan struct{})
	defer stopCoord()

	parts.Go(func() { d.fail(stop, d.follower.Run(partsCtx), partsCtx) })
	parts.Go(func() { d.poller.Run(partsCtx) })
	parts.Go(func() { d.reportVMList(partsCtx) })
	parts.Go(func() { d.prober.run(partsCtx) })
	parts.Go(func() { d.keepRoutes(partsCtx) })
	parts.Go(func() { d.maintainer.run(ctx) })
	go func() {
		defer close(coordDone)
		d.fail(stop, d.coord.Run(coordCtx), coordCtx)
	}()
	servers := d.serve(stop)
	d.log.Infof("daemon: node %s is up, callers at %s, operators at %s", d.cfg.Node, d.listeners.callers.Addr(),
		d.listeners.operators.Addr())

	<-ctx.Done()
	d.shutDown(servers, func() { stopCoord(); <-coordDone })
	stopParts()
	parts.Wait()
	if cause := context.Cause(ctx); !errors.Is(cause, context.Canceled) {
		return cause
	}
	return nil
}

// fail ends the daemon with the error of a part, unless the part was told to stop.
func (d *Daemon) fail(stop context.CancelCauseFunc, err error, partCtx context.Context) {
	if partCtx.Err() != nil {
		return
	}
	if err == nil {
		err = errors.New("a part ended by itself")
	}
	d.log.Errorf("daemon: %v", err)
	stop(err)
}

type servers struct {
	callers, operators, admin *http.Server
}

func (d *Daemon) serve(stop context.CancelCauseFunc) servers {
	s := servers{
		callers: entry.NewServer(d.entry, d.cfg.Callers.MaxHeaderBytes),
		operators: &http.Server{
			Handler: operator.NewHandler(operator.Config{
				Store:   operator.FromFollower(d.follower),
				Nodes:   d,
				Planner: d.maintainer,
				Token:   d.cfg.Operators.Token.Reveal(),
				Allow:   d.cfg.Operators.Allow,
				Closing: d.closing,
				Log:     d.log,
			}),
			ReadHeaderTimeout: adminHeaderTimeout,
		},
		admin: &http.Server{Handler: newAdminHandler(d, d.registry), ReadHeaderTimeout: adminHeaderTimeout},
	}
	run := func(srv *http.Server, ln net.Listener) {
		if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			stop(errors.Wrapf(err, "listener %s", ln.Addr()))
		}
	}
	go run(s.callers, d.listeners.callers)
	go run(s.operators, d.listeners.operators)
	go run(s.admin, d.listeners.admin)
	return s
}

// shutDown ends the node in the order in which its parts need each other.
func (d *Daemon) shutDown(s servers, leave func()) {
	d.draining.Store(true)
	d.log.Infof("daemon: shutting down, %s at most", d.cfg.ShutdownTimeout)
	ctx, cancel := context.WithTimeout(context.Background(), d.cfg.ShutdownTimeout)
	defer cancel()
	if err := d.entry.Drain(ctx); err != nil {
		d.log.Warnf("daemon: requests are still in flight: %v", err)
	}
	if err := s.callers.Shutdown(ctx); err != nil {
		d.log.Warnf("daemon: callers' connections are still open: %v", err)
	}
	// Requests that missed their deadlines may still hold slots. Closing gives these back, so that the node can leave.
	d.entry.Close()
	leave()
	close(d.closing)
	ctx, cancel = context.WithTimeout(context.Background(), serverShutdown)
	defer cancel()
	_ = s.operators.Shutdown(ctx)
	_ = s.admin.Shutdown(ctx)
	d.log.Info("daemon: stopped")
}
