package admission

import (
	"math"
	"net/http"
	"time"

	"github.com/berylwharf/berylwharf/verdict"
)

// wait estimates how long a queued request waits: the requests of its customer that come first, at the customer's
// share of the measured rate, but no longer than the whole queue takes.
func (q *Queue) wait(f *flow, r *Request) time.Duration {
	n := float64(q.queued - 1)
	if !q.policy.PickRequest() {
		n = min(n, float64(f.ahead(q.policy, r))*q.weights()/f.weight)
	}
	return seconds(n * q.interval.value)
}

func (q *Queue) weights() float64 {
	sum := 0.0
	for _, f := range q.active {
		sum += f.weight
	}
	return sum
}

// drainTime estimates how long the waiting requests of a customer take at its share.
func (q *Queue) drainTime(f *flow) time.Duration {
	return seconds(min(float64(q.queued), float64(f.queued)*q.weights()/f.weight) * q.interval.value)
}

// late reports whether r cannot meet its deadline after waiting that long.
func (q *Queue) late(now time.Time, r *Request, wait time.Duration) bool {
	return now.Add(wait + q.serviceTime(now)).After(r.Deadline)
}

// serviceTime returns the typical slot time. The estimate ages while nothing completes.
func (q *Queue) serviceTime(now time.Time) time.Duration {
	if q.typical.n == 0 {
		return 0
	}
	age := now.Sub(q.lastDone)
	if age <= 0 {
		return seconds(q.typical.value)
	}
	return seconds(q.typical.value * math.Exp2(-float64(age)/float64(typicalHalfLife)))
}

func (q *Queue) deadlineRefusal(f *flow, wait time.Duration) *verdict.Error {
	status := http.StatusServiceUnavailable
	if f.atQuota() || float64(f.queued)*q.weights() > float64(q.queued)*f.weight {
		status = http.StatusTooManyRequests
	}
	return refusal(verdict.ReasonDeadlineTooNear, status, wait, "the deadline cannot be met")
}

func refusal(reason verdict.Reason, status int, after time.Duration, message string) *verdict.Error {
	e := verdict.New(verdict.NotRun, reason, status, message)
	e.RetryAfter = min(max(after, minRetryAfter), maxRetryAfter)
	return e
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
