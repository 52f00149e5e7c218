package job

import (
	"testing"
	"time"
)

// restoredPool returns the pool of a later owner with a stored job and a recorded worker that is no longer listed.
func restoredPool(t *testing.T) *testPool {
	t.Helper()
	return restoredPoolOf(t, oneStep("x", 1, 1000))
}

func restoredPoolOf(t *testing.T, s *Spec, progress ...taskRecord) *testPool {
	t.Helper()
	s.Pool, s.Queue, s.Attempts = "pool", "queue", 2
	loaded := Decode([]Record{
		{Key: keyProgress + "x", Value: encode(progressRecord{Tasks: progress})},
		{Key: keySpec + "x", Value: encode(specRecord{Phase: Active, Spec: s})},
		{Key: keyWorker + "old", Value: encode(workerRecord{Pool: "pool", Info: WorkerInfo{ID: "old", Capacity: Resources{CPU: 4000, MemMB: 4000}}})},
	})
	if len(loaded.Problems) > 0 {
		t.Fatal(loaded.Problems)
	}
	now := Time{Steady: time.Hour, WallMs: 1_000_000}
	p := &testPool{t: t, now: now, Pool: New(Config{
		Pool: "pool", MinRunNumber: 65, MaxLease: 5 * time.Second, InheritedLease: 7 * time.Second,
		FinishedRetention: time.Minute, CrossRackFactor: 2, Memory: NewMemoryBudget(1),
	}, now)}
	p.Restore(loaded, now)
	p.UpdateDirectory([]WorkerInfo{{ID: "a", Capacity: Resources{CPU: 4000, MemMB: 4000}}}, now)
	p.report("a")
	p.commit()
	return p
}

// TestTakeoverWaitsForUnknownWorker guards against a second run of a task that may run on a worker that has not
// reported to the new owner.
func TestTakeoverWaitsForUnknownWorker(t *testing.T) {
	p := restoredPool(t)
	if s := starts(p.tick()); len(s) != 0 {
		t.Fatalf("started %+v while worker old may still run the task", s)
	}
	p.advance(7 * time.Second)
	p.report("a")
	if s := starts(p.tick()); len(s) != 1 {
		t.Fatalf("%d starts after the lease of worker old expired, want 1", len(s))
	}
}

// TestTakeoverDoesNotWaitForGoneWorker guards against tasks that wait for the lease of a worker that is proved to be
// gone: while owners changed every few seconds, a long-running task was not started for 13 s.
func TestTakeoverDoesNotWaitForGoneWorker(t *testing.T) {
	p := restoredPool(t)
	p.WorkerGone("old", p.now)
	if s := starts(p.tick()); len(s) != 1 {
		t.Fatalf("%d starts after worker old was gone, want 1", len(s))
	}
}

// TestTakeoverDoesNotWaitForRemovedWorker guards against the same wait after machines were moved just before the takeover:
// their former workers refuse connections, which proves nothing, but the platform lists them no more.
func TestTakeoverDoesNotWaitForRemovedWorker(t *testing.T) {
	p := restoredPool(t)
	p.WorkersRemoved([]string{"old"}, p.now)
	if s := starts(p.tick()); len(s) != 1 {
		t.Fatalf("%d starts after worker old was removed, want 1", len(s))
	}
}

// TestListedWorkerIsNotRemoved guards against a second run of a task on a worker that an old list of machines omits while
// the worker is in the directory, or has just reported.
func TestListedWorkerIsNotRemoved(t *testing.T) {
	p := newTestPool(t, "a", "b")
	p.submit(oneStep("x", 2, 3000))
	p.commit()
	orders := starts(p.tick())
	if len(orders) != 2 {
		t.Fatalf("%d starts, want 2", len(orders))
	}
	for _, o := range orders {
		p.Started(o, ResultDone, p.now)
	}
	p.advance(2 * time.Second)
	p.WorkersRemoved([]string{"a", "b"}, p.now) // listed
	p.UpdateDirectory(nil, p.now)
	for _, o := range orders {
		p.report(o.Worker, RunningTask{Task: o.Task, Run: o.Run})
	}
	p.WorkersRemoved([]string{"a", "b"}, p.now) // reported just now
	for _, w := range p.sortedWorkers() {
		if len(w.runs) != 1 {
			t.Errorf("the run on worker %s counts as ended", w.info.ID)
		}
	}
	p.advance(2 * time.Second)
	p.WorkersRemoved([]string{"a"}, p.now)
	if n := len(p.workers["a"].runs) + len(p.workers["b"].runs); n != 1 {
		t.Errorf("%d runs are left after one of two workers was removed", n)
	}
}

