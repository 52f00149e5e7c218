// Package jobdaemon assembles a job manager node from the callers' listener, readiness checks, metrics, the peer
// network and the platform adapter.
package jobdaemon

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/berylwharf/berylwharf/connlimit"
	"github.com/berylwharf/berylwharf/jobmanager"
	"github.com/berylwharf/berylwharf/peer"
	"github.com/berylwharf/berylwharf/platform"
	"github.com/berylwharf/berylwharf/relay"
)

const (
	// forwardPeriod is how long a stopping node keeps forwarding requests, so that callers have time to switch to other
	// nodes.
	forwardPeriod = 2500 * time.Millisecond
	// headerTimeout bounds reading the header of a request.
	headerTimeout = 5 * time.Second
	// shutdownReserve is the part of the grace period that is left unused, so that the process exits before it is
	// killed.
	shutdownReserve = time.Second
)

// Daemon is a running node of the job manager.
type Daemon struct {
	settings  *jobmanager.Settings
	log       *jobmanager.Log
	node      *jobmanager.Node
	workers   *relay.Workers
	relay     *relay.Server
	servers   []*http.Server
	account   *connlimit.Account // limits what clients of all listeners can hold
	stopNode  context.CancelFunc
	nodeDone  chan struct{}
	stopPeers context.CancelFunc
	peersDone chan error
}

// Start opens the listeners and begins to serve. Log lines are written to out.
func Start(s *jobmanager.Settings, out io.Writer) (*Daemon, error) {
	log := jobmanager.NewLog(out, s.Node)
	log.Event(jobmanager.LogEvent{Component: "node", Event: "starting"})
	clock := jobmanager.SystemClock{}
	d := &Daemon{settings: s, log: log, nodeDone: make(chan struct{}), peersDone: make(chan error, 1)}
	d.limitClients()
	peers, err := d.newPeers()
	if err != nil {
		return nil, err
	}
	p := newPlatform(s, log)
	d.relay = relay.NewServer(p.Workers, peers, clock)
	d.workers = relay.NewWorkers(p.Workers, peers, clock)
	p.Workers, p.Relays = d.workers, d.workers
	d.node = jobmanager.NewNode(s, p, peers, clock, log)
	if err := d.relay.RegisterMetrics(d.node.MetricsRegistry()); err != nil {
		return nil, err
	}
	if err := d.account.RegisterMetrics(d.node.MetricsRegistry()); err != nil {
		return nil, err
	}
	if err := d.listen(platform.NewCallerHandler(d.node, clock, log)); err != nil {
		return nil, err
	}
	var nodeCtx, peersCtx context.Context
	nodeCtx, d.stopNode = context.WithCancel(context.Background())
	peersCtx, d.stopPeers = context.WithCancel(context.Background())
	go func() { d.peersDone <- peers.Run(peersCtx) }()
	go func() {
		defer close(d.nodeDone)
		d.node.Run(nodeCtx)
	}()
	return d, nil
}

// Ready reports whether the node serves callers.
func (d *Daemon) Ready() bool { return d.node.Ready() }

// Owns reports whether the node owns the shard of a pool.
func (d *Daemon) Owns(pool string) bool { return d.node.Owns(pool) }

// ConfigVersion returns the version of the configuration in force, or 0 if there is none yet.
func (d *Daemon) ConfigVersion() int64 {
	if c := d.node.Config(); c != nil {
		return c.Version
	}
	return 0
}

// Stop hands over the node's shards, keeps forwarding requests for forwardPeriod and returns when no request is in
// flight or the grace period is nearly over.
func (d *Daemon) Stop() {
	d.log.Event(jobmanager.LogEvent{Component: "node", Event: "stopping"})
	grace := time.Duration(d.settings.Limits.GraceS * float64(time.Second))
	ctx, cancel := context.WithTimeout(context.Background(), grace-shutdownReserve)
	defer cancel()
	forwardTimer := time.NewTimer(min(forwardPeriod, grace/2))
	defer forwardTimer.Stop()
	d.stopNode()
	<-d.nodeDone
	<-forwardTimer.C
	for _, server := range d.servers {
		if err := server.Shutdown(ctx); err != nil {
			d.log.Event(jobmanager.LogEvent{Component: "node", Event: "shutdown incomplete", Reason: err.Error()})
		}
	}
	d.shutDown()
}

