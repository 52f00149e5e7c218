package job

import "time"

const (
	// maxAdviceWorkers bounds the workers in one advice request, because the service takes time for each.
	maxAdviceWorkers = 30
	// adviceRetryDelay is the pause after a request that yielded no usable ticket.
	adviceRetryDelay = 400 * time.Millisecond
	// minTicketValidity is the remaining validity that a ticket must have for a start.
	minTicketValidity = 300 * time.Millisecond
)

// StepID identifies a step of an occurrence of a job.
type StepID struct {
	Job        string
	Occurrence int
	Step       int
}

// String returns the form JOB.OCCURRENCE.STEP.
func (s StepID) String() string {
	full := TaskID{Job: s.Job, Occurrence: s.Occurrence, Step: s.Step}.String()
	return full[:len(full)-len(".0")]
}

// Ticket permits a worker to run the tasks of a step.
type Ticket struct {
	Worker string
	Value  string
}

// AdviceRequest asks which of the workers may run a step.
type AdviceRequest struct {
	Step    StepID
	Workers []string
}

// advice is what the owner knows about the tickets for a step.
type advice struct {
	tickets    map[string]heldTicket // by worker
	validUntil time.Duration         // of the tickets
	asked      map[string]int64      // incarnations of the workers named in answered requests
	requested  map[string]int64      // incarnations of the workers named in the request in progress
	pending    bool
	retryAt    time.Duration
}

// heldTicket is a ticket for one incarnation of a worker. Another incarnation rejects it, and the policy of the queue may
// not permit that one to run the step.
type heldTicket struct {
	value       string
	incarnation int64
}

func stepOf(t *task) StepID {
	return StepID{Job: t.id.Job, Occurrence: t.id.Occurrence, Step: t.id.Step}
}

// ticket returns the valid ticket of a worker for a task, or an empty string.
func (p *Pool) ticket(t *task, w *worker, now Time) string {
	a := p.advice[stepOf(t)]
	if a == nil || now.Steady+minTicketValidity > a.validUntil || !a.permits(w) {
		return ""
	}
	return a.tickets[w.info.ID].value
}

// permits reports whether the service has issued a ticket for a worker's incarnation. The ticket may have expired.
func (a *advice) permits(w *worker) bool {
	ticket, ok := a.tickets[w.info.ID]
	return ok && ticket.incarnation == w.incarnation
}

// askedAbout reports whether an answered request named a worker's incarnation.
func (a *advice) askedAbout(w *worker) bool {
	incarnation, ok := a.asked[w.info.ID]
	return ok && incarnation == w.incarnation
}

// eligible reports whether a worker may run a task as far as the advice service is concerned. It ignores the expiry of
// tickets, because a step stays eligible for the same workers and an expired ticket is renewed.
func (p *Pool) eligible(t *task, w *worker) bool {
	if !t.job.spec.NeedsAdvice {
		return true
	}
	a := p.advice[stepOf(t)]
	return a != nil && a.permits(w)
}

// requestAdvice requests tickets for a step when it has no valid ones. It names the workers that had a ticket and those
// not asked about yet.
func (p *Pool) requestAdvice(t *task, pass *pass, now Time) {
	key := stepOf(t)
	a := p.advice[key]
	if a == nil {
		a = &advice{asked: make(map[string]int64)}
		p.advice[key] = a
	}
	valid := len(a.tickets) > 0 && now.Steady+minTicketValidity <= a.validUntil
	if valid || a.pending || now.Steady < a.retryAt {
		return
	}
	r := AdviceRequest{Step: key}
	requested := make(map[string]int64)
	for _, w := range pass.usable {
		worthAsking := a.permits(w) || !a.askedAbout(w)
		if len(r.Workers) < maxAdviceWorkers && worthAsking && satisfiesConstraints(t.step, t, w) {
			r.Workers = append(r.Workers, w.info.ID)
			requested[w.info.ID] = w.incarnation
		}
	}
	if len(r.Workers) == 0 {
		clear(a.asked)
		a.retryAt = now.Steady + adviceRetryDelay
		return
	}
	a.pending, a.requested = true, requested
	p.adviceRequests = append(p.adviceRequests, r)
}

// TakeAdviceRequests returns the requests for advice to send.
func (p *Pool) TakeAdviceRequests() []AdviceRequest {
	r := p.adviceRequests
	p.adviceRequests = nil
	return r
}

// ApplyAdvice applies the answer to an advice request. An unanswered request has no validity and leaves the tickets as
// they are.
func (p *Pool) ApplyAdvice(r AdviceRequest, tickets []Ticket, valid time.Duration, asked time.Duration, now Time) {
	a := p.advice[r.Step]
	if a == nil {
		return
	}
	a.pending = false
	if len(tickets) == 0 {
		a.retryAt = now.Steady + adviceRetryDelay
	}
	if valid <= 0 {
		return
	}
	for _, id := range r.Workers {
		a.asked[id] = a.requested[id]
	}
	a.tickets = make(map[string]heldTicket, len(tickets))
	for _, t := range tickets {
		if incarnation, ok := a.requested[t.Worker]; ok {
			a.tickets[t.Worker] = heldTicket{value: t.Value, incarnation: incarnation}
		}
	}
	// The validity counts from the request, because the answer may have been delayed.
	a.validUntil = asked + valid
	p.event(Event{Kind: "advice received", Job: r.Step.Job, Count: len(tickets), AgeMs: (now.Steady - asked).Milliseconds()})
}

// dropTicket removes a ticket that a worker refused.
func (p *Pool) dropTicket(t *task, w *worker) {
	if a := p.advice[stepOf(t)]; a != nil {
		delete(a.tickets, w.info.ID)
		delete(a.asked, w.info.ID)
	}
}

// dropAdvice removes the advice for a job that has ended.
func (p *Pool) dropAdvice(j *jobState) {
	for key := range p.advice {
		if key.Job == j.spec.ID {
			delete(p.advice, key)
		}
	}
}
