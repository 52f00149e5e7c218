package job

import "time"

// lateStartHorizon is how long after its timeout an unanswered start may still be carried out.
const lateStartHorizon = 15 * time.Second

// unansweredStart is a start that had no answer. The worker may still carry it out, and so may a later incarnation under the
// same identifier, which does not know how the run ended.
type unansweredStart struct {
	run         int
	at          time.Duration // when the attempt timed out
	incarnation int64         // of the worker, to which the start was sent
	stoppedIn   int64         // incarnation that has confirmed a stop; 0 if none has
	stoppedAt   time.Duration // when the stop was confirmed
	stopSentAt  time.Duration // of the last stop
	charge      lateCharge
}

// recordUnanswered keeps an unanswered start in mind.
func (w *worker) recordUnanswered(o Order, now Time) {
	if w.unanswered == nil {
		w.unanswered = make(map[TaskID]unansweredStart)
	}
	s := unansweredStart{run: o.Run, at: now.Steady, incarnation: w.incarnation}
	if r := w.runs[o.Task]; r != nil && r.number == o.Run {
		s.incarnation = r.incarnation
	}
	if s.run >= w.unanswered[o.Task].run {
		w.unanswered[o.Task] = s
	}
}

// recordStopped records a confirmed stop. The incarnation that confirmed it rejects the start from now on.
func (w *worker) recordStopped(o Order, now Time) {
	if s, ok := w.unanswered[o.Task]; ok && s.run <= o.Run {
		s.stoppedIn, s.stoppedAt = w.incarnation, now.Steady
		w.unanswered[o.Task] = s
	}
}

// suspendLateStarts marks runs as unconfirmed and to be stopped when a worker reports a new incarnation. It selects the runs
// with an unanswered start that the first report does not list, even if another attempt of the start was confirmed. Their
// tasks start elsewhere only after the stop is confirmed.
func (w *worker) suspendLateStarts(first Report, now Time) {
	running := make(map[TaskID]bool, len(first.Running))
	for _, rt := range first.Running {
		running[rt.Task] = true
	}
	for id, s := range w.unanswered {
		if r := w.runs[id]; r != nil && r.number <= s.run && !running[id] {
			r.activeSince = 0
			r.state = runStopping
			r.orderedAt = now.Steady - orderRetryInterval // retryOrders sends the stop to the new incarnation
		}
	}
}

// stopLateStarts orders a worker to stop the starts that were sent to its earlier incarnations and had no answer. It repeats
// the order until the worker confirms it, and forgets the starts that can no longer be carried out.
func (p *Pool) stopLateStarts(w *worker, now Time) {
	defer p.chargeLateStarts(w)
	for id, s := range w.unanswered {
		if now.Steady-s.at > lateStartHorizon {
			delete(w.unanswered, id)
			continue
		}
		known := w.incarnation == 0 || w.incarnation == s.incarnation || w.incarnation == s.stoppedIn
		if known || now.Steady-s.stopSentAt < orderRetryInterval {
			continue
		}
		if r := w.runs[id]; r != nil && r.number <= s.run {
			// The run's own orders stop it, or its end is awaited.
			continue
		}
		s.stopSentAt = now.Steady
		w.unanswered[id] = s
		p.enqueueOrder(Order{Kind: OrderStop, Worker: w.info.ID, Task: id, Run: s.run})
	}
}
