package coord

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/berylwharf/berylwharf/claims"
	"github.com/berylwharf/berylwharf/membership"
	"github.com/berylwharf/berylwharf/peer"
)

const (
	typeClaim     = "claim"
	typeClaimDone = "claim-done"

	// claimTimeout bounds a decision, with the time to catch up with another epoch.
	claimTimeout = 2 * time.Second
	// askTimeout bounds one question to a home node: many round trips within a region, and short enough that the second
	// home node is asked well before a caller gives up.
	askTimeout = 500 * time.Millisecond
	// staleDelay is the time until a home node that lags behind is asked again.
	staleDelay = 50 * time.Millisecond

	// inProgressWait bounds how long a later attempt waits for the outcome of an attempt in progress; inProgressDelay is the
	// first pause, which doubles.
	inProgressWait  = 600 * time.Millisecond
	inProgressDelay = 10 * time.Millisecond

	// maxDeliveries bounds the claim outcomes that wait for their acknowledgement. Beyond it an outcome is sent once,
	// without waiting.
	maxDeliveries   = 256
	deliveryTries   = 3
	deliveryTimeout = time.Second
	deliveryDelay   = 300 * time.Millisecond

	undeliveredInterval = 10 * time.Second
)

// activeClaim is a granted attempt of this node that has not ended.
type activeClaim struct {
	attempt claims.AttemptID
	fp      claims.Fingerprint
	homes   []string // all that may hold the claim
}

// Begin claims a request identifier at its home nodes. A later attempt waits a short time for an attempt in progress: the
// outcome of a completed one may still be on its way to the home nodes when the caller repeats at once.
func (c *Coord) Begin(ctx context.Context, key claims.Key, fp claims.Fingerprint, first bool) claims.Decision {
	if key.InFuture(time.Now()) {
		return claims.Decision{Result: claims.ResultFuture}
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	for waited, delay := time.Duration(0), inProgressDelay; ; waited, delay = waited+delay, 2*delay {
		d := c.begin(ctx, key, fp, first)
		if d.Result != claims.ResultInProgress || first || waited >= inProgressWait {
			return d
		}
		pause(ctx, delay)
	}
}

// begin makes one attempt to claim.
func (c *Coord) begin(ctx context.Context, key claims.Key, fp claims.Fingerprint, first bool) claims.Decision {
	c.mu.Lock()
	c.nextAttempt++
	id := claims.AttemptID{Node: c.cfg.Node, Incarnation: c.incarnation, Seq: c.nextAttempt}
	c.mu.Unlock()
	r := claims.Request{Key: key, Fingerprint: fp, First: first, Attempt: id}
	d, homes := c.decide(ctx, r)
	if d.Result != claims.ResultGranted {
		c.deliver(homes, claims.Done{Key: key, Fingerprint: fp, Attempt: id})
		return d
	}
	c.mu.Lock()
	c.active[key] = activeClaim{attempt: id, fp: fp, homes: homes}
	c.mu.Unlock()
	return d
}

// decide asks the home nodes until all of them and this node are at the same epoch. It returns the nodes that may hold a
// claim of the attempt, and both home nodes when it is granted.
func (c *Coord) decide(ctx context.Context, r claims.Request) (claims.Decision, []string) {
	var asked []string
	for {
		set, member, moved := c.epoch()
		if member {
			first, second := set.KeyHomes(r.Key.Hash())
			r.Epoch = set.Epoch
			a := claims.NewAttempt(r.Key, r.First, first, second)
			stale := c.ask(ctx, a, r)
			asked = union(asked, a.Asked())
			if d, ok := a.Decision(); ok {
				if d.Result == claims.ResultGranted {
					asked = union(asked, nonEmpty(first, second))
				}
				return d, asked
			}
			if stale <= set.Epoch {
				// The home node lags behind and will not wake this one.
				moved = nil
			}
		}
		if !c.await(ctx, moved) {
			return claims.Decision{Result: claims.ResultUnreachable}, asked
		}
	}
}

// await waits for a change of the epoch, or a short time.
func (c *Coord) await(ctx context.Context, moved <-chan struct{}) bool {
	t := time.NewTimer(staleDelay)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-moved:
	case <-t.C:
	}
	return ctx.Err() == nil
}

// ask runs one attempt. It returns the home node's epoch when that differs, with the attempt undecided.
func (c *Coord) ask(ctx context.Context, a *claims.Attempt, r claims.Request) (stale uint64) {
	for home := a.Next(); home != ""; home = a.Next() {
		reply, err := c.askHome(ctx, home, r)
		if err != nil {
			a.Unreachable()
			continue
		}
		if reply.Status == claims.StatusStale {
			return reply.Epoch
		}
		a.Reply(reply)
	}
	return 0
}

