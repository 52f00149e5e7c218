package main

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v2"

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

// jobsCommand runs a node of the job manager.
func jobsCommand() *cli.Command {
	return &cli.Command{
		Name:  "jobs",
		Usage: "run a node of the job manager on a platform",
		Flags: []cli.Flag{&cli.StringFlag{
			Name: "settings", Usage: "settings file", EnvVars: []string{"BERYLWHARF_SETTINGS"}, Required: true,
		}},
		Action: runJobs,
	}
}

func runJobs(c *cli.Context) error {
	settings, err := jobmanager.LoadSettings(c.String("settings"))
	if err != nil {
		return cli.Exit(err.Error(), exitSettings)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	// Settings are read at the start; a hang-up must not end the process.
	signal.Ignore(syscall.SIGHUP)
	return errors.Wrap(serveJobs(ctx, settings), "berylwharfd jobs")
}

// serveJobs runs a node until the context ends, and then stops gracefully.
func serveJobs(ctx context.Context, s *jobmanager.Settings) error {
	log := jobmanager.NewLog(os.Stdout, s.Node)
	defer log.Close()
	log.Event(jobmanager.LogEvent{Part: "node", What: "starting"})
	peerListener, err := net.Listen("tcp", s.Peers)
	if err != nil {
		return errors.Wrap(err, "peers")
	}
	peers, err := peer.New(peer.Config{
		Node: s.Node, Incarnation: uint64(time.Now().UnixNano()), Key: s.PeerKey, Listener: peerListener,
		Heartbeat:   func() peer.Heartbeat { return peer.Heartbeat{Node: s.Node, Zone: s.Zone} },
		OnHeartbeat: func(string, peer.Heartbeat) {},
	})
	if err != nil {
		return err
	}
	clock := jobmanager.SystemClock{}
	node := jobmanager.NewNode(s, connect(s, log), peers, clock, log)
	front := platform.NewFront(node, clock, log)

	servers, err := listen(s, node, front)
	if err != nil {
		return err
	}
	peersCtx, stopPeers := context.WithCancel(context.Background())
	peersDone := make(chan error, 1)
	go func() { peersDone <- peers.Run(peersCtx) }()

	node.Run(ctx)
	log.Event(jobmanager.LogEvent{Part: "node", What: "stopping"})
	shutdown(s, servers, log)
	node.Close()
	stopPeers()
	<-peersDone
	return nil
}

// connect returns the adapter's implementations of what a node needs.
func connect(s *jobmanager.Settings, log *jobmanager.Log) jobmanager.Platform {
	client := platform.NewHTTPClient()
	store := platform.NewStore(client, s.Store)
	directory := platform.NewDirectory(platform.NewStore(client, s.Store))
	directory.OnMalformed = func(err error) {
		log.Event(jobmanager.LogEvent{Part: "directory", What: "entry ignored", Why: err.Error()})
	}
	return jobmanager.Platform{
		Store: store, Group: store, Directory: directory, Operators: platform.NewOperatorSource(store),
		Workers: platform.NewWorkers(client), Machines: platform.NewMachines(client, s.Machines, store),
	}
}

// listen opens the listeners for callers, readiness checks and metrics.
func listen(s *jobmanager.Settings, node *jobmanager.Node, front *platform.Front) ([]*http.Server, error) {
	admin := http.NewServeMux()
	admin.HandleFunc("GET /metrics", node.Metrics)
	readiness := http.NewServeMux()
	readiness.HandleFunc("GET /", front.Readiness)
	handlers := []struct {
		addr    string
		handler http.Handler
	}{{s.Callers, front}, {s.Readiness, readiness}, {s.Admin, admin}}
	var servers []*http.Server
	for _, h := range handlers {
		l, err := net.Listen("tcp", h.addr)
		if err != nil {
			return nil, err
		}
		server := &http.Server{Handler: h.handler, ReadHeaderTimeout: headerTimeout}
		servers = append(servers, server)
		// Serve always returns an error after Shutdown or Close, which end it.
		go func() { _ = server.Serve(l) }()
	}
	return servers, nil
}

// shutdown passes requests on for a while, and then ends the servers when nothing is in flight.
func shutdown(s *jobmanager.Settings, servers []*http.Server, log *jobmanager.Log) {
	grace := time.Duration(s.Bounds.GraceS * float64(time.Second))
	wait := min(passOnFor, grace/2)
	time.Sleep(wait)
	ctx, cancel := context.WithTimeout(context.Background(), grace-wait-stopReserve)
	defer cancel()
	for _, server := range servers {
		if err := server.Shutdown(ctx); err != nil {
			log.Event(jobmanager.LogEvent{Part: "node", What: "requests cut off", Why: err.Error()})
		}
	}
}
