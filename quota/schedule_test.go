package quota

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"
)

const (
	testStep       = 20 * time.Millisecond
	testFaults     = 40 * time.Second // faults end then
	testEnd        = 60 * time.Second
	testCustomers  = 3
	testMembership = 1500 * time.Millisecond // how long a replaced owner goes on
)

// testRun is a run in a pool, which counts from the order of its start, or a unit that waits since then.
type testRun struct {
	size       Amount
	customer   int
	since, end time.Duration
	owner      int64                   // that ordered it
	learnedAt  map[int64]time.Duration // when a later owner learns it
}

// testOwner is one owner of a pool; a replaced one may go on until its membership ends.
type testOwner struct {
	ledger              *Ledger
	epoch               int64
	from, until, origin time.Duration // when it acts, and the origin of its clock
	replaced            time.Duration // when it was replaced
}

type testPool struct {
	owners    []*testOwner
	runs      []testRun
	waiting   [testCustomers][]testRun
	cut, calm time.Duration // calls are lost, and no further fault begins, until then
}

type testAllocator struct {
	*Allocator
	until, origin, next time.Duration
}

// testSystem plays a seeded schedule of faults against the allocators and ledgers.
type testSystem struct {
	*rand.Rand
	t      *testing.T
	now    time.Duration
	pools  [4]*testPool
	alloc  []*testAllocator // the last one is the newest
	caps   map[string]Amount
	past   map[time.Duration]map[string]Amount // earlier caps, by their end
	later  map[time.Duration][]func()          // delayed messages
	starts int
}

func name(customer int) string { return fmt.Sprint("c", customer) }

func (s *testSystem) chance(p float64) bool { return s.Float64() < p }

func (s *testSystem) upTo(d time.Duration) time.Duration { return time.Duration(s.Int63n(int64(d))) }

// used returns what an owner knows to run, and whether it knows all runs.
func (s *testSystem) used(p *testPool, o *testOwner, customer int) (used Amount, known bool) {
	known = true
	for _, r := range p.runs {
		learned := r.owner == o.epoch || s.now >= max(r.learnedAt[o.epoch], o.from)
		known = known && (learned || r.owner > o.epoch)
		if r.customer == customer && learned {
			used = used.Add(r.size)
		}
	}
	for _, earlier := range p.owners {
		known = known && (earlier.epoch >= o.epoch || s.now >= earlier.until)
	}
	return used, known
}

// answer is the pool's part of a call.
func (s *testSystem) answer(p *testPool, o *testOwner, offer Offer) Report {
	clock := o.origin + s.now
	uses := make(map[string]Use)
	for c := range testCustomers {
		u := Use{}
		u.Used, _ = s.used(p, o, c)
		for _, w := range p.waiting[c] {
			u.Waiting = u.Waiting.Add(w.size)
		}
		if len(p.waiting[c]) > 0 {
			grant, _ := o.ledger.Grant(name(c), clock)
			u.Unit, u.Wait = p.waiting[c][0].size, s.now-p.waiting[c][0].since
			u.HeldUp = !u.Unit.Fits(grant.Sub(u.Used))
		}
		uses[name(c)] = u
	}
	why := o.ledger.Apply(offer, clock)
	r := o.ledger.Report(!offer.Give || why != "", clock)
	_, r.Known = s.used(p, o, 0)
	r.ConfirmedFor = s.now - min(s.now, o.replaced) + s.upTo(450*time.Millisecond)
	r.Uses = uses
	return r
}

func (s *testSystem) round(a *testAllocator) {
	faulty := s.now < testFaults
	clock := a.origin + s.now
	names := []string{"p0", "p1", "p2", "p3"}
	offers := a.Round(names, s.caps, 1, clock)
	for i, pool := range names {
		p, offer := s.pools[i], offers[pool]
		deliver := func(reply bool) {
			owners := slices.DeleteFunc(slices.Clone(p.owners), func(o *testOwner) bool { return s.now < o.from || s.now >= o.until })
			if len(owners) == 0 {
				return
			}
			r := s.answer(p, owners[s.Intn(len(owners))], offer)
			if reply && s.now < a.until && a.Report(pool, r, clock, a.origin+s.now) != nil {
				a.until = s.now
			}
		}
		if s.now >= p.cut && (!faulty || s.chance(0.9)) {
			deliver(!faulty || s.chance(0.9))
		} else if s.chance(0.5) { // late, and its answer is lost
			at := (s.now + s.upTo(6*time.Second)).Truncate(testStep)
			s.later[at] = append(s.later[at], func() { deliver(false) })
		}
	}
}

// faults draws the faults of one step. A pool that is out of reach for longer than the grants last is not counted by a new
// allocator, so no fault of a pool begins soon after another one.
func (s *testSystem) faults() {
	if newest := s.alloc[len(s.alloc)-1]; s.chance(0.001) && newest.until == testEnd {
		newest.until = s.now + s.upTo(testMembership)
		s.newAllocator(s.now + s.upTo(testMembership))
	}
	for _, p := range s.pools {
		if last := p.owners[len(p.owners)-1]; s.now < p.calm {
			continue
		} else if s.chance(0.001) {
			p.cut = min(testFaults, s.now+s.upTo(4*time.Second))
			p.calm = p.cut + 2*time.Second
		} else if s.chance(0.001) {
			last.until, last.replaced = s.now+s.upTo(testMembership), s.now
			s.newOwner(p, s.now+s.upTo(2*time.Second))
			p.calm = s.now + 4*time.Second
			for i := range p.runs {
				p.runs[i].learnedAt[last.epoch+1] = s.now + s.upTo(5*time.Second)
			}
		}
	}
	if s.chance(0.003) {
		s.past[s.now] = s.caps
		s.caps = make(map[string]Amount)
		for c := range testCustomers {
			s.caps[name(c)] = Limits(Amount{int64(4000 + s.Intn(4)*6000), 0, 0})
		}
	}
}

