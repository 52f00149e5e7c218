package job

import (
	"testing"
	"time"
)

// reborn applies the first report of an incarnation of a worker, and stores it.
func (tp *testPool) reborn(worker string, incarnation int64, running ...RunningTask) {
	tp.Report(Report{Worker: worker, Incarnation: incarnation, SentAt: tp.now.Steady, Running: running}, tp.now)
	tp.commit()
}

// labelled returns the directory entry of an incarnation of worker a with a label.
func labelled(incarnation int64, label string) []WorkerInfo {
	return []WorkerInfo{{ID: "a", Labels: []string{label}, Incarnation: incarnation, Capacity: Resources{CPU: 4000, MemMB: 4000}}}
}

func labelledStep(id, label string) *Spec {
	s := oneStep(id, 1, 1000)
	s.Steps[0].Label = label
	return s
}

// TestEntryOfEarlierIncarnation guards against starts on a worker that restarted as another kind: its new incarnation had
// reported, but the labels were those of the directory entry of the earlier one.
func TestEntryOfEarlierIncarnation(t *testing.T) {
	p := newTestPool(t, "a")
	p.UpdateDirectory(labelled(1, "x"), p.now)
	p.submit(labelledStep("first", "x"))
	p.reborn("a", 2)
	if o := starts(p.tick()); len(o) != 0 {
		t.Fatalf("started %+v by the labels of an earlier incarnation", o)
	}
	p.UpdateDirectory(labelled(2, "y"), p.now)
	p.submit(labelledStep("second", "y"))
	if o := starts(p.tick()); len(o) != 1 || o[0].Task.Job != "second" {
		t.Errorf("starts %+v, want the task that requires the new label", o)
	}
}

// TestEntryOfLaterIncarnation guards against the same starts when the new entry arrives before the first report.
func TestEntryOfLaterIncarnation(t *testing.T) {
	p := newTestPool(t, "a")
	p.UpdateDirectory(labelled(2, "y"), p.now)
	p.submit(labelledStep("second", "y"))
	if o := starts(p.tick()); len(o) != 0 {
		t.Fatalf("started %+v in an incarnation that the entry does not describe", o)
	}
	p.reborn("a", 2)
	if o := starts(p.tick()); len(o) != 1 {
		t.Errorf("%d starts after the described incarnation reported, want 1", len(o))
	}
}

// TestDrainingOfEarlierIncarnation guards against an evacuation of a restarted worker because its earlier incarnation was
// draining.
func TestDrainingOfEarlierIncarnation(t *testing.T) {
	p := newTestPool(t, "a")
	info := labelled(1, "x")
	info[0].Draining = true
	p.UpdateDirectory(info, p.now)
	task := TaskID{Job: "j", Index: 0}
	p.submit(longRunningSpec("j", 1, 0))
	p.tick()
	p.reborn("a", 2, RunningTask{Task: task, Run: 1, Progress: availableProgress})
	if o := stops(p.tick()); len(o) != 0 {
		t.Errorf("stopped %+v on a worker that is not draining", o)
	}
}

// TestStartIsNotResentToNextIncarnation guards against a start that is sent once more, after its worker has restarted, although
// it was decided by the labels of the earlier incarnation.
func TestStartIsNotResentToNextIncarnation(t *testing.T) {
	p := newTestPool(t, "a")
	p.UpdateDirectory(labelled(1, "x"), p.now)
	p.submit(labelledStep("j", "x"))
	first := starts(p.tick())
	if len(first) != 1 {
		t.Fatalf("%d starts, want 1", len(first))
	}
	p.Started(first[0], ResultNoAnswer, p.now)
	p.advance(orderRetryInterval)
	p.reborn("a", 2)
	orders := p.tick()
	if len(starts(orders)) != 0 || len(stops(orders)) != 1 {
		t.Errorf("orders %+v, want a stop of the unanswered start", orders)
	}
}

