package peer

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// TypeHeartbeat is the type of heartbeats. They are sent each second on each link; as a request they are answered with
// the receiver's own.
const TypeHeartbeat = "heartbeat"

// HeartbeatInterval is the time between heartbeats.
const HeartbeatInterval = time.Second

// StateHash is the start of the hash of a state. Eight bytes find a difference between states and keep heartbeats small.
type StateHash [8]byte

// Heartbeat is what a node tells the others each second.
type Heartbeat struct {
	Node        string    `cbor:"1,keyasint"`
	Incarnation uint64    `cbor:"2,keyasint"`
	Zone        string    `cbor:"3,keyasint,omitempty"`
	Epoch       uint64    `cbor:"4,keyasint,omitempty"`
	Next        uint64    `cbor:"5,keyasint,omitempty"` // all records before this offset are applied
	Hash        StateHash `cbor:"6,keyasint"`
	Draining    bool      `cbor:"7,keyasint,omitempty"`
	FreeSlots   uint32    `cbor:"8,keyasint,omitempty"` // of the workers for which the node is the home node
	// InFlight lists the VMs under release on which the node still has requests.
	InFlight []string `cbor:"9,keyasint,omitempty"`
	// Released states that the node holds no slots and no quarantines, and will not take or grant any.
	Released bool `cbor:"10,keyasint,omitempty"`
	// Health lists the workers that the node probes as their home node and that are not alive, at most MaxHealth.
	Health []WorkerHealth `cbor:"11,keyasint,omitempty"`
	// Routed is the offset before which all records are in force in the node's routing table.
	Routed uint64 `cbor:"12,keyasint,omitempty"`
}

// MaxHealth bounds the workers in one heartbeat, so that an outage of a whole zone does not grow heartbeats without end.
const MaxHealth = 256

// WorkerHealth is the result of a probe of a worker's backend server.
type WorkerHealth struct {
	VM string `cbor:"1,keyasint"`
	// Leaving states that the server announces its end; otherwise it does not answer.
	Leaving bool `cbor:"2,keyasint,omitempty"`
}

// decodeHeartbeat decodes and checks a heartbeat of a node.
func decodeHeartbeat(from string, body Body) (Heartbeat, error) {
	var hb Heartbeat
	if err := Decode(body, &hb); err != nil {
		return hb, errors.Wrap(ErrMalformed, err.Error())
	}
	if hb.Node != from {
		return hb, errors.Wrapf(ErrMalformed, "heartbeat of %q from %q", hb.Node, from)
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
	return n.own(), nil
}

func (n *Net) own() Heartbeat {
	var hb Heartbeat
	if n.cfg.Heartbeat != nil {
		hb = n.cfg.Heartbeat()
	}
	hb.Node = n.cfg.Node
	hb.Incarnation = n.incarnation()
	return hb
}

// beat sends heartbeats until the links are closed.
func (n *Net) beat() {
	for n.sleep(HeartbeatInterval) {
		n.Beat()
	}
}

// Beat sends a heartbeat on all links now, as after a change that the others wait for.
func (n *Net) Beat() {
	n.mu.Lock()
	links := make([]*link, 0, len(n.links))
	for _, l := range n.links {
		links = append(links, l)
	}
	n.mu.Unlock()
	if len(links) == 0 {
		return
	}
	body, err := Encode(n.own())
	if err != nil {
		n.log.Errorf("peer: heartbeat not sent: %v", err)
		return
	}
	for _, l := range links {
		// A full queue delays the heartbeat; the next one is due in a second.
		_ = l.enqueue(frame{Type: TypeHeartbeat, Body: body})
	}
}

func (n *Net) sendHeartbeat(l *link) {
	if body, err := Encode(n.own()); err == nil {
		_ = l.enqueue(frame{Type: TypeHeartbeat, Body: body})
	}
}
