package jobmanager

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/berylwharf/berylwharf/peer"
)

// followOwners keeps the shard owners up to date and connections to them open.
func (n *Node) followOwners() {
	for n.ctx.Err() == nil {
		n.readOwners()
		sleep(n.ctx, minOwnersInterval)
		n.waitForWakeUp(n.refreshOwners, ownersInterval-minOwnersInterval)
	}
}

func (n *Node) readOwners() {
	ctx, cancel := context.WithTimeout(n.ctx, storeTimeout)
	defer cancel()
	startedAt := n.clock.Now().Steady
	owners, err := n.group.Owners(ctx)
	n.recordStoreAnswer(err == nil, startedAt)
	if err != nil {
		n.strongMembers.recordReadFailure()
		n.log.Event(LogEvent{Component: "node", Event: "shard owners not read", Reason: err.Error()})
		return
	}
	n.proveListedMembers(owners, startedAt)
	n.mu.Lock()
	n.owners, n.ownersReadAt = owners, startedAt
	n.mu.Unlock()
	n.connectOwners(owners)
}

// connectOwners keeps connections open to the owners of the shards in use. The owners of empty shards are left out: in a
// large fleet of small nodes, the heartbeats on connections between all nodes and all owners would use up much of the
// owners' processor time.
func (n *Node) connectOwners(owners map[int]string) {
	used := make(map[int]string)
	now := n.clock.Now().Steady
	n.mu.Lock()
	for number, member := range owners {
		if n.isUsed(number) || now < n.wantedUntil[number] {
			used[number] = member
		}
	}
	n.mu.Unlock()
	if !maps.Equal(n.connectedOwners, used) {
		n.connectedOwners = used
		n.peers.SetTargets(peerTargets(used))
	}
}

// wantOwner makes the node connect to the owner of a shard to which no route of the configuration leads, because a call is
// redirected there.
func (n *Node) wantOwner(number int) {
	n.mu.Lock()
	n.wantedUntil[number] = n.clock.Now().Steady + wantedPeriod
	n.mu.Unlock()
	n.wakeUp(n.refreshOwners)
}

// recordStoreAnswer records since when the store has not answered.
func (n *Node) recordStoreAnswer(answered bool, startedAt time.Duration) {
	if answered {
		n.storeDownSince.Store(0)
		return
	}
	n.storeDownSince.CompareAndSwap(0, int64(startedAt))
}

// storeDownFor returns for how long the store has not answered, or 0 if it answers.
func (n *Node) storeDownFor() time.Duration {
	since := n.storeDownSince.Load()
	if since == 0 {
		return 0
	}
	return n.clock.Now().Steady - time.Duration(since)
}

// peerTargets returns the nodes and peer addresses of the owners.
func peerTargets(owners map[int]string) []peer.Target {
	var out []peer.Target
	for _, member := range owners {
		if node, addr, err := splitMember(member); err == nil {
			out = append(out, peer.Target{Node: node, Addr: addr})
		}
	}
	return out
}

// weakSuffix marks the member names of nodes that are not strong.
const weakSuffix = "~"

// isStrongMember reports whether a member name is that of a strong node. It is false for an empty name.
func isStrongMember(member string) bool {
	return member != "" && !strings.HasSuffix(member, weakSuffix)
}

// memberName returns the name under which a node joins the group: NODE@ADDRESS, followed by weakSuffix if the node is
// not strong.
func memberName(s *Settings) string {
	name := fmt.Sprintf("%s@%s", s.Node, cmp.Or(s.Advertise, s.Peers))
	if !s.strong() {
		name += weakSuffix
	}
	return name
}

// splitMember splits a member name into node name and peer address.
func splitMember(member string) (node, addr string, err error) {
	node, addr, ok := strings.Cut(strings.TrimSuffix(member, weakSuffix), "@")
	if !ok {
		return "", "", errors.Errorf("member %q does not have the form NODE@ADDRESS", member)
	}
	return node, addr, nil
}
