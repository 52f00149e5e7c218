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
	// joinDelay is the time between attempts to join; a log outage ends them all the same way.
	joinDelay = time.Second
	// leaveTimeout bounds the leave record on shutdown.
	leaveTimeout = 5 * time.Second
	// absentPolls is how many lists in a row must lack a member's VM. The list lags, and a single list may be wrong.
	absentPolls = 3
	// absentUnseen applies to a VM that this node never saw listed: the list of a new VM lags.
	absentUnseen = 30
	// rankPolls is the number of lists by which the members' proposals of a removal are apart, so that normally only
	// one proposes it.
	rankPolls = 2
)

// vmList is what the platform's VM list says about the members.
type vmList struct {
	vms    []vmapi.VM
	seen   map[string]bool // VMs that were listed at least once
	absent map[absentee]int
}

type absentee struct {
	node        string
	incarnation uint64
}

// watch follows the shared state.
func (c *Coord) watch(ctx context.Context) {
	for {
		v := c.store.View()
		c.apply(v)
		select {
		case <-ctx.Done():
			return
		case <-c.store.Changed(v):
		}
	}
}

// apply takes over the members and the longest run time from a view.
func (c *Coord) apply(v *statelog.View) {
	maxRun := longestRun(v)
	members := v.RegionMembers(c.cfg.Region)
	epoch := c.epochOf(v)
	moved := false
	c.step(func(now time.Time) {
		c.slots.SetMaxRun(maxRun)
		set := membership.NewSet(epoch, members)
		set.NeverRemoved = epoch > 0 && v.Removal(c.cfg.Region) == 0
		if moved = c.history.Observe(set, now); !moved {
			return
		}
		c.slots.SetEpoch(set, c.history.Gap(), c.history.Member(), c.history.Released, now)
		c.forgetAbsent(set)
		close(c.epochMoved)
		c.epochMoved = make(chan struct{})
	})
	if moved {
		c.retarget()
		// The others wait for this node's epoch before they rely on it.
		c.net.Beat()
	}
}

// longestRun returns the greatest run time that a service declares.
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

// retarget opens links to the members, the listed entry VMs and the configured addresses.
func (c *Coord) retarget() {
	var targets []peer.Target
	c.mu.Lock()
	if set := c.history.Current(); set != nil {
		for i := range set.Members {
			m := &set.Members[i]
			targets = append(targets, peer.Target{Node: m.Node, Addr: m.PeerAddr})
		}
	}
	for _, vm := range c.list.vms {
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

// keepMembership joins, and joins again after a removal, until ctx ends.
func (c *Coord) keepMembership(ctx context.Context, stop context.CancelCauseFunc) {
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
			c.log.Warnf("coord: join not accepted: %v", err)
			pause(ctx, joinDelay)
		}
	}
}

