package interference

import (
	"fmt"
	"math"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"
)

// world generates the samples of workers that run one victim each beside random aggressors.
type world struct {
	est        *Estimator
	rnd        *rand.Rand
	now        time.Duration
	victim     *Kind
	kinds      []*Kind
	effects    []float64
	load, slow float64 // added to the logarithm of all tails, and of those of worker 0
	exposures  [12][]Exposure
}

func newWorld(seed uint64, effects ...float64) *world {
	w := &world{est: NewEstimator(), rnd: rand.New(rand.NewPCG(seed, 3)), now: time.Hour, effects: effects}
	w.victim = w.est.Kind(Key{Image: "web"}, w.now)
	for i := range effects {
		w.kinds = append(w.kinds, w.est.Kind(Key{Image: fmt.Sprint("batch", i)}, w.now))
	}
	return w
}

// rounds reports all workers n times, every 0.5 s. Every third worker has no aggressors unless the test placed some; those of
// the others change at times if redraw is set.
func (w *world) rounds(n int, redraw bool) {
	for k := range n * len(w.exposures) {
		w.now += 500 * time.Millisecond / time.Duration(len(w.exposures))
		i := k % len(w.exposures)
		if redraw && w.rnd.IntN(4) == 0 {
			w.exposures[i] = nil
			for _, k := range w.kinds {
				if i%3 > 0 && w.rnd.IntN(2) == 0 {
					w.exposures[i] = append(w.exposures[i], Exposure{k, float64(1+w.rnd.IntN(4)) / 4})
				}
			}
		}
		y := -1.2 + w.load + w.rnd.NormFloat64()*0.12
		if i == 0 {
			y += w.slow
		}
		for _, x := range w.exposures[i] {
			for j, k := range w.kinds {
				if k == x.Aggressor {
					y += w.effects[j] * x.Speed
				}
			}
		}
		w.est.Observe(Sample{Worker: fmt.Sprint("w", i), Victim: w.victim, Ratio: math.Exp(y), Exposures: w.exposures[i]}, w.now)
	}
}

// check compares the estimates with the true effects.
func (w *world) check(t *testing.T, what string, tolerance float64) {
	t.Helper()
	for j, k := range w.kinds {
		e := w.est.Effect(k, w.victim, w.now)
		if !e.Known || math.Abs(e.Mean-w.effects[j]) > tolerance {
			t.Errorf("%s: effect of %s is %.2f ± %.2f (known: %v), want %.2f", what, k.Key().Image, e.Mean, e.StdDev, e.Known, w.effects[j])
		}
	}
}

// TestEffects guards against blame for the wrong kind: harmful and harmless aggressors on the same workers, the load of the
// victim that rises everywhere within seconds, one slow worker, and effects that change.
func TestEffects(t *testing.T) {
	for seed := range uint64(20) {
		w := newWorld(seed, 1.2, 0, 0.5)
		w.rounds(30, true)
		w.check(t, fmt.Sprint("seed ", seed, " steady"), 0.25)
		for i := range 20 {
			w.load = 0.8 * math.Sin(float64(i)/3)
			w.rounds(1, true)
		}
		w.check(t, fmt.Sprint("seed ", seed, " load"), 0.35)
		// The harmless kind runs alone on the slow worker.
		w.load, w.slow, w.exposures[0] = 0, 0.9, nil
		w.rounds(12, true)
		w.exposures[0] = []Exposure{{w.kinds[1], 1}}
		w.rounds(8, true)
		w.check(t, fmt.Sprint("seed ", seed, " slow worker"), 0.35)
		if s := w.est.Slowness("w0", w.now); s < 0.4 || s > 1 {
			t.Errorf("seed %d: slowness of the slow worker is %.2f, want about 0.9 less the shrinkage by the prior", seed, s)
		}
		w.slow, w.effects = 0, []float64{0, 1, 0.5}
		w.rounds(24, true)
		w.check(t, fmt.Sprint("seed ", seed, " changed"), 0.3)
	}
}

