package jobmanager

import (
	"time"

	"github.com/berylwharf/berylwharf/job"
)

// workerClock estimates a worker's clock. The estimate never runs ahead of that clock, so that a lease never expires
// later than the owner expects. A clock reading is therefore attributed to the arrival of the answer, which may have
// been delayed at the worker and in transit.
type workerClock struct {
	ms int64         // last reading of the worker's clock
	at time.Duration // when the owner received the reading
}

// observe records a clock reading that arrived now.
func (c *workerClock) observe(ms int64, now job.Time) { c.ms, c.at = ms, now.Steady }

// leaseExpiry returns the time on the worker's clock at which a lease that starts now expires, or 0 while that clock is
// unknown.
func (c *workerClock) leaseExpiry(now job.Time, lease time.Duration) int64 {
	if c.ms == 0 {
		return 0
	}
	return c.ms + (now.Steady - c.at).Milliseconds() + lease.Milliseconds()
}
