package backend

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

// Distributions of the work time.
const (
	DistFixed       = "fixed"
	DistExponential = "exponential"
	DistLognormal   = "lognormal"
)

const (
	// lognormalSigma puts the 99th percentile at 3.2 times the median.
	lognormalSigma = 0.5
	// maxWorkFactor limits a random work time, as a multiple of the mean.
	maxWorkFactor = 20
)

// Work describes the duration of runs: its mean, its distribution (empty means DistFixed) and the seed of the random
// generator.
type Work struct {
	Mean time.Duration
	Dist string
	Seed uint64
}

func (w Work) validate() error {
	switch w.Dist {
	case "", DistFixed, DistExponential, DistLognormal:
	default:
		return fmt.Errorf("distribution %q (permitted: fixed, exponential, lognormal)", w.Dist)
	}
	if w.Mean < 0 {
		return fmt.Errorf("work time %s must not be negative", w.Mean)
	}
	return nil
}

// workTimes generates random work times.
type workTimes struct {
	mu  sync.Mutex
	cfg Work
	rng *rand.Rand
}

func newWorkTimes(w Work) *workTimes {
	return &workTimes{cfg: w, rng: rand.New(rand.NewPCG(w.Seed, 0))}
}

func (t *workTimes) draw() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	factor := 1.0
	switch t.cfg.Dist {
	case DistExponential:
		factor = t.rng.ExpFloat64()
	case DistLognormal:
		// Subtracting sigma²/2 makes the mean of the factor 1.
		factor = math.Exp(lognormalSigma*t.rng.NormFloat64() - lognormalSigma*lognormalSigma/2)
	}
	return time.Duration(float64(t.cfg.Mean) * min(factor, maxWorkFactor))
}
