package quota

import (
	"errors"
	"fmt"
	"testing"
	"time"
)

// TestLedgerRefusesOffers guards against starts under offers that arrive late, out of order, at another owner or from a replaced
// allocator.
func TestLedgerRefusesOffers(t *testing.T) {
	offer := func(epoch, number, owner int64, clock time.Duration) Offer {
		return Offer{Epoch: epoch, Number: number, Owner: owner, Clock: clock, Hold: Hold, Give: true, Grants: map[string]Amount{"c": {number}}}
	}
	l := NewLedger(7)
	for i, step := range []struct {
		offer Offer
		now   time.Duration
		want  int64 // CPU that the ledger grants
	}{
		{Offer{Epoch: 2, Number: 1}, 0, 0},                // asks only
		{offer(2, 2, 7, 0), time.Second, 2},               // the clock reading of the first report
		{offer(2, 4, 7, time.Second), 2 * time.Second, 4}, // overtakes number 3
		{offer(2, 3, 7, time.Second), 2 * time.Second, 4},
		{offer(1, 9, 7, time.Second), 2 * time.Second, 4},
		{offer(2, 5, 6, time.Second), 2 * time.Second, 4},
		{Offer{Epoch: 2, Number: 6, Owner: 7, Clock: time.Second, Hold: Hold, Give: true, Base: 3, Grants: map[string]Amount{"c": {9}}}, 2 * time.Second, 4},
		{offer(3, 1, 7, time.Second), 3 * time.Second, 1},   // a later allocator counts anew
		{Offer{Epoch: 4, Number: 1}, 3 * time.Second, 1},    // grants continue to hold
		{offer(3, 2, 7, 2*time.Second), 4 * time.Second, 1}, // but the earlier allocator can give no more
		{Offer{Epoch: 4, Number: 2}, 6 * time.Second, 0},    // 5 s after the reading that the offer quotes
		{offer(4, 3, 7, time.Second), 6 * time.Second, 0},
	} {
		l.Apply(step.offer, step.now)
		if grant, _ := l.Grant("c", step.now); grant[CPU] != step.want {
			t.Fatalf("step %d: granted %v, want %d", i, grant, step.want)
		}
	}
}

// calls plays rounds against pools with fixed loads, without faults.
type calls struct {
	a      *Allocator
	now    time.Duration
	caps   map[string]Amount
	pools  []string
	owners map[string]*Ledger
	uses   map[string]map[string]Use
	silent string // pool that does not answer
	// confirmedAt is when the owners of all pools were last confirmed; 0 means just now.
	confirmedAt time.Duration
}

func newCalls(limit int64, pools ...string) *calls {
	c := &calls{a: New(2, 0, 0), caps: map[string]Amount{"c": Limits(Amount{limit})}, pools: pools}
	c.owners, c.uses = make(map[string]*Ledger), make(map[string]map[string]Use)
	c.a.SkipLearning()
	for _, p := range pools {
		c.owners[p] = NewLedger(1)
		c.uses[p] = map[string]Use{}
	}
	return c
}

func (c *calls) round() {
	c.now += 200 * time.Millisecond
	for pool, o := range c.a.Round(c.pools, c.caps, 1, c.now) {
		if pool == c.silent {
			continue
		}
		c.owners[pool].Apply(o, c.now)
		r := c.owners[pool].Report(!o.Give, c.now)
		r.Known, r.Uses = true, c.uses[pool]
		if c.confirmedAt > 0 {
			r.ConfirmedFor = c.now - c.confirmedAt
		}
		_ = c.a.Report(pool, r, c.now, c.now)
	}
}

func (c *calls) rounds(n int) {
	for range n {
		c.round()
	}
}

func (c *calls) grant(pool string) int64 {
	g, _ := c.owners[pool].Grant("c", c.now)
	return g[CPU]
}

func waits(used, waiting, unit int64, wait time.Duration, heldUp bool) map[string]Use {
	return map[string]Use{"c": {Used: Amount{used}, Waiting: Amount{waiting}, Unit: Amount{unit}, Wait: wait, HeldUp: heldUp}}
}

