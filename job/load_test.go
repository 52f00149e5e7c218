package job

import (
	"testing"
	"time"
)

// TestLoadSeparatesLateWork guards against a pool that requests machines for jobs that miss their objective in any
// case: the machines were taken from pools whose jobs could still be on time.
func TestLoadSeparatesLateWork(t *testing.T) {
	p := newTestPool(t, "w")
	s := oneStep("x", 8, 2000)
	s.ObjectiveFactor, s.ObjectiveMargin = 1, time.Second
	p.submit(s)
	for _, o := range starts(p.tick()) {
		p.Started(o, ResultDone, p.now)
	}
	l := p.Load(p.now)
	if l.Used != 1 || l.Waiting != 3 || l.UsedLate != 0 || l.WaitingLate != 0 {
		t.Fatalf("load %+v while the job can be on time, want 1 machine used and 3 waiting, none of it late", l)
	}
	p.advance(2 * time.Second)
	p.tick()
	l = p.Load(p.now)
	if l.Used != 1 || l.UsedLate != 1 || l.Waiting != 0 || l.WaitingLate != 3 {
		t.Fatalf("load %+v after the objective, want all of it late", l)
	}
}

// TestLabelsOfLateWork guards against late tasks that wait forever because no pool requests machines with their label.
func TestLabelsOfLateWork(t *testing.T) {
	p := newTestPool(t, "w")
	s := oneStep("x", 1, 4000)
	s.Steps[0].Label = "gpu"
	s.ObjectiveFactor = 1
	p.submit(s)
	p.advance(10 * time.Second)
	p.report("w")
	p.tick()
	if l := p.Load(p.now); len(l.Labelled) != 1 {
		t.Fatalf("load %+v, want one entry for machines with the label", l)
	}
}
