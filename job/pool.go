package job

import (
	"cmp"
	"slices"
	"time"

	"github.com/berylwharf/berylwharf/interference"
)

// housekeepingInterval is the time between checks for time-based work. It is short compared with the timeouts of orders
// and leases.
const housekeepingInterval = 40 * time.Millisecond

// removalInterval is the time between checks for finished jobs to remove. They are kept for minutes.
const removalInterval = time.Second

// Config holds the timeouts and limits of a Pool.
type Config struct {
	Pool string
	// OwnerEpoch is the epoch of the owner of the pool.
	OwnerEpoch int64
	// AwaitCaps means that the jobs of customers start only after the first call to SetCaps.
	AwaitCaps bool
	// MinRunNumber is the lowest number of the runs that this owner starts. It must be greater than every run number
	// that an earlier owner used.
	MinRunNumber int
	// MaxLease is how long after an order a worker may keep tasks alive, on the owner's clock and including clock
	// drift.
	MaxLease time.Duration
	// InheritedLease is how long after the takeover a worker that has not reported may keep tasks of an earlier owner.
	InheritedLease time.Duration
	// InheritedStopTimeout is how long after the takeover a stop ordered by an earlier owner may take until the run has
	// ended.
	InheritedStopTimeout time.Duration
	// InheritedFleetTimeout is how long after the takeover an order of the fleet controller may take effect on a
	// machine that the earlier owner reported as empty. Zero means that there was no earlier owner.
	InheritedFleetTimeout time.Duration
	// FinishedRetention is how long the state of a finished job is kept.
	FinishedRetention time.Duration
	// CrossRackFactor is the factor by which a task takes longer on another rack than that of its data.
	CrossRackFactor float64
	// RecordBytes is the size of the largest record that can be stored. Zero means no limit.
	RecordBytes int
	// Memory limits the memory of the jobs; nil for no limit. Other pools may use it, too.
	Memory *MemoryBudget
	// IgnoreInterference turns off what the pool learns about the interference of tasks with an image.
	IgnoreInterference bool
}

// Pool is the state of the job manager for one pool of workers. It is not safe for concurrent use.
type Pool struct {
	cfg  Config
	jobs map[string]*jobState
	// open holds the jobs that are active or have tasks in memory. Most jobs have ended and are kept for their state only.
	open    map[string]*jobState
	workers map[string]*worker
	// workersVersion increases when workers are added, changed or dropped.
	workersVersion int64
	orders         []Order
	dirty          map[string]*jobState // jobs with uncommitted changes
	// workerRecords holds uncommitted changes of the stored set of workers.
	workerRecords    map[string]Record
	lastHousekeeping time.Duration
	lastRemoval      time.Duration // when finished jobs were last checked for removal
	committing       bool
	evacuationsKnown bool // the fleet controller has sent the set of workers to evacuate
	endsUncommitted  bool // processed run ends, possibly of unknown jobs, wait for a commit
	createdAt        Time
	estimates        estimates
	advice           map[StepID]*advice
	adviceRequests   []AdviceRequest
	backlog          backlog
	arrivals         arrivals
	events           []Event
	customers        map[string]CustomerLimits // by name
	interference     interferenceState
	quota            quotaState
	shares           shares
}

// runState is what the owner knows about a run.
type runState uint8

const (
	runStarting runState = iota // ordered, not confirmed
	runActive                   // confirmed by an answer or a report
	runStopping                 // a stop is ordered
)

// run is one execution of a task on a worker.
type run struct {
	task         *task
	number       int
	worker       *worker
	incarnation  int64 // of the worker, for which the start was decided; 0 for a run that another owner started
	state        runState
	orderedAt    time.Duration // time of the last order for the run
	startSentAt  time.Duration // time of the last start order
	tries        int           // start or stop orders sent
	activeSince  time.Duration // when the start or stop was confirmed; 0 while unconfirmed
	checkpoint   string        // last reported checkpoint
	progress     int           // last reported progress in percent
	speedPercent int           // percentage of full speed, as last ordered
	usage        int64         // last reported usage, or tail latency in milliseconds
	adopted      bool          // started by an earlier owner
	// kind is set for a latency-critical or best-effort task with an image.
	kind  *interference.Kind
	speed speedState
}

// task is one unit of work.
type task struct {
	job          *jobState
	id           TaskID
	step         *Step
	done         bool
	failed       []int   // numbers of the runs that failed
	lastFailedOn *worker // worker of the last failed run
	lastRun      int     // highest run number that is known
	endedRun     int     // highest number of a run that is known to have ended
	checkpoint   string
	run          *run
	// inherited tasks may run on a worker that has not reported to this owner yet.
	inherited        bool
	reservedWorker   *worker       // kept free of other tasks until this one fits
	readySince       time.Duration // time since which the task could start
	unavailableSince time.Duration // time since which a long-running task is unavailable
}

