package job

import (
	"math"
	"time"
)

// arrivalWindow is the time constant of the moving average of arriving work. It is short against the time that a machine needs
// to move to a pool, and long against the time between jobs in a peak.
const arrivalWindow = 500 * time.Millisecond

// arrivals is a moving average of the work that callers ask for, in machines: machine-seconds of work for each second.
//
// It answers the begin of a peak: the tasks that run and wait show it only after about the duration of a job, but the work that
// arrives shows at once how many machines will be needed.
type arrivals struct {
	rate      float64
	updatedAt time.Duration
}

// add records a job that needs so many machine-seconds.
func (a *arrivals) add(work float64, now Time) {
	a.rate = a.machines(now) + work/arrivalWindow.Seconds()
	a.updatedAt = now.Steady
}

// machines returns the average.
func (a *arrivals) machines(now Time) float64 {
	return a.rate * math.Exp(-float64(now.Steady-a.updatedAt)/float64(arrivalWindow))
}

// recordArrival records the work of a submitted job, accepted or not.
func (p *Pool) recordArrival(s *Spec, now Time) {
	if s.longRunning() || s.Occurrences > 0 {
		return
	}
	largestWorker := p.largestWorker()
	work := 0.0
	for i := range s.Steps {
		step := &s.Steps[i]
		work += float64(step.Count) * step.reserved().Share(largestWorker) * p.estimates.duration(s.Queue, step).Seconds()
	}
	p.arrivals.add(work, now)
}
