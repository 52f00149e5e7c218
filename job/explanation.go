package job

import (
	"cmp"
	"slices"
	"time"

	"github.com/berylwharf/berylwharf/quota"
)

// Explanation says what would happen to a job that is submitted now, or, without a job, what a customer may use in the pool.
type Explanation struct {
	// Known states that the pool knows a job with the identifier; a submission is answered as a repetition, and the fields that
	// describe a new job are empty. State is its stored state, or empty.
	Known bool  `cbor:"1,keyasint,omitempty" json:"known,omitempty"`
	State State `cbor:"2,keyasint,omitempty" json:"state,omitempty"`
	// Answer is Pending for a job that would be accepted. RetryMs is the time, in milliseconds, that Submit returns with Refused.
	Answer  Answer `cbor:"3,keyasint,omitempty" json:"-"`
	RetryMs int64  `cbor:"4,keyasint,omitempty" json:"-"`
	// Reasons holds what the submission and the placement would log about the job.
	Reasons []string `cbor:"5,keyasint,omitempty" json:"reasons,omitempty"`
	// OnTimeBacklogMs and BacklogMs are the time, in milliseconds, that the pool needs for the jobs that can be on time, and for
	// all jobs, as admission counts them before the job.
	OnTimeBacklogMs int64 `cbor:"6,keyasint,omitempty" json:"onTimeBacklogMs"`
	BacklogMs       int64 `cbor:"7,keyasint,omitempty" json:"backlogMs"`
	// Customer is nil without a customer.
	Customer *CustomerUse `cbor:"8,keyasint,omitempty" json:"customer,omitempty"`
	// Place is nil if the job is not accepted or not due yet. DueMs is the Unix time of its first occurrence in the latter case.
	Place *Place `cbor:"9,keyasint,omitempty" json:"place,omitempty"`
	DueMs int64  `cbor:"10,keyasint,omitempty" json:"dueMs,omitempty"`
}

// CustomerUse is what a customer may use and uses in a pool. Amounts are those of quota.Amount.
type CustomerUse struct {
	Name string `cbor:"1,keyasint" json:"name"`
	// Limited states that starts need a grant. Cap is nil if the version of the pool has no cap for the customer.
	Limited bool          `cbor:"2,keyasint,omitempty" json:"limited"`
	Cap     *quota.Amount `cbor:"3,keyasint,omitempty" json:"cap,omitempty"`
	Version int64         `cbor:"4,keyasint,omitempty" json:"version"` // of the configuration that set the caps in the pool
	// GrantVersion, GrantEpoch and GrantNumber identify the newest offer; Grant is what of it holds now.
	GrantVersion int64        `cbor:"5,keyasint,omitempty" json:"grantVersion"`
	GrantEpoch   int64        `cbor:"6,keyasint,omitempty" json:"grantEpoch"`
	GrantNumber  int64        `cbor:"7,keyasint,omitempty" json:"grantNumber"`
	Grant        quota.Amount `cbor:"8,keyasint" json:"grant"`
	GrantAgeMs   int64        `cbor:"9,keyasint,omitempty" json:"grantAgeMs"`
	InUse        quota.Amount `cbor:"10,keyasint" json:"inUse"`
	LateStarts   quota.Amount `cbor:"11,keyasint" json:"lateStarts"`
}

// Place is where the first step of a job would go in a scheduling pass now.
type Place struct {
	// Position counts from 1 among the Queued occurrences that wait; 0 if the grant of the customer keeps the job out.
	Position int `cbor:"1,keyasint,omitempty" json:"position"`
	Queued   int `cbor:"2,keyasint,omitempty" json:"queued"`
	// Needs describes a task or a gang of the step. Conditions holds the workers that remain after each condition, before the
	// pass if a task is placed, and otherwise after the work ahead of it was placed.
	Needs      string      `cbor:"3,keyasint,omitempty" json:"needs"`
	Conditions []Condition `cbor:"4,keyasint,omitempty" json:"conditions"`
	// Worker is that of the first task; empty if it waits. Workers holds all chosen ones, by identifier.
	Worker  string        `cbor:"5,keyasint,omitempty" json:"worker,omitempty"`
	Workers []WorkerTasks `cbor:"6,keyasint,omitempty" json:"workers,omitempty"`
	// Waits is why the first task waits.
	Waits string `cbor:"7,keyasint,omitempty" json:"waits,omitempty"`
}