func pause(ctx context.Context, d time.Duration) {
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

// checkMember tells whether this incarnation is a member.
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

// join proposes this node as a member. Each proposal after the first has a new incarnation: after a removal the other
// members keep the slots of the old one in quarantine, and after an unknown outcome the old one may have been a member.
func (c *Coord) join(ctx context.Context, v *statelog.View) error {
	old := findMember(v, c.cfg.Node)
	inc := c.newIncarnation(old)
	m := statelog.Member{
		Node: c.cfg.Node, Incarnation: inc, VM: c.cfg.VM,
		Zone: c.cfg.Zone, Region: c.cfg.Region, PeerAddr: c.cfg.Advertise,
	}
	change := follower.Change{Op: statelog.OpJoin, Author: c.cfg.Node, Member: &m}
	if old != nil {
		change.Base = old.Version
	}
	out, err := c.propose(ctx, change)
	if err != nil {
		return err
	}
	if out.Status != statelog.StatusAccepted {
		return errors.Errorf("the record is %s", out.Status)
	}
	c.mu.Lock()
	c.joined = true
	c.mu.Unlock()
	c.log.Infof("coord: joined at offset %d", out.Offset)
	// The view with this membership may follow after the outcome.
	for ctx.Err() == nil {
		v := c.store.View()
		if v.Next > out.Offset {
			return nil
		}
		select {
		case <-ctx.Done():
		case <-c.store.Changed(v):
		}
	}
	return nil
}

// propose proposes a change and repeats it under the same identifier while its outcome is unknown.
func (c *Coord) propose(ctx context.Context, change follower.Change) (statelog.Outcome, error) {
	// crypto/rand.Read never returns an error; it ends the process instead.
	_, _ = rand.Read(change.ID[:])
	for {
		out, err := c.store.Propose(ctx, change)
		var pe *follower.ProposeError
		if err == nil || !errors.As(err, &pe) || !pe.MayTakeEffect || ctx.Err() != nil {
			return out, err
		}
		pause(ctx, joinDelay)
	}
}

// newIncarnation returns the incarnation to join with.
func (c *Coord) newIncarnation(old *statelog.Member) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	inc := c.incarnation
	if c.joinTried {
		inc++
	}
	c.joinTried = true
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

// SetVMList passes on a newly polled VM list. It proposes the removal of members whose VM the lists lack.
func (c *Coord) SetVMList(vms []vmapi.VM) {
	c.mu.Lock()
	c.list.vms = vms
	gone := c.countAbsent(time.Now())
	c.mu.Unlock()
	c.retarget()
	for _, m := range gone {
		if c.beginDelivery() {
			go func() {
				defer c.background.Done()
				defer func() { <-c.deliveries }()
				c.remove(m)
			}()
		}
	}
}

// countAbsent counts the lists that lack a member's VM, and returns the members whose removal is due. A list without this
// node's own VM proves nothing about the others, and neither does one that lacks a member that was just heard.
func (c *Coord) countAbsent(now time.Time) []statelog.Member {
	l := &c.list
	if l.seen == nil {
		l.seen = make(map[string]bool)
		l.absent = make(map[absentee]int)
	}
	listed := make(map[string]bool, len(l.vms))
	for _, vm := range l.vms {
		listed[vm.Name] = true
	}
	set := c.history.Current()
	if set == nil || !c.history.Member() || !listed[c.cfg.VM] {
		return nil
	}
	silent := c.history.Silent(silentAfter, now)
	var gone []statelog.Member
	for i := range set.Members {
		m := set.Members[i]
		key := absentee{m.Node, m.Incarnation}
		if listed[m.VM] {
			l.seen[m.VM] = true
		}
		if m.Node == c.cfg.Node || listed[m.VM] || !slices.Contains(silent, m.Node) {
			delete(l.absent, key)
			continue
		}
		l.absent[key]++
		due := absentPolls
		if !l.seen[m.VM] {
			due = absentUnseen
		}
		rank := membership.Rank(set.Members, c.cfg.Node, m.Version)
		if n := l.absent[key] - due - rank*rankPolls; n >= 0 && n%absentUnseen == 0 {
			gone = append(gone, m)
		}
	}
	return gone
}

// forgetAbsent drops the counts of nodes that are no longer members.
func (c *Coord) forgetAbsent(set *membership.Set) {
	for key := range c.list.absent {
		if !set.Has(key.node, key.incarnation) {
			delete(c.list.absent, key)
		}
	}
	for vm := range c.list.seen {
		if !slices.ContainsFunc(set.Members, func(m statelog.Member) bool { return m.VM == vm }) {
			delete(c.list.seen, vm)
		}
	}
	for node := range c.heartbeats {
		if _, ok := set.Find(node); !ok {
			delete(c.heartbeats, node)
		}
	}
}

// remove proposes the removal of a member whose VM is gone.
func (c *Coord) remove(m statelog.Member) {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	out, err := c.propose(ctx, follower.Change{
		Op: statelog.OpLeave, Author: c.cfg.Node, Base: m.Version, Member: &m,
	})
	switch {
	case err != nil:
		c.log.Warnf("coord: removal of %s not accepted: %v", m.Node, err)
	case out.Status == statelog.StatusAccepted:
		c.log.Infof("coord: removed %s, whose VM %s is no longer listed", m.Node, m.VM)
	}
}
