package job

import (
	"maps"
	"slices"
)

// savedValues holds copies of values that a trial may change.
type savedValues[T any] []struct {
	at    *T
	value T
}

// save adds a copy of a value. Its caller replaces the maps and slices in the copy that the trial may change by copies.
func (s *savedValues[T]) save(at *T) *T {
	*s = append(*s, struct {
		at    *T
		value T
	}{at, *at})
	return &(*s)[len(*s)-1].value
}

func (s savedValues[T]) restore() {
	for i := range s {
		*s[i].at = s[i].value
	}
}

// trial holds what a submission and a scheduling pass can change in a pool, as it was before.
type trial struct {
	id          string
	job         *jobState // the job with the identifier, or nil
	pool        Pool
	jobs        savedValues[jobState]
	occurrences savedValues[occurrence]
	tasks       savedValues[task]
	workers     savedValues[worker]
	uses        savedValues[customerUse]
	tenants     savedValues[tenant]
	advice      savedValues[advice]
	kinds       func()
}

// saveForTrial copies what a submission of the job with the identifier and a scheduling pass can change. State that is added
// to the pool and that they change must be copied here, too; TestExplanationChangesNothing compares the whole pool.
func (p *Pool) saveForTrial(id string) *trial {
	s := &trial{id: id, job: p.jobs[id], pool: *p, kinds: p.interference.estimator.Save()}
	// The map of all jobs holds the finished ones, too, and only one entry of it changes.
	s.pool.open, s.pool.dirty, s.pool.advice = maps.Clone(p.open), maps.Clone(p.dirty), maps.Clone(p.advice)
	s.pool.estimates.ratio, s.pool.quota.uses = maps.Clone(p.estimates.ratio), maps.Clone(p.quota.uses)
	// An append must not write into the arrays of the saved slices.
	p.orders, p.events, p.adviceRequests = slices.Clip(p.orders), slices.Clip(p.events), slices.Clip(p.adviceRequests)
	for _, u := range p.quota.uses {
		s.uses.save(u)
	}
	for _, c := range p.shares.tenants {
		s.tenants.save(c)
	}
	for _, a := range p.advice {
		c := s.advice.save(a)
		c.asked, c.tickets, c.requested = maps.Clone(a.asked), maps.Clone(a.tickets), maps.Clone(a.requested)
	}
	for _, j := range p.open {
		s.saveJob(j)
	}
	for _, w := range p.workers {
		c := s.workers.save(w)
		c.runs = maps.Clone(w.runs)
		c.coLocation.latencyCritical, c.coLocation.bestEffort = slices.Clone(w.coLocation.latencyCritical), slices.Clone(w.coLocation.bestEffort)
	}
	return s
}

func (s *trial) saveJob(j *jobState) {
	s.jobs.save(j).occurrences = maps.Clone(j.occurrences)
	for _, o := range j.occurrences {
		s.occurrences.save(o).unfinished = slices.Clone(o.unfinished)
		o.eachTask(func(t *task) { s.tasks.save(t) })
	}
}

// restoreMemory puts back the memory of the jobs in the budget, which the pool shares with others.
func (s *trial) restoreMemory(p *Pool) {
	if j := p.jobs[s.id]; j != nil && s.job == nil {
		p.setMemory(j, 0)
	}
	for _, saved := range s.jobs {
		p.setMemory(saved.at, saved.value.memory)
	}
}

// restore puts back what was saved.
func (s *trial) restore(p *Pool) {
	s.restoreMemory(p)
	*p = s.pool
	if s.job == nil {
		delete(p.jobs, s.id)
	} else {
		p.jobs[s.id] = s.job
	}
	s.jobs.restore()
	s.occurrences.restore()
	s.tasks.restore()
	s.workers.restore()
	s.uses.restore()
	s.tenants.restore()
	s.advice.restore()
	s.kinds()
}
