package routing

import "time"

const (
	// SlowStartDuration is the time over which the traffic of a new or restored server rises to its normal share.
	SlowStartDuration = 10 * time.Second
	// minSlowStartWeight is the minimum share of normal traffic in slow start. Without it, a server would receive no
	// requests at first and could not prove that it works.
	minSlowStartWeight = 0.05

	ejectAfterConsecutiveFailures = 5
	failureWindowSeconds          = 10
	minWindowRequests             = 20
	baseEjectionTime              = 5 * time.Second
	maxEjectionTime               = 60 * time.Second
	// ejectionResetAfter is the time without an ejection after which the ejection time restarts at baseEjectionTime.
	ejectionResetAfter = 2 * maxEjectionTime
)

// Outcome is the result of a request sent to a backend server.
type Outcome uint8

// The outcomes of a request.
const (
	OutcomeOK      Outcome = 1 // complete response with a status below 500
	OutcomeFailed  Outcome = 2 // dial failed, connection broken, invalid response, or status 500 and above
	OutcomeTimeout Outcome = 3 // no complete response before the deadline
	OutcomeUnused  Outcome = 4 // nothing was sent
)

// Probe is the result of the last health probe of a backend server. Each probe uses a new connection.
type Probe uint8

// The results of a probe.
const (
	ProbeUnknown Probe = 0
	ProbeAlive   Probe = 1
	ProbeFailed  Probe = 2
	ProbeLeaving Probe = 3 // the server announces that it is shutting down
)

// outcomeBucket counts the outcomes of one second.
type outcomeBucket struct {
	second int64
	total  uint32
	failed uint32
}

// health is the failure history and ejection state of one server.
type health struct {
	consecutiveFailures int
	window              [failureWindowSeconds]outcomeBucket
	ejected             bool
	ejectedUntil        time.Time
	ejectionCount       int
}

// observe records an outcome and reports whether the server should be ejected. A timeout counts as a failure only if the
// last probe failed too: a server that answers probes is slow, not dead.
func (h *health) observe(now time.Time, o Outcome, p Probe) bool {
	failed := o == OutcomeFailed || (o == OutcomeTimeout && p == ProbeFailed)
	if !failed && o != OutcomeOK {
		return false
	}
	sec := now.Unix()
	b := &h.window[uint64(sec)%failureWindowSeconds]
	if b.second != sec {
		*b = outcomeBucket{second: sec}
	}
	b.total++
	if !failed {
		h.consecutiveFailures = 0
		return false
	}
	b.failed++
	h.consecutiveFailures++
	return h.consecutiveFailures >= ejectAfterConsecutiveFailures || h.failureRateExceeded(sec)
}

// failureRateExceeded reports whether over half of the requests in the window failed. It returns false with fewer than
// minWindowRequests requests.
func (h *health) failureRateExceeded(sec int64) bool {
	var total, failed uint32
	for i := range h.window {
		if sec-h.window[i].second < failureWindowSeconds {
			total += h.window[i].total
			failed += h.window[i].failed
		}
	}
	return total >= minWindowRequests && failed*2 > total
}

// SetProbe records the result of a probe of vm. A leaving server receives no new requests until a later probe reports
// another result.
func (s *BackendSet) SetProbe(now time.Time, vm string, p Probe) {
	sv := s.byVM[vm]
	if sv == nil || sv.removed {
		return
	}
	previous := sv.probe
	sv.probe = p
	if p == ProbeLeaving {
		s.removeFromGroup(sv)
		return
	}
	if sv.index < 0 {
		sv.slowStartAt = now
		s.addToGroup(sv)
	}
	switch {
	case p == ProbeFailed && !sv.health.ejected:
		s.eject(now, sv)
	case p == ProbeAlive && previous == ProbeFailed && sv.health.ejected:
		sv.health.ejectedUntil = now
		s.nextRestore = now
		s.restoreEjected(now)
	}
}

// eject stops new requests to sv for baseEjectionTime. Each repetition doubles the time, up to maxEjectionTime.
func (s *BackendSet) eject(now time.Time, sv *Server) {
	h := &sv.health
	if h.ejected {
		return
	}
	if now.Sub(h.ejectedUntil) > ejectionResetAfter {
		h.ejectionCount = 0
	}
	d := min(baseEjectionTime<<min(h.ejectionCount, 10), maxEjectionTime)
	h.ejectionCount++
	h.ejected = true
	h.ejectedUntil = now.Add(d)
	h.consecutiveFailures = 0
	h.window = [failureWindowSeconds]outcomeBucket{}
	sv.group.active--
	sv.group.swap(sv.index, sv.group.active)
	s.ejected = append(s.ejected, sv)
	if len(s.ejected) == 1 || h.ejectedUntil.Before(s.nextRestore) {
		s.nextRestore = h.ejectedUntil
	}
}

// restoreEjected restores the servers whose ejection time has passed and puts them into slow start. A server whose last
// probe failed stays ejected.
func (s *BackendSet) restoreEjected(now time.Time) {
	if len(s.ejected) == 0 || now.Before(s.nextRestore) {
		return
	}
	remaining := s.ejected[:0]
	for _, sv := range s.ejected {
		if sv.probe == ProbeFailed {
			sv.health.ejectedUntil = laterOf(sv.health.ejectedUntil, now.Add(baseEjectionTime))
		}
		if now.Before(sv.health.ejectedUntil) {
			if len(remaining) == 0 || sv.health.ejectedUntil.Before(s.nextRestore) {
				s.nextRestore = sv.health.ejectedUntil
			}
			remaining = append(remaining, sv)
			continue
		}
		sv.health.ejected = false
		sv.slowStartAt = now
		g := sv.group
		g.swap(sv.index, g.active)
		g.active++
	}
	clear(s.ejected[len(remaining):])
	s.ejected = remaining
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (s *BackendSet) removeEjected(sv *Server) {
	for i, e := range s.ejected {
		if e == sv {
			s.ejected = append(s.ejected[:i], s.ejected[i+1:]...)
			return
		}
	}
}

// ignoreEjections reports whether over half of the servers are ejected. The cause is then probably not the servers, and
// leaving the ejected ones out would overload the others.
func (s *BackendSet) ignoreEjections() bool { return len(s.ejected)*2 > s.Len() }

// Ejected reports whether vm is ejected.
func (s *BackendSet) Ejected(vm string) bool {
	sv := s.byVM[vm]
	return sv != nil && sv.health.ejected
}
