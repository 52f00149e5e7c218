package jobmanager

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/berylwharf/berylwharf/fleet"
	"github.com/berylwharf/berylwharf/job"
)

const (
	// fleetShard is the shard whose owner runs the fleet controller.
	fleetShard = 0
	// fleetInterval is the time between planning rounds of the fleet controller.
	fleetInterval = 200 * time.Millisecond
	// machineListInterval is the minimum time between reads of the machine list.
	machineListInterval = 400 * time.Millisecond
	// loadTimeout bounds the request for the load of a pool.
	loadTimeout = 300 * time.Millisecond
	// balanceLogInterval is the minimum time between log lines about pool sizes.
	balanceLogInterval = time.Second
	// machineTimeout bounds a call to the platform that changes a machine.
	machineTimeout = time.Second
	// waveKeyPrefix is the key prefix of stored wave progress records.
	waveKeyPrefix = "v/"
)

// fleetLoop runs the fleet controller on the owner of fleetShard.
type fleetLoop struct {
	shard      *shard
	node       *Node
	controller *fleet.Controller
	mu         sync.Mutex // guards controller, because orders complete in their own goroutines
	machines   []fleet.Machine
	listedAt   time.Duration
	evacuate   map[string][]string
	loads      map[string]fleet.Load // of the last round
	// missing holds the workers that the last machine list did not contain, removed those that were missing from the last
	// two lists; by pool.
	missing, removed map[string][]string
	unpublished      map[int64]bool // state by wave that remains to be published
	loggedAt         time.Duration
}

// waveProgress is the stored record of a wave's progress.
type waveProgress struct {
	Wave fleet.Wave `cbor:"1,keyasint"`
	Done []string   `cbor:"2,keyasint,omitempty"`
}

func newFleetLoop(s *shard) *fleetLoop {
	handoverDelay := time.Duration(0)
	if s.epoch > 1 {
		handoverDelay = time.Duration(s.node.settings.Limits.OrderLeaseMs) * time.Millisecond
	}
	firstOrderAt := s.takeoverStart.Steady
	if !s.predecessorReleased() {
		// The previous controller may send orders until its membership expires.
		firstOrderAt += membershipTTL + machineTimeout
	}
	f := &fleetLoop{
		shard: s, node: s.node, controller: fleet.New(firstOrderAt, handoverDelay),
		evacuate: make(map[string][]string), unpublished: make(map[int64]bool),
	}
	for _, r := range s.loaded.Other {
		f.restore(r, s.takeoverStart.Steady)
	}
	return f
}

func (f *fleetLoop) restore(r job.Record, now time.Duration) {
	if !strings.HasPrefix(r.Key, waveKeyPrefix) {
		return
	}
	var p waveProgress
	if err := cbor.Unmarshal(r.Value, &p); err != nil {
		f.node.log.Event(LogEvent{Component: "fleet", Event: "record skipped", Reason: r.Key + ": " + err.Error()})
		return
	}
	f.controller.Restore(p.Wave, p.Done, now)
}

// run executes planning rounds until the ownership ends.
func (f *fleetLoop) run() {
	f.node.log.Event(LogEvent{Component: "fleet", Event: "controller started", Epoch: f.shard.epoch})
	if !f.shard.predecessorReleased() {
		f.node.wg.Go(f.awaitPredecessor)
	}
	for f.shard.ctx.Err() == nil {
		f.round()
		sleep(f.shard.ctx, fleetInterval)
	}
}

// round executes one planning round and sends its orders.
func (f *fleetLoop) round() {
	now := f.node.clock.Now()
	config := f.node.Config()
	if config == nil || !f.mayOrder(now) {
		return
	}
	if now.Steady-f.listedAt >= machineListInterval {
		f.listMachines(now)
	}
	if f.machines == nil {
		return
	}
	loads := f.poolLoads(config)
	f.loads = loads
	now = f.node.clock.Now()
	if !f.mayOrder(now) {
		return
	}
	plan := f.plan(config, loads, now)
	f.evacuate = plan.Evacuate
	f.logBalances(plan, now)
	f.node.machineOrdersInFlight.Add(int32(len(plan.Orders)))
	for _, o := range plan.Orders {
		f.node.wg.Go(func() { f.sendOrder(o) })
	}
	f.storeProgress(plan)
	f.publishWaves(plan)
}

// mayOrder reports whether the controller may send orders as the owner of the fleet shard.
func (f *fleetLoop) mayOrder(now job.Time) bool {
	return f.node.confirmed(now) && f.shard.ownershipVerified() && !f.shard.releasing.Load()
}

// plan executes one round of the controller.
func (f *fleetLoop) plan(config *Config, loads map[string]fleet.Load, now job.Time) fleet.Plan {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.controller.Observe(fleet.Observation{
		Machines: f.machines, Pools: fleetPools(config), Loads: loads, Waves: f.node.declaredWaves(),
	}, now.Steady)
	return f.controller.Plan(now.Steady)
}

// logBalances logs the size and need of each pool.
func (f *fleetLoop) logBalances(plan fleet.Plan, now job.Time) {
	if now.Steady-f.loggedAt < balanceLogInterval {
		return
	}
	f.loggedAt = now.Steady
	for _, b := range plan.Balances {
		f.node.log.Event(LogEvent{Component: "fleet", Event: "pool size", Pool: b.Pool, Count: b.Size, Reason: "need " + strconv.Itoa(b.Need)})
	}
}

