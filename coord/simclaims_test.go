package coord

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/berylwharf/berylwharf/claims"
)

// simKey is a request identifier and the actual state of its attempts.
type simKey struct {
	key        claims.Key
	firstSent  bool // the first attempt has been made
	mayHaveRun bool // an attempt was granted and has not ended as not-run
	active     *simAttempt
	trace      []string
}

// simAttempt is an attempt in progress at its dispatching node. The simulation drives it in the same way as Coord.
type simAttempt struct {
	k           *simKey
	req         claims.Request
	attempt     *claims.Attempt
	awaitedHome string
	asked       []string
	sentAt      time.Time
	startedAt   time.Time
	granted     bool
}

type simReply struct {
	seq   uint64
	home  string
	reply claims.Reply
}

// newKey creates an identifier. If it contains a time, the clock it comes from differs from the clock of the nodes by
// at most the permitted skew.
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

// startAttempt starts an attempt at a node: the first attempt under a key, or a later one.
func (s *sim) startAttempt(p *simProcess) {
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
	a := &simAttempt{k: k, startedAt: s.now}
	a.req = claims.Request{
		Key: k.key, First: !k.firstSent,
		Attempt: claims.AttemptID{Node: p.name, Incarnation: p.incarnation, Seq: s.nextID},
	}
	k.firstSent = true
	if k.key.InFuture(s.now) {
		return
	}
	p.attempts[s.nextID] = a
	s.askHomes(p, a)
}

// askHomes starts the attempt over with the home nodes of the current epoch.
func (s *sim) askHomes(p *simProcess, a *simAttempt) {
	a.attempt, a.awaitedHome = nil, ""
	a.sentAt = s.now
	if !p.history.Member() {
		return
	}
	set := p.history.Current()
	first, second := set.KeyHomes(a.req.Key.Hash())
	a.req.Epoch = set.Epoch
	a.attempt = claims.NewAttempt(a.req.Key, a.req.First, first, second)
	s.askNextHome(p, a)
}

func (s *sim) askNextHome(p *simProcess, a *simAttempt) {
	for {
		home := a.attempt.Next()
		if home == "" {
			s.handleDecision(p, a)
			return
		}
		a.awaitedHome, a.sentAt = home, s.now
		if home != p.name {
			s.transmit(p, s.findLive(home), a.req)
			return
		}
		r := s.claimAsHome(p, p, a.req)
		if r.Status == claims.StatusStale {
			a.attempt, a.awaitedHome = nil, ""
			return
		}
		a.attempt.HandleReply(r)
	}
}

// claimAsHome answers a claim request at a home node in the same way as Coord.decideAsHome.
func (s *sim) claimAsHome(p, from *simProcess, r claims.Request) claims.Reply {
	set := p.history.Current()
	if set == nil || !p.history.Member() || !set.Has(from.name, from.incarnation) || set.Epoch != r.Epoch {
		return claims.Reply{Status: claims.StatusStale}
	}
	cov := coverage(p.history, r.Key)
	reply := p.table.Claim(r, cov, s.now)
	for _, k := range s.keys {
		if k.key == r.Key {
			s.tracef(k, "home %s/%d epoch %d asked by %s/%d seq %d first %v: cov %v -> %+v", p.name, p.incarnation, r.Epoch, from.name, from.incarnation, r.Attempt.Seq, r.First, cov, reply)
		}
	}
	return reply
}

func (s *sim) handleReply(p *simProcess, m simReply) {
	a := p.attempts[m.seq]
	if a != nil {
		s.tracef(a.k, "%s/%d reply for %d from %s: %+v", p.name, p.incarnation, m.seq, m.home, m.reply)
	}
	if a == nil || a.granted || a.awaitedHome != m.home || a.attempt == nil {
		return
	}
	if m.reply.Status == claims.StatusStale {
		a.asked = appendMissing(a.asked, a.attempt.Asked())
		a.attempt, a.awaitedHome = nil, ""
		return
	}
	a.attempt.HandleReply(m.reply)
	s.askNextHome(p, a)
}

// tickAttempts handles timeouts of the attempts of a process and ends some of the granted ones.
func (s *sim) tickAttempts(p *simProcess) {
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
				s.finishAttempt(p, a)
				delete(p.attempts, id)
			}
		case s.now.Sub(a.startedAt) > claimTimeout:
			if a.attempt != nil {
				a.asked = appendMissing(a.asked, append(a.attempt.Asked(), a.awaitedHome))
			}
			s.sendOutcome(p, a, claims.Outcome{Key: a.req.Key, Attempt: a.req.Attempt})
			delete(p.attempts, id)
		case a.attempt == nil:
			s.askHomes(p, a)
		case s.now.Sub(a.sentAt) > homeCallTimeout:
			a.attempt.HandleUnreachable()
			s.askNextHome(p, a)
		}
	}
}

func (s *sim) handleDecision(p *simProcess, a *simAttempt) {
	d, _ := a.attempt.Decision()
	s.results[d.Result]++
	a.asked = appendMissing(a.asked, a.attempt.Asked())
	if d.Result == claims.ResultUncovered && a.req.First {
		s.failf("a first attempt was refused as uncovered, a result that only later attempts may get")
	}
	if d.Result != claims.ResultGranted {
		s.sendOutcome(p, a, claims.Outcome{Key: a.req.Key, Attempt: a.req.Attempt})
		delete(p.attempts, a.req.Attempt.Seq)
		return
	}
	first, second := p.history.Current().KeyHomes(a.req.Key.Hash())
	a.asked = appendMissing(a.asked, nonEmpty(first, second))
	if a.k.mayHaveRun {
		s.failf("key %s was granted at %s (first attempt: %v) while an earlier attempt ran or may run\n%s",
			a.k.key.ID, p.name, a.req.First, strings.Join(a.k.trace, "\n"))
	}
	s.tracef(a.k, "%s/%d granted %d", p.name, p.incarnation, a.req.Attempt.Seq)
	a.granted = true
	a.k.mayHaveRun = true
	a.k.active = a
}

// finishAttempt ends a granted attempt with a random outcome.
func (s *sim) finishAttempt(p *simProcess, a *simAttempt) {
	d := claims.Outcome{Key: a.req.Key, Attempt: a.req.Attempt}
	switch n := s.rng.IntN(10); {
	case n < 4:
		d.Phase = claims.PhaseNotRun
		a.k.mayHaveRun = false
	case n < 8:
		d.Phase = claims.PhaseDone
		d.Response = &claims.StoredResponse{Status: 200}
	default:
		d.Phase = claims.PhaseUnknown
	}
	s.tracef(a.k, "%s/%d finish %d phase %d to %v", p.name, p.incarnation, a.req.Attempt.Seq, d.Phase, a.asked)
	s.sendOutcome(p, a, d)
}

// tracef appends an event to the trace of a key, which is printed if the schedule fails.
func (s *sim) tracef(k *simKey, format string, args ...any) {
	k.trace = append(k.trace, s.now.Format("05.000 ")+fmt.Sprintf(format, args...))
}

func (s *sim) sendOutcome(p *simProcess, a *simAttempt, d claims.Outcome) {
	for _, home := range a.asked {
		if home == p.name {
			p.table.Finish(d, s.now)
		} else {
			s.transmit(p, s.findLive(home), d)
		}
	}
}