// occurrence is one execution of the steps of a job.
type occurrence struct {
	number          int
	steps           [][]*task
	unfinished      []int // tasks of each step that are not done
	unfinishedTotal int   // over all steps
	// late states that the objective is missed even if the remaining tasks start at once.
	late bool
}

// jobState is a job and its progress.
type jobState struct {
	spec            *Spec
	phase           Phase
	storedPhase     Phase // as of the last stored commit
	stored          bool  // the specification is stored
	started         bool
	endMs           int64
	acceptedAt      time.Duration
	lastExplained   time.Duration // time of the last log line that explains why the job waits
	firstUnfinished int           // lowest occurrence that is not done
	nextDue         int           // lowest occurrence that is not yet due
	occurrences     map[int]*occurrence
	loaded          bool // accepted by an earlier owner
	dirtySpec       bool
	dirtyProgress   bool
	removed         bool // to be deleted from the store
	overRate        bool // submitted beyond the rate of its customer
	// tenant is cached by shares.of; it is valid while tenantGeneration is the generation of the shares.
	tenant           *tenant
	tenantGeneration int64
	committing       bool  // part of the outstanding commit
	memory           int64 // bytes counted in the budget
}

// New returns an empty pool.
func New(cfg Config, now Time) *Pool {
	return &Pool{
		cfg:           cfg,
		jobs:          make(map[string]*jobState),
		open:          make(map[string]*jobState),
		workers:       make(map[string]*worker),
		dirty:         make(map[string]*jobState),
		workerRecords: make(map[string]Record),
		createdAt:     now,
		estimates:     newEstimates(),
		advice:        make(map[StepID]*advice),
		interference:  interferenceState{estimator: interference.NewEstimator()},
		quota:         newQuotaState(cfg.OwnerEpoch),
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
	defer p.countInherited(now)
	for _, info := range l.Workers[p.cfg.Pool] {
		w := p.addWorker(info, now)
		w.listed = false
		w.restored = true
	}
	p.restoreLearned(l.learned[p.cfg.Pool], now)
}

func (p *Pool) restoreJob(lj LoadedJob, now Time) {
	j := &jobState{
		spec: lj.Spec, phase: lj.Phase, storedPhase: lj.Phase, stored: true, loaded: true, endMs: lj.EndMs,
		acceptedAt:      now.Steady - time.Duration(now.WallMs-lj.Spec.AcceptedMs)*time.Millisecond,
		firstUnfinished: lj.progress.First,
		nextDue:         lj.progress.First,
		occurrences:     make(map[int]*occurrence),
	}
	p.jobs[lj.Spec.ID] = j
	p.countMemory(j)
	if j.phase != Active {
		return
	}
	p.open[lj.Spec.ID] = j
	p.createDueOccurrences(j, now)
	for _, r := range lj.progress.Tasks {
		p.restoreOccurrences(j, r.Occurrence, now)
		t := p.task(TaskID{Job: j.spec.ID, Occurrence: r.Occurrence, Step: r.Step, Index: r.Index})
		if t == nil {
			continue
		}
		t.failed, t.lastRun, t.endedRun, t.checkpoint = r.Failed, r.LastRun, r.LastRun, r.Saved
		if r.Done {
			p.setDone(t)
		}
	}
}

func (o *occurrence) eachTask(f func(*task)) {
	for _, step := range o.steps {
		for _, t := range step {
			f(t)
		}
	}
}

// createDueOccurrences creates the occurrences that are due. One for which there is no memory, or of which the progress could not be
// stored together with that of the earlier ones, waits until those have ended.
func (p *Pool) createDueOccurrences(j *jobState, now Time) {
	total := max(1, j.spec.Occurrences)
	for j.nextDue < total && p.mayCreateOccurrence(j) {
		if j.spec.Occurrences > 0 && now.WallMs < j.spec.StartMs+int64(j.nextDue)*j.spec.IntervalMs {
			return
		}
		p.createOccurrence(j, now)
	}
}

// createOccurrence creates the next occurrence of a job. An earlier owner that has accepted the job may not know yet that it was
// replaced, and start the occurrence, too, until its leases have ended.
func (p *Pool) createOccurrence(j *jobState, now Time) {
	o := newOccurrence(j, j.nextDue, now)
	if j.loaded && p.inheritedLeasesActive(now) {
		o.eachTask(func(t *task) { t.inherited = true })
	}
	j.occurrences[j.nextDue] = o
	j.nextDue++
	p.countMemory(j)
}

// restoreOccurrences creates the occurrences of a job up to a number that an earlier owner has created. They need no memory in
// the budget: without them the owner would forget what is done of them.
func (p *Pool) restoreOccurrences(j *jobState, number int, now Time) {
	for j.nextDue <= min(number, max(1, j.spec.Occurrences)-1) {
		p.createOccurrence(j, now)
	}
}

// reportedTask returns the task of a run that a worker reports, or nil. It creates the occurrence of the task if an earlier owner had
// created it, as the run shows, and this one has had no memory for it.
func (p *Pool) reportedTask(id TaskID, now Time) *task {
	j := p.jobs[id.Job]
	if j != nil && j.loaded && j.phase == Active && id.Occurrence-j.firstUnfinished < p.maxOccurrences(j) {
		p.restoreOccurrences(j, id.Occurrence, now)
	}
	return p.task(id)
}

// maxOccurrences returns how many occurrences of a job may exist at the same time, whatever the memory.
func (p *Pool) maxOccurrences(j *jobState) int {
	if p.cfg.RecordBytes <= 0 {
		return max(1, j.spec.Occurrences)
	}
	return max(1, maxTasks(p.cfg.RecordBytes)/max(1, j.spec.tasks()))
}

// mayCreateOccurrence reports whether the tasks of another occurrence may exist beside those of the existing ones.
func (p *Pool) mayCreateOccurrence(j *jobState) bool {
	if len(j.occurrences) == 0 {
		return true
	}
	if p.cfg.RecordBytes > 0 && len(j.occurrences) >= p.maxOccurrences(j) {
		return false
	}
	return p.cfg.Memory.admits(j.spec.flow(), int64(j.spec.tasks())*taskMemory)
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

// task returns a known task, or nil.
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

// ready reports whether all steps on which a step depends are done.
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

// setDone marks a task as done and updates the counts of its occurrence.
func (p *Pool) setDone(t *task) {
	if t.done {
		return
	}
	t.done = true
	o := t.job.occurrences[t.id.Occurrence]
	o.unfinished[t.id.Step]--
	o.unfinishedTotal--
}

// finishOccurrences removes leading occurrences that are done, and completes the job after the last one.
func (p *Pool) finishOccurrences(j *jobState, now Time) {
	for j.firstUnfinished < j.nextDue && (j.occurrences[j.firstUnfinished] == nil || j.occurrences[j.firstUnfinished].unfinishedTotal == 0) {
		delete(j.occurrences, j.firstUnfinished)
		j.firstUnfinished++
		p.countMemory(j)
	}
	if j.phase == Active && j.firstUnfinished >= max(1, j.spec.Occurrences) {
		p.finish(j, Completed, now)
	}
}

// finish ends a job.
func (p *Pool) finish(j *jobState, phase Phase, now Time) {
	j.phase = phase
	j.endMs = now.WallMs
	if j.spec.NeedsAdvice {
		p.dropAdvice(j)
	}
	j.dirtySpec = true
	j.dirtyProgress = true
	p.dirty[j.spec.ID] = j
	p.event(Event{Kind: "job " + string(phase), Job: j.spec.ID, AgeMs: (now.Steady - j.acceptedAt).Milliseconds()})
}

// Tick advances the pool: it schedules pending tasks and, at intervals, opens due occurrences, ends runs on workers
// whose lease has expired, sends orders again and removes old jobs.
func (p *Pool) Tick(now Time) {
	if now.Steady-p.lastHousekeeping >= housekeepingInterval {
		p.lastHousekeeping = now.Steady
		p.housekeeping(now)
	}
	p.quota.now = now.Steady
	p.schedule(now)
}

// housekeeping does time-based work.
func (p *Pool) housekeeping(now Time) {
	p.expire(now)
	p.countInherited(now)
	for id, j := range p.open {
		p.tickJob(id, j, now)
	}
	if now.Steady-p.lastRemoval >= removalInterval {
		p.lastRemoval = now.Steady
		p.removeOldJobs(now)
	}
	p.retryOrders(now)
	p.evacuate(now)
	p.adjustSpeeds(now)
	p.snapshotLearned(now)
}

func (p *Pool) tickJob(id string, j *jobState, now Time) {
	if j.phase == Active && j.stored {
		p.createDueOccurrences(j, now)
		p.finishOccurrences(j, now)
		p.explainWaiting(j, now)
		return
	}
	if j.phase != Active && j.storedPhase == j.phase && !j.hasRuns() {
		j.occurrences = nil
		j.spec = storedSpec(j)
		p.countMemory(j)
		delete(p.open, id)
	}
}

// removeOldJobs removes the jobs whose state has been kept long enough.
func (p *Pool) removeOldJobs(now Time) {
	for id, j := range p.jobs {
		if j.phase != Active && j.storedPhase == j.phase && now.WallMs-j.endMs > p.cfg.FinishedRetention.Milliseconds() {
			j.removed = true
			p.dirty[id] = j
		}
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
