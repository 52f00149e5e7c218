package job

import (
	"testing"
	"time"
)

// restoredPool returns the pool of a later owner with a stored job and a recorded worker that is no longer listed.
func restoredPool(t *testing.T) *testPool {
	t.Helper()
	s := oneStep("x", 1, 1000)
	s.Pool, s.Queue, s.Attempts = "pool", "queue", 2
	loaded := Decode([]Record{
		{Key: keySpec + "x", Value: encode(specRecord{Phase: Active, Spec: s})},
		{Key: keyWorker + "old", Value: encode(workerRecord{Pool: "pool", Info: WorkerInfo{ID: "old", Capacity: Resources{CPU: 4000, MemMB: 4000}}})},
	})
	if len(loaded.Problems) > 0 {
		t.Fatal(loaded.Problems)
	}
	now := Time{Steady: time.Hour, WallMs: 1_000_000}
	p := &testPool{t: t, now: now, Pool: New(Config{
		Pool: "pool", MinRunNumber: 65, MaxLease: 5 * time.Second, InheritedLease: 7 * time.Second,
		FinishedRetention: time.Minute, CrossRackFactor: 2,
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
