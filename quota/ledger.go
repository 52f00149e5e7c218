package quota

import (
	"maps"
	"time"
)

// Ledger holds the newest offer for the owner of a pool. It is not safe for concurrent use.
type Ledger struct {
	owner int64
	seen  int64         // greatest epoch of an allocator
	offer Offer         // in force, or lapsed
	since time.Duration // when offer was applied
	until time.Duration // when offer lapses
}

// NewLedger returns a ledger without an offer. Owner is the epoch of the pool's owner.
func NewLedger(owner int64) *Ledger { return &Ledger{owner: owner} }

// Apply applies an offer that arrived. It returns why the offer is refused, or "" if it is in force or only asks. An offer
// that was meant for another owner, arrives late or comes from a replaced allocator is refused.
func (l *Ledger) Apply(o Offer, now time.Duration) string {
	if o.Epoch < l.seen {
		return "a later allocator is known"
	}
	l.seen = o.Epoch
	until := min(o.Clock, now) + o.Hold
	switch {
	case !o.Give:
		return ""
	case o.Owner != l.owner:
		return "the offer is for another owner of the pool"
	case o.Epoch == l.offer.Epoch && o.Number <= l.offer.Number:
		return "a later offer is known"
	case until <= now:
		return "the offer has lapsed"
	case o.Base != 0 && (o.Epoch != l.offer.Epoch || o.Base != l.offer.Number):
		return "the offer changes one that is not in force"
	}
	// Both maps may be in use by other goroutines: that of the allocator, and the last one in a report.
	grants := make(map[string]Amount, len(l.offer.Grants))
	if o.Base != 0 {
		maps.Copy(grants, l.offer.Grants)
	}
	maps.Copy(grants, o.Grants)
	o.Grants = grants
	l.offer, l.since, l.until = o, now, until
	return ""
}

// Version returns the version of the configuration of the newest offer; 0 if there is none.
func (l *Ledger) Version() int64 { return l.offer.Version }

// Grant returns what a customer may have running in the pool, which is nothing if no offer is in force. Listed states whether the
// newest offer, lapsed or not, names the customer; the customer then has a cap in that version of the configuration.
func (l *Ledger) Grant(customer string, now time.Duration) (grant Amount, listed bool) {
	grant, listed = l.offer.Grants[customer]
	if now >= l.until {
		return Amount{}, listed
	}
	return grant, listed
}

// Identity returns the epoch, number and age of the newest offer.
func (l *Ledger) Identity(now time.Duration) (epoch, number int64, age time.Duration) {
	return l.offer.Epoch, l.offer.Number, now - l.since
}

// Report returns the report of the pool without Known and Uses. It contains the grants in force if full is set, as is needed
// in the answer to an offer that only asks or that was refused.
func (l *Ledger) Report(full bool, now time.Duration) Report {
	r := Report{Epoch: l.seen, Owner: l.owner, Clock: now}
	if l.offer.Give {
		r.GrantEpoch, r.Number, r.Left = l.offer.Epoch, l.offer.Number, max(0, l.until-now)
	}
	if full && r.Left > 0 {
		r.Granted = l.offer.Grants
	}
	return r
}
