package fleet

import (
	"cmp"
	"slices"
	"time"
)

// State is what the platform says of a machine.
type State string

// States of machines.
const (
	Up          State = "up"
	Moving      State = "moving"
	Maintenance State = "maintenance"
	Down        State = "down"
)

// Machine is a machine as the platform lists it.
type Machine struct {
	Host   string
	Pool   string
	State  State
	Zone   string
	Rack   string
	Labels []string
	Worker string // the worker that it is now
}

// WorkerLoad is what the owner of a pool says of one worker.
type WorkerLoad struct {
	Worker string `cbor:"1,keyasint"`
	AgeMs  int64  `cbor:"5,keyasint,omitempty"` // since the worker's start, by the clocks of two machines
	Runs   int    `cbor:"2,keyasint,omitempty"` // tasks that run or are about to
	// Lasting counts the runs that only end when their job is cancelled.
	Lasting int `cbor:"3,keyasint,omitempty"`
	// Empty states that nothing runs and nothing can start, because the worker is being evacuated.
	Empty bool `cbor:"4,keyasint,omitempty"`
}

// Load is the state of a pool. Amounts are in machines.
type Load struct {
	Used    float64 `cbor:"1,keyasint,omitempty"` // taken by running tasks
	Waiting float64 `cbor:"2,keyasint,omitempty"` // needed by tasks that could start now, but for WaitingLate
	// UsedLate is the part of Used that jobs take which miss their objective anyway, and WaitingLate what else they need.
	UsedLate    float64      `cbor:"6,keyasint,omitempty"`
	WaitingLate float64      `cbor:"7,keyasint,omitempty"`
	Workers     []WorkerLoad `cbor:"3,keyasint,omitempty"`
	// Arriving is the work that callers ask for now, in machine-seconds for each second. It does not count lasting tasks.
	Arriving float64 `cbor:"8,keyasint,omitempty"`
	// Lasting is the part of Used that lasting tasks take.
	Lasting float64 `cbor:"9,keyasint,omitempty"`
	// Labelled is the part of Waiting that needs workers with a label.
	Labelled []LabelNeed `cbor:"5,keyasint,omitempty"`
	// Least is how many machines the pool needs for tasks that may not share a worker.
	Least int `cbor:"4,keyasint,omitempty"`
}

// LabelNeed is what tasks need that may only run on workers with a label, in machines.
type LabelNeed struct {
	Label   string  `cbor:"1,keyasint"`
	Waiting float64 `cbor:"2,keyasint"`
}

// Pool is a pool as configured.
type Pool struct {
	Name    string
	Standby bool // its machines are off and cost nothing
}

// Wave asks for the maintenance of machines.
type Wave struct {
	Number   int64
	Hosts    []string
	Deadline time.Duration // after it was asked for
	Cap      int           // machines that may be down at once
}

// Observation is what the controller sees.
type Observation struct {
	Machines []Machine
	Pools    []Pool
	Loads    map[string]Load // of the pools whose owner answers
	Waves    []Wave
}

// OrderKind is what is to happen to a machine.
type OrderKind uint8

// Kinds of orders.
const (
	OrderMove OrderKind = iota
	OrderMaintenance
)

// Order is an order for one machine.
type Order struct {
	Kind OrderKind
	Host string
	Pool string // of a move
	Wave int64  // of a maintenance
}

// Result is the outcome of an order.
type Result uint8

// Outcomes of orders.
const (
	// Done means that the order took effect, now or earlier.
	Done Result = iota
	// Busy means that the machine can't be taken at the moment.
	Busy
	// Impossible means that the order can never take effect.
	Impossible
	// Unanswered means that the order may have taken effect, or may later.
	Unanswered
)

// Plan is what the controller decided.
type Plan struct {
	Orders []Order
	// Evacuate lists the workers of each pool that shall get no new tasks and move their tasks away. It is complete.
	Evacuate map[string][]string
	// Status holds the waves whose state changed; the value tells whether the wave is completed.
	Status map[int64]bool
	// Balances holds the size and need of each pool, for the log.
	Balances []Balance
	// Progress holds the machines that had their maintenance, of the waves for which the set changed.
	Progress map[int64][]string
}

// Balance is the state of a pool in a round of moves.
type Balance struct {
	Pool string
	Size int // machines, with those on their way here and without those on their way elsewhere
	Need int // for lasting tasks and jobs that can meet their objective
	// Share is the part of Need that the pool gets while all pools together need more machines than there are.
	Share int
	// Wish is what the pool needs with the jobs that miss their objective anyway. Only machines on standby serve the rest.
	Wish int
}

