package fleet

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// targetUse is the use of a pool's machines above which it asks for more. Tasks do not fill machines wholly.
	targetUse = 0.85
	// reserveShare is the part of all machines that each pool keeps beyond its use, for the first moments of a peak.
	reserveShare = 0.1
	// demandWindow is the time over which demand is averaged to find its rise. It is about the time until a machine that
	// moves serves in its new pool.
	demandWindow = 2 * time.Second
	// minPool is the least size of a pool.
	minPool = 3
	// maxPool is the greatest size to which a pool is filled, because its one owner keeps in touch with each worker. The design
	// size is 10,000 workers in 34 pools.
	maxPool = 300
	// stayFor is how long a machine stays in a pool before it is given away again.
	stayFor = 2500 * time.Millisecond
	// parkAfter is how long a machine must run nothing before it is put on standby.
	parkAfter = 2500 * time.Millisecond
	// movesShare bounds the machines on the move to one pool, as a part of all machines.
	movesShare = 0.25
)

// planMoves moves machines to pools that lack room, and idle ones to standby.
//
// It answers demand that turns: each queue in its time asks for more than its pool holds while others run at a fraction of
// theirs. Machines that run nothing follow the work; a task is never ended for a move.
func (c *Controller) planMoves(p *Plan, now time.Duration) {
	if now < c.begin {
		return
	}
	balances := c.balances()
	lacking := make([]*Balance, 0, len(balances))
	c.share(balances)
	for _, b := range balances {
		if b.Share > b.Size {
			lacking = append(lacking, b)
		}
	}
	slices.SortFunc(lacking, func(a, b *Balance) int {
		return cmp.Or(cmp.Compare(b.Share-b.Size, a.Share-a.Size), cmp.Compare(a.Pool, b.Pool))
	})
	c.fillLabels(balances, now)
	for _, b := range lacking {
		c.fill(b, b.Share, c.spare(balances, now), balances, now)
	}
	for _, pool := range slices.Sorted(maps.Keys(balances)) {
		b := balances[pool]
		c.fill(b, b.Wish, c.standby(), balances, now)
	}
	c.park(balances, now)
	for _, pool := range slices.Sorted(maps.Keys(balances)) {
		p.Balances = append(p.Balances, *balances[pool])
	}
}

// balances returns the size and need of each pool whose owner answers.
func (c *Controller) balances() map[string]*Balance {
	out := make(map[string]*Balance)
	for pool, load := range c.seen.Loads {
		if c.pools[pool].Standby {
			continue
		}
		need := int(c.forecast(pool, load)/targetUse) + c.part(reserveShare)
		b := &Balance{Pool: pool, Need: min(maxPool, max(minPool, load.Least, need))}
		b.Wish = min(maxPool, b.Need+int((load.UsedLate+load.WaitingLate)/targetUse))
		out[pool] = b
	}
	for _, m := range c.seen.Machines {
		pool := m.Pool
		if op := c.ops[m.Host]; op != nil {
			// A machine in maintenance needs a substitute, or its tasks could not move away. Its pool for a move is the new one.
			pool = op.order.Pool
		}
		if b := out[pool]; b != nil && m.State != Down {
			b.Size++
		}
	}
	return out
}

// share divides the machines among the pools in proportion to their needs when all together need more than there are.
//
// It answers peaks that overlap: the pool whose peak came first has the machines, and the other one would get none until that
// peak is over.
func (c *Controller) share(balances map[string]*Balance) {
	need, size := 0, len(c.standby())
	for _, b := range balances {
		need += b.Need
		size += b.Size
	}
	for pool, b := range balances {
		b.Share = b.Need
		if need > size {
			b.Share = max(min(b.Need, minPool), c.seen.Loads[pool].Least, b.Need*size/need)
		}
	}
}

// part returns a part of all machines, rounded up.
func (c *Controller) part(share float64) int {
	return int(math.Ceil(share * float64(len(c.seen.Machines))))
}

// forecast returns the machines that a pool will need when a machine that moves now arrives there.
//
// It answers the rise of a peak: what is asked for now is too little by the time the machines are there.
func (c *Controller) forecast(pool string, load Load) float64 {
	demand := load.demand()
	arriving := load.Lasting + load.Arriving
	past, ok := c.demand[pool]
	if !ok {
		return max(demand, arriving)
	}
	rise := max(0, demand-past.average)
	return max(demand+rise, arriving)
}

// demand returns what lasting tasks and jobs that can meet their objective need.
func (l Load) demand() float64 { return l.Used - l.UsedLate + l.Waiting }

