package routing

import "time"

const (
	// SlowStart is the time over which a new or returning server's share rises to normal.
	SlowStart = 10 * time.Second
	// slowStartFloor is the least share in slow start; without it a server would never show that it works.
	slowStartFloor = 0.05

	failuresInARow = 5
	windowSeconds  = 10
	windowRequests = 20
	ejectFirst     = 5 * time.Second
	ejectMax       = 60 * time.Second
	// ejectForget is the time without an ejection after which the ejection time starts at ejectFirst again.
	ejectForget = 2 * ejectMax
)

// Outcome tells how a request on a backend server ended.
type Outcome uint8

// The outcomes of a request.
const (
	OutcomeOK      Outcome = 1 // complete answer below 500
	OutcomeFailed  Outcome = 2 // dial failed, connection broken, invalid answer, or status 500 and above
	OutcomeTimeout Outcome = 3 // no complete answer before the deadline
	OutcomeUnused  Outcome = 4 // nothing was sent
)

// Probe is the result of the last probe of a backend server on a new connection.
type Probe uint8

// The results of a probe.
const (
	ProbeUnknown Probe = 0
	ProbeAlive   Probe = 1
	ProbeDead    Probe = 2
	ProbeLeaving Probe = 3 // the server announces that it stops
)

type bucket struct {
	second int64
	total  uint32
	failed uint32
}

// health counts the failures of one server.
type health struct {
	inARow       int
	window       [windowSeconds]bucket
	ejected      bool
	ejectedUntil time.Time
	ejections    int
}

// observe counts an outcome and reports whether the server should be ejected. A timeout counts as a failure only when
// the last probe failed too: a server that answers probes is slow, not dead.
func (h *health) observe(now time.Time, o Outcome, p Probe) bool {
	failed := o == OutcomeFailed || (o == OutcomeTimeout && p == ProbeDead)
	if !failed && o != OutcomeOK {
		return false
	}
	sec := now.Unix()
	b := &h.window[uint64(sec)%windowSeconds]
	if b.second != sec {
		*b = bucket{second: sec}
	}
	b.total++
	if !failed {
		h.inARow = 0
		return false
	}
	b.failed++
	h.inARow++
	return h.inARow >= failuresInARow || h.mostlyFailed(sec)
}

func (h *health) mostlyFailed(sec int64) bool {
	var total, failed uint32
	for i := range h.window {
		if sec-h.window[i].second < windowSeconds {
			total += h.window[i].total
			failed += h.window[i].failed
		}
	}
	return total >= windowRequests && failed*2 > total
}

// SetProbe records the result of a probe of vm.
func (s *Set) SetProbe(now time.Time, vm string, p Probe) {
	sv := s.byVM[vm]
	if sv == nil || sv.removed {
		return
	}
	was := sv.probe
	sv.probe = p
	if p == ProbeLeaving {
		s.remove(sv)
		return
	}
	if sv.pos < 0 {
		sv.slowFrom = now
		s.insert(sv)
	}
	switch {
	case p == ProbeDead && !sv.health.ejected:
		s.eject(now, sv)
	case p == ProbeAlive && was == ProbeDead && sv.health.ejected:
		sv.health.ejectedUntil = now
		s.nextReturn = now
		s.returnEjected(now)
	}
}

// eject stops new work on sv for 5 s, doubling to 60 s on each repetition.
func (s *Set) eject(now time.Time, sv *Server) {
	h := &sv.health
	if h.ejected {
		return
	}
	if now.Sub(h.ejectedUntil) > ejectForget {
		h.ejections = 0
	}
	d := min(ejectFirst<<min(h.ejections, 10), ejectMax)
	h.ejections++
	h.ejected = true
	h.ejectedUntil = now.Add(d)
	h.inARow = 0
	h.window = [windowSeconds]bucket{}
	sv.group.active--
	sv.group.swap(sv.pos, sv.group.active)
	s.ejected = append(s.ejected, sv)
	if len(s.ejected) == 1 || h.ejectedUntil.Before(s.nextReturn) {
		s.nextReturn = h.ejectedUntil
	}
}

// returnEjected brings back the servers whose ejection has ended, in slow start. A server whose probes fail stays out.
func (s *Set) returnEjected(now time.Time) {
	if len(s.ejected) == 0 || now.Before(s.nextReturn) {
		return
	}
	rest := s.ejected[:0]
	for _, sv := range s.ejected {
		if sv.probe == ProbeDead {
			sv.health.ejectedUntil = later(sv.health.ejectedUntil, now.Add(ejectFirst))
		}
		if now.Before(sv.health.ejectedUntil) {
			if len(rest) == 0 || sv.health.ejectedUntil.Before(s.nextReturn) {
				s.nextReturn = sv.health.ejectedUntil
			}
			rest = append(rest, sv)
			continue
		}
		sv.health.ejected = false
		sv.slowFrom = now
		g := sv.group
		g.swap(sv.pos, g.active)
		g.active++
	}
	clear(s.ejected[len(rest):])
	s.ejected = rest
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (s *Set) dropEjected(sv *Server) {
	for i, e := range s.ejected {
		if e == sv {
			s.ejected = append(s.ejected[:i], s.ejected[i+1:]...)
			return
		}
	}
}

// detectorIgnored reports whether over half of the servers look bad. The cause is then likely elsewhere, and ejecting
// them would leave the rest with more than they can take.
func (s *Set) detectorIgnored() bool { return len(s.ejected)*2 > s.Len() }

// Ejected reports whether vm is ejected.
func (s *Set) Ejected(vm string) bool {
	sv := s.byVM[vm]
	return sv != nil && sv.health.ejected
}
