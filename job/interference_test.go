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
	*testPool
	world, noise *rand.Rand // what the decisions don't affect has a source of its own
	effects      [simImages][simImages]float64
	loads        [simImages]float64
	images       bool
	submitted    int
	workers      []*simWorker
	orders       []Order
	learned      *Record // last record of what was learned
	result       simResult
}

const (
	simImages  = 4 // of each sort
	simTarget  = 200 * time.Millisecond
	simWindow  = int(500 * time.Millisecond / housekeepingInterval)
	simWorkers = 9
)

type simWorker struct {
	id         string
	runs       []*simRun // in the order of their starts
	ended      []EndedTask
	seq        int64
	reportedAt time.Duration
}

type simRun struct {
	task        RunningTask
	image       int
	left        time.Duration // work of a best-effort run; 0 for a latency-critical one
	speed, next int           // speed, and speed from changeAt
	changeAt    time.Duration
	tails       []float64     // of the last half second
	harmed      time.Duration // for how long it has been over its target because of working best-effort tasks
}

// simResult holds sums over all tasks and the longest time over target because of working best-effort tasks.
type simResult struct{ latencyCritical, harmed, work, longest time.Duration }

func newInterferenceSim(t *testing.T, seed uint64, images, ignore bool) *interferenceSim {
	s := &interferenceSim{world: rand.New(rand.NewPCG(seed, 11)), noise: rand.New(rand.NewPCG(seed, 12)), images: images}
	var ids []string
	for i := range simWorkers {
		s.workers = append(s.workers, &simWorker{id: fmt.Sprint("w", i)})
		ids = append(ids, s.workers[i].id)
	}
	s.testPool = newTestPool(t, ids...)
	s.cfg.IgnoreInterference = ignore
	for v := range simImages {
		s.redraw(v)
		s.loads[v] = -1.3
		s.add("web", v, Step{Count: 4, Request: Resources{CPU: 1900, MemMB: 800}, LongRunning: true, MaxPerWorker: 1, LatencyTarget: simTarget})
	}
	return s
}

func (s *interferenceSim) redraw(victim int) {
	for a := range simImages {
		s.effects[victim][a] = 0.05 * s.world.Float64()
		if harm := 0.4 + 1.2*s.world.Float64(); s.world.IntN(5) < 2 {
			s.effects[victim][a] = harm
		}
	}
}

func (s *interferenceSim) add(name string, image int, step Step) {
	if s.images {
		step.Image = fmt.Sprint(name, image)
	}
	s.submitted++
	s.submit(&Spec{ID: fmt.Sprintf("%s-%d-%d", name, image, s.submitted), ObjectiveMargin: time.Hour, Steps: []Step{step}})
}

func (s *interferenceSim) run(d time.Duration) *interferenceSim {
	for end := s.now.Steady + d; s.now.Steady < end; {
		s.step()
	}
	return s
}

func (s *interferenceSim) step() {
	for v := range simImages {
		s.loads[v] = min(-0.5, max(-1.9, s.loads[v]+s.world.NormFloat64()*0.04))
		if s.world.IntN(750) == 0 {
			s.redraw(v)
		}
	}
	running := 0
	for _, j := range s.open {
		if j.phase == Active && j.spec.Steps[0].BestEffort {
			running++
		}
	}
	for ; running < 24; running++ {
		s.add("batch", s.submitted*s.submitted/3%simImages, Step{Count: 1, Request: Resources{CPU: 1000, MemMB: 560}, BestEffort: true, Estimate: 4 * time.Second})
	}
	for i, w := range s.workers {
		s.work(w, i == 3)
		if age := s.now.Steady - w.reportedAt; age >= 1500*time.Millisecond || (len(w.ended) > 0 && age >= 100*time.Millisecond) {
			s.sendReport(w)
		}
	}
	s.commit()
	for _, o := range s.tick() {
		s.orders = append(s.orders, o)
		s.execute(o)
	}
	if s.interference.record != nil {
		s.learned = s.interference.record
	}
	s.commit()
	s.TakeEvents()
}

func (s *interferenceSim) execute(o Order) {
	w := s.workers[o.Worker[1]-'0']
	switch o.Kind {
	case OrderStart:
		r := &simRun{task: RunningTask{Task: o.Task, Run: o.Run, Progress: 100}, speed: 100}
		r.image = int(strings.Split(o.Task.Job, "-")[1][0] - '0')
		if step := s.task(o.Task).step; step.BestEffort {
			r.left = step.Estimate
		}
		w.runs = append(w.runs, r)
		s.Started(o, ResultDone, s.now)
	case OrderSetSpeed:
		if i := slices.IndexFunc(w.runs, func(r *simRun) bool { return r.task.Task == o.Task }); i >= 0 {
			w.runs[i].next, w.runs[i].changeAt = o.SpeedPercent, s.now.Steady+100*time.Millisecond
		}
	}
}

