// Package interference estimates how much best-effort tasks lengthen the tail latency of latency-critical tasks on the same
// worker.
//
// An Estimator performs no I/O. The caller steps it with the figures that workers report (Observe) and reads the effect of a
// pair of kinds (Effect). The current time is an argument; it is the time since an arbitrary origin and must not go back. An
// Estimator is not safe for concurrent use.
//
// The model is, with the tail latency as a fraction of its target (the ratio) and speeds from 0 to 1:
//
//	ln ratio = base(victim) + slowness(worker) + sum over aggressors of speed × effect + noise
//
// Load, a slow worker and interference each multiply a latency, so their logarithms add up.
package interference

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// MaxAggressors is the number of aggressors of which the effects on one victim are known at the same time.
	MaxAggressors = 8
	// defaultMaxKinds bounds the kinds that an Estimator finds by their key.
	defaultMaxKinds = 2048
	// priorVariance is that of an effect without evidence. With its standard deviation of 0.5, a doubling of the latency is not
	// unlikely.
	priorVariance = 0.25
	// knownVariance is the variance below which an effect counts as known. It is less than half of priorVariance, which the
	// variances for two aggressors that always run together reach although the reports do not tell their effects apart.
	knownVariance = 0.12
	// memory is the time constant with which effects and slowness return to their priors. It must be short because effects change,
	// but with a shorter one a pair would be forgotten between two of its reports.
	memory = 30 * time.Second
	// baseDrift is the growth of the variance of a base per second. It exceeds that of an effect, so that a rise on all
	// workers counts as load.
	baseDrift = 0.1
	// slownessVariance is that of the slowness of a worker without evidence.
	slownessVariance = 0.03
	// noiseVariance is that of one reported figure: the tail of half a second varies by about 15%.
	noiseVariance = 0.02
	// maxInnovation and maxDeviations limit the part of a deviation that counts, in logarithms and in standard
	// deviations, so that one faulty worker does not determine an effect.
	maxInnovation = 1.0
	maxDeviations = 3.0
	// staleAfter is the age of the last evidence from which a base and a worker's slowness are forgotten.
	staleAfter = time.Minute
	// readDecayAfter is the age from which a read of an effect takes the forgetting since the last evidence into account.
	readDecayAfter = 250 * time.Millisecond
)

// Key names a kind of task. Tasks of one kind behave alike.
type Key struct {
	Image    string `cbor:"1,keyasint"`
	Customer string `cbor:"2,keyasint,omitempty"`
}

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Image, b.Image), cmp.Compare(a.Customer, b.Customer))
}

// Kind is a kind of task that an Estimator knows. It remains valid when the Estimator no longer finds it by its key.
type Kind struct {
	key      Key
	lastUsed time.Duration
	victim   *victim // nil until a task of the kind is a victim
}

// Key returns the key of the kind.
func (k *Kind) Key() Key { return k.key }

// Exposure is the speed of the tasks of one aggressor on a worker: 1 is one task at full speed.
type Exposure struct {
	Aggressor *Kind
	Speed     float64
}

// Sample is the reported tail latency of a latency-critical task with the best-effort tasks that ran beside it.
type Sample struct {
	Worker    string
	Victim    *Kind
	Ratio     float64 // tail latency as a fraction of the target; samples that are not positive are no evidence
	Exposures []Exposure
	// LowerBound states that the speeds are the highest ones of the reported time, so that the effects are at least as
	// large as the tail shows.
	LowerBound bool
}

// Effect is the estimated effect of a pair: a task of the aggressor at full speed multiplies the tail latency of the victim by
// exp(Mean).
type Effect struct {
	Mean   float64 // not negative
	StdDev float64
	// Known states that there is recent evidence.
	Known bool
}

// Upper returns a bound that is z standard deviations above the estimate.
func (e Effect) Upper(z float64) float64 { return e.Mean + z*e.StdDev }

// unknown is the effect of a pair without evidence.
var unknown = Effect{StdDev: math.Sqrt(priorVariance)}

// Estimator estimates effects. The zero value is not usable; see NewEstimator.
type Estimator struct {
	kinds      map[Key]*Kind
	maxKinds   int
	workers    map[string]*slowness
	lastPruned time.Duration
}

// slowness is the part of the tails on a worker that the base of the victims and the effects don't explain.
type slowness struct {
	mean, variance float64
	at             time.Duration
}

// NewEstimator returns an Estimator without evidence.
func NewEstimator() *Estimator {
	return &Estimator{kinds: make(map[Key]*Kind), maxKinds: defaultMaxKinds, workers: make(map[string]*slowness)}
}

