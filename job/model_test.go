package job

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

// The model runs owners of one pool against workers and a store under random faults: orders and answers are lost, orders
// are carried out late or not sent, workers are partitioned or restart, and owners are replaced without knowing it. To replay one
// schedule:
//
//	go test ./job -run TestModel -model.seed=N -model.schedules=1
var (
	modelSeed      = flag.Uint64("model.seed", 1, "first seed of TestModel")
	modelTrace     = flag.Bool("model.trace", false, "print the owners' events")
	modelSchedules = flag.Int("model.schedules", 1500, "schedules of TestModel")
)

const (
	modelStep  = 20 * time.Millisecond
	modelLease = 5 * time.Second // that the owner requests
	// modelMaxLease is the longest lease that a worker grants, modelTransit the time that a prompt order takes at most.
	modelMaxLease = 6 * time.Second
	modelTransit  = 30 * time.Millisecond
	modelTTL      = 2 * time.Second
	modelFaults   = 12 * time.Second // end of the faults
	// modelHorizon is when all jobs must have ended. Long-running jobs take up to a quarter of the workers.
	modelHorizon        = 75 * time.Second
	modelTimeout        = 300 * time.Millisecond
	modelOrderTimeout   = 700 * time.Millisecond
	modelSettling       = 3 * time.Second        // covers the stop of a late start and its repetitions
	modelRestart        = 600 * time.Millisecond // from the crash of a worker to its restart
	modelPromptDelay    = 60 * time.Millisecond  // orders that take longer are late
	modelStartup        = 300 * time.Millisecond // until a long-running task is available
	modelAbsence        = 4500 * time.Millisecond
	modelMaxLongRunning = 3 // maximum per schedule, so that the other jobs have capacity
)

// modelRun is a run on a worker.
type modelRun struct {
	id        TaskID
	run       int
	ends      time.Duration // 0 never
	fails     bool
	size      Resources
	startedAt time.Duration
	number    int64
	how       End
	endedAt   time.Duration
	lapsed    bool // the worker's lease expired after the end
}

type modelWorker struct {
	id          string
	incarnation int64
	partitioned bool
	downUntil   time.Duration // crashed until this time
	fence       int64
	expires     time.Duration
	running     map[TaskID]*modelRun
	ended       []*modelRun
	number      int64
	highestRun  map[TaskID]int
	capacity    Resources
	contactedAt time.Duration // when this incarnation first answered a report request; 0 before
}

// modelOwner is an owner with its ownership epoch.
type modelOwner struct {
	pool          *Pool
	epoch         int64
	ownerUntil    time.Duration // it may send orders until this time
	answered      map[string]time.Duration
	nextReport    map[string]time.Duration
	pendingReport map[string]time.Duration // send time of the unanswered report request, or 0
}

// message is an order or report in flight.
type message struct {
	at time.Duration
	do func()
}

type model struct {
	rnd             *rand.Rand
	now             Time
	workers         []*modelWorker
	owners          []*modelOwner
	epoch           int64
	store           map[string][]byte
	inFlight        []message
	accepted        map[string]*Spec
	cancels         map[string]time.Duration
	done            map[TaskID]bool // completed on any worker
	acknowledged    map[TaskID]bool // completion acknowledged by an owner
	failed          map[TaskID]map[int]bool
	stopped         map[TaskID]bool          // long-running tasks that were stopped by an order and are not available again
	available       map[TaskID]time.Duration // when a long-running task was last available
	evacuationEnd   time.Duration            // end of the current evacuation, or 0
	longRunningJobs int                      // long-running jobs submitted so far
	errs            []string
	next            int
}

func newModel(seed uint64) *model {
	m := &model{
		rnd: rand.New(rand.NewPCG(seed, 7)), now: Time{Steady: time.Hour, WallMs: 1_000_000},
		store: make(map[string][]byte), accepted: make(map[string]*Spec), cancels: make(map[string]time.Duration),
		done: make(map[TaskID]bool), acknowledged: make(map[TaskID]bool), failed: make(map[TaskID]map[int]bool),
		stopped: make(map[TaskID]bool), available: make(map[TaskID]time.Duration),
	}
	for i := range 3 {
		m.workers = append(m.workers, &modelWorker{
			id: fmt.Sprintf("w%d", i), capacity: Resources{CPU: 4000, MemMB: 4000},
		})
		m.restart(m.workers[i])
	}
	m.takeOver()
	return m
}

