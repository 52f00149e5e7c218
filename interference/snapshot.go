package interference

import (
	"cmp"
	"slices"
	"time"
)

// Pair is the known effect of a pair, as it is handed to a later Estimator.
type Pair struct {
	Victim    Key     `cbor:"1,keyasint"`
	Aggressor Key     `cbor:"2,keyasint"`
	Mean      float32 `cbor:"3,keyasint"`
	Variance  float32 `cbor:"4,keyasint"`
}

// Snapshot returns the known pairs with the largest effects, at most limit, in descending order of the effect.
func (e *Estimator) Snapshot(limit int, now time.Duration) []Pair {
	var pairs []Pair
	for _, k := range e.sortedKinds() {
		if k.victim == nil {
			continue
		}
		for _, a := range k.victim.aggressors {
			if a == nil {
				continue
			}
			if x := e.Effect(a, k, now); x.Known {
				pairs = append(pairs, Pair{
					Victim: k.key, Aggressor: a.key, Mean: float32(x.Mean), Variance: float32(x.StdDev * x.StdDev),
				})
			}
		}
	}
	slices.SortStableFunc(pairs, func(a, b Pair) int {
		return cmp.Or(cmp.Compare(b.Mean, a.Mean), compareKeys(a.Victim, b.Victim), compareKeys(a.Aggressor, b.Aggressor))
	})
	return pairs[:min(limit, len(pairs))]
}

// Restore adds pairs of a snapshot that was taken the given time ago. Pairs of victims that are already known and values
// that no Snapshot returns are ignored.
func (e *Estimator) Restore(pairs []Pair, age, now time.Duration) {
	for _, p := range pairs {
		mean, variance := float64(p.Mean), float64(p.Variance)
		if !(mean >= 0 && mean < 100 && variance > 0 && variance <= priorVariance) {
			continue
		}
		k := e.Kind(p.Victim, now)
		if k.victim == nil {
			k.victim = &victim{at: now}
		}
		v := k.victim
		a := e.Kind(p.Aggressor, now)
		i := v.oldest()
		if v.based || v.slot(a) >= 0 || v.aggressors[i] != nil {
			continue
		}
		v.replace(i, a)
		v.seen[i] = now
		v.mean[1+i], v.cov[1+i][1+i] = decay(mean, variance, priorVariance, age)
	}
}
