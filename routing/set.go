package routing

import (
	"math/rand/v2"
	"time"
)

// MaxCandidates bounds the candidates of one decision. It covers all backend servers of a service at today's size (8 to
// 12), so that no free slot is overlooked, and keeps the decision flat at 10,000 workers.
const MaxCandidates = 16

const (
	// largeCandidates bounds the candidates among more than MaxCandidates servers, where a random choice rarely meets full
	// servers only; it keeps the decision below 2 µs.
	largeCandidates = 8
	// sampleTries bounds the attempts to find a server that is not yet in the list.
	sampleTries = 4
	// fillSteps bounds the scan that completes a short list.
	fillSteps = 4 * MaxCandidates
	// maxPenalty bounds the load that failures add; it equals the slots of a worker.
	maxPenalty = 8
	// penaltyPerSecond is the rate at which the load added by failures decays.
	penaltyPerSecond = 1.0
)

// Server is the state of one backend server in a Set.
type Server struct {
	Backend

	group       *group
	pos         int // index in group.servers, -1 when it is in no group
	outstanding int
	penalty     float64
	penaltyAt   time.Time
	slowFrom    time.Time
	health      health
	probe       Probe
	removed     bool
	stamp       uint64
}

// group holds the servers of one locality. The first active entries are not ejected.
type group struct {
	servers []*Server
	active  int
}

// Set holds the backend servers of one service and chooses among them. It is not safe for concurrent use.
type Set struct {
	zone       string
	rnd        *rand.Rand
	byVM       map[string]*Server
	local      group
	remote     group
	ejected    []*Server
	nextReturn time.Time
	stamp      uint64
}

// NewSet returns an empty set for an entry node in zone. rnd is the only source of randomness.
func NewSet(zone string, rnd *rand.Rand) *Set {
	return &Set{zone: zone, rnd: rnd, byVM: make(map[string]*Server)}
}

// Update replaces the backend servers. Servers that stay keep their state. A server that joins a running set gets slow
// start; the servers of the first table do not, because nobody else could take the load.
func (s *Set) Update(now time.Time, backends []Backend) {
	first := s.Len() == 0
	keep := make(map[string]bool, len(backends))
	for _, b := range backends {
		keep[b.VM] = true
		old := s.byVM[b.VM]
		if old != nil && !old.removed && old.Backend == b {
			continue
		}
		sv := &Server{Backend: b, pos: -1}
		if old != nil {
			// Requests in flight stay counted against the VM.
			s.remove(old)
			old.Backend = b
			old.removed = false
			old.health = health{}
			old.probe = ProbeUnknown
			sv = old
		}
		if !first {
			sv.slowFrom = now
		}
		s.byVM[b.VM] = sv
		s.insert(sv)
	}
	for vm, sv := range s.byVM {
		if !keep[vm] {
			s.retire(sv)
		}
	}
}

// Len returns the number of servers that may get new work.
func (s *Set) Len() int { return len(s.local.servers) + len(s.remote.servers) }

// Start counts a new request on vm. It returns nil when vm may not get new work.
func (s *Set) Start(vm string) *Server {
	sv := s.byVM[vm]
	if sv == nil || sv.pos < 0 {
		return nil
	}
	sv.outstanding++
	return sv
}

// Outstanding returns the requests in flight on vm, including one that has left the table.
func (s *Set) Outstanding(vm string) int {
	if sv := s.byVM[vm]; sv != nil {
		return sv.outstanding
	}
	return 0
}

// Done ends a request that Start counted.
func (s *Set) Done(now time.Time, sv *Server, o Outcome) {
	sv.outstanding--
	if sv.removed {
		if sv.outstanding == 0 && s.byVM[sv.VM] == sv {
			delete(s.byVM, sv.VM)
		}
		return
	}
	if o == OutcomeFailed {
		sv.penalty = min(sv.currentPenalty(now)+1, maxPenalty)
		sv.penaltyAt = now
	}
	if sv.health.observe(now, o, sv.probe) && sv.pos >= 0 {
		s.eject(now, sv)
	}
}

