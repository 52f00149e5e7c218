package coord

import (
	"context"
	"crypto/rand"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/berylwharf/berylwharf/follower"
	"github.com/berylwharf/berylwharf/membership"
	"github.com/berylwharf/berylwharf/peer"
	"github.com/berylwharf/berylwharf/resource"
	"github.com/berylwharf/berylwharf/statelog"
	"github.com/berylwharf/berylwharf/vmapi"
)

const (
	// joinDelay is the pause between attempts to join or to append a record. Retrying faster does not help during a
	// log outage, which fails every attempt.
	joinDelay = time.Second
	// leaveTimeout limits how long a proposal to leave, or to remove another member, may take.
	leaveTimeout = 5 * time.Second
	// removalPolls is the number of consecutive VM lists that must lack a member's VM before its removal is proposed.
	// The platform's list lags, and a single list may be wrong.
	removalPolls = 3
	// removalPollsUnseen replaces removalPolls for a VM that this node has never seen listed, because a new VM appears
	// in the list with a delay.
	removalPollsUnseen = 30
	// removalStaggerPolls is the number of VM lists by which members of successive rank delay a removal proposal, so
	// that normally only one member proposes it.
	removalStaggerPolls = 2
)

// vmList holds the latest VM list and what successive lists have shown about the members.
type vmList struct {
	vms         []vmapi.VM
	everListed  map[string]bool // VMs of members that appeared in at least one list
	missedPolls map[memberKey]int
}

type memberKey struct {
	node        string
	incarnation uint64
}

// watch applies each new view of the store until ctx ends.
func (c *Coord) watch(ctx context.Context) {
	for {
		v := c.store.View()
		c.applyView(v)
		select {
		case <-ctx.Done():
			return
		case <-c.store.Changed(v):
		}
	}
}

// applyView updates the state machines with the members and the longest run time of a view.
func (c *Coord) applyView(v *statelog.View) {
	maxRun := longestRun(v)
	members := v.RegionMembers(c.cfg.Region)
	epoch := c.epochOf(v)
	changed := false
	c.step(func(now time.Time) {
		c.slots.SetMaxRun(maxRun)
		set := membership.NewSet(epoch, members)
		set.NeverRemoved = epoch > 0 && v.LastRemoval(c.cfg.Region) == 0
		if changed = c.history.Observe(set, now); !changed {
			return
		}
		c.slots.SetEpoch(set, c.history.Gap(), c.history.Member(), c.history.Released, now)
		c.pruneNonMembers(set)
		close(c.epochChanged)
		c.epochChanged = make(chan struct{})
	})
	if changed {
		c.updateTargets()
		// Other members wait until this node acknowledges the epoch, so do not wait for the next heartbeat.
		c.net.SendHeartbeats()
	}
}

// longestRun returns the longest run time declared by any service, or defaultMaxRun if none declares one.
func longestRun(v *statelog.View) time.Duration {
	longest := time.Duration(0)
	v.Each(resource.KindService, func(_ *resource.Resource, spec resource.Spec) bool {
		if s, ok := spec.(*resource.Service); ok {
			longest = max(longest, time.Duration(s.MaxRunMs)*time.Millisecond)
		}
		return true
	})
	if longest == 0 {
		return defaultMaxRun
	}
	return longest
}

// updateTargets sets the peers to connect to: the members, the listed entry VMs and the configured addresses.
func (c *Coord) updateTargets() {
	var targets []peer.Target
	c.mu.Lock()
	if set := c.history.Current(); set != nil {
		for i := range set.Members {
			m := &set.Members[i]
			targets = append(targets, peer.Target{Node: m.Node, Addr: m.PeerAddr})
		}
	}
	for _, vm := range c.polledVMs.vms {
		if vm.Role == vmapi.RoleEntry && vm.Name != c.cfg.VM {
			targets = append(targets, peer.Target{Node: vm.Node, Addr: vm.Addr})
		}
	}
	c.mu.Unlock()
	for _, addr := range c.cfg.Addresses {
		targets = append(targets, peer.Target{Addr: addr})
	}
	targets = slices.DeleteFunc(targets, func(t peer.Target) bool { return t.Addr == c.cfg.Advertise })
	c.net.SetTargets(targets)
}

