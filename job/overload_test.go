package job

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// overloadSim runs a pool on workers that carry out every order at once. Tasks take exactly their declared time.
type overloadSim struct {
	pool      *Pool
	now       Time
	running   map[string][]overloadRun // by worker
	ended     map[string][]EndedTask
	seq       map[string]int64
	submitted map[string]time.Duration
	completed map[string]time.Duration // time from the submission
	refused   int
}

type overloadRun struct {
	id   TaskID
	run  int
	ends time.Duration
}

const overloadStep = 20 * time.Millisecond

func newOverloadSim(workers int) *overloadSim {
	s := &overloadSim{
		now: Time{Steady: time.Hour, WallMs: 1_000_000}, running: make(map[string][]overloadRun), ended: make(map[string][]EndedTask),
		seq: make(map[string]int64), submitted: make(map[string]time.Duration), completed: make(map[string]time.Duration),
	}
	s.pool = New(Config{Pool: "pool", MinRunNumber: 1, MaxLease: time.Hour, FinishedRetention: time.Hour, CrossRackFactor: 2}, s.now)
	var infos []WorkerInfo
	for i := range workers {
		infos = append(infos, WorkerInfo{ID: fmt.Sprintf("w%02d", i), Capacity: Resources{CPU: 64000, MemMB: 128000}})
	}
	s.pool.UpdateDirectory(infos, s.now)
	s.step()
	return s
}

// submit submits a job of one step whose tasks occupy an eighth of a worker each.
func (s *overloadSim) submit(tasks int, duration time.Duration) {
	s.submitSpec(Spec{Queue: "q", Steps: []Step{{Count: tasks, Request: Resources{CPU: 8000, MemMB: 8000}, Estimate: duration}}})
}

// submitSpec submits a job under a new identifier, which it returns with the answer.
func (s *overloadSim) submitSpec(spec Spec) (string, Answer, time.Duration) {
	spec.ID = fmt.Sprintf("j%05d", len(s.submitted)+s.refused)
	spec.Pool, spec.Attempts, spec.AcceptedMs = "pool", 2, s.now.WallMs
	spec.ObjectiveFactor, spec.ObjectiveMargin = 1.6, 600*time.Millisecond
	answer, wait := s.pool.Submit(&spec, s.now)
	if answer == Refused {
		s.refused++
	} else {
		s.submitted[spec.ID] = s.now.Steady
	}
	return spec.ID, answer, wait
}

// step advances the time by overloadStep.
func (s *overloadSim) step() {
	s.now.Steady += overloadStep
	s.now.WallMs += overloadStep.Milliseconds()
	s.report()
	s.commit()
	s.pool.Tick(s.now)
	for _, o := range s.pool.TakeOrders() {
		if o.Kind != OrderStart {
			continue
		}
		step := s.pool.task(o.Task).step
		s.running[o.Worker] = append(s.running[o.Worker], overloadRun{id: o.Task, run: o.Run, ends: s.now.Steady + step.Estimate})
		s.pool.Started(o, ResultDone, s.now)
	}
	s.commit()
	s.pool.TakeEvents()
	for id, at := range s.submitted {
		if state, _ := s.pool.StateOf(id); state == StateCompleted && s.completed[id] == 0 {
			s.completed[id] = s.now.Steady - at
		}
	}
}

// report passes the reports of all workers to the pool.
func (s *overloadSim) report() {
	for _, w := range s.pool.Workers() {
		id := w.Info.ID
		rep := Report{Worker: id, Incarnation: 1, SentAt: s.now.Steady}
		s.running[id] = slices.DeleteFunc(s.running[id], func(r overloadRun) bool {
			if r.ends > s.now.Steady {
				rep.Running = append(rep.Running, RunningTask{Task: r.id, Run: r.run})
				return false
			}
			s.seq[id]++
			rep.Ended = append(rep.Ended, EndedTask{Seq: s.seq[id], Task: r.id, Run: r.run, Outcome: EndDone})
			return true
		})
		s.pool.Report(rep, s.now)
	}
}

func (s *overloadSim) commit() {
	for c := s.pool.TakeCommit(); c != nil; c = s.pool.TakeCommit() {
		s.pool.Committed(c, s.now)
	}
}

// TestPeakBeyondCapacity guards against a peak of one queue in which nearly every job is late. It replays the load of the
// large site: for some seconds jobs ask for twice as much as the pool can run. Late jobs that were about to become useless
// went ahead of jobs that could still be on time, which made those late in turn. The pool can serve half of the peak on
// time; the test asks for four fifths of that.
func TestPeakBeyondCapacity(t *testing.T) {
	const (
		workers  = 20
		tasks    = 8
		duration = 640 * time.Millisecond
		peak     = 10 * time.Second
		overload = 2.0
	)
	s := newOverloadSim(workers)
	jobsPerSecond := overload * workers * 8 / tasks / duration.Seconds()
	objective := time.Duration(1.6*float64(duration)) + 600*time.Millisecond
	asked := 0
	for start := s.now.Steady; s.now.Steady < start+peak; s.step() {
		for ; float64(asked) < jobsPerSecond*(s.now.Steady-start).Seconds(); asked++ {
			s.submit(tasks, duration)
		}
	}
	for range 1000 {
		s.step()
	}
	onTime := 0
	for _, took := range s.completed {
		if took <= objective {
			onTime++
		}
	}
	t.Logf("%d jobs: %d on time, %d late, %d refused", asked, onTime, len(s.completed)-onTime, s.refused)
	if want := int(0.8 * float64(asked) / overload); onTime < want {
		t.Errorf("%d of %d jobs are on time, want at least %d", onTime, asked, want)
	}
	if len(s.completed) != len(s.submitted) {
		t.Errorf("%d of %d accepted jobs are completed", len(s.completed), len(s.submitted))
	}
}