func fleetPools(c *Config) []fleet.Pool {
	pools := make([]fleet.Pool, len(c.Pools))
	for i, p := range c.Pools {
		pools[i] = fleet.Pool{Name: p.Name, Standby: p.Standby}
	}
	return pools
}

// listMachines reads the machine list. If that fails, the previous list stays in use.
func (f *fleetLoop) listMachines(now job.Time) {
	machines, err := f.node.machines.List(f.shard.ctx)
	if err != nil {
		f.node.log.Event(LogEvent{Component: "fleet", Event: "machine list not read", Reason: err.Error()})
		return
	}
	f.machines, f.listedAt = machines, now.Steady
	missing := missingWorkers(machines, f.loads)
	f.removed = make(map[string][]string)
	for pool, ids := range missing {
		f.removed[pool] = slices.DeleteFunc(slices.Clone(ids), func(id string) bool { return !slices.Contains(f.missing[pool], id) })
	}
	f.missing = missing
}

// missingWorkers returns the workers that the owners of pools know and that are on no machine, by pool. The life of a worker
// ends when its machine is moved or maintained. The loads must be older than the machine list.
func missingWorkers(machines []fleet.Machine, loads map[string]fleet.Load) map[string][]string {
	alive := make(map[string]bool, len(machines))
	for _, m := range machines {
		if m.State != fleet.Moving && m.State != fleet.Maintenance {
			alive[m.Worker] = true
		}
	}
	out := make(map[string][]string)
	for pool, load := range loads {
		for _, w := range load.Workers {
			if !alive[w.Worker] {
				out[pool] = append(out[pool], w.Worker)
			}
		}
	}
	return out
}

// poolLoads requests the load of each pool from its owner and passes on the workers to evacuate.
func (f *fleetLoop) poolLoads(config *Config) map[string]fleet.Load {
	pools := make(map[string]bool)
	for _, r := range config.Routes {
		pools[r.Pool] = true
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	out := make(map[string]fleet.Load)
	for pool := range pools {
		evacuate, removed := f.evacuate[pool], f.removed[pool]
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(f.shard.ctx, loadTimeout)
			defer cancel()
			r := f.node.attempt(ctx, f.node.shardOf(pool), typeFleet, call{Pool: pool, Evacuate: evacuate, Removed: removed})
			if r.Code != codeOK || r.Load == nil {
				f.node.wakeUp(f.node.refreshOwners)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			out[pool] = *r.Load
		})
	}
	wg.Wait()
	return out
}

// sendOrder sends an order for a machine and applies its result.
func (f *fleetLoop) sendOrder(o fleet.Order) {
	defer f.node.machineOrdersInFlight.Add(-1)
	ctx, cancel := context.WithTimeout(f.shard.ctx, machineTimeout)
	defer cancel()
	result, err := f.node.machines.Order(ctx, f.node.settings.Node, f.shard.epoch, o)
	e := LogEvent{Component: "fleet", Event: "machine moved", Worker: o.Host, Pool: o.Pool, Epoch: o.Wave, Count: int(result)}
	if o.Kind == fleet.OrderMaintenance {
		e.Event = "machine under maintenance"
	}
	if err != nil {
		e.Reason = err.Error()
	}
	f.node.log.Event(e)
	f.node.metrics.count(e.Event)
	if errors.Is(err, ErrFenced) {
		f.shard.endOwnership("the platform has seen an order of a later fleet controller")
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.controller.Result(o, result, f.node.clock.Now().Steady)
}

// storeProgress stores wave progress with the next commit of the shard.
func (f *fleetLoop) storeProgress(plan fleet.Plan) {
	waves := make(map[int64]fleet.Wave)
	for _, w := range f.node.declaredWaves() {
		waves[w.Number] = w
	}
	for number, done := range plan.Progress {
		value, err := cbor.Marshal(waveProgress{Wave: waves[number], Done: done})
		if err != nil {
			f.node.log.Event(LogEvent{Component: "fleet", Event: "progress not stored", Reason: err.Error()})
			continue
		}
		record := job.Record{Key: waveKeyPrefix + strconv.FormatInt(number, 10), Value: value}
		f.shard.runInLoop(f.shard.ctx, func(job.Time) { f.shard.store(record, nil) })
	}
}

// publishWaves publishes changed wave states to operators and retries those that failed before.
func (f *fleetLoop) publishWaves(plan fleet.Plan) {
	for number, completed := range plan.Status {
		f.unpublished[number] = completed
	}
	for number, completed := range f.unpublished {
		ctx, cancel := context.WithTimeout(f.shard.ctx, storeTimeout)
		err := f.node.machines.PublishWave(ctx, number, completed)
		cancel()
		if err != nil {
			f.node.log.Event(LogEvent{Component: "fleet", Event: "wave state not published", Epoch: number, Reason: err.Error()})
			continue
		}
		delete(f.unpublished, number)
	}
}

// declaredWaves returns the waves that operators declared.
func (n *Node) declaredWaves() []fleet.Wave {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := make([]fleet.Wave, 0, len(n.waves))
	for _, w := range n.waves {
		out = append(out, w)
	}
	return out
}