// Choose appends up to MaxCandidates VM names to dst in order of preference. Each is the better of random choices; on
// equal load a server in the node's own availability zone is preferred. VMs in exclude are left out.
func (s *Set) Choose(now time.Time, dst []string, exclude ...string) []string {
	s.returnEjected(now)
	s.stamp++
	for _, vm := range exclude {
		if sv := s.byVM[vm]; sv != nil {
			sv.stamp = s.stamp
		}
	}
	ignore := s.detectorIgnored()
	nl, nr := s.local.size(ignore), s.remote.size(ignore)
	want := nl + nr
	if want > MaxCandidates {
		want = largeCandidates
	}
	start := len(dst)
	for len(dst)-start < want {
		sv := s.pick(now, nl, nr)
		if sv == nil {
			break
		}
		sv.stamp = s.stamp
		dst = append(dst, sv.VM)
	}
	return s.fill(now, dst, start, want, nl, nr)
}

// fill completes a list that random choices left short. Servers in slow start are used only when there is no other.
func (s *Set) fill(now time.Time, dst []string, start, want, nl, nr int) []string {
	for _, slow := range []bool{false, true} {
		if slow && len(dst) > start {
			break
		}
		total := nl + nr
		if total == 0 {
			break
		}
		at := s.rnd.IntN(total)
		for i := 0; i < min(total, fillSteps) && len(dst)-start < want; i++ {
			sv := s.at((at+i)%total, nl)
			if sv.stamp == s.stamp || (!slow && sv.slowWeight(now) < 1) {
				continue
			}
			sv.stamp = s.stamp
			dst = append(dst, sv.VM)
		}
	}
	return dst
}

func (s *Set) at(i, nl int) *Server {
	if i < nl {
		return s.local.servers[i]
	}
	return s.remote.servers[i-nl]
}

func (s *Set) pick(now time.Time, nl, nr int) *Server {
	a := s.pickTwo(now, &s.local, nl)
	b := s.pickTwo(now, &s.remote, nr)
	if a == nil {
		return b
	}
	if b == nil || a.load(now) <= b.load(now) {
		return a
	}
	return b
}

// pickTwo returns the less loaded of two random servers among the first n of g.
func (s *Set) pickTwo(now time.Time, g *group, n int) *Server {
	if n == 0 {
		return nil
	}
	a := s.sample(now, g, n)
	if a == nil || n == 1 {
		return a
	}
	b := s.sample(now, g, n)
	if b != nil && b.load(now) < a.load(now) {
		return b
	}
	return a
}

func (s *Set) sample(now time.Time, g *group, n int) *Server {
	for range sampleTries {
		sv := g.servers[s.rnd.IntN(n)]
		if sv.stamp == s.stamp {
			continue
		}
		if w := sv.slowWeight(now); w < 1 && s.rnd.Float64() >= w {
			continue
		}
		return sv
	}
	return nil
}

func (sv *Server) load(now time.Time) float64 {
	return float64(sv.outstanding) + sv.currentPenalty(now)
}

func (sv *Server) currentPenalty(now time.Time) float64 {
	if sv.penalty == 0 {
		return 0
	}
	return max(0, sv.penalty-now.Sub(sv.penaltyAt).Seconds()*penaltyPerSecond)
}

// slowWeight returns the share of its normal traffic that a server in slow start gets.
func (sv *Server) slowWeight(now time.Time) float64 {
	if sv.slowFrom.IsZero() {
		return 1
	}
	age := now.Sub(sv.slowFrom)
	if age >= SlowStart {
		sv.slowFrom = time.Time{}
		return 1
	}
	return max(slowStartFloor, float64(age)/float64(SlowStart))
}

func (g *group) size(all bool) int {
	if all {
		return len(g.servers)
	}
	return g.active
}

func (g *group) swap(i, j int) {
	g.servers[i], g.servers[j] = g.servers[j], g.servers[i]
	g.servers[i].pos = i
	g.servers[j].pos = j
}

func (s *Set) insert(sv *Server) {
	g := &s.remote
	if sv.Zone == s.zone {
		g = &s.local
	}
	sv.group = g
	sv.pos = len(g.servers)
	g.servers = append(g.servers, sv)
	g.swap(sv.pos, g.active)
	g.active++
}

// remove takes sv out of its group.
func (s *Set) remove(sv *Server) {
	if sv.pos < 0 {
		return
	}
	g := sv.group
	if sv.health.ejected {
		s.dropEjected(sv)
	} else {
		g.active--
		g.swap(sv.pos, g.active)
	}
	last := len(g.servers) - 1
	g.swap(sv.pos, last)
	g.servers[last] = nil
	g.servers = g.servers[:last]
	sv.pos = -1
	sv.health.ejected = false
}

func (s *Set) retire(sv *Server) {
	s.remove(sv)
	sv.removed = true
	if sv.outstanding == 0 {
		delete(s.byVM, sv.VM)
	}
}
