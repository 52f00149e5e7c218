package daemon

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/berylwharf/berylwharf/platform"
	"github.com/berylwharf/berylwharf/routing"
)

const (
	probeInterval = time.Second
	probeTimeout  = 800 * time.Millisecond
	// probeWorkers bounds the probes in flight. 139 workers a node at the design size take 5 rounds of 32.
	probeWorkers = 32
)

// prober asks backend servers for /healthz on a new connection each second and reports the result. A 503 means that the
// server is leaving and must get no new work, whatever the VM list says.
type prober struct {
	client *http.Client
	log    logrus.FieldLogger
	report func(vm string, p routing.Probe)

	mu      sync.Mutex
	targets []platform.VM
	last    map[string]routing.Probe
}

func newProber(log logrus.FieldLogger, report func(vm string, p routing.Probe)) *prober {
	return &prober{
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: probeTimeout},
		log:    log,
		report: report,
		last:   make(map[string]routing.Probe),
	}
}

// setTargets replaces the probed workers and forgets results of those that are no longer listed.
func (p *prober) setTargets(vms []platform.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.last
	p.targets = nil
	p.last = make(map[string]routing.Probe)
	for _, vm := range vms {
		if vm.Role != platform.RoleWorker {
			continue
		}
		p.targets = append(p.targets, vm)
		if result, ok := old[vm.Name]; ok {
			p.last[vm.Name] = result
		}
	}
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
	permits := make(chan struct{}, probeWorkers)
	var wg sync.WaitGroup
	for _, vm := range targets {
		permits <- struct{}{}
		wg.Go(func() {
			defer func() { <-permits }()
			p.record(vm.Name, p.probe(ctx, vm))
		})
	}
	wg.Wait()
}

func (p *prober) probe(ctx context.Context, vm platform.VM) routing.Probe {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+vm.Addr+"/healthz", http.NoBody)
	if err != nil {
		p.log.Warnf("health: address of %s is not usable: %v", vm.Name, err)
		return routing.ProbeUnknown
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return routing.ProbeDead
	}
	_ = resp.Body.Close()
	if resp.StatusCode == http.StatusServiceUnavailable {
		return routing.ProbeLeaving
	}
	return routing.ProbeAlive
}

func (p *prober) record(vm string, result routing.Probe) {
	p.mu.Lock()
	changed := p.last[vm] != result
	p.last[vm] = result
	p.mu.Unlock()
	if changed {
		p.log.Infof("health: backend server on %s is %s", vm, probeWords[result])
	}
	p.report(vm, result)
}

var probeWords = map[routing.Probe]string{
	routing.ProbeUnknown: "in an unknown state",
	routing.ProbeAlive:   "alive",
	routing.ProbeDead:    "not answering",
	routing.ProbeLeaving: "leaving",
}
