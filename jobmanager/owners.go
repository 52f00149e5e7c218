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

// followOwners keeps the map of owners current and links to them open.
func (n *Node) followOwners() {
	for n.ctx.Err() == nil {
		n.readOwners()
		pause(n.ctx, ownersAtOnce)
		n.wait(n.refreshOwners, ownersEvery-ownersAtOnce)
	}
}

func (n *Node) readOwners() {
	ctx, cancel := context.WithTimeout(n.ctx, storeTimeout)
	defer cancel()
	begun := n.clock.Now().Steady
	owners, err := n.group.Owners(ctx)
	n.noteStore(err == nil, begun)
	if err != nil {
		n.log.Event(LogEvent{Part: "node", What: "owners not known", Why: err.Error()})
		return
	}
	for _, member := range owners {
		if !strings.HasSuffix(member, weakSuffix) {
			n.strongSeen.Store(int64(n.clock.Now().Steady))
		}
	}
	n.mu.Lock()
	changed := !maps.Equal(n.owners, owners)
	n.owners = owners
	n.mu.Unlock()
	if changed {
		n.peers.SetTargets(targets(owners))
	}
}

// noteStore notes since when the store does not answer.
func (n *Node) noteStore(answered bool, begun time.Duration) {
	if answered {
		n.storeDown.Store(0)
		return
	}
	n.storeDown.CompareAndSwap(0, int64(begun))
}

// storeDownFor returns for how long the store has not answered, 0 if it does.
func (n *Node) storeDownFor() time.Duration {
	since := n.storeDown.Load()
	if since == 0 {
		return 0
	}
	return n.clock.Now().Steady - time.Duration(since)
}

// targets returns the peer addresses of the owners.
func targets(owners map[int]string) []peer.Target {
	var out []peer.Target
	for _, member := range owners {
		if node, addr, err := splitMember(member); err == nil {
			out = append(out, peer.Target{Node: node, Addr: addr})
		}
	}
	return out
}

// weakSuffix ends the member names of nodes that are not strong.
const weakSuffix = "~"

// memberName returns the name of a node in the group: NODE@ADDRESS, with weakSuffix if the node is not strong.
func memberName(s *Settings) string {
	name := fmt.Sprintf("%s@%s", s.Node, cmp.Or(s.Advertise, s.Peers))
	if !s.strong() {
		name += weakSuffix
	}
	return name
}

// splitMember splits a member name.
func splitMember(member string) (node, addr string, err error) {
	node, addr, ok := strings.Cut(strings.TrimSuffix(member, weakSuffix), "@")
	if !ok {
		return "", "", errors.Errorf("member %q does not have the form NODE@ADDRESS", member)
	}
	return node, addr, nil
}
