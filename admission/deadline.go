package admission

import (
	"math"
	"net/http"
	"time"

	"github.com/berylwharf/berylwharf/verdict"
)

// estimateWait estimates the queueing delay of r. It assumes that the customer's requests ahead of r are served at the
// customer's share of the measured dequeue rate, and never exceeds the time that the whole queue takes.
func (q *Queue) estimateWait(f *flow, r *Request) time.Duration {
	n := float64(q.queued - 1)
	if !q.policy.IgnoresShares() {
		n = min(n, float64(f.countAhead(q.policy, r))*q.activeWeight()/f.weight)
	}
	return secondsToDuration(n * q.dequeueInterval.value)
}

// activeWeight returns the total weight of the flows with waiting requests.
func (q *Queue) activeWeight() float64 {
	sum := 0.0
	for _, f := range q.active {
		sum += f.weight
	}
	return sum
}

// estimateDrainTime estimates the time until the customer's waiting requests are served at its share of the dequeue
// rate.
func (q *Queue) estimateDrainTime(f *flow) time.Duration {
	return secondsToDuration(min(float64(q.queued), float64(f.queued)*q.activeWeight()/f.weight) * q.dequeueInterval.value)
}

// missesDeadline reports whether r cannot complete before its deadline if it starts after wait.
func (q *Queue) missesDeadline(now time.Time, r *Request, wait time.Duration) bool {
	return now.Add(wait + q.estimateSlotTime(now)).After(r.Deadline)
}

// estimateSlotTime returns the mean time for which a request holds a slot. The estimate decays by slotTimeHalfLife while
// no request completes.
func (q *Queue) estimateSlotTime(now time.Time) time.Duration {
	if q.slotTime.n == 0 {
		return 0
	}
	age := now.Sub(q.lastCompletion)
	if age <= 0 {
		return secondsToDuration(q.slotTime.value)
	}
	return secondsToDuration(q.slotTime.value * math.Exp2(-float64(age)/float64(slotTimeHalfLife)))
}

// deadlineRefusal returns the refusal of a request that cannot meet its deadline. The status is 429 when the customer is
// at its quota or above its share of the queue, otherwise 503.
func (q *Queue) deadlineRefusal(f *flow, wait time.Duration) *verdict.Error {
	status := http.StatusServiceUnavailable
	if f.atQuota() || float64(f.queued)*q.activeWeight() > float64(q.queued)*f.weight {
		status = http.StatusTooManyRequests
	}
	return newRefusal(verdict.ReasonDeadlineUnreachable, status, wait, "the deadline cannot be met")
}

func newRefusal(reason verdict.Reason, status int, retryAfter time.Duration, message string) *verdict.Error {
	e := verdict.New(verdict.NotRun, reason, status, message)
	e.RetryAfter = min(max(retryAfter, minRetryAfter), maxRetryAfter)
	return e
}

func secondsToDuration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
