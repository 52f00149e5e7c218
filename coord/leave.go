package coord

import (
	"context"
	"time"

	"github.com/berylwharf/berylwharf/follower"
	"github.com/berylwharf/berylwharf/peer"
	"github.com/berylwharf/berylwharf/statelog"
)

// leave returns the slots, tells the others that nothing is held any more, and ends the membership.
func (c *Coord) leave(graceful bool) {
	c.step(func(now time.Time) {
		c.draining = true
		c.slots.Drain(now)
		for id, assigned := range c.waiters {
			if c.slots.Cancel(id, now) {
				delete(c.waiters, id)
				assigned <- ""
			}
		}
	})
	if !graceful {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.cfg.ShutdownTimeout)
	c.awaitReturns(ctx)
	cancel()
	c.announce()
	v := c.store.View()
	m := findMember(v, c.cfg.Node)
	c.mu.Lock()
	own := m != nil && m.Incarnation == c.incarnation
	c.mu.Unlock()
	if !own {
		return
	}
	ctx, cancel = context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	out, err := c.propose(ctx, follower.Change{
		Op: statelog.OpLeave, Author: c.cfg.Node, Base: m.Version, Member: m,
	})
	switch {
	case err != nil:
		c.log.Warnf("coord: leave not accepted: %v", err)
	case out.Status != statelog.StatusAccepted:
		c.log.Warnf("coord: leave not accepted: the record is %s", out.Status)
	default:
		c.log.Infof("coord: left at offset %d", out.Offset)
	}
}

// awaitReturns waits until this node holds no slot and keeps no quarantine as a home node, and then ends its duty. When
// ctx ends before, the others keep what this node may have held in quarantine.
func (c *Coord) awaitReturns(ctx context.Context) {
	for {
		c.mu.Lock()
		n := c.slots.Counts()
		if n.Held == 0 && n.InUse == 0 && n.Returning == 0 && n.Quarantined == 0 {
			c.slots.Release()
			c.released = true
		}
		done := c.released
		c.mu.Unlock()
		if done || ctx.Err() != nil {
			return
		}
		pause(ctx, tickInterval/2)
	}
}

// announce sends a last heartbeat to all peers and waits for their replies, so that they know that nothing is held.
func (c *Coord) announce() {
	ctx, cancel := context.WithTimeout(context.Background(), peer.HeartbeatInterval)
	defer cancel()
	hb := c.heartbeat()
	c.mu.Lock()
	hb.Node, hb.Incarnation = c.cfg.Node, c.incarnation
	c.mu.Unlock()
	nodes := c.net.Connected()
	done := make(chan struct{}, len(nodes))
	for _, node := range nodes {
		go func() {
			// Without the reply the node assumes that slots may still be in use.
			_ = c.net.Call(ctx, node, peer.TypeHeartbeat, hb, nil)
			done <- struct{}{}
		}()
	}
	for range nodes {
		<-done
	}
}
