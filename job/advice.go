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
	tickets    map[string]string // by worker
	validUntil time.Duration     // of the tickets
	asked      map[string]bool   // workers named in answered requests
	pending    bool
	retryAt    time.Duration
}

func stepOf(t *task) StepID {
	return StepID{Job: t.id.Job, Occurrence: t.id.Occurrence, Step: t.id.Step}
}

// ticket returns the valid ticket of a worker for a task, or an empty string.
func (p *Pool) ticket(t *task, w *worker, now Time) string {
	a := p.advice[stepOf(t)]
	if a == nil || now.Steady+minTicketValidity > a.validUntil {
		return ""
	}
	return a.tickets[w.info.ID]
}

// requestAdvice requests tickets for a step when it has no valid ones. It names the workers that had a ticket and those
// not asked about yet.
func (p *Pool) requestAdvice(t *task, pass *pass, now Time) {
	key := stepOf(t)
	a := p.advice[key]
	if a == nil {
		a = &advice{asked: make(map[string]bool)}
		p.advice[key] = a
	}
	valid := len(a.tickets) > 0 && now.Steady+minTicketValidity <= a.validUntil
	if valid || a.pending || now.Steady < a.retryAt {
		return
	}
	r := AdviceRequest{Step: key}
	for _, w := range pass.usable {
		_, known := a.tickets[w.info.ID]
		if len(r.Workers) < maxAdviceWorkers && (known || !a.asked[w.info.ID]) && satisfiesConstraints(t.step, t, w) {
			r.Workers = append(r.Workers, w.info.ID)
		}
	}
	if len(r.Workers) == 0 {
		clear(a.asked)
		a.retryAt = now.Steady + adviceRetryDelay
		return
	}
	a.pending = true
	p.adviceRequests = append(p.adviceRequests, r)
}

// TakeAdviceRequests returns the requests for advice to send.
func (p *Pool) TakeAdviceRequests() []AdviceRequest {
	r := p.adviceRequests
	p.adviceRequests = nil
	return r
}

// ApplyAdvice applies the answer to an advice request. An unanswered request yields no tickets.
func (p *Pool) ApplyAdvice(r AdviceRequest, tickets []Ticket, valid time.Duration, asked time.Duration, now Time) {
	a := p.advice[r.Step]
	if a == nil {
		return
	}
	a.pending = false
	if len(tickets) == 0 {
		a.retryAt = now.Steady + adviceRetryDelay
	}
	if valid > 0 {
		for _, id := range r.Workers {
			a.asked[id] = true
		}
	}
	a.tickets = make(map[string]string, len(tickets))
	for _, t := range tickets {
		a.tickets[t.Worker] = t.Value
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
