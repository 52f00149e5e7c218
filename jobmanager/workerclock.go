package jobmanager

import (
	"time"

	"github.com/berylwharf/berylwharf/job"
)

// workerClock estimates a worker's clock. The estimate is never ahead of the clock, so that a lease never ends later than
// the owner reckons: an answer counts from its arrival, because it may have waited at the worker and on its way.
type workerClock struct {
	ms int64         // the worker's clock
	at time.Duration // when the owner received it
}

// observe records the clock of an answer that arrived now.
func (c *workerClock) observe(ms int64, now job.Time) { c.ms, c.at = ms, now.Steady }

// expires returns the end of a lease that begins now, on the worker's clock, or 0 while the clock is not known.
func (c *workerClock) expires(now job.Time, lease time.Duration) int64 {
	if c.ms == 0 {
		return 0
	}
	return c.ms + (now.Steady - c.at).Milliseconds() + lease.Milliseconds()
}
