package job

import "time"

const (
	// loadEvery is how long a computed load stays in use; a flood submits hundreds of jobs a second.
	loadEvery = 20 * time.Millisecond
	// waitTolerance is the predicted wait, as a multiple of the time that a job has to spare, above which it is refused.
	waitTolerance = 6
	// minRetryAfter and maxRetryAfter bound when a refused caller is asked to return.
	minRetryAfter = time.Second
	maxRetryAfter = 8 * time.Second
)

// loadWindow is the work that waits, as the time in which the pool can do it.
type loadWindow struct {
	at    time.Duration
	clear time.Duration
	valid bool
}

// overload returns zero when a job can be expected to meet its objective, and otherwise after how long room is expected.
//
// It answers floods: while a queue asks for several times what its pool holds, jobs that would complete late take the room
// of those that could still complete in time.
func (p *Pool) overload(s *Spec, now Time) time.Duration {
	if s.lasting() || s.Occurrences > 0 {
		return 0
	}
	spare := s.objective() - s.chain()
	wait := p.clearTime(now)
	if float64(wait) <= waitTolerance*float64(spare) {
		p.load.clear += p.work(s)
		return 0
	}
	return min(maxRetryAfter, max(minRetryAfter, wait-spare))
}

// clearTime returns how long the pool needs for the work that it holds.
func (p *Pool) clearTime(now Time) time.Duration {
	if p.load.valid && now.Steady-p.load.at < loadEvery {
		return p.load.clear
	}
	capacity := p.capacity()
	var total time.Duration
	for _, j := range p.jobs {
		if j.phase == Active && !j.spec.lasting() {
			total += p.openWork(j, capacity)
		}
	}
	p.load = loadWindow{at: now.Steady, clear: total, valid: true}
	return total
}

// capacity returns the room for tasks that do not last.
func (p *Pool) capacity() Resources {
	var c Resources
	for _, w := range p.workers {
		if !w.listed || w.info.Draining || w.leaving {
			continue
		}
		c = c.Add(w.info.Capacity)
		for _, r := range w.runs {
			if r.task.step.Lasting {
				c = c.Sub(r.task.step.reserved())
			}
		}
	}
	return c
}

// openWork returns the time that the pool needs for the rest of a job. A running task counts half.
func (p *Pool) openWork(j *jobState, capacity Resources) time.Duration {
	var total time.Duration
	for _, o := range j.occurrences {
		for i, tasks := range o.steps {
			if o.open[i] == 0 {
				continue
			}
			step := &j.spec.Steps[i]
			each := p.taskWork(j.spec.Queue, step, capacity)
			for _, t := range tasks {
				if t.done {
					continue
				}
				if t.run != nil {
					total += each / 2
					continue
				}
				total += each
			}
		}
	}
	if !j.stored {
		total += p.work(j.spec)
	}
	return total
}

// work returns the time that the pool needs for a whole job.
func (p *Pool) work(s *Spec) time.Duration {
	capacity := p.capacity()
	var total time.Duration
	for i := range s.Steps {
		total += p.taskWork(s.Queue, &s.Steps[i], capacity) * time.Duration(s.Steps[i].Count)
	}
	return total
}

func (p *Pool) taskWork(queue string, s *Step, capacity Resources) time.Duration {
	share := min(1, s.reserved().Share(capacity))
	return time.Duration(float64(p.estimates.duration(queue, s)) * share)
}
