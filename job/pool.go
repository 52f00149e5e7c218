package job

import (
	"cmp"
	"slices"
	"time"
)

// housekeepingInterval is the time between looks for what is due by time. It is small against the time bounds of orders and leases.
const housekeepingInterval = 40 * time.Millisecond

// Config holds the bounds of a Pool.
type Config struct {
	Pool string
	// RunBase is the least number of the runs that this owner starts. A later owner needs a greater base than the numbers
	// that an earlier one used.
	RunBase int
	// MaxLease is how long after an order a worker may keep tasks alive, in the owner's time, with clock drift.
	MaxLease time.Duration
	// InheritedLease is how long after the takeover a worker that could not be looked at may keep tasks of an earlier owner.
	InheritedLease time.Duration
	// InheritedStops is how long after the takeover a stop that an earlier owner ordered may take until the run has ended.
	InheritedStops time.Duration
	// FleetWait is how long after the takeover an order of the fleet controller for a machine that the earlier owner reported
	// as empty may take effect. Zero means that there was no earlier owner.
	FleetWait time.Duration
	// KeepFinished is how long the state of a finished job stays known.
	KeepFinished time.Duration
	// RackFactor is how much longer a task takes away from its data.
	RackFactor float64
}

// Pool is the job manager's state for one pool of workers. It is not safe for concurrent use.
type Pool struct {
	cfg     Config
	jobs    map[string]*jobState
	workers map[string]*worker
	orders  []Order
	dirty   map[string]*jobState
	// workerRecords holds changes of the stored set of workers.
	workerRecords    map[string]Record
	lastHousekeeping time.Duration // time of the last housekeeping
	committing       bool
	evacuationsKnown bool // the fleet controller has told which workers it wants empty
	endsUncommitted  bool // ends of tasks of unknown jobs wait for being forgotten
	createdAt        Time
	estimates        estimates
	advice           map[StepID]*advice
	adviceRequests   []AdviceRequest
	backlog          backlog
	arrivals         arrivals
	events           []Event
}

// runState is what the owner knows of a run.
type runState uint8

const (
	runStarting runState = iota // ordered, not confirmed
	runActive                   // confirmed by an answer or a report
	runStopping                 // a stop is ordered
)

// run is one start of a task on a worker.
type run struct {
	task         *task
	number       int
	worker       *worker
	state        runState
	orderedAt    time.Duration // time of the last order about the run
	startSentAt  time.Duration // time of the last start sent
	tries        int           // starts or stops sent
	activeSince  time.Duration // since when it is known to run
	checkpoint   string        // last reported checkpoint
	progress     int           // last reported progress in percent
	speedPercent int           // percentage at which the task may work, as last ordered
	usage        int64         // last reported use, or tail latency in milliseconds
	adopted      bool          // started by an earlier owner
}

// task is one unit of work.
type task struct {
	job          *jobState
	id           TaskID
	step         *Step
	done         bool
	failed       []int   // numbers of the runs that failed
	lastFailedOn *worker // where the last run failed
	lastRun      int     // greatest number of a run that is known
	endedRun     int     // greatest number of a run whose end is known
	checkpoint   string
	run          *run
	// inherited tasks may run on a worker that this owner could not look at yet.
	inherited      bool
	reservedWorker *worker       // kept free of other tasks until there is room for this one
	readySince     time.Duration // since when it could start
	missing        time.Duration // since when a lasting task is not at work
}

// occurrence is one execution of a job's steps.
type occurrence struct {
	number          int
	steps           [][]*task
	unfinished      []int // tasks of each step that are not done
	unfinishedTotal int   // tasks that are not done
	// late states that it misses its objective even if the rest begins at once.
	late bool
}

// jobState is a job and its progress.
type jobState struct {
	spec            *Spec
	phase           Phase
	storedPhase     Phase // as stored
	stored          bool  // the specification is stored
	started         bool
	endMs           int64
	acceptedAt      time.Duration
	lastExplained   time.Duration // time of the last log line on why it waits
	firstUnfinished int           // least occurrence that is not done
	nextDue         int           // least occurrence that is not yet due
	occurrences     map[int]*occurrence
	dirtySpec       bool
	dirtyProgress   bool
	removed         bool // to be deleted from the store
	committing      bool // in the outstanding commit
}

// New returns an empty pool.
func New(cfg Config, now Time) *Pool {
	return &Pool{
		cfg:           cfg,
		jobs:          make(map[string]*jobState),
		workers:       make(map[string]*worker),
		dirty:         make(map[string]*jobState),
		workerRecords: make(map[string]Record),
		createdAt:     now,
		estimates:     newEstimates(),
		advice:        make(map[StepID]*advice),
	}
}

// Restore adds the stored jobs and workers of the pool. It is called once, before any other event.
func (p *Pool) Restore(l *Loaded, now Time) {
	for _, lj := range l.Specs {
		if lj.Spec.Pool != p.cfg.Pool {
			continue
		}
		p.restoreJob(lj, now)
	}
	for _, info := range l.Workers[p.cfg.Pool] {
		w := p.addWorker(info, now)
		w.listed = false
		w.restored = true
	}
}

func (p *Pool) restoreJob(lj LoadedJob, now Time) {
	j := &jobState{
		spec: lj.Spec, phase: lj.Phase, storedPhase: lj.Phase, stored: true, endMs: lj.EndMs,
		acceptedAt:      now.Steady - time.Duration(now.WallMs-lj.Spec.AcceptedMs)*time.Millisecond,
		firstUnfinished: lj.progress.First,
		nextDue:         lj.progress.First,
		occurrences:     make(map[int]*occurrence),
	}
	p.jobs[lj.Spec.ID] = j
	if j.phase != Active {
		return
	}
	p.createDueOccurrences(j, now)
	for _, r := range lj.progress.Tasks {
		t := p.task(TaskID{Job: j.spec.ID, Occurrence: r.Occurrence, Step: r.Step, Index: r.Index})
		if t == nil {
			continue
		}
		t.failed, t.lastRun, t.endedRun, t.checkpoint = r.Failed, r.LastRun, r.LastRun, r.Saved
		if r.Done {
			p.setDone(t)
		}
	}
	for _, o := range j.occurrences {
		o.eachTask(func(t *task) { t.inherited = true })
	}
}

