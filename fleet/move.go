package fleet

import (
	"cmp"
	"slices"
	"time"
)

const (
	// targetUse is the use of a pool's machines above which it asks for more. Tasks do not fill machines wholly.
	targetUse = 0.85
	// reserve is the number of machines that a pool keeps beyond its use, for the first moments of a peak.
	reserve = 2
	// minPool is the least size of a pool.
	minPool = 3
	// stayFor is how long a machine stays in a pool before it is given away again.
	stayFor = 2500 * time.Millisecond
	// parkAfter is how long a machine must run nothing before it is put on standby.
	parkAfter = 2500 * time.Millisecond
	// movesAtOnce bounds the machines on the move to one pool.
	movesAtOnce = 12
)

// balance is the state of a pool in a round of moves.
type balance struct {
	pool string
	size int // machines, with those on their way here and without those on their way elsewhere
	need int
}

// planMoves moves machines to pools that lack room, and idle ones to standby.
//
// It answers demand that turns: each queue in its time asks for more than its pool holds while others run at a fraction of
// theirs. Machines that run nothing follow the work; a task is never ended for a move.
func (c *Controller) planMoves(now time.Duration) {
	if now < c.begin {
		return
	}
	balances := c.balances()
	lacking := make([]*balance, 0, len(balances))
	for _, b := range balances {
		if b.need > b.size {
			lacking = append(lacking, b)
		}
	}
	slices.SortFunc(lacking, func(a, b *balance) int {
		return cmp.Or(cmp.Compare(b.need-b.size, a.need-a.size), cmp.Compare(a.pool, b.pool))
	})
	for _, b := range lacking {
		c.fill(b, balances, now)
	}
	c.park(balances, now)
}

// balances returns the size and need of each pool whose owner answers.
func (c *Controller) balances() map[string]*balance {
	out := make(map[string]*balance)
	for pool, load := range c.seen.Loads {
		if c.pools[pool].Standby {
			continue
		}
		need := int((load.Used+load.Waiting)/targetUse) + reserve
		out[pool] = &balance{pool: pool, need: max(minPool, load.Least, need)}
	}
	for _, m := range c.seen.Machines {
		pool := m.Pool
		if op := c.ops[m.Host]; op != nil {
			// A machine in maintenance needs a substitute, or its tasks could not move away. Its pool for a move is the new one.
			pool = op.order.Pool
		}
		if b := out[pool]; b != nil && m.State != Down {
			b.size++
		}
	}
	return out
}

// fill moves machines to a pool until it has what it needs or there are none to spare.
func (c *Controller) fill(b *balance, balances map[string]*balance, now time.Duration) {
	moving := 0
	for _, op := range c.ops {
		if op.order.Kind == OrderMove && op.order.Pool == b.pool {
			moving++
		}
	}
	for _, m := range c.spare(balances, now) {
		if b.size >= b.need || moving >= movesAtOnce {
			return
		}
		if m.Pool == b.pool || c.mismatch[route{m.Pool, b.pool}] {
			continue
		}
		if donor := balances[m.Pool]; donor != nil {
			if donor.size <= donor.need {
				continue
			}
			donor.size--
		}
		b.size++
		moving++
		c.move(m, b.pool, now)
	}
}

// spare returns the machines that can be taken without ending a task: those on standby first, then idle ones.
func (c *Controller) spare(balances map[string]*balance, now time.Duration) []Machine {
	var standby, idle []Machine
	for _, m := range c.sortedMachines() {
		if m.State != Up || c.ops[m.Host] != nil {
			continue
		}
		if c.pools[m.Pool].Standby {
			standby = append(standby, m)
			continue
		}
		if balances[m.Pool] != nil && c.isIdle(m) && now-c.given[m.Host] >= stayFor {
			idle = append(idle, m)
		}
	}
	return append(standby, idle...)
}

func (c *Controller) isIdle(m Machine) bool {
	w, ok := c.load(m)
	return ok && w.Runs == 0
}

// park puts machines that have been idle on standby, as long as their pool keeps what it needs.
func (c *Controller) park(balances map[string]*balance, now time.Duration) {
	standby := c.standbyPool()
	if standby == "" {
		return
	}
	for _, m := range c.sortedMachines() {
		b := balances[m.Pool]
		if b == nil || m.State != Up || c.ops[m.Host] != nil || !c.isIdle(m) || b.size <= b.need {
			continue
		}
		since, idle := c.idle[m.Host]
		if !idle || now-since < parkAfter || now-c.given[m.Host] < stayFor {
			continue
		}
		b.size--
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
