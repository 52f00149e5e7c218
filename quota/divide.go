package quota

import (
	"cmp"
	"slices"
	"time"
)

const (
	// patience is how long a unit may wait for room in the grant before other work of the customer gives way to it.
	patience = time.Second
	// yieldPeriod is the period in which other work gives way until the end of yieldEnd. A unit may be too large for what the
	// customer's long-running tasks leave, so the others must get their turn within 3 s.
	yieldPeriod = 4 * time.Second
	yieldEnd    = 3 * time.Second
)

// Yielding reports whether other work of a customer gives way to a unit that has waited for room in the grant.
func Yielding(wait time.Duration) bool {
	wait %= yieldPeriod
	return wait >= patience && wait < yieldEnd
}

// claimant is one pool in the division of a cap.
type claimant struct {
	grants map[string]Amount // of the pool; they contain the result
	use    Use
	// live means that the pool has reported lately. Others keep their grants.
	live bool
	// extra is what an earlier owner of the pool may have running that the owner does not know. It counts in addition.
	extra Amount
	// counted is what the customer may have running in the pool, including extra.
	counted Amount
	last    Amount // last grant
	target  Amount
	grant   Amount // result
}

// divide sets the grants of one customer such that what is counted, including the new grants, is within limit. It sorts the
// claimants. See docs/design/quota.md for the order in which the room is given.
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
	rest = giveWay(cs, rest)
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
			want = c.target.Add(spare(rest, c.target, demand, live))
		}
		available := limit.Sub(total.Sub(c.counted)).Sub(c.extra).Max(Amount{})
		c.grant = want.Min(available).unlimit(limit)
		counted := c.counted.Max(c.extra.Add(c.grant))
		total = total.Sub(c.counted).Add(counted)
		c.counted = counted
	}
}

// spare returns a pool's part of the rest, which nothing needs now: one half is divided evenly, the other by what the pools
// use and need. A load peak grows in the pool where it began, and its pool must do with its grant while the allocator is replaced.
func spare(rest, target, demand Amount, live int) Amount {
	out := rest.part(live)
	for i := range out {
		if demand[i] > 0 && rest[i] < NoLimit {
			out[i] = out[i]/2 + int64(float64(rest[i])/2*float64(target[i])/float64(demand[i]))
		}
	}
	return out
}

// giveWay gives the unit that has waited longest its room before what runs elsewhere, so that the others stop starting tasks
// until it fits.
func giveWay(cs []claimant, rest Amount) Amount {
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

func giveUsed(cs []claimant, rest Amount) Amount {
	for i := range cs {
		if c := &cs[i]; c.live && c.target.Zero() {
			c.target = c.use.Used.Min(rest)
			rest = rest.Sub(c.target)
		}
	}
	return rest
}

// giveUnits gives whole units to the pools in which work waits.
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
