package job

import (
	"testing"
	"time"
)

func longRunningSpec(id string, count, budget int) *Spec {
	return &Spec{ID: id, Steps: []Step{{
		Count: count, Request: Resources{CPU: 1000, MemMB: 10}, LongRunning: true, DisruptionBudget: budget, MaxPerWorker: 1,
	}}}
}

// startAvailable starts the long-running job and reports its tasks as available. It returns the worker of each task.
func (tp *testPool) startAvailable(s *Spec) map[TaskID]string {
	tp.t.Helper()
	tp.submit(s)
	at := make(map[TaskID]string)
	for _, o := range starts(tp.tick()) {
		tp.Started(o, ResultDone, tp.now)
		at[o.Task] = o.Worker
	}
	tp.advance(10 * time.Millisecond)
	for id, worker := range at {
		tp.report(worker, RunningTask{Task: id, Run: 1, Progress: 100})
	}
	return at
}

func stops(orders []Order) []Order {
	var out []Order
	for _, o := range orders {
		if o.Kind == OrderStop {
			out = append(out, o)
		}
	}
	return out
}

// TestEvacuationCountsSilentWorkers guards against exceeding the disruption budget: a long-running task was stopped
// while another task of its step was on a worker that no longer reported and whose lease had not expired yet.
func TestEvacuationCountsSilentWorkers(t *testing.T) {
	p := newTestPool(t, "a", "b", "c")
	at := p.startAvailable(longRunningSpec("x", 2, 1))
	var first, second TaskID
	for id := range at {
		if id.Index == 0 {
			first = id
		} else {
			second = id
		}
	}
	// The second task's worker stops reporting; the others continue.
	for range 3 {
		p.advance(time.Second)
		for _, w := range []string{"a", "b", "c"} {
			switch w {
			case at[first]:
				p.report(w, RunningTask{Task: first, Run: 1, Progress: 100})
			case at[second]:
			default:
				p.report(w)
			}
		}
	}
	p.Evacuate([]string{at[first]})
	if s := stops(p.tick()); len(s) != 0 {
		t.Fatalf("stopped %+v while the other task is unavailable", s)
	}
	// The second task is available again.
	p.report(at[second], RunningTask{Task: second, Run: 1, Progress: 100})
	if s := stops(p.tick()); len(s) != 1 || s[0].Task != first {
		t.Fatalf("stopped %+v, want the task on the evacuated worker", s)
	}
}

// TestLargeLongRunningTaskGetsCapacity guards against a long-running task that waits forever in a full pool, because
// each piece of capacity that becomes free is too small for it and goes to a smaller task.
func TestLargeLongRunningTaskGetsCapacity(t *testing.T) {
	p := newTestPool(t, "a")
	p.submit(oneStep("short", 40, 1000))
	var running []Order
	for _, o := range starts(p.tick()) {
		p.Started(o, ResultDone, p.now)
		running = append(running, o)
	}
	if len(running) != 4 {
		t.Fatalf("%d tasks run, want 4", len(running))
	}
	s := longRunningSpec("large", 1, 1)
	s.Steps[0].Request.CPU = 3000
	p.submit(s)
	for i := range 8 {
		if len(running) == 0 {
			t.Fatal("nothing runs")
		}
		o := running[0]
		running = running[1:]
		p.advance(300 * time.Millisecond)
		rep := Report{Worker: "a", Incarnation: 1, SentAt: p.now.Steady}
		rep.Ended = []EndedTask{{Seq: int64(i + 1), Task: o.Task, Run: o.Run, Outcome: EndDone}}
		for _, r := range running {
			rep.Running = append(rep.Running, RunningTask{Task: r.Task, Run: r.Run})
		}
		p.Report(rep, p.now)
		for _, next := range starts(p.tick()) {
			p.Started(next, ResultDone, p.now)
			if next.Task.Job == "large" {
				return
			}
			running = append(running, next)
		}
	}
	t.Fatal("the large task did not start")
}
