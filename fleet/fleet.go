package fleet

import (
	"cmp"
	"slices"
	"time"
)

// State is the state of a machine as reported by the platform.
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
	Worker string // ID of the worker that currently runs on the machine
}

// WorkerLoad is the load of one worker as reported by the owner of its pool.
type WorkerLoad struct {
	Worker string `cbor:"1,keyasint"`
	AgeMs  int64  `cbor:"5,keyasint,omitempty"` // time since the worker's start, measured with the clocks of two machines
	Runs   int    `cbor:"2,keyasint,omitempty"` // runs on the worker, started or about to start
	// LongRunning is the number of runs that end only when their job is cancelled.
	LongRunning int `cbor:"3,keyasint,omitempty"`
	// Evacuated reports that the worker is being evacuated, runs nothing and can start nothing.
	Evacuated bool `cbor:"4,keyasint,omitempty"`
}

// Load is the load of a pool, measured in machines.
type Load struct {
	Used    float64 `cbor:"1,keyasint,omitempty"` // occupied by running tasks
	Waiting float64 `cbor:"2,keyasint,omitempty"` // needed by tasks that are ready to start, without WaitingLate
	// UsedLate is the part of Used that belongs to jobs that miss their objective in any case. WaitingLate is what the
	// waiting tasks of such jobs need.
	UsedLate    float64      `cbor:"6,keyasint,omitempty"`
	WaitingLate float64      `cbor:"7,keyasint,omitempty"`
	Workers     []WorkerLoad `cbor:"3,keyasint,omitempty"`
	// OfferedLoad is the rate at which callers submit work, in machine-seconds per second. It does not include jobs with
	// long-running tasks or with scheduled occurrences.
	OfferedLoad float64 `cbor:"8,keyasint,omitempty"`
	// LongRunning is the part of Used that is occupied by long-running tasks.
	LongRunning float64 `cbor:"9,keyasint,omitempty"`
	// Labelled is the part of Waiting that needs workers with a particular label.
	Labelled []LabelDemand `cbor:"5,keyasint,omitempty"`
	// MinMachines is the number of machines that the pool needs at least, because a step limits its long-running tasks
	// per worker.
	MinMachines int `cbor:"4,keyasint,omitempty"`
}

// LabelDemand is the demand, in machines, of tasks that may only run on workers with a label.
type LabelDemand struct {
	Label   string  `cbor:"1,keyasint"`
	Waiting float64 `cbor:"2,keyasint"`
}

// Pool is a pool as configured.
type Pool struct {
	Name    string
	Standby bool // its machines are switched off and incur no cost
}

// Wave is a request to perform maintenance on a set of machines. It is stored, so the CBOR keys must not change.
type Wave struct {
	Number         int64         `cbor:"Number"`
	Hosts          []string      `cbor:"Hosts"`
	Deadline       time.Duration `cbor:"Deadline"` // relative to the time of the request
	MaxUnavailable int           `cbor:"Cap"`      // maximum number of machines that may be down at the same time
}

// Observation is the input of one planning round.
type Observation struct {
	Machines []Machine
	Pools    []Pool
	Loads    map[string]Load // by pool; only pools whose owner answered
	Waves    []Wave
}

// OrderKind is the kind of change to a machine.
type OrderKind uint8

// Kinds of orders.
const (
	OrderMove OrderKind = iota
	OrderMaintenance
)

// Order is an instruction to the platform to change one machine.
type Order struct {
	Kind OrderKind
	Host string
	Pool string // target pool of a move
	Wave int64  // wave that a maintenance belongs to
}

// Result is the outcome of an order.
type Result uint8

// Outcomes of orders.
const (
	// Done means that the order has taken effect, through this call or an earlier one.
	Done Result = iota
	// Busy means that the machine cannot be changed at the moment.
	Busy
	// Impossible means that the order can never take effect.
	Impossible
	// OutcomeUnknown means that the order may have taken effect or may still do so.
	OutcomeUnknown
)