// TestRefusingWorkerGetsNoTasks guards against starts on a worker whose address refuses connections, and against runs there
// that are started elsewhere while their lease holds.
func TestRefusingWorkerGetsNoTasks(t *testing.T) {
	p := newTestPool(t, "a")
	p.submit(oneStep("x", 1, 1000))
	p.commit()
	first := starts(p.tick())
	p.Started(first[0], ResultDone, p.now)
	p.submit(oneStep("y", 1, 1000))
	p.commit()
	p.ReportFailed("a", true)
	if s := starts(p.tick()); len(s) != 0 {
		t.Errorf("started %+v on a worker that refuses connections", s)
	}
	if len(p.workers["a"].runs) != 1 {
		t.Error("the run on the worker counts as ended")
	}
	p.report("a", RunningTask{Task: first[0].Task, Run: first[0].Run})
	if s := starts(p.tick()); len(s) != 1 {
		t.Errorf("%d starts after the worker reported again, want 1", len(s))
	}
}

// TestEmptyWorkerLeavesAtOnce guards against a record of a worker that outlives it by the time of a lease, although nothing
// runs there: a successor would wait for it.
func TestEmptyWorkerLeavesAtOnce(t *testing.T) {
	p := newTestPool(t, "a")
	p.LeaseExtended("a", p.now)
	p.UpdateDirectory(nil, p.now)
	p.advance(maxReportAge + housekeepingInterval)
	p.tick()
	if p.workers["a"] != nil {
		t.Error("the worker is still known")
	}
}

// successor returns the pool of a later owner with a stored long-running job. The pool learns that its tasks run on
// workers a to e from their reports (reportAvailable).
func successor(t *testing.T, s *Spec) *testPool {
	t.Helper()
	s.Pool, s.Queue, s.Attempts = "pool", "queue", 2
	loaded := Decode([]Record{{Key: keySpec + s.ID, Value: encode(specRecord{Phase: Active, Spec: s})}})
	now := Time{Steady: time.Hour, WallMs: 1_000_000}
	p := &testPool{t: t, now: now, Pool: New(Config{
		Pool: "pool", MinRunNumber: 65, MaxLease: 5 * time.Second, InheritedLease: 7 * time.Second,
		FinishedRetention: time.Minute, CrossRackFactor: 2, InheritedStopTimeout: inheritedStopTimeout, InheritedFleetTimeout: inheritedFleetTimeout,
	}, now)}
	p.Restore(loaded, now)
	var infos []WorkerInfo
	for _, id := range workerNames {
		infos = append(infos, WorkerInfo{ID: id, Capacity: Resources{CPU: 4000, MemMB: 4000}})
	}
	p.UpdateDirectory(infos, now)
	return p
}

const (
	inheritedStopTimeout  = 1600 * time.Millisecond
	inheritedFleetTimeout = 1500 * time.Millisecond
)

var workerNames = []string{"a", "b", "c", "d", "e"}

// reportAvailable reports each task of a job as available, task 0 on worker a and so on.
func (tp *testPool) reportAvailable(s *Spec) {
	for i, w := range workerNames {
		if i < s.Steps[0].Count {
			tp.report(w, RunningTask{Task: TaskID{Job: s.ID, Index: i}, Run: 1, Progress: 100})
		} else {
			tp.report(w)
		}
	}
	tp.commit()
}

