package job

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

// interferenceSim runs a pool on workers whose latency-critical tasks are disturbed by best-effort tasks. The effects of the
// pairs of images are drawn at random and change, as do the loads of the latency-critical images; one worker is slow. Workers
// report every 1.5 s and when a run ends. Speed orders take effect after 100 ms.
type interferenceSim struct {
	pool      *Pool
	world     *rand.Rand // effects and loads, which don't depend on the decisions
	noise     *rand.Rand
	now       Time
	workers   []*simWorker
	effects   [simVictims][simAggressors]float64
	loads     [simVictims]float64
	images    bool
	submitted int
	orders    []Order // all orders, if kept
	keep      bool
	learned   []Record // records of what was learned
	result    simResult
}

const (
	simVictims    = 4
	simAggressors = 4
	simStep       = 20 * time.Millisecond
	simTarget     = 200 // milliseconds
	simWindow     = 25  // steps of half a second
)

type simWorker struct {
	id         string
	slow       float64
	runs       []*simRun // in the order of their starts
	ended      []EndedTask
	seq        int64
	reportedAt time.Duration
}

type simRun struct {
	id        TaskID
	run       int
	image     int
	startedAt time.Duration
	speed     int
	next      int           // speed from changeAt
	changeAt  time.Duration // 0 if no change is due
	left      time.Duration // work of a best-effort run
	tails     []float64     // of the last half second
	overSince time.Duration // since when it is over its target because of working best-effort tasks; 0 if it is not
}

// simResult holds times in seconds over all tasks.
type simResult struct {
	latencyCritical, harmed, work float64
	longest                       time.Duration
}

func newInterferenceSim(seed uint64, images, ignore bool) *interferenceSim {
	s := &interferenceSim{
		world: rand.New(rand.NewPCG(seed, 11)), noise: rand.New(rand.NewPCG(seed, 12)),
		now: Time{Steady: time.Hour, WallMs: 1_000_000}, images: images,
	}
	s.pool = New(Config{
		Pool: "pool", MinRunNumber: 1, MaxLease: time.Hour, FinishedRetention: time.Second, CrossRackFactor: 2, IgnoreInterference: ignore,
	}, s.now)
	var infos []WorkerInfo
	for i := range 9 {
		w := &simWorker{id: fmt.Sprintf("w%02d", i)}
		if i == 3 {
			w.slow = 0.3
		}
		s.workers = append(s.workers, w)
		infos = append(infos, WorkerInfo{ID: w.id, Capacity: Resources{CPU: 32000, MemMB: 64000}})
	}
	s.pool.UpdateDirectory(infos, s.now)
	for v := range simVictims {
		s.redraw(v)
		s.loads[v] = -1.3
		s.submit(Step{Count: 4, Request: Resources{CPU: 15000, MemMB: 12000}, LongRunning: true, MaxPerWorker: 1, LatencyTarget: simTarget * time.Millisecond}, v, "web")
	}
	return s
}

func (s *interferenceSim) redraw(victim int) {
	for a := range simAggressors {
		s.effects[victim][a] = 0.05 * s.world.Float64()
		if harm := 0.4 + 1.2*s.world.Float64(); s.world.IntN(5) < 2 {
			s.effects[victim][a] = harm
		}
	}
}

func (s *interferenceSim) submit(step Step, image int, name string) {
	if s.images {
		step.Image = fmt.Sprint(name, image)
	}
	spec := &Spec{
		ID: fmt.Sprintf("%s%d-%05d", name, image, s.submitted), Pool: "pool", Queue: "q", Attempts: 2, ObjectiveFactor: 1000,
		ObjectiveMargin: time.Hour, AcceptedMs: s.now.WallMs, Steps: []Step{step},
	}
	s.submitted++
	s.pool.Submit(spec, s.now)
}

// step advances the time by simStep.
func (s *interferenceSim) step() {
	s.now.Steady += simStep
	s.now.WallMs += simStep.Milliseconds()
	for v := range simVictims {
		s.loads[v] = min(-0.5, max(-1.9, s.loads[v]+s.world.NormFloat64()*0.03))
		if s.world.IntN(1500) == 0 {
			s.redraw(v)
		}
	}
	for running := s.bestEffort(); running < 24; running++ {
		s.submit(Step{Count: 1, Request: Resources{CPU: 8000, MemMB: 9000}, BestEffort: true, Estimate: 4 * time.Second}, (s.submitted*s.submitted/3)%simAggressors, "batch")
	}
	for _, w := range s.workers {
		s.advance(w)
		if s.now.Steady-w.reportedAt >= 1500*time.Millisecond || (len(w.ended) > 0 && s.now.Steady-w.reportedAt >= 100*time.Millisecond) {
			s.report(w)
		}
	}
	s.commit()
	s.pool.Tick(s.now)
	orders := s.pool.TakeOrders()
	if s.keep {
		s.orders = append(s.orders, orders...)
	}
	for _, o := range orders {
		s.execute(o)
	}
	s.commit()
	s.pool.TakeEvents()
}

