package job

import (
	"cmp"
	"slices"
	"time"
)

// precedence orders pending work. Long-running jobs come first, because their value grows with the time that they run.
// Jobs that can still meet their objective come before those that cannot, so that overload does not make all jobs late.
type precedence uint8

const (
	precedenceLongRunning precedence = iota
	// precedenceStarving is for expired jobs that have waited for a long time, so that each accepted job ends
	// eventually.
	precedenceStarving
	// precedenceExpiring is for late jobs whose result becomes useless to the caller unless they start now, as far as jobs
	// that can be on time can wait for them.
	precedenceExpiring
	precedenceOnTime
	precedenceLate
	// precedenceOverRate is for jobs beyond the rate of their customer that can still meet their objective.
	precedenceOverRate
	// precedenceExpired is for jobs whose result is no longer of use to the caller. They are still run.
	precedenceExpired
)

// expiryWindow is how long before its result becomes useless a late job is placed ahead of jobs that can be on time. It
// covers the wait for a running task to end.
const expiryWindow = 700 * time.Millisecond

// starvationTimeout is how long an expired job may stay behind all others.
const starvationTimeout = 10 * time.Second

// queueEntry is an occurrence with tasks to start.
type queueEntry struct {
	job                   *jobState
	occurrence            *occurrence
	precedence            precedence
	latestStart           time.Duration // latest start of the remaining work that meets the objective
	remainingCriticalPath time.Duration
	tenant                *tenant   // nil for long-running jobs, and for all jobs if no customer has a weight
	beyondShare           bool      // of its tenant
	request               Resources // of the tasks that could start now, if it has a tenant
}

// schedule starts pending tasks where there is free capacity.
func (p *Pool) schedule(now Time) {
	deferInherited := now.Steady < p.unreportedLeasesEnd()
	queue := p.queue(now)
	pass := newPass(p, now)
	if len(pass.usable) == 0 {
		return
	}
	for _, w := range queue {
		p.startOccurrence(w, pass, deferInherited, now)
	}
}

// queue returns the occurrences with tasks to start in scheduling order.
func (p *Pool) queue(now Time) []queueEntry {
	var q []queueEntry
	for _, j := range p.open {
		if !j.stored || j.phase != Active {
			continue
		}
		for _, o := range j.occurrences {
			if !o.hasPending() || p.quotaPassesOver(j, o) {
				continue
			}
			w := p.rank(j, o, now)
			o.late = w.precedence == precedenceLate || w.precedence == precedenceExpired || w.precedence == precedenceExpiring
			q = append(q, w)
		}
	}
	slices.SortFunc(q, compareQueueEntries)
	capacity := p.capacity()
	p.shares.reset(capacity, now)
	running := p.runningWork(capacity)
	p.countShares(q)
	p.markShares(q)
	slack, changed := p.demoteLate(q, running, capacity, now)
	if p.demoteExpiring(q, slack) || changed {
		p.remarkShares(q)
	}
	return q
}

// demoteLate moves occurrences behind the others that would miss their objective because of the work ahead of them. Ahead is the
// work of the running tasks. It returns how much longer all jobs that can be on time could wait, and whether it moved any.
//
// This keeps overload from making every job late: in deadline order alone, each job would start just when it can no
// longer complete in time.
func (p *Pool) demoteLate(q []queueEntry, ahead time.Duration, capacity Resources, now Time) (slack time.Duration, found bool) {
	p.beginQuotaBudgets(true)
	total := ahead
	slack = expiryWindow
	for i := range q {
		w := &q[i]
		if w.precedence == precedenceLongRunning {
			continue
		}
		work := p.pendingWork(w, capacity)
		total += work
		onTime := w.precedence == precedenceOnTime && ahead <= w.latestStart-now.Steady && p.onTimeAtShare(w, now)
		w.tenant.addWork(work, onTime)
		if w.precedence == precedenceOverRate {
			p.shares.overRateBacklog += work
		}
		if w.precedence != precedenceOnTime {
			continue
		}
		if !onTime {
			w.precedence = precedenceLate
			found = true
			continue
		}
		slack = min(slack, w.latestStart-now.Steady-ahead)
		ahead += work
	}
	p.backlog = backlog{onTime: ahead, total: total}
	return slack, found
}

// demoteExpiring moves expiring occurrences behind those that can be on time, except for as much work as these can wait
// for. It reports whether it moved any.
//
// In a long peak, every late job expires sooner or later. If all of them went first, they would take the whole capacity
// and make the new jobs late, which would then expire in turn.
func (p *Pool) demoteExpiring(q []queueEntry, slack time.Duration) bool {
	p.beginQuotaBudgets(true)
	capacity := p.capacity()
	found := false
	for i := range q {
		w := &q[i]
		if w.precedence != precedenceExpiring {
			continue
		}
		slack -= p.pendingWork(w, capacity)
		if slack < 0 {
			w.precedence = precedenceLate
			found = true
		}
	}
	return found
}

