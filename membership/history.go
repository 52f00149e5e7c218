package membership

import (
	"time"
)

// maxEpochs bounds the epochs that are remembered. Forgetting an old epoch only makes coverage start later.
const maxEpochs = 64

// epoch is one observed epoch of the region.
type epoch struct {
	set *Set
	// gap states that epochs between this one and the one before it may have been missed.
	gap bool
	// coveredAt is when this node first knew that every member was at or beyond the epoch; zero while unknown.
	coveredAt time.Time
}

// contact is what is known of one incarnation of a peer.
type contact struct {
	incarnation uint64
	epoch       uint64
	heard       time.Time
	released    bool
}

// History records the epochs of one region as one incarnation of one node observed them, and which epochs the other
// members acknowledged.
type History struct {
	node        string
	incarnation uint64
	epochs      []epoch // oldest first
	contacts    map[string]contact
}

// NewHistory returns an empty history for one incarnation of a node.
func NewHistory(node string, incarnation uint64) *History {
	return &History{node: node, incarnation: incarnation, contacts: make(map[string]contact)}
}

// Current returns the newest set, or nil before the first.
func (h *History) Current() *Set {
	if len(h.epochs) == 0 {
		return nil
	}
	return h.epochs[len(h.epochs)-1].set
}

// Member tells whether this incarnation is a member at the newest epoch.
func (h *History) Member() bool {
	s := h.Current()
	return s != nil && s.Has(h.node, h.incarnation)
}

// Observe records a set. It returns false for an epoch that is not newer than the newest one.
func (h *History) Observe(s *Set, now time.Time) bool {
	cur := h.Current()
	if cur != nil && s.Epoch <= cur.Epoch {
		return false
	}
	e := epoch{set: s, gap: cur == nil || !cur.single(s)}
	h.epochs = append(h.epochs, e)
	if len(h.epochs) > maxEpochs {
		h.epochs = append(h.epochs[:0:0], h.epochs[len(h.epochs)-maxEpochs:]...)
		h.epochs[0].gap = true
	}
	h.update(now)
	return true
}

// SetIncarnation changes the incarnation of this node before it joins again. The epochs of the older incarnation do not
// count for the new one.
func (h *History) SetIncarnation(incarnation uint64) {
	h.incarnation = incarnation
}

// Gap tells whether epochs just before the newest one may have been missed.
func (h *History) Gap() bool {
	return len(h.epochs) == 0 || h.epochs[len(h.epochs)-1].gap
}

// Acknowledge records that an incarnation of a node stated to be at an epoch. Released states that the node holds no
// slots and no quarantines and will take none. Older incarnations are ignored.
func (h *History) Acknowledge(node string, incarnation, epoch uint64, released bool, now time.Time) {
	c := h.contacts[node]
	if incarnation < c.incarnation {
		return
	}
	if incarnation > c.incarnation {
		c = contact{incarnation: incarnation}
	}
	c.epoch = max(c.epoch, epoch)
	c.released = released
	c.heard = now
	h.contacts[node] = c
	h.update(now)
}

// Acknowledged returns the epoch that a member of the newest set is known to have reached, 0 for none.
func (h *History) Acknowledged(node string) uint64 {
	s := h.Current()
	if s == nil {
		return 0
	}
	m, ok := s.Find(node)
	if !ok {
		return 0
	}
	if node == h.node && m.Incarnation == h.incarnation {
		return s.Epoch
	}
	c := h.contacts[node]
	if c.incarnation != m.Incarnation {
		return 0
	}
	return c.epoch
}

// Released tells whether an incarnation stated that it holds nothing any more.
func (h *History) Released(node string, incarnation uint64) bool {
	c := h.contacts[node]
	return c.incarnation == incarnation && c.released
}

// Silent returns the members of the newest set, without this node, that were not heard of for at least d.
func (h *History) Silent(d time.Duration, now time.Time) []string {
	var silent []string
	s := h.Current()
	if s == nil {
		return nil
	}
	for i := range s.Members {
		m := &s.Members[i]
		if m.Node == h.node {
			continue
		}
		c := h.contacts[m.Node]
		if c.incarnation != m.Incarnation || now.Sub(c.heard) >= d {
			silent = append(silent, m.Node)
		}
	}
	return silent
}

