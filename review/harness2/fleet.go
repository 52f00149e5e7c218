package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/berylwharf/berylwharf/platform/standin"
)

const (
	shardCount = 8
	// defaultStatusS is status_s of the sites.
	defaultStatusS = 120 * time.Second
	// startInterval is the time between the starts of two nodes; all start within 0.3 s.
	startInterval = 140 * time.Millisecond
	// moveTime is how long a machine takes to join another pool.
	moveTime = 1500 * time.Millisecond
	// storeLatency is how long the store takes to answer a worker.
	storeLatency = 4 * time.Millisecond
	// heartbeatInterval is how often a worker writes to the store.
	heartbeatInterval = 1500 * time.Millisecond
)

// poolOptions describes a pool of the deployment.
type poolOptions struct {
	name    string
	workers int
	standby bool
}

// options describe the deployment of a case.
type options struct {
	nodes  int
	pools  []poolOptions
	cpu    int64 // of a worker, in thousandths of a core
	config string
	// statusS is how long the state of a finished job is kept; the default is that of the sites.
	statusS time.Duration
	// eligible reports whether the advice service lets a worker run a step; nil if there is no advice service.
	eligible func(step, worker string) bool
}

// host is a machine; its worker changes with each move.
type host struct {
	id     string
	rack   string
	pool   string
	moving bool
	worker *worker
}

// fleet is the deployment: the stand-ins and the nodes.
type fleet struct {
	options options
	rec     *record
	store   *standin.Store
	group   *group
	nodes   []*node
	client  *http.Client
	servers []*http.Server
	// storeAddr is the address of the store.
	storeAddr string
	temp      string

	mu         sync.Mutex
	hosts      []*host
	workers    []*worker // all lives in order of their start
	nextWorker int
	closed     bool
}

func newFleet(o options, binary, logs string, rec *record) (*fleet, error) {
	f := &fleet{options: o, rec: rec, store: standin.NewStore(shardCount), group: newGroup(), client: newClient()}
	temp, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	f.temp = temp
	if logs == "" {
		logs = temp
	}
	if err := f.start(binary, logs); err != nil {
		f.close()
		return nil, err
	}
	return f, nil
}

// serve starts a stand-in server on a free loopback port and returns its address.
func (f *fleet) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	f.servers = append(f.servers, s)
	go func() { _ = s.Serve(l) }()
	return l.Addr().String(), nil
}

func (f *fleet) start(binary, logs string) error {
	storeAddr, err := f.serve(http.HandlerFunc(f.serveStore))
	if err != nil {
		return err
	}
	f.storeAddr = storeAddr
	machinesAddr, err := f.serve(http.HandlerFunc(f.serveMachines))
	if err != nil {
		return err
	}
	adviceAddr, err := f.serve(http.HandlerFunc(f.serveAdvice))
	if err != nil {
		return err
	}
	f.store.Put("keyed.op", "config", []byte(f.options.config))
	if err := f.startHosts(); err != nil {
		return err
	}
	for i := range f.options.nodes {
		n, err := startNode(fmt.Sprintf("edge-%d", i), binary, f.temp, logs, storeAddr, machinesAddr, adviceAddr, cmp.Or(f.options.statusS, defaultStatusS))
		if err != nil {
			return err
		}
		f.nodes = append(f.nodes, n)
		time.Sleep(startInterval)
	}
	for _, n := range f.nodes {
		if err := n.awaitReady(); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) startHosts() error {
	number := 0
	for _, p := range f.options.pools {
		for range p.workers {
			h := &host{id: fmt.Sprintf("m-%02d", number), rack: fmt.Sprintf("r1-%d", number/4), pool: p.name}
			f.hosts = append(f.hosts, h)
			number++
			if err := f.startWorker(h, "a"); err != nil {
				return err
			}
		}
	}
	return nil
}

// startWorker starts a new worker on a machine.
func (f *fleet) startWorker(h *host, kind string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return nil
	}
	f.nextWorker++
	w := &worker{
		fleet: f, id: fmt.Sprintf("i-%04d", f.nextWorker), pool: h.pool, rack: h.rack,
		capacity: capacity{CPU: f.options.cpu, MemMB: 262144},
	}
	h.worker, h.moving = w, false
	f.workers = append(f.workers, w)
	return w.start(kind)
}

