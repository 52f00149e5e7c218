package coord

import (
	"context"
	"time"

	"github.com/berylwharf/berylwharf/follower"
	"github.com/berylwharf/berylwharf/peer"
	"github.com/berylwharf/berylwharf/statelog"
)

// leave shuts down the slots and ends the membership. If graceful, it waits up to ShutdownTimeout for all slots to be
// returned and sends a final heartbeat before it proposes to leave.
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
	c.awaitRelease(ctx)
	cancel()
	c.sendFinalHeartbeat()
	v := c.store.View()
	m := findMember(v, c.cfg.Node)
	c.mu.Lock()
	stillMember := m != nil && m.Incarnation == c.incarnation
	c.mu.Unlock()
	if !stillMember {
		return
	}
	ctx, cancel = context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	out, err := c.propose(ctx, follower.Change{
		Op: statelog.OpLeave, Author: c.cfg.Node, BaseVersion: m.Version, Member: m,
	})
	switch {
	case err != nil:
		c.log.Warnf("coord: cannot leave the region: %v", err)
	case out.Status != statelog.StatusAccepted:
		c.log.Warnf("coord: cannot leave the region: leave record has status %s", out.Status)
	default:
		c.log.Infof("coord: left the region at offset %d", out.Offset)
	}
}

// awaitRelease waits until this node holds no slot and no quarantine, then stops it from granting slots as a home
// node. If ctx ends first, the other members put the slots that this node may have held in quarantine.
func (c *Coord) awaitRelease(ctx context.Context) {
	for {
		c.mu.Lock()
		n := c.slots.Counts()
		if n.Held == 0 && n.InUse == 0 && n.Returning == 0 && n.Quarantined == 0 {
			c.slots.CloseHome()
			c.released = true
		}
		done := c.released
		c.mu.Unlock()
		if done || ctx.Err() != nil {
			return
		}
		sleep(ctx, tickInterval/2)
	}
}

// sendFinalHeartbeat sends a heartbeat to all connected peers and waits for their replies, so that they know whether
// this node has released all slots.
func (c *Coord) sendFinalHeartbeat() {
	ctx, cancel := context.WithTimeout(context.Background(), peer.HeartbeatInterval)
	defer cancel()
	hb := c.heartbeat()
	c.mu.Lock()
	hb.Node, hb.Incarnation = c.cfg.Node, c.incarnation
	c.mu.Unlock()
	nodes := c.net.ConnectedNodes()
	done := make(chan struct{}, len(nodes))
	for _, node := range nodes {
		go func() {
			// A node that does not receive the heartbeat assumes that slots may still be in use.
			_ = c.net.Call(ctx, node, peer.TypeHeartbeat, hb, nil)
			done <- struct{}{}
		}()
	}
	for range nodes {
		<-done
	}
}
