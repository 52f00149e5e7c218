package job

import (
	"maps"
	"slices"

	"github.com/berylwharf/berylwharf/fleet"
)

// Load returns the load of the pool for the fleet controller.
func (p *Pool) Load(now Time) fleet.Load {
	var l fleet.Load
	capacity := p.largestWorker()
	for _, w := range p.sortedWorkers() {
		used := w.used.Share(capacity)
		l.Used += used
		l.LongRunning += w.usedLongRunning.Share(capacity)
		l.UsedLate += used - w.used.Sub(w.usedBy((*run).late)).Share(capacity)
		l.Workers = append(l.Workers, fleet.WorkerLoad{
			Worker: w.info.ID, AgeMs: now.WallMs - w.incarnation, Runs: len(w.runs) + len(w.strays), LongRunning: w.longRunningTasks(), Evacuated: p.Evacuated(w.info.ID),
		})
	}
	p.addPending(&l, capacity)
	l.MinMachines = p.minWorkers()
	l.OfferedLoad = p.arrivals.machines(now)
	return l
}

// minWorkers returns how many workers are needed at least by the long-running steps that limit their tasks per worker.
func (p *Pool) minWorkers() int {
	least := 0
	for _, j := range p.open {
		if j.phase != Active {
			continue
		}
		for i := range j.spec.Steps {
			if s := &j.spec.Steps[i]; s.LongRunning && s.MaxPerWorker > 0 {
				least = max(least, (s.Count+s.MaxPerWorker-1)/s.MaxPerWorker)
			}
		}
	}
	return least
}

// largestWorker returns the capacity of the worker with the most CPU.
func (p *Pool) largestWorker() Resources {
	var c Resources
	for _, w := range p.workers {
		if w.info.Capacity.CPU > c.CPU {
			c = w.info.Capacity
		}
	}
	return c
}

// late reports whether a run belongs to a job that misses its objective in any case.
func (r *run) late() bool {
	o := r.task.job.occurrences[r.task.id.Occurrence]
	return o != nil && o.late
}

// usedBy returns the capacity that the selected runs occupy.
func (w *worker) usedBy(which func(*run) bool) Resources {
	var sum Resources
	for _, r := range w.runs {
		if which(r) {
			sum = sum.Add(r.task.step.reserved())
		}
	}
	return sum
}

// addPending adds the capacity, in machines, for all tasks that could start now. The part for each required label is also
// listed separately.
func (p *Pool) addPending(l *fleet.Load, machine Resources) {
	requests := make(map[string]Resources)
	late := Resources{}
	p.beginQuotaBudgets(false)
	for _, j := range p.open {
		if j.phase != Active {
			continue
		}
		for _, o := range j.occurrences {
			o.addPending(func(t *task, n int) {
				s := t.step
				if n = p.quotaClamp(j.spec, s, n); n == 0 {
					return
				}
				need := s.reserved().times(n)
				// A task that needs a label waits forever unless machines with that label are added.
				if o.late && s.Label == "" {
					late = late.Add(need)
				} else {
					requests[s.Label] = requests[s.Label].Add(need)
				}
			})
		}
	}
	total := Resources{}
	for _, label := range slices.Sorted(maps.Keys(requests)) {
		total = total.Add(requests[label])
		if label != "" {
			l.Labelled = append(l.Labelled, fleet.LabelDemand{Label: label, Waiting: requests[label].Share(machine)})
		}
	}
	l.Waiting = total.Share(machine)
	l.WaitingLate = late.Share(machine)
}

// addPending calls add for each step of an occurrence, with the first of its tasks that could start now and their number.
func (o *occurrence) addPending(add func(first *task, n int)) {
	for i, tasks := range o.steps {
		step := tasks[0].step
		if o.unfinished[i] == 0 || !o.ready(step) {
			continue
		}
		n := 0
		var first *task
		for _, t := range tasks {
			if !t.done && t.run == nil {
				n++
				if first == nil || t.readySince < first.readySince {
					first = t
				}
			}
		}
		if n > 0 {
			add(first, n)
		}
	}
}
