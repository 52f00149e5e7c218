package jobmanager

import "github.com/berylwharf/berylwharf/job"

// doubtOwnership makes the shard send no orders until the store has accepted an append of this owner that begins later. Another
// node may have claimed the shard in the meantime and have sent orders with a later epoch.
func (s *shard) doubtOwnership() { s.doubts.Add(1) }

// ownershipVerified reports whether no doubt about the ownership is left.
func (s *shard) ownershipVerified() bool { return s.settledDoubts.Load() == s.doubts.Load() }

// verifyOwnership stores a record without content, which the store refuses if another node has claimed the shard.
func (s *shard) verifyOwnership() {
	doubts := s.doubts.Load()
	if s.verifyingDoubts == doubts {
		return
	}
	s.verifyingDoubts = doubts
	s.verifyOwner(func() { s.settledDoubts.Store(doubts) })
}

// doubtOwnerships makes all shards verify their ownership if another node may have owned them since the last join: the
// group has changed, or the membership had expired when the join was sent.
func (n *Node) doubtOwnerships(groupChanged bool, sent job.Time) {
	if !groupChanged && n.confirmed(sent) {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, s := range n.shards {
		s.doubtOwnership()
	}
}