// Kill stops the node immediately, as a machine failure would: no shard is handed over and open requests are not
// answered.
func (d *Daemon) Kill() {
	for _, server := range d.servers {
		// Close ends the listeners even if it returns an error.
		_ = server.Close()
	}
	d.shutDown()
}

func (d *Daemon) shutDown() {
	d.node.Close()
	d.workers.Close()
	d.relay.Close()
	d.stopPeers()
	if err := <-d.peersDone; err != nil {
		d.log.Event(jobmanager.LogEvent{Component: "peers", Event: "ended", Reason: err.Error()})
	}
	d.log.Event(jobmanager.LogEvent{Component: "node", Event: "stopped"})
	d.log.Close()
}

// newPeers opens the listener for peers. The links are served only after the daemon has set its other fields.
func (d *Daemon) newPeers() (*peer.Net, error) {
	s := d.settings
	l, err := net.Listen("tcp", s.Peers)
	if err != nil {
		return nil, errors.Wrap(err, "listen for peers")
	}
	return peer.New(peer.Config{
		Node: s.Node, Incarnation: uint64(time.Now().UnixNano()), Key: s.PeerKey, Listener: l, Protect: d.protect("peers", false),
		Heartbeat: func() peer.Heartbeat {
			return peer.Heartbeat{Node: s.Node, Zone: s.Zone, Draining: !d.node.Ready(), StrongMember: d.node.StrongMember()}
		},
		OnHeartbeat: func(from string, hb peer.Heartbeat) {
			d.workers.Heartbeat(from, hb)
			d.node.Heartbeat(hb)
		},
		OnLink: func(node string, up bool) { d.workers.LinkChanged(node, up) },
		OnPanic: func(_ string, reason error) {
			d.log.Event(jobmanager.LogEvent{Component: "peers", Event: "handler panicked", Reason: reason.Error()})
		},
	})
}

// newPlatform returns the platform adapter's implementations of the interfaces that a node uses.
func newPlatform(s *jobmanager.Settings, log *jobmanager.Log) jobmanager.Platform {
	client := platform.NewHTTPClient()
	store := platform.NewStore(client, s.Store)
	directory := platform.NewDirectory(store)
	directory.OnMalformed = func(err error) {
		log.Event(jobmanager.LogEvent{Component: "directory", Event: "entry ignored", Reason: err.Error()})
	}
	return jobmanager.Platform{
		Store: store, Group: store, Directory: directory, Operators: platform.NewOperatorSource(store, jobmanager.SystemClock{}, s.Limits.KeyRevocation()),
		Workers: platform.NewWorkers(platform.NewWorkerHTTPClient()), Machines: platform.NewMachines(client, s.Machines, store),
		Advisor: platform.NewAdvisor(client, s.Advice),
	}
}

// listen opens the listeners for callers, readiness checks and metrics.
func (d *Daemon) listen(callers *platform.CallerHandler) error {
	admin := http.NewServeMux()
	admin.HandleFunc("GET /metrics", d.node.Metrics)
	admin.Handle("POST /explain", platform.NewExplainHandler(d.node, jobmanager.SystemClock{}))
	readiness := http.NewServeMux()
	readiness.HandleFunc("GET /", callers.Readiness)
	handlers := []struct {
		name, addr  string
		handler     http.Handler
		decodesJSON bool
	}{
		{"callers", d.settings.Callers, callers, true},
		{"readiness", d.settings.Readiness, readiness, false},
		{"admin", d.settings.Admin, admin, true},
	}
	for _, h := range handlers {
		l, err := net.Listen("tcp", h.addr)
		if err != nil {
			return err
		}
		server := &http.Server{Handler: h.handler, ReadHeaderTimeout: headerTimeout}
		l = d.protect(h.name, h.decodesJSON)(server, l)
		d.servers = append(d.servers, server)
		// Serve always returns a non-nil error, also after Shutdown or Close.
		go func() { _ = server.Serve(l) }()
	}
	return nil
}