// Covered tells whether every member is known to be at or beyond the newest epoch.
func (h *History) Covered() bool {
	return len(h.epochs) > 0 && !h.epochs[len(h.epochs)-1].coveredAt.IsZero()
}

// update sets the time of coverage of every epoch that all members of the newest set have reached.
func (h *History) update(now time.Time) {
	s := h.Current()
	if s == nil || !h.Member() {
		return
	}
	reached := s.Epoch
	for i := range s.Members {
		reached = min(reached, h.Acknowledged(s.Members[i].Node))
	}
	for i := range h.epochs {
		if h.epochs[i].set.Epoch <= reached && h.epochs[i].coveredAt.IsZero() {
			h.epochs[i].coveredAt = now
		}
	}
}

// isHome tells whether this incarnation is a home of a key at epoch i.
func (h *History) isHome(i int, keyHash uint64) bool {
	s := h.epochs[i].set
	first, second := s.KeyHomes(keyHash)
	if first != h.node && second != h.node {
		return false
	}
	return s.Has(h.node, h.incarnation)
}

// HomeSince returns since when this incarnation has been a home of a key without interruption, with every member known
// to be at or beyond an epoch that says so. ok is false when it is no home, or not yet known by all members. For the only
// member it is the time since which it is alone: before, a claim may have been registered with the other home only.
func (h *History) HomeSince(keyHash uint64) (since time.Time, ok bool) {
	alone := len(h.epochs) > 0 && len(h.Current().Members) == 1
	for i := len(h.epochs) - 1; i >= 0; i-- {
		if !h.isHome(i, keyHash) || (alone && len(h.epochs[i].set.Members) > 1) {
			break
		}
		if !h.epochs[i].coveredAt.IsZero() {
			since, ok = h.epochs[i].coveredAt, true
		}
		if h.epochs[i].gap {
			break
		}
	}
	return since, ok
}

// Replaced tells whether homes of an earlier epoch may have granted a key since it was made, none of which is a home now.
// made is the earliest time at which the key can have been used. The homes of now then do not know of that grant.
func (h *History) Replaced(keyHash uint64, made time.Time) bool {
	n := len(h.epochs) - 1
	for i := n - 1; i >= 0; i-- {
		next := &h.epochs[i+1]
		if !next.coveredAt.IsZero() && !next.coveredAt.After(made) {
			return false
		}
		if next.gap || !h.shared(h.epochs[i].set, keyHash) {
			return true
		}
	}
	return false
}

// shared tells whether a home of a key at an earlier set is a home at the newest one, in the same incarnation.
func (h *History) shared(s *Set, keyHash uint64) bool {
	cur := h.Current()
	first, second := cur.KeyHomes(keyHash)
	old1, old2 := s.KeyHomes(keyHash)
	for _, node := range []string{old1, old2} {
		if m, ok := s.Find(node); ok && (node == first || node == second) && cur.Has(node, m.Incarnation) {
			return true
		}
	}
	return old1 == ""
}

// Settled tells whether no pair of homes of an earlier epoch can still grant the key. Members that lag behind could
// otherwise grant a later attempt among themselves while this node grants the first attempt at the newest epoch. A pair
// cannot grant when one of the two is known to have left its epoch or is no longer a member.
func (h *History) Settled(keyHash uint64) bool {
	n := len(h.epochs) - 1
	if n < 0 || !h.Member() {
		return false
	}
	for i := n; i >= 0; i-- {
		if !h.epochs[i].coveredAt.IsZero() {
			return true
		}
		if h.epochs[i].gap {
			return false
		}
		if i > 0 && !h.pairLeft(h.epochs[i-1].set, keyHash) {
			return false
		}
	}
	return false
}

// pairLeft tells whether at least one home of a key at an earlier set no longer answers at that epoch.
func (h *History) pairLeft(s *Set, keyHash uint64) bool {
	first, second := s.KeyHomes(keyHash)
	return h.left(s, first) || h.left(s, second)
}

func (h *History) left(s *Set, node string) bool {
	m, ok := s.Find(node)
	if !ok {
		return false
	}
	if !h.Current().Has(node, m.Incarnation) {
		return true
	}
	return h.Acknowledged(node) > s.Epoch
}
