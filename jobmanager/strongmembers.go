package jobmanager

import (
	"sync"
	"time"
)

const (
	// takeoverDelay is how long no strong member must have been proved alive before nodes that are not strong own shards.
	takeoverDelay = 3 * time.Second
	// yieldDelay is how long a strong member must have been proved alive without a gap before nodes that are not strong release
	// their shards. Strong members that leave again earlier cause no transfer of shards.
	yieldDelay = 3 * time.Second
	// proofGap is the longest time between two proofs that counts as no gap. Heartbeats and reads of the owners come at
	// least each ownersInterval.
	proofGap = 2 * time.Second
	// suspicionTime is the age of the last proof from which a node asks the store whether a strong member lives. It is longer
	// than the time between heartbeats.
	suspicionTime = 1250 * time.Millisecond
	// logSilence is how long the log of the fleet shard must not have grown before its owner counts as gone. The owner
	// extends it at least each ownerRecordInterval, and a slow store stores that within about 300 ms.
	logSilence = 2 * time.Second
	// minLogSilence is how long the log must not have grown before calls for the shards of strong members are refused at once.
	minLogSilence = 500 * time.Millisecond
)

// strongMembers judges on a node that is not strong whether a strong member of the group is alive. It does no I/O and is safe
// for concurrent use.
//
// That a strong member is listed as an owner proves nothing: the store lists an expired member until another member
// joins, and no other may join as long as the strong ones seem to live. A strong member is proved alive by
//   - a heartbeat that says that its sender is a strong member of the group,
//   - growth of the fleet shard's log while a strong member owns that shard, since the store refuses appends of an owner that was
//     replaced,
//   - its listing in a read of the owners that was made while this node itself had been a member for longer than membershipTTL:
//     the shards of members that had expired were assigned to this node then.
//
// The lack of proofs counts only while the store answers this node, which could not see the log grow otherwise.
type strongMembers struct {
	mu sync.Mutex
	// provenSince and provenAt are the times of the first and the last of the proofs that came without a gap.
	provenSince, provenAt time.Duration
	// logRead is false until the log's end was read, and after a failed read of the store.
	logRead bool
	// logEnd is the end of the fleet shard's log as of the read that began at logReadAt. A strong member has not
	// extended the log since logSilentSince.
	logEnd                    int64
	logReadAt, logSilentSince time.Duration
}

// newStrongMembers returns the state of a node that starts. It waits for strong members as if one had just been proved alive.
func newStrongMembers(now time.Duration) *strongMembers {
	return &strongMembers{provenSince: now, provenAt: now}
}

// prove records a proof that a strong member was alive at a time.
func (m *strongMembers) prove(at time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.proveLocked(at)
}

func (m *strongMembers) proveLocked(at time.Duration) {
	if at-m.provenAt > proofGap {
		m.provenSince = at
	}
	m.provenAt = max(m.provenAt, at)
}

// logGrew reports whether the log of the fleet shard ends later than at the last read.
func (m *strongMembers) logGrew(end int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.logRead && end > m.logEnd
}

// recordLog records the end of the fleet shard's log as of a read that began at a time. If the log has grown since the last
// read, byStrong tells whether a strong member owns the shard.
func (m *strongMembers) recordLog(at time.Duration, end int64, byStrong bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	grew := m.logRead && end > m.logEnd && byStrong
	if grew {
		m.proveLocked(at)
	}
	if grew || !m.logRead || at-m.logReadAt > proofGap {
		m.logSilentSince = at
	}
	m.logRead, m.logEnd, m.logReadAt = true, end, at
}

// recordReadFailure records that the store did not answer a read of the owners or of the fleet shard's log.
func (m *strongMembers) recordReadFailure() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.logRead = false
}

// unprovenFor returns the time since the last proof.
func (m *strongMembers) unprovenFor(now time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(0, now-m.provenAt)
}

// suspicious reports whether the last proof is so old that the store should be asked.
func (m *strongMembers) suspicious(now time.Duration) bool { return m.unprovenFor(now) > suspicionTime }

// missing reports whether neither a heartbeat nor the store shows a strong member, so that nobody answers for its shards.
func (m *strongMembers) missing(now time.Duration) bool {
	return m.suspicious(now) && m.logSilentFor(now) >= minLogSilence
}

// gone reports whether no strong member has been alive for long enough that other nodes have to own the shards.
func (m *strongMembers) gone(now time.Duration) bool {
	return m.unprovenFor(now) > takeoverDelay && m.logSilentFor(now) >= logSilence
}

// logSilentFor returns how long reads have shown that no strong member extended the log; 0 if the last read failed or is old.
func (m *strongMembers) logSilentFor(now time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.logRead || now-m.logReadAt > proofGap {
		return 0
	}
	return m.logReadAt - m.logSilentSince
}

// back reports whether a strong member has been alive for long enough to own the shards again.
func (m *strongMembers) back(now time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return now-m.provenAt <= proofGap && m.provenAt-m.provenSince >= yieldDelay
}
