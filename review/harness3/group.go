package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/berylwharf/berylwharf/platform/standin"
)

// storeFront serves the store's groups itself and leaves the other calls to the project's stand-in of the store. Unlike that
// stand-in, it keeps the partitions where a new deal has put them.
type storeFront struct {
	store  *standin.Store
	record *record

	mu         sync.Mutex
	topic      string
	generation int64
	members    map[string]*member
	owners     [storeParts]string
	offset     int // the member in name order that gets partition 0
	// dealAfter is the partition after whose owner's next join all partitions are dealt anew; -1 if none is due.
	dealAfter int
}

type member struct {
	lastJoin   time.Time
	ttl        time.Duration
	generation int64 // named in the last join
}

func newStoreFront(store *standin.Store, r *record) *storeFront {
	return &storeFront{store: store, record: r, members: make(map[string]*member), dealAfter: -1}
}

// ServeHTTP implements http.Handler.
func (s *storeFront) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	switch strings.TrimPrefix(r.URL.Path, "/berylwharf/log-") {
	case "join":
		s.join(rw, r)
	case "leave":
		s.leave(rw, r)
	case "owners":
		s.listOwners(rw)
	default:
		s.store.ServeHTTP(rw, r)
	}
}

type joinCall struct {
	MemberID   string   `json:"memberId"`
	Topics     []string `json:"topics"`
	TTLMs      int64    `json:"ttlMs"`
	Generation int64    `json:"generation"`
}

func answer(rw http.ResponseWriter, body any) {
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(body)
}

func (s *storeFront) join(rw http.ResponseWriter, r *http.Request) {
	var c joinCall
	if json.NewDecoder(r.Body).Decode(&c) != nil || len(c.Topics) != 1 {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic = c.Topics[0]
	s.expire()
	m := s.members[c.MemberID]
	if m == nil {
		m = &member{}
		s.members[c.MemberID] = m
		s.generation++
	}
	m.lastJoin, m.ttl, m.generation = time.Now(), time.Duration(c.TTLMs)*time.Millisecond, c.Generation
	s.assign()
	parts := [][]any{}
	for part, owner := range s.owners {
		if owner == c.MemberID {
			parts = append(parts, []any{s.topic, part, 0})
		}
	}
	answer(rw, map[string]any{"generation": s.generation, "parts": parts})
	if s.dealAfter >= 0 && s.owners[s.dealAfter] == c.MemberID {
		part := s.dealAfter
		s.dealAfter = -1
		s.deal(part)
	}
}

func (s *storeFront) leave(rw http.ResponseWriter, r *http.Request) {
	var c joinCall
	if json.NewDecoder(r.Body).Decode(&c) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.members[c.MemberID] != nil {
		delete(s.members, c.MemberID)
		s.generation++
	}
	s.assign()
	answer(rw, map[string]any{})
}

func (s *storeFront) listOwners(rw http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	parts := [][]any{}
	for part, owner := range s.owners {
		if owner != "" {
			parts = append(parts, []any{s.topic, part, owner, 0})
		}
	}
	answer(rw, map[string]any{"parts": parts})
}

// expire removes the members that have sent nothing for their TTL. The caller holds s.mu.
func (s *storeFront) expire() {
	for name, m := range s.members {
		if time.Since(m.lastJoin) > m.ttl {
			delete(s.members, name)
			s.generation++
		}
	}
}

// target returns the member that a partition belongs to. The caller holds s.mu.
func (s *storeFront) target(part int) string {
	names := make([]string, 0, len(s.members))
	for name := range s.members {
		names = append(names, name)
	}
	if len(names) == 0 {
		return ""
	}
	slices.Sort(names)
	return names[(part+s.offset)%len(names)]
}

// assign moves the partitions whose member has left, has expired or knows the generation. The caller holds s.mu.
func (s *storeFront) assign() {
	for part, owner := range s.owners {
		if m := s.members[owner]; m == nil || m.generation >= s.generation {
			s.owners[part] = s.target(part)
		}
	}
}

// deal reassigns all partitions at once, without any request. A partition gets the member, other than its current one, that has not
// joined for the longest time, and the others follow in turn. The caller holds s.mu.
func (s *storeFront) deal(part int) {
	best, first := 0, s.offset
	for i := range len(s.members) {
		s.offset = first + i
		candidate := s.members[s.target(part)]
		if s.target(part) == s.owners[part] {
			continue
		}
		s.offset = first + best
		if best == 0 || candidate.lastJoin.Before(s.members[s.target(part)].lastJoin) {
			best = i
		}
	}
	s.offset = first + best
	s.generation++
	for i := range s.owners {
		s.owners[i] = s.target(i)
	}
	s.record.add("the store deals all partitions anew")
}

// dealAfterJoin makes the store deal all partitions anew right after the next join of the member that has a partition.
func (s *storeFront) dealAfterJoin(part int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dealAfter = part
}

// partitionOf returns the partition in which a node keeps the jobs of a pool.
func partitionOf(pool string) int { return int(xxhash.Sum64String(pool) % storeParts) }
