package job

import (
	"slices"
	"strings"
	"time"
)

const (
	// failureThreshold is the number of consecutive failed runs, in different jobs, after which a worker gets no tasks
	// for failureBackoff. A task that can never succeed fails in its own job only; a broken worker fails the tasks of
	// every job.
	failureThreshold = 3
	// failureBackoff is how long a worker gets no tasks after it reached failureThreshold.
	failureBackoff = 3 * time.Second
	// refusalBackoff is how long a worker gets no tasks after it refused a start.
	refusalBackoff = 400 * time.Millisecond
	// minRestartTime is less than the time from a worker's crash to its first possible answer after the restart.
	minRestartTime = 300 * time.Millisecond
	// maxReportAge is the age of the last report beyond which a worker gets no starts. Reports arrive at least every
	// 1.5 s.
	maxReportAge = 2500 * time.Millisecond
	// removedReportAge is the age of the last report from which a worker that is in no list counts as removed.
	removedReportAge = 1500 * time.Millisecond
)

// worker is the owner's view of one incarnation of a worker.
type worker struct {
	info        WorkerInfo
	listed      bool // in the directory
	incarnation int64
	// recordedIncarnation is the incarnation whose record is stored or in the next commit, storedIncarnation the one
	// whose record is stored. A restarted worker knows no fencing token, so an owner that was replaced without knowing
	// it could start tasks there. Such an owner can no longer store a record, so tasks start only in an incarnation
	// whose record is stored.
	recordedIncarnation, storedIncarnation int64
	restored                               bool          // an earlier owner recorded the worker
	reported                               bool          // this owner has received a report
	endsKnown                              bool          // this owner has received a report that listed all ends
	lastReportSentAt                       time.Duration // when the latest answered report request was sent
	// leaseUntil is when everything that runs on the worker has certainly ended, unless the lease is extended.
	leaseUntil time.Duration
	runs       map[TaskID]*run
	unanswered map[TaskID]unansweredStart
	used       Resources
	// usedLongRunning is the part of used that long-running tasks occupy.
	usedLongRunning Resources
	// strays are running tasks that belong to no known run. Their size is unknown, so no task starts on the worker
	// while it has any.
	strays map[TaskID]int
	// processedEnd is the highest number of a run end that was applied, stableEnd the highest that is also stored.
	processedEnd, stableEnd int64
	// stableEndValidUntil is the time until which stableEnd certainly refers to the current incarnation of the worker.
	stableEndValidUntil time.Duration
	// refusing means that the last request for a report was refused by the worker's address.
	refusing            bool
	consecutiveFailures int
	lastFailedJob       string
	backoffUntil        time.Duration // the worker gets no tasks before this time
	// fleetHoldUntil is the time until which an empty worker gets no tasks, because its machine may be about to be
	// taken away.
	fleetHoldUntil  time.Duration
	leaving         bool
	evacuating      bool
	lateCharges     []lateCharge  // what counts for customers although it has no run
	lastSpeedChange time.Duration // when the speed of a task was last changed, except by raiseLearned
	coLocation      coLocation
}

// addWorker adds a worker that has not reported to this owner.
func (p *Pool) addWorker(info WorkerInfo, now Time) *worker {
	w := &worker{info: info, listed: true, runs: make(map[TaskID]*run)}
	if p.inheritedLeasesActive(now) {
		w.leaseUntil = p.createdAt.Steady + p.cfg.InheritedLease
	}
	p.workers[info.ID] = w
	p.workersVersion++
	return w
}

// inheritedLeasesActive reports whether workers may still run tasks of an earlier owner.
func (p *Pool) inheritedLeasesActive(now Time) bool {
	return now.Steady < p.createdAt.Steady+p.cfg.InheritedLease
}

