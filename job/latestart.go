package job

import "time"

// lateStartHorizon is how long after its timeout an unanswered start may still be carried out.
const lateStartHorizon = 15 * time.Second

// unansweredStart is a start that had no answer. The worker may still carry it out, and so may its next incarnation under the
// same identifier, which does not know how the run ended.
type unansweredStart struct {
	run int
	at  time.Duration // when the attempt timed out
}

// recordUnanswered keeps an unanswered start in mind.
func (w *worker) recordUnanswered(o Order, now Time) {
	if w.unanswered == nil {
		w.unanswered = make(map[TaskID]unansweredStart)
	}
	w.unanswered[o.Task] = unansweredStart{run: max(o.Run, w.unanswered[o.Task].run), at: now.Steady}
}

// dropExpiredStarts forgets the unanswered starts that can no longer be carried out.
func (w *worker) dropExpiredStarts(now Time) {
	for id, s := range w.unanswered {
		if now.Steady-s.at > lateStartHorizon {
			delete(w.unanswered, id)
		}
	}
}

// stopLateStarts orders a new incarnation of a worker to stop the unanswered starts of earlier ones, unless its first report
// lists them as running. After a confirmed stop it rejects the start. Until then the task is not started elsewhere, even if
// another attempt of the same run was confirmed.
func (p *Pool) stopLateStarts(w *worker, first Report, now Time) {
	w.dropExpiredStarts(now)
	running := make(map[TaskID]bool, len(first.Running))
	for _, rt := range first.Running {
		running[rt.Task] = true
	}
	for id, s := range w.unanswered {
		r := w.runs[id]
		switch {
		case running[id]:
		case r == nil || r.number > s.run:
			p.enqueueOrder(Order{Kind: OrderStop, Worker: w.info.ID, Task: id, Run: s.run})
		default:
			r.activeSince = 0
			p.stop(r, now)
		}
	}
}