func (m *model) errorf(format string, args ...any) {
	m.errs = append(m.errs, fmt.Sprintf("%v: ", m.now.Steady-time.Hour)+fmt.Sprintf(format, args...))
}

// unreachable reports whether a worker receives nothing.
func (w *modelWorker) unreachable(now Time) bool { return w.partitioned || now.Steady < w.downUntil }

// settled reports whether the owner has had the time to order an incarnation to stop the late starts of earlier ones. A late
// start that an incarnation carries out before its first contact with the owner can't be prevented.
func (w *modelWorker) settled(now Time) bool {
	return w.contactedAt != 0 && now.Steady-w.contactedAt > modelSettling
}

func (m *model) restart(w *modelWorker) {
	w.incarnation++
	w.fence, w.expires, w.number, w.contactedAt = 0, 0, 0, 0
	w.running, w.highestRun, w.ended = make(map[TaskID]*modelRun), make(map[TaskID]int), nil
}

// takeOver creates a new owner from the store. The old owner does not know and goes on for a while.
func (m *model) takeOver() {
	m.epoch++
	var records []Record
	for k, v := range m.store {
		records = append(records, Record{Key: k, Value: v})
	}
	slices.SortFunc(records, func(a, b Record) int { return strings.Compare(a.Key, b.Key) })
	lease := modelMaxLease + modelTransit
	o := &modelOwner{
		epoch: m.epoch, answered: make(map[string]time.Duration), nextReport: make(map[string]time.Duration),
		pendingReport: make(map[string]time.Duration),
		pool: New(Config{
			Pool: "pool", MinRunNumber: 1 + int(m.epoch-1)*64, MaxLease: lease, InheritedLease: modelTTL + lease,
			FinishedRetention: time.Minute, CrossRackFactor: 2, InheritedStopTimeout: 2 * modelPromptDelay,
		}, m.now),
	}
	o.pool.Restore(Decode(records), m.now)
	for _, old := range m.owners {
		old.ownerUntil = min(old.ownerUntil, m.now.Steady+modelTTL)
	}
	o.ownerUntil = m.now.Steady + time.Hour
	m.owners = append(m.owners, o)
}

func (m *model) owner() *modelOwner { return m.owners[len(m.owners)-1] }

func (m *model) faulty() bool { return m.now.Steady-time.Hour < modelFaults }

// chance returns true with probability p while faults are injected.
func (m *model) chance(p float64) bool { return m.faulty() && m.rnd.Float64() < p }

// send delivers f soon, late or never.
func (m *model) send(f func()) {
	switch {
	case m.chance(0.04):
		return
	case m.chance(0.04):
		m.inFlight = append(m.inFlight, message{m.now.Steady + time.Duration(m.rnd.IntN(6000))*time.Millisecond, f})
	default:
		m.inFlight = append(m.inFlight, message{m.now.Steady + time.Duration(m.rnd.IntN(int(modelTransit/time.Millisecond)))*time.Millisecond, f})
	}
}

func (m *model) submit() {
	id := fmt.Sprintf("j%d", m.next)
	m.next++
	s := &Spec{ID: id, Pool: "pool", Queue: "q", Attempts: 2, ObjectiveFactor: 1000, ObjectiveMargin: time.Hour, AcceptedMs: m.now.WallMs}
	if m.rnd.IntN(6) == 0 && m.longRunningJobs < modelMaxLongRunning {
		m.longRunningJobs++
		s.Steps = []Step{{Count: 2, Request: Resources{CPU: 500, MemMB: 100}, LongRunning: true, DisruptionBudget: 1, MaxPerWorker: 1}}
		m.owner().pool.Submit(s, m.now)
		m.accepted[id] = s
		return
	}
	for i := range 1 + m.rnd.IntN(3) {
		step := Step{Count: 1 + m.rnd.IntN(4), Request: Resources{CPU: int64(500 + m.rnd.IntN(2000)), MemMB: 100}, Estimate: time.Second}
		if i > 0 {
			step.DependsOn = []int{i - 1}
		}
		if m.rnd.IntN(4) == 0 {
			step.MaxPerWorker = 2
		}
		s.Steps = append(s.Steps, step)
	}
	m.owner().pool.Submit(s, m.now)
	m.accepted[id] = s
}

func (m *model) step() {
	m.now.Steady += modelStep
	m.now.WallMs += modelStep.Milliseconds()
	m.faults()
	if m.now.Steady-time.Hour < modelFaults && m.rnd.IntN(25) == 0 {
		m.submit()
	}
	for _, w := range m.workers {
		m.advance(w)
	}
	m.deliver()
	for _, o := range m.owners {
		if m.now.Steady < o.ownerUntil {
			m.stepOwner(o)
		}
	}
}