func (s *interferenceSim) commit() {
	for c := s.pool.TakeCommit(); c != nil; c = s.pool.TakeCommit() {
		for _, r := range c.Records {
			if strings.HasPrefix(r.Key, keyLearned) {
				s.learned = append(s.learned, r)
			}
		}
		s.pool.Committed(c, s.now)
	}
}

// bestEffort counts the best-effort jobs that are not done.
func (s *interferenceSim) bestEffort() int {
	n := 0
	for _, j := range s.pool.open {
		if j.phase == Active && j.spec.Steps[0].BestEffort {
			n++
		}
	}
	return n
}

func (s *interferenceSim) execute(o Order) {
	w := s.workers[slices.IndexFunc(s.workers, func(w *simWorker) bool { return w.id == o.Worker })]
	i := slices.IndexFunc(w.runs, func(r *simRun) bool { return r.id == o.Task })
	switch o.Kind {
	case OrderStart:
		r := &simRun{id: o.Task, run: o.Run, startedAt: s.now.Steady, speed: 100}
		if step := s.pool.task(o.Task).step; step.BestEffort {
			r.left = step.Estimate
		}
		var n int
		fmt.Sscanf(o.Task.Job, "web%d-", &r.image)
		fmt.Sscanf(o.Task.Job, "batch%d-%d", &r.image, &n)
		w.runs = append(w.runs, r)
		s.pool.Started(o, ResultDone, s.now)
	case OrderSetSpeed:
		if i >= 0 {
			w.runs[i].next, w.runs[i].changeAt = o.SpeedPercent, s.now.Steady+100*time.Millisecond
		}
	}
}

// advance works on the best-effort tasks of a worker and computes the tails of the others.
func (s *interferenceSim) advance(w *simWorker) {
	var exposure [simAggressors]float64
	working := false
	w.runs = slices.DeleteFunc(w.runs, func(r *simRun) bool {
		if r.left == 0 {
			return false
		}
		if r.changeAt != 0 && s.now.Steady >= r.changeAt {
			r.speed, r.changeAt = r.next, 0
		}
		exposure[r.image] += float64(r.speed) / 100
		working = working || r.speed > 0
		done := min(r.left, simStep*time.Duration(r.speed)/100)
		s.result.work += done.Seconds()
		if r.left -= done; r.left > 0 {
			return false
		}
		w.seq++
		w.ended = append(w.ended, EndedTask{Seq: w.seq, Task: r.id, Run: r.run, Outcome: EndDone})
		return true
	})
	for _, r := range w.runs {
		if r.left > 0 {
			continue
		}
		y := s.loads[r.image] + w.slow
		alone := y
		for a, x := range exposure {
			y += x * s.effects[r.image][a]
		}
		r.tails = append(r.tails, math.Exp(y+s.noise.NormFloat64()*0.1))
		r.tails = r.tails[max(0, len(r.tails)-simWindow):]
		s.result.latencyCritical += simStep.Seconds()
		if y <= 0 || alone > 0 || !working {
			r.overSince = 0
			continue
		}
		s.result.harmed += simStep.Seconds()
		if r.overSince == 0 {
			r.overSince = s.now.Steady
		}
		s.result.longest = max(s.result.longest, s.now.Steady-r.overSince)
	}
}

func (s *interferenceSim) report(w *simWorker) {
	rep := Report{Worker: w.id, Incarnation: 1, SentAt: w.reportedAt, Ended: w.ended}
	for _, r := range w.runs {
		rt := RunningTask{Task: r.id, Run: r.run, Progress: 100}
		if len(r.tails) > 0 {
			sorted := slices.Sorted(slices.Values(r.tails))
			rt.Usage = int64(simTarget * sorted[len(sorted)*9/10])
		}
		rep.Running = append(rep.Running, rt)
	}
	w.ended, w.reportedAt = nil, s.now.Steady
	s.pool.Report(rep, s.now)
}

