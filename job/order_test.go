package job

import (
	"testing"
	"time"
)

// TestOldRunWaitsForReport guards against a second start of a completed task: the answer to its start was lost, the run
// ended before the start was sent again, and the worker refused the repeated start as old.
func TestOldRunWaitsForReport(t *testing.T) {
	p := newTestPool(t, "a", "b")
	p.submit(oneStep("x", 1, 1000))
	first := starts(p.tick())
	if len(first) != 1 {
		t.Fatalf("%d starts, want 1", len(first))
	}
	o := first[0]
	p.Started(o, ResultNoAnswer, p.now)
	p.advance(orderRetryInterval)
	p.report("a")
	p.report("b")
	again := starts(p.tick())
	if len(again) != 1 || again[0].Worker != o.Worker || again[0].Run != o.Run {
		t.Fatalf("retried %+v, want %+v", again, o)
	}
	p.Started(o, ResultStaleRun, p.now)
	if s := starts(p.tick()); len(s) != 0 {
		t.Fatalf("started %+v, although the run may have completed", s)
	}
	p.advance(time.Millisecond)
	p.ends(o.Worker, EndedTask{Seq: 1, Task: o.Task, Run: o.Run, Outcome: EndDone})
	p.tick()
	p.commit()
	if got, _ := p.StateOf("x"); got != StateCompleted {
		t.Fatalf("state %q, want %q", got, StateCompleted)
	}
}

// TestOldRunWithoutReportStartsAgain guards against a task that waits forever after its run was refused as old.
func TestOldRunWithoutReportStartsAgain(t *testing.T) {
	p := newTestPool(t, "a")
	p.submit(oneStep("x", 1, 1000))
	o := starts(p.tick())[0]
	p.Started(o, ResultStaleRun, p.now)
	p.advance(10 * time.Millisecond)
	p.report("a")
	s := starts(p.tick())
	if len(s) != 1 || s[0].Run <= o.Run {
		t.Fatalf("started %+v, want a run number greater than %d", s, o.Run)
	}
}

// TestRefusedRetryIsStoppedFirst guards against two concurrent runs of a task: the worker refuses the repeated start,
// but may still carry out the first one, which was not answered.
func TestRefusedRetryIsStoppedFirst(t *testing.T) {
	p := newTestPool(t, "a", "b")
	p.submit(oneStep("x", 1, 1000))
	o := starts(p.tick())[0]
	p.Started(o, ResultNoAnswer, p.now)
	p.advance(orderRetryInterval)
	p.report("a")
	p.report("b")
	p.tick()
	p.Started(o, ResultNoCapacity, p.now)
	orders := p.tick()
	if len(starts(orders)) != 0 || len(stops(orders)) != 1 {
		t.Fatalf("orders %+v, want only a stop", orders)
	}
	p.Stopped(stops(orders)[0], ResultDone, p.now)
	p.advance(10 * time.Millisecond)
	p.report(o.Worker)
	p.advance(refusalBackoff)
	p.report("a")
	p.report("b")
	if s := starts(p.tick()); len(s) != 1 {
		t.Fatalf("%d starts after the stop was settled, want 1", len(s))
	}
}

// TestUnansweredStartEnds guards against a task that waits forever for a start whose answer was lost: the worker keeps
// reporting, so its lease is extended, but it never confirms the stop of a run that it does not know.
func TestUnansweredStartEnds(t *testing.T) {
	p := newTestPool(t, "a")
	p.submit(oneStep("x", 1, 1000))
	o := starts(p.tick())[0]
	p.Started(o, ResultNoAnswer, p.now)
	for range 20 {
		p.advance(500 * time.Millisecond)
		p.LeaseExtended("a", p.now)
		p.report("a")
		for _, again := range p.tick() {
			switch {
			case again.Kind == OrderStart && again.Run > o.Run:
				return
			case again.Kind == OrderStart:
				p.Started(again, ResultNoAnswer, p.now)
			default:
				p.Stopped(again, ResultInvalid, p.now)
			}
		}
	}
	t.Fatal("the task was not started again after the start had expired")
}

// TestRepeatedStartExtendsLease guards against a task that starts elsewhere while it still runs: the repetition of an unanswered
// start gave the worker a longer lease than the owner counted on from the first attempt.
func TestRepeatedStartExtendsLease(t *testing.T) {
	p := newTestPool(t, "a")
	p.advance(p.cfg.InheritedLease)
	p.report("a")
	p.submit(oneStep("x", 1, 1000))
	p.Started(starts(p.tick())[0], ResultNoAnswer, p.now)
	p.advance(orderRetryInterval)
	repeated := starts(p.tick())
	if len(repeated) != 1 {
		t.Fatalf("%d starts, want the repetition", len(repeated))
	}
	p.Started(repeated[0], ResultDone, p.now)
	p.advance(p.cfg.MaxLease - 2*housekeepingInterval)
	p.tick()
	if len(p.workers["a"].runs) != 1 {
		t.Error("the run counts as ended before the lease of the repeated start")
	}
	p.advance(2 * housekeepingInterval)
	p.tick()
	if len(p.workers["a"].runs) != 0 {
		t.Error("the run does not end with the lease of a silent worker")
	}
}
