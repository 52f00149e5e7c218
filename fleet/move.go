package fleet

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// targetUtilization is the utilization of a pool above which it needs more machines. Tasks do not fill machines
	// completely.
	targetUtilization = 0.85
	// headroomShare is the fraction of the fleet that the pools together keep beyond their demand, to absorb the start of a
	// load peak. Each pool keeps the same part of it.
	headroomShare = 0.4
	// demandWindow is the time constant of the moving average from which the rise of demand is derived. It approximates
	// the time until a moved machine serves tasks in its new pool.
	demandWindow = 2 * time.Second
	// minPoolSize is the minimum size of a pool.
	minPoolSize = 3
	// maxPoolSize is the size up to which a pool is grown. It is bounded because a single owner decides for the pool.
	maxPoolSize = 1000
	// moveCooldown is the minimum time that a machine stays in a pool before it is moved again.
	moveCooldown = 2500 * time.Millisecond
	// standbyIdleTime is how long a machine must be idle before it is moved to standby.
	standbyIdleTime = 2500 * time.Millisecond
	// maxMovesShare limits the machines that move to one pool at the same time, as a fraction of the fleet.
	maxMovesShare = 0.25
)

// planMoves moves machines to pools that are too small, and idle machines to standby.
//
// It handles load that shifts between pools, where one pool needs more machines than it has while others are mostly
// idle. A machine is moved only once it runs nothing; a task is never terminated for a move.
func (c *Controller) planMoves(p *Plan, now time.Duration) {
	if now < c.firstOrderAt {
		return
	}
	balances := c.balances()
	undersized := make([]*Balance, 0, len(balances))
	c.allocate(balances)
	for _, b := range balances {
		if b.Allocation > b.Size {
			undersized = append(undersized, b)
		}
	}
	slices.SortFunc(undersized, func(a, b *Balance) int {
		return cmp.Or(cmp.Compare(b.Allocation-b.Size, a.Allocation-a.Size), cmp.Compare(a.Pool, b.Pool))
	})
	c.growLabelledPools(balances, now)
	for _, b := range undersized {
		c.growPool(b, b.Allocation, c.movableMachines(balances, now), balances, now)
	}
	for _, pool := range slices.Sorted(maps.Keys(balances)) {
		b := balances[pool]
		c.growPool(b, b.NeedIncludingLate, c.freeStandby(), balances, now)
	}
	c.moveIdleToStandby(balances, now)
	for _, pool := range slices.Sorted(maps.Keys(balances)) {
		p.Balances = append(p.Balances, *balances[pool])
	}
}

// balances returns the balance of each pool whose owner answered.
func (c *Controller) balances() map[string]*Balance {
	out := make(map[string]*Balance)
	pools := 0
	for _, p := range c.pools {
		if !p.Standby {
			pools++
		}
	}
	headroom := c.fleetFraction(headroomShare / float64(max(1, pools)))
	for pool, load := range c.observed.Loads {
		if c.pools[pool].Standby {
			continue
		}
		demand := int(c.forecast(pool, load) / targetUtilization)
		b := &Balance{Pool: pool, Demand: min(maxPoolSize, max(minPoolSize, load.MinMachines, demand))}
		b.Need = min(maxPoolSize, max(b.Demand, demand+headroom))
		b.NeedIncludingLate = min(maxPoolSize, b.Need+int((load.UsedLate+load.WaitingLate)/targetUtilization))
		out[pool] = b
	}
	for _, m := range c.observed.Machines {
		pool := m.Pool
		if op := c.ops[m.Host]; op != nil {
			// A machine that is moving counts for its target pool. One that is evacuated for maintenance counts for no
			// pool, so that the pool gets a replacement to which its tasks can move.
			pool = op.order.Pool
		}
		if b := out[pool]; b != nil && m.State != Down {
			b.Size++
		}
	}
	return out
}

// allocate divides the machines among the pools when the pools together need more than exist. Each pool gets its demand
// up to an equal share of the machines. What is left is divided in proportion to what the pools need beyond that.
//
// Without this, when two load peaks overlap, the pool that peaks first would hold all machines and the other would get
// none until the first peak ends. Shares in proportion to need alone would starve the pools that need little.
func (c *Controller) allocate(balances map[string]*Balance) {
	need, size := 0, len(c.freeStandby())
	for _, b := range balances {
		need += b.Need
		size += b.Size
	}
	if need <= size {
		for _, b := range balances {
			b.Allocation = b.Need
		}
		return
	}
	left, rest := size, 0
	for pool, b := range balances {
		b.Allocation = max(c.observed.Loads[pool].MinMachines, min(b.Demand, size/len(balances)))
		left -= b.Allocation
		rest += max(0, b.Need-b.Allocation)
	}
	for _, b := range balances {
		if left > 0 && rest > 0 {
			b.Allocation += max(0, b.Need-b.Allocation) * left / rest
		}
	}
}

// fleetFraction returns a fraction of the number of machines in the fleet, rounded up.
func (c *Controller) fleetFraction(share float64) int {
	return int(math.Ceil(share * float64(len(c.observed.Machines))))
}

// forecast returns the number of machines that a pool will need by the time a machine that starts to move now arrives
// there.
//
// While load rises, the current demand underestimates what is needed at that time.
func (c *Controller) forecast(pool string, load Load) float64 {
	demand := load.demand()
	offered := load.LongRunning + load.OfferedLoad
	previous, ok := c.averageDemand[pool]
	if !ok {
		return max(demand, offered)
	}
	rise := max(0, demand-previous.average)
	return max(demand+rise, offered)
}

// demand returns the machines needed for long-running tasks and for jobs that can meet their objective.
func (l Load) demand() float64 { return l.Used - l.UsedLate + l.Waiting }

