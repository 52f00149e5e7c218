package routing

import (
	"math/rand/v2"
	"time"
)

// MaxCandidates limits the candidates of one decision. It exceeds the current number of backend servers of a service (8
// to 12), so that no free slot is overlooked, and keeps the cost of a decision constant up to 10,000 workers.
const MaxCandidates = 16

const (
	// maxCandidatesLargeSet limits the candidates when there are more than MaxCandidates servers. Among so many, a random
	// choice rarely finds only servers without a free slot; the limit keeps a decision below 2 µs.
	maxCandidatesLargeSet = 8
	// maxSampleAttempts limits the random draws for a server that is not yet in the list.
	maxSampleAttempts = 4
	// maxScanSteps limits the servers visited by the scan that completes a short list.
	maxScanSteps = 4 * MaxCandidates
	// maxPenalty limits the load added by failures. It equals the number of slots of a worker.
	maxPenalty = 8
	// penaltyDecayPerSecond is the rate at which the load added by failures decreases.
	penaltyDecayPerSecond = 1.0
)

// Server is the state of one backend server in a BackendSet.
type Server struct {
	Backend

	group       *group
	index       int // index in group.servers, -1 when it is in no group
	outstanding int
	penalty     float64
	penaltyAt   time.Time
	slowStartAt time.Time
	health      health
	probe       Probe
	removed     bool   // no longer in the table, kept until its requests in flight end
	round       uint64 // last call of Choose that excluded or listed the server
}

// group holds the servers in the node's own availability zone, or all others. The first active entries are not ejected.
type group struct {
	servers []*Server
	active  int
}

// BackendSet holds the backend servers of one service and chooses among them. It is not safe for concurrent use.
type BackendSet struct {
	zone        string
	rng         *rand.Rand
	byVM        map[string]*Server
	local       group
	remote      group
	ejected     []*Server
	nextRestore time.Time // earliest end of an ejection
	round       uint64    // number of the current call of Choose
}

// NewBackendSet returns an empty set for an entry node in zone. rng is the set's only source of randomness.
func NewBackendSet(zone string, rng *rand.Rand) *BackendSet {
	return &BackendSet{zone: zone, rng: rng, byVM: make(map[string]*Server)}
}

// Update replaces the backend servers. Unchanged servers keep their state. A server added to a non-empty set begins in
// slow start. Servers added to an empty set do not, because no other server could take the load.
func (s *BackendSet) Update(now time.Time, backends []Backend) {
	wasEmpty := s.Len() == 0
	keep := make(map[string]bool, len(backends))
	for _, b := range backends {
		keep[b.VM] = true
		old := s.byVM[b.VM]
		if old != nil && !old.removed && old.Backend == b {
			continue
		}
		sv := &Server{Backend: b, index: -1}
		if old != nil {
			// The existing entry is reused, so that requests in flight stay counted on the VM.
			s.removeFromGroup(old)
			old.Backend = b
			old.removed = false
			old.health = health{}
			old.probe = ProbeUnknown
			sv = old
		}
		if !wasEmpty {
			sv.slowStartAt = now
		}
		s.byVM[b.VM] = sv
		s.addToGroup(sv)
	}
	for vm, sv := range s.byVM {
		if !keep[vm] {
			s.retire(sv)
		}
	}
}

// Len returns the number of servers in the set, including ejected ones but not those that are leaving.
func (s *BackendSet) Len() int { return len(s.local.servers) + len(s.remote.servers) }

// Start counts a new request on vm. It returns nil if vm may not receive new requests.
func (s *BackendSet) Start(vm string) *Server {
	sv := s.byVM[vm]
	if sv == nil || sv.index < 0 {
		return nil
	}
	sv.outstanding++
	return sv
}

// Outstanding returns the number of requests in flight on vm, also if vm has left the table.
func (s *BackendSet) Outstanding(vm string) int {
	if sv := s.byVM[vm]; sv != nil {
		return sv.outstanding
	}
	return 0
}

// Done records the outcome of a request counted by Start.
func (s *BackendSet) Done(now time.Time, sv *Server, o Outcome) {
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
	if sv.health.observe(now, o, sv.probe) && sv.index >= 0 {
		s.eject(now, sv)
	}
}

// Choose appends up to MaxCandidates VM names to dst in order of preference. Each candidate is the least loaded of up to
// two random servers in the node's own availability zone and up to two in other zones; on equal load the own zone is
// preferred. VMs in exclude are left out.
func (s *BackendSet) Choose(now time.Time, dst []string, exclude ...string) []string {
	s.restoreEjected(now)
	s.round++
	for _, vm := range exclude {
		if sv := s.byVM[vm]; sv != nil {
			sv.round = s.round
		}
	}
	includeEjected := s.ignoreEjections()
	localCount, remoteCount := s.local.selectableCount(includeEjected), s.remote.selectableCount(includeEjected)
	want := localCount + remoteCount
	if want > MaxCandidates {
		want = maxCandidatesLargeSet
	}
	start := len(dst)
	for len(dst)-start < want {
		sv := s.pickServer(now, localCount, remoteCount)
		if sv == nil {
			break
		}
		sv.round = s.round
		dst = append(dst, sv.VM)
	}
	return s.fillByScan(now, dst, start, want, localCount, remoteCount)
}

