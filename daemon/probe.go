package daemon

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/berylwharf/berylwharf/platform"
)

const (
	probeInterval = time.Second
	probeTimeout  = 800 * time.Millisecond
	// probeWorkers bounds the probes in flight. 139 workers a node at the design size take 5 rounds of 32.
	probeWorkers = 32
)

// prober asks backend servers for /healthz on a new connection each second. A 503 means that the server is leaving and
// must get no new work, whatever the VM list says. A failed probe alone changes nothing: the request path learns from its
// own dials, and a slow server is not a dead one.
type prober struct {
	client  *http.Client
	log     *logrus.Entry
	changed chan<- struct{}

	mu      sync.Mutex
	targets []platform.VM
	leaving map[string]bool
}

func newProber(log *logrus.Entry, changed chan<- struct{}) *prober {
	transport := &http.Transport{DisableKeepAlives: true}
	return &prober{
		client:  &http.Client{Transport: transport, Timeout: probeTimeout},
		log:     log,
		changed: changed,
		leaving: make(map[string]bool),
	}
}

// setTargets replaces the probed workers.
func (p *prober) setTargets(vms []platform.VM) {
	var workers []platform.VM
	listed := make(map[string]bool)
	for _, vm := range vms {
		if vm.Role == platform.RoleWorker {
			workers = append(workers, vm)
			listed[vm.Name] = true
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.targets = workers
	for name := range p.leaving {
		if !listed[name] {
			delete(p.leaving, name)
		}
	}
}

// isLeaving reports whether the VM's backend server said that it is leaving.
func (p *prober) isLeaving(vm string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.leaving[vm]
}

func (p *prober) run(ctx context.Context) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		p.round(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// round probes all targets, at most probeWorkers at a time.
func (p *prober) round(ctx context.Context) {
	p.mu.Lock()
	targets := p.targets
	p.mu.Unlock()
	slots := make(chan struct{}, probeWorkers)
	var wg sync.WaitGroup
	for _, vm := range targets {
		slots <- struct{}{}
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer func() { <-slots }()
			p.probe(ctx, vm)
		}()
	}
	wg.Wait()
}

func (p *prober) probe(ctx context.Context, vm platform.VM) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+vm.Addr+"/healthz", http.NoBody)
	if err != nil {
		p.log.Warnf("health: address of %s is not usable: %v", vm.Name, err)
		return
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return
	}
	_ = resp.Body.Close()
	p.record(vm.Name, resp.StatusCode == http.StatusServiceUnavailable)
}

func (p *prober) record(vm string, leaving bool) {
	p.mu.Lock()
	was := p.leaving[vm]
	if leaving {
		p.leaving[vm] = true
	} else {
		delete(p.leaving, vm)
	}
	p.mu.Unlock()
	if was == leaving {
		return
	}
	if leaving {
		p.log.Infof("health: backend server on %s reports that it is leaving", vm)
	} else {
		p.log.Infof("health: backend server on %s is back", vm)
	}
	notify(p.changed)
}

// notify wakes the receiver of a channel with a buffer of one. A pending notification covers later ones.
func notify(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
