package peer

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/coder/websocket"
	"github.com/pkg/errors"
)

const (
	// minDialDelay and maxDialDelay bound the delay between attempts to open a link. The maximum is short, so that a node
	// that comes back is reached within a few seconds. This costs little: one connection attempt per absent node.
	minDialDelay = 100 * time.Millisecond
	maxDialDelay = 5 * time.Second
	// acceptorDialDelay is how long the node with the greater name waits for the other node to open the link before it
	// dials itself.
	acceptorDialDelay = 500 * time.Millisecond
	// linkPollInterval is the interval at which a missing link is checked for.
	linkPollInterval = 100 * time.Millisecond
)

// Target is an address to which a link is kept open. Node may be "" while it is unknown.
type Target struct {
	Node string
	Addr string
}

type target struct {
	node   string
	cancel context.CancelFunc
}

// SetTargets replaces the addresses to which links are kept open. Existing links to other addresses stay until they end.
func (n *Net) SetTargets(targets []Target) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ctx.Err() != nil {
		return
	}
	wanted := make(map[string]string, len(targets))
	for _, t := range targets {
		if t.Addr == "" || t.Node == n.cfg.Node {
			continue
		}
		if wanted[t.Addr] == "" {
			wanted[t.Addr] = t.Node
		}
	}
	for addr, t := range n.targets {
		if _, ok := wanted[addr]; !ok {
			t.cancel()
			delete(n.targets, addr)
		}
	}
	for addr, node := range wanted {
		if t := n.targets[addr]; t != nil {
			if node != "" {
				t.node = node
			}
			continue
		}
		ctx, cancel := context.WithCancel(n.ctx)
		t := &target{node: node, cancel: cancel}
		n.targets[addr] = t
		n.wg.Go(func() { n.maintainLink(ctx, addr, t) })
	}
}

// maintainLink dials an address whenever there is no link to its node, until ctx ends or the address is this node's own.
func (n *Net) maintainLink(ctx context.Context, addr string, t *target) {
	delay := minDialDelay
	var downSince time.Time
	for ctx.Err() == nil {
		node, l := n.linkTo(t)
		if l != nil {
			downSince = time.Time{}
			delay = minDialDelay
			l.waitUntilEnded(ctx)
			n.sleepContext(ctx, linkPollInterval)
			continue
		}
		if downSince.IsZero() {
			downSince = time.Now()
		}
		if node != "" && node < n.cfg.Node && time.Since(downSince) < acceptorDialDelay {
			n.sleepContext(ctx, linkPollInterval)
			continue
		}
		err := n.dial(ctx, addr, t)
		if errors.Is(err, errSelf) {
			return
		}
		if err == nil {
			delay = minDialDelay
		} else if ctx.Err() == nil {
			n.log.Debugf("peer: cannot open link to %s: %v", addr, err)
		}
		// Half of the delay is random, so that nodes that lost their links simultaneously do not dial simultaneously.
		n.sleepContext(ctx, delay/2+rand.N(delay/2+1))
		delay = min(2*delay, maxDialDelay)
	}
}

// linkTo returns the node of a target and the link to it, or nil if there is none.
func (n *Net) linkTo(t *target) (node string, l *link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if t.node == "" {
		return "", nil
	}
	return t.node, n.links[t.node]
}

func (l *link) waitUntilEnded(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-l.ctx.Done():
	}
}

func (n *Net) sleepContext(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// dial opens a link and serves it until it ends.
func (n *Net) dial(ctx context.Context, addr string, t *target) error {
	dialCtx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	// The caller of websocket.Dial never needs to close the response body.
	c, _, err := websocket.Dial(dialCtx, "ws://"+addr+linkPath, &websocket.DialOptions{HTTPClient: n.client}) //nolint:bodyclose
	if err != nil {
		return errors.Wrap(err, "dial")
	}
	other, err := handshake(ctx, c, n.key, n.hello(), func(other hello) error { return n.checkDialed(other, t) })
	if err != nil {
		_ = c.CloseNow()
		if errors.Is(err, ErrWrongKey) {
			n.log.Warnf("peer: refused %s: %v", addr, err)
		}
		return err
	}
	n.runLink(newLink(n, c, other, true))
	return nil
}

// checkDialed returns an error if no link to the dialed node is to be opened. An address may be listed under the name of
// a node that no longer uses it; dialing it would repeatedly replace the link to the node that uses it now.
func (n *Net) checkDialed(other hello, t *target) error {
	if other.Node == n.cfg.Node {
		return errSelf
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if t.node != "" && t.node != other.Node && n.links[other.Node] != nil {
		return errors.Errorf("the address belongs to %s, to which a link is already open", other.Node)
	}
	t.node = other.Node
	return nil
}
