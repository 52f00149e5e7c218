package peer

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// TypeHeartbeat is the message type of heartbeats. They are sent as one-way messages every HeartbeatInterval on each
// link. A heartbeat sent as a request is answered with the receiver's own.
const TypeHeartbeat = "heartbeat"

// HeartbeatInterval is the time between the periodic heartbeats on a link.
const HeartbeatInterval = time.Second

// StateHash is a prefix of the hash of a state. Eight bytes are enough to detect differing states and keep heartbeats
// small.
type StateHash [8]byte

// Heartbeat is the status that a node sends to the other nodes every HeartbeatInterval.
type Heartbeat struct {
	Node        string    `cbor:"1,keyasint"`
	Incarnation uint64    `cbor:"2,keyasint"`
	Zone        string    `cbor:"3,keyasint,omitempty"`
	Epoch       uint64    `cbor:"4,keyasint,omitempty"`
	Next        uint64    `cbor:"5,keyasint,omitempty"` // all records before this offset are applied
	Hash        StateHash `cbor:"6,keyasint"`
	Draining    bool      `cbor:"7,keyasint,omitempty"`
	FreeSlots   uint32    `cbor:"8,keyasint,omitempty"` // of the workers whose home node this is
	// InFlight lists the VMs being taken out of service on which the node still has requests.
	InFlight []string `cbor:"9,keyasint,omitempty"`
	// Released means that the node holds no slots or quarantines and will not take or grant any.
	Released bool `cbor:"10,keyasint,omitempty"`
	// Health lists the workers that the node probes as their home node and found not alive, at most MaxHealthEntries.
	Health []WorkerHealth `cbor:"11,keyasint,omitempty"`
	// TableOffset is the offset before which all records are in effect in the node's routing table.
	TableOffset uint64 `cbor:"12,keyasint,omitempty"`
	// StrongMember means that the node is a confirmed member of the group of shard owners and strong enough to be one beside any
	// other. It is set by nodes of the job manager only.
	StrongMember bool `cbor:"13,keyasint,omitempty"`
}

// MaxHealthEntries is the maximum number of workers in Heartbeat.Health. It limits the size of heartbeats in an outage
// of a whole zone.
const MaxHealthEntries = 256

// WorkerHealth is the result of a probe that found a worker's backend server not alive.
type WorkerHealth struct {
	VM string `cbor:"1,keyasint"`
	// Leaving means that the server announced that it will stop; otherwise it does not answer.
	Leaving bool `cbor:"2,keyasint,omitempty"`
}

// decodeHeartbeat decodes a heartbeat and checks that it names the node it came from.
func decodeHeartbeat(from string, body Body) (Heartbeat, error) {
	var hb Heartbeat
	if err := Decode(body, &hb); err != nil {
		return hb, errors.Wrap(ErrMalformed, err.Error())
	}
	if hb.Node != from {
		return hb, errors.Wrapf(ErrMalformed, "heartbeat for node %q received from %q", hb.Node, from)
	}
	return hb, nil
}

func (n *Net) serveHeartbeat(_ context.Context, from string, body Body) (any, error) {
	hb, err := decodeHeartbeat(from, body)
	if err != nil {
		return nil, err
	}
	if n.cfg.OnHeartbeat != nil {
		n.cfg.OnHeartbeat(from, hb)
	}
	return n.ownHeartbeat(), nil
}

func (n *Net) ownHeartbeat() Heartbeat {
	var hb Heartbeat
	if n.cfg.Heartbeat != nil {
		hb = n.cfg.Heartbeat()
	}
	hb.Node = n.cfg.Node
	hb.Incarnation = n.incarnation()
	return hb
}

// heartbeatLoop sends heartbeats until the links are closed.
func (n *Net) heartbeatLoop() {
	for n.sleep(HeartbeatInterval) {
		n.SendHeartbeats()
	}
}

// SendHeartbeats sends a heartbeat on all links immediately, for example after a change that other nodes wait for.
func (n *Net) SendHeartbeats() {
	n.mu.Lock()
	links := make([]*link, 0, len(n.links))
	for _, l := range n.links {
		links = append(links, l)
	}
	n.mu.Unlock()
	if len(links) == 0 {
		return
	}
	body, err := Encode(n.ownHeartbeat())
	if err != nil {
		n.log.Errorf("peer: heartbeat not sent: %v", err)
		return
	}
	for _, l := range links {
		// A heartbeat that does not fit into the queue is dropped; the next one follows within HeartbeatInterval.
		_ = l.enqueue(frame{Type: TypeHeartbeat, Body: body})
	}
}

// sendHeartbeat sends a heartbeat on one link.
func (n *Net) sendHeartbeat(l *link) {
	if body, err := Encode(n.ownHeartbeat()); err == nil {
		_ = l.enqueue(frame{Type: TypeHeartbeat, Body: body})
	}
}
