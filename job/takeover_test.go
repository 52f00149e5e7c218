package job

import (
	"testing"
	"time"
)

// restored returns a pool of a later owner with a stored job and a recorded worker that is not listed any more.
func restored(t *testing.T) *testPool {
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
		Pool: "pool", RunBase: 65, MaxLease: 5 * time.Second, InheritedLease: 7 * time.Second,
		KeepFinished: time.Minute, RackFactor: 2,
	}, now)}
	p.Restore(loaded, now)
	p.Directory([]WorkerInfo{{ID: "a", Capacity: Resources{CPU: 4000, MemMB: 4000}}}, now)
	p.report("a")
	p.commit()
	return p
}

// TestTakeoverWaitsForUnknownWorker guards against a second run of a task that may run on a worker which the new owner could
// not look at.
func TestTakeoverWaitsForUnknownWorker(t *testing.T) {
	p := restored(t)
	if s := starts(p.tick()); len(s) != 0 {
		t.Fatalf("started %+v while worker old may run it", s)
	}
	p.advance(7 * time.Second)
	p.report("a")
	if s := starts(p.tick()); len(s) != 1 {
		t.Fatalf("%d starts after the lease of worker old, want 1", len(s))
	}
}

// TestTakeoverGoesOnWithoutGoneWorker guards against tasks that wait for the lease of a worker which is proved to be gone:
// while owners changed every few seconds, a lasting task was not started for 13 s.
func TestTakeoverGoesOnWithoutGoneWorker(t *testing.T) {
	p := restored(t)
	p.Gone("old", p.now)
	if s := starts(p.tick()); len(s) != 1 {
		t.Fatalf("%d starts after worker old was gone, want 1", len(s))
	}
}
