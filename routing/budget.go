package routing

import (
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
)

// Parameters of the retry budget, which is counted in hundredths of a token. Each request deposits 0.08 token and each
// retry or hedge withdraws one token, so that in a full outage the attempts per request stay below 1.08 + 10/requests.
const (
	unitsPerToken   = 100
	unitsPerRequest = 8
	maxUnits        = 10 * unitsPerToken
)

// RetryBudget is the retry budget of one service: a token bucket that is full at the start. It is not safe for
// concurrent use.
type RetryBudget struct{ units int }

// NewRetryBudget returns a full budget.
func NewRetryBudget() *RetryBudget { return &RetryBudget{units: maxUnits} }

// Deposit adds the share of a token that one request earns.
func (b *RetryBudget) Deposit() { b.units = min(b.units+unitsPerRequest, maxUnits) }

// Withdraw takes one token for a retry or hedge. It returns false when less than one token is left.
func (b *RetryBudget) Withdraw() bool {
	if b.units < unitsPerToken {
		return false
	}
	b.units -= unitsPerToken
	return true
}

// Refund returns the token of a retry or hedge that sent nothing.
func (b *RetryBudget) Refund() { b.units = min(b.units+unitsPerToken, maxUnits) }

// Bounds of the hedge delay.
const (
	MinHedgeDelay = 50 * time.Millisecond
	MaxHedgeDelay = 2 * time.Second
)

const (
	latencyWindowCount        = 4
	latencyWindowLength       = 5 * time.Second
	maxLatencyMicros          = int64(time.Minute / time.Microsecond)
	minLatencySamples         = 20
	hedgeDelayRefreshInterval = time.Second
)

// LatencyEstimator estimates a service's latency over the last 15 to 20 s. It is not safe for concurrent use.
type LatencyEstimator struct {
	histogram  *hdr.WindowedHistogram
	rotateAt   time.Time
	refreshAt  time.Time
	hedgeDelay time.Duration
}

// NewLatencyEstimator returns an estimator without samples.
func NewLatencyEstimator() *LatencyEstimator {
	return &LatencyEstimator{histogram: hdr.NewWindowed(latencyWindowCount, 1, maxLatencyMicros, 2), hedgeDelay: MaxHedgeDelay}
}

// Record adds the latency of a complete response.
func (l *LatencyEstimator) Record(now time.Time, d time.Duration) {
	l.rotate(now)
	v := min(max(d.Microseconds(), 1), maxLatencyMicros)
	// v is within the histogram's range, so RecordValue cannot fail.
	_ = l.histogram.Current.RecordValue(v)
}

// HedgeDelay returns the p99 of the recent latency, limited to MinHedgeDelay and MaxHedgeDelay. It returns MaxHedgeDelay
// when there are fewer than minLatencySamples samples. The value is recomputed at most once per
// hedgeDelayRefreshInterval.
func (l *LatencyEstimator) HedgeDelay(now time.Time) time.Duration {
	if now.Before(l.refreshAt) {
		return l.hedgeDelay
	}
	l.rotate(now)
	l.refreshAt = now.Add(hedgeDelayRefreshInterval)
	merged := l.histogram.Merge()
	l.hedgeDelay = MaxHedgeDelay
	if merged.TotalCount() >= minLatencySamples {
		p99 := time.Duration(merged.ValueAtQuantile(99)) * time.Microsecond
		l.hedgeDelay = min(max(p99, MinHedgeDelay), MaxHedgeDelay)
	}
	return l.hedgeDelay
}

// rotate discards samples of expired windows. It starts with an empty histogram when all windows have expired.
func (l *LatencyEstimator) rotate(now time.Time) {
	if l.rotateAt.IsZero() || now.Sub(l.rotateAt) > latencyWindowCount*latencyWindowLength {
		l.rotateAt = now.Add(latencyWindowLength)
		l.histogram = hdr.NewWindowed(latencyWindowCount, 1, maxLatencyMicros, 2)
		return
	}
	for !now.Before(l.rotateAt) {
		l.histogram.Rotate()
		l.rotateAt = l.rotateAt.Add(latencyWindowLength)
	}
}