// allRuns returns copies of all runs on all workers.
func (f *fleet) allRuns() []taskRun {
	f.mu.Lock()
	workers := append([]*worker(nil), f.workers...)
	f.mu.Unlock()
	var out []taskRun
	for _, w := range workers {
		out = append(out, w.copyRuns()...)
	}
	return out
}

// activeWorkers returns the present workers of all pools that are not on standby.
func (f *fleet) activeWorkers() []*worker {
	standby := make(map[string]bool)
	for _, p := range f.options.pools {
		standby[p.name] = p.standby
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*worker
	for _, h := range f.hosts {
		if !standby[h.pool] && !h.moving {
			out = append(out, h.worker)
		}
	}
	return out
}

func (f *fleet) close() {
	f.mu.Lock()
	f.closed = true
	workers := append([]*worker(nil), f.workers...)
	f.mu.Unlock()
	for _, n := range f.nodes {
		n.kill()
	}
	for _, w := range workers {
		w.crash()
	}
	for _, s := range f.servers {
		_ = s.Close()
	}
	_ = os.RemoveAll(f.temp)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// serveStore is the store. The group of the nodes is that of this harness, the rest the project's stand-in.
func (f *fleet) serveStore(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/berylwharf/log-join":
		f.group.join(w, r)
	case "/berylwharf/log-leave":
		f.group.leave(w, r)
	case "/berylwharf/log-owners":
		f.group.list(w)
	default:
		f.store.ServeHTTP(w, r)
	}
}

// serveMachines is the machine service.
func (f *fleet) serveMachines(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		f.listMachines(w)
		return
	}
	var o struct {
		Host string `json:"hostId"`
		Pool string `json:"pool"`
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil || r.URL.Path != "/berylwharf/machine-move" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	status, reply := f.move(o.Host, o.Pool)
	f.rec.line("machine service: move %s to %s, holder %s, token %s: %d", o.Host, o.Pool, r.Header.Get("X-Lease-Holder"), r.Header.Get("X-Fencing-Token"), status)
	writeJSON(w, status, reply)
}

func (f *fleet) listMachines(w http.ResponseWriter) {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := []map[string]any{}
	for _, h := range f.hosts {
		state := "up"
		if h.moving {
			state = "moving"
		}
		list = append(list, map[string]any{
			"hostId": h.id, "pool": h.pool, "state": state, "zone": "zone-a", "labels": []string{"a", h.rack},
			"capacity": capacity{CPU: f.options.cpu, MemMB: 262144}, "id": h.worker.id,
		})
	}
	writeJSON(w, http.StatusOK, map[string]any{"machines": list, "nextToken": nil})
}

// move starts to move a machine to a pool. Everything that runs on it ends at once.
func (f *fleet) move(id, pool string) (int, any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, h := range f.hosts {
		switch {
		case h.id != id:
			continue
		case h.pool == pool:
			return http.StatusOK, map[string]any{}
		case h.moving:
			return http.StatusConflict, map[string]any{"reason": "busy"}
		}
		h.pool, h.moving = pool, true
		old := h.worker
		go func() {
			old.crash()
			old.unregister()
			time.Sleep(moveTime)
			_ = f.startWorker(h, "a")
		}()
		return http.StatusOK, map[string]any{}
	}
	return http.StatusBadRequest, map[string]any{}
}

// serveAdvice is the advice service.
func (f *fleet) serveAdvice(w http.ResponseWriter, r *http.Request) {
	var q struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if json.NewDecoder(r.Body).Decode(&q) != nil || f.options.eligible == nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(20*time.Millisecond + time.Duration(len(q.Workers))*time.Millisecond)
	rows := [][]string{}
	for _, id := range q.Workers {
		if f.options.eligible(q.Step, id) {
			rows = append(rows, []string{id, q.Step + "@" + id})
		}
	}
	f.rec.line("advice on %s: %d of %d workers are eligible", q.Step, len(rows), len(q.Workers))
	writeJSON(w, http.StatusOK, map[string]any{"eligible": rows, "validMs": 3000})
}
