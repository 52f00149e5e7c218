package job

import (
	"testing"
	"time"
)

// TestAdvisedStepNeedsTicket guards against starts without a valid ticket, which workers reject, and against tasks that
// wait forever after a worker refused their ticket.
func TestAdvisedStepNeedsTicket(t *testing.T) {
	p := newTestPool(t, "a", "b")
	s := oneStep("x", 1, 1000)
	s.NeedsAdvice = true
	p.submit(s)
	if o := starts(p.tick()); len(o) != 0 {
		t.Fatalf("started %+v without a ticket", o)
	}
	requests := p.TakeAdviceRequests()
	if len(requests) != 1 || requests[0].Step.String() != "x.0.0" || len(requests[0].Workers) != 2 {
		t.Fatalf("requests %+v", requests)
	}
	p.ApplyAdvice(requests[0], []Ticket{{Worker: "b", Value: "pass"}}, 3*time.Second, p.now.Steady, p.now)
	o := starts(p.tick())
	if len(o) != 1 || o[0].Worker != "b" || o[0].Ticket != "pass" {
		t.Fatalf("orders %+v, want a start on b with its ticket", o)
	}
	p.Started(o[0], ResultInvalidTicket, p.now)
	p.advance(adviceRetryDelay)
	p.report("a")
	p.report("b")
	p.tick()
	if requests = p.TakeAdviceRequests(); len(requests) != 1 {
		t.Fatalf("requests %+v after a refused ticket, want one", requests)
	}
}

// TestIneligibleTaskReservesNoWorker guards against a pool that stops for good: the tasks of a starving job that no worker
// may run reserved all workers, so that no other task started.
func TestIneligibleTaskReservesNoWorker(t *testing.T) {
	p := newTestPool(t, "a", "b")
	s := oneStep("x", 4, 1000)
	s.NeedsAdvice = true
	p.submit(s)
	p.starve(s)
	p.reportAll("a", "b")
	p.tick()
	for _, r := range p.TakeAdviceRequests() {
		p.ApplyAdvice(r, nil, 3*time.Second, p.now.Steady, p.now)
	}
	p.submit(oneStep("y", 2, 1000))
	if o := starts(p.tick()); len(o) != 2 {
		t.Errorf("%d starts beside a job that no worker may run, want 2", len(o))
	}
}

// TestStarvingTaskReservesEligibleWorker guards against reservations on other workers than those that may run a task, also
// while its ticket is being renewed.
func TestStarvingTaskReservesEligibleWorker(t *testing.T) {
	p := newTestPool(t, "a", "b")
	p.submit(oneStep("filler", 2, 3000))
	filled := starts(p.tick())
	for _, o := range filled {
		p.Started(o, ResultDone, p.now)
	}
	s := oneStep("x", 1, 4000)
	s.NeedsAdvice = true
	p.submit(s)
	p.starve(s)
	for _, o := range filled {
		p.report(o.Worker, RunningTask{Task: o.Task, Run: o.Run})
	}
	p.tick()
	requests := p.TakeAdviceRequests()
	if len(requests) != 1 {
		t.Fatalf("requests %+v, want one", requests)
	}
	validity := time.Second
	p.ApplyAdvice(requests[0], []Ticket{{Worker: "b", Value: "pass"}}, validity, p.now.Steady, p.now)
	p.advance(validity)
	p.submit(oneStep("y", 2, 1000))
	o := starts(p.tick())
	if len(o) != 1 || o[0].Worker != "a" {
		t.Errorf("starts %+v, want one on the worker that is not reserved", o)
	}
}

// TestReservationNeedsAttainableCapacity guards against a pool that stops for good: a starving task reserved workers on
// which long-running tasks, which do not end, left too little capacity for it.
func TestReservationNeedsAttainableCapacity(t *testing.T) {
	p := newTestPool(t, "a", "b")
	long := longRunningSpec("long", 2, 0)
	p.startAvailable(long)
	big := oneStep("big", 2, 4000)
	p.submit(big)
	p.starve(big)
	for _, id := range []string{"a", "b"} {
		p.report(id, RunningTask{Task: TaskID{Job: "long", Index: p.indexOn(id)}, Run: 1, Progress: availableProgress})
	}
	p.submit(oneStep("y", 2, 1000))
	if o := starts(p.tick()); len(o) != 2 {
		t.Errorf("%d starts beside a task for which no worker can have the capacity, want 2", len(o))
	}
}

// TestTicketEndsWithIncarnation guards against starts in an incarnation of a worker for which the advice service has not
// issued a ticket.
func TestTicketEndsWithIncarnation(t *testing.T) {
	p := newTestPool(t, "a")
	s := oneStep("x", 1, 1000)
	s.NeedsAdvice = true
	p.submit(s)
	p.tick()
	requests := p.TakeAdviceRequests()
	p.Report(Report{Worker: "a", Incarnation: 2, SentAt: p.now.Steady}, p.now)
	p.commit()
	p.ApplyAdvice(requests[0], []Ticket{{Worker: "a", Value: "pass"}}, 3*time.Second, p.now.Steady, p.now)
	if o := starts(p.tick()); len(o) != 0 {
		t.Errorf("started %+v with the ticket of an earlier incarnation", o)
	}
}

// TestEvacuationNeedsEligibleWorker guards against stopping a long-running task that no other worker may run.
func TestEvacuationNeedsEligibleWorker(t *testing.T) {
	p := newTestPool(t, "a", "b")
	s := longRunningSpec("x", 1, 1)
	s.NeedsAdvice = true
	p.submit(s)
	p.tick()
	p.ApplyAdvice(p.TakeAdviceRequests()[0], []Ticket{{Worker: "a", Value: "pass"}}, 3*time.Second, p.now.Steady, p.now)
	o := starts(p.tick())
	if len(o) != 1 {
		t.Fatalf("%d starts, want 1", len(o))
	}
	p.Started(o[0], ResultDone, p.now)
	p.advance(10 * time.Millisecond)
	p.report("a", RunningTask{Task: o[0].Task, Run: o[0].Run, Progress: availableProgress})
	p.Evacuate([]string{"a"})
	if stopped := stops(p.tick()); len(stopped) != 0 {
		t.Errorf("stopped %+v, which no other worker may run", stopped)
	}
}
