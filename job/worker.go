package job

import (
	"slices"
	"strings"
	"time"
)

const (
	// distrustAfter is how many tasks in a row must fail on a worker, in different jobs, before it is distrusted. A task
	// that can never succeed fails alone; a broken worker fails everything.
	distrustAfter = 3
	// distrustFor is how long a distrusted worker gets no tasks.
	distrustFor = 3 * time.Second
	// refusedPause is how long a worker that refused a start gets no tasks.
	refusedPause = 400 * time.Millisecond
	// restartTime is less than the time from a worker's crash until it may answer in its next life.
	restartTime = 300 * time.Millisecond
	// answerWithin is how recently a worker must have answered to get a start. Reports come at least each 1.5 s.
	answerWithin = 2500 * time.Millisecond
)

// worker is the owner's view of one life of a worker.
type worker struct {
	info   WorkerInfo
	listed bool // in the directory
	born   int64
	// recorded is the life for which a record is in the next commit or stored, registered the one that is stored. A worker
	// knows no fencing token at the begin of its life, so an owner that was replaced without knowing it could start tasks
	// there. It can't store a record any more, so nothing starts in a life that is not registered.
	recorded, registered int64
	restored             bool          // an earlier owner recorded the worker
	looked               bool          // a report was received by this owner
	lastLook             time.Duration // time at which the latest answered look was sent
	// leaseUntil is when everything that runs there has certainly ended, unless the lease is extended.
	leaseUntil time.Duration
	runs       map[TaskID]*run
	used       Resources
	// strays are running tasks that belong to no known run. Their size is not known, so nothing starts beside them.
	strays map[TaskID]int
	// processed is the greatest number of an end that was applied, stableEnd that of one that is also stored.
	processed, stableEnd int64
	// endsUntil is until when stableEnd certainly counts ends of the life that runs now.
	endsUntil  time.Duration
	failures   int // in a row
	failedJob  string
	distrusted time.Duration // gets no tasks before
	// heldUntil is until when an empty worker gets no tasks because its machine may be about to be taken away.
	heldUntil  time.Duration
	leaving    bool
	evacuating bool
	paced      time.Duration // last change of a share
}

// addWorker adds a worker that the owner has not looked at.
func (p *Pool) addWorker(info WorkerInfo, now Time) *worker {
	w := &worker{info: info, listed: true, runs: make(map[TaskID]*run)}
	if p.inherits(now) {
		w.leaseUntil = p.begin.Steady + p.cfg.InheritedLease
	}
	p.workers[info.ID] = w
	return w
}

// inherits tells whether workers may still hold tasks of an earlier owner.
func (p *Pool) inherits(now Time) bool {
	return now.Steady < p.begin.Steady+p.cfg.InheritedLease
}

// Directory replaces the list of workers.
func (p *Pool) Directory(infos []WorkerInfo, now Time) {
	seen := make(map[string]bool, len(infos))
	for _, info := range infos {
		seen[info.ID] = true
		w := p.workers[info.ID]
		if w == nil {
			w = p.addWorker(info, now)
			p.event(Event{Kind: "worker listed", Worker: info.ID, Why: strings.Join(info.Labels, ",")})
		}
		w.info = info
		w.listed = true
	}
	for id, w := range p.workers {
		if !seen[id] && w.listed {
			w.listed = false
			p.event(Event{Kind: "worker not listed", Worker: id})
		}
	}
}

// register records a life of a worker. A later owner looks at the worker even if it is not listed then.
func (p *Pool) register(w *worker) {
	if w.recorded == w.born {
		return
	}
	w.recorded = w.born
	key := keyWorker + w.info.ID
	p.workerRecords[key] = Record{Key: key, Value: encode(workerRecord{Pool: p.cfg.Pool, Info: w.info, Born: w.born})}
}

// dropWorker forgets a worker on which nothing can run any more.
func (p *Pool) dropWorker(w *worker, now Time) {
	p.endRuns(w, "worker gone", now)
	delete(p.workers, w.info.ID)
	if w.recorded != 0 || w.restored {
		key := keyWorker + w.info.ID
		p.workerRecords[key] = Record{Key: key}
	}
	p.event(Event{Kind: "worker forgotten", Worker: w.info.ID})
}

// Extended records that an order extended the lease of a worker, whether or not it arrives.
func (p *Pool) Extended(id string, now Time) {
	if w := p.workers[id]; w != nil {
		w.leaseUntil = max(w.leaseUntil, now.Steady+p.cfg.MaxLease)
	}
}

// Gone records proof that nothing runs at a worker's address now: each run that was confirmed is over. A start without an
// answer may still be carried out in a next life of the same name.
func (p *Pool) Gone(id string, now Time) {
	w := p.workers[id]
	if w == nil {
		return
	}
	if w.looked || len(w.runs) > 0 {
		p.event(Event{Kind: "worker life over", Worker: id})
	}
	p.endLife(w, "worker gone", now.Steady, now)
	p.newLife(w, 0)
	if len(w.runs) == 0 {
		w.leaseUntil = now.Steady
	}
}

// endLife ends the runs that were confirmed up to a moment. Later orders may have reached the next life, if it has the same
// name; the next reports settle them.
func (p *Pool) endLife(w *worker, why string, upTo time.Duration, now Time) {
	for _, r := range w.sortedRuns() {
		if r.active > 0 && r.active <= upTo {
			p.loseRun(r, why, now)
		}
	}
}

