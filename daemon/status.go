package daemon

import (
	"encoding/hex"

	"github.com/berylwharf/berylwharf/operator"
)

// States of a node in the list of nodes that the operators' API returns.
const (
	stateReady    = "ready"
	stateNotReady = "not-ready"
	stateDraining = "draining"
	stateSilent   = "silent"
)

// Ready implements Readiness.
func (d *Daemon) Ready() (reason string) {
	switch {
	case d.draining.Load():
		return "shutting down"
	case !d.follower.Status().Loaded:
		return "the state is not loaded yet"
	case d.tableOffset.Load() == 0:
		return "no VM list yet"
	case !d.coord.Member():
		return "not a member yet"
	case !d.settled.Load():
		return "the members have changed a moment ago"
	}
	return ""
}

// NodeStatuses implements operator.Nodes.
func (d *Daemon) NodeStatuses() []operator.NodeStatus {
	s := d.coord.Status()
	view := d.follower.View()
	self := operator.NodeStatus{
		Node: d.cfg.Node, VM: d.cfg.VM, Zone: d.cfg.Zone, Region: d.cfg.Region,
		PeerAddr: d.listeners.peers.Addr().String(), Incarnation: s.Incarnation, Self: true, Member: s.Member,
		State: stateReady, Epoch: s.Epoch, NextOffset: view.NextOffset, StateHash: hex.EncodeToString(view.Hash[:]),
	}
	if reason := d.Ready(); reason != "" {
		self.State, self.Message = stateNotReady, reason
	}
	if d.draining.Load() {
		self.State = stateDraining
	}
	nodes := []operator.NodeStatus{self}
	for i := range s.Members {
		m := &s.Members[i]
		if m.Node == d.cfg.Node {
			continue
		}
		state := stateReady
		switch {
		case !m.Alive:
			state = stateSilent
		case m.Draining:
			state = stateDraining
		}
		nodes = append(nodes, operator.NodeStatus{
			Node: m.Node, VM: m.VM, Zone: m.Zone, Region: d.cfg.Region, PeerAddr: m.PeerAddr,
			Incarnation: m.Incarnation, Member: true, State: state, Epoch: m.Epoch, NextOffset: m.Next,
		})
	}
	return nodes
}