func (c *Coord) askHome(ctx context.Context, home string, r claims.Request) (claims.Reply, error) {
	if home == c.cfg.Node {
		return c.claim(c.cfg.Node, r), nil
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var reply claims.Reply
	err := c.net.Call(ctx, home, typeClaim, r, &reply)
	return reply, err
}

// epoch returns the current set, whether this node is a member, and a channel that is closed at the next change.
func (c *Coord) epoch() (*membership.Set, bool, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.history.Current(), c.history.Member(), c.epochMoved
}

// claim decides on a request as a home node.
func (c *Coord) claim(from string, r claims.Request) claims.Reply {
	c.mu.Lock()
	defer c.mu.Unlock()
	set := c.history.Current()
	if set == nil || !c.history.Member() || !set.Has(from, r.Attempt.Incarnation) || set.Epoch != r.Epoch {
		reply := claims.Reply{Status: claims.StatusStale}
		if set != nil {
			reply.Epoch = set.Epoch
		}
		return reply
	}
	now := time.Now()
	return c.table.Claim(r, coverage(c.history, r.Key), now)
}

// coverage returns what a node knows about its duty as a home of a key.
func coverage(h *membership.History, k claims.Key) claims.Coverage {
	hash := k.Hash()
	cov := claims.Coverage{Settled: h.Settled(hash)}
	cov.HomeSince, cov.Known = h.HomeSince(hash)
	// A later attempt under a key without a time is never granted, so that none can have overtaken the first.
	if t, ok := k.Time(); ok {
		cov.Replaced = h.Replaced(hash, t.Add(-claims.ClockSkew))
	}
	return cov
}

func (c *Coord) serveClaim(_ context.Context, from string, body peer.Body) (any, error) {
	r, err := decodeClaim(from, body)
	if err != nil {
		return nil, err
	}
	return c.claim(from, r), nil
}

func decodeClaim(from string, body peer.Body) (claims.Request, error) {
	var r claims.Request
	if err := peer.Decode(body, &r); err != nil {
		return r, errors.Wrap(peer.ErrMalformed, err.Error())
	}
	if r.Attempt.Node != from {
		return r, errors.Wrap(peer.ErrMalformed, "claim for another node")
	}
	if err := r.Key.Check(); err != nil {
		return r, errors.Wrap(peer.ErrMalformed, err.Error())
	}
	return r, nil
}

// Finish records how a granted attempt ended.
func (c *Coord) Finish(key claims.Key, phase claims.Phase, answer *claims.Answer) {
	c.mu.Lock()
	a, ok := c.active[key]
	delete(c.active, key)
	c.mu.Unlock()
	if !ok {
		return
	}
	if answer != nil && len(answer.Body) > claims.MaxStoredAnswerBytes {
		answer = nil
	}
	c.deliver(a.homes, claims.Done{Key: key, Fingerprint: a.fp, Attempt: a.attempt, Phase: phase, Answer: answer})
}

// deliver sends the outcome of an attempt to home nodes. An outcome that does not arrive leaves the claim in place,
// which is refused as may-have-run.
func (c *Coord) deliver(homes []string, d claims.Done) {
	for _, home := range homes {
		if home == c.cfg.Node {
			c.mu.Lock()
			c.table.Finish(d, time.Now())
			c.mu.Unlock()
			continue
		}
		if !c.beginDelivery() {
			_ = c.net.Send(home, typeClaimDone, d)
			continue
		}
		go func() {
			defer c.background.Done()
			defer func() { <-c.deliveries }()
			c.deliverTo(home, d)
		}()
	}
}

// beginDelivery takes a place for a delivery, unless all are taken or the node has stopped.
func (c *Coord) beginDelivery() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-c.stopped:
		return false
	default:
	}
	select {
	case c.deliveries <- struct{}{}:
		c.background.Add(1)
		return true
	default:
		return false
	}
}

// reportUndelivered counts an outcome that a home node did not get, and logs at most one line each undeliveredInterval: a
// dead home node loses one outcome for each request until its removal.
func (c *Coord) reportUndelivered(home string, err error) {
	undelivered := metrics.GetOrRegisterCounter("coord.claims.undelivered", c.cfg.Metrics)
	undelivered.Inc(1)
	now := time.Now()
	c.mu.Lock()
	due := now.Sub(c.undeliveredAt) >= undeliveredInterval
	if due {
		c.undeliveredAt = now
	}
	c.mu.Unlock()
	if due {
		c.log.Warnf("coord: outcome of a claim not delivered to %s: %v (%d so far)", home, err, undelivered.Count())
	}
}

func (c *Coord) deliverTo(home string, d claims.Done) {
	for try := 1; ; try++ {
		ctx, cancel := context.WithTimeout(context.Background(), deliveryTimeout)
		err := c.net.Call(ctx, home, typeClaimDone, d, nil)
		cancel()
		if err == nil {
			return
		}
		if try == deliveryTries {
			c.reportUndelivered(home, err)
			return
		}
		t := time.NewTimer(deliveryDelay)
		select {
		case <-t.C:
		case <-c.stopped:
			t.Stop()
			return
		}
	}
}

func (c *Coord) serveClaimDone(_ context.Context, from string, body peer.Body) (any, error) {
	d, err := decodeClaimDone(from, body)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	c.table.Finish(d, time.Now())
	c.mu.Unlock()
	return nil, nil
}

func decodeClaimDone(from string, body peer.Body) (claims.Done, error) {
	var d claims.Done
	if err := peer.Decode(body, &d); err != nil {
		return d, errors.Wrap(peer.ErrMalformed, err.Error())
	}
	if d.Attempt.Node != from {
		return d, errors.Wrap(peer.ErrMalformed, "outcome of another node's claim")
	}
	if err := d.Key.Check(); err != nil {
		return d, errors.Wrap(peer.ErrMalformed, err.Error())
	}
	return d, nil
}

func nonEmpty(names ...string) []string {
	return slices.DeleteFunc(names, func(s string) bool { return s == "" })
}

// union adds the names that are missing.
func union(names, more []string) []string {
	for _, m := range more {
		if !slices.Contains(names, m) {
			names = append(names, m)
		}
	}
	return names
}
