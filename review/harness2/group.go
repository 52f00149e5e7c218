package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"
)

const jobsTopic = "keyed.jobs"

// groupMember is a member of the nodes' group.
type groupMember struct {
	lastSeen   time.Time
	ttl        time.Duration
	generation int64 // that the member sent with its last join
}

// group is the store's group of the nodes. Partitions stay with their members as long as the distribution is even.
type group struct {
	mu         sync.Mutex
	generation int64
	members    map[string]*groupMember
	owners     [shardCount]string
}

func newGroup() *group { return &group{members: make(map[string]*groupMember)} }

type joinBody struct {
	Member     string `json:"memberId"`
	TTLMs      int64  `json:"ttlMs"`
	Generation int64  `json:"generation"`
}

func (g *group) join(w http.ResponseWriter, r *http.Request) {
	var body joinBody
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.members[body.Member] == nil {
		g.members[body.Member] = &groupMember{}
		g.generation++
	}
	*g.members[body.Member] = groupMember{
		lastSeen: time.Now(), ttl: time.Duration(body.TTLMs) * time.Millisecond, generation: body.Generation,
	}
	g.distribute()
	parts := [][]any{}
	for part, owner := range g.owners {
		if owner == body.Member {
			parts = append(parts, []any{jobsTopic, part, 0})
		}
	}
	writeJSON(w, http.StatusOK, map[string]any{"generation": g.generation, "ttlMs": body.TTLMs, "parts": parts})
}

func (g *group) leave(w http.ResponseWriter, r *http.Request) {
	var body joinBody
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.members, body.Member)
	g.generation++
	g.distribute()
	w.WriteHeader(http.StatusOK)
}

func (g *group) list(w http.ResponseWriter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	parts := [][]any{}
	for part, owner := range g.owners {
		if owner != "" {
			parts = append(parts, []any{jobsTopic, part, owner, 0})
		}
	}
	writeJSON(w, http.StatusOK, map[string]any{"parts": parts})
}

// counts returns the number of partitions of each member, and the member with the fewest.
func (g *group) counts() (counts map[string]int, fewest string) {
	counts = make(map[string]int)
	for _, owner := range g.owners {
		counts[owner]++
	}
	for _, name := range g.names() {
		if fewest == "" || counts[name] < counts[fewest] {
			fewest = name
		}
	}
	return counts, fewest
}

// distribute removes members that were silent for their TTL, gives their partitions to others, and moves partitions from
// members that know the present generation until the distribution is even.
func (g *group) distribute() {
	for name, m := range g.members {
		if time.Since(m.lastSeen) > m.ttl {
			delete(g.members, name)
			g.generation++
		}
	}
	for part, owner := range g.owners {
		if g.members[owner] == nil {
			g.owners[part] = ""
			_, fewest := g.counts()
			g.owners[part] = fewest
		}
	}
	for part, owner := range g.owners {
		counts, fewest := g.counts()
		if fewest != "" && counts[owner] > counts[fewest]+1 && g.members[owner].generation >= g.generation {
			g.owners[part] = fewest
		}
	}
}

func (g *group) names() []string {
	names := make([]string, 0, len(g.members))
	for name := range g.members {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// rebalance reassigns all partitions at once, without a request of a member.
func (g *group) rebalance() {
	g.mu.Lock()
	defer g.mu.Unlock()
	names := g.names()
	if len(names) == 0 {
		return
	}
	g.generation++
	for part, owner := range g.owners {
		g.owners[part] = names[(slices.Index(names, owner)+1)%len(names)]
	}
}
