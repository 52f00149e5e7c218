package job

import (
	"testing"
	"time"
)

// testPool is a pool whose workers have 4 cores and 4,000 MB each and have reported.
type testPool struct {
	*Pool
	t   *testing.T
	now Time
}

func newTestPool(t *testing.T, workers ...string) *testPool {
	t.Helper()
	now := Time{Steady: time.Hour, WallMs: 1_000_000}
	p := New(Config{
		Pool: "pool", MinRunNumber: 1, MaxLease: 5 * time.Second, InheritedLease: 7 * time.Second,
		FinishedRetention: time.Minute, CrossRackFactor: 2,
	}, now)
	tp := &testPool{Pool: p, t: t, now: now}
	var infos []WorkerInfo
	for _, id := range workers {
		infos = append(infos, WorkerInfo{ID: id, Capacity: Resources{CPU: 4000, MemMB: 4000}})
	}
	p.UpdateDirectory(infos, now)
	for _, id := range workers {
		tp.report(id)
	}
	tp.commit()
	return tp
}

// report applies a report with the running tasks of a worker.
func (tp *testPool) report(worker string, running ...RunningTask) {
	tp.Report(Report{Worker: worker, Incarnation: 1, SentAt: tp.now.Steady, Running: running}, tp.now)
}

// reportAll applies reports of workers without running tasks.
func (tp *testPool) reportAll(workers ...string) {
	for _, id := range workers {
		tp.report(id)
	}
}

// starve advances the time until a job that was accepted now starves. The leases of all workers are extended.
func (tp *testPool) starve(s *Spec) {
	tp.advance(expiryFactor*s.objective() + starvationTimeout + time.Second)
	for id := range tp.workers {
		tp.LeaseExtended(id, tp.now)
	}
}

// indexOn returns the index of the only task that runs on a worker.
func (tp *testPool) indexOn(worker string) int {
	tp.t.Helper()
	runs := tp.workers[worker].sortedRuns()
	if len(runs) != 1 {
		tp.t.Fatalf("%d runs on worker %s, want 1", len(runs), worker)
	}
	return runs[0].task.id.Index
}

// ends applies a report with the ended tasks of a worker.
func (tp *testPool) ends(worker string, ended ...EndedTask) {
	tp.Report(Report{Worker: worker, Incarnation: 1, SentAt: tp.now.Steady, Ended: ended}, tp.now)
}

func (tp *testPool) commit() {
	for c := tp.TakeCommit(); c != nil; c = tp.TakeCommit() {
		tp.Committed(c, tp.now)
	}
}

func (tp *testPool) advance(d time.Duration) {
	tp.now.Steady += d
	tp.now.WallMs += d.Milliseconds()
}

// tick advances the time by the housekeeping interval, runs the pool and returns its orders.
func (tp *testPool) tick() []Order {
	tp.advance(housekeepingInterval)
	tp.Tick(tp.now)
	return tp.TakeOrders()
}

func (tp *testPool) submit(s *Spec) {
	tp.t.Helper()
	if s.Attempts == 0 {
		s.Attempts = 2
	}
	s.Pool, s.Queue, s.AcceptedMs = "pool", "queue", tp.now.WallMs
	if err := s.Validate(); err != nil {
		tp.t.Fatal(err)
	}
	if answer, _ := tp.Submit(s, tp.now); answer != Pending {
		tp.t.Fatalf("submission of %s answered %d", s.ID, answer)
	}
	tp.commit()
}

func starts(orders []Order) []Order {
	var out []Order
	for _, o := range orders {
		if o.Kind == OrderStart {
			out = append(out, o)
		}
	}
	return out
}

func oneStep(id string, count int, cpu int64) *Spec {
	return &Spec{ID: id, Steps: []Step{{Count: count, Request: Resources{CPU: cpu, MemMB: 10}, Estimate: time.Second}}}
}

// TestStrayRunsKeepTheirCapacity guards against filling a worker beyond its capacity: after a takeover, tasks were
// started in the capacity of a run that was being stopped but belonged to no known task.
func TestStrayRunsKeepTheirCapacity(t *testing.T) {
	p := newTestPool(t, "w")
	stray := RunningTask{Task: TaskID{Job: "gone"}, Run: 3}
	p.report("w", stray)
	p.submit(oneStep("a", 1, 4000))
	orders := p.tick()
	if len(orders) != 1 || orders[0].Kind != OrderStop {
		t.Fatalf("orders %+v, want just the stop of the stray run", orders)
	}
	p.advance(100 * time.Millisecond)
	p.report("w", stray)
	if s := starts(p.tick()); len(s) != 0 {
		t.Fatalf("started %+v on a worker with a stray run", s)
	}
	p.advance(100 * time.Millisecond)
	p.report("w")
	if s := starts(p.tick()); len(s) != 1 {
		t.Fatalf("%d starts after the stray run ended, want 1", len(s))
	}
}
