package coord

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/berylwharf/berylwharf/claims"
)

// simKey is a request identifier with the truth about its attempts.
type simKey struct {
	key    claims.Key
	first  bool // the first attempt was sent
	ran    bool // an attempt was granted and did not end as not-run
	active *simAttempt
	trace  []string
}

// simAttempt is an attempt in progress at its dispatching node, driven as Coord does it.
type simAttempt struct {
	k       *simKey
	req     claims.Request
	try     *claims.Attempt
	asking  string
	asked   []string
	sent    time.Time
	started time.Time
	granted bool
}

type simReply struct {
	seq   uint64
	home  string
	reply claims.Reply
}

// newKey makes an identifier. Its time is that of a clock that differs from the nodes' by at most the permitted skew.
func (s *sim) newKey() *simKey {
	id := fmt.Sprintf("key-%d", s.rng.Uint64())
	if s.chance(80) {
		ms := s.now.Add(time.Duration(s.rng.IntN(3999)-2000) * time.Millisecond).UnixMilli()
		var u uuid.UUID
		for i := range 6 {
			u[i] = byte(ms >> (40 - 8*i))
		}
		for i := 6; i < 16; i++ {
			u[i] = byte(s.rng.Uint32())
		}
		u[6] = u[6]&0x0f | 0x70
		u[8] = u[8]&0x3f | 0x80
		id = u.String()
	}
	k := &simKey{key: claims.Key{Service: "s", ID: id}}
	s.keys = append(s.keys, k)
	return k
}

// attempt starts an attempt at a node: the first under a new key, or a later one.
func (s *sim) attempt(p *proc) {
	if p.paused || p.leaving {
		return
	}
	k := (*simKey)(nil)
	if len(s.keys) == 0 || s.chance(30) {
		k = s.newKey()
	} else {
		k = s.keys[max(0, len(s.keys)-1-s.rng.IntN(6))]
	}
	s.nextID++
	a := &simAttempt{k: k, started: s.now}
	a.req = claims.Request{
		Key: k.key, First: !k.first,
		Attempt: claims.AttemptID{Node: p.name, Incarnation: p.inc, Seq: s.nextID},
	}
	k.first = true
	if k.key.InFuture(s.now) {
		return
	}
	p.attempts[s.nextID] = a
	s.begin(p, a)
}

// begin asks the home nodes of the present epoch from the start.
func (s *sim) begin(p *proc, a *simAttempt) {
	a.try, a.asking = nil, ""
	a.sent = s.now
	if !p.history.Member() {
		return
	}
	set := p.history.Current()
	first, second := set.KeyHomes(a.req.Key.Hash())
	a.req.Epoch = set.Epoch
	a.try = claims.NewAttempt(a.req.Key, a.req.First, first, second)
	s.next(p, a)
}

func (s *sim) next(p *proc, a *simAttempt) {
	for {
		home := a.try.Next()
		if home == "" {
			s.decided(p, a)
			return
		}
		a.asking, a.sent = home, s.now
		if home != p.name {
			s.post(p, s.find(home), a.req)
			return
		}
		r := s.answer(p, p, a.req)
		if r.Status == claims.StatusStale {
			a.try, a.asking = nil, ""
			return
		}
		a.try.Reply(r)
	}
}

// answer decides as a home node, as Coord.claim does.
func (s *sim) answer(p, from *proc, r claims.Request) claims.Reply {
	set := p.history.Current()
	if set == nil || !p.history.Member() || !set.Has(from.name, from.inc) || set.Epoch != r.Epoch {
		return claims.Reply{Status: claims.StatusStale}
	}
	cov := coverage(p.history, r.Key)
	reply := p.table.Claim(r, cov, s.now)
	for _, k := range s.keys {
		if k.key == r.Key {
			s.note(k, "home %s/%d epoch %d asked by %s/%d seq %d first %v: cov %v -> %+v", p.name, p.inc, r.Epoch, from.name, from.inc, r.Attempt.Seq, r.First, cov, reply)
		}
	}
	return reply
}