// TestUncertainty guards against false confidence: two aggressors that always run together at one speed cannot be told apart,
// old evidence is forgotten, and a lower bound that the estimate satisfies is no evidence.
func TestUncertainty(t *testing.T) {
	w := newWorld(1, 0.8, 0)
	for i := 0; i < len(w.exposures); i += 2 {
		w.exposures[i] = []Exposure{{w.kinds[0], 1}, {w.kinds[1], 1}}
	}
	w.rounds(20, false)
	a, b := w.est.Effect(w.kinds[0], w.victim, w.now), w.est.Effect(w.kinds[1], w.victim, w.now)
	if a.Known || b.Known || math.Abs(a.Mean+b.Mean-0.8) > 0.2 {
		t.Errorf("effects of an inseparable pair are %+v and %+v, want unknown ones with the sum 0.8", a, b)
	}
	w.rounds(20, true)
	w.check(t, "separated", 0.2)
	sample := Sample{Worker: "w1", Victim: w.victim, Exposures: []Exposure{{w.kinds[0], 1}}, LowerBound: true}
	for _, c := range []struct {
		ratio    float64
		evidence bool
	}{{0.1, false}, {10, true}, {0, false}, {-1, false}, {math.NaN(), false}, {math.Inf(1), false}} {
		if sample.Ratio = c.ratio; w.est.Observe(sample, w.now) != c.evidence {
			t.Errorf("the lower bound %v is evidence: %v, want %v", c.ratio, !c.evidence, c.evidence)
		}
	}
	if e := w.est.Effect(w.kinds[0], w.victim, w.now+3*memory); e.Known || e.Mean > 0.1 {
		t.Errorf("effect long after the last evidence is %+v, want a forgotten one", e)
	}
}

// TestBounds guards against unbounded memory and against values in a stored snapshot that no estimate has. It also
// checks that a snapshot hands over what was known, aged.
func TestBounds(t *testing.T) {
	e := NewEstimator()
	e.maxKinds = 40
	for i := range 1000 {
		now := time.Duration(i) * time.Second
		v, k := e.Kind(Key{Image: "web"}, now), e.Kind(Key{Image: fmt.Sprint("batch", i)}, now)
		e.Observe(Sample{Worker: fmt.Sprint("w", i), Victim: v, Ratio: 0.5, Exposures: []Exposure{{k, 1}}}, now)
	}
	if kinds, _ := e.Size(1000 * time.Second); kinds > 40 || len(e.workers) > 130 {
		t.Errorf("%d kinds, want at most 40; %d workers, want those of two minutes at most", kinds, len(e.workers))
	}
	if e.Kind(Key{Image: "web"}, time.Hour).victim == nil {
		t.Error("a kind in use was dropped")
	}
	w := newWorld(2, 1.2, 0, 0.5)
	w.rounds(30, true)
	pairs := w.est.Snapshot(2, w.now)
	if len(pairs) != 2 || pairs[0].Aggressor != w.kinds[0].Key() || !reflect.DeepEqual(pairs, w.est.Snapshot(2, w.now)) {
		t.Fatalf("snapshot %+v, want the two largest effects each time", pairs)
	}
	next := NewEstimator()
	next.Restore(append(pairs, Pair{Victim: Key{Image: "x"}, Mean: float32(math.NaN()), Variance: 0.1}), 2*time.Second, 0)
	if got := next.Snapshot(10, 0); len(got) != 2 || got[0].Mean >= pairs[0].Mean || got[0].Variance <= pairs[0].Variance {
		t.Errorf("restored %+v, want %+v aged by two seconds", got, pairs)
	}
}

// BenchmarkObserve measures one report with four aggressors.
func BenchmarkObserve(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("kinds=%d", n), func(b *testing.B) {
			e := NewEstimator()
			var samples []Sample
			for i := range n {
				s := Sample{Worker: fmt.Sprint("w", i), Victim: e.Kind(Key{Image: fmt.Sprint("web", i)}, 0), Ratio: 0.5}
				for j := range 4 {
					s.Exposures = append(s.Exposures, Exposure{e.Kind(Key{Image: fmt.Sprint("batch", (i+j)%n)}, 0), 1})
				}
				samples = append(samples, s)
			}
			i := 0
			for b.Loop() {
				i++
				e.Observe(samples[i%n], time.Duration(i)*time.Millisecond)
			}
		})
	}
}