// fillByScan completes a list that random choices left short, by scanning from a random position. Servers in slow start
// are added only if the list would otherwise be empty.
func (s *BackendSet) fillByScan(now time.Time, dst []string, start, want, localCount, remoteCount int) []string {
	for _, slow := range []bool{false, true} {
		if slow && len(dst) > start {
			break
		}
		total := localCount + remoteCount
		if total == 0 {
			break
		}
		offset := s.rng.IntN(total)
		for i := 0; i < min(total, maxScanSteps) && len(dst)-start < want; i++ {
			sv := s.serverAt((offset+i)%total, localCount)
			if sv.round == s.round || (!slow && sv.slowStartWeight(now) < 1) {
				continue
			}
			sv.round = s.round
			dst = append(dst, sv.VM)
		}
	}
	return dst
}

// serverAt returns the server at index i of the local servers followed by the remote ones.
func (s *BackendSet) serverAt(i, localCount int) *Server {
	if i < localCount {
		return s.local.servers[i]
	}
	return s.remote.servers[i-localCount]
}

// pickServer returns the less loaded of a local and a remote server, the local one on equal load. It returns nil if no
// server was found.
func (s *BackendSet) pickServer(now time.Time, localCount, remoteCount int) *Server {
	a := s.pickTwoChoices(now, &s.local, localCount)
	b := s.pickTwoChoices(now, &s.remote, remoteCount)
	if a == nil {
		return b
	}
	if b == nil || a.load(now) <= b.load(now) {
		return a
	}
	return b
}

// pickTwoChoices returns the less loaded of two random servers among the first n of g (power of two choices).
func (s *BackendSet) pickTwoChoices(now time.Time, g *group, n int) *Server {
	if n == 0 {
		return nil
	}
	a := s.sampleServer(now, g, n)
	if a == nil || n == 1 {
		return a
	}
	b := s.sampleServer(now, g, n)
	if b != nil && b.load(now) < a.load(now) {
		return b
	}
	return a
}

// sampleServer draws a random server that is not yet in the list. It skips a server in slow start with a probability that
// falls as its weight rises.
func (s *BackendSet) sampleServer(now time.Time, g *group, n int) *Server {
	for range maxSampleAttempts {
		sv := g.servers[s.rng.IntN(n)]
		if sv.round == s.round {
			continue
		}
		if w := sv.slowStartWeight(now); w < 1 && s.rng.Float64() >= w {
			continue
		}
		return sv
	}
	return nil
}

// load returns the requests in flight plus the penalty for recent failures.
func (sv *Server) load(now time.Time) float64 {
	return float64(sv.outstanding) + sv.currentPenalty(now)
}

func (sv *Server) currentPenalty(now time.Time) float64 {
	if sv.penalty == 0 {
		return 0
	}
	return max(0, sv.penalty-now.Sub(sv.penaltyAt).Seconds()*penaltyDecayPerSecond)
}

// slowStartWeight returns the fraction of its normal traffic that sv receives, 1 outside slow start.
func (sv *Server) slowStartWeight(now time.Time) float64 {
	if sv.slowStartAt.IsZero() {
		return 1
	}
	age := now.Sub(sv.slowStartAt)
	if age >= SlowStartDuration {
		sv.slowStartAt = time.Time{}
		return 1
	}
	return max(minSlowStartWeight, float64(age)/float64(SlowStartDuration))
}

// selectableCount returns the number of servers that may be chosen.
func (g *group) selectableCount(includeEjected bool) int {
	if includeEjected {
		return len(g.servers)
	}
	return g.active
}

func (g *group) swap(i, j int) {
	g.servers[i], g.servers[j] = g.servers[j], g.servers[i]
	g.servers[i].index = i
	g.servers[j].index = j
}

func (s *BackendSet) addToGroup(sv *Server) {
	g := &s.remote
	if sv.Zone == s.zone {
		g = &s.local
	}
	sv.group = g
	sv.index = len(g.servers)
	g.servers = append(g.servers, sv)
	g.swap(sv.index, g.active)
	g.active++
}

// removeFromGroup removes sv from its group, so that it receives no new requests.
func (s *BackendSet) removeFromGroup(sv *Server) {
	if sv.index < 0 {
		return
	}
	g := sv.group
	if sv.health.ejected {
		s.removeEjected(sv)
	} else {
		g.active--
		g.swap(sv.index, g.active)
	}
	last := len(g.servers) - 1
	g.swap(sv.index, last)
	g.servers[last] = nil
	g.servers = g.servers[:last]
	sv.index = -1
	sv.health.ejected = false
}

// retire removes a server that has left the table. Its entry is kept until its last request in flight has ended.
func (s *BackendSet) retire(sv *Server) {
	s.removeFromGroup(sv)
	sv.removed = true
	if sv.outstanding == 0 {
		delete(s.byVM, sv.VM)
	}
}
