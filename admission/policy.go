package admission

// Policy orders requests and customers. Entry nodes use Weighted; the other policies are baselines for comparisons.
type Policy interface {
	// Before reports whether a is served before b. Both belong to the same customer unless IgnoresShares returns true.
	Before(a, b *Request) bool
	// Weight returns the weight of a customer with the given declared share.
	Weight(share int) float64
	// IgnoresShares reports whether requests are ordered by Before across all customers, regardless of their shares.
	IgnoresShares() bool
}

// Weighted divides capacity among customers in proportion to their declared shares, and orders the requests of a customer
// by urgency, then deadline.
type Weighted struct{}

// Before implements Policy.
func (Weighted) Before(a, b *Request) bool { return byUrgency(a, b) }

// Weight implements Policy.
func (Weighted) Weight(share int) float64 { return float64(max(share, 1)) }

// IgnoresShares implements Policy.
func (Weighted) IgnoresShares() bool { return false }

// EqualShares is Weighted with equal shares for all customers.
type EqualShares struct{}

// Before implements Policy.
func (EqualShares) Before(a, b *Request) bool { return byUrgency(a, b) }

// Weight implements Policy.
func (EqualShares) Weight(int) float64 { return 1 }

// IgnoresShares implements Policy.
func (EqualShares) IgnoresShares() bool { return false }

// FixedPriority serves the most urgent request of all customers.
type FixedPriority struct{}

// Before implements Policy.
func (FixedPriority) Before(a, b *Request) bool { return byUrgency(a, b) }

// Weight implements Policy.
func (FixedPriority) Weight(int) float64 { return 1 }

// IgnoresShares implements Policy.
func (FixedPriority) IgnoresShares() bool { return true }

// FirstInFirstOut serves the requests of all customers in order of arrival.
type FirstInFirstOut struct{}

// Before implements Policy.
func (FirstInFirstOut) Before(a, b *Request) bool { return a.seq < b.seq }

// Weight implements Policy.
func (FirstInFirstOut) Weight(int) float64 { return 1 }

// IgnoresShares implements Policy.
func (FirstInFirstOut) IgnoresShares() bool { return true }

// byUrgency orders requests by urgency, then deadline, then arrival.
func byUrgency(a, b *Request) bool {
	if a.Urgency != b.Urgency {
		return a.Urgency < b.Urgency
	}
	if !a.Deadline.Equal(b.Deadline) {
		return a.Deadline.Before(b.Deadline)
	}
	return a.seq < b.seq
}
