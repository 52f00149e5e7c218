// Command harness plays one case of the review: it starts nodes of the job manager as processes, and stand-ins of the
// platform's store, its machine service, its workers and the requesters, all on loopback addresses. It exits with 1 if the
// rule was broken, with 0 if it held, and with 2 if the case could not run.
package main

import (
	"context"
	"flag"
	"fmt"
	"net/http/httptest"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// warmUp is the time from the start of the nodes to the first request.
const warmUp = 5 * time.Second

// maxPlay is the longest time that a case may take.
const maxPlay = 115 * time.Second

// plays holds the cases by name. A play returns the breaks of its rule.
var plays = map[string]func(*world, bool) ([]string, error){
	"many-ends":     playManyEnds,
	"two-owners":    playTwoOwners,
	"dropped-route": playDroppedRoute,
	"moved-route":   playMovedRoute,
}

// world holds everything that a case starts.
type world struct {
	dir, binary string
	record      *recorder
	store       *store
	storeServer *httptest.Server
	machines    *httptest.Server
	workers     []*worker
	nodes       []*node
	requester   *requester
}

func main() {
	name := flag.String("case", "", "name of the case")
	trouble := flag.Bool("trouble", true, "play the disruption")
	binary := flag.String("node", "target/berylwharfd", "the node's program")
	recordPath := flag.String("record", "record.txt", "file that is written")
	keep := flag.String("keep", "", "folder for the nodes' settings and logs; a temporary one by default")
	flag.Parse()
	os.Exit(play(*name, *trouble, *binary, *recordPath, *keep))
}

func play(name string, trouble bool, binary, recordPath, dir string) int {
	run := plays[name]
	if run == nil {
		fmt.Fprintf(os.Stderr, "no case %q\n", name)
		return exitNotRun
	}
	if dir == "" {
		temporary, err := os.MkdirTemp("", "review-")
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitNotRun
		}
		defer func() { _ = os.RemoveAll(temporary) }()
		dir = temporary
	}
	absolute, err := filepath.Abs(binary)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	r, err := newRecorder(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	w := &world{dir: dir, binary: absolute, record: r, store: newStore(r)}
	defer w.close()
	breaks, err := runInTime(w, run, trouble)
	if err != nil {
		r.add("result", "not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	for _, b := range breaks {
		r.add("broken", "%s", b)
	}
	r.add("result", "%d breaks of the rule", len(breaks))
	fmt.Printf("%s, trouble %v: %d breaks of the rule\n", name, trouble, len(breaks))
	for _, b := range breaks[:min(len(breaks), 5)] {
		fmt.Println("  " + b)
	}
	if len(breaks) > 0 {
		return exitBroken
	}
	return exitHeld
}

// runInTime plays a case. It gives up after maxPlay, or when the harness is told to stop.
func runInTime(w *world, run func(*world, bool) ([]string, error), trouble bool) ([]string, error) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, maxPlay)
	defer cancel()
	type result struct {
		breaks []string
		err    error
	}
	done := make(chan result, 1)
	go func() {
		breaks, err := run(w, trouble)
		done <- result{breaks, err}
	}()
	select {
	case r := <-done:
		return r.breaks, r.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// open starts the workers and nodes. Config is the first configuration.
func (w *world) open(nodes int, pools map[string]int, config []byte) error {
	w.storeServer = httptest.NewServer(w.store)
	for pool, count := range pools {
		for i := range count {
			w.workers = append(w.workers, newWorker(fmt.Sprintf("i-%s-%d", pool, i), pool, w.record))
		}
	}
	for _, x := range w.workers {
		w.store.log.Put(serversTopic, x.id, x.entry(1))
	}
	w.machines = httptest.NewServer(&machineService{workers: w.workers, record: w.record})
	w.publishConfig(config)
	for i := range nodes {
		n, err := newNode(w.binary, w.dir, fmt.Sprintf("edge-%d", i+1), w.storeServer.Listener.Addr().String(), w.machines.Listener.Addr().String(), w.record)
		if err != nil {
			return err
		}
		w.nodes = append(w.nodes, n)
	}
	for _, n := range w.nodes {
		if err := n.awaitReady(); err != nil {
			return err
		}
	}
	w.requester = newRequester(w.nodes, w.record)
	time.Sleep(warmUp)
	return nil
}

// publishConfig writes a version of the configuration.
func (w *world) publishConfig(value []byte) {
	w.store.log.Put(opTopic, "config", value)
	w.record.add("operator", "configuration: %s", value)
}

func (w *world) close() {
	for _, n := range w.nodes {
		n.kill()
		_ = n.log.Close()
	}
	for _, x := range w.workers {
		x.close()
	}
	for _, s := range []*httptest.Server{w.storeServer, w.machines} {
		if s != nil {
			s.CloseClientConnections()
		}
	}
}
