package jobmanager

import (
	"context"
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
	// fleetEvery is the time between rounds of the fleet controller.
	fleetEvery = 200 * time.Millisecond
	// machinesEvery is the least time between reads of the machines.
	machinesEvery = 400 * time.Millisecond
	// loadTimeout bounds the request for a pool's load.
	loadTimeout = 300 * time.Millisecond
	// balanceEvery is the time between log lines on the sizes of the pools.
	balanceEvery = time.Second
	// machineTimeout bounds an order for a machine.
	machineTimeout = time.Second
	// waveKey begins the keys of the stored progress of waves.
	waveKey = "v/"
)

// fleetLoop runs the fleet controller on the owner of fleetShard.
type fleetLoop struct {
	shard      *shard
	node       *Node
	controller *fleet.Controller
	mu         sync.Mutex // guards controller; orders end in their own goroutines
	machines   []fleet.Machine
	listedAt   time.Duration
	evacuate   map[string][]string
	published  map[int64]bool // waves whose state has to be published
	loggedAt   time.Duration
}

// waveProgress is the stored progress of a wave.
type waveProgress struct {
	Wave fleet.Wave `cbor:"1,keyasint"`
	Done []string   `cbor:"2,keyasint,omitempty"`
}

func newFleetLoop(s *shard) *fleetLoop {
	between := time.Duration(0)
	if s.epoch > 1 {
		between = time.Duration(s.node.settings.Bounds.OrderLeaseMs) * time.Millisecond
	}
	begin := s.begun.Steady
	if !s.predecessorEnded() {
		// The earlier controller may still order until its membership lapses.
		begin += membershipTTL + machineTimeout
	}
	f := &fleetLoop{
		shard: s, node: s.node, controller: fleet.New(begin, between),
		evacuate: make(map[string][]string), published: make(map[int64]bool),
	}
	for _, r := range s.loaded.Other {
		f.restore(r, s.begun.Steady)
	}
	return f
}

func (f *fleetLoop) restore(r job.Record, now time.Duration) {
	if !strings.HasPrefix(r.Key, waveKey) {
		return
	}
	var p waveProgress
	if err := cbor.Unmarshal(r.Value, &p); err != nil {
		f.node.log.Event(LogEvent{Part: "fleet", What: "record skipped", Why: r.Key + ": " + err.Error()})
		return
	}
	f.controller.Restore(p.Wave, p.Done, now)
}

// run controls the fleet until the ownership ends.
func (f *fleetLoop) run() {
	f.node.log.Event(LogEvent{Part: "fleet", What: "controller started", Epoch: f.shard.epoch})
	if !f.shard.predecessorEnded() {
		f.node.wg.Go(f.awaitPredecessor)
	}
	for f.shard.ctx.Err() == nil {
		f.round()
		pause(f.shard.ctx, fleetEvery)
	}
}

// round observes, plans and sends the orders of one plan.
func (f *fleetLoop) round() {
	now := f.node.clock.Now()
	config := f.node.Config()
	if config == nil || !f.node.confirmed(now) || f.shard.releasing.Load() {
		return
	}
	if now.Steady-f.listedAt >= machinesEvery {
		f.list(now)
	}
	if f.machines == nil {
		return
	}
	loads := f.loads(config)
	now = f.node.clock.Now()
	if !f.node.confirmed(now) || f.shard.releasing.Load() {
		return
	}
	f.mu.Lock()
	f.controller.Observe(fleet.Observation{
		Machines: f.machines, Pools: fleetPools(config), Loads: loads, Waves: f.node.declaredWaves(),
	}, now.Steady)
	plan := f.controller.Plan(now.Steady)
	f.mu.Unlock()
	f.evacuate = plan.Evacuate
	f.logBalances(plan, now)
	f.node.machineOrders.Add(int32(len(plan.Orders)))
	for _, o := range plan.Orders {
		f.node.wg.Go(func() { f.order(o) })
	}
	f.storeProgress(plan)
	f.publish(plan)
}

