package coord

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/berylwharf/berylwharf/peer"
	"github.com/berylwharf/berylwharf/slots"
)

// slotMessageTypes are the peer message types of the slots protocol, indexed by slots.Kind − 1.
var slotMessageTypes = [...]string{
	"slot-acquire", "slot-grant", "slot-grant-ack", "slot-return", "slot-return-ack",
	"slot-recall", "slot-report", "slot-report-ack",
}

// Acquire takes one slot on one of the candidates, which are VM names in order of preference. It waits until a slot
// is free or ctx ends. It returns ErrDraining once the node has started to shut down.
func (c *Coord) Acquire(ctx context.Context, candidates []string) (string, error) {
	if len(candidates) == 0 {
		return "", errors.New("cannot acquire a slot: no candidate VMs")
	}
	if err := ctx.Err(); err != nil {
		return "", errors.Wrap(err, "acquire a slot")
	}
	assigned := make(chan string, 1)
	var id uint64
	rejected := false
	c.step(func(now time.Time) {
		if rejected = c.draining; rejected {
			return
		}
		c.nextWaiter++
		id = c.nextWaiter
		c.waiters[id] = assigned
		c.slots.Acquire(id, candidates, now)
	})
	if rejected {
		return "", ErrDraining
	}
	select {
	case vm := <-assigned:
		if vm == "" {
			return "", ErrDraining
		}
		return vm, nil
	case <-ctx.Done():
	}
	c.cancelAcquire(id, assigned)
	return "", errors.Wrap(ctx.Err(), "waiting for a slot")
}

// cancelAcquire cancels a waiting request. If a slot has been assigned in the meantime, the slot is returned.
func (c *Coord) cancelAcquire(id uint64, assigned chan string) {
	c.step(func(now time.Time) {
		if c.slots.Cancel(id, now) {
			delete(c.waiters, id)
			return
		}
		// step sends assignments with mu held, so the channel already contains this one.
		if vm := <-assigned; vm != "" {
			c.slots.Return(vm, 0, now)
		}
	})
}

// Return releases a slot that Acquire assigned. If quarantine is positive, the slot is not assigned again until that time
// has passed.
func (c *Coord) Return(vm string, quarantine time.Duration) {
	c.step(func(now time.Time) { c.slots.Return(vm, quarantine, now) })
}

// serveSlots passes a message from another node to the slots state machine.
func (c *Coord) serveSlots(_ context.Context, from string, body peer.Body) (any, error) {
	m, err := decodeSlots(body)
	if err != nil {
		return nil, err
	}
	c.step(func(now time.Time) { c.slots.Receive(from, m, now) })
	return nil, nil
}

func decodeSlots(body peer.Body) (slots.Message, error) {
	var m slots.Message
	if err := peer.Decode(body, &m); err != nil {
		return m, errors.Wrap(peer.ErrMalformed, err.Error())
	}
	if err := m.Check(); err != nil {
		return m, errors.Wrap(peer.ErrMalformed, err.Error())
	}
	return m, nil
}
