package jobmanager

import (
	"testing"
	"time"

	"github.com/berylwharf/berylwharf/job"
)

// TestLeaseEndsInTime guards against leases that last longer at the worker than the owner expects. An answer that was
// delayed at the worker for 1.5 s made the estimate of its clock run ahead, and a task was started twice.
func TestLeaseEndsInTime(t *testing.T) {
	const lease = 5 * time.Second
	// The worker's clock is 100 s ahead of the owner's.
	ahead := 100 * time.Second
	sent := 10 * time.Second
	received := sent + 1500*time.Millisecond
	var c workerClock
	c.observe((received + ahead).Milliseconds(), job.Time{Steady: received})
	now := received + 20*time.Millisecond
	got := c.leaseExpiry(job.Time{Steady: now}, lease)
	if want := (now + ahead + lease).Milliseconds(); got > want {
		t.Fatalf("the lease ends at %d on the worker's clock, later than %d", got, want)
	}
	if (&workerClock{}).leaseExpiry(job.Time{Steady: now}, lease) != 0 {
		t.Fatal("a lease expiry is returned although the worker's clock is not known")
	}
}

// TestLeaseBoundCoversRestartedWorker guards against tasks that start elsewhere while they still run: an order whose lease ends
// by the clock of an earlier incarnation reached a worker that had restarted, which granted its longest lease.
func TestLeaseBoundCoversRestartedWorker(t *testing.T) {
	const slowestClock = 0.98
	for _, maxLeaseMs := range []int64{1000, 6000, 10_000} {
		limits := Limits{MaxLeaseMs: maxLeaseMs}
		longest := time.Duration(float64(limits.maxLease())/slowestClock) + orderTimeout
		if bound := limits.leaseBound(); bound < longest {
			t.Errorf("the owner counts on %v, a worker with leases of up to %d ms may run tasks for %v", bound, maxLeaseMs, longest)
		}
	}
}
