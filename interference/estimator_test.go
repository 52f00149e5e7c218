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
	est       *Estimator
	rnd       *rand.Rand
	now       time.Duration
	victim    *Kind
	kinds     []*Kind
	effects   []float64
	load      float64 // added to the logarithm of all tails
	slow      float64 // added on worker 0
	exposures [12][]Exposure
}

func newWorld(seed uint64, effects ...float64) *world {
	w := &world{est: NewEstimator(), rnd: rand.New(rand.NewPCG(seed, 3)), now: time.Hour, effects: effects}
	w.victim = w.est.Kind(Key{Image: "web"}, w.now)
	for i := range effects {
		w.kinds = append(w.kinds, w.est.Kind(Key{Image: fmt.Sprint("batch", i)}, w.now))
	}
	return w
}

// round reports all workers once. Every third worker has no aggressors, unless the test placed some.
func (w *world) round(redraw bool) {
	w.now += 500 * time.Millisecond
	for i := range w.exposures {
		if redraw && w.rnd.IntN(4) == 0 {
			w.exposures[i] = nil
			for j := range w.kinds {
				if i%3 > 0 && w.rnd.IntN(2) == 0 {
					w.exposures[i] = append(w.exposures[i], Exposure{w.kinds[j], float64(1+w.rnd.IntN(4)) / 4})
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
		for range 30 {
			w.round(true)
		}
		w.check(t, fmt.Sprint("seed ", seed, " steady"), 0.25)
		for i := range 20 {
			w.load = 0.8 * math.Sin(float64(i)/3)
			w.round(true)
		}
		w.check(t, fmt.Sprint("seed ", seed, " load"), 0.35)
		// The harmless kind runs only on the slow worker, and nothing else runs there.
		w.load, w.slow = 0, 0.9
		for range 12 {
			w.exposures[0] = nil
			w.round(true)
		}
		w.exposures[0] = []Exposure{{w.kinds[1], 1}}
		for range 8 {
			w.round(true)
		}
		w.check(t, fmt.Sprint("seed ", seed, " slow worker"), 0.35)
		if s := w.est.Slowness("w0", w.now); s < 0.4 || s > 1 {
			t.Errorf("seed %d: slowness of the slow worker is %.2f, want about 0.9 less the shrinkage by the prior", seed, s)
		}
		w.slow = 0
		w.effects = []float64{0, 1, 0.5}
		for range 24 {
			w.round(true)
		}
		w.check(t, fmt.Sprint("seed ", seed, " changed"), 0.3)
	}
}

// TestUncertainty guards against false confidence: two aggressors that always run together at one speed cannot be told apart,
// old evidence is forgotten, and a lower bound that the estimate satisfies is no evidence.
func TestUncertainty(t *testing.T) {
	w := newWorld(1, 0.8, 0)
	for i := range w.exposures {
		if i%2 == 0 {
			w.exposures[i] = []Exposure{{w.kinds[0], 1}, {w.kinds[1], 1}}
		}
	}
	for range 20 {
		w.round(false)
	}
	a, b := w.est.Effect(w.kinds[0], w.victim, w.now), w.est.Effect(w.kinds[1], w.victim, w.now)
	if a.Known || b.Known || math.Abs(a.Mean+b.Mean-0.8) > 0.2 {
		t.Errorf("effects of an inseparable pair are %+v and %+v, want unknown ones with the sum 0.8", a, b)
	}
	for range 20 {
		w.round(true)
	}
	w.check(t, "separated", 0.2)
	sample := Sample{Worker: "w1", Victim: w.victim, Ratio: 0.1, Exposures: []Exposure{{w.kinds[0], 1}}, LowerBound: true}
	if w.est.Observe(sample, w.now) {
		t.Error("a satisfied lower bound counts as evidence")
	}
	if sample.Ratio = 10; !w.est.Observe(sample, w.now) {
		t.Error("a lower bound above the estimate does not count as evidence")
	}
	for _, ratio := range []float64{0, -1, math.NaN(), math.Inf(1)} {
		if sample.Ratio = ratio; w.est.Observe(sample, w.now) {
			t.Errorf("the ratio %v counts as evidence", ratio)
		}
	}
	later := w.now + 3*memory
	if e := w.est.Effect(w.kinds[0], w.victim, later); e.Known || e.Mean > 0.1 {
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
		v := e.Kind(Key{Image: "web"}, now)
		k := e.Kind(Key{Image: fmt.Sprint("batch", i)}, now)
		for _, speed := range []float64{0, 1, 1, 1, 1} {
			e.Observe(Sample{Worker: fmt.Sprint("w", i), Victim: v, Ratio: 0.5, Exposures: []Exposure{{k, speed}}}, now)
		}
	}
	if kinds, _ := e.Size(1000 * time.Second); kinds > 40 {
		t.Errorf("%d kinds, want at most 40", kinds)
	}
	if len(e.workers) > 130 {
		t.Errorf("%d workers, want those of the last two minutes at most", len(e.workers))
	}
	if e.Kind(Key{Image: "web"}, time.Hour).victim == nil {
		t.Error("a kind in use was dropped")
	}

	w := newWorld(2, 1.2, 0, 0.5)
	for range 30 {
		w.round(true)
	}
	pairs := w.est.Snapshot(2, w.now)
	if len(pairs) != 2 || pairs[0].Aggressor != w.kinds[0].Key() {
		t.Fatalf("snapshot %+v, want the two largest effects", pairs)
	}
	next := NewEstimator()
	next.Restore(append(pairs, Pair{Victim: Key{Image: "x"}, Mean: float32(math.NaN()), Variance: 0.1}), 2*time.Second, 0)
	if got := next.Snapshot(10, 0); len(got) != 2 || got[0].Mean >= pairs[0].Mean || got[0].Variance <= pairs[0].Variance {
		t.Errorf("restored %+v, want %+v aged by two seconds", got, pairs)
	}
	if !reflect.DeepEqual(w.est.Snapshot(9, w.now), w.est.Snapshot(9, w.now)) {
		t.Error("two snapshots of one state differ")
	}
}

// BenchmarkObserve and BenchmarkEffect measure one report and one read with different numbers of kinds.
func BenchmarkObserve(b *testing.B) { benchmarkKinds(b, true) }

func BenchmarkEffect(b *testing.B) { benchmarkKinds(b, false) }

func benchmarkKinds(b *testing.B, observe bool) {
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
				e.Observe(s, 0)
			}
			i := 0
			for b.Loop() {
				s := &samples[i%n]
				i++
				if observe {
					e.Observe(*s, time.Duration(i)*time.Millisecond)
				} else {
					e.Effect(s.Exposures[3].Aggressor, s.Victim, time.Second)
				}
			}
		})
	}
}