// operation is a change of a machine that is under way.
type operation struct {
	order   Order
	worker  string // before the change
	pool    string
	begun   time.Duration
	ordered time.Duration // 0 until the order is sent
	waiting bool          // an order was sent whose result is not known
	settled bool          // the platform confirmed the order
}

// Controller decides on machines. It is not safe for concurrent use.
type Controller struct {
	begin    time.Duration       // no order before
	pause    time.Duration       // between orders of two controllers for one machine
	upSince  map[string]lifeSeen // by host
	seen     Observation
	machines map[string]Machine
	ops      map[string]*operation // by host
	waves    map[int64]*waveState
	idle     map[string]time.Duration // by host, since when it is idle
	pools    map[string]Pool
	// given is when a machine last joined or left a pool, so that machines do not swing between pools.
	given map[string]time.Duration
	// demand is the moving average of each pool's demand.
	demand map[string]demandAverage
	// mismatch holds moves that the platform refuses, because the pools have different machines.
	mismatch map[route]bool
}

// route is a move from one pool to another.
type route struct{ from, to string }

// lifeSeen is since when a machine is seen up as the same worker.
type lifeSeen struct {
	worker string
	since  time.Duration
	own    bool // this controller has ordered the machine
}

// clockReserve covers the difference between the clocks of two machines.
const clockReserve = time.Second

// New returns a controller that sends its first order at begin or later. A machine that an earlier controller may have
// ordered within pause gets its first order only after it; pause is zero for the first controller of a system.
func New(begin, pause time.Duration) *Controller {
	return &Controller{
		begin: begin, pause: pause, upSince: make(map[string]lifeSeen), ops: make(map[string]*operation), waves: make(map[int64]*waveState),
		idle: make(map[string]time.Duration), given: make(map[string]time.Duration),
		mismatch: make(map[route]bool), demand: make(map[string]demandAverage),
	}
}

// BeginAt brings the first order forward, when it is certain that the earlier controller orders nothing any more.
func (c *Controller) BeginAt(begin time.Duration) { c.begin = min(c.begin, begin) }

// Observe replaces what the controller sees.
func (c *Controller) Observe(o Observation, now time.Duration) {
	c.seen = o
	c.machines = make(map[string]Machine, len(o.Machines))
	for _, m := range o.Machines {
		c.machines[m.Host] = m
	}
	c.pools = make(map[string]Pool, len(o.Pools))
	for _, p := range o.Pools {
		c.pools[p.Name] = p
	}
	for _, w := range o.Waves {
		if c.waves[w.Number] == nil {
			c.waves[w.Number] = newWaveState(w, now)
		}
	}
	c.trackLives(now)
	c.finishOperations(now)
	c.trackIdle(now)
	c.trackDemand(now)
}

const (
	// orderTimeout is when an order without a visible effect is sent again.
	orderTimeout = 2 * time.Second
	// returnTime is when a machine that is up after an order counts as back, even if its worker kept its name.
	returnTime = 4 * time.Second
	// giveUpAfter is when an evacuation that does not end is given up, so that its machine serves again.
	giveUpAfter = 8 * time.Second
)

// finishOperations ends operations whose effect is visible, and those that take too long.
func (c *Controller) finishOperations(now time.Duration) {
	for host, op := range c.ops {
		m, listed := c.machines[host]
		switch {
		case !listed:
			delete(c.ops, host)
		case op.settled && m.State == Up && (m.Worker != op.worker || now-op.ordered > returnTime):
			c.given[host] = now
			delete(c.ops, host)
		case op.ordered == 0 && now-op.begun > giveUpAfter && op.order.Kind == OrderMove:
			delete(c.ops, host)
		}
	}
}

// trackLives notes since when each machine is up as the same worker.
func (c *Controller) trackLives(now time.Duration) {
	for host, m := range c.machines {
		seen := c.upSince[host]
		if m.State != Up || seen.worker != m.Worker {
			c.upSince[host] = lifeSeen{worker: m.Worker, since: now, own: seen.own}
		}
	}
}

// undisturbed tells whether no earlier controller ordered a machine within the pause. A machine that was ordered has a new
// worker, so the age of its worker tells.
func (c *Controller) undisturbed(m Machine, now time.Duration) bool {
	seen := c.upSince[m.Host]
	if c.pause == 0 || seen.own || now-seen.since >= c.pause {
		return true
	}
	w, ok := c.load(m)
	return ok && time.Duration(w.AgeMs)*time.Millisecond >= c.pause+clockReserve
}