// TestSuccessorCountsStopsOfItsPredecessor guards against exceeding the disruption budget of a long-running step: a
// task that the earlier owner had stopped was still running when the new owner received its first reports, and the new
// owner stopped another one.
func TestSuccessorCountsStopsOfItsPredecessor(t *testing.T) {
	s := longRunningSpec("x", 4, 1)
	p := successor(t, s)
	p.reportAvailable(s)
	p.Evacuate([]string{"b"})
	for elapsed := time.Duration(0); elapsed < inheritedStopTimeout-100*time.Millisecond; elapsed += 100 * time.Millisecond {
		p.advance(60 * time.Millisecond)
		if stopped := stops(p.tick()); len(stopped) != 0 {
			t.Fatalf("stopped %+v %v after the takeover", stopped, elapsed)
		}
		p.reportAvailable(s)
	}
	p.advance(200 * time.Millisecond)
	p.reportAvailable(s)
	if stopped := stops(p.tick()); len(stopped) != 1 {
		t.Fatalf("%d stops after InheritedStopTimeout, want 1", len(stopped))
	}
}

// TestSuccessorLeavesEmptyWorkersToFleetController guards against starting tasks on a worker that the earlier owner
// reported as empty: an order of the fleet controller for its machine may be on its way.
func TestSuccessorLeavesEmptyWorkersToFleetController(t *testing.T) {
	s := longRunningSpec("x", 4, 1)
	s.Steps[0].MaxPerWorker = 0
	p := successor(t, s)
	p.reportAvailable(s)
	p.submit(oneStep("y", 1, 4000))
	if s := starts(p.tick()); len(s) != 0 {
		t.Fatalf("started %+v on a worker that was empty at the takeover", s)
	}
	p.Evacuate([]string{"e"})
	if s := starts(p.tick()); len(s) != 0 {
		t.Fatalf("started %+v on a worker that is evacuated", s)
	}
	p.Evacuate(nil)
	if s := starts(p.tick()); len(s) != 1 || s[0].Worker != "e" {
		t.Fatalf("started %+v after the evacuation of worker e was withdrawn, want one task on it", s)
	}
}

// TestSuccessorWaitForFleetControllerIsBounded guards against workers that stay unused while there is no fleet
// controller.
func TestSuccessorWaitForFleetControllerIsBounded(t *testing.T) {
	s := longRunningSpec("x", 4, 1)
	p := successor(t, s)
	p.reportAvailable(s)
	p.submit(oneStep("y", 1, 4000))
	p.advance(inheritedFleetTimeout)
	p.reportAvailable(s)
	if s := starts(p.tick()); len(s) != 1 {
		t.Fatalf("%d starts after InheritedFleetTimeout, want 1", len(s))
	}
}

// TestFullMemoryForgetsNoOccurrence guards against tasks that run again because a new owner has no memory for occurrences that
// the earlier one had created.
func TestFullMemoryForgetsNoOccurrence(t *testing.T) {
	s := oneStep("x", 1, 1000)
	s.Occurrences, s.IntervalMs = 4, 1
	p := restoredPoolOf(t, s, taskRecord{Occurrence: 1, Done: true})
	p.ends("a", EndedTask{Seq: 1, Task: TaskID{Job: "x", Occurrence: 2}, Run: 1, Outcome: EndDone})
	p.commit()
	p.WorkerGone("old", p.now)
	p.cfg.Memory = nil
	p.advance(time.Minute)
	p.report("a")
	for _, o := range starts(p.tick()) {
		if o.Task.Occurrence == 1 || o.Task.Occurrence == 2 {
			t.Errorf("task %+v is started again after it was done", o.Task)
		}
	}
}

// TestOccurrenceDueAfterTakeoverWaits guards against an occurrence that is started by two owners, because it becomes due
// before the earlier one knows that it was replaced, on a worker that the new one does not reach.
func TestOccurrenceDueAfterTakeoverWaits(t *testing.T) {
	s := oneStep("x", 1, 1000)
	s.Occurrences, s.StartMs = 1, 1_001_000
	p := restoredPoolOf(t, s)
	for range 6 {
		p.advance(time.Second)
		p.report("a")
		if o := starts(p.tick()); len(o) != 0 {
			t.Fatalf("started %+v while worker old may still run the task", o)
		}
	}
	p.advance(time.Second)
	p.report("a")
	if o := starts(p.tick()); len(o) != 1 {
		t.Fatalf("%d starts after the lease of worker old expired, want 1", len(o))
	}
}
