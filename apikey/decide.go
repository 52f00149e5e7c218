package apikey

import "time"

// maxAgeFraction is the fraction of the revocation bound up to which a node relies on what it has read. The rest of the bound
// covers a slow body, the transfer to the owner of the pool, and clocks of different rates.
const maxAgeFraction = 0.6

// Knowledge says as of when a node knows the operators' records. The zero value means that it never read all of them.
type Knowledge struct {
	// Complete is true after a read that reached the end of the records.
	Complete bool
	// ReadAt is the steady time at which the last such read began. A caller must load it before the key table that it describes, so
	// that the table is at least as new.
	ReadAt time.Duration
}

// Age is how old a node's knowledge is when it decides on a call.
type Age struct {
	// Known is false if the node has never read all records, or if its clock is not usable.
	Known bool
	// SinceRead is the time from the beginning of the last complete read to the decision.
	SinceRead time.Duration
	// ReadAfterArrival means that this read began after the call had arrived.
	ReadAfterArrival bool
}

// At returns the age of the knowledge for a call, at the steady time now. Now must be read after the call has arrived.
func (k Knowledge) At(now, arrivedAt time.Duration) Age {
	if !k.Complete || now < k.ReadAt {
		return Age{}
	}
	return Age{Known: true, SinceRead: now - k.ReadAt, ReadAfterArrival: k.ReadAt >= arrivedAt}
}

// Outcome is the result of a decision.
type Outcome string

// Outcomes of a decision.
const (
	// Accepted means that the key belongs to a customer.
	Accepted Outcome = "accepted"
	// Missing means that the call has no key.
	Missing Outcome = "no key"
	// Unknown means that a read that began after the call arrived shows no such key.
	Unknown Outcome = "unknown key"
	// Unconfirmed means that the table has no such key and that no read since the arrival of the call confirms it.
	Unconfirmed Outcome = "unconfirmed key"
	// Stale means that the knowledge is too old to accept any key.
	Stale Outcome = "knowledge too old"
)

// Decision is the result for one call.
type Decision struct {
	Outcome  Outcome
	Customer string // set if Outcome is Accepted
	Age      Age
}

// Decide returns the decision on the key of a call on a route that needs one. The zero Key stands for a call without a key.
// Revocation is the time after which a removed key must no longer be accepted; 0 means that there is no such bound.
func (t *Table) Decide(k Key, age Age, revocation time.Duration) Decision {
	d := Decision{Age: age}
	if revocation > 0 && (!age.Known || age.SinceRead > time.Duration(maxAgeFraction*float64(revocation))) {
		d.Outcome = Stale
		return d
	}
	if !k.usable {
		d.Outcome = Missing
		return d
	}
	o := t.find(k)
	switch {
	case o != nil && o.customer != "":
		d.Outcome, d.Customer = Accepted, o.customer
	case age.ReadAfterArrival:
		d.Outcome = Unknown
	default:
		d.Outcome = Unconfirmed
	}
	return d
}
