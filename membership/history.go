package membership

import (
	"time"
)

// maxEpochs is the number of epochs kept. For coverage, dropping an old epoch is safe: without it, HomeSince can only
// return a later time or none, so the node counts as knowing all claims for a shorter time.
const maxEpochs = 64

// epoch is one observed epoch of the region.
type epoch struct {
	set *Set
	// gap is set if epochs between this one and the one before it may have been missed.
	gap bool
	// coveredAt is the time at which this node first knew that every member had reached the epoch; zero until then.
	coveredAt time.Time
}

// peerState is the last known state of one incarnation of a peer.
type peerState struct {
	incarnation uint64
	epoch       uint64
	lastHeard   time.Time
	released    bool
}

// History records the epochs of a region as observed by one node, and the epochs that the other members have
// acknowledged.
type History struct {
	node        string
	incarnation uint64
	epochs      []epoch // oldest first
	peers       map[string]peerState
}

// NewHistory returns an empty history for an incarnation of a node.
func NewHistory(node string, incarnation uint64) *History {
	return &History{node: node, incarnation: incarnation, peers: make(map[string]peerState)}
}

// Current returns the newest set, or nil if none has been observed.
func (h *History) Current() *Set {
	if len(h.epochs) == 0 {
		return nil
	}
	return h.epochs[len(h.epochs)-1].set
}

// Member reports whether this incarnation is a member at the newest epoch.
func (h *History) Member() bool {
	s := h.Current()
	return s != nil && s.Has(h.node, h.incarnation)
}

// Observe records a set. It ignores a set that is not newer than the current one and returns false.
func (h *History) Observe(s *Set, now time.Time) bool {
	cur := h.Current()
	if cur != nil && s.Epoch <= cur.Epoch {
		return false
	}
	e := epoch{set: s, gap: cur == nil || !cur.isSingleChange(s)}
	h.epochs = append(h.epochs, e)
	if len(h.epochs) > maxEpochs {
		h.epochs = append(h.epochs[:0:0], h.epochs[len(h.epochs)-maxEpochs:]...)
		h.epochs[0].gap = true
	}
	h.updateCoverage(now)
	return true
}

// SetIncarnation sets the incarnation of this node before it rejoins. Epochs at which an earlier incarnation was a member
// do not count for the new one.
func (h *History) SetIncarnation(incarnation uint64) {
	h.incarnation = incarnation
}

// Gap reports whether epochs immediately before the newest one may have been missed.
func (h *History) Gap() bool {
	return len(h.epochs) == 0 || h.epochs[len(h.epochs)-1].gap
}

// Acknowledge records that an incarnation of a node has declared that it reached an epoch. released means that the node
// holds no slots or quarantines and will take none. Acknowledgements of older incarnations are ignored.
func (h *History) Acknowledge(node string, incarnation, epoch uint64, released bool, now time.Time) {
	c := h.peers[node]
	if incarnation < c.incarnation {
		return
	}
	if incarnation > c.incarnation {
		c = peerState{incarnation: incarnation}
	}
	c.epoch = max(c.epoch, epoch)
	c.released = released
	c.lastHeard = now
	h.peers[node] = c
	h.updateCoverage(now)
}

// AcknowledgedEpoch returns the epoch that a member of the newest set is known to have reached, or 0.
func (h *History) AcknowledgedEpoch(node string) uint64 {
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
	c := h.peers[node]
	if c.incarnation != m.Incarnation {
		return 0
	}
	return c.epoch
}

// Released reports whether the incarnation has declared that it holds no slots or quarantines and will take none.
func (h *History) Released(node string, incarnation uint64) bool {
	c := h.peers[node]
	return c.incarnation == incarnation && c.released
}

// Silent returns the other members of the newest set from which nothing was received for at least d, or ever.
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
		c := h.peers[m.Node]
		if c.incarnation != m.Incarnation || now.Sub(c.lastHeard) >= d {
			silent = append(silent, m.Node)
		}
	}
	return silent
}

