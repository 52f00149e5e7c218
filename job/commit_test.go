package job

import (
	"slices"
	"testing"
)

// TestWithdrawKeepsSentJobs guards against refusing a job that may be stored, and against jobs that get no answer while
// the store does not respond.
func TestWithdrawKeepsSentJobs(t *testing.T) {
	p := newTestPool(t, "w")
	submit := func(id string) {
		s := oneStep(id, 1, 1000)
		s.Pool, s.Queue, s.Attempts = "pool", "queue", 2
		p.Submit(s, p.now)
	}
	submit("sent")
	c := p.TakeCommit()
	submit("waits")
	if got := p.WithdrawUnsent(); !slices.Equal(got, []string{"waits"}) {
		t.Fatalf("withdrawn %v, want the job that was not sent", got)
	}
	if _, known := p.jobs["waits"]; known {
		t.Error("a withdrawn job is still known")
	}
	p.Committed(c, p.now)
	if s := starts(p.tick()); len(s) != 1 || s[0].Task.Job != "sent" {
		t.Errorf("started %+v, want the job that was sent", s)
	}
}

// TestCommitFailedLosesNothing guards against changes that are lost when a commit was not stored: the end of a task,
// worker records, a cancellation, and the knowledge that a submitted job is not stored and can be refused later.
func TestCommitFailedLosesNothing(t *testing.T) {
	p := newTestPool(t, "w")
	p.submit(oneStep("x", 1, 1000))
	o := starts(p.tick())[0]
	p.ends("w", EndedTask{Seq: 1, Task: o.Task, Run: o.Run, Outcome: EndDone})
	s := oneStep("new", 1, 1000)
	s.Pool, s.Queue, s.Attempts = "pool", "queue", 2
	p.Submit(s, p.now)
	p.recordIncarnation(&worker{info: WorkerInfo{ID: "v"}, incarnation: 7})
	c := p.TakeCommit()
	p.CommitFailed(c)
	if got := p.WithdrawUnsent(); !slices.Equal(got, []string{"new"}) {
		t.Fatalf("withdrawn %v after the commit was given back, want the new job", got)
	}
	if status, _ := p.Status("w", p.now); status.StableEnd != 0 {
		t.Error("the worker may forget a run end that is not stored")
	}
	again := p.TakeCommit()
	if again == nil {
		t.Fatal("the next commit is empty")
	}
	keys := make(map[string]bool)
	for _, r := range again.Records {
		keys[r.Key] = true
	}
	if !keys[keySpec+"x"] || !keys[keyWorker+"v"] || keys[keySpec+"new"] {
		t.Fatalf("next commit has the keys %v, want job x and worker v but not job new", keys)
	}
	p.Committed(again, p.now)
	if state, _ := p.StateOf("x"); state != StateCompleted {
		t.Errorf("the job is %q, want completed", state)
	}
	if status, _ := p.Status("w", p.now); status.StableEnd != 1 {
		t.Error("the worker may not forget a run end that is stored")
	}
}