// trackIdle notes since when each machine runs nothing.
func (c *Controller) trackIdle(now time.Duration) {
	busy := make(map[string]bool)
	for _, load := range c.seen.Loads {
		for _, w := range load.Workers {
			if w.Runs > 0 {
				busy[w.Worker] = true
			}
		}
	}
	for host, m := range c.machines {
		if busy[m.Worker] {
			delete(c.idle, host)
			continue
		}
		if _, ok := c.idle[host]; !ok {
			c.idle[host] = now
		}
	}
}

// Result applies the outcome of an order.
func (c *Controller) Result(o Order, r Result, now time.Duration) {
	op := c.ops[o.Host]
	if op == nil || op.order != o {
		return
	}
	op.waiting = false
	switch r {
	case Done:
		op.settled = true
		if o.Kind == OrderMaintenance {
			c.waves[o.Wave].markDone(o.Host)
		}
	case Busy:
		if o.Kind == OrderMove {
			delete(c.ops, o.Host)
			return
		}
		op.ordered = now
	case Impossible:
		if o.Kind == OrderMaintenance {
			c.waves[o.Wave].markDone(o.Host)
		} else {
			c.mismatch[route{op.pool, o.Pool}] = true
		}
		delete(c.ops, o.Host)
	case Unanswered:
	}
}

// Plan decides what to do now.
func (c *Controller) Plan(now time.Duration) Plan {
	p := Plan{Evacuate: make(map[string][]string), Status: make(map[int64]bool), Progress: make(map[int64][]string)}
	c.planWaves(now)
	c.planMoves(&p, now)
	c.collect(&p, now)
	return p
}

// collect writes evacuations and due orders of the operations into the plan.
func (c *Controller) collect(p *Plan, now time.Duration) {
	hosts := make([]string, 0, len(c.ops))
	for host := range c.ops {
		hosts = append(hosts, host)
	}
	slices.Sort(hosts)
	for _, host := range hosts {
		op := c.ops[host]
		if op.settled {
			continue
		}
		m := c.machines[host]
		p.Evacuate[m.Pool] = append(p.Evacuate[m.Pool], m.Worker)
		if op.waiting || now < c.begin || !c.orderDue(op, m, now) {
			continue
		}
		op.waiting = true
		op.ordered = now
		op.worker = m.Worker
		seen := c.upSince[host]
		seen.own = true
		c.upSince[host] = seen
		p.Orders = append(p.Orders, op.order)
	}
	c.collectWaves(p)
}

// orderDue tells whether an operation's order may be sent.
func (c *Controller) orderDue(op *operation, m Machine, now time.Duration) bool {
	if op.ordered > 0 && now-op.ordered < orderTimeout {
		return false
	}
	if m.State != Up {
		return op.ordered > 0 // repeats an order without an answer
	}
	if op.order.Kind == OrderMaintenance && op.ordered == 0 && !c.waves[op.order.Wave].room(c.down(op.order.Wave)) {
		return false
	}
	return c.empty(m) && c.undisturbed(m, now)
}

// down counts the machines that are down, or may be, for a wave. Those that an earlier controller ordered are listed as in
// maintenance.
func (c *Controller) down(wave int64) int {
	n := 0
	for _, host := range c.waves[wave].wave.Hosts {
		op := c.ops[host]
		ordered := op != nil && op.order.Kind == OrderMaintenance && op.order.Wave == wave && op.ordered > 0
		if ordered || c.machines[host].State == Maintenance {
			n++
		}
	}
	return n
}

// empty tells whether a machine can be taken without ending a task.
func (c *Controller) empty(m Machine) bool {
	if c.pools[m.Pool].Standby {
		return true
	}
	for _, w := range c.seen.Loads[m.Pool].Workers {
		if w.Worker == m.Worker {
			return w.Empty
		}
	}
	return false
}

// load returns what the owner of its pool says of a machine.
func (c *Controller) load(m Machine) (WorkerLoad, bool) {
	for _, w := range c.seen.Loads[m.Pool].Workers {
		if w.Worker == m.Worker {
			return w, true
		}
	}
	return WorkerLoad{}, false
}

// sortedMachines returns the machines by host, so that decisions do not depend on the order of a map.
func (c *Controller) sortedMachines() []Machine {
	ms := slices.Clone(c.seen.Machines)
	slices.SortFunc(ms, func(a, b Machine) int { return cmp.Compare(a.Host, b.Host) })
	return ms
}
