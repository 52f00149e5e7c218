package coord

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/berylwharf/berylwharf/peer"
	"github.com/berylwharf/berylwharf/slots"
)

// slotTypes are the message types of the slots protocol, by slots.Kind − 1.
var slotTypes = [...]string{
	"slot-acquire", "slot-grant", "slot-grant-ack", "slot-return", "slot-return-ack",
	"slot-recall", "slot-report", "slot-report-ack",
}

// Acquire takes one slot on one of the candidates, which are VM names in order of preference. It waits until one is free
// or ctx ends.
func (c *Coord) Acquire(ctx context.Context, candidates []string) (string, error) {
	if len(candidates) == 0 {
		return "", errors.New("no candidate for a slot")
	}
	if err := ctx.Err(); err != nil {
		return "", errors.Wrap(err, "waiting for a slot")
	}
	assigned := make(chan string, 1)
	var id uint64
	refused := false
	c.step(func(now time.Time) {
		if refused = c.draining; refused {
			return
		}
		c.nextWaiter++
		id = c.nextWaiter
		c.waiters[id] = assigned
		c.slots.Acquire(id, candidates, now)
	})
	if refused {
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
	c.cancel(id, assigned)
	return "", errors.Wrap(ctx.Err(), "waiting for a slot")
}

// cancel ends a waiting request. A slot that was assigned in the meantime is returned.
func (c *Coord) cancel(id uint64, assigned chan string) {
	c.step(func(now time.Time) {
		if c.slots.Cancel(id, now) {
			delete(c.waiters, id)
			return
		}
		// Assignments are sent under the lock, so this one is already in the channel.
		if vm := <-assigned; vm != "" {
			c.slots.Return(vm, 0, now)
		}
	})
}

// Return gives a slot back, or keeps it out of use for the time of a quarantine.
func (c *Coord) Return(vm string, quarantine time.Duration) {
	c.step(func(now time.Time) { c.slots.Return(vm, quarantine, now) })
}

// serveSlots passes a message of another node's slots core on.
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