func (m *model) faults() {
	if m.chance(0.004) {
		m.takeOver()
	}
	for _, w := range m.workers {
		switch {
		case m.chance(0.003):
			w.partitioned = !w.partitioned
		case m.chance(0.001):
			m.restart(w)
			w.downUntil = m.now.Steady + modelRestart
			if m.rnd.IntN(2) == 0 {
				cut := w.downUntil + time.Duration(m.rnd.IntN(1500))*time.Millisecond
				m.inFlight = append(m.inFlight, message{cut, func() { w.partitioned = m.faulty() }})
			}
		}
		if !m.faulty() {
			w.partitioned = false
		}
	}
	m.evacuate()
	if len(m.accepted) > 0 && m.chance(0.01) {
		id := fmt.Sprintf("j%d", m.rnd.IntN(m.next))
		if _, cancelled := m.cancels[id]; !cancelled && m.owner().pool.Cancel(id, m.now) == Pending {
			m.cancels[id] = m.now.Steady
		}
	}
}

// evacuate makes the owner evacuate a worker for a while, as the fleet controller does.
func (m *model) evacuate() {
	if m.evacuationEnd != 0 && m.now.Steady > m.evacuationEnd {
		m.evacuationEnd = 0
		m.owner().pool.Evacuate(nil)
	}
	if m.evacuationEnd == 0 && m.chance(0.01) {
		m.evacuationEnd = m.now.Steady + 3*time.Second
	}
	if m.evacuationEnd != 0 {
		m.owner().pool.Evacuate([]string{m.workers[int(m.evacuationEnd/modelStep)%len(m.workers)].id})
	}
}

func (m *model) deliver() {
	var due []message
	rest := m.inFlight[:0:0]
	for _, msg := range m.inFlight {
		if msg.at <= m.now.Steady {
			due = append(due, msg)
		} else {
			rest = append(rest, msg)
		}
	}
	m.inFlight = rest
	for _, msg := range due {
		msg.do()
	}
}

// stepOwner does the work of the surrounding process: commits, orders and report requests.
func (m *model) stepOwner(o *modelOwner) {
	var infos []WorkerInfo
	for _, w := range m.workers {
		infos = append(infos, WorkerInfo{ID: w.id, Capacity: w.capacity})
	}
	o.pool.UpdateDirectory(infos, m.now)
	o.pool.Tick(m.now)
	for _, order := range o.pool.TakeOrders() {
		m.sendOrder(o, order)
	}
	for _, e := range o.pool.TakeEvents() {
		if *modelTrace {
			fmt.Printf("%v epoch %d: %+v\n", m.now.Steady-time.Hour, o.epoch, e)
		}
	}
	m.commit(o)
	for _, w := range m.workers {
		if begun := o.pendingReport[w.id]; begun != 0 && m.now.Steady-begun > modelTimeout {
			o.pendingReport[w.id] = 0
			o.pool.ReportFailed(w.id, false)
		}
		if m.now.Steady >= o.nextReport[w.id] && o.pendingReport[w.id] == 0 {
			o.nextReport[w.id] = m.now.Steady + 200*time.Millisecond
			m.requestReport(o, w)
		}
	}
}

func (m *model) commit(o *modelOwner) {
	c := o.pool.TakeCommit()
	if c == nil {
		return
	}
	if o.epoch < m.epoch {
		o.ownerUntil = 0 // fenced
		return
	}
	for _, r := range c.Records {
		if len(r.Value) == 0 {
			delete(m.store, r.Key)
			continue
		}
		m.store[r.Key] = r.Value
	}
	o.pool.Committed(c, m.now)
}

