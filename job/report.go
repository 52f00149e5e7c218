package job

import (
	"cmp"
	"slices"
	"time"
)

// adoptedSpeed is assumed for a run that another owner started. It is below 100, so that a task that was slowed down is
// sped up again.
const adoptedSpeed = 80

// End is how a run ended.
type End string

// Ends of runs.
const (
	EndDone    End = "done"
	EndFailed  End = "failed"  // because of the task or its worker
	EndStopped End = "stopped" // by order
	EndLapsed  End = "lapsed"  // the worker's lease expired
	EndBroken  End = "broken"  // another member of the gang ended
	EndAlone   End = "alone"   // the other members of the gang did not start
)

// RunningTask is a run that a worker reports as running.
type RunningTask struct {
	Task       TaskID
	Run        int
	Checkpoint string // latest checkpoint, empty if there is none
	// Progress is a percentage. A long-running task is available at 100.
	Progress int
	Usage    int64 // tail latency in milliseconds for a latency-critical task, else CPU usage in millicores
}

// EndedTask is a run that a worker reports as ended.
type EndedTask struct {
	Seq        int64 // increases within an incarnation of the worker
	Task       TaskID
	Run        int
	Outcome    End
	Checkpoint string
}

// Report is the state of a worker as it reports it.
type Report struct {
	Worker      string
	Incarnation int64         // start of the worker's incarnation in Unix milliseconds
	SentAt      time.Duration // when the report request was sent
	Running     []RunningTask
	Ended       []EndedTask // in ascending order of Seq
	Leaving     bool        // the worker is draining
	// MoreEnds means that runs have ended that the report does not list. The worker lists them once the owner has
	// acknowledged earlier ones.
	MoreEnds bool
}

// Report applies a worker's report.
func (p *Pool) Report(rep Report, now Time) {
	w := p.workers[rep.Worker]
	if w == nil {
		return
	}
	if rep.Incarnation != w.incarnation && rep.SentAt < w.lastReportSentAt {
		// An earlier incarnation answered before the one that is known. Which one is later can't be told from their starts,
		// because the time of day of the worker's machine may have been set back in between.
		return
	}
	if w.incarnation != 0 && rep.Incarnation != w.incarnation {
		p.event(Event{Kind: "worker reborn", Worker: w.info.ID})
		w.suspendLateStarts(rep, now)
		p.endIncarnation(w, "worker reborn", w.lastReportSentAt, now)
		p.startIncarnation(w, rep.Incarnation)
	}
	w.incarnation = rep.Incarnation
	if !w.reported {
		p.event(Event{Kind: "worker adopted", Worker: w.info.ID, Count: len(rep.Running)})
		p.holdIfEmpty(w, len(rep.Running))
	}
	w.reported = true
	w.endsKnown = w.endsKnown || !rep.MoreEnds
	w.refusing = false
	w.stableEndValidUntil = now.Steady + minRestartTime
	p.recordIncarnation(w)
	w.lastReportSentAt = max(w.lastReportSentAt, rep.SentAt)
	w.leaving = w.leaving || rep.Leaving
	for _, e := range rep.Ended {
		if e.Seq <= w.processedEnd {
			continue
		}
		w.processedEnd = e.Seq
		p.endsUncommitted = true
		p.applyEnd(w, e, now)
	}
	p.reconcileRuns(w, rep, now)
}

// reconcileRuns updates the runs on a worker from its report.
func (p *Pool) reconcileRuns(w *worker, rep Report, now Time) {
	if rep.SentAt < w.lastReportSentAt {
		// A later request was answered first.
		return
	}
	seen := make(map[TaskID]bool, len(rep.Running))
	w.strays = nil
	for _, rt := range rep.Running {
		seen[rt.Task] = true
		p.reconcileRun(w, rt, now)
	}
	if rep.MoreEnds {
		// A run that is not reported may be one of those that have ended.
		return
	}
	for _, r := range w.sortedRuns() {
		if seen[r.task.id] || rep.SentAt <= p.settledAt(r) {
			continue
		}
		p.loseRun(r, "not reported", now)
	}
	p.learnInterference(w, now)
}

// settledAt returns the time from which a report decides whether a run exists. An unconfirmed start may still be on its
// way until its lease has expired.
func (p *Pool) settledAt(r *run) time.Duration {
	if r.activeSince > 0 {
		return r.activeSince
	}
	return r.startSentAt + p.cfg.MaxLease
}

