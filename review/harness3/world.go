package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/berylwharf/berylwharf/platform/standin"
)

const (
	// storeParts is the number of partitions of a topic.
	storeParts = 32
	// recordBytes is the size of the largest record that the store accepts.
	recordBytes = 262144
	// pingInterval is the time between two entries of a worker in the store.
	pingInterval = 1500 * time.Millisecond
	// callTimeout is how long a client waits for an answer.
	callTimeout = 3 * time.Second
	// grace is the time from SIGTERM to SIGKILL.
	grace = 6 * time.Second
	// startGap is the time between the starts of two nodes. All start within 0.3 s.
	startGap = 120 * time.Millisecond
	// queueHost is the host of all queues.
	queueHost = "queues.example"
)

// world is a small deployment: the platform's store and machine service, the workers, the nodes and the clients.
type world struct {
	record   *record
	dir      string
	binary   string
	store    *standin.Store
	front    *storeFront
	storeSrv *httptest.Server
	machines *machines
	nodes    []*node
	client   *http.Client
	stop     context.CancelFunc
	ctx      context.Context

	mu      sync.Mutex
	workers []*worker // all that ever lived
	nextJob int
}

func newWorld(binary string) (*world, error) {
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, errors.Wrap(err, "temporary folder")
	}
	w := &world{record: newRecord(), dir: dir, binary: binary, store: standin.NewStore(storeParts), client: &http.Client{Timeout: callTimeout}}
	w.ctx, w.stop = context.WithCancel(context.Background())
	w.store.RecordBytes = recordBytes
	w.front = newStoreFront(w.store, w.record)
	w.storeSrv = httptest.NewServer(w.front)
	w.machines = newMachines(w)
	go w.ping()
	return w, nil
}

// close ends all processes and stand-ins.
func (w *world) close(keep bool) {
	w.stop()
	for _, n := range w.nodes {
		n.kill()
	}
	for _, k := range w.allWorkers() {
		_ = k.server.Close()
	}
	w.machines.server.CloseClientConnections()
	w.storeSrv.CloseClientConnections()
	if keep {
		fmt.Println("logs:", w.dir)
		return
	}
	_ = os.RemoveAll(w.dir)
}

// startNodes starts count nodes and waits until all are ready.
func (w *world) startNodes(count int) error {
	const share = 0.4
	return w.startNodesWith(slices.Repeat([]float64{share}, count))
}

// startNodesWith starts nodes with the given shares of a core and waits until all are ready.
func (w *world) startNodesWith(shares []float64) error {
	for i, share := range shares {
		n, err := newNode(w.dir, w.binary, fmt.Sprintf("edge-%d", i), share, w.storeSrv.Listener.Addr().String(), w.machines.server.Listener.Addr().String())
		if err != nil {
			return err
		}
		if err := n.start(); err != nil {
			return err
		}
		w.nodes = append(w.nodes, n)
		time.Sleep(startGap)
	}
	for _, n := range w.nodes {
		if err := n.awaitReady(); err != nil {
			return err
		}
	}
	return nil
}

// addWorker starts a worker and registers it in the store.
func (w *world) addWorker(id, pool, host string, labels []string, b behavior) (*worker, error) {
	k, err := newWorker(id, pool, host, labels, w.record, b)
	if err != nil {
		return nil, err
	}
	w.mu.Lock()
	w.workers = append(w.workers, k)
	w.mu.Unlock()
	w.store.Put("keyed.servers", id, k.entry(1))
	w.record.add("worker %s of %s joins %s", id, host, pool)
	return k, nil
}

// removeWorker ends the life of a worker and removes its entry.
func (w *world) removeWorker(k *worker, why string) {
	k.leave(why)
	w.store.Put("keyed.servers", k.id, nil)
}

func (w *world) allWorkers() []*worker {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]*worker(nil), w.workers...)
}

// ping repeats the entries of the workers in the store.
func (w *world) ping() {
	for seq := 2; ; seq++ {
		select {
		case <-w.ctx.Done():
			return
		case <-time.After(pingInterval):
		}
		for _, k := range w.allWorkers() {
			if !k.hasLeft() {
				w.store.Put("keyed.servers", k.id, k.entry(seq))
			}
		}
	}
}

