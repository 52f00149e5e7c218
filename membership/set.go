// Package membership maps workers and request identifiers to home nodes by rendezvous hashing, and records since when all
// members of a region are known to have reached an epoch. From then on the epoch is covered: no member grants a request
// identifier at an earlier epoch any more. The package does no I/O and takes the time as an argument.
package membership

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/berylwharf/berylwharf/statelog"
)

// Set is the immutable list of members of one region at one epoch.
type Set struct {
	Epoch   uint64
	Members []statelog.Member // sorted by node name
	// NeverRemoved states that no member has ever been removed or replaced in the region, so that only members can hold
	// slots.
	NeverRemoved bool
	hashes       []uint64 // of the node names, by index in Members
}

// NewSet returns the set of members at an epoch. It keeps a sorted copy of members.
func NewSet(epoch uint64, members []statelog.Member) *Set {
	s := &Set{Epoch: epoch, Members: slices.Clone(members)}
	slices.SortFunc(s.Members, func(a, b statelog.Member) int {
		if a.Node < b.Node {
			return -1
		}
		if a.Node > b.Node {
			return 1
		}
		return 0
	})
	s.hashes = make([]uint64, len(s.Members))
	for i := range s.Members {
		s.hashes[i] = xxhash.Sum64String(s.Members[i].Node)
	}
	return s
}

// Find returns the member with the given node name.
func (s *Set) Find(node string) (statelog.Member, bool) {
	for i := range s.Members {
		if s.Members[i].Node == node {
			return s.Members[i], true
		}
	}
	return statelog.Member{}, false
}

// Has reports whether the incarnation of the node is a member.
func (s *Set) Has(node string, incarnation uint64) bool {
	m, ok := s.Find(node)
	return ok && m.Incarnation == incarnation
}

// Home returns the home node of a worker, or "" if the set is empty.
func (s *Set) Home(worker string) string {
	first, _ := s.topTwo(xxhash.Sum64String(worker))
	return s.name(first)
}

// KeyHomes returns the first and second home node of a request identifier. The second is "" if there is only one member.
func (s *Set) KeyHomes(keyHash uint64) (first, second string) {
	i, j := s.topTwo(keyHash)
	return s.name(i), s.name(j)
}

func (s *Set) name(i int) string {
	if i < 0 {
		return ""
	}
	return s.Members[i].Node
}

// topTwo returns the indexes of the two members with the highest weights, -1 for none. Ties are broken by name.
func (s *Set) topTwo(hash uint64) (first, second int) {
	first, second = -1, -1
	var w1, w2 uint64
	for i, h := range s.hashes {
		w := weight(h, hash)
		switch {
		case first < 0 || w > w1:
			second, w2 = first, w1
			first, w1 = i, w
		case second < 0 || w > w2:
			second, w2 = i, w
		}
	}
	return first, second
}

// Rank returns the position of a node, from 0, in the rendezvous order for an offset. Nodes write the snapshot of that
// offset in this order. A node that is not a member ranks after all members.
func Rank(members []statelog.Member, node string, offset uint64) int {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], offset)
	hash := xxhash.Sum64(b[:])
	own := weight(xxhash.Sum64String(node), hash)
	rank, found := 0, false
	for i := range members {
		if members[i].Node == node {
			found = true
			continue
		}
		w := weight(xxhash.Sum64String(members[i].Node), hash)
		if w > own || (w == own && members[i].Node < node) {
			rank++
		}
	}
	if !found {
		return len(members)
	}
	return rank
}

// weight returns the rendezvous weight of a node for a key, both given as hashes.
func weight(node, key uint64) uint64 {
	var b [16]byte
	binary.BigEndian.PutUint64(b[:8], node)
	binary.BigEndian.PutUint64(b[8:], key)
	return xxhash.Sum64(b[:])
}

// isSingleChange reports whether exactly one node differs between s and next: it joined, left, or was replaced by a newer
// incarnation. Any other difference means that epochs in between may have been missed. It is safe to miss that a node
// left and joined again: a node that is home in both sets is also home in the set without that node.
func (s *Set) isSingleChange(next *Set) bool {
	var added, removed []string
	for i := range next.Members {
		m := &next.Members[i]
		if !s.Has(m.Node, m.Incarnation) {
			added = append(added, m.Node)
		}
	}
	for _, m := range s.Removed(next) {
		removed = append(removed, m.Node)
	}
	if len(added) == 1 && len(removed) == 1 {
		return added[0] == removed[0]
	}
	return len(added)+len(removed) == 1
}

// Removed returns the members of s that are not in next, including those replaced by another incarnation.
func (s *Set) Removed(next *Set) []statelog.Member {
	var removed []statelog.Member
	for i := range s.Members {
		m := s.Members[i]
		if !next.Has(m.Node, m.Incarnation) {
			removed = append(removed, m)
		}
	}
	return removed
}
