package job

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/berylwharf/berylwharf/quota"
)

// capped returns a pool of which customer c has a cap of 8 cores.
func capped(t *testing.T, workers ...string) *testPool {
	p := newTestPool(t, workers...)
	p.SetCustomers(map[string]CustomerLimits{"c": {Cap: Resources{CPU: 8000}}, "free": {}})
	p.SetCaps(1)
	return p
}

func (tp *testPool) grant(cpu int64) quota.Report {
	o := quota.Offer{Epoch: 1, Number: int64(tp.now.Steady), Version: 1, Clock: tp.now.Steady, Hold: quota.Hold, Give: true}
	o.Grants = map[string]quota.Amount{"c": {cpu, quota.NoLimit, quota.NoLimit}}
	return tp.QuotaRound(o, tp.now)
}

func (tp *testPool) submitFor(customer, id string, count int, cpu int64, gang bool) {
	s := oneStep(id, count, cpu)
	s.Customer, s.Steps[0].Gang, s.ObjectiveMargin = customer, gang, time.Hour
	tp.submit(s)
}

// startedJobs counts the starts of one tick by job.
func (tp *testPool) startedJobs() map[string]int {
	n := make(map[string]int)
	for _, o := range starts(tp.tick()) {
		n[o.Task.Job]++
		tp.Started(o, ResultDone, tp.now)
	}
	return n
}

// TestGrantBoundsStarts guards against starts beyond the grant, against customers without room that hold up others, and against
// machines for work that may not start.
func TestGrantBoundsStarts(t *testing.T) {
	p := capped(t, "v", "w")
	p.submitFor("c", "a", 5, 1000, false)
	p.submitFor("free", "b", 1, 1000, false)
	p.submitFor("", "d", 1, 1000, false)
	if n := p.startedJobs(); n["a"] != 0 || n["b"] != 1 || n["d"] != 1 {
		t.Fatalf("started %v without a grant", n)
	}
	if l := p.Load(p.now); l.Waiting != 0 || l.OfferedLoad > 1 || p.backlog.onTime > time.Second {
		t.Errorf("load %+v, backlog %+v of work without a grant", l, p.backlog)
	}
	r := p.grant(2500)
	if u := r.Uses["c"]; u.Waiting[quota.CPU] != 5000 || u.Unit[quota.CPU] != 1000 || !u.HeldUp || !r.Known {
		t.Errorf("reported %+v", r)
	}
	if n := p.startedJobs(); n["a"] != 2 {
		t.Errorf("started %v, want 2 tasks of 1 core within 2.5", n)
	}
	if u := p.grant(3000).Uses["c"]; u.Used[quota.CPU] != 2000 || u.Waiting[quota.CPU] != 3000 {
		t.Errorf("reported %+v, want 2 cores in use and 3 waiting", u)
	}
	if l := p.Load(p.now); l.Waiting != 0.25 {
		t.Errorf("waiting for %v machines, want the core that the grant leaves", l.Waiting)
	}
	// A later allocator whose offer is meant for an earlier owner must learn what this owner was granted.
	if r := p.QuotaRound(quota.Offer{Epoch: 2, Owner: 9, Give: true}, p.now); r.Granted["c"][quota.CPU] != 3000 {
		t.Errorf("reported the grants %v, want those of the earlier allocator", r.Granted)
	}
	p.advance(quota.Hold)
	p.reportAll("v", "w")
	if n := p.startedJobs(); n["a"] != 0 {
		t.Errorf("started %v under a grant that has lapsed", n)
	}
	why := p.explain(p.task(TaskID{Job: "a", Index: 4}), p.now)
	for _, part := range []string{"customer c", "configuration 1", "grant 1.", "5040 ms old", "cap cpu=8000"} {
		if !strings.Contains(why, part) {
			t.Errorf("%q does not contain %q", why, part)
		}
	}
	s := &Spec{ID: "large", Customer: "c", Steps: []Step{{Count: 9, Gang: true, Request: Resources{CPU: 1000}}}}
	if answer, _ := p.Submit(s, p.now); answer != OverCap {
		t.Errorf("a gang of 9 cores was answered %d below a cap of 8", answer)
	}
}

