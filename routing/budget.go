package routing

import (
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
)

// The retry budget in hundredths of a token. Each request adds 0.08 token and each retry or hedge takes one, so that
// under a full outage attempts per request stay below 1.08 + 10/requests.
const (
	tokenUnit    = 100
	tokenDeposit = 8
	tokenMax     = 10 * tokenUnit
)

// Budget is the retry budget of one service. It starts full. It is not safe for concurrent use.
type Budget struct{ units int }

// NewBudget returns a full budget.
func NewBudget() *Budget { return &Budget{units: tokenMax} }

// Deposit counts one request.
func (b *Budget) Deposit() { b.units = min(b.units+tokenDeposit, tokenMax) }

// Withdraw takes one token for a retry or hedge and reports whether there was one.
func (b *Budget) Withdraw() bool {
	if b.units < tokenUnit {
		return false
	}
	b.units -= tokenUnit
	return true
}

// Refund gives back the token of a retry that sent nothing.
func (b *Budget) Refund() { b.units = min(b.units+tokenUnit, tokenMax) }

// Bounds of the hedge delay.
const (
	HedgeMin = 50 * time.Millisecond
	HedgeMax = 2 * time.Second
)

const (
	latencyWindows    = 4
	latencyWindow     = 5 * time.Second
	latencyMax        = int64(time.Minute / time.Microsecond)
	latencyMinSamples = 20
	latencyRefresh    = time.Second
)

// Latency estimates a service's recent latency from the last 15 to 20 s. It is not safe for concurrent use.
type Latency struct {
	h        *hdr.WindowedHistogram
	rotateAt time.Time
	freshAt  time.Time
	hedge    time.Duration
}

// NewLatency returns an estimate without samples.
func NewLatency() *Latency {
	return &Latency{h: hdr.NewWindowed(latencyWindows, 1, latencyMax, 2), hedge: HedgeMax}
}

// Record adds the latency of a complete answer.
func (l *Latency) Record(now time.Time, d time.Duration) {
	l.rotate(now)
	v := min(max(d.Microseconds(), 1), latencyMax)
	// The value is within the histogram's range.
	_ = l.h.Current.RecordValue(v)
}

// HedgeDelay returns the p99 of the recent latency within the bounds, or the upper bound with few samples.
func (l *Latency) HedgeDelay(now time.Time) time.Duration {
	if now.Before(l.freshAt) {
		return l.hedge
	}
	l.rotate(now)
	l.freshAt = now.Add(latencyRefresh)
	m := l.h.Merge()
	l.hedge = HedgeMax
	if m.TotalCount() >= latencyMinSamples {
		p99 := time.Duration(m.ValueAtQuantile(99)) * time.Microsecond
		l.hedge = min(max(p99, HedgeMin), HedgeMax)
	}
	return l.hedge
}

func (l *Latency) rotate(now time.Time) {
	if l.rotateAt.IsZero() || now.Sub(l.rotateAt) > latencyWindows*latencyWindow {
		l.rotateAt = now.Add(latencyWindow)
		l.h = hdr.NewWindowed(latencyWindows, 1, latencyMax, 2)
		return
	}
	for !now.Before(l.rotateAt) {
		l.h.Rotate()
		l.rotateAt = l.rotateAt.Add(latencyWindow)
	}
}
