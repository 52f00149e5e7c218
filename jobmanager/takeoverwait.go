package jobmanager

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/berylwharf/berylwharf/job"
)

const (
	// takeoverWaitCheckInterval is the time between checks whether a node waits for strong members.
	takeoverWaitCheckInterval = 200 * time.Millisecond
	// takeoverWaitLogTime is how long strong members must have been without a sign of life before a node logs that it
	// waits for them.
	takeoverWaitLogTime = 2500 * time.Millisecond
	// takeoverWaitLogInterval is the time between log lines while a node waits.
	takeoverWaitLogInterval = 5 * time.Second
	// takeoverTime is the time from the last proof of a strong member to the first answers of the nodes that take over: the
	// delay, joining the group, loading the shards, and links to the new owners.
	takeoverTime = takeoverDelay + 2*time.Second
)

// watchTakeoverWait logs when a node that is not strong waits for strong members without a sign of life of them, and
// when that ends. Nobody may own the shards then.
func (n *Node) watchTakeoverWait() {
	waiting, loggedAt := false, time.Duration(0)
	for n.ctx.Err() == nil {
		now := n.clock.Now().Steady
		silence := n.strongSilence()
		switch {
		case silence > takeoverWaitLogTime && (!waiting || now-loggedAt >= takeoverWaitLogInterval):
			waiting, loggedAt = true, now
			n.log.Event(LogEvent{
				Component: "node", Event: "waits for strong members", AgeMs: silence.Milliseconds(), Reason: n.describeStrongMembers(now),
			})
		case waiting && silence <= takeoverWaitLogTime:
			waiting = false
			n.log.Event(LogEvent{Component: "node", Event: "waits no longer for strong members"})
		}
		sleep(n.ctx, takeoverWaitCheckInterval)
	}
}

// describeStrongMembers names the strong members in the list of owners with their links, and the age of the list.
func (n *Node) describeStrongMembers(now time.Duration) string {
	connected := n.peers.ConnectedNodes()
	n.mu.Lock()
	defer n.mu.Unlock()
	var members []string
	for _, member := range n.owners {
		node, _, err := splitMember(member)
		if err != nil || !isStrongMember(member) {
			continue
		}
		if !slices.Contains(connected, node) {
			node += " (no link)"
		}
		members = append(members, node)
	}
	slices.Sort(members)
	return fmt.Sprintf("listed as owners %d ms ago: %s; log of shard %d not extended by them for %d ms",
		(now - n.ownersReadAt).Milliseconds(), strings.Join(slices.Compact(members), ", "),
		fleetShard, n.strongMembers.logSilentFor(now).Milliseconds())
}

// registerTakeoverGauges registers the gauge of the time in milliseconds since the last sign of life of a strong member, 0
// on a node that does not wait for any.
func (n *Node) registerTakeoverGauges() {
	// The registry is new, so the names are not taken.
	_ = n.metrics.registry.Register("owners.strong.silence.ms", metrics.NewFunctionalGauge(func() int64 {
		return n.strongSilence().Milliseconds()
	}))
}

// strongSilence returns the time since a strong member was last proved alive; 0 on a node that does not wait for one.
func (n *Node) strongSilence() time.Duration {
	if n.settings.strong() || n.substitutes.Load() {
		return 0
	}
	return n.strongMembers.unprovenFor(n.clock.Now().Steady)
}

// takeoverIn returns the time after which a node that is not strong is expected to answer for a shard of which the strong owner is
// missing. It returns false if no such takeover is due.
func (n *Node) takeoverIn(shard int, now job.Time) (time.Duration, bool) {
	if n.settings.strong() || n.confirmed(now) || !n.strongMembers.missing(now.Steady) {
		return 0, false
	}
	n.mu.Lock()
	owner, owned := n.owners[shard]
	n.mu.Unlock()
	if owned && !isStrongMember(owner) {
		return 0, false
	}
	return max(minRetryAfter, takeoverTime-n.strongMembers.unprovenFor(now.Steady)), true
}