// trackDemand updates the moving average of the demand of each pool.
func (c *Controller) trackDemand(now time.Duration) {
	for pool, load := range c.observed.Loads {
		demand := load.demand()
		previous, ok := c.averageDemand[pool]
		if !ok {
			c.averageDemand[pool] = demandAverage{average: demand, at: now}
			continue
		}
		weight := 1 - math.Exp(-float64(now-previous.at)/float64(demandWindow))
		c.averageDemand[pool] = demandAverage{average: previous.average + (demand-previous.average)*weight, at: now}
	}
}

// demandAverage is an exponentially weighted moving average of the machines that a pool needs.
type demandAverage struct {
	average float64
	at      time.Duration
}

// growPool moves candidate machines to a pool until it has the given size, no candidate is left or the limit on
// concurrent moves is reached.
func (c *Controller) growPool(b *Balance, size int, candidates []Machine, balances map[string]*Balance, now time.Duration) {
	moving := 0
	for _, op := range c.ops {
		if op.order.Kind == OrderMove && op.order.Pool == b.Pool {
			moving++
		}
	}
	for _, m := range candidates {
		if b.Size >= size || moving >= c.fleetFraction(maxMovesShare) {
			return
		}
		if c.tryMove(m, b, balances, now) {
			moving++
		}
	}
}

// tryMove starts to move a machine to a pool unless that would shrink its current pool below its allocation. It reports
// whether the move was started.
func (c *Controller) tryMove(m Machine, b *Balance, balances map[string]*Balance, now time.Duration) bool {
	if m.Pool == b.Pool || c.refusedRoutes[route{m.Pool, b.Pool}] || c.ops[m.Host] != nil {
		return false
	}
	if donor := balances[m.Pool]; donor != nil {
		if donor.Size <= donor.Allocation {
			return false
		}
		donor.Size--
	}
	b.Size++
	c.startMove(m, b.Pool, now)
	return true
}

// growLabelledPools moves machines with a required label to pools whose waiting tasks need that label. Other machines
// cannot run such tasks, however large the pool is.
func (c *Controller) growLabelledPools(balances map[string]*Balance, now time.Duration) {
	for _, pool := range slices.Sorted(maps.Keys(balances)) {
		for _, need := range c.observed.Loads[pool].Labelled {
			c.growForLabel(balances[pool], need, balances, now)
		}
	}
}

func (c *Controller) growForLabel(b *Balance, need LabelDemand, balances map[string]*Balance, now time.Duration) {
	missing := int(math.Ceil(need.Waiting / targetUtilization))
	for host, op := range c.ops {
		if op.order.Kind == OrderMove && op.order.Pool == b.Pool && slices.Contains(c.machines[host].Labels, need.Label) {
			missing--
		}
	}
	for _, m := range c.movableMachines(balances, now) {
		if missing <= 0 {
			return
		}
		if slices.Contains(m.Labels, need.Label) && c.tryMove(m, b, balances, now) {
			missing--
		}
	}
}

// movableMachines returns the machines that may be moved, in order of preference: standby machines first, then those
// with the fewest runs. Running tasks are left to finish before their machine moves; machines with long-running tasks
// are excluded.
func (c *Controller) movableMachines(balances map[string]*Balance, now time.Duration) []Machine {
	var others []Machine
	runs := make(map[string]int)
	for _, m := range c.sorted {
		if m.State != Up || c.ops[m.Host] != nil || c.pools[m.Pool].Standby {
			continue
		}
		w, ok := c.workerLoad(m)
		if !ok || w.LongRunning > 0 || balances[m.Pool] == nil || now-c.changedAt[m.Host] < moveCooldown {
			continue
		}
		runs[m.Host] = w.Runs
		others = append(others, m)
	}
	slices.SortStableFunc(others, func(a, b Machine) int { return cmp.Compare(runs[a.Host], runs[b.Host]) })
	return append(c.freeStandby(), others...)
}

// freeStandby returns the standby machines that are up and have no operation in progress.
func (c *Controller) freeStandby() []Machine {
	var out []Machine
	for _, m := range c.sorted {
		if m.State == Up && c.ops[m.Host] == nil && c.pools[m.Pool].Standby {
			out = append(out, m)
		}
	}
	return out
}

func (c *Controller) isIdle(m Machine) bool {
	w, ok := c.workerLoad(m)
	return ok && w.Runs == 0
}

// moveIdleToStandby moves machines that have been idle for standbyIdleTime to standby while their pool stays at least
// as large as NeedIncludingLate.
func (c *Controller) moveIdleToStandby(balances map[string]*Balance, now time.Duration) {
	standby := c.standbyPool()
	if standby == "" {
		return
	}
	for _, m := range c.sorted {
		b := balances[m.Pool]
		if b == nil || m.State != Up || c.ops[m.Host] != nil || !c.isIdle(m) || b.Size <= b.NeedIncludingLate {
			continue
		}
		since, idle := c.idleSince[m.Host]
		if !idle || now-since < standbyIdleTime || now-c.changedAt[m.Host] < moveCooldown {
			continue
		}
		b.Size--
		c.startMove(m, standby, now)
	}
}

func (c *Controller) standbyPool() string {
	best := ""
	for name, p := range c.pools {
		if p.Standby && (best == "" || name < best) {
			best = name
		}
	}
	return best
}

func (c *Controller) startMove(m Machine, pool string, now time.Duration) {
	c.ops[m.Host] = &operation{
		order: Order{Kind: OrderMove, Host: m.Host, Pool: pool}, worker: m.Worker, fromPool: m.Pool, startedAt: now,
	}
}