func (s *sim) replied(p *proc, m simReply) {
	a := p.attempts[m.seq]
	if a != nil {
		s.note(a.k, "%s/%d reply for %d from %s: %+v", p.name, p.inc, m.seq, m.home, m.reply)
	}
	if a == nil || a.granted || a.asking != m.home || a.try == nil {
		return
	}
	if m.reply.Status == claims.StatusStale {
		a.asked = union(a.asked, a.try.Asked())
		a.try, a.asking = nil, ""
		return
	}
	a.try.Reply(m.reply)
	s.next(p, a)
}

// tickAttempts handles the timeouts of attempts, and the ends of granted ones.
func (s *sim) tickAttempts(p *proc) {
	ids := make([]uint64, 0, len(p.attempts))
	for id := range p.attempts {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		a := p.attempts[id]
		switch {
		case a.granted:
			if s.chance(15) {
				s.finish(p, a)
				delete(p.attempts, id)
			}
		case s.now.Sub(a.started) > claimTimeout:
			if a.try != nil {
				a.asked = union(a.asked, append(a.try.Asked(), a.asking))
			}
			s.send(p, a, claims.Done{Key: a.req.Key, Attempt: a.req.Attempt})
			delete(p.attempts, id)
		case a.try == nil:
			s.begin(p, a)
		case s.now.Sub(a.sent) > askTimeout:
			a.try.Unreachable()
			s.next(p, a)
		}
	}
}

func (s *sim) decided(p *proc, a *simAttempt) {
	d, _ := a.try.Decision()
	s.results[d.Result]++
	a.asked = union(a.asked, a.try.Asked())
	if d.Result == claims.ResultUncovered && a.req.First {
		s.failf("a first attempt was refused as uncovered, which is not-run for no one")
	}
	if d.Result != claims.ResultGranted {
		s.send(p, a, claims.Done{Key: a.req.Key, Attempt: a.req.Attempt})
		delete(p.attempts, a.req.Attempt.Seq)
		return
	}
	first, second := p.history.Current().KeyHomes(a.req.Key.Hash())
	a.asked = union(a.asked, nonEmpty(first, second))
	if a.k.ran {
		s.failf("key %s was granted at %s (first attempt: %v) while an earlier attempt ran or may run\n%s",
			a.k.key.ID, p.name, a.req.First, strings.Join(a.k.trace, "\n"))
	}
	s.note(a.k, "%s/%d granted %d", p.name, p.inc, a.req.Attempt.Seq)
	a.granted = true
	a.k.ran = true
	a.k.active = a
}

// finish ends a granted attempt.
func (s *sim) finish(p *proc, a *simAttempt) {
	d := claims.Done{Key: a.req.Key, Attempt: a.req.Attempt}
	switch n := s.rng.IntN(10); {
	case n < 4:
		d.Phase = claims.PhaseNotRun
		a.k.ran = false
	case n < 8:
		d.Phase = claims.PhaseDone
		d.Answer = &claims.Answer{Status: 200}
	default:
		d.Phase = claims.PhaseUnknown
	}
	s.note(a.k, "%s/%d finish %d phase %d to %v", p.name, p.inc, a.req.Attempt.Seq, d.Phase, a.asked)
	s.send(p, a, d)
}

// note records what happened to a key, for the report of a failing schedule.
func (s *sim) note(k *simKey, format string, args ...any) {
	k.trace = append(k.trace, s.now.Format("05.000 ")+fmt.Sprintf(format, args...))
}

func (s *sim) send(p *proc, a *simAttempt, d claims.Done) {
	for _, home := range a.asked {
		if home == p.name {
			p.table.Finish(d, s.now)
		} else {
			s.post(p, s.find(home), d)
		}
	}
}
