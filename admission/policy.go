package admission

// Policy orders requests and customers. Weighted is the policy in use; the others are baselines for measurements.
type Policy interface {
	// Before reports whether a is served before b. Both belong to one customer, unless PickRequest is true.
	Before(a, b *Request) bool
	// Weight returns the weight of a customer with this declared share.
	Weight(share int) float64
	// PickRequest states that the best request over all customers is served, without shares.
	PickRequest() bool
}

// Weighted shares capacity among customers by declared share, and orders a customer's requests by urgency, then
// deadline.
type Weighted struct{}

// Before implements Policy.
func (Weighted) Before(a, b *Request) bool { return byUrgency(a, b) }

// Weight implements Policy.
func (Weighted) Weight(share int) float64 { return float64(max(share, 1)) }

// PickRequest implements Policy.
func (Weighted) PickRequest() bool { return false }

// EqualShares is Weighted with the same share for each customer.
type EqualShares struct{}

// Before implements Policy.
func (EqualShares) Before(a, b *Request) bool { return byUrgency(a, b) }

// Weight implements Policy.
func (EqualShares) Weight(int) float64 { return 1 }

// PickRequest implements Policy.
func (EqualShares) PickRequest() bool { return false }

// FixedPriority serves the most urgent request, whoever sent it.
type FixedPriority struct{}

// Before implements Policy.
func (FixedPriority) Before(a, b *Request) bool { return byUrgency(a, b) }

// Weight implements Policy.
func (FixedPriority) Weight(int) float64 { return 1 }

// PickRequest implements Policy.
func (FixedPriority) PickRequest() bool { return true }

// FirstInFirstOut serves requests in order of arrival.
type FirstInFirstOut struct{}

// Before implements Policy.
func (FirstInFirstOut) Before(a, b *Request) bool { return a.seq < b.seq }

// Weight implements Policy.
func (FirstInFirstOut) Weight(int) float64 { return 1 }

// PickRequest implements Policy.
func (FirstInFirstOut) PickRequest() bool { return true }

func byUrgency(a, b *Request) bool {
	if a.Urgency != b.Urgency {
		return a.Urgency < b.Urgency
	}
	if !a.Deadline.Equal(b.Deadline) {
		return a.Deadline.Before(b.Deadline)
	}
	return a.seq < b.seq
}