// route is a queue of the configuration.
type route struct{ name, pool string }

// configure writes version 1 of the configuration.
func (w *world) configure(routes []route, services map[string]bool) {
	type object = map[string]any
	var rs, ss []object
	for _, r := range routes {
		rs = append(rs, object{
			"name": r.name, "host": queueHost, "pathPrefix": "/" + r.name + "/", "backend": r.pool, "timeoutMs": 3000, "attempts": 3, "priority": 0,
			"slackFactor": 4.0, "sloMs": 2000,
		})
	}
	for name, standby := range services {
		ss = append(ss, object{"name": name, "standby": standby})
	}
	b, _ := json.Marshal(object{"version": 1, "routes": rs, "services": ss, "limits": object{"maxBodyBytes": 262144}})
	w.store.Put("keyed.op", "config", b)
}

// step is a step of a job, as the pages write it.
type step struct {
	Count        int   `json:"count"`
	CPU          int   `json:"cpu,omitempty"`
	MemMB        int   `json:"memMb,omitempty"`
	EstimateMs   int   `json:"estimateMs,omitempty"`
	DependsOn    []int `json:"dependsOn,omitempty"`
	MaxPerServer int   `json:"maxPerServer,omitempty"`
	Daemon       bool  `json:"daemon,omitempty"`
	MissBudget   int   `json:"missBudget,omitempty"`
	// Checkpointable work units save their progress.
	Checkpointable bool `json:"checkpointable,omitempty"`
}

// jobBody is the body of a submission.
type jobBody struct {
	Spec        string `json:"spec"`
	Steps       []step `json:"steps"`
	RepeatCount int    `json:"repeatCount,omitempty"`
	StartAtMs   int64  `json:"startAtMs,omitempty"`
	IntervalMs  int64  `json:"intervalMs,omitempty"`
}

// newJobID returns a new identifier of 16 hexadecimal digits. The identifiers are spread evenly.
func (w *world) newJobID() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nextJob++
	const golden = 0x9e3779b97f4a7c15
	return fmt.Sprintf("%016x", uint64(w.nextJob)*golden)
}

// call sends a request of a client to a node. The status is 0 without an answer.
func (w *world) call(n *node, method, queue, id string, body any) (int, []byte) {
	data, _ := json.Marshal(body)
	if body == nil {
		data = nil
	}
	req, err := http.NewRequestWithContext(w.ctx, method, "http://"+n.front+"/"+queue+"/"+id, bytes.NewReader(data))
	if err != nil {
		return 0, nil
	}
	req.Host = queueHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(callTimeout.Milliseconds()))
	sentAt := time.Now()
	resp, err := w.client.Do(req)
	if err != nil {
		w.record.add("client: %s %s/%s sent to %s at %.3f: no answer", method, queue, id, n.name, w.record.seconds(sentAt))
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	answer, _ := io.ReadAll(resp.Body)
	w.record.add("client: %s %s/%s sent to %s at %.3f: %d %.60s", method, queue, id, n.name, w.record.seconds(sentAt), resp.StatusCode, answer)
	return resp.StatusCode, answer
}

// maxTries is how often a client sends a request, each time to the next node.
const maxTries = 5

// callUntil sends a request until it is answered with success, to another node each time.
func (w *world) callUntil(method, queue, id string, body any) error {
	for try := range maxTries {
		status, _ := w.call(w.nodes[try%len(w.nodes)], method, queue, id, body)
		if status == http.StatusOK {
			return nil
		}
		time.Sleep(time.Second)
	}
	return errors.Errorf("%s %s/%s was not answered with success", method, queue, id)
}

// concurrently calls f for 0 to count-1, a few at a time, and returns an error of them.
func concurrently(count int, f func(i int) error) error {
	const atOnce = 16
	slots := make(chan struct{}, atOnce)
	failures := make(chan error, count)
	var wg sync.WaitGroup
	for i := range count {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			if err := f(i); err != nil {
				failures <- err
			}
		})
	}
	wg.Wait()
	close(failures)
	return <-failures
}
