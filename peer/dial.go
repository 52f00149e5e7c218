package peer

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/coder/websocket"
	"github.com/pkg/errors"
)

const (
	// dialMin and dialMax bound the delay between attempts to open a link. The greatest is short, so that a node that
	// returns is found within a few seconds, and costs little: one connection attempt for each absent node.
	dialMin = 100 * time.Millisecond
	dialMax = 5 * time.Second
	// acceptorDelay is how long the node with the greater name waits for the other one to open the link.
	acceptorDelay = 500 * time.Millisecond
	// linkPoll is how often the absence of a link is noticed.
	linkPoll = 100 * time.Millisecond
)

// Target is an address to which a link is kept open. Node may be "" when it is not known yet.
type Target struct {
	Node string
	Addr string
}

type target struct {
	node   string
	cancel context.CancelFunc
}

// SetTargets replaces the addresses to which links are kept open. Links to other addresses stay until they end.
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
		n.wg.Go(func() { n.keepOpen(ctx, addr, t) })
	}
}

// keepOpen dials an address whenever there is no link to its node.
func (n *Net) keepOpen(ctx context.Context, addr string, t *target) {
	delay := dialMin
	var missing time.Time
	for ctx.Err() == nil {
		node, up := n.state(t)
		if up {
			missing = time.Time{}
			delay = dialMin
			n.pause(ctx, linkPoll)
			continue
		}
		if missing.IsZero() {
			missing = time.Now()
		}
		if node != "" && node < n.cfg.Node && time.Since(missing) < acceptorDelay {
			n.pause(ctx, linkPoll)
			continue
		}
		err := n.dial(ctx, addr, t)
		if errors.Is(err, errSelf) {
			return
		}
		if err == nil {
			delay = dialMin
		} else if ctx.Err() == nil {
			n.log.Debugf("peer: no link to %s: %v", addr, err)
		}
		// Half of the delay is random, so that nodes that lost each other at once do not dial at once.
		n.pause(ctx, delay/2+rand.N(delay/2+1))
		delay = min(2*delay, dialMax)
	}
}

func (n *Net) state(t *target) (node string, up bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return t.node, t.node != "" && n.links[t.node] != nil
}

func (n *Net) pause(ctx context.Context, d time.Duration) {
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
	// The response body of a WebSocket dial is never to be closed by the caller.
	c, _, err := websocket.Dial(dialCtx, "ws://"+addr+path, &websocket.DialOptions{HTTPClient: n.client}) //nolint:bodyclose
	if err != nil {
		return errors.Wrap(err, "dial")
	}
	other, err := handshake(ctx, c, n.key, n.hello(), func(other hello) error { return n.admit(other, t) })
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

// admit decides whether a dialed node is the one to link with. An address may be listed under the name of a node that is
// gone; dialing it would replace the link to the node that has it now, again and again.
func (n *Net) admit(other hello, t *target) error {
	if other.Node == n.cfg.Node {
		return errSelf
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if t.node != "" && t.node != other.Node && n.links[other.Node] != nil {
		return errors.Errorf("the address is that of %s, which has a link", other.Node)
	}
	t.node = other.Node
	return nil
}
