package job

import (
	"errors"
	"strings"
	"testing"
	"time"
)

// recordBytes is the record size of the tests.
const recordBytes = 16 << 10

// TestCheckNew guards against jobs that the store can't take. Their commit would be repeated forever, and with it that of all jobs
// of the shard.
func TestCheckNew(t *testing.T) {
	label := func(n int) *Spec {
		s := oneStep("a", 1, 100)
		s.Steps[0].Label = strings.Repeat("x", n)
		return s
	}
	for _, c := range []struct {
		name     string
		s        *Spec
		tooLarge bool
		ok       bool
	}{
		{"identifier of the platform", oneStep("5c0e7a21d94b36f8", 24, 100), false, true},
		{"longest identifier", oneStep(strings.Repeat("a", MaxIDBytes), 1, 100), false, true},
		{"long identifier", oneStep(strings.Repeat("a", MaxIDBytes+1), 1, 100), false, false},
		{"identifier that is not UTF-8", oneStep("a\xff", 1, 100), false, false},
		{"most tasks", oneStep("a", maxTasks(recordBytes), 100), false, true},
		{"too many tasks", oneStep("a", maxTasks(recordBytes)+1, 100), true, false},
		{"long label", label(recordBytes / 2), false, true},
		{"label of the size of a record", label(recordBytes), true, false},
	} {
		err := c.s.CheckNew(recordBytes)
		if (err == nil) != c.ok || errors.Is(err, ErrTooLarge) != c.tooLarge {
			t.Errorf("%s: %v", c.name, err)
		}
		if n := len(encode(specRecord{Phase: Active, Spec: c.s})); c.ok && n > recordBytes {
			t.Errorf("%s: record of %d bytes", c.name, n)
		}
	}
}

// TestProgressFitsIntoRecord guards against a progress that the store can't take, when many occurrences are due and all of their
// tasks have failed and have checkpoints, and against occurrences that never start because of that.
func TestProgressFitsIntoRecord(t *testing.T) {
	p := newTestPool(t, "w")
	p.cfg.RecordBytes = recordBytes
	s := oneStep("a", 40, 1)
	s.Occurrences, s.Attempts = 1000, 4
	p.submit(s)
	p.tick()
	j := p.jobs["a"]
	if n := len(j.occurrences); n < 2 || n > maxTasks(recordBytes)/40 {
		t.Fatalf("%d occurrences exist", n)
	}
	first := j.occurrences[0]
	for _, o := range j.occurrences {
		o.eachTask(func(t *task) {
			t.failed, t.endedRun, t.checkpoint = []int{70_000, 70_001, 70_002}, 70_003, "00000bb87a21d94b"
		})
	}
	if n := len(j.encodeProgress()); n > recordBytes {
		t.Errorf("progress of %d bytes", n)
	}
	created := j.nextDue
	first.eachTask(p.setDone)
	p.tick() // ends the first occurrence
	p.tick()
	if j.nextDue != created+1 || j.firstUnfinished != 1 {
		t.Errorf("after the first of %d occurrences the next one is %d", created, j.nextDue)
	}
}

// TestTasksWithoutNeeds guards against a worker that gets more tasks than it can report in time, because they need nothing.
func TestTasksWithoutNeeds(t *testing.T) {
	p := newTestPool(t, "v", "w")
	for i := range 3 {
		s := oneStep(string(rune('a'+i)), 1000, 0)
		s.Steps[0].Request = Resources{}
		s.Steps[0].Gang = i == 2
		p.submit(s)
	}
	if n := len(starts(p.tick())); n != 2000 {
		t.Errorf("%d tasks started, want those of the two jobs without a gang", n)
	}
	for _, w := range p.workers {
		if len(w.runs) > maxWorkerRuns {
			t.Errorf("%d runs on a worker", len(w.runs))
		}
	}
}

// TestMemoryBudget guards against jobs that take more memory than the budget, against one queue that takes all of it, and against
// memory that is not returned.
func TestMemoryBudget(t *testing.T) {
	p := newTestPool(t, "w")
	p.cfg.Memory = NewMemoryBudget(8 << 20)
	job := func(id, queue string, count int) *Spec {
		s := longRunningSpec(id, count, 1)
		s.Queue, s.Pool, s.Steps[0].Label = queue, "pool", "none"
		return s
	}
	accepted := func(prefix, queue string, count int) (n int) {
		for i := range 100 {
			if a, retry := p.Submit(job(prefix+string(rune('a'+i%26))+string(rune('a'+i/26)), queue, count), p.now); a == Pending {
				n++
			} else if retry < minRetryAfter || retry > maxRetryAfter {
				t.Fatalf("retry after %s", retry)
			}
		}
		return n
	}
	if n := accepted("large", "q", 1000); n != 8 {
		t.Errorf("%d jobs of 0.5 MB of one queue accepted, want half of the budget", n)
	}
	if n := accepted("small", "q", 10); n != 100 {
		t.Errorf("%d small jobs of the queue accepted", n)
	}
	if n := accepted("other", "r", 1000); n == 0 {
		t.Error("no job of another queue accepted")
	}
	used := p.cfg.Memory.Used()
	if used > p.cfg.Memory.Limit() {
		t.Errorf("%d bytes used", used)
	}
	p.Explain("x", "", job("x", "q", 5), p.now)
	if now := p.cfg.Memory.Used(); now != used {
		t.Errorf("an explanation changed the memory from %d to %d bytes", used, now)
	}
	p.commit()
	for id := range p.jobs {
		p.Cancel(id, p.now)
	}
	p.commit()
	p.tick()
	if now, most := p.cfg.Memory.Used(), int64(len(p.jobs)*(jobMemory+20)); now > most {
		t.Errorf("%d bytes of %d ended jobs", now, len(p.jobs))
	}
	p.advance(2 * time.Minute)
	p.tick()
	p.commit()
	if now := p.cfg.Memory.Used(); now != 0 || len(p.jobs) != 0 {
		t.Errorf("%d bytes remain of %d jobs", now, len(p.jobs))
	}
}