// Covered reports whether every member is known to have reached the newest epoch.
func (h *History) Covered() bool {
	return len(h.epochs) > 0 && !h.epochs[len(h.epochs)-1].coveredAt.IsZero()
}

// updateCoverage sets coveredAt of every epoch that all members of the newest set have reached.
func (h *History) updateCoverage(now time.Time) {
	s := h.Current()
	if s == nil || !h.Member() {
		return
	}
	reached := s.Epoch
	for i := range s.Members {
		reached = min(reached, h.AcknowledgedEpoch(s.Members[i].Node))
	}
	for i := range h.epochs {
		if h.epochs[i].set.Epoch <= reached && h.epochs[i].coveredAt.IsZero() {
			h.epochs[i].coveredAt = now
		}
	}
}

// isHome reports whether this incarnation is a home node of a key at epoch i.
func (h *History) isHome(i int, keyHash uint64) bool {
	s := h.epochs[i].set
	first, second := s.KeyHomes(keyHash)
	if first != h.node && second != h.node {
		return false
	}
	return s.Has(h.node, h.incarnation)
}

// HomeSince returns the time since which this incarnation has been a home node of a key without interruption and every
// member is known to have reached an epoch at which it is one. ok is false if it is not a home node, or if not all
// members are known to have reached such an epoch. For a sole member, the time starts with the epochs at which it is the
// sole member: earlier, a claim may have been registered only with the other home node.
func (h *History) HomeSince(keyHash uint64) (since time.Time, ok bool) {
	soleMember := len(h.epochs) > 0 && len(h.Current().Members) == 1
	for i := len(h.epochs) - 1; i >= 0; i-- {
		if !h.isHome(i, keyHash) || (soleMember && len(h.epochs[i].set.Members) > 1) {
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

// HomesReplaced reports whether home nodes of an earlier epoch, none of which is a home node now, may have granted a
// key. The current home nodes then do not know of that grant. createdAt is the earliest time at which the key can have
// been used.
func (h *History) HomesReplaced(keyHash uint64, createdAt time.Time) bool {
	n := len(h.epochs) - 1
	for i := n - 1; i >= 0; i-- {
		next := &h.epochs[i+1]
		if !next.coveredAt.IsZero() && !next.coveredAt.After(createdAt) {
			return false
		}
		if next.gap || !h.keepsHome(h.epochs[i].set, keyHash) {
			return true
		}
	}
	return false
}

// keepsHome reports whether a home node of a key in an earlier set is still one in the newest set with the same
// incarnation, or whether the earlier set is empty.
func (h *History) keepsHome(s *Set, keyHash uint64) bool {
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

// EarlierHomesInactive reports whether no pair of home nodes of an earlier epoch can still grant the key. Otherwise
// members that lag behind could grant a later attempt at that epoch while this node grants the first attempt at the
// newest epoch. A pair cannot grant once one of the two is known to have moved to a later epoch or is no longer a
// member.
func (h *History) EarlierHomesInactive(keyHash uint64) bool {
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
		if i > 0 && !h.pairBroken(h.epochs[i-1].set, keyHash) {
			return false
		}
	}
	return false
}

// pairBroken reports whether at least one home node of a key in an earlier set no longer answers at the epoch of that
// set.
func (h *History) pairBroken(s *Set, keyHash uint64) bool {
	first, second := s.KeyHomes(keyHash)
	return h.hasLeft(s, first) || h.hasLeft(s, second)
}

// hasLeft reports whether a member of an earlier set has moved to a later epoch or is no longer a member.
func (h *History) hasLeft(s *Set, node string) bool {
	m, ok := s.Find(node)
	if !ok {
		return false
	}
	if !h.Current().Has(node, m.Incarnation) {
		return true
	}
	return h.AcknowledgedEpoch(node) > s.Epoch
}