func (s *testSystem) newOwner(p *testPool, from time.Duration) {
	epoch := int64(len(p.owners) + 1)
	p.owners = append(p.owners, &testOwner{ledger: NewLedger(epoch), epoch: epoch, from: from, until: testEnd, replaced: testEnd, origin: s.upTo(time.Hour)})
}

func (s *testSystem) newAllocator(from time.Duration) {
	origin := s.upTo(time.Hour)
	a := New(int64(len(s.alloc)+1), testMembership, origin+s.now)
	s.alloc = append(s.alloc, &testAllocator{Allocator: a, until: testEnd, origin: origin, next: from})
}

// work lets tasks arrive, start and end. After the faults the customers use a quarter of their caps on average.
func (s *testSystem) work() {
	for _, p := range s.pools {
		p.runs = slices.DeleteFunc(p.runs, func(r testRun) bool { return s.now >= r.end })
		for c := range testCustomers {
			rate, size := 0.2, Amount{int64(1000 * (1 + s.Intn(4))), 10, 0}
			if limit := s.caps[name(c)][CPU]; s.now >= testFaults {
				size[CPU] = min(size[CPU], limit/4)
				rate = 0.25 * float64(limit) / 2500 / 4 * testStep.Seconds() / 0.6
			}
			if s.now == testFaults {
				p.waiting[c] = nil // the callers have given up
			}
			if s.chance(rate) && len(p.waiting[c]) < 50 {
				p.waiting[c] = append(p.waiting[c], testRun{size: size, customer: c, since: s.now})
			}
			for _, o := range p.owners {
				s.start(p, o, c)
			}
			if s.now > testFaults+12*time.Second && len(p.waiting[c]) > 0 && s.now-p.waiting[c][0].since > 3*time.Second {
				s.t.Fatalf("%v: customer %d waits for more than 3 s in calm operation", s.now, c)
			}
		}
	}
}

func (s *testSystem) start(p *testPool, o *testOwner, c int) {
	for len(p.waiting[c]) > 0 && s.now >= o.from && s.now < o.until {
		used, _ := s.used(p, o, c)
		r := p.waiting[c][0]
		if grant, _ := o.ledger.Grant(name(c), o.origin+s.now); !used.Add(r.size).Fits(grant) {
			return
		}
		p.waiting[c] = p.waiting[c][1:]
		r.owner, r.learnedAt = o.epoch, map[int64]time.Duration{o.epoch + 1: s.now + s.upTo(5*time.Second)}
		r.end = s.now + 200*time.Millisecond + s.upTo(800*time.Millisecond)
		if s.now < testFaults && s.chance(0.1) {
			r.end += s.upTo(10 * time.Second)
		}
		p.runs = append(p.runs, r)
		s.starts++
		s.checkBound(c)
	}
}

// checkBound compares what runs with the greatest cap that may be in force.
func (s *testSystem) checkBound(c int) {
	limit := s.caps[name(c)]
	for end, caps := range s.past {
		if s.now-end < 9*time.Second {
			limit = limit.Max(caps[name(c)])
		}
	}
	var sum Amount
	for _, p := range s.pools {
		for _, r := range p.runs {
			if r.customer == c {
				sum = sum.Add(r.size)
			}
		}
	}
	if !sum.Fits(limit) {
		s.t.Fatalf("%v: customer %d has %v running, the cap is %v", s.now, c, sum, limit)
	}
}

// TestSeededSchedules guards against a customer that runs more than its cap in all pools together while allocators and owners
// are cut off or replaced, and against customers that starve once the faults have ended.
func TestSeededSchedules(t *testing.T) {
	for seed := range int64(100) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := &testSystem{t: t, Rand: rand.New(rand.NewSource(seed)), later: map[time.Duration][]func(){}, past: map[time.Duration]map[string]Amount{}}
			s.caps = map[string]Amount{"c0": Limits(Amount{16000}), "c1": Limits(Amount{10000}), "c2": Limits(Amount{4000})}
			for i := range s.pools {
				s.pools[i] = &testPool{}
				s.newOwner(s.pools[i], 0)
			}
			s.newAllocator(0)
			s.alloc[0].SkipLearning()
			for ; s.now < testEnd; s.now += testStep {
				if s.now < testFaults {
					s.faults()
				}
				for _, f := range s.later[s.now] {
					f()
				}
				for _, a := range s.alloc {
					if s.now >= a.next && s.now < a.until {
						a.next = s.now + 200*time.Millisecond
						s.round(a)
					}
				}
				s.work()
			}
			if s.starts < 150 {
				t.Errorf("%d starts, which is too few for a test", s.starts)
			}
		})
	}
}