// reconcileRun applies one running task of a report.
func (p *Pool) reconcileRun(w *worker, rt RunningTask, now Time) {
	r := w.runs[rt.Task]
	if r != nil && r.number == rt.Run {
		if r.activeSince == 0 {
			r.activeSince = now.Steady
		}
		if r.state == runStarting {
			r.state = runActive
		}
		r.checkpoint, r.progress, r.usage = rt.Checkpoint, rt.Progress, rt.Usage
		return
	}
	t := p.reportedTask(rt.Task, now)
	if t == nil || t.done || t.run != nil || t.job.phase != Active {
		if w.strays == nil {
			w.strays = make(map[TaskID]int)
		}
		w.strays[rt.Task] = rt.Run
		p.enqueueOrder(Order{Kind: OrderStop, Worker: w.info.ID, Task: rt.Task, Run: rt.Run})
		p.event(Event{Kind: "stray run stopped", Task: rt.Task, Run: rt.Run, Worker: w.info.ID})
		return
	}
	r = p.attach(t, w, rt.Run, runActive, now)
	r.activeSince = now.Steady
	r.adopted = true
	r.speedPercent = adoptedSpeed
	r.speed.unknown = true
	r.checkpoint, r.progress, r.usage = rt.Checkpoint, rt.Progress, rt.Usage
}

// applyEnd applies the reported end of a run.
func (p *Pool) applyEnd(w *worker, e EndedTask, now Time) {
	p.event(Event{Kind: "run ended", Task: e.Task, Run: e.Run, Worker: w.info.ID, Reason: string(e.Outcome)})
	t := p.reportedTask(e.Task, now)
	if t == nil {
		return
	}
	r := t.run
	own := r != nil && r.worker == w && r.number == e.Run
	if own {
		if e.Outcome == EndDone {
			p.estimates.observe(t, now.Steady-r.orderedAt)
		}
		p.release(r, now)
	}
	if t.done {
		return
	}
	t.endedRun = max(t.endedRun, e.Run)
	t.lastRun = max(t.lastRun, e.Run)
	if e.Outcome == EndFailed {
		p.runFailed(t, e.Run, w, now)
	}
	if e.Checkpoint != "" && own {
		t.checkpoint = e.Checkpoint
	}
	if e.Outcome == EndDone && !t.step.LongRunning {
		p.taskDone(t, w, now)
	}
	p.markDirty(t.job)
}

// taskDone marks a task as done, stops another run of it and advances its job.
func (p *Pool) taskDone(t *task, w *worker, now Time) {
	w.consecutiveFailures = 0
	members := []*task{t}
	if t.step.Gang {
		members = t.job.occurrences[t.id.Occurrence].steps[t.id.Step]
	}
	for _, m := range members {
		if m.run != nil && m == t {
			p.stop(m.run, now)
		}
		p.setDone(m)
	}
	p.markDependentsReady(t, now)
	p.finishOccurrences(t.job, now)
}

// markDependentsReady records the time at which a completed step made its dependent steps ready.
func (p *Pool) markDependentsReady(t *task, now Time) {
	o := t.job.occurrences[t.id.Occurrence]
	if o.unfinished[t.id.Step] > 0 {
		return
	}
	for i := range o.steps {
		if !slices.Contains(t.job.spec.Steps[i].DependsOn, t.id.Step) {
			continue
		}
		for _, next := range o.steps[i] {
			next.readySince = now.Steady
		}
	}
}

// runFailed counts a failed run of a task and fails the job after the last attempt. Runs are counted by their numbers,
// because workers list an end until it is stored, and after a takeover ends arrive in any order.
func (p *Pool) runFailed(t *task, number int, w *worker, now Time) {
	if slices.Contains(t.failed, number) {
		return
	}
	t.lastFailedOn = w
	if w.recordFailure(t, now) {
		p.event(Event{Kind: "worker distrusted", Worker: w.info.ID, Task: t.id})
	}
	if t.step.LongRunning || t.job.phase != Active {
		return
	}
	t.failed = append(t.failed, number)
	if t.failedRuns() >= max(1, t.job.spec.Attempts) {
		p.finish(t.job, Failed, now)
	}
}

// failedRuns returns how many runs of a task, or of its gang, have failed. The members of a gang share the number of a run, of
// which several may fail.
func (t *task) failedRuns() int {
	if !t.step.Gang {
		return len(t.failed)
	}
	runs := make(map[int]bool)
	for _, m := range t.job.occurrences[t.id.Occurrence].steps[t.id.Step] {
		for _, number := range m.failed {
			runs[number] = true
		}
	}
	return len(runs)
}

func compareTasks(a, b TaskID) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Occurrence, b.Occurrence),
		cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index))
}
