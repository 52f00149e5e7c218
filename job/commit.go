package job

import "slices"

// Commit is a batch of records that must be stored together and in order.
type Commit struct {
	Records []Record
	// Jobs lists the jobs whose stored state the commit changes.
	Jobs []string

	phases        map[string]Phase
	endWatermarks map[string]endWatermark
	incarnations  map[string]int64 // recorded incarnation of each worker
	// workers holds the worker records of the commit.
	workers map[string]Record
}

// EndsJob reports whether the commit contains the end of a job, which must be one of Jobs.
func (c *Commit) EndsJob(id string) bool { return c.phases[id] != Active }

// endWatermark is the number up to which the run ends of one incarnation of a worker are covered by a commit.
type endWatermark struct {
	incarnation int64
	number      int64
}

// TakeCommit returns the changes since the last commit. It returns nil when there are none or a commit is outstanding.
func (p *Pool) TakeCommit() *Commit {
	if p.committing || !p.HasUncommitted() {
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
	c.Records = append(c.Records, p.takeLearned()...)
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

// HasUncommitted reports whether there are changes to commit.
func (p *Pool) HasUncommitted() bool {
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

// storedSpec returns the specification to store. For a finished job it keeps only the fields that its state needs.
func storedSpec(j *jobState) *Spec {
	if j.phase == Active {
		return j.spec
	}
	return &Spec{ID: j.spec.ID, Queue: j.spec.Queue, Pool: j.spec.Pool, AcceptedMs: j.spec.AcceptedMs, Customer: j.spec.Customer}
}

// encodeProgress encodes the progress of a job. After the job has ended it returns nil, which deletes the key.
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

// Committed confirms that a commit is stored. Runs of jobs that have ended are stopped, jobs that the commit accepts
// may start, and workers may forget the run ends that it covers.
func (p *Pool) Committed(c *Commit, now Time) {
	p.committing = false
	for _, id := range c.Jobs {
		j := p.jobs[id]
		if j == nil {
			continue
		}
		j.committing = false
		if j.removed {
			p.setMemory(j, 0)
			delete(p.jobs, id)
			delete(p.open, id)
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

// WithdrawUnsent drops the submitted jobs that are in no commit yet and returns their identifiers. They never run.
//
// It serves to answer callers while the store does not respond: a job that was not sent to the store can truthfully be
// refused, a job that was sent cannot, because it may be stored.
func (p *Pool) WithdrawUnsent() []string {
	var out []string
	for id, j := range p.dirty {
		if j.stored || j.committing || j.phase != Active {
			continue
		}
		p.setMemory(j, 0)
		delete(p.jobs, id)
		delete(p.open, id)
		delete(p.dirty, id)
		out = append(out, id)
		p.event(Event{Kind: "job withdrawn", Job: id, Queue: j.spec.Queue})
	}
	slices.Sort(out)
	return out
}

// CommitFailed records that a commit was certainly not stored, so that the next commit contains its changes.
func (p *Pool) CommitFailed(c *Commit) {
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

// stopAll orders all runs of a job to stop.
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
