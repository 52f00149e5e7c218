package job

import "github.com/berylwharf/berylwharf/quota"

// countInherited counts, for each customer, the tasks that an earlier owner may have running on workers that have not reported to
// this owner. A task starts only after its job is stored, so all of them belong to loaded jobs. They occupy at most the capacity
// of those workers.
func (p *Pool) countInherited(now Time) {
	if p.quota.inheritedOver {
		return
	}
	for _, u := range p.quota.uses {
		u.inherited = quota.Amount{}
	}
	if now.Steady >= p.unreportedLeasesEnd() && now.Steady >= p.createdAt.Steady+firstReportTime {
		p.quota.inheritedOver = true
		return
	}
	for _, j := range p.open {
		if j.spec.Customer == "" {
			continue
		}
		u := p.customerUse(j.spec.Customer)
		for _, o := range j.occurrences {
			u.inherited = u.inherited.Add(o.mayRunElsewhere())
		}
	}
	room := p.unreportedCapacity(now)
	for _, u := range p.quota.uses {
		u.inherited = u.inherited.Min(room)
	}
}

// mayRunElsewhere returns an upper bound of what an earlier owner may have running of an occurrence: the tasks of the ready
// steps, or those of a later step, which may have become ready by run ends that this owner does not know.
func (o *occurrence) mayRunElsewhere() quota.Amount {
	var ready, later quota.Amount
	for i, tasks := range o.steps {
		if o.unfinished[i] == 0 {
			continue
		}
		n := 0
		for _, t := range tasks {
			if t.inherited && t.run == nil && !t.done {
				n++
			}
		}
		amount := quotaAmount(tasks[0].step.Request).Times(n)
		if o.ready(tasks[0].step) {
			ready = ready.Add(amount)
		} else {
			later = later.Max(amount)
		}
	}
	return ready.Max(later)
}

// unreportedCapacity returns the capacity of the workers on which runs of earlier owners may be unknown.
func (p *Pool) unreportedCapacity(now Time) quota.Amount {
	var sum quota.Amount
	for _, w := range p.workers {
		if !w.endsKnown && now.Steady < max(w.leaseUntil, p.createdAt.Steady+firstReportTime) {
			sum = sum.Add(quotaAmount(w.info.Capacity))
		}
	}
	return sum
}