// runningWork returns the time that the pool needs for half of the work of the running tasks, an estimate of what is
// left of it, and counts the runs for their tenants.
func (p *Pool) runningWork(capacity Resources) time.Duration {
	var total time.Duration
	for _, w := range p.workers {
		for _, r := range w.runs {
			if !r.task.step.LongRunning {
				work := p.taskWork(r.task.job.spec.Queue, r.task.step, capacity) / 2
				p.shares.addRunning(r, work)
				total += work
			}
		}
	}
	return total
}

// pendingWork returns the time that the pool needs for the tasks of an occurrence that are not running yet.
func (p *Pool) pendingWork(w *queueEntry, capacity Resources) time.Duration {
	var total time.Duration
	for i, tasks := range w.occurrence.steps {
		if w.occurrence.unfinished[i] == 0 {
			continue
		}
		n := 0
		for _, t := range tasks {
			if !t.done && t.run == nil {
				n++
			}
		}
		n = p.quotaClamp(w.job.spec, &w.job.spec.Steps[i], n)
		total += p.taskWork(w.job.spec.Queue, &w.job.spec.Steps[i], capacity) * time.Duration(n)
	}
	return total
}

func (p *Pool) rank(j *jobState, o *occurrence, now Time) queueEntry {
	w := queueEntry{job: j, occurrence: o, precedence: precedenceOnTime}
	if j.spec.longRunning() {
		w.precedence = precedenceLongRunning
		return w
	}
	releaseTime := j.acceptedAt
	if j.spec.Occurrences > 0 {
		due := j.spec.StartMs + int64(o.number)*j.spec.IntervalMs
		releaseTime = now.Steady - time.Duration(now.WallMs-due)*time.Millisecond
	}
	w.remainingCriticalPath = p.remainingCriticalPath(j, o)
	w.latestStart = releaseTime + j.spec.objective() - w.remainingCriticalPath
	// The result is of no use to the caller if the remaining work starts later than this.
	latestUsefulStart := releaseTime + expiryFactor*j.spec.objective() - w.remainingCriticalPath
	switch {
	case now.Steady > releaseTime+expiryFactor*j.spec.objective()+starvationTimeout:
		w.precedence = precedenceStarving
	case now.Steady > latestUsefulStart:
		w.precedence = precedenceExpired
	case now.Steady > latestUsefulStart-expiryWindow:
		w.precedence = precedenceExpiring
	case now.Steady > w.latestStart:
		w.precedence = precedenceLate
	}
	if j.overRate && w.precedence > precedenceStarving {
		// A job beyond the rate that is late is treated as expired, so that it is not placed ahead of jobs within the rates.
		w.precedence = precedenceOverRate
		if now.Steady > w.latestStart {
			w.precedence = precedenceExpired
		}
	}
	return w
}

func compareQueueEntries(a, b queueEntry) int {
	if c := cmp.Compare(a.precedence, b.precedence); c != 0 {
		return c
	}
	if a.beyondShare != b.beyondShare {
		if b.beyondShare {
			return -1
		}
		return 1
	}
	if c := cmp.Compare(a.job.spec.Priority, b.job.spec.Priority); c != 0 {
		return c
	}
	return cmp.Or(cmp.Compare(a.latestStart, b.latestStart), cmp.Compare(a.job.spec.ID, b.job.spec.ID),
		cmp.Compare(a.occurrence.number, b.occurrence.number))
}

func (o *occurrence) hasPending() bool {
	for i, step := range o.steps {
		if o.unfinished[i] == 0 {
			continue
		}
		for _, t := range step {
			if !t.done && t.run == nil {
				return true
			}
		}
	}
	return false
}

// startOccurrence starts the tasks of an occurrence for which there is free capacity.
func (p *Pool) startOccurrence(w queueEntry, pass *pass, deferInherited bool, now Time) {
	for i, tasks := range w.occurrence.steps {
		step := &w.job.spec.Steps[i]
		if w.occurrence.unfinished[i] == 0 || !w.occurrence.ready(step) {
			continue
		}
		room := p.quotaRoom(w.job.spec, step)
		if room == 0 {
			continue
		}
		if w.job.spec.NeedsAdvice {
			p.requestAdvice(tasks[0], pass, now)
		}
		if step.Gang {
			p.startGang(tasks, pass, deferInherited, now)
			continue
		}
		for _, t := range tasks {
			if t.done || t.run != nil || (t.inherited && deferInherited) {
				continue
			}
			if room == 0 {
				break
			}
			if worker := pass.place(t, now); worker != nil {
				p.start(t, worker, now)
				room--
			} else if w.precedence <= precedenceStarving {
				pass.reserveWorker(t)
			}
		}
	}
}

// startGang starts all tasks of a step with the same run number, or none.
func (p *Pool) startGang(tasks []*task, pass *pass, deferInherited bool, now Time) {
	number := p.cfg.MinRunNumber
	checkpoint := ""
	for _, t := range tasks {
		if t.done || t.run != nil || (t.inherited && deferInherited) {
			return
		}
		number = max(number, t.lastRun+1)
		if t.checkpoint != "" {
			checkpoint = t.checkpoint
		}
	}
	chosen := pass.placeGang(tasks, now)
	if chosen == nil {
		return
	}
	for i, t := range tasks {
		t.checkpoint = checkpoint
		p.startRun(t, chosen[i], number, now)
	}
}
