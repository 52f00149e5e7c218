package job

import "time"

const (
	// expiryFactor is the multiple of its objective up to which the result of a late job is still of use to its caller.
	expiryFactor = 3
	// minRetryAfter and maxRetryAfter bound the retry delay that is returned to a refused caller.
	minRetryAfter = time.Second
	maxRetryAfter = 8 * time.Second
)

// backlog is the work of a pool, as the time that the pool needs for it.
type backlog struct {
	onTime time.Duration // of jobs that can meet their objective, including running tasks
	total  time.Duration
}

// checkAdmission decides whether a job is admitted, and otherwise after which time capacity is expected.
//
// It sheds load. A job is admitted when it can meet its objective behind the other jobs that can. Late jobs do not
// count here, however many are waiting, because they are scheduled after it. Otherwise it is admitted while it can be
// completed behind all jobs within expiryFactor times its objective; beyond that, waiting would not help the caller.
func (p *Pool) checkAdmission(s *Spec, now Time) admission {
	if s.longRunning() || s.Occurrences > 0 {
		return admission{}
	}
	if c := p.shares.tenants[s.Customer]; c != nil {
		return p.checkShare(c, s, now)
	}
	work := p.work(s, p.capacity())
	wait := p.backlog.total - (expiryFactor*s.objective() - s.criticalPath())
	onTime := p.backlog.onTime <= s.objective()-s.criticalPath()
	if !onTime && wait > 0 {
		return admission{wait: min(maxRetryAfter, max(minRetryAfter, wait)), event: Event{Kind: "job refused"}}
	}
	p.backlog.total += work
	if onTime {
		p.backlog.onTime += work
	}
	return admission{}
}

// capacity returns the capacity for tasks that are not long-running. Workers that are evacuated get no new tasks and do not
// count.
func (p *Pool) capacity() Resources {
	var c Resources
	for _, w := range p.workers {
		if !w.listed || w.draining() || w.evacuating {
			continue
		}
		c = c.Add(w.info.Capacity).Sub(w.usedLongRunning)
	}
	return c
}

// work returns the time that a pool of the given capacity needs for a whole job.
func (p *Pool) work(s *Spec, capacity Resources) time.Duration {
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
