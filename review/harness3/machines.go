package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"time"
)

const (
	// moveTime and upkeepTime are the times until a machine is back (bounds migrateS and maintenanceS).
	moveTime   = 1500 * time.Millisecond
	upkeepTime = 2 * time.Second
)

// machine is a machine of the platform.
type machine struct {
	host, pool, state string
	labels            []string
	worker            *worker
	waves             map[int64]bool // whose upkeep has begun
	lives             int
}

// machines is the platform's machine service.
type machines struct {
	world    *world
	server   *httptest.Server
	behavior behavior

	mu     sync.Mutex
	hosts  []*machine
	silent bool // calls get no answer and have no effect
	// onMove is called after each order that is carried out.
	onOrder func(host, what string)
}

func newMachines(w *world) *machines {
	m := &machines{world: w, onOrder: func(string, string) {}}
	m.server = httptest.NewServer(m)
	return m
}

// add adds a machine with its first worker.
func (m *machines) add(host, pool, rack string) error {
	h := &machine{host: host, pool: pool, state: "up", labels: []string{"a", rack}, waves: make(map[int64]bool)}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.hosts = append(m.hosts, h)
	return m.newLife(h)
}

// newLife starts a worker on a machine. The caller holds m.mu.
func (m *machines) newLife(h *machine) error {
	h.lives++
	k, err := m.world.addWorker(fmt.Sprintf("w-%s-%d", h.host, h.lives), h.pool, h.host, h.labels, m.behavior)
	h.worker = k
	return err
}

// setSilent begins or ends an outage.
func (m *machines) setSilent(on bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.silent = on
	m.world.record.add("the machine service is silent: %v", on)
}

// inPool returns the hosts of a pool.
func (m *machines) inPool(pool string) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []string
	for _, h := range m.hosts {
		if h.pool == pool {
			out = append(out, h.host)
		}
	}
	return out
}

// inRacks returns the hosts of racks.
func (m *machines) inRacks(racks []string) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []string
	for _, h := range m.hosts {
		if slices.Contains(racks, h.labels[1]) {
			out = append(out, h.host)
		}
	}
	return out
}

// ServeHTTP implements http.Handler.
func (m *machines) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	m.mu.Lock()
	silent := m.silent
	m.mu.Unlock()
	if silent {
		<-r.Context().Done()
		return
	}
	if r.Method == http.MethodGet {
		m.list(rw)
		return
	}
	var o struct {
		HostID string `json:"hostId"`
		Pool   string `json:"pool"`
		Wave   int64  `json:"wave"`
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	m.mu.Lock()
	i := slices.IndexFunc(m.hosts, func(h *machine) bool { return h.host == o.HostID })
	if i < 0 {
		m.mu.Unlock()
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	status, reason, did := m.carryOut(m.hosts[i], o.Pool, o.Wave)
	what := "move to " + o.Pool
	if o.Pool == "" {
		what = fmt.Sprintf("upkeep of wave %d", o.Wave)
	}
	m.world.record.add("machine %s: order by %s, fence %s: %s: %d %s", o.HostID, r.Header.Get("X-Lease-Holder"), r.Header.Get("X-Fencing-Token"), what, status, reason)
	onOrder := m.onOrder
	m.mu.Unlock()
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(map[string]any{"reason": reason})
	if did {
		onOrder(o.HostID, what)
	}
}

func (m *machines) list(rw http.ResponseWriter) {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := []map[string]any{}
	for _, h := range m.hosts {
		out = append(out, map[string]any{
			"hostId": h.host, "pool": h.pool, "state": h.state, "zone": "z", "labels": h.labels, "id": h.worker.id,
			"capacity": map[string]any{"cpu": 64000, "memMb": 262144, "gpu": 0},
		})
	}
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(map[string]any{"machines": out, "nextToken": nil})
}

// carryOut carries out an order: a move if pool is set, otherwise an upkeep. It reports whether anything was done. The caller
// holds m.mu.
func (m *machines) carryOut(h *machine, pool string, wave int64) (status int, reason string, did bool) {
	if (pool != "" && h.pool == pool) || (pool == "" && h.waves[wave]) {
		return http.StatusOK, "", false
	}
	if h.state != "up" {
		return http.StatusConflict, "busy", false
	}
	away := upkeepTime
	h.state = "upkeep"
	if pool != "" {
		h.state, h.pool, away = "moving", pool, moveTime
	} else {
		h.waves[wave] = true
	}
	m.world.removeWorker(h.worker, "machine order")
	time.AfterFunc(away, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.world.ctx.Err() != nil {
			return
		}
		h.state = "up"
		if err := m.newLife(h); err != nil {
			m.world.record.add("machine %s: %v", h.host, err)
		}
	})
	return http.StatusOK, "", true
}