// newLife resets what is known of a worker. Zero means that the next life has not reported yet.
func (p *Pool) newLife(w *worker, born int64) {
	w.born = born
	w.registered = 0
	w.strays = nil
	w.looked = born != 0
	w.processed, w.stableEnd = 0, 0
	w.failures = 0
	w.leaving = false
}

// endRuns ends all runs on a worker without a report.
func (p *Pool) endRuns(w *worker, why string, now Time) {
	for _, r := range w.sortedRuns() {
		p.loseRun(r, why, now)
	}
}

// loseRun ends a run without a report of its end.
func (p *Pool) loseRun(r *run, why string, now Time) {
	p.event(Event{Kind: "run lost", Task: r.task.id, Run: r.number, Worker: r.worker.info.ID, Why: why})
	if r.saved != "" {
		r.task.saved = r.saved
	}
	p.release(r, now)
}

func (w *worker) sortedRuns() []*run {
	rs := make([]*run, 0, len(w.runs))
	for _, r := range w.runs {
		rs = append(rs, r)
	}
	slices.SortFunc(rs, func(a, b *run) int { return compareTasks(a.task.id, b.task.id) })
	return rs
}

// release removes a run, so that its task may start again.
func (p *Pool) release(r *run, now Time) {
	t, w := r.task, r.worker
	delete(w.runs, t.id)
	w.used = w.used.Sub(t.step.reserved())
	if t.run == r {
		t.run = nil
		t.readyAt = now.Steady
		t.missing = now.Steady
	}
}

// attach adds a run of a task on a worker.
func (p *Pool) attach(t *task, w *worker, number int, state runState, now Time) *run {
	r := &run{task: t, number: number, worker: w, state: state, ordered: now.Steady, share: 100}
	t.run = r
	t.lastRun = max(t.lastRun, number)
	t.inherited = false
	t.job.started = true
	w.runs[t.id] = r
	w.used = w.used.Add(t.step.reserved())
	return r
}

// expire ends runs on workers whose lease has expired, and drops workers that are neither listed nor alive.
func (p *Pool) expire(now Time) {
	for _, w := range p.sortedWorkers() {
		if now.Steady < w.leaseUntil {
			continue
		}
		if len(w.runs) > 0 {
			p.endRuns(w, "lease expired", now)
		}
		if !w.listed && now.Steady-w.lastLook > answerWithin {
			p.dropWorker(w, now)
		}
	}
}

// unlooked returns until when tasks of an earlier owner may run on workers that this owner could not look at.
func (p *Pool) unlooked() time.Duration {
	var until time.Duration
	for _, w := range p.workers {
		if !w.looked {
			until = max(until, w.leaseUntil)
		}
	}
	return until
}

// failed counts a failed run for the trust in its worker.
func (w *worker) failed(t *task, now Time) bool {
	if w.failedJob == t.id.Job {
		return false
	}
	w.failedJob = t.id.Job
	w.failures++
	if w.failures < distrustAfter {
		return false
	}
	w.failures = distrustAfter - 1
	w.distrusted = now.Steady + distrustFor
	return true
}

// usable tells whether a worker may get a start.
func (w *worker) usable(now Time) bool {
	return w.listed && w.looked && w.registered == w.born && len(w.strays) == 0 && !w.info.Draining && !w.leaving && !w.evacuating &&
		now.Steady >= w.distrusted && now.Steady >= w.heldUntil && now.Steady-w.lastLook < answerWithin
}

// holdEmpty keeps a worker without tasks that was found by the first report free until the fleet controller was heard, because
// the earlier owner may have reported it as empty.
func (p *Pool) holdEmpty(w *worker, running int) {
	if running == 0 && !p.fleetHeard {
		w.heldUntil = p.begin.Steady + p.cfg.FleetWait
	}
}

// free returns the room on a worker.
func (w *worker) free() Resources { return w.info.Capacity.Sub(w.used) }

// WorkerStatus is what the owner's links need to know of a worker.
type WorkerStatus struct {
	Info WorkerInfo
	// StableEnd is the number up to which the worker may forget ends. It is 0 while the worker may have restarted since its
	// last report.
	StableEnd int64
	Born      int64
	// Wanted states that the worker's lease shall be extended.
	Wanted bool
}

// Workers returns the status of all workers.
func (p *Pool) Workers() []WorkerStatus {
	var out []WorkerStatus
	for _, w := range p.sortedWorkers() {
		out = append(out, WorkerStatus{Info: w.info, Born: w.born, Wanted: len(w.runs) > 0})
	}
	return out
}

// EndsSettled tells whether all ends that a worker reported are stored.
func (p *Pool) EndsSettled(id string) bool {
	w := p.workers[id]
	return w == nil || w.processed == w.stableEnd
}

// NoReport records that a request for a report had no answer. The worker may have restarted under its name, so that the
// numbers of its ends began anew.
func (p *Pool) NoReport(id string) {
	if w := p.workers[id]; w != nil {
		w.endsUntil = 0
	}
}

// Status returns the status of one worker for the next request for a report.
func (p *Pool) Status(id string, now Time) (WorkerStatus, bool) {
	w := p.workers[id]
	if w == nil {
		return WorkerStatus{}, false
	}
	s := WorkerStatus{Info: w.info, Born: w.born, Wanted: len(w.runs) > 0}
	if now.Steady < w.endsUntil {
		s.StableEnd = w.stableEnd
	}
	return s, true
}