func (s *interferenceSim) run(d time.Duration) simResult {
	for end := s.now.Steady + d; s.now.Steady < end; {
		s.step()
	}
	return s.result
}

// TestInterferenceIsLearned guards against learning that does not pay: on the same seeds, with and without what is learned,
// it compares the time over target that best-effort tasks cause and the work that these do. The bounds are half of the
// measured gain. No task may be over its target because of working best-effort tasks for 4 s on end.
func TestInterferenceIsLearned(t *testing.T) {
	var sums [2]simResult // learned, ignored
	var stats InterferenceStats
	for seed := range uint64(8) {
		for i, ignore := range []bool{false, true} {
			sim := newInterferenceSim(seed, true, ignore)
			r := sim.run(60 * time.Second)
			if r.longest >= 4*time.Second {
				t.Errorf("seed %d, ignored %v: a task is over its target for %v because of working best-effort tasks", seed, ignore, r.longest)
			}
			sums[i].latencyCritical += r.latencyCritical
			sums[i].harmed += r.harmed
			sums[i].work += r.work
			sums[i].longest = max(sums[i].longest, r.longest)
			s, _ := sim.pool.TakeInterferenceStats(sim.now)
			stats.KeptApart += s.KeptApart
			stats.Together += s.Together
			stats.Evidence += s.Evidence
			stats.NoEvidence += s.NoEvidence
		}
	}
	learned, ignored := sums[0], sums[1]
	for i, r := range sums {
		t.Logf("%s: harmed %.4f of the time, work %.0f s, longest %v", []string{"learned", "ignored"}[i], r.harmed/r.latencyCritical, r.work, r.longest)
	}
	t.Logf("%+v", stats)
	if learned.harmed > 0.8*ignored.harmed || learned.work < 1.04*ignored.work {
		t.Error("what is learned prevents less than a fifth of the harm, or gains less than 4% of work")
	}
	if stats.KeptApart == 0 || stats.Together == 0 {
		t.Error("no placement was counted as kept apart, or none as not kept apart")
	}
}

// TestInterferenceNeedsImages guards against other decisions for tasks without an image: the orders are those of a pool that
// ignores interference, and of tasks with images in such a pool.
func TestInterferenceNeedsImages(t *testing.T) {
	for seed := range uint64(3) {
		var want []Order
		for i, c := range []struct{ images, ignore bool }{{false, true}, {false, false}, {true, true}} {
			sim := newInterferenceSim(seed, c.images, c.ignore)
			sim.keep = true
			sim.run(30 * time.Second)
			if i == 0 {
				want = sim.orders
			}
			if len(want) < 100 || !slices.Equal(sim.orders, want) {
				t.Errorf("seed %d, images %v, ignored %v: %d orders differ from %d", seed, c.images, c.ignore, len(sim.orders), len(want))
			}
		}
	}
}

// TestInterferenceIsDeterministic guards against decisions that depend on the order of a map.
func TestInterferenceIsDeterministic(t *testing.T) {
	var want []Order
	for i := range 5 {
		sim := newInterferenceSim(1, true, false)
		sim.keep = true
		sim.run(20 * time.Second)
		if i == 0 {
			want = sim.orders
		}
		if !slices.Equal(sim.orders, want) {
			t.Fatal("two runs of one seed gave different orders")
		}
	}
}

// TestLearnedIsHandedOver guards against an owner that starts without what the earlier one knew, against a commit that is made
// only for it, and against a record without an image to learn of.
func TestLearnedIsHandedOver(t *testing.T) {
	for _, images := range []bool{true, false} {
		sim := newInterferenceSim(1, images, false)
		for sim.now.Steady < time.Hour+30*time.Second {
			sim.step()
			if sim.pool.HasUncommitted() {
				t.Fatal("a snapshot alone leads to a commit")
			}
		}
		if !images {
			if len(sim.learned) > 0 {
				t.Error("a record without images")
			}
			continue
		}
		if len(sim.learned) < 3 || len(sim.learned) > 6 {
			t.Fatalf("%d records in 30 s, want one each 5 s", len(sim.learned))
		}
		last := sim.learned[len(sim.learned)-1]
		if len(last.Value) > maxLearnedBytes {
			t.Errorf("a record has %d bytes", len(last.Value))
		}
		next := New(Config{Pool: "pool"}, sim.now)
		loaded := Decode([]Record{last, {Key: keyLearned + "other", Value: []byte{1}}})
		next.Restore(loaded, sim.now)
		_, known := next.interference.estimator.Size(sim.now.Steady)
		if known == 0 || len(loaded.Problems) != 1 {
			t.Errorf("%d pairs known to the next owner, problems %v", known, loaded.Problems)
		}
		sim.now.Steady += 5 * time.Minute
		next.snapshotLearned(sim.now)
		if r := next.takeLearned(); len(r) != 1 || len(r[0].Value) > 0 {
			t.Errorf("records %+v after everything is forgotten, want the deletion", r)
		}
	}
}