// logBalances writes the size and need of each pool.
func (f *fleetLoop) logBalances(plan fleet.Plan, now job.Time) {
	if now.Steady-f.loggedAt < balanceEvery {
		return
	}
	f.loggedAt = now.Steady
	for _, b := range plan.Balances {
		f.node.log.Event(LogEvent{Part: "fleet", What: "pool", Pool: b.Pool, Count: b.Size, Why: "need " + strconv.Itoa(b.Need)})
	}
}

func fleetPools(c *Config) []fleet.Pool {
	pools := make([]fleet.Pool, len(c.Pools))
	for i, p := range c.Pools {
		pools[i] = fleet.Pool{Name: p.Name, Standby: p.Standby}
	}
	return pools
}

// list reads the machines. A list that can't be read leaves the last one in use.
func (f *fleetLoop) list(now job.Time) {
	ctx, cancel := context.WithTimeout(f.shard.ctx, machineTimeout)
	defer cancel()
	machines, err := f.node.machines.List(ctx)
	if err != nil {
		f.node.log.Event(LogEvent{Part: "fleet", What: "machines not read", Why: err.Error()})
		return
	}
	f.machines, f.listedAt = machines, now.Steady
}

// loads asks the owners of the pools for their load, and tells them which workers to evacuate.
func (f *fleetLoop) loads(config *Config) map[string]fleet.Load {
	pools := make(map[string]bool)
	for _, r := range config.Routes {
		pools[r.Pool] = true
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	out := make(map[string]fleet.Load)
	for pool := range pools {
		evacuate := f.evacuate[pool]
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(f.shard.ctx, loadTimeout)
			defer cancel()
			r := f.node.attempt(ctx, f.node.shardOf(pool), typeFleet, call{Pool: pool, Evacuate: evacuate})
			if r.Code != codeOK || r.Load == nil {
				f.node.wake(f.node.refreshOwners)
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

// order sends an order for a machine.
func (f *fleetLoop) order(o fleet.Order) {
	defer f.node.machineOrders.Add(-1)
	ctx, cancel := context.WithTimeout(f.shard.ctx, machineTimeout)
	defer cancel()
	result, err := f.node.machines.Order(ctx, f.node.settings.Node, f.shard.epoch, o)
	e := LogEvent{Part: "fleet", What: "machine moved", Worker: o.Host, Pool: o.Pool, Epoch: o.Wave, Count: int(result)}
	if o.Kind == fleet.OrderMaintenance {
		e.What = "machine under maintenance"
	}
	if err != nil {
		e.Why = err.Error()
	}
	f.node.log.Event(e)
	f.node.metrics.count(e.What)
	if errors.Is(err, ErrFenced) {
		f.shard.lose("the platform knows a later fleet controller")
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.controller.Result(o, result, f.node.clock.Now().Steady)
}

// storeProgress stores the progress of waves with the shard's next commit.
func (f *fleetLoop) storeProgress(plan fleet.Plan) {
	waves := make(map[int64]fleet.Wave)
	for _, w := range f.node.declaredWaves() {
		waves[w.Number] = w
	}
	for number, done := range plan.Progress {
		value, err := cbor.Marshal(waveProgress{Wave: waves[number], Done: done})
		if err != nil {
			f.node.log.Event(LogEvent{Part: "fleet", What: "progress not stored", Why: err.Error()})
			continue
		}
		record := job.Record{Key: waveKey + strconv.FormatInt(number, 10), Value: value}
		f.shard.call(f.shard.ctx, func(job.Time) { f.shard.extra = append(f.shard.extra, record) })
	}
}

// publish tells operators the states of waves that changed, and repeats what failed.
func (f *fleetLoop) publish(plan fleet.Plan) {
	for number, completed := range plan.Status {
		f.published[number] = completed
	}
	for number, completed := range f.published {
		ctx, cancel := context.WithTimeout(f.shard.ctx, storeTimeout)
		err := f.node.machines.PublishWave(ctx, number, completed)
		cancel()
		if err != nil {
			f.node.log.Event(LogEvent{Part: "fleet", What: "wave state not published", Epoch: number, Why: err.Error()})
			continue
		}
		delete(f.published, number)
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
