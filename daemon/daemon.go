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
	"github.com/berylwharf/berylwharf/connlimit"
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
	// startupSettleTime is the time for which the members must not change before a starting node becomes ready for callers.
	// After two changes, no home node covers identifiers that were created up to twice the clock skew earlier, and requests
	// with them are refused. In a run of make demo without this wait, 281 of 1,509 bookings were refused.
	startupSettleTime = 2 * claims.ClockSkew
	// startupSettleTimeout limits that wait. A member that is paused or unreachable but still listed never acknowledges the
	// join, and must not prevent other nodes from becoming ready. Requests that become uncertain because of it are refused
	// with a correct verdict.
	startupSettleTimeout = 15 * time.Second
	// serverShutdownTimeout limits the shutdown of the operators' and the admin server, which handle no requests of callers.
	serverShutdownTimeout = 2 * time.Second
	// readHeaderTimeout is the time after which the operators' and the admin server close a connection that sent no complete
	// request header.
	readHeaderTimeout = 5 * time.Second
)

// Daemon is one entry node.
type Daemon struct {
	cfg      *settings.Settings
	log      *logrus.Logger
	registry metrics.Registry
	traces   *traceProvider

	follower     *follower.Follower
	peers        peerSource
	coord        *coord.Coord
	entry        *entry.Handler
	platform     *vmapi.Client
	poller       *vmapi.Poller
	prober       *prober
	maintainer   *maintainer
	tableUpdates chan struct{} // signals the goroutine that rebuilds the routing table

	listeners listeners
	// account limits what the clients of all listeners can hold.
	account  *connlimit.Account
	draining atomic.Bool
	// settleTime is how long all members must be at the same epoch before this node becomes ready for the first time. After
	// settleTimeout as a member, the node becomes ready regardless.
	settleTime, settleTimeout time.Duration
	settled                   atomic.Bool
	// tableOffset is the next log offset after the state from which the routing table was built, 0 before the first table.
	tableOffset atomic.Uint64
	closing     chan struct{}
}

// listeners holds the open listeners. New opens them, so that a daemon that cannot listen fails before it becomes a member.
type listeners struct {
	callers, operators, peers, admin net.Listener
}

