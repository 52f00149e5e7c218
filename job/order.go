package job

import "time"

const (
	// orderRetryInterval is the time after which an order without effect is sent again.
	orderRetryInterval = 600 * time.Millisecond
	// maxStartAttempts is how often an unanswered start is sent before the run is stopped, so that the task can be
	// placed on another worker.
	maxStartAttempts = 2
	// runNumberGap is added to a task's run number when a worker refused the number as too low.
	runNumberGap = 8
)

// OrderKind is the operation that a worker is ordered to perform.
type OrderKind uint8

// Kinds of orders.
const (
	OrderStart OrderKind = iota
	OrderStop
	OrderSetSpeed
)

// Order is an order to a worker.
type Order struct {
	Kind         OrderKind
	Worker       string
	Task         TaskID
	Run          int
	Payload      string // for a start
	Checkpoint   string // checkpoint from which a start resumes
	Ticket       string // from the advice service
	SpeedPercent int    // for a speed order, as a percentage of full speed
	// Incarnation is that of the worker when the order was decided; 0 if it was not known.
	Incarnation int64
}

// Result is the outcome of an order.
type Result uint8

// Outcomes of orders.
const (
	// ResultDone means that the worker carried out the order.
	ResultDone Result = iota
	// ResultRefused means that the worker did nothing and should get no starts for a short time.
	ResultRefused
	// ResultNoCapacity means that the worker did nothing because it lacks capacity.
	ResultNoCapacity
	// ResultStaleRun means that the worker knows a run of the task with the same or a greater number.
	ResultStaleRun
	// ResultLeaseExpired means that the order's lease had expired on arrival.
	ResultLeaseExpired
	// ResultInvalidTicket means that the ticket of the start is not valid.
	ResultInvalidTicket
	// ResultNoAnswer means that the order may have been carried out, or may still be.
	ResultNoAnswer
	// ResultInvalid means that the worker can never carry out the order.
	ResultInvalid
	// ResultNotSent means that the order was not sent to the worker and never will be.
	ResultNotSent
)

func (p *Pool) enqueueOrder(o Order) {
	if w := p.workers[o.Worker]; w != nil {
		o.Incarnation = w.incarnation
	}
	p.orders = append(p.orders, o)
}

// TakeOrders returns the orders to send.
func (p *Pool) TakeOrders() []Order {
	o := p.orders
	p.orders = nil
	return o
}

// start orders the start of a task.
func (p *Pool) start(t *task, w *worker, now Time) {
	number := max(p.cfg.MinRunNumber, t.lastRun+1)
	p.startRun(t, w, number, now)
}

func (p *Pool) startRun(t *task, w *worker, number int, now Time) {
	r := p.attach(t, w, number, runStarting, now)
	r.tries = 1
	r.incarnation = w.incarnation
	p.event(Event{
		Kind: "run ordered", Task: t.id, Run: number, Worker: w.info.ID, AgeMs: (now.Steady - t.readySince).Milliseconds(),
	})
	p.sendStart(r, now)
}

func (p *Pool) sendStart(r *run, now Time) {
	r.startSentAt = now.Steady
	p.leaseExtended(r.worker, now)
	t := r.task
	checkpoint := ""
	if t.step.Checkpointable {
		checkpoint = t.checkpoint
	}
	p.enqueueOrder(Order{
		Kind: OrderStart, Worker: r.worker.info.ID, Task: t.id, Run: r.number, Payload: t.job.spec.Payload, Checkpoint: checkpoint,
		Ticket: p.ticket(t, r.worker, now),
	})
}

// stop orders a run to stop. The run keeps its capacity until the worker reports its end.
func (p *Pool) stop(r *run, now Time) {
	if r.state == runStopping {
		return
	}
	r.state = runStopping
	r.orderedAt = now.Steady
	r.tries = 1
	p.sendStop(r)
}

func (p *Pool) sendStop(r *run) {
	p.enqueueOrder(Order{Kind: OrderStop, Worker: r.worker.info.ID, Task: r.task.id, Run: r.number})
}

