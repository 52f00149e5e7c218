package job

import (
	"slices"
	"time"
)

// advance ends the runs of a worker whose run time or lease is over.
func (m *model) advance(w *modelWorker) {
	ids := make([]TaskID, 0, len(w.running))
	for id := range w.running {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, compareTasks)
	for _, id := range ids {
		r := w.running[id]
		if m.isLongRunning(id) && r.available(m.now) {
			m.available[id] = m.now.Steady
			delete(m.stopped, id)
		}
		switch {
		case m.now.Steady > w.expires:
			m.end(w, r, EndLapsed)
		case m.isLongRunning(id):
		case m.now.Steady > r.ends && r.fails:
			m.end(w, r, EndFailed)
		case m.now.Steady > r.ends:
			m.end(w, r, EndDone)
		}
	}
	if m.now.Steady > w.expires {
		for _, e := range w.ended {
			e.lapsed = true
		}
	}
}

// isLongRunning reports whether a task runs until its job is cancelled.
func (m *model) isLongRunning(id TaskID) bool {
	spec := m.accepted[id.Job]
	return spec != nil && spec.longRunning()
}

func (r *modelRun) available(now Time) bool { return now.Steady-r.startedAt >= modelStartup }

// checkBudget verifies that a promptly delivered stop of an available long-running task leaves enough other tasks of
// its step available.
func (m *model) checkBudget(w *modelWorker, order Order) {
	r := w.running[order.Task]
	_, cancelled := m.cancels[order.Task.Job]
	if r == nil || r.run > order.Run || !m.isLongRunning(order.Task) || !r.available(m.now) || cancelled {
		return
	}
	step := &m.accepted[order.Task.Job].Steps[0]
	unavailable := 0
	for i := range step.Count {
		other := TaskID{Job: order.Task.Job, Index: i}
		last, worked := m.available[other]
		if other != order.Task && (m.stopped[other] || (worked && m.now.Steady-last > modelAbsence)) {
			unavailable++
		}
	}
	if unavailable >= step.DisruptionBudget {
		m.errorf("%v is stopped on %s while %d others of its step are unavailable", order.Task, w.id, unavailable)
	}
	m.stopped[order.Task] = true
}

func (m *model) end(w *modelWorker, r *modelRun, how End) {
	delete(w.running, r.id)
	w.highestRun[r.id] = max(w.highestRun[r.id], r.run)
	w.number++
	r.number, r.how, r.endedAt = w.number, how, m.now.Steady
	w.ended = append(w.ended, r)
	if how == EndDone {
		m.done[r.id] = true
	}
}

func (m *model) execute(o *modelOwner, w *modelWorker, order Order, expires time.Duration) (result Result, fenced bool) {
	if o.epoch < w.fence {
		return 0, true
	}
	w.fence = o.epoch
	if order.Kind == OrderStop {
		w.highestRun[order.Task] = max(w.highestRun[order.Task], order.Run)
		if r := w.running[order.Task]; r != nil && r.run <= order.Run {
			m.end(w, r, EndStopped)
		}
		return ResultDone, false
	}
	if order.Kind != OrderStart {
		return ResultDone, false
	}
	if expires < m.now.Steady {
		return ResultLeaseExpired, false
	}
	if r := w.running[order.Task]; r != nil && r.run == order.Run {
		w.expires = max(w.expires, expires)
		return ResultDone, false
	}
	if order.Run <= w.highestRun[order.Task] || w.running[order.Task] != nil {
		return ResultStaleRun, false
	}
	w.expires = max(w.expires, expires)
	m.startRun(w, order)
	return ResultDone, false
}

// startRun starts a run and verifies the invariants of a start.
func (m *model) startRun(w *modelWorker, order Order) {
	id := order.Task
	spec := m.accepted[id.Job]
	if spec == nil || m.store[keySpec+id.Job] == nil {
		m.errorf("%v started, but its job was not accepted", id)
		return
	}
	step := &spec.Steps[id.Step]
	for _, d := range step.DependsOn {
		for i := range spec.Steps[d].Count {
			if !m.done[TaskID{Job: id.Job, Step: d, Index: i}] {
				m.errorf("%v started before step %d was done", id, d)
			}
		}
	}
	for _, other := range m.workers {
		if other.running[id] != nil {
			m.errorf("%v run %d started on %s while run %d runs on %s", id, order.Run, w.id, other.running[id].run, other.id)
		}
	}
	if m.acknowledged[id] {
		m.errorf("%v run %d started after its completion was acknowledged", id, order.Run)
	}
	if len(m.failed[id]) >= spec.Attempts {
		m.errorf("%v run %d started after %d failed runs", id, order.Run, len(m.failed[id]))
	}
	if at, ok := m.cancels[id.Job]; ok && m.now.Steady-at > 8*time.Second {
		m.errorf("%v started %v after its cancellation", id, m.now.Steady-at)
	}
	used, same := step.Request, 1
	for other, r := range w.running {
		used = used.Add(r.size)
		if other.Job == id.Job && other.Step == id.Step {
			same++
		}
	}
	if !used.Fits(w.capacity) {
		m.errorf("%v started on %s beyond its capacity", id, w.id)
	}
	if step.MaxPerWorker > 0 && same > step.MaxPerWorker {
		m.errorf("%v: %d tasks of the step on %s, more than its limit", id, same, w.id)
	}
	w.running[id] = &modelRun{
		id: id, run: order.Run, size: step.Request, startedAt: m.now.Steady, fails: m.chance(0.1),
		ends: m.now.Steady + time.Duration(100+m.rnd.IntN(1500))*time.Millisecond,
	}
}

// acknowledge drops the run ends up to a number, because an owner has stored them.
func (m *model) acknowledge(w *modelWorker, upTo int64) {
	for len(w.ended) > 0 && w.ended[0].number <= upTo {
		e := w.ended[0]
		w.ended = w.ended[1:]
		if e.lapsed {
			continue
		}
		switch e.how {
		case EndDone:
			m.acknowledged[e.id] = true
		case EndFailed:
			if m.failed[e.id] == nil {
				m.failed[e.id] = make(map[int]bool)
			}
			m.failed[e.id][e.run] = true
		}
	}
}

func (w *modelWorker) report(sent time.Duration, now Time) Report {
	rep := Report{Worker: w.id, Incarnation: w.incarnation, SentAt: sent}
	for _, r := range w.running {
		progress := 0
		if now.Steady-r.startedAt >= modelStartup {
			progress = 100
		}
		rep.Running = append(rep.Running, RunningTask{Task: r.id, Run: r.run, Progress: progress})
	}
	slices.SortFunc(rep.Running, func(a, b RunningTask) int { return compareTasks(a.Task, b.Task) })
	for _, e := range w.ended {
		rep.Ended = append(rep.Ended, EndedTask{Seq: e.number, Task: e.id, Run: e.run, Outcome: e.how})
	}
	return rep
}
