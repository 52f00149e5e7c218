package job

import "testing"

// TestFailuresCountInAnyOrder guards against starting a task again after its last attempt. After a takeover, the
// reports of its workers arrived in another order than the runs, and the earlier failures were not counted.
func TestFailuresCountInAnyOrder(t *testing.T) {
	p := newTestPool(t, "a", "b")
	s := oneStep("x", 1, 1000)
	s.Attempts = 3
	p.submit(s)
	p.tick()
	id := TaskID{Job: "x"}
	p.ends("b", EndedTask{Seq: 1, Task: id, Run: 3, Outcome: EndFailed})
	p.ends("a", EndedTask{Seq: 1, Task: id, Run: 1, Outcome: EndFailed}, EndedTask{Seq: 2, Task: id, Run: 2, Outcome: EndFailed})
	// An end that is listed again counts once.
	p.ends("a", EndedTask{Seq: 2, Task: id, Run: 2, Outcome: EndFailed})
	p.commit()
	if got, _ := p.StateOf("x"); got != StateFailed {
		t.Fatalf("state %q after 3 failed runs, want %q", got, StateFailed)
	}
	if o := p.tick(); len(starts(o)) != 0 {
		t.Fatalf("started again: %+v", o)
	}
}

// TestFailuresSurviveTakeover guards against losing the count of failed runs when another owner takes over.
func TestFailuresSurviveTakeover(t *testing.T) {
	p := newTestPool(t, "a")
	s := oneStep("x", 1, 1000)
	p.submit(s)
	id := TaskID{Job: "x"}
	first := starts(p.tick())
	if len(first) != 1 {
		t.Fatalf("%d starts, want 1", len(first))
	}
	p.Started(first[0], ResultDone, p.now)
	p.ends("a", EndedTask{Seq: 1, Task: id, Run: 1, Outcome: EndFailed})
	c := p.TakeCommit()
	loaded := Decode(append(c.Records, Record{Key: keySpec + "x", Value: encode(specRecord{Phase: Active, Spec: s})}))
	if len(loaded.Problems) > 0 {
		t.Fatal(loaded.Problems)
	}
	next := newTestPool(t, "a")
	next.Restore(loaded, next.now)
	next.ends("a", EndedTask{Seq: 1, Task: id, Run: 1, Outcome: EndFailed}) // not forgotten yet
	next.commit()
	if got, _ := next.StateOf("x"); got == StateFailed {
		t.Fatal("one failed run counted twice")
	}
	next.ends("a", EndedTask{Seq: 2, Task: id, Run: 65, Outcome: EndFailed})
	next.commit()
	if got, _ := next.StateOf("x"); got != StateFailed {
		t.Fatalf("state %q after the second failed run, want %q", got, StateFailed)
	}
}

// TestRestartedWorkerKeepsEnds guards against telling a worker to forget run ends that its owner has not seen. The
// worker had restarted under the same name and numbered its ends from the beginning again, so that a task ran twice
// (soak seed 19).
func TestRestartedWorkerKeepsEnds(t *testing.T) {
	p := newTestPool(t, "w")
	p.submit(oneStep("x", 2, 1000))
	orders := starts(p.tick())
	p.ends("w", EndedTask{Seq: 4, Task: orders[0].Task, Run: orders[0].Run, Outcome: EndDone})
	p.commit()
	if s, _ := p.Status("w", p.now); s.StableEnd != 4 {
		t.Fatalf("StableEnd is %d after the commit, want 4", s.StableEnd)
	}
	p.ReportFailed("w", false)
	if s, _ := p.Status("w", p.now); s.StableEnd != 0 {
		t.Fatalf("StableEnd is %d after an unanswered report request, want 0", s.StableEnd)
	}
	p.report("w")
	p.advance(minRestartTime)
	if s, _ := p.Status("w", p.now); s.StableEnd != 0 {
		t.Fatalf("%v after a report StableEnd is %d, want 0", minRestartTime, s.StableEnd)
	}
}

// TestGangRunCountsOnce guards against a job that is shown as failed after one failed run of its gang: each member that a
// worker listed as failed counted as an attempt.
func TestGangRunCountsOnce(t *testing.T) {
	p := newTestPool(t, "a", "b")
	s := oneStep("x", 3, 1000)
	s.Steps[0].Gang = true
	p.submit(s)
	seq := make(map[string]int64)
	failRun := func() {
		t.Helper()
		orders := starts(p.tick())
		if len(orders) != 3 {
			t.Fatalf("%d starts, want the whole gang", len(orders))
		}
		for _, o := range orders {
			p.Started(o, ResultDone, p.now)
			seq[o.Worker]++
			p.ends(o.Worker, EndedTask{Seq: seq[o.Worker], Task: o.Task, Run: o.Run, Outcome: EndFailed})
		}
		p.commit()
	}
	failRun()
	if state, _ := p.StateOf("x"); state == StateFailed {
		t.Fatal("the job failed after one run of two")
	}
	p.advance(failureBackoff)
	p.reportAll("a", "b")
	failRun()
	if state, _ := p.StateOf("x"); state != StateFailed {
		t.Errorf("state %q after the second failed run, want %q", state, StateFailed)
	}
}
