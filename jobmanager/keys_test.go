package jobmanager

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// countingOperators counts fresh reads. Version i+1 is what read number i shows; every fifth read fails.
type countingOperators struct {
	clock SystemClock
	mu    sync.Mutex
	reads int64
}

func (o *countingOperators) Next(context.Context) (*OperatorChange, error) {
	return nil, errors.New("not used")
}

func (o *countingOperators) ReadNow(context.Context) (*OperatorChange, error) {
	c := &OperatorChange{Complete: true, ReadAt: o.clock.Now().Steady}
	time.Sleep(10 * time.Millisecond)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.reads++
	if o.reads%5 == 0 {
		return nil, errors.New("the store does not answer")
	}
	c.Config = &Config{Version: o.reads}
	return c, nil
}

// TestCallsShareFreshReads guards against a read of the store for each unknown key, and against an answer from a read that
// began before the call arrived.
func TestCallsShareFreshReads(t *testing.T) {
	operators := &countingOperators{}
	n := &Node{
		settings: &Settings{Shards: 1}, clock: operators.clock, operators: operators, log: NewLog(io.Discard, "n"),
		metrics: newNodeMetrics(), freshReads: newFreshReads(),
	}
	n.ctx, n.cancel = context.WithCancel(t.Context())
	n.wg.Go(n.makeFreshReads)
	defer n.Close()
	began := time.Now()
	var calls sync.WaitGroup
	for range 200 {
		calls.Go(func() {
			for range 4 {
				arrived := n.clock.Now().Steady
				err := n.AwaitRead(t.Context())
				if v := n.View(); err == nil && (v.Knowledge.ReadAt < arrived || v.Config == nil) {
					t.Errorf("the read began %v before the call arrived", arrived-v.Knowledge.ReadAt)
				}
			}
		})
	}
	calls.Wait()
	if most := int64(2 + time.Since(began)/freshReadInterval); operators.reads > most || operators.reads < 4 {
		t.Errorf("%d reads for 800 calls in %v, want 4 to %d", operators.reads, time.Since(began), most)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := n.AwaitRead(ctx); err == nil {
		t.Error("a call whose deadline is over waited for a read")
	}
	n.freshReads.waiters = maxReadWaiters
	if err := n.AwaitRead(t.Context()); !errors.Is(err, errTooManyWaiters) {
		t.Errorf("a call too many: %v", err)
	}
}
