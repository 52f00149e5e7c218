package job

import (
	"math"
	"time"
)

// arrivalWindow is the time constant of the moving average of arriving work. It is short compared with the time that a
// machine needs to move to a pool, and long compared with the time between jobs at peak load.
const arrivalWindow = 500 * time.Millisecond

// arrivals is an exponential moving average of the submitted work in machines: machine-seconds of work per second.
//
// Under steady load it is about the number of machines that the submitted jobs keep busy. At the start of a load peak it
// shows at once how many machines will be needed, whereas running and pending tasks accumulate and add up to that number
// only after about the duration of a job.
type arrivals struct {
	rate      float64
	updatedAt time.Duration
}

// add records a job that needs the given machine-seconds of work.
func (a *arrivals) add(work float64, now Time) {
	a.rate = a.machines(now) + work/arrivalWindow.Seconds()
	a.updatedAt = now.Steady
}

// machines returns the moving average at the given time.
func (a *arrivals) machines(now Time) float64 {
	return a.rate * math.Exp(-float64(now.Steady-a.updatedAt)/float64(arrivalWindow))
}

// recordArrival records the work of a submitted job, whether or not it is accepted, unless its customer's cap holds it up.
func (p *Pool) recordArrival(s *Spec, now Time) {
	if s.longRunning() || s.Occurrences > 0 || p.quotaExhausted(s) {
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
