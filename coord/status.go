package coord

import (
	"slices"
	"time"

	"github.com/berylwharf/berylwharf/peer"
)

// Status describes the coordination as seen by one node.
type Status struct {
	Node          string         `json:"node"`
	Incarnation   uint64         `json:"incarnation"`
	Member        bool           `json:"member"`
	Epoch         uint64         `json:"epoch"`
	Covered       bool           `json:"covered"` // all members are known to have reached this epoch
	Draining      bool           `json:"draining"`
	Members       []MemberStatus `json:"members"`
	FreeSlots     int            `json:"freeSlots"` // on listed workers whose home node is this node
	HeldSlots     int            `json:"heldSlots"`
	InUse         int            `json:"slotsInUse"`
	Quarantined   int            `json:"slotsQuarantined"` // held by this node as a home node
	Waiting       int            `json:"waitingForSlots"`
	Claims        int            `json:"claims"`
	ResponseBytes int            `json:"storedAnswerBytes"`
}

// MemberStatus describes a member as seen by one node.
type MemberStatus struct {
	Node        string `json:"node"`
	VM          string `json:"vm"`
	Zone        string `json:"zone"`
	Incarnation uint64 `json:"incarnation"`
	PeerAddr    string `json:"peerAddr"`
	Alive       bool   `json:"alive"` // sent a heartbeat in the last 3 s
	Epoch       uint64 `json:"epoch"` // greatest epoch that the member has acknowledged
	Next        uint64 `json:"next"`  // the member has applied all records below this offset
	FreeSlots   uint32 `json:"freeSlots"`
	Draining    bool   `json:"draining"`
}

// Status returns the current status of the coordination.
func (c *Coord) Status() Status {
	v := c.store.View()
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	n := c.slots.Counts()
	s := Status{
		Node:          c.cfg.Node,
		Incarnation:   c.incarnation,
		Member:        c.history.Member(),
		Covered:       c.history.Covered(),
		Draining:      c.draining,
		FreeSlots:     c.freeSlots(now),
		HeldSlots:     n.Held,
		InUse:         n.InUse,
		Quarantined:   n.Quarantined,
		Waiting:       n.Waiting,
		Claims:        c.claimTable.Len(),
		ResponseBytes: c.claimTable.ResponseBytes(),
	}
	set := c.history.Current()
	if set == nil {
		return s
	}
	s.Epoch = set.Epoch
	silent := c.history.Silent(heartbeatTimeout, now)
	for i := range set.Members {
		m := &set.Members[i]
		hb := c.heartbeats[m.Node]
		if m.Node == c.cfg.Node {
			hb = peer.Heartbeat{Next: v.NextOffset, FreeSlots: uint32(s.FreeSlots), Draining: c.draining}
		}
		s.Members = append(s.Members, MemberStatus{
			Node: m.Node, VM: m.VM, Zone: m.Zone, Incarnation: m.Incarnation, PeerAddr: m.PeerAddr,
			Alive: !slices.Contains(silent, m.Node), Epoch: c.history.AcknowledgedEpoch(m.Node),
			Next: hb.Next, FreeSlots: hb.FreeSlots, Draining: hb.Draining,
		})
	}
	return s
}

// Member reports whether this node is a member. Only a member may serve callers.
func (c *Coord) Member() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.history.Member()
}

// UnacknowledgedMembers returns the members that have not yet acknowledged the release of a VM. These are the members,
// possibly including this node, that have not applied the record at the offset or that still have requests on the VM.
func (c *Coord) UnacknowledgedMembers(vm string, offset uint64) []string {
	own := c.routedOffset()
	var ownInFlight []string
	if c.cfg.ReleasedInFlight != nil {
		ownInFlight = c.cfg.ReleasedInFlight()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	set := c.history.Current()
	if set == nil {
		return nil
	}
	var waiting []string
	for i := range set.Members {
		m := &set.Members[i]
		next, inFlight := own, ownInFlight
		if m.Node != c.cfg.Node {
			hb := c.heartbeats[m.Node]
			if hb.Incarnation != m.Incarnation {
				waiting = append(waiting, m.Node)
				continue
			}
			next, inFlight = hb.TableOffset, hb.InFlight
		}
		if next <= offset || slices.Contains(inFlight, vm) {
			waiting = append(waiting, m.Node)
		}
	}
	return waiting
}