// TestLabelledStartIsResentAfterReport guards against the same start while the restart of the worker is not known yet.
func TestLabelledStartIsResentAfterReport(t *testing.T) {
	for _, reported := range []bool{false, true} {
		p := newTestPool(t, "a")
		p.UpdateDirectory(labelled(1, "x"), p.now)
		p.submit(labelledStep("j", "x"))
		p.Started(starts(p.tick())[0], ResultNoAnswer, p.now)
		p.advance(orderRetryInterval / 2)
		if reported {
			p.report("a")
		}
		p.advance(orderRetryInterval/2 + time.Millisecond)
		if n := len(starts(p.tick())); (n == 1) != reported {
			t.Errorf("%d starts sent again, report since the first one: %t", n, reported)
		}
	}
}

// lateStart orders a start on worker a that has no answer, and repeats it with an answer.
func (tp *testPool) lateStart() Order {
	tp.t.Helper()
	tp.submit(oneStep("j", 1, 1000))
	o := starts(tp.tick())[0]
	tp.Started(o, ResultNoAnswer, tp.now)
	tp.advance(orderRetryInterval)
	if repeated := starts(tp.tick()); len(repeated) != 1 || repeated[0].Run != o.Run {
		tp.t.Fatalf("repeated starts %+v", repeated)
	}
	tp.Started(o, ResultDone, tp.now)
	return o
}

// TestLateStartIsStoppedInNextIncarnation guards against two runs of a task at once: the first attempt of a start had no
// answer, the second one was confirmed, and the worker restarted. The run counted as lost and its task was started elsewhere,
// while the next incarnation could still carry out the first attempt.
func TestLateStartIsStoppedInNextIncarnation(t *testing.T) {
	p := newTestPool(t, "a")
	o := p.lateStart()
	p.advance(time.Second)
	p.report("a", RunningTask{Task: o.Task, Run: o.Run})
	p.advance(time.Second)
	p.reborn("a", 2)
	orders := p.tick()
	if len(starts(orders)) != 0 || len(stops(orders)) != 1 {
		t.Fatalf("orders %+v, want just the stop of the late start", orders)
	}
	p.Stopped(stops(orders)[0], ResultDone, p.now)
	p.advance(time.Millisecond)
	p.reborn("a", 2)
	if n := len(starts(p.tick())); n != 1 {
		t.Errorf("%d starts after the confirmed stop, want 1", n)
	}
}

// TestLateStartOfDoneTaskIsStopped guards against a second run of a task that is done, which the next incarnation of its worker
// starts by an earlier attempt.
func TestLateStartOfDoneTaskIsStopped(t *testing.T) {
	p := newTestPool(t, "a")
	o := p.lateStart()
	p.ends("a", EndedTask{Seq: 1, Task: o.Task, Run: o.Run, Outcome: EndDone})
	p.commit()
	p.advance(time.Second)
	p.reborn("a", 2)
	var orders []Order
	for _, result := range []Result{ResultNoAnswer, ResultDone} {
		orders = stops(p.tick())
		if len(orders) != 1 || orders[0].Task != o.Task || orders[0].Run != o.Run {
			t.Fatalf("stops %+v, want that of the late start", orders)
		}
		p.Stopped(orders[0], result, p.now)
		p.advance(orderRetryInterval)
		p.reborn("a", 2)
	}
	if orders = stops(p.tick()); len(orders) != 0 {
		t.Errorf("stopped %+v again after a confirmed stop", orders)
	}
	p.advance(lateStartHorizon)
	p.reborn("a", 3)
	if orders := stops(p.tick()); len(orders) != 0 {
		t.Errorf("stopped %+v long after its start", orders)
	}
}

// TestStopOfEarlierIncarnation guards against a start that counts as stopped by a confirmation of the worker's earlier
// incarnation, while the next one can still carry it out.
func TestStopOfEarlierIncarnation(t *testing.T) {
	p := newTestPool(t, "a")
	p.submit(oneStep("j", 1, 1000))
	var stop []Order
	for len(stop) == 0 {
		for _, o := range starts(p.tick()) {
			p.Started(o, ResultNoAnswer, p.now)
		}
		p.advance(orderRetryInterval)
		stop = stops(p.tick())
	}
	p.reborn("a", 2)
	p.Stopped(stop[0], ResultDone, p.now)
	p.advance(orderRetryInterval)
	p.reborn("a", 2)
	orders := p.tick()
	if len(starts(orders)) != 0 || len(stops(orders)) != 1 {
		t.Errorf("orders %+v, want the repeated stop", orders)
	}
}