// Started applies the outcome of a start order.
func (p *Pool) Started(o Order, result Result, now Time) {
	w := p.workers[o.Worker]
	if w == nil {
		return
	}
	if result == ResultNoAnswer {
		w.recordUnanswered(o, now)
		p.recordUnansweredSize(w, o)
	}
	r := w.runs[o.Task]
	if r == nil || r.number != o.Run || r.state != runStarting {
		return
	}
	if result != ResultDone {
		p.event(Event{Kind: "start failed", Task: o.Task, Run: o.Run, Worker: o.Worker, Count: int(result)})
	}
	switch result {
	case ResultDone:
		r.state = runActive
		r.activeSince = now.Steady
	case ResultNoAnswer:
		// retryOrders sends the start again, unless a report of the worker confirms the run first.
	case ResultStaleRun:
		// An earlier attempt may have started the run, and the run may have ended since. The next report decides.
		r.task.lastRun += runNumberGap
		r.state = runActive
		r.activeSince = now.Steady
	case ResultRefused, ResultNoCapacity, ResultLeaseExpired, ResultInvalidTicket, ResultNotSent:
		switch result {
		case ResultNotSent:
		case ResultInvalidTicket:
			p.dropTicket(r.task, w)
		default:
			w.backoffUntil = max(w.backoffUntil, now.Steady+refusalBackoff)
		}
		if r.tries > 1 {
			// An earlier unanswered start may still be carried out unless a stop arrives before it.
			p.stop(r, now)
			return
		}
		p.release(r, now)
	case ResultInvalid:
		p.release(r, now)
		p.finish(r.task.job, Failed, now)
	}
}

// Stopped applies the outcome of a stop order. After a confirmed stop the run can no longer start, so the next report
// decides about a start that was not answered. That holds for the incarnation that confirmed it: a confirmation that arrives
// after the next incarnation has reported may come from the earlier one, and the stop is repeated.
func (p *Pool) Stopped(o Order, result Result, now Time) {
	w := p.workers[o.Worker]
	if w == nil {
		return
	}
	if result != ResultDone {
		p.event(Event{Kind: "stop failed", Task: o.Task, Run: o.Run, Worker: o.Worker, Count: int(result)})
		return
	}
	if o.Incarnation != w.incarnation {
		return
	}
	w.recordStopped(o, now)
	if r := w.runs[o.Task]; r != nil && r.number == o.Run && r.activeSince == 0 {
		r.activeSince = now.Steady
	}
}

// retryOrders sends orders again that have had no effect yet.
func (p *Pool) retryOrders(now Time) {
	for _, w := range p.sortedWorkers() {
		p.stopLateStarts(w, now)
		for _, r := range w.sortedRuns() {
			if r.state == runActive || now.Steady-r.orderedAt < orderRetryInterval {
				continue
			}
			p.retryOrder(r, now)
		}
	}
}

func (p *Pool) retryOrder(r *run, now Time) {
	if r.state == runStarting && !r.mayResend() {
		p.abandonStart(r, now)
		return
	}
	r.orderedAt = now.Steady
	r.tries++
	if r.state == runStopping {
		p.sendStop(r)
		return
	}
	p.sendStart(r, now)
}

// mayResend reports whether an unanswered start may be sent once more. It was decided for one incarnation of the worker: the
// next one may have other labels and need another ticket. A step that depends on these therefore needs a report since the
// start was sent.
func (r *run) mayResend() bool {
	if r.tries >= maxStartAttempts || r.incarnation != r.worker.incarnation {
		return false
	}
	restricted := r.task.step.Label != "" || r.task.job.spec.NeedsAdvice
	return !restricted || r.worker.lastReportSentAt > r.startSentAt
}

// abandonStart stops a run whose start was not answered, so that its task can be placed on another worker. A
// long-running task may already be running there; while the disruption budget of its step does not permit stopping it,
// the next report or the expiry of the lease decides.
func (p *Pool) abandonStart(r *run, now Time) {
	if r.task.step.LongRunning && !p.withinBudget(r.task, now) {
		r.orderedAt = now.Steady
		return
	}
	p.event(Event{Kind: "start given up", Task: r.task.id, Run: r.number, Worker: r.worker.info.ID})
	p.stop(r, now)
}
