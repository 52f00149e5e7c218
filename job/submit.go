package job

import "time"

// State is the state of a job as callers see it.
type State string

// States of a job as callers see them.
const (
	StateQueued    State = "queued"
	StateRunning   State = "running"
	StateCompleted State = "completed"
	StateFailed    State = "failed"
	StateCancelled State = "cancelled"
)

// Answer is the outcome of a submission or a cancellation.
type Answer uint8

const (
	// Pending means that the answer is known once the next commit is stored.
	Pending Answer = iota
	// Accepted means that the job, or its cancellation, is already stored.
	Accepted
	// Refused means that the job was not accepted and never runs.
	Refused
	// Unknown means that there is no such job.
	Unknown
	// OverCap means that the job was not accepted and can never run, because it needs more at once than the cap of its customer.
	OverCap
)

// Submit adds a job. Submitting a known identifier again does not add a second job. With Refused, the duration is the
// time after which capacity is expected.
func (p *Pool) Submit(s *Spec, now Time) (Answer, time.Duration) {
	if j := p.jobs[s.ID]; j != nil && !j.removed {
		if j.stored {
			return Accepted, 0
		}
		return Pending, 0
	}
	if p.refuseOverCap(s) {
		return OverCap, 0
	}
	if !p.cfg.Memory.admits(s.flow(), s.memory(1)) {
		wait := min(maxRetryAfter, max(minRetryAfter, p.backlog.total))
		p.event(Event{Kind: "job refused for memory", Job: s.ID, Queue: s.Queue, AgeMs: wait.Milliseconds()})
		return Refused, wait
	}
	p.recordArrival(s, now)
	a := p.checkAdmission(s, now)
	if a.event.Kind != "" {
		a.event.Job, a.event.Queue, a.event.AgeMs = s.ID, s.Queue, a.wait.Milliseconds()
		p.event(a.event)
	}
	if a.wait > 0 {
		return Refused, a.wait
	}
	j := &jobState{
		spec: s, phase: Active, storedPhase: Active, acceptedAt: now.Steady, dirtySpec: true, overRate: a.overRate,
		occurrences: make(map[int]*occurrence),
	}
	p.jobs[s.ID] = j
	p.countMemory(j)
	p.open[s.ID] = j
	p.dirty[s.ID] = j
	p.event(Event{Kind: "job submitted", Job: s.ID, Queue: s.Queue})
	return Pending, 0
}

// Knows reports whether the pool has accepted a job, or is about to, and still keeps its state.
func (p *Pool) Knows(id string) bool {
	j := p.jobs[id]
	return j != nil && !j.removed
}

// JobIDs returns the identifiers of all jobs that the pool knows, in no particular order.
func (p *Pool) JobIDs() []string {
	out := make([]string, 0, len(p.jobs))
	for id, j := range p.jobs {
		if !j.removed {
			out = append(out, id)
		}
	}
	return out
}

// Cancel ends a job. A job that has already ended keeps its state.
func (p *Pool) Cancel(id string, now Time) Answer {
	j := p.jobs[id]
	if j == nil || j.removed {
		return Unknown
	}
	if j.phase == Active {
		p.finish(j, Cancelled, now)
	}
	if j.storedPhase == j.phase && j.stored {
		return Accepted
	}
	return Pending
}

// StateOf returns the stored state of a job. The second result is false when there is no such job.
func (p *Pool) StateOf(id string) (State, bool) {
	j := p.jobs[id]
	if j == nil || !j.stored || j.removed {
		return "", false
	}
	switch j.storedPhase {
	case Completed:
		return StateCompleted, true
	case Failed:
		return StateFailed, true
	case Cancelled:
		return StateCancelled, true
	}
	if j.started {
		return StateRunning, true
	}
	return StateQueued, true
}

// CountQueued counts the accepted jobs of a queue that have not started any task.
func (p *Pool) CountQueued(queue string) int {
	n := 0
	for _, j := range p.open {
		if j.spec.Queue == queue && j.stored && j.phase == Active && !j.started {
			n++
		}
	}
	return n
}
