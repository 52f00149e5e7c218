package quota

import (
	"cmp"
	"slices"
	"time"
)

const (
	// Other work of a customer yields to a unit that waits for room in the grant from yieldAfter to yieldUntil in each yieldPeriod
	// of its wait. It does not yield all the time, because the unit may be too large for what the customer's long-running tasks
	// leave, and then the other work would never start.
	yieldAfter  = time.Second
	yieldUntil  = 3 * time.Second
	yieldPeriod = 4 * time.Second
)

// Yielding reports whether other work of a customer yields to a unit that has waited the given time for room in the grant.
func Yielding(wait time.Duration) bool {
	wait %= yieldPeriod
	return wait >= yieldAfter && wait < yieldUntil
}

// claimant is one pool in the division of a cap.
type claimant struct {
	grants map[string]Amount // of the pool; they contain the result
	use    Use
	// live means that the pool has reported lately. Others keep their grants.
	live bool
	// extra is what an earlier owner of the pool may have running without the knowledge of the present one, which does not report
	// it.
	extra Amount
	// counted is what the customer may have running in the pool, including extra.
	counted Amount
	last    Amount // grant of the newest offer
	target  Amount // what the pool uses and what it is to get for waiting work
	grant   Amount // result
}

// divide sets the grants of one customer such that what is counted, including the new grants, is within limit. It sorts the
// claimants. See docs/design/quota.md for the order of division.
func divide(limit Amount, cs []claimant) {
	slices.SortStableFunc(cs, func(a, b claimant) int { return cmp.Compare(b.use.Wait, a.use.Wait) })
	rest := limit
	live := 0
	for i := range cs {
		if c := &cs[i]; c.live {
			live++
			rest = rest.Sub(c.extra)
		} else {
			rest = rest.Sub(c.counted)
		}
	}
	rest = rest.Max(Amount{}).unlimit(limit)
	rest = reserveForLongestWait(cs, rest)
	rest = giveUsed(cs, rest)
	rest = giveUnits(cs, rest)
	demand := Amount{}
	for i := range cs {
		if cs[i].live {
			demand = demand.Add(cs[i].target)
		}
	}
	total := Amount{}
	for i := range cs {
		total = total.Add(cs[i].counted)
	}
	for i := range cs {
		c := &cs[i]
		want := c.last
		if c.live {
			want = c.target.Add(unclaimedPart(rest, c.target, demand, live))
		}
		available := limit.Sub(total.Sub(c.counted)).Sub(c.extra).Max(Amount{})
		c.grant = want.Min(available).unlimit(limit)
		counted := c.counted.Max(c.extra.Add(c.grant))
		total = total.Sub(c.counted).Add(counted)
		c.counted = counted
	}
}

// unclaimedPart returns a pool's part of the rest that no pool needs now. One half is divided evenly, the other by what the
// pools use and need, because a load peak usually grows where it began, and a pool gets no greater grant while the allocator
// is replaced.
func unclaimedPart(rest, target, demand Amount, live int) Amount {
	out := rest.part(live)
	for i := range out {
		if demand[i] > 0 && rest[i] < NoLimit {
			out[i] = out[i]/2 + int64(float64(rest[i])/2*float64(target[i])/float64(demand[i]))
		}
	}
	return out
}

// reserveForLongestWait reserves room for the unit that has waited longest and fits, before what runs in other pools is granted.
// These then start no tasks until the unit has its room.
func reserveForLongestWait(cs []claimant, rest Amount) Amount {
	for i := range cs {
		c := &cs[i]
		if !c.live || !c.use.HeldUp || !c.use.Unit.Fits(rest) {
			continue
		}
		if Yielding(c.use.Wait) {
			c.target = c.use.Used.Add(c.use.Unit).Min(rest)
			return rest.Sub(c.target)
		}
		return rest
	}
	return rest
}

// giveUsed gives the pools what they use.
func giveUsed(cs []claimant, rest Amount) Amount {
	for i := range cs {
		if c := &cs[i]; c.live && c.target.Zero() {
			c.target = c.use.Used.Min(rest)
			rest = rest.Sub(c.target)
		}
	}
	return rest
}

// giveUnits gives whole units to the pools in which work waits: one to each pool without room for any, then equal parts of the
// rest to the pools that the grant holds up, and then what is left to the same pools in the order of their wait.
func giveUnits(cs []claimant, rest Amount) Amount {
	waiting := 0
	give := func(c *claimant, most int) {
		n := min(most, rest.Units(c.use.Unit), c.use.Waiting.unitsToCover(c.use.Unit))
		amount := c.use.Unit.Times(n)
		c.target = c.target.Add(amount)
		c.use.Waiting = c.use.Waiting.Sub(amount)
		rest = rest.Sub(amount)
	}
	for i := range cs {
		c := &cs[i]
		if !c.live || c.use.Waiting.Zero() {
			continue
		}
		if c.target.Sub(c.use.Used).Units(c.use.Unit) == 0 {
			give(c, 1)
		}
		if c.use.HeldUp {
			waiting++
		}
	}
	for _, all := range [...]bool{false, true} {
		left := waiting
		for i := range cs {
			c := &cs[i]
			if !c.live || !c.use.HeldUp {
				continue
			}
			most := rest.Units(c.use.Unit)
			if !all {
				most = rest.part(max(1, left)).Units(c.use.Unit)
			}
			give(c, most)
			left--
		}
	}
	return rest
}