// TestStopBesideHarmedTaskIsRepeated guards against a task that works on beside one over its target, because the only order to
// stop it was lost or overtaken by the raise before. Tasks without an image get the orders that they got before.
func TestStopBesideHarmedTaskIsRepeated(t *testing.T) {
	for _, c := range []struct {
		image string
		want  int
	}{{"x", 3}, {"", 1}} {
		p := newTestPool(t, "a")
		web := longRunningSpec("web", 1, 1)
		web.Steps[0].LatencyTarget, web.Steps[0].Image = 100*time.Millisecond, c.image
		p.submit(web)
		batch := oneStep("batch", 1, 1000)
		batch.Steps[0].BestEffort, batch.Steps[0].Image = true, c.image
		p.submit(batch)
		for _, o := range starts(p.tick()) {
			p.Started(o, ResultDone, p.now)
		}
		stopped := 0
		for range 45 {
			p.report("a", RunningTask{Task: TaskID{Job: "web"}, Run: 1, Progress: 100, Usage: 130}, RunningTask{Task: TaskID{Job: "batch"}, Run: 1})
			for _, o := range p.tick() {
				if o.Kind == OrderSetSpeed && o.SpeedPercent == 0 {
					stopped++
				}
			}
		}
		if stopped != c.want {
			t.Errorf("image %q: the task was ordered to stop working %d times in 1.8 s, want %d", c.image, stopped, c.want)
		}
	}
}

// BenchmarkInterference measures what interference adds to the placement of one best-effort task: the lookup of its kind, and the
// choice among the candidates. Each worker has two latency-critical and three best-effort tasks of different kinds.
func BenchmarkInterference(b *testing.B) {
	for _, c := range []struct{ workers, kinds int }{{1000, 10}, {1000, 100}, {1000, 1000}, {10000, 1000}} {
		b.Run(fmt.Sprintf("workers=%d/kinds=%d", c.workers, c.kinds), func(b *testing.B) {
			now := Time{Steady: time.Hour, WallMs: 1_000_000}
			p := New(Config{Pool: "pool", MinRunNumber: 1, MaxLease: time.Hour, CrossRackFactor: 2}, now)
			var infos []WorkerInfo
			for i := range c.workers {
				infos = append(infos, WorkerInfo{ID: fmt.Sprintf("w%05d", i), Capacity: Resources{CPU: 32000, MemMB: 64000}})
			}
			p.UpdateDirectory(infos, now)
			newTask := func(i, index int, s Step) *task {
				s.Count, s.Image = 1, fmt.Sprint("image", (i*5+index)%c.kinds)
				id := TaskID{Job: fmt.Sprintf("j%d-%d", i, index)}
				return &task{id: id, step: &s, job: &jobState{spec: &Spec{ID: id.Job, Steps: []Step{s}}}}
			}
			var tasks []*task
			for i, w := range p.sortedWorkers() {
				for k := range 5 {
					s := Step{BestEffort: true}
					if k < 2 {
						s = Step{LongRunning: true, LatencyTarget: 100 * time.Millisecond}
					}
					r := p.attach(newTask(i, k, s), w, 1, runActive, now)
					r.usage, r.progress = 40, 100
				}
				tasks = append(tasks, newTask(i, 2, Step{BestEffort: true}))
			}
			now.Steady += time.Second
			for _, w := range p.sortedWorkers() {
				p.learnInterference(w, now)
			}
			workers := p.sortedWorkers()
			i := 0
			for b.Loop() {
				t := tasks[i%len(tasks)]
				choice := p.newChoice(t, now)
				for k := range candidateWorkers {
					choice.add(workers[(i+k)%len(workers)], 1)
				}
				p.choose(&choice, t, now)
				p.events = p.events[:0]
				i++
			}
		})
	}
}
