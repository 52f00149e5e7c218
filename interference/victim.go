package interference

import (
	"math"
	"time"
)

// dim is the number of unknowns of a victim: its base and the effects.
const dim = 1 + MaxAggressors

// victim is the Kalman filter of one victim. Index 0 of the mean and the covariance is the base, index 1+i the effect of
// aggressors[i].
type victim struct {
	at         time.Duration // up to which the evidence is aged
	based      bool          // the base is known from at least one sample
	aggressors [MaxAggressors]*Kind
	seen       [MaxAggressors]time.Duration // time of the last evidence
	mean       [dim]float64
	cov        [dim][dim]float64
}

// slot returns the index of an aggressor, or -1.
func (v *victim) slot(k *Kind) int {
	for i, a := range v.aggressors {
		if a == k {
			return i
		}
	}
	return -1
}

// age advances the filter to now: effects return to the prior, and the variance of the base grows.
func (v *victim) age(now time.Duration) {
	dt := now - v.at
	if dt <= 0 {
		return
	}
	v.at = now
	a := math.Exp(-dt.Seconds() / memory.Seconds())
	for i := 1; i < dim; i++ {
		v.mean[i] *= a
		v.cov[0][i] *= a
		v.cov[i][0] *= a
		for j := 1; j < dim; j++ {
			v.cov[i][j] *= a * a
		}
		v.cov[i][i] += (1 - a*a) * priorVariance
	}
	v.cov[0][0] += baseDrift * dt.Seconds()
	if dt > staleAfter {
		v.based = false
	}
}

// row returns the coefficients of the unknowns in a sample. It adds the aggressors that are not known. The second result
// is false when a worker has more aggressors than a victim can hold.
func (v *victim) row(exposures []Exposure, now time.Duration) (h [dim]float64, ok bool) {
	h[0] = 1
	for _, x := range exposures {
		if x.Speed <= 0 {
			continue
		}
		i := v.slot(x.Aggressor)
		if i < 0 {
			i = v.oldest()
			if h[1+i] > 0 {
				return h, false
			}
			v.replace(i, x.Aggressor)
		}
		v.seen[i] = now
		x.Aggressor.lastUsed = now
		h[1+i] += x.Speed
	}
	return h, true
}

// oldest returns the slot that is free or has the oldest evidence.
func (v *victim) oldest() int {
	best := 0
	for i, a := range v.aggressors {
		if a == nil {
			return i
		}
		if v.seen[i] < v.seen[best] {
			best = i
		}
	}
	return best
}

// replace gives a slot to an aggressor without evidence.
func (v *victim) replace(i int, k *Kind) {
	v.aggressors[i] = k
	v.mean[1+i] = 0
	for j := range dim {
		v.cov[1+i][j], v.cov[j][1+i] = 0, 0
	}
	v.cov[1+i][1+i] = priorVariance
}

// begin sets the base from the first sample, as if its earlier variance had been unlimited.
func (v *victim) begin(h [dim]float64, y, noise float64) {
	v.based = true
	base, variance := y, noise
	var cross [dim]float64
	for i := 1; i < dim; i++ {
		base -= h[i] * v.mean[i]
		for j := 1; j < dim; j++ {
			cross[i] -= v.cov[i][j] * h[j]
		}
		variance -= h[i] * cross[i]
	}
	v.mean[0] = base
	v.cov[0][0] = variance
	for i := 1; i < dim; i++ {
		v.cov[0][i], v.cov[i][0] = cross[i], cross[i]
	}
}

// update applies a sample to the filter and to the slowness of its worker. It returns false for a lower bound that the
// estimate already satisfies.
func (v *victim) update(h [dim]float64, y float64, w *slowness, lowerBound bool) bool {
	var ph [dim]float64
	innovation, variance := y-w.mean, w.variance+noiseVariance
	for i := range dim {
		if h[i] == 0 {
			continue
		}
		innovation -= h[i] * v.mean[i]
		for j := range dim {
			ph[j] += v.cov[j][i] * h[i]
		}
	}
	for i := range dim {
		variance += h[i] * ph[i]
	}
	if lowerBound && innovation <= 0 {
		return false
	}
	limit := min(maxInnovation, maxDeviations*math.Sqrt(variance))
	innovation = min(limit, max(-limit, innovation))
	for i := range dim {
		gain := ph[i] / variance
		v.mean[i] += gain * innovation
		for j := range dim {
			v.cov[i][j] -= gain * ph[j]
		}
	}
	gain := w.variance / variance
	w.mean += gain * innovation
	w.variance -= gain * w.variance
	return true
}