// WorkerTasks is the number of tasks that a worker would get.
type WorkerTasks struct {
	Worker string `cbor:"1,keyasint" json:"worker"`
	Tasks  int    `cbor:"2,keyasint" json:"tasks"`
}

// Explain says what Submit would answer and where a scheduling pass right after it would place the first step of the job. If s
// is nil, it describes only the use of the named customer, and whether the pool knows the job with the identifier. It runs a
// submission and a pass and then restores the state of the pool. S must be valid and have the identifier.
func (p *Pool) Explain(id, customer string, s *Spec, now Time) Explanation {
	defer p.saveForTrial(id).restore(p)
	p.quota.now = now.Steady
	out := Explanation{OnTimeBacklogMs: p.backlog.onTime.Milliseconds(), BacklogMs: p.backlog.total.Milliseconds()}
	if s != nil {
		customer = s.Customer
	}
	if customer != "" {
		u := p.describeCustomer(customer)
		out.Customer = &u
	}
	if out.Known = p.Knows(id); out.Known {
		out.State, _ = p.StateOf(id)
	} else if s != nil {
		p.explainNew(&out, s, now)
	}
	return out
}

// explainNew submits a job and places its first step. The caller puts the pool back.
func (p *Pool) explainNew(out *Explanation, s *Spec, now Time) {
	p.events = nil
	var retry time.Duration
	out.Answer, retry = p.Submit(s, now)
	out.RetryMs = retry.Milliseconds()
	if j := p.jobs[s.ID]; out.Answer == Pending && j != nil {
		p.assumeStored(now)
		if o := j.occurrences[0]; o != nil {
			out.Place = p.explainPlace(o, now)
		} else {
			out.DueMs = s.StartMs
		}
	}
	for _, e := range p.events {
		if (e.Job == s.ID || e.Task.Job == s.ID) && e.Reason != "" {
			out.Reasons = append(out.Reasons, e.Kind+": "+e.Reason)
		}
	}
}

// assumeStored treats the submitted jobs as stored. Those submitted before the explained one are stored with it or earlier.
func (p *Pool) assumeStored(now Time) {
	for _, j := range p.open {
		if !j.stored && j.phase == Active {
			j.stored = true
			p.createDueOccurrences(j, now)
		}
	}
}

// explainPlace runs a scheduling pass and describes what it does with the first step of an occurrence.
func (p *Pool) explainPlace(o *occurrence, now Time) *Place {
	queue := p.queue(now)
	tasks := o.steps[0]
	first := tasks[0]
	out := &Place{
		Position: 1 + slices.IndexFunc(queue, func(e queueEntry) bool { return e.occurrence == o }), Queued: len(queue),
		Needs: first.step.describeNeed(), Conditions: p.conditions(first, now),
	}
	p.schedule(now)
	counts := make(map[string]int)
	for _, t := range tasks {
		if t.run != nil {
			counts[t.run.worker.info.ID]++
		}
	}
	for id, n := range counts {
		out.Workers = append(out.Workers, WorkerTasks{id, n})
	}
	slices.SortFunc(out.Workers, func(a, b WorkerTasks) int { return cmp.Compare(a.Worker, b.Worker) })
	if first.run != nil {
		out.Worker = first.run.worker.info.ID
		return out
	}
	out.Conditions = p.conditions(first, now)
	if out.Waits = p.explainQuota(first); out.Waits == "" {
		out.Waits = p.explain(first, now)
	}
	return out
}

// describeCustomer returns what a customer may use and uses in the pool.
func (p *Pool) describeCustomer(customer string) CustomerUse {
	l := p.quota.ledger
	out := CustomerUse{Name: customer, Version: p.quota.version, GrantVersion: l.Version()}
	if limit, ok := p.quota.caps[customer]; ok {
		out.Cap = &limit
	}
	var age time.Duration
	if out.GrantEpoch, out.GrantNumber, age = l.Identity(p.quota.now); out.GrantNumber != 0 {
		out.GrantAgeMs = age.Milliseconds()
	}
	if _, out.Limited = p.quotaGrant(customer); out.Limited {
		out.Grant, _ = l.Grant(customer, p.quota.now)
	}
	if u := p.quota.uses[customer]; u != nil {
		out.InUse, out.LateStarts = u.used, u.late
	}
	return out
}