// TestDivision guards against room that the customer cannot use: where nothing waits, where tasks wait for machines, and in
// parts that are too small for a gang.
func TestDivision(t *testing.T) {
	c := newCalls(10, "a", "b", "c", "d", "e")
	c.rounds(3)
	if c.grant("a") != 2 || c.grant("e") != 2 {
		t.Errorf("idle pools have %d and %d, want a fifth each", c.grant("a"), c.grant("e"))
	}
	c.uses["a"] = waits(0, 50, 1, 300*time.Millisecond, true)
	c.rounds(3)
	if c.grant("a") != 10 {
		t.Errorf("granted %d two rounds after the one with the report, want what lies idle elsewhere", c.grant("a"))
	}
	c.uses["a"] = waits(0, 50, 1, 300*time.Millisecond, false)
	c.uses["b"] = waits(0, 50, 1, 100*time.Millisecond, true)
	c.rounds(3)
	if c.grant("a") != 1 || c.grant("b") != 9 {
		t.Errorf("granted %d where tasks wait for machines and %d where they do not, want 1 and 9", c.grant("a"), c.grant("b"))
	}

	c = newCalls(10, "a", "b")
	c.uses["a"] = waits(0, 8, 8, 500*time.Millisecond, true)
	c.uses["b"] = waits(0, 8, 8, 400*time.Millisecond, true)
	c.rounds(4)
	if c.grant("a") < 8 {
		t.Errorf("two gangs of 8 got %d and %d, want 8 for the one that waits longer", c.grant("a"), c.grant("b"))
	}
	// The gang gets its room although small tasks elsewhere could take each part that becomes free.
	c.uses["a"] = waits(0, 8, 8, 1500*time.Millisecond, true)
	c.uses["b"] = waits(6, 90, 1, 100*time.Millisecond, true)
	c.rounds(4)
	if c.grant("b") != 2 {
		t.Errorf("granted %d where small tasks run, want 2 beside a gang of 8", c.grant("b"))
	}
}

// TestLoweredCap guards against starts while what runs is above a lowered cap.
func TestLoweredCap(t *testing.T) {
	c := newCalls(20, "a", "b")
	c.uses["a"] = waits(8, 50, 1, time.Second/2, true)
	c.uses["b"] = c.uses["a"]
	c.rounds(4)
	c.caps["c"] = Limits(Amount{10})
	c.rounds(3)
	if c.grant("a") > 2 || c.grant("b") > 2 {
		t.Errorf("granted %d and %d while 16 of 10 are in use", c.grant("a"), c.grant("b"))
	}
	c.uses["a"] = waits(1, 50, 1, time.Second/2, true)
	c.rounds(3)
	if c.grant("a") != 2 {
		t.Errorf("granted %d beside 8 of 10 in use, want 2", c.grant("a"))
	}
}

// TestNewAllocator guards against a new allocator that gives away what the earlier one has granted: to a pool that does not
// answer, or to a new owner of which the pool's replaced owner, that still answers, knows nothing.
func TestNewAllocator(t *testing.T) {
	const membership = 1500 * time.Millisecond
	c := newCalls(10, "a", "b")
	c.uses["a"] = waits(0, 50, 1, time.Second/2, true)
	c.rounds(4)
	c.a = New(3, membership, c.now)
	begun := c.now
	c.confirmedAt = begun + membership // just before the earlier allocator has certainly ended
	c.uses["b"] = waits(0, 50, 1, time.Second/2, true)
	for c.now < begun+2*membership {
		c.round()
		if c.grant("a") < 9 || c.grant("b") > 1 {
			t.Fatalf("%v after the takeover: granted %d and %d, want the earlier grants", c.now-begun, c.grant("a"), c.grant("b"))
		}
	}
	c.rounds(4)
	if c.grant("b") < 4 {
		t.Errorf("granted %d after all pools have answered", c.grant("b"))
	}
	if err := c.a.Report("a", Report{Epoch: 4, Owner: 1, Clock: time.Hour}, 0, 0); !errors.Is(err, ErrReplaced) {
		t.Errorf("error %v, want that the allocator was replaced", err)
	}

	c = newCalls(10, "a", "b")
	c.a = New(3, membership, 0)
	for c.grant("a") == 0 && c.now < time.Minute {
		c.round()
	}
	if c.now < membership || c.now > 2*time.Second {
		t.Errorf("granted %v after the takeover to owners that are confirmed all the time, want right after the earlier allocator's end", c.now)
	}

	c = newCalls(10, "a", "b")
	c.a, c.silent = New(3, membership, 0), "b"
	for c.grant("a") == 0 && c.now < time.Minute {
		c.round()
	}
	if c.now < 6500*time.Millisecond || c.now > 7200*time.Millisecond {
		t.Errorf("granted %v after the takeover beside a pool without an answer, want the lapse of its grants", c.now)
	}
}

// BenchmarkRound measures a round of the allocator over five pools in which each customer runs and waits.
func BenchmarkRound(b *testing.B) {
	for _, customers := range []int{20, 2000} {
		b.Run(fmt.Sprintf("customers=%d", customers), func(b *testing.B) {
			c := newCalls(1, "a", "b", "c", "d", "e")
			for i := range customers {
				id := fmt.Sprint(i)
				c.caps[id] = Limits(Amount{64000, 100000, 0})
				for _, p := range c.pools {
					c.uses[p][id] = Use{Used: Amount{4000, 100}, Waiting: Amount{64000, 1600}, Unit: Amount{1000, 100}, Wait: time.Duration(i), HeldUp: true}
				}
			}
			for b.Loop() {
				c.round()
			}
		})
	}
}
