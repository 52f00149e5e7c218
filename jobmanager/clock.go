package jobmanager

import (
	"time"

	"golang.org/x/sys/unix"

	"github.com/berylwharf/berylwharf/job"
)

// SystemClock reads the clocks of the machine. Its steady clock includes time during which the machine was suspended,
// because leases continue to run in that time.
type SystemClock struct{}

// Now implements Clock.
func (SystemClock) Now() job.Time {
	var ts unix.Timespec
	steady := time.Duration(0)
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err == nil {
		steady = time.Duration(ts.Nano())
	}
	return job.Time{Steady: steady, WallMs: time.Now().UnixMilli()}
}
