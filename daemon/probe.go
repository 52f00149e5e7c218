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
	// minProbePeriod is the time between two probes of a worker when the node has few workers to probe.
	minProbePeriod = time.Second
	// maxProbeRate bounds the probes a second of one node. A probe costs 216 bytes on the wire, and a node may spend 2 KB/s
	// on control. 50 workers shared by 8 nodes are probed each 1.6 s, shared by 5 nodes each 2.5 s.
	maxProbeRate = 4
	probeTimeout = 800 * time.Millisecond
)

// prober asks the backend servers of the workers for which this node is the home node for /healthz, each time on a new
// connection, and takes the results for the other workers from their home nodes. A 503 means that the server is leaving
// and must get no new work, whatever the VM list says.
type prober struct {
	client *http.Client
	log    logrus.FieldLogger
	homed  func(vm string) bool
	report func(vm string, p routing.Probe)

	mu      sync.Mutex
	targets []vmapi.VM
	results map[string]routing.Probe            // of this node's own probes
	remote  map[string]map[string]routing.Probe // by home node: workers that are not alive
}

func newProber(log logrus.FieldLogger, homed func(vm string) bool, report func(vm string, p routing.Probe)) *prober {
	return &prober{
		client:  &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: probeTimeout},
		log:     log,
		homed:   homed,
		report:  report,
		results: make(map[string]routing.Probe),
		remote:  make(map[string]map[string]routing.Probe),
	}
}

// setTargets replaces the listed workers and forgets results of those that are no longer listed.
func (p *prober) setTargets(vms []vmapi.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.results
	p.targets = nil
	p.results = make(map[string]routing.Probe)
	for _, vm := range vms {
		if vm.Role != vmapi.RoleWorker {
			continue
		}
		p.targets = append(p.targets, vm)
		if result, ok := old[vm.Name]; ok {
			p.results[vm.Name] = result
		}
	}
}

// run probes round after round. The probes of a round are spread evenly over its period.
func (p *prober) run(ctx context.Context) {
	for ctx.Err() == nil {
		targets := p.homedTargets()
		period := probePeriod(len(targets))
		if len(targets) == 0 {
			sleep(ctx, period)
			continue
		}
		var probes sync.WaitGroup
		for _, vm := range targets {
			probes.Go(func() { p.record(vm.Name, p.probe(ctx, vm)) })
			sleep(ctx, period/time.Duration(len(targets)))
		}
		probes.Wait()
	}
}

func probePeriod(workers int) time.Duration {
	return max(minProbePeriod, time.Duration(workers)*time.Second/maxProbeRate)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// homedTargets returns the workers to probe and forgets the results of those that have another home node now.
func (p *prober) homedTargets() []vmapi.VM {
	p.mu.Lock()
	targets := p.targets
	p.mu.Unlock()
	var homed []vmapi.VM
	for _, vm := range targets {
		if p.homed(vm.Name) {
			homed = append(homed, vm)
			continue
		}
		p.mu.Lock()
		delete(p.results, vm.Name)
		p.mu.Unlock()
	}
	return homed
}

func (p *prober) probe(ctx context.Context, vm vmapi.VM) routing.Probe {
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
	changed := p.results[vm] != result
	p.results[vm] = result
	p.mu.Unlock()
	if changed {
		p.log.Infof("health: backend server on %s is %s", vm, probeWords[result])
	}
	p.report(vm, result)
}

// notAlive returns the workers that this node found not alive, sorted by name, for its heartbeats.
func (p *prober) notAlive() []peer.WorkerHealth {
	p.mu.Lock()
	defer p.mu.Unlock()
	var workers []peer.WorkerHealth
	for vm, result := range p.results {
		if result == routing.ProbeDead || result == routing.ProbeLeaving {
			workers = append(workers, peer.WorkerHealth{VM: vm, Leaving: result == routing.ProbeLeaving})
		}
	}
	sort.Slice(workers, func(i, j int) bool { return workers[i].VM < workers[j].VM })
	return workers
}

// result returns the newest result for a VM, of this node or of its home node.
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

// onRemote takes over what another node found. A worker that the node no longer names is alive again.
func (p *prober) onRemote(node string, workers []peer.WorkerHealth) {
	now := make(map[string]routing.Probe, len(workers))
	for _, w := range workers {
		now[w.VM] = routing.ProbeDead
		if w.Leaving {
			now[w.VM] = routing.ProbeLeaving
		}
	}
	p.mu.Lock()
	before := p.remote[node]
	p.remote[node] = now
	p.mu.Unlock()
	for vm, result := range now {
		p.report(vm, result)
	}
	for vm := range before {
		if _, still := now[vm]; !still {
			p.report(vm, routing.ProbeAlive)
		}
	}
}

var probeWords = map[routing.Probe]string{
	routing.ProbeUnknown: "in an unknown state",
	routing.ProbeAlive:   "alive",
	routing.ProbeDead:    "not answering",
	routing.ProbeLeaving: "leaving",
}
