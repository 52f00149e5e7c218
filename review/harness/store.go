package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/berylwharf/berylwharf/platform/standin"
)

const (
	// storeParts is the number of partitions of each topic ("parts" in the settings).
	storeParts = 32
	jobsTopic  = "keyed.jobs"
	opTopic    = "keyed.op"
	// serversTopic holds the workers' entries.
	serversTopic = "keyed.servers"
)

// groupMember is a member of the consumer group.
type groupMember struct {
	lastJoin   time.Time
	ttl        time.Duration
	generation int64 // sent with the last join
}

// store is the platform's metadata store. The log calls are served by the project's own stand-in. Groups are served here, so
// that a partition stays with its member until the members change, and so that all partitions can be reassigned at once.
type store struct {
	log    *standin.Store
	record *recorder

	mu         sync.Mutex
	answerTime time.Duration // time that each answer takes
	down       bool          // answers all calls with 503
	generation int64
	members    map[string]*groupMember
	owners     map[int]string // current member by partition
	targets    map[int]string // member that gets the partition when its owner knows the current generation
	// onJoin, if set, is called with the lock held at each join of a known member, before the answer is made.
	onJoin func(member string)
}

func newStore(r *recorder) *store {
	return &store{
		log: standin.NewStore(storeParts), record: r, members: make(map[string]*groupMember),
		owners: make(map[int]string), targets: make(map[int]string),
	}
}

// setAnswerTime sets how long the store takes for each answer.
func (s *store) setAnswerTime(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answerTime = d
	s.record.add("store", "each answer takes %v", d)
}

// setDown sets whether the store answers every call with 503.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.record.add("store", "down: %v", down)
}

// ServeHTTP implements http.Handler. Half of the answer time passes before a call is executed, half after it.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	delay, down := s.answerTime/2, s.down
	s.mu.Unlock()
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(delay)
	answer := &bufferedAnswer{header: make(http.Header), status: http.StatusOK}
	switch {
	case strings.HasSuffix(r.URL.Path, "/log-join"):
		s.join(answer, r)
	case strings.HasSuffix(r.URL.Path, "/log-leave"):
		s.leave(answer, r)
	case strings.HasSuffix(r.URL.Path, "/log-owners"):
		s.listOwners(answer)
	default:
		s.log.ServeHTTP(answer, r)
		s.recordClaim(r, answer.status)
	}
	time.Sleep(delay)
	answer.send(w)
}

// recordClaim records the answer to a conditional append, with which a node claims a shard.
func (s *store) recordClaim(r *http.Request, status int) {
	q := r.URL.Query()
	if q.Get("at") == "" {
		return
	}
	s.record.add("store", "conditional append to partition %s at %s, epoch %s, seq %s, from %s: status %d",
		q.Get("part"), q.Get("at"), q.Get("epoch"), q.Get("seq"), r.RemoteAddr, status)
}

// bufferedAnswer keeps an answer until it is sent.
type bufferedAnswer struct {
	header http.Header
	status int
	body   []byte
}

func (a *bufferedAnswer) Header() http.Header    { return a.header }
func (a *bufferedAnswer) WriteHeader(status int) { a.status = status }

func (a *bufferedAnswer) Write(b []byte) (int, error) {
	a.body = append(a.body, b...)
	return len(b), nil
}

func (a *bufferedAnswer) send(w http.ResponseWriter) {
	for k, v := range a.header {
		w.Header()[k] = v
	}
	w.WriteHeader(a.status)
	// An error means that the caller is gone.
	_, _ = w.Write(a.body)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the caller is gone.
	_ = json.NewEncoder(w).Encode(v)
}

type joinCall struct {
	Member     string `json:"memberId"`
	TTLMs      int64  `json:"ttlMs"`
	Generation int64  `json:"generation"`
}

func (s *store) join(w http.ResponseWriter, r *http.Request) {
	var call joinCall
	if json.NewDecoder(r.Body).Decode(&call) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeSilent()
	m := s.members[call.Member]
	if m == nil {
		m = &groupMember{}
		s.members[call.Member] = m
		s.distribute()
	}
	m.lastJoin, m.ttl, m.generation = time.Now(), time.Duration(call.TTLMs)*time.Millisecond, call.Generation
	s.transfer()
	if s.onJoin != nil {
		s.onJoin(call.Member)
	}
	rows := [][]any{}
	for part := range storeParts {
		if s.owners[part] == call.Member {
			rows = append(rows, []any{jobsTopic, part, 0})
		}
	}
	writeJSON(w, http.StatusOK, map[string]any{"generation": s.generation, "parts": rows})
}

func (s *store) leave(w http.ResponseWriter, r *http.Request) {
	var call joinCall
	if json.NewDecoder(r.Body).Decode(&call) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.members[call.Member] != nil {
		delete(s.members, call.Member)
		s.distribute()
		s.transfer()
	}
	w.WriteHeader(http.StatusOK)
}

func (s *store) listOwners(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeSilent()
	rows := [][]any{}
	for part, member := range s.owners {
		rows = append(rows, []any{jobsTopic, part, member, 0})
	}
	writeJSON(w, http.StatusOK, map[string]any{"parts": rows})
}

// removeSilent removes the members that have not joined within their TTL.
func (s *store) removeSilent() {
	removed := false
	for name, m := range s.members {
		if time.Since(m.lastJoin) > m.ttl {
			delete(s.members, name)
			removed = true
		}
	}
	if removed {
		s.distribute()
		s.transfer()
	}
}

// ownerOf returns the member that owns a partition.
func (s *store) ownerOf(part int) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.owners[part]
}

func (s *store) memberNames() []string {
	names := make([]string, 0, len(s.members))
	for name := range s.members {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// distribute starts a generation in which the partitions are distributed evenly. As many as possible keep their owner.
func (s *store) distribute() {
	s.generation++
	names := s.memberNames()
	if len(names) == 0 {
		clear(s.owners)
		clear(s.targets)
		return
	}
	held := make(map[string]int)
	var free []int
	for part := range storeParts {
		owner := s.owners[part]
		if s.members[owner] == nil || held[owner] >= (storeParts+len(names)-1)/len(names) {
			free = append(free, part)
			continue
		}
		held[owner]++
		s.targets[part] = owner
	}
	for _, part := range free {
		least := slices.MinFunc(names, func(a, b string) int { return held[a] - held[b] })
		held[least]++
		s.targets[part] = least
	}
}

// transfer gives partitions to their targets where the owner is gone or knows the current generation.
func (s *store) transfer() {
	for part, target := range s.targets {
		owner := s.members[s.owners[part]]
		if owner == nil || owner.generation >= s.generation {
			s.owners[part] = target
		}
	}
}

// nextName returns the member that follows a member in the order of names.
func (s *store) nextName(name string) string {
	names := s.memberNames()
	return names[(slices.Index(names, name)+1)%len(names)]
}

// reassign reassigns all partitions at once, without asking their owners. Each partition goes from its member to the one that
// is as many places further in the order of names, so that the distribution stays even, and the given partition to the
// given member.
func (s *store) reassign(part int, to string) {
	names := s.memberNames()
	owner := s.owners[part]
	shift := slices.Index(names, to) - slices.Index(names, owner) + len(names)
	s.generation++
	for p, name := range s.owners {
		s.owners[p] = names[(slices.Index(names, name)+shift)%len(names)]
		s.targets[p] = s.owners[p]
	}
	s.record.add("store", "all partitions reassigned; partition %d: %s -> %s", part, owner, s.owners[part])
}
