package jobmanager

import (
	"testing"
	"time"

	"github.com/berylwharf/berylwharf/job"
)

// TestExpiredMembersAreNoSignOfLife guards against shards without an owner for as long as the store lists members that are
// gone.
func TestExpiredMembersAreNoSignOfLife(t *testing.T) {
	n := &Node{settings: &Settings{CPUShare: 0.192, CPUSpeed: 1}, strongMembers: newStrongMembers(time.Hour), clock: SystemClock{}}
	listed := map[int]string{fleetShard: "strong@10.0.0.1:7"}
	for at := time.Hour; at <= time.Hour+takeoverDelay+time.Second; at += strongCheckInterval {
		n.proveListedMembers(listed, at)
		n.strongMembers.recordLog(at, 7, false)
	}
	if !n.strongMembers.gone(time.Hour + takeoverDelay + time.Second) {
		t.Error("a listed member counts as alive although nothing else shows that")
	}
}

// TestStrongMembersAreLeftTheirShards guards against nodes that take shards from strong members that live, or keep them without
// any that live.
func TestStrongMembersAreLeftTheirShards(t *testing.T) {
	cases := []struct {
		name   string
		events func(m *strongMembers, at time.Duration)
		gone   bool
	}{
		{"nothing extends the log", func(m *strongMembers, at time.Duration) { m.recordLog(at, 7, false) }, true},
		{"a strong member extends the log", func(m *strongMembers, at time.Duration) { m.recordLog(at, int64(at/time.Second), true) }, false},
		{"another node extends the log", func(m *strongMembers, at time.Duration) { m.recordLog(at, int64(at/time.Second), false) }, true},
		{"heartbeats only", func(m *strongMembers, at time.Duration) { m.prove(at) }, false},
		{"nothing is read", func(*strongMembers, time.Duration) {}, false},
		{"each other read fails", func(m *strongMembers, at time.Duration) {
			if at/strongCheckInterval%2 == 0 {
				m.recordReadFailure()
				return
			}
			m.recordLog(at, 7, false)
		}, false},
		{"the node was paused until now", func(m *strongMembers, at time.Duration) {
			if at < 2*strongCheckInterval || at > 20*time.Second {
				m.recordLog(at, 7, false)
			}
		}, false},
	}
	for _, c := range cases {
		m := newStrongMembers(0)
		const end = 20*time.Second + strongCheckInterval
		for at := time.Duration(0); at <= end; at += strongCheckInterval {
			c.events(m, at)
		}
		if got := m.gone(end); got != c.gone {
			t.Errorf("%s: strong members are taken for gone: %v, want %v", c.name, got, c.gone)
		}
	}
}

// TestShortReturnOfStrongMembers guards against shards that move with each strong member that comes back and leaves again at
// once.
func TestShortReturnOfStrongMembers(t *testing.T) {
	m := newStrongMembers(0)
	at := time.Minute
	for end := at + yieldDelay; at < end; at += time.Second {
		m.prove(at)
		if m.back(at) {
			t.Fatalf("strong members count as back %v after their return", at-time.Minute)
		}
	}
	m.prove(at)
	if !m.back(at) {
		t.Error("strong members never count as back")
	}
	if m.back(at + proofGap + time.Millisecond) {
		t.Error("strong members count as back after they have left")
	}
	m.prove(at + time.Minute)
	if m.back(at + time.Minute) {
		t.Error("strong members that were gone for a while count as back at once")
	}
}

// TestOwningNodesByStrength guards against pools on nodes with too little CPU, and against strong nodes without shards.
func TestOwningNodesByStrength(t *testing.T) {
	for _, c := range []struct {
		settings Settings
		want     bool
	}{{Settings{CPUShare: 0.192, CPUSpeed: 1}, false}, {Settings{CPUShare: 0.4, CPUSpeed: 1}, true}, {Settings{}, true}} {
		n := &Node{settings: &c.settings, strongMembers: newStrongMembers(0)}
		if got := n.shouldOwnShards(job.Time{}); got != c.want {
			t.Errorf("a node with %v of a core owns shards: %v, want %v", c.settings.CPUShare, got, c.want)
		}
	}
}