// TestUncertainRunsCount guards against starts in the place of a run that may still begin or continue.
func TestUncertainRunsCount(t *testing.T) {
	p := capped(t, "w")
	expect := func(want int64, when string) {
		t.Helper()
		if got := p.grant(1000).Uses["c"].Used[quota.CPU]; got != want {
			t.Errorf("%d in use %s, want %d", got, when, want)
		}
	}
	p.grant(1000)
	p.submitFor("c", "a", 1, 1000, false)
	start := starts(p.tick())[0]
	expect(1000, "after the order")
	p.Started(start, ResultNoAnswer, p.now)
	p.Cancel("a", p.now)
	p.commit()
	p.tick()
	expect(1000, "while the run is stopped")
	id := TaskID{Job: "a"}
	p.report("w", RunningTask{Task: id, Run: 1})
	p.advance(time.Millisecond)
	p.ends("w", EndedTask{Seq: 1, Task: id, Run: 1, Outcome: EndStopped})
	expect(0, "after the end")
	// The next incarnation of the worker does not know that the run has ended and may get the first order late.
	p.advance(time.Second)
	next := func(running ...RunningTask) {
		p.advance(time.Millisecond)
		p.Report(Report{Worker: "w", Incarnation: 2, SentAt: p.now.Steady, Running: running}, p.now)
	}
	next()
	expect(1000, "before the next incarnation has confirmed a stop")
	orders := p.tick()
	stop := slices.IndexFunc(orders, func(o Order) bool { return o.Kind == OrderStop })
	next(RunningTask{Task: id, Run: 1})
	p.Stopped(orders[stop], ResultDone, p.now)
	p.tick()
	expect(1000, "before a report without the run")
	next()
	p.tick()
	expect(0, "after the confirmed stop and a report")
}

// TestSuccessorCountsPossibleRuns guards against starts beyond the cap beside runs of an earlier owner on a worker that does not
// answer, and against a new owner that leaves the allocator waiting until the lease of that worker has expired.
func TestSuccessorCountsPossibleRuns(t *testing.T) {
	for _, c := range []struct{ count, want int64 }{{3, 3000}, {9, 4000}} { // the silent worker has 4 cores
		s := oneStep("x", int(c.count), 1000)
		s.Customer = "c"
		p := restoredPoolOf(t, s)
		p.SetCustomers(map[string]CustomerLimits{"c": {Cap: Resources{CPU: 12000}}})
		p.SetCaps(1)
		p.advance(firstReportTime)
		p.report("a")
		p.tick()
		if r := p.grant(12000); !r.Known || r.Uses["c"].Used[quota.CPU] != c.want {
			t.Errorf("%d tasks: %+v, want that all is known and %d in use", c.count, r, c.want)
		}
		p.advance(7 * time.Second)
		p.report("a")
		p.housekeeping(p.now)
		if u := p.grant(12000).Uses["c"].Used[quota.CPU]; u != 0 {
			t.Errorf("%d tasks: %d in use after the lease has expired, want 0", c.count, u)
		}
	}
}

// TestGangWaitsForItsGrant guards against gangs that start in parts, or starve behind small tasks of the same customer.
func TestGangWaitsForItsGrant(t *testing.T) {
	p := capped(t, "w")
	p.grant(2000)
	p.submitFor("c", "gang", 3, 1000, true)
	p.submitFor("c", "small", 1, 1000, false)
	if n := p.startedJobs(); n["gang"] != 0 || n["small"] != 1 {
		t.Fatalf("started %v", n)
	}
	p.advance(1100 * time.Millisecond)
	p.reportAll("w")
	p.submitFor("c", "next", 1, 1000, false)
	if u := p.grant(2000).Uses["c"]; u.Unit[quota.CPU] != 3000 {
		t.Errorf("the unit that waits is %v, want the gang", u.Unit)
	}
	if n := p.startedJobs(); len(n) != 0 {
		t.Errorf("started %v while the gang waits for room", n)
	}
	p.grant(4000)
	if n := p.startedJobs(); n["gang"] != 3 {
		t.Errorf("started %v, want the gang", n)
	}
}

// TestNoCapsNoEffect guards against different decisions in a configuration without caps.
func TestNoCapsNoEffect(t *testing.T) {
	play := func(p *testPool, customer string) (out []string) {
		for i := range 30 {
			p.submitFor(customer, fmt.Sprint("j", i), 1+i%3, int64(500+i%5*700), i%4 == 0)
			out = append(out, fmt.Sprint(p.startedJobs(), p.Load(p.now), p.backlog))
			p.reportAll("v", "w")
		}
		return out
	}
	if a, b := play(newTestPool(t, "v", "w"), ""), play(capped(t, "v", "w"), "free"); !slices.Equal(a, b) {
		t.Errorf("decisions differ:\n%v\n%v", a, b)
	}
}

// BenchmarkQuotaRoom measures the check before a start.
func BenchmarkQuotaRoom(b *testing.B) {
	for _, customers := range []int{20, 2000} {
		b.Run(fmt.Sprintf("customers=%d", customers), func(b *testing.B) {
			p := New(Config{Pool: "pool"}, Time{})
			o := quota.Offer{Epoch: 1, Number: 1, Version: 1, Hold: quota.Hold, Give: true, Grants: make(map[string]quota.Amount)}
			for i := range customers {
				o.Grants[fmt.Sprint(i)] = quota.Amount{64000, 64000, 0}
			}
			p.QuotaRound(o, Time{})
			s := oneStep("a", 8, 1000)
			s.Customer = "7"
			for b.Loop() {
				p.quotaRoom(s, &s.Steps[0])
			}
		})
	}
}