// Plan is the result of one planning round.
type Plan struct {
	Orders []Order
	// Evacuate lists, by pool, all workers that must receive no new tasks and whose tasks are to be moved away. A
	// worker that is not listed is no longer evacuated.
	Evacuate map[string][]string
	// Status holds the waves whose state changed. The value reports whether the wave is completed.
	Status map[int64]bool
	// Balances holds the size and demand of each pool, for logging.
	Balances []Balance
	// Progress holds, for each wave whose set of maintained machines changed, all machines that have undergone
	// maintenance.
	Progress map[int64][]string
}

// Balance compares the size of a pool with its demand in one planning round.
type Balance struct {
	Pool string
	Size int // machines in the pool, including those moving in and excluding those moving out
	// Demand is the number of machines needed for long-running tasks and for jobs that can meet their objective, Need is
	// Demand plus the headroom for the start of a load peak.
	Demand, Need int
	// Allocation is the part of Need that the pool is granted. It is less than Need while the pools together need more
	// machines than exist.
	Allocation int
	// NeedIncludingLate is Need plus the demand of jobs that miss their objective in any case. Only standby machines are
	// used to satisfy the difference.
	NeedIncludingLate int
}

// operation is a change to a machine that is in progress.
type operation struct {
	order     Order
	worker    string // worker on the machine before the change
	fromPool  string
	startedAt time.Duration
	orderedAt time.Duration // when the order was last sent; 0 if it has not been sent
	inFlight  bool          // an order was sent and its result is not known yet
	confirmed bool          // the platform confirmed that the order took effect
}

// Controller plans moves and maintenance of machines. It is not safe for concurrent use.
type Controller struct {
	firstOrderAt  time.Duration           // no order is sent before this time
	handoverDelay time.Duration           // minimum time between orders of two controllers for the same machine
	upSince       map[string]workerUptime // by host
	observed      Observation
	machines      map[string]Machine
	sorted        []Machine // by host
	// workerLoads holds the load of each worker by pool and worker.
	workerLoads map[string]map[string]WorkerLoad
	ops         map[string]*operation // by host
	waves       map[int64]*waveState
	idleSince   map[string]time.Duration // by host
	pools       map[string]Pool
	// changedAt is when the last operation on a machine finished. It prevents machines from oscillating between pools.
	changedAt map[string]time.Duration
	// averageDemand is the moving average of the demand of each pool.
	averageDemand map[string]demandAverage
	// refusedRoutes holds the moves that the platform refuses because the machines of the two pools differ.
	refusedRoutes map[route]bool
}

// route identifies a move by its source and target pool.
type route struct{ from, to string }

// workerUptime records since when a machine has been observed up with the same worker.
type workerUptime struct {
	worker      string
	since       time.Duration
	orderedHere bool // this controller has sent an order for the machine
}

// clockSkewMargin covers the difference between the clocks of two machines.
const clockSkewMargin = time.Second

// New returns a controller that sends its first order at firstOrderAt or later. A machine that a preceding controller
// may have changed within handoverDelay receives its first order only after that delay. The delay is zero for the first
// controller of a system.
func New(firstOrderAt, handoverDelay time.Duration) *Controller {
	return &Controller{
		firstOrderAt: firstOrderAt, handoverDelay: handoverDelay,
		upSince: make(map[string]workerUptime), ops: make(map[string]*operation), waves: make(map[int64]*waveState),
		idleSince: make(map[string]time.Duration), changedAt: make(map[string]time.Duration),
		refusedRoutes: make(map[route]bool), averageDemand: make(map[string]demandAverage),
	}
}

// AllowOrdersFrom brings the time of the first order forward to an earlier one. It is called when the preceding
// controller is known to send no further orders.
func (c *Controller) AllowOrdersFrom(firstOrderAt time.Duration) {
	c.firstOrderAt = min(c.firstOrderAt, firstOrderAt)
}