// UpdateDirectory applies a new directory listing: it adds new workers, updates known ones and marks the others as not
// listed.
func (p *Pool) UpdateDirectory(infos []WorkerInfo, now Time) {
	p.workersVersion++
	seen := make(map[string]bool, len(infos))
	for _, info := range infos {
		seen[info.ID] = true
		w := p.workers[info.ID]
		if w == nil {
			w = p.addWorker(info, now)
			p.event(Event{Kind: "worker listed", Worker: info.ID, Reason: strings.Join(info.Labels, ",")})
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

// recordIncarnation adds a worker's incarnation to the next commit, so that a later owner requests a report from the
// worker even if it is no longer listed.
func (p *Pool) recordIncarnation(w *worker) {
	if w.recordedIncarnation == w.incarnation {
		return
	}
	w.recordedIncarnation = w.incarnation
	key := keyWorker + w.info.ID
	p.workerRecords[key] = Record{Key: key, Value: encode(workerRecord{Pool: p.cfg.Pool, Info: w.info, Incarnation: w.incarnation})}
}

// dropWorker removes a worker on which nothing can run any more.
func (p *Pool) dropWorker(w *worker, now Time) {
	p.loseRuns(w, "worker gone", now)
	p.dischargeLateStarts(w)
	delete(p.workers, w.info.ID)
	p.workersVersion++
	if w.recordedIncarnation != 0 || w.restored {
		key := keyWorker + w.info.ID
		p.workerRecords[key] = Record{Key: key}
	}
	p.event(Event{Kind: "worker forgotten", Worker: w.info.ID})
}

// LeaseExtended records that an order extends the lease of a worker, whether or not the order arrives.
func (p *Pool) LeaseExtended(id string, now Time) {
	if w := p.workers[id]; w != nil {
		p.leaseExtended(w, now)
	}
}

func (p *Pool) leaseExtended(w *worker, now Time) {
	w.leaseUntil = max(w.leaseUntil, now.Steady+p.cfg.MaxLease)
}

// WorkerGone records proof that nothing runs at a worker's address now: each run that was confirmed is over. An
// unanswered start may still be carried out by the next incarnation of the same name.
func (p *Pool) WorkerGone(id string, now Time) {
	w := p.workers[id]
	if w == nil {
		return
	}
	if w.reported || len(w.runs) > 0 {
		p.event(Event{Kind: "worker life over", Worker: id})
	}
	p.endIncarnation(w, "worker gone", now.Steady, now)
	p.startIncarnation(w, 0)
	if len(w.runs) == 0 {
		w.leaseUntil = now.Steady
	}
}

// WorkersRemoved records that the platform lists workers on no machine any more. A worker that the directory still lists,
// or that has reported lately, is not affected: one of the lists is old.
func (p *Pool) WorkersRemoved(ids []string, now Time) {
	for _, id := range ids {
		w := p.workers[id]
		if w != nil && !w.listed && now.Steady-w.lastReportSentAt > removedReportAge {
			p.WorkerGone(id, now)
		}
	}
}

// endIncarnation ends the runs that were confirmed up to a point in time. Later orders may have reached the next
// incarnation, if it has the same name; the next reports decide about those.
func (p *Pool) endIncarnation(w *worker, reason string, upTo time.Duration, now Time) {
	for _, r := range w.sortedRuns() {
		if r.activeSince > 0 && r.activeSince <= upTo {
			p.loseRun(r, reason, now)
		}
	}
}

// startIncarnation resets the state of a worker. Zero means that the next incarnation has not reported yet.
func (p *Pool) startIncarnation(w *worker, incarnation int64) {
	w.incarnation = incarnation
	w.storedIncarnation = 0
	w.strays = nil
	w.reported, w.endsKnown = incarnation != 0, false
	w.processedEnd, w.stableEnd = 0, 0
	w.consecutiveFailures = 0
	w.leaving = false
	p.chargeLateStarts(w)
}

// loseRuns ends all runs on a worker without reports of their ends.
func (p *Pool) loseRuns(w *worker, reason string, now Time) {
	for _, r := range w.sortedRuns() {
		p.loseRun(r, reason, now)
	}
}

// loseRun ends a run without a report of its end.
func (p *Pool) loseRun(r *run, reason string, now Time) {
	p.event(Event{Kind: "run lost", Task: r.task.id, Run: r.number, Worker: r.worker.info.ID, Reason: reason})
	if r.checkpoint != "" {
		r.task.checkpoint = r.checkpoint
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

// release detaches a run from its task and worker, so that the task may start again.
func (p *Pool) release(r *run, now Time) {
	t, w := r.task, r.worker
	delete(w.runs, t.id)
	p.dischargeRun(t)
	w.used = w.used.Sub(t.step.reserved())
	if t.step.LongRunning {
		w.usedLongRunning = w.usedLongRunning.Sub(t.step.reserved())
	}
	w.coLocation.remove(r, now)
	if t.run == r {
		t.run = nil
		t.readySince = now.Steady
		t.unavailableSince = now.Steady
	}
}

// attach adds a run of a task on a worker.
func (p *Pool) attach(t *task, w *worker, number int, state runState, now Time) *run {
	r := &run{task: t, number: number, worker: w, state: state, orderedAt: now.Steady, speedPercent: 100}
	t.run = r
	t.lastRun = max(t.lastRun, number)
	t.inherited = false
	t.job.started = true
	w.runs[t.id] = r
	p.chargeRun(t)
	w.used = w.used.Add(t.step.reserved())
	if t.step.LongRunning {
		w.usedLongRunning = w.usedLongRunning.Add(t.step.reserved())
	}
	p.coLocate(r, now)
	return r
}

// empty reports whether certainly nothing runs on a worker: it has reported, and no run, stray or unanswered start is left.
func (w *worker) empty() bool { return w.endsKnown && len(w.runs) == 0 && len(w.strays) == 0 }

// expire ends the runs on workers whose lease has expired, and drops workers that are not listed and no longer report.
func (p *Pool) expire(now Time) {
	for _, w := range p.sortedWorkers() {
		if now.Steady < w.leaseUntil && !w.empty() {
			continue
		}
		if len(w.runs) > 0 {
			p.loseRuns(w, "lease expired", now)
		}
		if !w.listed && now.Steady-w.lastReportSentAt > maxReportAge {
			p.dropWorker(w, now)
		}
	}
}

// unreportedLeasesEnd returns until when tasks of an earlier owner may run on workers that have not reported to this
// owner, or may have ended there without having been listed.
func (p *Pool) unreportedLeasesEnd() time.Duration {
	var until time.Duration
	for _, w := range p.workers {
		if !w.endsKnown {
			until = max(until, w.leaseUntil)
		}
		if w.reported && !w.endsKnown {
			until = max(until, w.lastReportSentAt+maxReportAge)
		}
	}
	return until
}

// recordFailure counts a failed run against its worker. It reports whether the worker gets no tasks for failureBackoff.
func (w *worker) recordFailure(t *task, now Time) bool {
	if w.lastFailedJob == t.id.Job {
		return false
	}
	w.lastFailedJob = t.id.Job
	w.consecutiveFailures++
	if w.consecutiveFailures < failureThreshold {
		return false
	}
	w.consecutiveFailures = failureThreshold - 1
	w.backoffUntil = now.Steady + failureBackoff
	return true
}

// described reports whether the directory entry describes the incarnation that reports. A restarted worker may have other
// labels and another capacity, and its entry and its first report arrive in any order.
func (w *worker) described() bool {
	return w.info.Incarnation == 0 || w.info.Incarnation == w.incarnation
}

// draining reports whether the incarnation that reports is about to leave.
func (w *worker) draining() bool { return w.leaving || (w.info.Draining && w.described()) }

// usable reports whether a worker may get a start.
func (w *worker) usable(now Time) bool {
	known := w.listed && w.reported && w.described() && w.storedIncarnation == w.incarnation
	staying := !w.refusing && !w.draining() && !w.evacuating
	return known && staying && len(w.strays) == 0 &&
		now.Steady >= w.backoffUntil && now.Steady >= w.fleetHoldUntil && now.Steady-w.lastReportSentAt < maxReportAge
}

// holdIfEmpty keeps a worker that has no tasks at its first report free until the fleet controller has sent the workers
// to evacuate, because the earlier owner may have reported the worker as empty.
func (p *Pool) holdIfEmpty(w *worker, running int) {
	if running == 0 && !p.evacuationsKnown {
		w.fleetHoldUntil = p.createdAt.Steady + p.cfg.InheritedFleetTimeout
	}
}

// maxWorkerRuns is the number of runs that a worker may have. Tasks that need little or nothing would otherwise be as many as there
// are, and the worker's reports with them.
const maxWorkerRuns = 1024

// hasRoom reports whether a worker has the free capacity for a request beside the given number of further runs.
func (w *worker) hasRoom(need Resources, further int) bool {
	return len(w.runs)+further < maxWorkerRuns && need.Fits(w.info.Capacity.Sub(w.used))
}

// WorkerStatus is what the owner's links need to know about a worker.
type WorkerStatus struct {
	Info WorkerInfo
	// StableEnd is the number up to which the worker may forget run ends. It is 0 while the worker may have restarted
	// since its last report.
	StableEnd   int64
	Incarnation int64
	// ExtendLease states that the worker's lease must be extended.
	ExtendLease bool
}

// WorkersVersion returns a number that increases whenever the workers or their addresses may have changed.
func (p *Pool) WorkersVersion() int64 { return p.workersVersion }

// Workers returns the status of all workers.
func (p *Pool) Workers() []WorkerStatus {
	var out []WorkerStatus
	for _, w := range p.sortedWorkers() {
		out = append(out, WorkerStatus{Info: w.info, Incarnation: w.incarnation, ExtendLease: len(w.runs) > 0})
	}
	return out
}

// EndsStored reports whether all run ends that a worker reported are stored.
func (p *Pool) EndsStored(id string) bool {
	w := p.workers[id]
	return w == nil || w.processedEnd == w.stableEnd
}

// ReportFailed records that a report request failed. The worker may have restarted with the same identifier and numbers
// its run ends from the beginning again in that case, so Status omits StableEnd until the next report.
//
// Refused means that the connection was refused. Most likely nothing listens there any more, so the worker gets no tasks,
// but its runs may go on behind a network that resets connections.
func (p *Pool) ReportFailed(id string, refused bool) {
	if w := p.workers[id]; w != nil {
		w.stableEndValidUntil = 0
		w.refusing = refused
	}
}

// Status returns the status of one worker for the next request for a report.
func (p *Pool) Status(id string, now Time) (WorkerStatus, bool) {
	w := p.workers[id]
	if w == nil {
		return WorkerStatus{}, false
	}
	s := WorkerStatus{Info: w.info, Incarnation: w.incarnation, ExtendLease: len(w.runs) > 0}
	if now.Steady < w.stableEndValidUntil {
		s.StableEnd = w.stableEnd
	}
	return s, true
}