func (m *model) sendOrder(o *modelOwner, order Order) {
	w := m.workers[int(order.Worker[1]-'0')]
	expires := m.now.Steady + modelLease
	sent, known := m.now.Steady, o.pool.workers[w.id].incarnation
	if m.chance(0.03) {
		m.send(func() { o.pool.applyResult(order, ResultNotSent, m.now) })
		return
	}
	answered := false
	m.inFlight = append(m.inFlight, message{sent + modelOrderTimeout, func() {
		if !answered {
			o.pool.applyResult(order, ResultNoAnswer, m.now)
		}
		answered = true
	}})
	m.send(func() {
		if w.unreachable(m.now) {
			return
		}
		if w.incarnation != known {
			if m.now.Steady-sent > modelTransit && !w.settled(m.now) {
				return
			}
			// The end of the lease is far in the future on the clock of this incarnation, which shortens it.
			expires = m.now.Steady + modelMaxLease
		}
		if order.Kind == OrderStop && o.epoch >= w.fence && m.now.Steady-sent <= modelPromptDelay {
			m.checkBudget(w, order)
		}
		result, fenced := m.execute(o, w, order, expires)
		m.send(func() {
			if fenced {
				o.ownerUntil = 0
			}
			if fenced || answered {
				return
			}
			answered = true
			o.pool.applyResult(order, result, m.now)
		})
	})
}

// applyResult passes the result of an order to the pool.
func (p *Pool) applyResult(o Order, result Result, now Time) {
	switch o.Kind {
	case OrderStart:
		p.Started(o, result, now)
	case OrderStop:
		p.Stopped(o, result, now)
	case OrderSetSpeed:
	}
}

func (m *model) requestReport(o *modelOwner, w *modelWorker) {
	status, ok := o.pool.Status(w.id, m.now)
	if !ok {
		return
	}
	expires := time.Duration(0)
	if status.ExtendLease && m.now.Steady-o.answered[w.id] < 2*time.Second {
		expires = m.now.Steady + modelLease
		o.pool.LeaseExtended(w.id, m.now)
	}
	sent, incarnation := m.now.Steady, w.incarnation
	o.pendingReport[w.id] = sent
	if w.unreachable(m.now) {
		return // no connection
	}
	m.send(func() {
		if w.unreachable(m.now) || w.incarnation != incarnation {
			return
		}
		if o.epoch < w.fence {
			m.send(func() { o.ownerUntil = 0 })
			return
		}
		w.fence = o.epoch
		if w.contactedAt == 0 {
			w.contactedAt = m.now.Steady
		}
		w.expires = max(w.expires, expires)
		m.acknowledge(w, status.StableEnd)
		rep := w.report(sent, m.now)
		m.send(func() {
			if o.pendingReport[w.id] != sent {
				return // timed out
			}
			o.pendingReport[w.id] = 0
			o.answered[w.id] = m.now.Steady
			o.pool.Report(rep, m.now)
		})
	})
}

// check verifies at the end that no accepted job was lost.
func (m *model) check() {
	for id, spec := range m.accepted {
		state, known := m.owner().pool.StateOf(id)
		if !known {
			if m.store[keySpec+id] != nil {
				m.errorf("%s is stored, but unknown to the owner", id)
			}
			continue
		}
		switch state {
		case StateCompleted:
			for i := range spec.Steps {
				for k := range spec.Steps[i].Count {
					if !m.done[TaskID{Job: id, Step: i, Index: k}] {
						m.errorf("%s is reported as completed, but task %d.%d is not done", id, i, k)
					}
				}
			}
		case StateCancelled, StateFailed:
		case StateRunning:
			if !spec.longRunning() {
				m.errorf("%s is running at the end", id)
			}
		default:
			m.errorf("%s is %s at the end", id, state)
		}
	}
}

// open reports whether any job has not ended.
func (m *model) open() bool {
	for id, spec := range m.accepted {
		if spec.longRunning() {
			continue
		}
		if state, known := m.owner().pool.StateOf(id); known && (state == StateQueued || state == StateRunning) {
			return true
		}
	}
	return false
}

func (m *model) run() []string {
	for m.now.Steady-time.Hour < modelHorizon && len(m.errs) == 0 && (m.faulty() || m.open()) {
		m.step()
	}
	if len(m.errs) == 0 {
		m.check()
	}
	return m.errs
}

// TestModel guards, under random faults, against lost jobs and against these runs of a task: a second one while another is
// active or after completion was acknowledged, one before the steps that it depends on are done, one of a job that was not
// accepted, and one that exceeds the worker's capacity or the step's maximum of tasks per worker. It also checks that no
// task starts long after its job was cancelled or after its last attempt failed, and that stops respect the step's
// disruption budget.
func TestModel(t *testing.T) {
	for i := range *modelSchedules {
		seed := *modelSeed + uint64(i)
		if errs := newModel(seed).run(); len(errs) > 0 {
			t.Fatalf("seed %d (replay: go test ./job -run TestModel -model.seed=%d -model.schedules=1):\n%s",
				seed, seed, strings.Join(errs, "\n"))
		}
	}
}