// trackDemand keeps a moving average of what each pool needs.
func (c *Controller) trackDemand(now time.Duration) {
	for pool, load := range c.seen.Loads {
		demand := load.demand()
		past, ok := c.demand[pool]
		if !ok {
			c.demand[pool] = demandAverage{average: demand, at: now}
			continue
		}
		weight := 1 - math.Exp(-float64(now-past.at)/float64(demandWindow))
		c.demand[pool] = demandAverage{average: past.average + (demand-past.average)*weight, at: now}
	}
}

// demandAverage is a moving average of the machines that a pool needs.
type demandAverage struct {
	average float64
	at      time.Duration
}

// fill moves spare machines to a pool until it has the size that it should, or none is left.
func (c *Controller) fill(b *Balance, size int, spare []Machine, balances map[string]*Balance, now time.Duration) {
	moving := 0
	for _, op := range c.ops {
		if op.order.Kind == OrderMove && op.order.Pool == b.Pool {
			moving++
		}
	}
	for _, m := range spare {
		if b.Size >= size || moving >= c.part(movesShare) {
			return
		}
		if c.give(m, b, balances, now) {
			moving++
		}
	}
}

// give moves a machine to a pool, if the pool that has it keeps its share.
func (c *Controller) give(m Machine, b *Balance, balances map[string]*Balance, now time.Duration) bool {
	if m.Pool == b.Pool || c.mismatch[route{m.Pool, b.Pool}] || c.ops[m.Host] != nil {
		return false
	}
	if donor := balances[m.Pool]; donor != nil {
		if donor.Size <= donor.Share {
			return false
		}
		donor.Size--
	}
	b.Size++
	c.move(m, b.Pool, now)
	return true
}

// fillLabels moves machines to pools whose waiting tasks need a label. Other machines are of no use to such tasks, however
// large the pool is.
func (c *Controller) fillLabels(balances map[string]*Balance, now time.Duration) {
	for _, pool := range slices.Sorted(maps.Keys(balances)) {
		for _, need := range c.seen.Loads[pool].Labelled {
			c.fillLabel(balances[pool], need, balances, now)
		}
	}
}

func (c *Controller) fillLabel(b *Balance, need LabelNeed, balances map[string]*Balance, now time.Duration) {
	missing := int(math.Ceil(need.Waiting / targetUse))
	for host, op := range c.ops {
		if op.order.Kind == OrderMove && op.order.Pool == b.Pool && slices.Contains(c.machines[host].Labels, need.Label) {
			missing--
		}
	}
	for _, m := range c.spare(balances, now) {
		if missing <= 0 {
			return
		}
		if slices.Contains(m.Labels, need.Label) && c.give(m, b, balances, now) {
			missing--
		}
	}
}

// spare returns the machines that can be given away, the best first: those on standby, then those that run least. Tasks
// that run are left to end before a machine moves; machines with lasting tasks stay.
func (c *Controller) spare(balances map[string]*Balance, now time.Duration) []Machine {
	var others []Machine
	effort := make(map[string]int)
	for _, m := range c.sortedMachines() {
		if m.State != Up || c.ops[m.Host] != nil || c.pools[m.Pool].Standby {
			continue
		}
		w, ok := c.load(m)
		if !ok || w.Lasting > 0 || balances[m.Pool] == nil || now-c.given[m.Host] < stayFor {
			continue
		}
		effort[m.Host] = w.Runs
		others = append(others, m)
	}
	slices.SortStableFunc(others, func(a, b Machine) int { return cmp.Compare(effort[a.Host], effort[b.Host]) })
	return append(c.standby(), others...)
}

// standby returns the machines on standby that are free.
func (c *Controller) standby() []Machine {
	var out []Machine
	for _, m := range c.sortedMachines() {
		if m.State == Up && c.ops[m.Host] == nil && c.pools[m.Pool].Standby {
			out = append(out, m)
		}
	}
	return out
}

func (c *Controller) isIdle(m Machine) bool {
	w, ok := c.load(m)
	return ok && w.Runs == 0
}

// park puts machines that have been idle on standby, as long as their pool keeps what it needs.
func (c *Controller) park(balances map[string]*Balance, now time.Duration) {
	standby := c.standbyPool()
	if standby == "" {
		return
	}
	for _, m := range c.sortedMachines() {
		b := balances[m.Pool]
		if b == nil || m.State != Up || c.ops[m.Host] != nil || !c.isIdle(m) || b.Size <= b.Wish {
			continue
		}
		since, idle := c.idle[m.Host]
		if !idle || now-since < parkAfter || now-c.given[m.Host] < stayFor {
			continue
		}
		b.Size--
		c.move(m, standby, now)
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

func (c *Controller) move(m Machine, pool string, now time.Duration) {
	c.ops[m.Host] = &operation{order: Order{Kind: OrderMove, Host: m.Host, Pool: pool}, worker: m.Worker, pool: m.Pool, begun: now}
}