// New opens the listeners and creates the components. Run starts them.
func New(cfg *settings.Settings, log *logrus.Logger) (*Daemon, error) {
	d := &Daemon{
		cfg:          cfg,
		log:          log,
		registry:     metrics.NewRegistry(),
		traces:       newTraceProvider(log, cfg.Node),
		tableUpdates: make(chan struct{}, 1),
		settleTime:   startupSettleTime,

		settleTimeout: startupSettleTimeout,
		closing:       make(chan struct{}),
	}
	if err := d.limitClients(); err != nil {
		return nil, err
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
		name   string
		addr   netip.AddrPort
		target *net.Listener
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
		*x.target = ln
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
	d.prober = newProber(d.log, d.coord.IsHomeNode, d.entry.SetProbe)
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
	maxClaims, maxResponseBytes := d.claimLimits()
	var err error
	d.coord, err = coord.New(coord.Config{
		MaxClaims: maxClaims, MaxResponseBytes: maxResponseBytes,
		Node:               d.cfg.Node,
		VM:                 d.cfg.VM,
		Zone:               d.cfg.Zone,
		Region:             d.cfg.Region,
		Listener:           d.listeners.peers,
		Protect:            d.protect("peers", false),
		Key:                d.cfg.Peers.Key.Reveal(),
		Allow:              d.cfg.Peers.Allow,
		Addresses:          addresses,
		Store:              d.follower,
		Ready:              d.follower.Loaded(),
		Peers:              &d.peers.PeerSource,
		Records:            d.follower,
		ReleasedInFlight:   d.releasedInFlight,
		TableOffset:        d.tableOffset.Load,
		UnhealthyWorkers:   func() []peer.WorkerHealth { return d.prober.unhealthy() },
		OnUnhealthyWorkers: func(node string, w []peer.WorkerHealth) { d.prober.onRemoteHealth(node, w) },
		ShutdownTimeout:    d.cfg.ShutdownTimeout,
		Log:                d.log,
		Metrics:            d.registry,
	})
	return err
}

// onVMList passes a changed VM list to the components that use it.
func (d *Daemon) onVMList(list vmapi.VMList) {
	d.prober.setTargets(list.VMs)
	d.maintainer.onVMList(list)
	notify(d.tableUpdates)
}

// reportVMList passes each polled VM list to coord, even if it has not changed, because coord removes a member only after
// its VM was absent in several polls. It also updates the wait of a starting node once per poll interval.
func (d *Daemon) reportVMList(ctx context.Context) {
	ticker := time.NewTicker(d.cfg.Platform.PollInterval)
	defer ticker.Stop()
	var last time.Time
	var start startupWait
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

// startupWait is the progress of a starting node towards readiness. A zero time means that the condition does not hold.
type startupWait struct {
	memberSince time.Time // time since which the node is a member
	agreedSince time.Time // time since which all members are known to be at the same epoch
}

// checkSettled marks this node as settled once the members have been at the same epoch for settleTime, or once the node has
// been a member for settleTimeout.
func (d *Daemon) checkSettled(w *startupWait) {
	if d.settled.Load() {
		return
	}
	status := d.coord.Status()
	if w.update(status.Member, status.Member && status.Covered, d.settleTime, d.settleTimeout, time.Now()) {
		d.settled.Store(true)
	}
}

// update records whether the node is a member and whether all members are at the same epoch, and reports whether the wait
// is over.
func (w *startupWait) update(member, agreed bool, settle, limit time.Duration, now time.Time) bool {
	w.memberSince = trueSince(member, w.memberSince, now)
	w.agreedSince = trueSince(agreed, w.agreedSince, now)
	return agreed && now.Sub(w.agreedSince) >= settle || member && now.Sub(w.memberSince) >= limit
}

// trueSince returns the time since which a condition holds, or the zero time if it does not hold. The parameter since is
// the previous result.
func trueSince(condition bool, since, now time.Time) time.Time {
	switch {
	case !condition:
		return time.Time{}
	case since.IsZero():
		return now
	}
	return since
}

// notify signals the receiver of a channel with a buffer of one without blocking. Signals coalesce while one is pending.
func notify(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Run serves until ctx is done, then shuts down gracefully: new requests are refused with the verdict not-run, requests in
// flight complete, slots are returned, and the node leaves the membership. It returns an error if a component failed.
func (d *Daemon) Run(ctx context.Context) error {
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	var components sync.WaitGroup
	// Most components keep running after ctx is done, because requests in flight need them.
	componentsCtx, stopComponents := context.WithCancel(context.Background())
	coordCtx, stopCoord := context.WithCancel(context.Background())
	coordDone := make(chan struct{})
	defer stopCoord()

	components.Go(func() { d.componentStopped(stop, d.follower.Run(componentsCtx), componentsCtx) })
	components.Go(func() { d.poller.Run(componentsCtx) })
	components.Go(func() { d.reportVMList(componentsCtx) })
	components.Go(func() { d.prober.run(componentsCtx) })
	components.Go(func() { d.maintainRoutingTable(componentsCtx) })
	components.Go(func() { d.maintainer.run(ctx) })
	go func() {
		defer close(coordDone)
		d.componentStopped(stop, d.coord.Run(coordCtx), coordCtx)
	}()
	servers := d.serve(stop)
	d.log.Infof("daemon: node %s started, listening on %s for callers and on %s for operators", d.cfg.Node,
		d.listeners.callers.Addr(), d.listeners.operators.Addr())

	<-ctx.Done()
	d.shutdown(servers, func() { stopCoord(); <-coordDone })
	stopComponents()
	components.Wait()
	if cause := context.Cause(ctx); !errors.Is(cause, context.Canceled) {
		return cause
	}
	return nil
}

// componentStopped stops the daemon with the error of a component, unless the component was told to stop.
func (d *Daemon) componentStopped(stop context.CancelCauseFunc, err error, componentCtx context.Context) {
	if componentCtx.Err() != nil {
		return
	}
	if err == nil {
		err = errors.New("component stopped unexpectedly")
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
				Store:           operator.FromFollower(d.follower),
				Nodes:           d,
				Planner:         d.maintainer,
				Token:           d.cfg.Operators.Token.Reveal(),
				AllowedNetworks: d.cfg.Operators.Allow,
				Closing:         d.closing,
				Log:             d.log,
			}),
			ReadHeaderTimeout: readHeaderTimeout,
		},
		admin: &http.Server{Handler: newAdminHandler(d, d.registry), ReadHeaderTimeout: readHeaderTimeout},
	}
	run := func(name string, srv *http.Server, ln net.Listener, decodesJSON bool) {
		ln = d.protect(name, decodesJSON)(srv, ln)
		go func() {
			if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
				stop(errors.Wrapf(err, "serve on %s", ln.Addr()))
			}
		}()
	}
	run("callers", s.callers, d.listeners.callers, false)
	run("operators", s.operators, d.listeners.operators, true)
	run("admin", s.admin, d.listeners.admin, false)
	return s
}

// shutdown refuses new requests, waits for those in flight, closes the server of the callers, returns the remaining slots,
// leaves the membership and closes the servers of the operators and of the administration. The order follows the
// dependencies between the components.
func (d *Daemon) shutdown(s servers, leave func()) {
	d.draining.Store(true)
	d.log.Infof("daemon: shutting down, waiting at most %s for requests in flight", d.cfg.ShutdownTimeout)
	ctx, cancel := context.WithTimeout(context.Background(), d.cfg.ShutdownTimeout)
	defer cancel()
	if err := d.entry.Drain(ctx); err != nil {
		d.log.Warnf("daemon: requests still in flight at the shutdown timeout: %v", err)
	}
	if err := s.callers.Shutdown(ctx); err != nil {
		d.log.Warnf("daemon: connections of callers still open at the shutdown timeout: %v", err)
	}
	// Requests that missed their deadlines may still hold slots. Close returns these slots, so that the node can leave the
	// membership.
	d.entry.Close()
	leave()
	close(d.closing)
	ctx, cancel = context.WithTimeout(context.Background(), serverShutdownTimeout)
	defer cancel()
	_ = s.operators.Shutdown(ctx)
	_ = s.admin.Shutdown(ctx)
	d.log.Info("daemon: stopped")
}
