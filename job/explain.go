package job

import (
	"fmt"
	"slices"
	"time"
)

// explainInterval is the time between log lines that explain why a job waits.
const explainInterval = 5 * time.Second

// explainWaiting logs why an accepted job without runs is waiting.
func (p *Pool) explainWaiting(j *jobState, now Time) {
	if now.Steady-max(j.acceptedAt, j.lastExplained) < explainInterval || j.hasRuns() {
		return
	}
	j.lastExplained = now.Steady
	for _, o := range j.occurrences {
		if t := o.firstPending(); t != nil {
			p.event(Event{
				Kind: "job waits", Job: j.spec.ID, Queue: j.spec.Queue, Task: t.id, Reason: p.explain(t, now) + p.explainShare(j, now),
				AgeMs: (now.Steady - j.acceptedAt).Milliseconds(),
			})
			return
		}
	}
}

func (o *occurrence) firstPending() *task {
	for i, tasks := range o.steps {
		if o.unfinished[i] == 0 || !o.ready(tasks[0].step) {
			continue
		}
		for _, t := range tasks {
			if !t.done && t.run == nil {
				return t
			}
		}
	}
	return nil
}

// explain returns why a task does not run, as the number of workers that remain after each of its conditions.
func (p *Pool) explain(t *task, now Time) string {
	s := t.step
	if t.inherited && now.Steady < p.unreportedLeasesEnd() {
		return "may run on a worker that does not answer"
	}
	if why := p.explainQuota(t); why != "" {
		return why
	}
	c := p.conditions(t, now)
	return fmt.Sprintf("%s: %d of %d workers usable, %d with label, %d with room, %d allowed",
		s.describeNeed(), c[1].Workers, c[0].Workers, c[2].Workers, c[3].Workers, c[4].Workers)
}

// describeNeed returns what a task of the step, or the whole gang, needs.
func (s *Step) describeNeed() string {
	kind := "task"
	if s.Gang {
		kind = fmt.Sprintf("gang of %d", s.Count)
	}
	return fmt.Sprintf("%s needs cpu=%d memMb=%d gpu=%d label=%q", kind, s.Request.CPU, s.Request.MemMB, s.Request.GPU, s.Label)
}

// Condition is a condition of placement, with the number of workers that meet it and those before it.
type Condition struct {
	Name    string `cbor:"1,keyasint" json:"name"`
	Workers int    `cbor:"2,keyasint,omitempty" json:"workers"`
}

// conditions returns the number of workers that remain for a task after each condition of placement, all workers first.
func (p *Pool) conditions(t *task, now Time) []Condition {
	s := t.step
	usable, labelled, withCapacity, allowed := 0, 0, 0, 0
	for _, w := range p.workers {
		if !w.usable(now) {
			continue
		}
		usable++
		if s.Label != "" && !slices.Contains(w.info.Labels, s.Label) {
			continue
		}
		labelled++
		if !w.hasRoom(s.reserved(), 0) {
			continue
		}
		withCapacity++
		if satisfiesConstraints(s, t, w) && (!t.job.spec.NeedsAdvice || p.ticket(t, w, now) != "") {
			allowed++
		}
	}
	return []Condition{{"all", len(p.workers)}, {"usable", usable}, {"with label", labelled}, {"with room", withCapacity}, {"allowed", allowed}}
}
