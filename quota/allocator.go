package quota

import (
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"
)

const (
	// Hold is how long an offer holds after the report that it answers. The replacement of a lost owner takes about 2 s, during
	// which pools must be able to go on starting tasks.
	Hold = 5 * time.Second
	// driftFactor covers clocks whose rates differ by up to 2%, with a margin.
	driftFactor = 1.03
	// maxReportAge is the age of a pool's newest report from which its grants are no longer changed. Rounds begin every 200 ms, so
	// a few of them may fail.
	maxReportAge = time.Second
)

// ErrReplaced is returned if a pool knows a later allocator.
var ErrReplaced = errors.New("a pool knows a later allocator")

// Allocator divides the caps of the customers. It is not safe for concurrent use.
type Allocator struct {
	epoch, number int64
	// membership is how long a replaced owner may continue before it notices.
	membership time.Duration
	// settledAt is when the earlier allocator has certainly ended, and waitUntil when its grants have certainly lapsed.
	settledAt, waitUntil time.Duration
	learned              bool // see Learned
	pools                map[string]*poolState
	heldUp               int        // see HeldUp
	scratch              []claimant // reused by divide
}

// poolState is what the allocator knows about a pool.
type poolState struct {
	answered bool // has reported to this allocator
	settled  bool // an owner has answered that was not replaced before the earlier allocator had ended
	known    bool // the owner knows all runs of earlier owners
	owner    int64
	clock    time.Duration // of the owner, in its newest report
	heardAt  time.Duration // when that report arrived
	uses     map[string]Use
	// offered is the greatest of the offers since, and including, the last one that the pool confirmed.
	offered map[string]Amount
	last    map[string]Amount // the newest offer
	number  int64             // of the newest offer with grants; 0 without one
	// confirmed means that the pool has confirmed the newest offer, and version is that of its configuration.
	confirmed bool
	version   int64
	// extra is what was counted for earlier owners. It counts until the owner knows all their runs.
	extra map[string]Amount
}

// New returns an allocator that begins now. Membership is how long a replaced owner, of the allocator's shard or of a pool, may
// continue before it notices.
func New(epoch int64, membership, now time.Duration) *Allocator {
	membership = time.Duration(float64(membership) * driftFactor)
	a := &Allocator{epoch: epoch, membership: membership, pools: make(map[string]*poolState)}
	a.settle(now + membership)
	return a
}

// Reset discards what the pools reported. It must be called when there are caps again after a time without any, because the pools
// may have started anything meanwhile.
func (a *Allocator) Reset(now time.Duration) {
	clear(a.pools)
	a.learned = false
	a.settle(now)
}

// Settle records that the earlier allocator has certainly ended.
func (a *Allocator) Settle(now time.Duration) {
	if now < a.settledAt {
		a.settle(now)
	}
}

func (a *Allocator) settle(at time.Duration) {
	a.settledAt, a.waitUntil = at, at+time.Duration(float64(Hold)*driftFactor)
}

// SkipLearning records that there was no earlier allocator.
func (a *Allocator) SkipLearning() { a.learned = true }

// Learned reports whether the allocator divides the caps. Before, it only renews the grants that the pools have.
func (a *Allocator) Learned() bool { return a.learned }

// HeldUp returns the number of pairs of a pool and a customer whose work waited for a grant in the last round.
func (a *Allocator) HeldUp() int { return a.heldUp }

// Unanswered returns how many of the pools have not reported lately.
func (a *Allocator) Unanswered(now time.Duration) int {
	n := 0
	for _, s := range a.pools {
		if !s.live(now) {
			n++
		}
	}
	return n
}

func (s *poolState) live(now time.Duration) bool { return s.answered && now-s.heardAt < maxReportAge }

// counted returns what a customer may have running in the pool. What was counted for earlier owners is added, because the present
// owner does not report the runs that it does not know.
func (s *poolState) counted(customer string) Amount {
	return s.offered[customer].Max(s.uses[customer].Used).Add(s.extra[customer])
}

// empty reports whether certainly nothing that counts runs in the pool.
func (s *poolState) empty() bool {
	if !s.answered {
		return true
	}
	for _, u := range s.uses {
		if !u.Used.Zero() {
			return false
		}
	}
	return s.known || len(s.extra) == 0
}

// Round returns the offer to send to each pool. Pools are those to which routes lead or that may have jobs; pools that were named
// earlier get offers while something may run there. Caps holds the limits (see Limits) of the customers with a cap.
func (a *Allocator) Round(pools []string, caps map[string]Amount, version int64, now time.Duration) map[string]Offer {
	a.updatePools(pools, now)
	a.learned = a.learned || a.hasLearned(now)
	a.number++
	a.heldUp = 0
	offers := make(map[string]Offer, len(a.pools))
	var recipients []recipient
	for _, name := range slices.Sorted(maps.Keys(a.pools)) {
		s := a.pools[name]
		o := Offer{Epoch: a.epoch, Number: a.number, Version: version, Owner: s.owner, Clock: s.clock, Hold: Hold}
		if s.answered {
			o.Give = true
			o.Grants = make(map[string]Amount, len(caps))
			recipients = append(recipients, recipient{name: name, pool: s, grants: o.Grants})
		}
		offers[name] = o
	}
	for customer, limit := range caps {
		if a.learned {
			a.divide(customer, limit, recipients, now)
		} else {
			renew(customer, limit, recipients)
		}
	}
	for _, r := range recipients {
		if base, changes := r.pool.changes(version, r.grants); base != 0 {
			o := offers[r.name]
			o.Base, o.Grants = base, changes
			offers[r.name] = o
		}
		r.pool.record(a.number, version, r.grants)
	}
	return offers
}