// maintainMembership joins the region and rejoins after a removal, until ctx ends or the node is replaced.
func (c *Coord) maintainMembership(ctx context.Context, stop context.CancelCauseFunc) {
	for ctx.Err() == nil {
		v := c.store.View()
		member, err := c.checkMember(v)
		if err != nil {
			c.log.Errorf("coord: %v", err)
			stop(err)
			return
		}
		if member {
			select {
			case <-ctx.Done():
			case <-c.store.Changed(v):
			}
			continue
		}
		if err := c.join(ctx, v); err != nil && ctx.Err() == nil {
			c.log.Warnf("coord: cannot join the region, will retry: %v", err)
			sleep(ctx, joinDelay)
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

func findMember(v *statelog.View, node string) *statelog.Member {
	for i := range v.Members {
		if v.Members[i].Node == node {
			return &v.Members[i]
		}
	}
	return nil
}

// checkMember reports whether this incarnation is a member. It returns ErrReplaced if a newer incarnation of the node
// has joined after this process did.
func (c *Coord) checkMember(v *statelog.View) (bool, error) {
	m := findMember(v, c.cfg.Node)
	c.mu.Lock()
	defer c.mu.Unlock()
	if m == nil {
		return false, nil
	}
	if m.Incarnation > c.incarnation && c.joined {
		return false, ErrReplaced
	}
	return m.Incarnation == c.incarnation, nil
}

// join proposes this node as a member and waits until the store shows the record. Each proposal after the first uses
// a new incarnation: after a removal, the other members hold the slots of the old incarnation in quarantine, and
// after a proposal with an unknown outcome, the old incarnation may have been a member.
func (c *Coord) join(ctx context.Context, v *statelog.View) error {
	old := findMember(v, c.cfg.Node)
	inc := c.newIncarnation(old)
	m := statelog.Member{
		Node: c.cfg.Node, Incarnation: inc, VM: c.cfg.VM,
		Zone: c.cfg.Zone, Region: c.cfg.Region, PeerAddr: c.cfg.Advertise,
	}
	change := follower.Change{Op: statelog.OpJoin, Author: c.cfg.Node, Member: &m}
	if old != nil {
		change.BaseVersion = old.Version
	}
	out, err := c.propose(ctx, change)
	if err != nil {
		return err
	}
	if out.Status != statelog.StatusAccepted {
		return errors.Errorf("join record has status %s", out.Status)
	}
	c.mu.Lock()
	c.joined = true
	c.mu.Unlock()
	c.log.Infof("coord: joined the region at offset %d", out.Offset)
	// The store may report the outcome before its view includes the record.
	for ctx.Err() == nil {
		v := c.store.View()
		if v.NextOffset > out.Offset {
			return nil
		}
		select {
		case <-ctx.Done():
		case <-c.store.Changed(v):
		}
	}
	return nil
}

// propose appends a change to the log. While the outcome is unknown it retries with the same record identifier, so
// that the change takes effect at most once.
func (c *Coord) propose(ctx context.Context, change follower.Change) (statelog.Outcome, error) {
	// crypto/rand.Read never returns an error; it crashes the program instead.
	_, _ = rand.Read(change.ID[:])
	for {
		out, err := c.store.Propose(ctx, change)
		var pe *follower.ProposeError
		if err == nil || !errors.As(err, &pe) || !pe.MayTakeEffect || ctx.Err() != nil {
			return out, err
		}
		sleep(ctx, joinDelay)
	}
}

// newIncarnation returns the incarnation for the next join proposal: greater than that of any earlier proposal of
// this process and than that of the member recorded under the node name.
func (c *Coord) newIncarnation(old *statelog.Member) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	inc := c.incarnation
	if c.joinProposed {
		inc++
	}
	c.joinProposed = true
	if old != nil {
		inc = max(inc, old.Incarnation+1)
	}
	if inc != c.incarnation {
		c.incarnation = inc
		c.history.SetIncarnation(inc)
		c.net.SetIncarnation(inc)
	}
	return inc
}

// SetVMList takes a newly polled VM list. It proposes the removal of members whose VM has been missing from enough
// consecutive lists.
func (c *Coord) SetVMList(vms []vmapi.VM) {
	c.mu.Lock()
	c.polledVMs.vms = vms
	overdue := c.updateAbsence(time.Now())
	c.mu.Unlock()
	c.updateTargets()
	for _, m := range overdue {
		if c.acquireBackground() {
			go func() {
				defer c.background.Done()
				defer func() { <-c.backgroundSem }()
				c.removeMember(m)
			}()
		}
	}
}

// updateAbsence counts, for each member, the consecutive lists that lack its VM, and returns the members whose
// removal is due. A list that lacks this node's own VM is considered incomplete and is not counted. A member that has
// sent a heartbeat within heartbeatTimeout is not counted as absent.
func (c *Coord) updateAbsence(now time.Time) []statelog.Member {
	l := &c.polledVMs
	if l.everListed == nil {
		l.everListed = make(map[string]bool)
		l.missedPolls = make(map[memberKey]int)
	}
	listed := make(map[string]bool, len(l.vms))
	for _, vm := range l.vms {
		listed[vm.Name] = true
	}
	set := c.history.Current()
	if set == nil || !c.history.Member() || !listed[c.cfg.VM] {
		return nil
	}
	silent := c.history.Silent(heartbeatTimeout, now)
	var overdue []statelog.Member
	for i := range set.Members {
		m := set.Members[i]
		key := memberKey{m.Node, m.Incarnation}
		if listed[m.VM] {
			l.everListed[m.VM] = true
		}
		if m.Node == c.cfg.Node || listed[m.VM] || !slices.Contains(silent, m.Node) {
			delete(l.missedPolls, key)
			continue
		}
		l.missedPolls[key]++
		due := removalPolls
		if !l.everListed[m.VM] {
			due = removalPollsUnseen
		}
		rank := membership.Rank(set.Members, c.cfg.Node, m.Version)
		if n := l.missedPolls[key] - due - rank*removalStaggerPolls; n >= 0 && n%removalPollsUnseen == 0 {
			overdue = append(overdue, m)
		}
	}
	return overdue
}

// pruneNonMembers discards the absence counts, seen VMs and heartbeats of nodes that are no longer members.
func (c *Coord) pruneNonMembers(set *membership.Set) {
	for key := range c.polledVMs.missedPolls {
		if !set.Has(key.node, key.incarnation) {
			delete(c.polledVMs.missedPolls, key)
		}
	}
	for vm := range c.polledVMs.everListed {
		if !slices.ContainsFunc(set.Members, func(m statelog.Member) bool { return m.VM == vm }) {
			delete(c.polledVMs.everListed, vm)
		}
	}
	for node := range c.heartbeats {
		if _, ok := set.Find(node); !ok {
			delete(c.heartbeats, node)
		}
	}
}

// removeMember proposes the removal of a member whose VM no longer exists.
func (c *Coord) removeMember(m statelog.Member) {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	out, err := c.propose(ctx, follower.Change{
		Op: statelog.OpLeave, Author: c.cfg.Node, BaseVersion: m.Version, Member: &m,
	})
	switch {
	case err != nil:
		c.log.Warnf("coord: cannot remove member %s: %v", m.Node, err)
	case out.Status == statelog.StatusAccepted:
		c.log.Infof("coord: removed member %s: its VM %s is no longer listed", m.Node, m.VM)
	}
}
