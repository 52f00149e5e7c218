package job

import (
	"maps"
	"slices"

	"github.com/berylwharf/berylwharf/fleet"
)

// Load returns what the fleet controller needs to know of the pool.
func (p *Pool) Load(now Time) fleet.Load {
	var l fleet.Load
	capacity := p.machine()
	for _, w := range p.sortedWorkers() {
		l.Used += w.used.Share(capacity)
		l.Workers = append(l.Workers, fleet.WorkerLoad{
			Worker: w.info.ID, AgeMs: now.WallMs - w.born, Runs: len(w.runs) + len(w.strays), Lasting: w.lasting(), Empty: p.Empty(w.info.ID),
		})
	}
	l.Waiting, l.Labelled = p.waitingShare(capacity)
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

// waitingShare returns the room, in machines, that tasks need which could start now, and the part of it for each label that
// workers must have.
func (p *Pool) waitingShare(machine Resources) (float64, []fleet.LabelNeed) {
	requests := make(map[string]Resources)
	for _, j := range p.jobs {
		if j.phase != Active {
			continue
		}
		for _, o := range j.occurrences {
			o.addWaiting(requests)
		}
	}
	total := Resources{}
	var labelled []fleet.LabelNeed
	for _, label := range slices.Sorted(maps.Keys(requests)) {
		total = total.Add(requests[label])
		if label != "" {
			labelled = append(labelled, fleet.LabelNeed{Label: label, Waiting: requests[label].Share(machine)})
		}
	}
	return total.Share(machine), labelled
}

// addWaiting adds the room that the tasks of an occurrence need which could start now, by the label that they need.
func (o *occurrence) addWaiting(requests map[string]Resources) {
	for i, tasks := range o.steps {
		step := tasks[0].step
		if o.open[i] == 0 || !o.ready(step) {
			continue
		}
		for _, t := range tasks {
			if !t.done && t.run == nil {
				requests[step.Label] = requests[step.Label].Add(step.reserved())
			}
		}
	}
}
