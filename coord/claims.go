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

	// claimTimeout limits how long Begin may take, including the wait for nodes to reach the same epoch.
	claimTimeout = 2 * time.Second
	// homeCallTimeout limits one call to a home node. It covers many round trips within a region, and is short enough
	// that the second home node is called well before a caller gives up.
	homeCallTimeout = 500 * time.Millisecond
	// staleRetryDelay is the pause before home nodes are called again while they and this node are at different
	// epochs.
	staleRetryDelay = 50 * time.Millisecond

	// inProgressWait limits how long a later attempt waits for the outcome of an attempt in progress. It polls with
	// exponential backoff that starts at inProgressInitialDelay.
	inProgressWait         = 600 * time.Millisecond
	inProgressInitialDelay = 10 * time.Millisecond

	// maxDeliveries limits the claim outcomes that await an acknowledgement, together with the member removals in
	// progress. Above it an outcome is sent once, without an acknowledgement or a retry.
	maxDeliveries    = 256
	deliveryAttempts = 3
	deliveryTimeout  = time.Second
	deliveryDelay    = 300 * time.Millisecond

	undeliveredLogInterval = 10 * time.Second
)

// activeClaim is a granted attempt of this node for which Finish has not been called.
type activeClaim struct {
	attempt     claims.AttemptID
	fingerprint claims.Fingerprint
	homes       []string // nodes that may hold the claim
}

// Begin claims a request identifier at its home nodes. When another attempt is in progress, a later attempt waits for
// about inProgressWait: if the caller retries immediately, the outcome of a completed attempt may still be in transit
// to the home nodes.
func (c *Coord) Begin(ctx context.Context, key claims.Key, fingerprint claims.Fingerprint, first bool) claims.Decision {
	if key.InFuture(time.Now()) {
		return claims.Decision{Result: claims.ResultFuture}
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	for waited, delay := time.Duration(0), inProgressInitialDelay; ; waited, delay = waited+delay, 2*delay {
		d := c.tryClaim(ctx, key, fingerprint, first)
		if d.Result != claims.ResultInProgress || first || waited >= inProgressWait {
			return d
		}
		sleep(ctx, delay)
	}
}

// tryClaim makes one attempt to claim the identifier. It withdraws the claim from the home nodes if the attempt is
// not granted.
func (c *Coord) tryClaim(ctx context.Context, key claims.Key, fingerprint claims.Fingerprint, first bool) claims.Decision {
	c.mu.Lock()
	c.nextAttempt++
	id := claims.AttemptID{Node: c.cfg.Node, Incarnation: c.incarnation, Seq: c.nextAttempt}
	c.mu.Unlock()
	r := claims.Request{Key: key, Fingerprint: fingerprint, First: first, Attempt: id}
	d, homes := c.resolve(ctx, r)
	if d.Result != claims.ResultGranted {
		c.deliverOutcome(homes, claims.Outcome{Key: key, Fingerprint: fingerprint, Attempt: id})
		return d
	}
	c.mu.Lock()
	c.activeClaims[key] = activeClaim{attempt: id, fingerprint: fingerprint, homes: homes}
	c.mu.Unlock()
	return d
}

// resolve calls the home nodes until they and this node agree on the epoch. It returns the nodes that may hold a
// claim of the attempt; for a granted attempt these include both home nodes.
func (c *Coord) resolve(ctx context.Context, r claims.Request) (claims.Decision, []string) {
	var asked []string
	for {
		set, member, changed := c.currentEpoch()
		if member {
			first, second := set.KeyHomes(r.Key.Hash())
			r.Epoch = set.Epoch
			a := claims.NewAttempt(r.Key, r.First, first, second)
			stale := c.askHomes(ctx, a, r)
			asked = appendMissing(asked, a.Asked())
			if d, ok := a.Decision(); ok {
				if d.Result == claims.ResultGranted {
					asked = appendMissing(asked, nonEmpty(first, second))
				}
				return d, asked
			}
			if stale <= set.Epoch {
				// The home node is not ahead of this node, so there is no epoch change to wait for here. Retry after
				// staleRetryDelay.
				changed = nil
			}
		}
		if !c.waitForEpoch(ctx, changed) {
			return claims.Decision{Result: claims.ResultUndecided}, asked
		}
	}
}

// waitForEpoch waits for an epoch change or for staleRetryDelay. It returns false if ctx has ended.
func (c *Coord) waitForEpoch(ctx context.Context, changed <-chan struct{}) bool {
	t := time.NewTimer(staleRetryDelay)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-changed:
	case <-t.C:
	}
	return ctx.Err() == nil
}

// askHomes calls the home nodes in turn until the attempt is decided. If a home node replies that the epochs differ,
// askHomes returns the epoch of that node and leaves the attempt undecided.
func (c *Coord) askHomes(ctx context.Context, a *claims.Attempt, r claims.Request) (stale uint64) {
	for home := a.Next(); home != ""; home = a.Next() {
		reply, err := c.callHome(ctx, home, r)
		if err != nil {
			a.HandleUnreachable()
			continue
		}
		if reply.Status == claims.StatusStale {
			return reply.Epoch
		}
		a.HandleReply(reply)
	}
	return 0
}

func (c *Coord) callHome(ctx context.Context, home string, r claims.Request) (claims.Reply, error) {
	if home == c.cfg.Node {
		return c.decideAsHome(c.cfg.Node, r), nil
	}
	ctx, cancel := context.WithTimeout(ctx, homeCallTimeout)
	defer cancel()
	var reply claims.Reply
	err := c.net.Call(ctx, home, typeClaim, r, &reply)
	return reply, err
}