// Kind returns the kind with a key and adds it if it is not known.
func (e *Estimator) Kind(key Key, now time.Duration) *Kind {
	k := e.kinds[key]
	if k == nil {
		if len(e.kinds) >= e.maxKinds {
			e.dropUnused()
		}
		k = &Kind{key: key}
		e.kinds[key] = k
	}
	k.lastUsed = now
	return k
}

// Save returns a function that puts the set of kinds and the times of their last use back, after trials that call only Kind,
// Effect and Slowness.
func (e *Estimator) Save() (restore func()) {
	kinds := maps.Clone(e.kinds)
	used := make(map[*Kind]time.Duration, len(kinds))
	for _, k := range kinds {
		used[k] = k.lastUsed
	}
	return func() {
		e.kinds = kinds
		for k, at := range used {
			k.lastUsed = at
		}
	}
}

// dropUnused drops the quarter of the kinds that was not used for the longest time.
func (e *Estimator) dropUnused() {
	kinds := e.sortedKinds()
	slices.SortStableFunc(kinds, func(a, b *Kind) int { return cmp.Compare(a.lastUsed, b.lastUsed) })
	for _, k := range kinds[:max(1, len(kinds)/4)] {
		delete(e.kinds, k.key)
	}
}

func (e *Estimator) sortedKinds() []*Kind {
	kinds := make([]*Kind, 0, len(e.kinds))
	for _, k := range e.kinds {
		kinds = append(kinds, k)
	}
	slices.SortFunc(kinds, func(a, b *Kind) int { return compareKeys(a.key, b.key) })
	return kinds
}

// Size returns the numbers of kinds and of pairs with recent evidence.
func (e *Estimator) Size(now time.Duration) (kinds, pairs int) {
	for _, k := range e.kinds {
		if k.victim == nil {
			continue
		}
		for _, a := range k.victim.aggressors {
			if a != nil && e.Effect(a, k, now).Known {
				pairs++
			}
		}
	}
	return len(e.kinds), pairs
}

// Effect returns the effect of an aggressor on a victim.
func (e *Estimator) Effect(aggressor, victim *Kind, now time.Duration) Effect {
	v := victim.victim
	if v == nil {
		return unknown
	}
	i := v.slot(aggressor)
	if i < 0 {
		return unknown
	}
	mean, variance := v.mean[1+i], v.cov[1+i][1+i]
	if age := now - v.at; age > readDecayAfter {
		mean, variance = decay(mean, variance, priorVariance, age)
	}
	return Effect{Mean: max(0, mean), StdDev: math.Sqrt(variance), Known: variance < knownVariance}
}

// Slowness returns the logarithm of the factor by which the tails on a worker are longer than on others.
func (e *Estimator) Slowness(worker string, now time.Duration) float64 {
	w := e.workers[worker]
	if w == nil {
		return 0
	}
	mean, _ := decay(w.mean, w.variance, slownessVariance, now-w.at)
	return mean
}

// decay returns the mean and the variance after the evidence has aged. They return to 0 and to the prior variance.
func decay(mean, variance, prior float64, age time.Duration) (float64, float64) {
	a := math.Exp(-max(0, age.Seconds()) / memory.Seconds())
	return mean * a, variance*a*a + prior*(1-a*a)
}

// Observe learns from a sample. It reports whether the sample was evidence.
func (e *Estimator) Observe(s Sample, now time.Duration) bool {
	if !(s.Ratio > 0) || math.IsInf(s.Ratio, 1) {
		return false
	}
	e.prune(now)
	w := e.slownessOf(s.Worker, now)
	k := s.Victim
	if k.victim == nil {
		k.victim = &victim{}
	}
	k.lastUsed = now
	v := k.victim
	v.age(now)
	h, ok := v.row(s.Exposures, now)
	if !ok {
		return false
	}
	y := math.Log(s.Ratio)
	if !v.based {
		if s.LowerBound {
			return false
		}
		v.begin(h, y-w.mean, w.variance+noiseVariance)
		return true
	}
	return v.update(h, y, w, s.LowerBound)
}

// slownessOf returns the slowness of a worker, aged to now.
func (e *Estimator) slownessOf(worker string, now time.Duration) *slowness {
	w := e.workers[worker]
	if w == nil {
		w = &slowness{variance: slownessVariance}
		e.workers[worker] = w
	}
	w.mean, w.variance = decay(w.mean, w.variance, slownessVariance, now-w.at)
	w.at = now
	return w
}

// prune forgets the slowness of workers without recent evidence.
func (e *Estimator) prune(now time.Duration) {
	if now-e.lastPruned < staleAfter {
		return
	}
	e.lastPruned = now
	for id, w := range e.workers {
		if now-w.at > staleAfter {
			delete(e.workers, id)
		}
	}
}
