package daemon

import (
	"context"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/berylwharf/berylwharf/peer"
	"github.com/berylwharf/berylwharf/routing"
	"github.com/berylwharf/berylwharf/vmapi"
)

const (
	// minProbePeriod is the shortest time between two probes of the same worker. It applies if a node probes few workers.
	minProbePeriod = time.Second
	// maxProbeRate limits the probes per second of one node. A probe takes 216 bytes on the wire, and the control traffic of a
	// node is limited to 2 KB/s. Of 50 workers, each is probed every 1.6 s by 8 nodes and every 2.5 s by 5 nodes.
	maxProbeRate = 4
	probeTimeout = 800 * time.Millisecond
)

// prober checks the health of backend servers. It requests /healthz, each time on a new connection, from the workers of
// which this node is the home node, and gets the results for the other workers from their home nodes. Status 503 means that
// the server is leaving and must get no new work, even if the VM list still reports it as live.
type prober struct {
	client     *http.Client
	log        logrus.FieldLogger
	isHomeNode func(vm string) bool
	report     func(vm string, p routing.Probe)

	mu      sync.Mutex
	targets []vmapi.VM
	results map[string]routing.Probe            // results of this node's own probes, by VM
	remote  map[string]map[string]routing.Probe // unhealthy workers by home node, then by VM
}

func newProber(log logrus.FieldLogger, isHomeNode func(vm string) bool, report func(vm string, p routing.Probe)) *prober {
	return &prober{
		client:     &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: probeTimeout},
		log:        log,
		isHomeNode: isHomeNode,
		report:     report,
		results:    make(map[string]routing.Probe),
		remote:     make(map[string]map[string]routing.Probe),
	}
}

// setTargets replaces the list of workers and discards the results of workers that are no longer listed.
func (p *prober) setTargets(vms []vmapi.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	previous := p.results
	p.targets = nil
	p.results = make(map[string]routing.Probe)
	for _, vm := range vms {
		if vm.Role != vmapi.RoleWorker {
			continue
		}
		p.targets = append(p.targets, vm)
		if result, ok := previous[vm.Name]; ok {
			p.results[vm.Name] = result
		}
	}
}

// run probes all targets once per period until ctx is done. The probes are spread evenly over the period.
func (p *prober) run(ctx context.Context) {
	for ctx.Err() == nil {
		targets := p.homeNodeTargets()
		period := probePeriod(len(targets))
		if len(targets) == 0 {
			sleepContext(ctx, period)
			continue
		}
		var probes sync.WaitGroup
		for _, vm := range targets {
			probes.Go(func() { p.recordResult(vm.Name, p.probe(ctx, vm)) })
			sleepContext(ctx, period/time.Duration(len(targets)))
		}
		probes.Wait()
	}
}

func probePeriod(workers int) time.Duration {
	return max(minProbePeriod, time.Duration(workers)*time.Second/maxProbeRate)
}

func sleepContext(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// homeNodeTargets returns the workers that this node has to probe, and discards the results of workers that now have
// another home node.
func (p *prober) homeNodeTargets() []vmapi.VM {
	p.mu.Lock()
	targets := p.targets
	p.mu.Unlock()
	var homeTargets []vmapi.VM
	for _, vm := range targets {
		if p.isHomeNode(vm.Name) {
			homeTargets = append(homeTargets, vm)
			continue
		}
		p.mu.Lock()
		delete(p.results, vm.Name)
		p.mu.Unlock()
	}
	return homeTargets
}

func (p *prober) probe(ctx context.Context, vm vmapi.VM) routing.Probe {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+vm.Addr+"/healthz", http.NoBody)
	if err != nil {
		p.log.Warnf("health: address of VM %s is invalid: %v", vm.Name, err)
		return routing.ProbeUnknown
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return routing.ProbeFailed
	}
	_ = resp.Body.Close()
	if resp.StatusCode == http.StatusServiceUnavailable {
		return routing.ProbeLeaving
	}
	return routing.ProbeAlive
}

func (p *prober) recordResult(vm string, result routing.Probe) {
	p.mu.Lock()
	changed := p.results[vm] != result
	p.results[vm] = result
	p.mu.Unlock()
	if changed {
		p.log.Infof("health: backend server on %s is %s", vm, probeDescriptions[result])
	}
	p.report(vm, result)
}

// unhealthy returns the workers whose probe at this node failed or that are leaving, sorted by name. Heartbeats report
// them to the other nodes.
func (p *prober) unhealthy() []peer.WorkerHealth {
	p.mu.Lock()
	defer p.mu.Unlock()
	var workers []peer.WorkerHealth
	for vm, result := range p.results {
		if result == routing.ProbeFailed || result == routing.ProbeLeaving {
			workers = append(workers, peer.WorkerHealth{VM: vm, Leaving: result == routing.ProbeLeaving})
		}
	}
	sort.Slice(workers, func(i, j int) bool { return workers[i].VM < workers[j].VM })
	return workers
}

// result returns the latest result for a VM: that of this node's own probes, else the unhealthy result that another node
// reported, else ProbeUnknown. Other nodes report only unhealthy workers.
func (p *prober) result(vm string) routing.Probe {
	p.mu.Lock()
	defer p.mu.Unlock()
	if result, ok := p.results[vm]; ok {
		return result
	}
	for _, workers := range p.remote {
		if result, ok := workers[vm]; ok {
			return result
		}
	}
	return routing.ProbeUnknown
}

// onRemoteHealth stores the unhealthy workers that another node reports. A worker that the node no longer reports is alive
// again.
func (p *prober) onRemoteHealth(node string, workers []peer.WorkerHealth) {
	current := make(map[string]routing.Probe, len(workers))
	for _, w := range workers {
		current[w.VM] = routing.ProbeFailed
		if w.Leaving {
			current[w.VM] = routing.ProbeLeaving
		}
	}
	p.mu.Lock()
	previous := p.remote[node]
	p.remote[node] = current
	p.mu.Unlock()
	for vm, result := range current {
		p.report(vm, result)
	}
	for vm := range previous {
		if _, listed := current[vm]; !listed {
			p.report(vm, routing.ProbeAlive)
		}
	}
}

var probeDescriptions = map[routing.Probe]string{
	routing.ProbeUnknown: "in an unknown state",
	routing.ProbeAlive:   "alive",
	routing.ProbeFailed:  "not responding",
	routing.ProbeLeaving: "leaving",
}
