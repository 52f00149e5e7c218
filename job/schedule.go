package job

import (
	"cmp"
	"slices"
	"time"
)

// precedence orders waiting work. Lasting jobs come first, because they earn for as long as they run. Jobs that can still
// meet their objective come before those that can not, so that a flood does not make everything late.
type precedence uint8

const (
	precedenceLasting precedence = iota
	// precedenceStarving is of overdue jobs that waited for long, so that each accepted job ends.
	precedenceStarving
	// precedenceLastChance is of late jobs that must begin now, or their result is of no use to the caller any more.
	precedenceLastChance
	precedenceOnTime
	precedenceLate
	// precedenceOverdue is of jobs whose result is of no use to the caller any more. They are done nevertheless.
	precedenceOverdue
)

// lastChance is how long before a late job becomes useless it gets room before those that can be on time. It covers the wait for
// a task to end.
const lastChance = 700 * time.Millisecond

// starvation is how long an overdue job may stay behind all others.
const starvation = 10 * time.Second

// waiting is an occurrence with tasks to start.
type waiting struct {
	job        *jobState
	occurrence *occurrence
	precedence precedence
	latest     time.Duration // latest moment at which the rest must begin to meet the objective
	remaining  time.Duration
}

// schedule starts waiting tasks where there is room.
func (p *Pool) schedule(now Time) {
	blocked := now.Steady < p.unlooked()
	queue := p.queue(now)
	pass := newPass(p, now)
	if len(pass.usable) == 0 {
		return
	}
	for _, w := range queue {
		p.startOccurrence(w, pass, blocked, now)
	}
}

// queue returns the occurrences with tasks to start in the order in which they get room.
func (p *Pool) queue(now Time) []waiting {
	var q []waiting
	for _, j := range p.jobs {
		if !j.stored || j.phase != Active {
			continue
		}
		for _, o := range j.occurrences {
			if !o.hasWaiting() {
				continue
			}
			w := p.rank(j, o, now)
			o.late = w.precedence == precedenceLate || w.precedence == precedenceOverdue || w.precedence == precedenceLastChance
			q = append(q, w)
		}
	}
	slices.SortFunc(q, compareWaiting)
	if p.postpone(q, now) {
		slices.SortFunc(q, compareWaiting)
	}
	return q
}

// postpone puts occurrences behind the others that would miss their objective because of those before them, and tells
// whether there are any.
//
// It answers floods: in the order of their deadlines alone, each job would begin when it can just not be completed in time
// any more, and all would be late.
func (p *Pool) postpone(q []waiting, now Time) bool {
	capacity := p.capacity()
	ahead := p.runningWork(capacity)
	total := ahead
	found := false
	for i := range q {
		w := &q[i]
		if w.precedence == precedenceLasting {
			continue
		}
		work := p.waitingWork(w, capacity)
		total += work
		if w.precedence != precedenceOnTime {
			continue
		}
		if ahead > w.latest-now.Steady {
			w.precedence = precedenceLate
			found = true
			continue
		}
		ahead += work
	}
	p.backlog = backlog{onTime: ahead, total: total}
	return found
}

// runningWork returns the time that the pool needs for half of the work that runs.
func (p *Pool) runningWork(capacity Resources) time.Duration {
	var total time.Duration
	for _, w := range p.workers {
		for _, r := range w.runs {
			if !r.task.step.Lasting {
				total += p.taskWork(r.task.job.spec.Queue, r.task.step, capacity) / 2
			}
		}
	}
	return total
}

// waitingWork returns the time that the pool needs for the tasks of an occurrence that do not run yet.
func (p *Pool) waitingWork(w *waiting, capacity Resources) time.Duration {
	var total time.Duration
	for i, tasks := range w.occurrence.steps {
		if w.occurrence.open[i] == 0 {
			continue
		}
		n := 0
		for _, t := range tasks {
			if !t.done && t.run == nil {
				n++
			}
		}
		total += p.taskWork(w.job.spec.Queue, &w.job.spec.Steps[i], capacity) * time.Duration(n)
	}
	return total
}

func (p *Pool) rank(j *jobState, o *occurrence, now Time) waiting {
	w := waiting{job: j, occurrence: o, precedence: precedenceOnTime}
	if j.spec.lasting() {
		w.precedence = precedenceLasting
		return w
	}
	begin := j.accepted
	if j.spec.Occurrences > 0 {
		due := j.spec.StartMs + int64(o.number)*j.spec.IntervalMs
		begin = now.Steady - time.Duration(now.WallMs-due)*time.Millisecond
	}
	w.remaining = p.remaining(j, o)
	w.latest = begin + j.spec.objective() - w.remaining
	useless := begin + lateFactor*j.spec.objective() - w.remaining // if the rest has not begun by then
	switch {
	case now.Steady > begin+lateFactor*j.spec.objective()+starvation:
		w.precedence = precedenceStarving
	case now.Steady > useless:
		w.precedence = precedenceOverdue
	case now.Steady > useless-lastChance:
		w.precedence = precedenceLastChance
	case now.Steady > w.latest:
		w.precedence = precedenceLate
	}
	return w
}

func compareWaiting(a, b waiting) int {
	if c := cmp.Or(cmp.Compare(a.precedence, b.precedence), cmp.Compare(a.job.spec.Priority, b.job.spec.Priority)); c != 0 {
		return c
	}
	return cmp.Or(cmp.Compare(a.latest, b.latest), cmp.Compare(a.job.spec.ID, b.job.spec.ID),
		cmp.Compare(a.occurrence.number, b.occurrence.number))
}

func (o *occurrence) hasWaiting() bool {
	for i, step := range o.steps {
		if o.open[i] == 0 {
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

// startOccurrence starts the tasks of an occurrence for which there is room.
func (p *Pool) startOccurrence(w waiting, pass *pass, blocked bool, now Time) {
	for i, tasks := range w.occurrence.steps {
		step := &w.job.spec.Steps[i]
		if w.occurrence.open[i] == 0 || !w.occurrence.ready(step) {
			continue
		}
		if w.job.spec.Advised {
			p.seekAdvice(tasks[0], pass, now)
		}
		if step.Gang {
			p.startGang(tasks, pass, blocked, now)
			continue
		}
		for _, t := range tasks {
			if t.done || t.run != nil || (t.inherited && blocked) {
				continue
			}
			if worker := pass.place(t, now); worker != nil {
				p.start(t, worker, now)
			} else if w.precedence <= precedenceStarving {
				pass.hold(t)
			}
		}
	}
}

// startGang starts all tasks of a step with one number, or none.
func (p *Pool) startGang(tasks []*task, pass *pass, blocked bool, now Time) {
	number := p.cfg.RunBase
	saved := ""
	for _, t := range tasks {
		if t.done || t.run != nil || (t.inherited && blocked) {
			return
		}
		number = max(number, t.lastRun+1)
		if t.saved != "" {
			saved = t.saved
		}
	}
	chosen := pass.placeGang(tasks, now)
	if chosen == nil {
		return
	}
	for i, t := range tasks {
		t.saved = saved
		p.startRun(t, chosen[i], number, now)
	}
}