// work advances the best-effort tasks of a worker by one step and computes the tails of the others.
func (s *interferenceSim) work(w *simWorker, slow bool) {
	var exposure [simImages]float64
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
		done := min(r.left, housekeepingInterval*time.Duration(r.speed)/100)
		s.result.work += done
		if r.left -= done; r.left > 0 {
			return false
		}
		w.seq++
		w.ended = append(w.ended, EndedTask{Seq: w.seq, Task: r.task.Task, Run: r.task.Run, Outcome: EndDone})
		return true
	})
	for _, r := range w.runs {
		if r.left > 0 {
			continue
		}
		alone := s.loads[r.image]
		if slow {
			alone += 0.3
		}
		y := alone
		for a, x := range exposure {
			y += x * s.effects[r.image][a]
		}
		r.tails = append(r.tails, math.Exp(y+s.noise.NormFloat64()*0.1))
		r.tails = r.tails[max(0, len(r.tails)-simWindow):]
		s.result.latencyCritical += housekeepingInterval
		if y <= 0 || alone > 0 || !working {
			r.harmed = 0
			continue
		}
		s.result.harmed += housekeepingInterval
		r.harmed += housekeepingInterval
		s.result.longest = max(s.result.longest, r.harmed)
	}
}

func (s *interferenceSim) sendReport(w *simWorker) {
	rep := Report{Worker: w.id, Incarnation: 1, SentAt: w.reportedAt, Ended: w.ended}
	for _, r := range w.runs {
		if n := len(r.tails); n > 0 {
			r.task.Usage = int64(float64(simTarget.Milliseconds()) * slices.Sorted(slices.Values(r.tails))[n*9/10])
		}
		rep.Running = append(rep.Running, r.task)
	}
	w.ended, w.reportedAt = nil, s.now.Steady
	s.LeaseExtended(w.id, s.now)
	s.Report(rep, s.now)
}

// TestInterferenceIsLearned guards against learning that does not pay: on the same seeds, with and without what is learned,
// it compares the time over target that best-effort tasks cause and the work that these do. The bounds are about half of the
// measured gain. No task may be over its target because of working best-effort tasks for 4 s on end.
func TestInterferenceIsLearned(t *testing.T) {
	var sums [2]simResult // learned, ignored
	var kept, together int64
	for seed := range uint64(8) {
		for i := range sums {
			sim := newInterferenceSim(t, seed, true, i == 1).run(time.Minute)
			sums[i].latencyCritical += sim.result.latencyCritical
			sums[i].harmed += sim.result.harmed
			sums[i].work += sim.result.work
			sums[i].longest = max(sums[i].longest, sim.result.longest)
			stats, _ := sim.TakeInterferenceStats(sim.now)
			kept += stats.KeptApart
			together += stats.Together
		}
	}
	for i, r := range sums {
		t.Logf("%s: harmed %.4f of the time, %+v", []string{"learned", "ignored"}[i], float64(r.harmed)/float64(r.latencyCritical), r)
		if r.longest >= 4*time.Second {
			t.Errorf("a task is over its target for %v because of working best-effort tasks", r.longest)
		}
	}
	learned, ignored := sums[0], sums[1]
	if float64(learned.harmed) > 0.8*float64(ignored.harmed) || float64(learned.work) < 1.04*float64(ignored.work) {
		t.Error("what is learned prevents less than a fifth of the harm, or gains less than 4% of work")
	}
	if kept == 0 || together == 0 {
		t.Errorf("placements: %d kept pairs apart, %d did not", kept, together)
	}
}

// TestInterferenceNeedsImages guards against other decisions for tasks without an image: the orders are those of a pool that
// ignores interference, and of tasks with images in such a pool. It also guards against decisions that depend on the order
// of a map.
func TestInterferenceNeedsImages(t *testing.T) {
	for seed := range uint64(3) {
		orders := func(images, ignore bool) []Order {
			return newInterferenceSim(t, seed, images, ignore).run(30 * time.Second).orders
		}
		want := orders(false, true)
		if len(want) < 100 || !slices.Equal(orders(false, false), want) || !slices.Equal(orders(true, true), want) {
			t.Errorf("seed %d: orders without images, or with ignored ones, differ", seed)
		}
		if !slices.Equal(orders(true, false), orders(true, false)) {
			t.Errorf("seed %d: two runs gave different orders", seed)
		}
	}
}

