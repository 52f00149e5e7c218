package job

import "slices"

// Commit is a group of records that must be stored together, in order.
type Commit struct {
	Records []Record
	// Jobs lists the jobs whose stored state the commit changes.
	Jobs []string

	phases        map[string]Phase
	endWatermarks map[string]endWatermark
	incarnations  map[string]int64 // recorded life of each worker
	// workers holds the records of lives of workers.
	workers map[string]Record
}

// Ends tells whether the commit contains the end of a job.
func (c *Commit) Ends(id string) bool { return c.phases[id] != Active }

// endWatermark is the number up to which the ends of a worker's life are covered by a commit.
type endWatermark struct {
	incarnation int64
	number      int64
}

// TakeCommit returns the changes since the last commit, or nil when there are none or a commit is outstanding.
func (p *Pool) TakeCommit() *Commit {
	if p.committing || !p.Dirty() {
		return nil
	}
	c := &Commit{phases: make(map[string]Phase), endWatermarks: make(map[string]endWatermark), incarnations: make(map[string]int64)}
	ids := make([]string, 0, len(p.dirty))
	for id := range p.dirty {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		c.addJob(p.dirty[id])
	}
	c.workers = p.workerRecords
	p.workerRecords = make(map[string]Record)
	for _, r := range c.workers {
		c.Records = append(c.Records, r)
	}
	for id, w := range p.workers {
		c.incarnations[id] = w.recordedIncarnation
		if w.processedEnd > w.stableEnd {
			c.endWatermarks[id] = endWatermark{incarnation: w.incarnation, number: w.processedEnd}
		}
	}
	clear(p.dirty)
	p.endsUncommitted = false
	p.committing = true
	return c
}

// Dirty tells whether there is something to commit.
func (p *Pool) Dirty() bool {
	return len(p.dirty) > 0 || len(p.workerRecords) > 0 || p.endsUncommitted
}

func (c *Commit) addJob(j *jobState) {
	id := j.spec.ID
	j.committing = true
	c.Jobs = append(c.Jobs, id)
	c.phases[id] = j.phase
	if j.removed {
		c.Records = append(c.Records, Record{Key: keySpec + id})
		return
	}
	if j.dirtySpec {
		c.Records = append(c.Records, Record{Key: keySpec + id, Value: encode(specRecord{
			Phase: j.phase, Spec: storedSpec(j), EndMs: j.endMs,
		})})
	}
	if j.dirtyProgress {
		c.Records = append(c.Records, Record{Key: keyProgress + id, Value: j.encodeProgress()})
	}
	j.dirtySpec, j.dirtyProgress = false, false
}

// storedSpec returns the specification to store. Of a finished job only what its state needs is kept.
func storedSpec(j *jobState) *Spec {
	if j.phase == Active {
		return j.spec
	}
	return &Spec{ID: j.spec.ID, Queue: j.spec.Queue, Pool: j.spec.Pool, AcceptedMs: j.spec.AcceptedMs}
}

// encodeProgress encodes the encodeProgress of a job. It is empty, which removes the key, when there is none.
func (j *jobState) encodeProgress() []byte {
	if j.phase != Active {
		return nil
	}
	r := progressRecord{First: j.firstUnfinished}
	for k := j.firstUnfinished; k < j.nextDue; k++ {
		o := j.occurrences[k]
		if o == nil {
			continue
		}
		o.eachTask(func(t *task) {
			if t.done || len(t.failed) > 0 || t.endedRun > 0 || t.checkpoint != "" {
				r.Tasks = append(r.Tasks, taskRecord{
					Occurrence: k, Step: t.id.Step, Index: t.id.Index,
					Done: t.done, Failed: t.failed, LastRun: t.endedRun, Saved: t.checkpoint,
				})
			}
		})
	}
	return encode(r)
}

// Committed confirms that a commit is stored. Tasks of jobs that it cancelled are stopped, jobs that it accepted may
// start, and workers may forget the ends that it covers.
func (p *Pool) Committed(c *Commit, now Time) {
	p.committing = false
	for _, id := range c.Jobs {
		j := p.jobs[id]
		if j == nil {
			continue
		}
		j.committing = false
		if j.removed {
			delete(p.jobs, id)
			continue
		}
		j.stored = true
		j.storedPhase = c.phases[id]
		if j.phase != Active {
			p.stopAll(j, now)
		}
	}
	for id, incarnation := range c.incarnations {
		if w := p.workers[id]; w != nil {
			w.storedIncarnation = incarnation
		}
	}
	for id, end := range c.endWatermarks {
		if w := p.workers[id]; w != nil && w.incarnation == end.incarnation {
			w.stableEnd = max(w.stableEnd, end.number)
		}
	}
}

// Withdraw drops the submitted jobs that are in no commit yet and returns their identifiers. They never run.
//
// It answers a store that does not: what waits for it can be refused truthfully, what was sent to it can not.
func (p *Pool) Withdraw() []string {
	var out []string
	for id, j := range p.dirty {
		if j.stored || j.committing || j.phase != Active {
			continue
		}
		delete(p.jobs, id)
		delete(p.dirty, id)
		out = append(out, id)
		p.event(Event{Kind: "job withdrawn", Job: id, Queue: j.spec.Queue})
	}
	slices.Sort(out)
	return out
}

// GiveBack returns a commit that was certainly not stored, so that the next one contains its changes.
func (p *Pool) GiveBack(c *Commit) {
	p.committing = false
	p.endsUncommitted = p.endsUncommitted || len(c.endWatermarks) > 0
	for _, id := range c.Jobs {
		j := p.jobs[id]
		if j == nil {
			continue
		}
		j.committing = false
		j.dirtySpec, j.dirtyProgress = true, true
		p.dirty[id] = j
	}
	for key, r := range c.workers {
		if _, newer := p.workerRecords[key]; !newer {
			p.workerRecords[key] = r
		}
	}
}

// stopAll orders the end of all runs of a job and drops its occurrences.
func (p *Pool) stopAll(j *jobState, now Time) {
	for _, o := range j.occurrences {
		o.eachTask(func(t *task) {
			if t.run != nil {
				p.stop(t.run, now)
			}
		})
	}
}

func (j *jobState) hasRuns() bool {
	found := false
	for _, o := range j.occurrences {
		o.eachTask(func(t *task) { found = found || t.run != nil })
	}
	return found
}