// currentEpoch returns the current member set, whether this node is a member, and a channel that is closed on the
// next epoch change.
func (c *Coord) currentEpoch() (*membership.Set, bool, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.history.Current(), c.history.Member(), c.epochChanged
}

// decideAsHome answers a claim request at this node as a home node of the key.
func (c *Coord) decideAsHome(from string, r claims.Request) claims.Reply {
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
	return c.claimTable.Claim(r, coverage(c.history, r.Key), now)
}

// coverage returns what the membership history shows about this node as a home node of a key.
func coverage(h *membership.History, k claims.Key) claims.Coverage {
	hash := k.Hash()
	cov := claims.Coverage{EarlierHomesInactive: h.EarlierHomesInactive(hash)}
	cov.HomeSince, cov.Known = h.HomeSince(hash)
	// A home node that does not know an untimed key never grants it to a later attempt, so no later attempt can have
	// run before the first one.
	if t, ok := k.Time(); ok {
		cov.HomesReplaced = h.HomesReplaced(hash, t.Add(-claims.ClockSkew))
	}
	return cov
}

func (c *Coord) serveClaim(_ context.Context, from string, body peer.Body) (any, error) {
	r, err := decodeClaim(from, body)
	if err != nil {
		return nil, err
	}
	return c.decideAsHome(from, r), nil
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

// Finish records the outcome of a granted attempt and sends it to the home nodes.
func (c *Coord) Finish(key claims.Key, phase claims.Phase, answer *claims.StoredResponse) {
	c.mu.Lock()
	a, ok := c.activeClaims[key]
	delete(c.activeClaims, key)
	c.mu.Unlock()
	if !ok {
		return
	}
	if answer != nil && len(answer.Body) > claims.MaxStoredResponseBytes {
		answer = nil
	}
	c.deliverOutcome(a.homes, claims.Outcome{Key: key, Fingerprint: a.fingerprint, Attempt: a.attempt, Phase: phase, Response: answer})
}

// deliverOutcome sends the outcome of an attempt to the given home nodes. If an outcome is lost, the claim stays in
// place, and later attempts are refused as may-have-run.
func (c *Coord) deliverOutcome(homes []string, outcome claims.Outcome) {
	for _, home := range homes {
		if home == c.cfg.Node {
			c.mu.Lock()
			c.claimTable.Finish(outcome, time.Now())
			c.mu.Unlock()
			continue
		}
		if !c.acquireBackground() {
			_ = c.net.Send(home, typeClaimDone, outcome)
			continue
		}
		go func() {
			defer c.background.Done()
			defer func() { <-c.backgroundSem }()
			c.deliverWithRetry(home, outcome)
		}()
	}
}

// acquireBackground acquires backgroundSem and registers a background goroutine, which releases both when it ends. It
// returns false if the semaphore is exhausted or the node has stopped.
func (c *Coord) acquireBackground() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-c.stopped:
		return false
	default:
	}
	select {
	case c.backgroundSem <- struct{}{}:
		c.background.Add(1)
		return true
	default:
		return false
	}
}

// recordUndelivered counts an outcome that did not reach a home node. It logs at most once per
// undeliveredLogInterval, because a dead home node misses one outcome per request until it is removed.
func (c *Coord) recordUndelivered(home string, err error) {
	undelivered := metrics.GetOrRegisterCounter("coord.claims.undelivered", c.cfg.Metrics)
	undelivered.Inc(1)
	now := time.Now()
	c.mu.Lock()
	due := now.Sub(c.undeliveredLoggedAt) >= undeliveredLogInterval
	if due {
		c.undeliveredLoggedAt = now
	}
	c.mu.Unlock()
	if due {
		c.log.Warnf("coord: cannot deliver claim outcome to %s: %v (%d undelivered in total)", home, err, undelivered.Count())
	}
}

func (c *Coord) deliverWithRetry(home string, outcome claims.Outcome) {
	for try := 1; ; try++ {
		ctx, cancel := context.WithTimeout(context.Background(), deliveryTimeout)
		err := c.net.Call(ctx, home, typeClaimDone, outcome, nil)
		cancel()
		if err == nil {
			return
		}
		if try == deliveryAttempts {
			c.recordUndelivered(home, err)
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
	outcome, err := decodeClaimDone(from, body)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	c.claimTable.Finish(outcome, time.Now())
	c.mu.Unlock()
	return nil, nil
}

func decodeClaimDone(from string, body peer.Body) (claims.Outcome, error) {
	var outcome claims.Outcome
	if err := peer.Decode(body, &outcome); err != nil {
		return outcome, errors.Wrap(peer.ErrMalformed, err.Error())
	}
	if outcome.Attempt.Node != from {
		return outcome, errors.Wrap(peer.ErrMalformed, "outcome of another node's claim")
	}
	if err := outcome.Key.Check(); err != nil {
		return outcome, errors.Wrap(peer.ErrMalformed, err.Error())
	}
	return outcome, nil
}

func nonEmpty(names ...string) []string {
	return slices.DeleteFunc(names, func(s string) bool { return s == "" })
}

// appendMissing appends the elements of more that names does not contain.
func appendMissing(names, more []string) []string {
	for _, m := range more {
		if !slices.Contains(names, m) {
			names = append(names, m)
		}
	}
	return names
}