// TestLearnedIsHandedOver guards against an owner that starts without what the earlier one knew, against a commit that is made
// only for it, against a record without an image to learn of, and against one that stays for ever.
func TestLearnedIsHandedOver(t *testing.T) {
	sim := newInterferenceSim(t, 1, false, false).run(10 * time.Second)
	if sim.learned != nil {
		t.Error("a record without images")
	}
	sim = newInterferenceSim(t, 1, true, false).run(30 * time.Second)
	if sim.learned == nil || len(sim.learned.Value) > maxLearnedBytes {
		t.Fatalf("record %+v, want one of at most %d bytes", sim.learned, maxLearnedBytes)
	}
	sim.now.Steady += learnedInterval
	if sim.snapshotLearned(sim.now); sim.interference.record == nil || sim.HasUncommitted() {
		t.Error("there is no new record, or it leads to a commit")
	}
	next := New(Config{Pool: "pool"}, sim.now)
	loaded := Decode([]Record{*sim.learned, {Key: keyLearned + "other", Value: []byte{1}}})
	next.Restore(loaded, sim.now)
	if _, known := next.interference.estimator.Size(sim.now.Steady); known == 0 || len(loaded.Problems) != 1 {
		t.Errorf("%d pairs known to the next owner, problems %v", known, loaded.Problems)
	}
	sim.now.Steady += 5 * time.Minute
	next.snapshotLearned(sim.now)
	if r := next.takeLearned(); len(r) != 1 || len(r[0].Value) > 0 {
		t.Errorf("records %+v after everything is forgotten, want the deletion", r)
	}
}

// TestStopBesideHarmedTaskIsRepeated guards against a task that works on beside one over its target, because the only order to
// stop it was lost or overtaken by the raise before, and against repeating it without end. Tasks without an image get the
// orders that they got before.
func TestStopBesideHarmedTaskIsRepeated(t *testing.T) {
	for image, want := range map[string]int{"x": 3, "": 1} {
		p := newTestPool(t, "a")
		web, batch := longRunningSpec("web", 1, 1), oneStep("batch", 1, 1000)
		web.Steps[0].LatencyTarget, web.Steps[0].Image = 100*time.Millisecond, image
		batch.Steps[0].BestEffort, batch.Steps[0].Image = true, image
		p.submit(web)
		p.submit(batch)
		for _, o := range starts(p.tick()) {
			p.Started(o, ResultDone, p.now)
		}
		stopped := 0
		for range 100 {
			p.report("a", RunningTask{Task: TaskID{Job: "web"}, Run: 1, Progress: 100, Usage: 130}, RunningTask{Task: TaskID{Job: "batch"}, Run: 1})
			for _, o := range p.tick() {
				if o.Kind == OrderSetSpeed && o.SpeedPercent == 0 {
					stopped++
				}
			}
		}
		if stopped != want {
			t.Errorf("image %q: the task was ordered to stop working %d times in 4 s, want %d", image, stopped, want)
		}
	}
}

// BenchmarkInterference measures what interference adds to the placement of one best-effort task: the lookup of its kind, and the
// choice among the candidates. Each worker has two latency-critical and three best-effort tasks of different kinds.
func BenchmarkInterference(b *testing.B) {
	for _, c := range []struct{ workers, kinds int }{{1000, 10}, {1000, 100}, {1000, 1000}, {10000, 1000}} {
		b.Run(fmt.Sprintf("workers=%d/kinds=%d", c.workers, c.kinds), func(b *testing.B) {
			now := Time{Steady: time.Hour}
			p := New(Config{}, now)
			newTask := func(i, index int) *task {
				s := Step{BestEffort: index >= 2, Image: fmt.Sprint("image", (i*5+index)%c.kinds)}
				if index < 2 {
					s.LatencyTarget = 100 * time.Millisecond
				}
				id := TaskID{Job: fmt.Sprintf("j%d-%d", i, index)}
				return &task{id: id, step: &s, job: &jobState{spec: &Spec{ID: id.Job, Steps: []Step{s}}}}
			}
			var tasks []*task
			for i := range c.workers {
				w := p.addWorker(WorkerInfo{ID: fmt.Sprintf("w%05d", i)}, now)
				for k := range 5 {
					p.attach(newTask(i, k), w, 1, runActive, now).usage = 40
				}
				p.learnInterference(w, Time{Steady: time.Hour + time.Second})
				tasks = append(tasks, newTask(i, 2))
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