// recipient is a pool to which a round gives grants.
type recipient struct {
	name   string
	pool   *poolState
	grants map[string]Amount
}

// updatePools adds new pools and drops those in which nothing can run any more.
func (a *Allocator) updatePools(pools []string, now time.Duration) {
	for _, name := range pools {
		if a.pools[name] == nil {
			a.pools[name] = &poolState{}
		}
	}
	for name, s := range a.pools {
		lapsed := now-s.heardAt > time.Duration(float64(Hold)*driftFactor)
		if lapsed && s.empty() && !slices.Contains(pools, name) {
			delete(a.pools, name)
		}
	}
}

// hasLearned reports whether each pool knows its runs and has answered at a time when the earlier allocator could no longer
// give another owner of the pool a grant. Once the grants of the earlier allocator have lapsed, pools that do not answer are
// not awaited.
func (a *Allocator) hasLearned(now time.Duration) bool {
	for _, s := range a.pools {
		if now >= a.waitUntil && !s.live(now) {
			continue
		}
		if !s.settled || !s.known {
			return false
		}
	}
	return now >= a.settledAt
}

// renew repeats the grants that the pools have from the earlier allocator. This is safe even if that one still runs: it counts
// these grants until it hears from the pool, which tells it that it was replaced.
func renew(customer string, limit Amount, recipients []recipient) {
	for _, r := range recipients {
		r.grants[customer] = r.pool.offered[customer].Min(limit)
	}
}

// divide adds the grants of a customer to those of the pools.
func (a *Allocator) divide(customer string, limit Amount, recipients []recipient, now time.Duration) {
	a.scratch = a.scratch[:0]
	for _, r := range recipients {
		s := r.pool
		c := claimant{
			grants: r.grants, use: s.uses[customer], live: s.live(now), extra: s.extra[customer], counted: s.counted(customer), last: s.last[customer],
		}
		if c.use.HeldUp {
			a.heldUp++
		}
		a.scratch = append(a.scratch, c)
	}
	divide(limit, a.scratch)
	for i := range a.scratch {
		a.scratch[i].grants[customer] = a.scratch[i].grant
	}
}

// changes returns the grants that differ from the newest offer, and the number of that offer. The number is 0 if the pool has not
// confirmed the offer or the offer may name other customers.
func (s *poolState) changes(version int64, grants map[string]Amount) (base int64, changed map[string]Amount) {
	if !s.confirmed || s.version != version {
		return 0, nil
	}
	changed = make(map[string]Amount)
	for customer, grant := range grants {
		if s.last[customer] != grant {
			changed[customer] = grant
		}
	}
	return s.number, changed
}

// record records an offer that is about to be sent. It counts whether or not it arrives.
func (s *poolState) record(number, version int64, grants map[string]Amount) {
	s.number, s.version, s.last, s.confirmed = number, version, grants, false
	if s.offered == nil {
		s.offered = make(map[string]Amount)
	}
	for customer, grant := range grants {
		s.offered[customer] = s.offered[customer].Max(grant)
	}
}

// Report applies a pool's report, the answer to a call that began at sentAt. It returns ErrReplaced if this allocator must end.
func (a *Allocator) Report(pool string, r Report, sentAt, now time.Duration) error {
	if r.Epoch > a.epoch {
		return ErrReplaced
	}
	s := a.pools[pool]
	if s == nil || r.Owner < s.owner || (r.Owner == s.owner && r.Clock <= s.clock) {
		return nil
	}
	switch {
	case !s.answered:
		s.offered = maps.Clone(r.Granted)
	case r.Owner > s.owner:
		s.replaceOwner(r)
	case r.GrantEpoch == a.epoch && r.Number == s.number:
		s.offered, s.confirmed = maps.Clone(s.last), true
	}
	s.answered, s.owner, s.clock, s.heardAt = true, r.Owner, r.Clock, now
	confirmedAt := sentAt - time.Duration(float64(r.ConfirmedFor)*driftFactor)
	s.settled = s.settled || confirmedAt >= a.settledAt || sentAt >= a.settledAt+a.membership
	s.known, s.uses = r.Known, r.Uses
	if r.Known {
		s.extra = nil
	}
	return nil
}

// replaceOwner keeps what was counted for the earlier owner until the new one knows all runs.
func (s *poolState) replaceOwner(r Report) {
	extra := make(map[string]Amount)
	add := func(customer string) {
		if c := s.counted(customer); !c.Zero() {
			extra[customer] = c
		}
	}
	for customer := range s.offered {
		add(customer)
	}
	for customer := range s.uses {
		add(customer)
	}
	for customer := range s.extra {
		add(customer)
	}
	s.extra, s.offered, s.last, s.number, s.confirmed = extra, maps.Clone(r.Granted), nil, 0, false
}
