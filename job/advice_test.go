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