func (o *occurrence) eachTask(f func(*task)) {
	for _, step := range o.steps {
		for _, t := range step {
			f(t)
		}
	}
}

// createDueOccurrences creates the occurrences that are due.
func (p *Pool) createDueOccurrences(j *jobState, now Time) {
	total := max(1, j.spec.Occurrences)
	for j.nextDue < total {
		if j.spec.Occurrences > 0 && now.WallMs < j.spec.StartMs+int64(j.nextDue)*j.spec.IntervalMs {
			return
		}
		j.occurrences[j.nextDue] = newOccurrence(j, j.nextDue, now)
		j.nextDue++
	}
}

func newOccurrence(j *jobState, number int, now Time) *occurrence {
	o := &occurrence{number: number, unfinished: make([]int, len(j.spec.Steps))}
	for i := range j.spec.Steps {
		step := &j.spec.Steps[i]
		tasks := make([]*task, step.Count)
		for k := range tasks {
			id := TaskID{Job: j.spec.ID, Occurrence: number, Step: i, Index: k}
			tasks[k] = &task{job: j, id: id, step: step, readySince: now.Steady}
		}
		o.steps = append(o.steps, tasks)
		o.unfinished[i] = step.Count
		o.unfinishedTotal += step.Count
	}
	return o
}

// task returns a task that is known, or nil.
func (p *Pool) task(id TaskID) *task {
	j := p.jobs[id.Job]
	if j == nil {
		return nil
	}
	o := j.occurrences[id.Occurrence]
	if o == nil || id.Step >= len(o.steps) || id.Index >= len(o.steps[id.Step]) {
		return nil
	}
	return o.steps[id.Step][id.Index]
}

// ready tells whether all steps on which a step depends are done.
func (o *occurrence) ready(s *Step) bool {
	for _, d := range s.DependsOn {
		if o.unfinished[d] > 0 {
			return false
		}
	}
	return true
}

func (p *Pool) markDirty(j *jobState) {
	j.dirtyProgress = true
	p.dirty[j.spec.ID] = j
}

// setDone marks a task as done and finishes its occurrence and job when it was the last.
func (p *Pool) setDone(t *task) {
	if t.done {
		return
	}
	t.done = true
	o := t.job.occurrences[t.id.Occurrence]
	o.unfinished[t.id.Step]--
	o.unfinishedTotal--
}

// finishOccurrences moves a job past occurrences that are done, and completes it after the last.
func (p *Pool) finishOccurrences(j *jobState, now Time) {
	for j.firstUnfinished < j.nextDue && (j.occurrences[j.firstUnfinished] == nil || j.occurrences[j.firstUnfinished].unfinishedTotal == 0) {
		delete(j.occurrences, j.firstUnfinished)
		j.firstUnfinished++
	}
	if j.phase == Active && j.firstUnfinished >= max(1, j.spec.Occurrences) {
		p.finish(j, Completed, now)
	}
}

// finish ends a job.
func (p *Pool) finish(j *jobState, phase Phase, now Time) {
	j.phase = phase
	j.endMs = now.WallMs
	if j.spec.Advised {
		p.dropAdvice(j)
	}
	j.dirtySpec = true
	j.dirtyProgress = true
	p.dirty[j.spec.ID] = j
	p.event(Event{Kind: "job " + string(phase), Job: j.spec.ID, AgeMs: (now.Steady - j.acceptedAt).Milliseconds()})
}

// Tick advances the pool: at times it opens due occurrences, ends runs on workers whose lease has expired, repeats orders,
// schedules waiting tasks and forgets old jobs.
func (p *Pool) Tick(now Time) {
	if now.Steady-p.lastHousekeeping >= housekeepingInterval {
		p.lastHousekeeping = now.Steady
		p.housekeeping(now)
	}
	p.schedule(now)
}

// housekeeping does what is due by time rather than by events.
func (p *Pool) housekeeping(now Time) {
	p.expire(now)
	for id, j := range p.jobs {
		p.tickJob(id, j, now)
	}
	p.retryOrders(now)
	p.evacuate(now)
	p.adjustSpeeds(now)
}

func (p *Pool) tickJob(id string, j *jobState, now Time) {
	if j.phase == Active && j.stored {
		p.createDueOccurrences(j, now)
		p.finishOccurrences(j, now)
		p.explainWaiting(j, now)
		return
	}
	if j.phase != Active && j.storedPhase == j.phase && j.occurrences != nil && !j.hasRuns() {
		j.occurrences = nil
		j.spec = storedSpec(j)
	}
	if j.phase != Active && j.storedPhase == j.phase && now.WallMs-j.endMs > p.cfg.KeepFinished.Milliseconds() {
		j.removed = true
		p.dirty[id] = j
	}
}

// sortedWorkers returns the workers by identifier, so that decisions do not depend on the order of a map.
func (p *Pool) sortedWorkers() []*worker {
	ws := make([]*worker, 0, len(p.workers))
	for _, w := range p.workers {
		ws = append(ws, w)
	}
	slices.SortFunc(ws, func(a, b *worker) int { return cmp.Compare(a.info.ID, b.info.ID) })
	return ws
}
