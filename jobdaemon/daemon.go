// Package jobdaemon assembles a node of the job manager: the callers' listener, readiness checks, metrics, peers and the
// adapter to the platform.
package jobdaemon

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/berylwharf/berylwharf/jobmanager"
	"github.com/berylwharf/berylwharf/peer"
	"github.com/berylwharf/berylwharf/platform"
)

const (
	// passOnFor is how long a stopping node still passes requests on, until callers have gone elsewhere.
	passOnFor = 2500 * time.Millisecond
	// headerTimeout bounds the reading of a request's header.
	headerTimeout = 5 * time.Second
	// stopReserve of the grace period is left unused, so that the process ends by itself.
	stopReserve = time.Second
)

// Daemon is a running node.
type Daemon struct {
	settings  *jobmanager.Settings
	log       *jobmanager.Log
	node      *jobmanager.Node
	servers   []*http.Server
	stopNode  context.CancelFunc
	nodeDone  chan struct{}
	stopPeers context.CancelFunc
	peersDone chan error
}

// Start opens the listeners and begins to serve. The log goes to out.
func Start(s *jobmanager.Settings, out io.Writer) (*Daemon, error) {
	log := jobmanager.NewLog(out, s.Node)
	log.Event(jobmanager.LogEvent{Part: "node", What: "starting"})
	peers, err := newPeers(s)
	if err != nil {
		return nil, err
	}
	clock := jobmanager.SystemClock{}
	d := &Daemon{settings: s, log: log, nodeDone: make(chan struct{}), peersDone: make(chan error, 1)}
	d.node = jobmanager.NewNode(s, connect(s, log), peers, clock, log)
	if err := d.listen(platform.NewFront(d.node, clock, log)); err != nil {
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

// Ready tells whether the node serves callers.
func (d *Daemon) Ready() bool { return d.node.Ready() }

// Owns tells whether the node schedules a pool.
func (d *Daemon) Owns(pool string) bool { return d.node.Owns(pool) }

// Stop hands the node's shards over, passes requests on for a while, and ends when nothing is in flight.
func (d *Daemon) Stop() {
	d.log.Event(jobmanager.LogEvent{Part: "node", What: "stopping"})
	grace := time.Duration(d.settings.Bounds.GraceS * float64(time.Second))
	ctx, cancel := context.WithTimeout(context.Background(), grace-stopReserve)
	defer cancel()
	passOn := time.NewTimer(min(passOnFor, grace/2))
	defer passOn.Stop()
	d.stopNode()
	<-d.nodeDone
	<-passOn.C
	for _, server := range d.servers {
		if err := server.Shutdown(ctx); err != nil {
			d.log.Event(jobmanager.LogEvent{Part: "node", What: "requests cut off", Why: err.Error()})
		}
	}
	d.end()
}

// Kill ends the node at once, as the loss of its machine does: nothing is handed over or answered.
func (d *Daemon) Kill() {
	for _, server := range d.servers {
		// The listeners end anyway.
		_ = server.Close()
	}
	d.end()
}

func (d *Daemon) end() {
	d.node.Close()
	d.stopPeers()
	if err := <-d.peersDone; err != nil {
		d.log.Event(jobmanager.LogEvent{Part: "peers", What: "ended", Why: err.Error()})
	}
	d.log.Event(jobmanager.LogEvent{Part: "node", What: "stopped"})
	d.log.Close()
}

func newPeers(s *jobmanager.Settings) (*peer.Net, error) {
	l, err := net.Listen("tcp", s.Peers)
	if err != nil {
		return nil, errors.Wrap(err, "peers")
	}
	return peer.New(peer.Config{
		Node: s.Node, Incarnation: uint64(time.Now().UnixNano()), Key: s.PeerKey, Listener: l,
		Heartbeat:   func() peer.Heartbeat { return peer.Heartbeat{Node: s.Node, Zone: s.Zone} },
		OnHeartbeat: func(string, peer.Heartbeat) {},
	})
}

// connect returns the adapter's implementations of what a node needs.
func connect(s *jobmanager.Settings, log *jobmanager.Log) jobmanager.Platform {
	client := platform.NewHTTPClient()
	store := platform.NewStore(client, s.Store)
	directory := platform.NewDirectory(store)
	directory.OnMalformed = func(err error) {
		log.Event(jobmanager.LogEvent{Part: "directory", What: "entry ignored", Why: err.Error()})
	}
	return jobmanager.Platform{
		Store: store, Group: store, Directory: directory, Operators: platform.NewOperatorSource(store),
		Workers: platform.NewWorkers(client), Machines: platform.NewMachines(client, s.Machines, store),
		Advisor: platform.NewAdvisor(client, s.Advice),
	}
}

// listen opens the listeners for callers, readiness checks and metrics.
func (d *Daemon) listen(front *platform.Front) error {
	admin := http.NewServeMux()
	admin.HandleFunc("GET /metrics", d.node.Metrics)
	readiness := http.NewServeMux()
	readiness.HandleFunc("GET /", front.Readiness)
	handlers := []struct {
		addr    string
		handler http.Handler
	}{{d.settings.Callers, front}, {d.settings.Readiness, readiness}, {d.settings.Admin, admin}}
	for _, h := range handlers {
		l, err := net.Listen("tcp", h.addr)
		if err != nil {
			return err
		}
		server := &http.Server{Handler: h.handler, ReadHeaderTimeout: headerTimeout}
		d.servers = append(d.servers, server)
		// Serve always returns an error after Shutdown or Close, which end it.
		go func() { _ = server.Serve(l) }()
	}
	return nil
}
