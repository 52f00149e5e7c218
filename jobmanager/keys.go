package jobmanager

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/berylwharf/berylwharf/apikey"
)

const (
	// freshReadInterval is the minimum time between the starts of two reads of the operators' records that calls wait for. It
	// bounds the load that calls with unknown keys put on the store to 4 reads a second for each node.
	freshReadInterval = 250 * time.Millisecond
	// maxReadWaiters bounds the calls that wait for such reads, and so the memory that calls with unknown keys take.
	maxReadWaiters = 1000
)

// View is what a node knows for deciding on a call.
type View struct {
	// Knowledge says how new the configuration is. It was read before Config.
	Knowledge apikey.Knowledge
	Config    *Config // nil if there is none yet
	// Outdated means that the node knows of records that replace the configuration for longer than the bound allows.
	Outdated bool
	// MayLack means that a later version may be in force by the bound, as far as the node can tell.
	MayLack bool
	// Revocation is the time after which a removed key is no longer accepted; 0 if there is no such bound.
	Revocation time.Duration
	// RetryAfter is the time after which a caller may retry a call on which the node can't decide.
	RetryAfter time.Duration
}

// View returns what the node knows.
func (n *Node) View() View {
	state, bound := n.ConfigState(), n.settings.Limits.configBound()
	v := View{
		Outdated: state.outdated(bound), MayLack: state.mayLack(bound),
		Revocation: n.settings.Limits.KeyRevocation(), RetryAfter: retryAfter(n.storeDownFor()),
	}
	// The order matters, see applyConfiguration.
	if k := n.knowledge.Load(); k != nil {
		v.Knowledge = *k
	}
	v.Config = n.config.Load()
	return v
}

// CountKeyDecision counts a decision on the key of a call.
func (n *Node) CountKeyDecision(o apikey.Outcome) { n.metrics.countKey(string(o)) }

// freshRead is a read of the operators' records that calls wait for.
type freshRead struct {
	done chan struct{}
	err  error // set before done is closed
}

// freshReads shares reads of the operators' records among the calls that need one which began after their arrival.
type freshReads struct {
	wake chan struct{}

	mu      sync.Mutex
	next    *freshRead // the read that has not begun yet; nil if no call waits for one
	waiters int
}

func newFreshReads() *freshReads { return &freshReads{wake: make(chan struct{}, 1)} }

// Errors of AwaitRead.
var (
	errTooManyWaiters = errors.New("too many calls wait for a read of the configuration")
	errNodeClosed     = errors.New("the node is closed")
)

// AwaitRead waits until a read of the operators' records that began after the call of AwaitRead was applied to the
// configuration. It returns an error if the read fails, the context ends or too many calls wait.
func (n *Node) AwaitRead(ctx context.Context) error {
	f := n.freshReads
	f.mu.Lock()
	if f.waiters >= maxReadWaiters {
		f.mu.Unlock()
		return errTooManyWaiters
	}
	f.waiters++
	if f.next == nil {
		f.next = &freshRead{done: make(chan struct{})}
	}
	r := f.next
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		f.waiters--
		f.mu.Unlock()
	}()
	n.wakeUp(f.wake)
	select {
	case <-r.done:
		return r.err
	case <-ctx.Done():
		return ctx.Err()
	case <-n.ctx.Done():
		return errNodeClosed
	}
}

// begin returns the read that calls wait for, or nil. Calls that come later wait for the next one.
func (f *freshReads) begin() *freshRead {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.next
	f.next = nil
	return r
}

// makeFreshReads makes the reads that calls wait for, one at a time.
func (n *Node) makeFreshReads() {
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-n.freshReads.wake:
		}
		r := n.freshReads.begin()
		if r == nil {
			continue
		}
		startedAt := n.clock.Now().Steady
		r.err = n.readFresh()
		close(r.done)
		sleep(n.ctx, freshReadInterval-(n.clock.Now().Steady-startedAt))
	}
}

// readFresh reads the operators' records up to their end and applies the configuration. The calls that wait for it have deadlines
// of their own.
func (n *Node) readFresh() error {
	n.metrics.countKey("fresh read")
	change, err := n.operators.ReadNow(n.ctx)
	if err != nil {
		n.metrics.countKey("fresh read failed")
		n.log.Event(LogEvent{Component: "keys", Event: "read failed", Reason: err.Error()})
		return err
	}
	n.applyConfiguration(change)
	return nil
}