// Observe replaces the controller's view of the fleet.
func (c *Controller) Observe(o Observation, now time.Duration) {
	c.observed = o
	c.machines = make(map[string]Machine, len(o.Machines))
	for _, m := range o.Machines {
		c.machines[m.Host] = m
	}
	// Decisions must not depend on the order in which the platform lists the machines.
	c.sorted = slices.Clone(o.Machines)
	slices.SortFunc(c.sorted, func(a, b Machine) int { return cmp.Compare(a.Host, b.Host) })
	c.workerLoads = make(map[string]map[string]WorkerLoad, len(o.Loads))
	for pool, load := range o.Loads {
		c.workerLoads[pool] = make(map[string]WorkerLoad, len(load.Workers))
		for _, w := range load.Workers {
			c.workerLoads[pool][w.Worker] = w
		}
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
	c.trackUptime(now)
	c.finishOperations(now)
	c.trackIdle(now)
	c.trackDemand(now)
}

const (
	// orderTimeout is the time after which an order without a visible effect is sent again.
	orderTimeout = 2 * time.Second
	// returnTimeout is the time after a confirmed order from which a machine that is up counts as back, even if its
	// worker kept its ID.
	returnTimeout = 4 * time.Second
	// evacuationTimeout bounds the evacuation for a move. After it the move is abandoned, so that the machine accepts
	// tasks again.
	evacuationTimeout = 8 * time.Second
)

// finishOperations removes operations whose effect is visible, those of machines that are no longer listed, and moves
// whose evacuation timed out.
func (c *Controller) finishOperations(now time.Duration) {
	for host, op := range c.ops {
		m, listed := c.machines[host]
		switch {
		case !listed:
			delete(c.ops, host)
		case op.confirmed && m.State == Up && (m.Worker != op.worker || now-op.orderedAt > returnTimeout):
			c.changedAt[host] = now
			delete(c.ops, host)
		case op.orderedAt == 0 && now-op.startedAt > evacuationTimeout && op.order.Kind == OrderMove:
			delete(c.ops, host)
		}
	}
}

// trackUptime records since when each machine has been up with the same worker.
func (c *Controller) trackUptime(now time.Duration) {
	for host, m := range c.machines {
		uptime := c.upSince[host]
		if m.State != Up || uptime.worker != m.Worker {
			c.upSince[host] = workerUptime{worker: m.Worker, since: now, orderedHere: uptime.orderedHere}
		}
	}
}

// outsideHandoverDelay reports whether no preceding controller can have ordered the machine within handoverDelay. An
// ordered machine gets a new worker, so a worker that is older than the delay proves it.
func (c *Controller) outsideHandoverDelay(m Machine, now time.Duration) bool {
	uptime := c.upSince[m.Host]
	if c.handoverDelay == 0 || uptime.orderedHere || now-uptime.since >= c.handoverDelay {
		return true
	}
	w, ok := c.workerLoad(m)
	return ok && time.Duration(w.AgeMs)*time.Millisecond >= c.handoverDelay+clockSkewMargin
}

// trackIdle records since when each machine has run no tasks.
func (c *Controller) trackIdle(now time.Duration) {
	busy := make(map[string]bool)
	for _, load := range c.observed.Loads {
		for _, w := range load.Workers {
			if w.Runs > 0 {
				busy[w.Worker] = true
			}
		}
	}
	for host, m := range c.machines {
		if busy[m.Worker] {
			delete(c.idleSince, host)
			continue
		}
		if _, ok := c.idleSince[host]; !ok {
			c.idleSince[host] = now
		}
	}
}

// Result applies the outcome of an order to the operation that it belongs to.
func (c *Controller) Result(o Order, r Result, now time.Duration) {
	op := c.ops[o.Host]
	if op == nil || op.order != o {
		return
	}
	op.inFlight = false
	switch r {
	case Done:
		op.confirmed = true
		if o.Kind == OrderMaintenance {
			c.waves[o.Wave].markDone(o.Host)
		}
	case Busy:
		if o.Kind == OrderMove {
			delete(c.ops, o.Host)
			return
		}
		op.orderedAt = now
	case Impossible:
		if o.Kind == OrderMaintenance {
			c.waves[o.Wave].markDone(o.Host)
		} else {
			c.refusedRoutes[route{op.fromPool, o.Pool}] = true
		}
		delete(c.ops, o.Host)
	case OutcomeUnknown:
	}
}

// Plan returns the evacuations, orders and wave states that follow from the last observation.
func (c *Controller) Plan(now time.Duration) Plan {
	p := Plan{Evacuate: make(map[string][]string), Status: make(map[int64]bool), Progress: make(map[int64][]string)}
	c.planWaves(now)
	c.planMoves(&p, now)
	c.collectOrders(&p, now)
	return p
}

// collectOrders adds the evacuations and due orders of all operations to the plan.
func (c *Controller) collectOrders(p *Plan, now time.Duration) {
	hosts := make([]string, 0, len(c.ops))
	for host := range c.ops {
		hosts = append(hosts, host)
	}
	slices.Sort(hosts)
	unavailable := make(map[int64]int) // by wave
	for n := range c.waves {
		unavailable[n] = c.countUnavailable(n)
	}
	for _, host := range hosts {
		op := c.ops[host]
		if op.confirmed {
			continue
		}
		m := c.machines[host]
		p.Evacuate[m.Pool] = append(p.Evacuate[m.Pool], m.Worker)
		if op.inFlight || now < c.firstOrderAt || !c.orderDue(op, m, unavailable[op.order.Wave], now) {
			continue
		}
		if op.order.Kind == OrderMaintenance && op.orderedAt == 0 {
			unavailable[op.order.Wave]++
		}
		op.inFlight = true
		op.orderedAt = now
		op.worker = m.Worker
		uptime := c.upSince[host]
		uptime.orderedHere = true
		c.upSince[host] = uptime
		p.Orders = append(p.Orders, op.order)
	}
	c.collectWaves(p)
}

// orderDue reports whether the order of an operation may be sent now. Unavailable is the number of machines of its wave
// that are down or may be.
func (c *Controller) orderDue(op *operation, m Machine, unavailable int, now time.Duration) bool {
	if op.orderedAt > 0 && now-op.orderedAt < orderTimeout {
		return false
	}
	if m.State != Up {
		return op.orderedAt > 0 // resend an order that was not confirmed
	}
	if op.order.Kind == OrderMaintenance && op.orderedAt == 0 && !c.waves[op.order.Wave].permitsAnother(unavailable) {
		return false
	}
	return c.isEmpty(m) && c.outsideHandoverDelay(m, now)
}

// countUnavailable returns the number of machines of a wave that are down or may be. Machines ordered by a preceding
// controller are included, because the platform lists them as in maintenance.
func (c *Controller) countUnavailable(wave int64) int {
	n := 0
	for _, host := range c.waves[wave].wave.Hosts {
		op := c.ops[host]
		ordered := op != nil && op.order.Kind == OrderMaintenance && op.order.Wave == wave && op.orderedAt > 0
		if ordered || c.machines[host].State == Maintenance {
			n++
		}
	}
	return n
}

// isEmpty reports whether a machine can be changed without terminating a task.
func (c *Controller) isEmpty(m Machine) bool {
	if c.pools[m.Pool].Standby {
		return true
	}
	w, _ := c.workerLoad(m)
	return w.Evacuated
}

// workerLoad returns the load of a machine's worker as reported by the owner of its pool.
func (c *Controller) workerLoad(m Machine) (WorkerLoad, bool) {
	w, ok := c.workerLoads[m.Pool][m.Worker]
	return w, ok
}
