package job

import "github.com/berylwharf/berylwharf/fleet"

// Load returns what the fleet controller needs to know of the pool.
func (p *Pool) Load() fleet.Load {
	var l fleet.Load
	capacity := p.machine()
	for _, w := range p.sortedWorkers() {
		l.Used += w.used.Share(capacity)
		l.Workers = append(l.Workers, fleet.WorkerLoad{
			Worker: w.info.ID, Runs: len(w.runs) + len(w.strays), Lasting: w.lasting(), Empty: p.Empty(w.info.ID),
		})
	}
	l.Waiting = p.waitingShare(capacity)
	l.Least = p.leastWorkers()
	return l
}

// leastWorkers returns how many workers the lasting steps need that bound their tasks on one worker.
func (p *Pool) leastWorkers() int {
	least := 0
	for _, j := range p.jobs {
		if j.phase != Active {
			continue
		}
		for i := range j.spec.Steps {
			if s := &j.spec.Steps[i]; s.Lasting && s.MaxPerWorker > 0 {
				least = max(least, (s.Count+s.MaxPerWorker-1)/s.MaxPerWorker)
			}
		}
	}
	return least
}

// machine returns the capacity of the largest worker.
func (p *Pool) machine() Resources {
	var c Resources
	for _, w := range p.workers {
		if w.info.Capacity.CPU > c.CPU {
			c = w.info.Capacity
		}
	}
	return c
}

// waitingShare returns the room, in machines, that tasks need which could start now.
func (p *Pool) waitingShare(machine Resources) float64 {
	total := Resources{}
	for _, j := range p.jobs {
		if j.phase != Active {
			continue
		}
		for _, o := range j.occurrences {
			total = total.Add(o.waitingRequest())
		}
	}
	return total.Share(machine)
}

// waitingRequest returns the room that the tasks of an occurrence need which could start now.
func (o *occurrence) waitingRequest() Resources {
	total := Resources{}
	for i, tasks := range o.steps {
		if o.open[i] == 0 || !o.ready(tasks[0].step) {
			continue
		}
		for _, t := range tasks {
			if !t.done && t.run == nil {
				total = total.Add(t.step.reserved())
			}
		}
	}
	return total
}
