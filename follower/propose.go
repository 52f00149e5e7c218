package follower

import (
	"context"
	"crypto/rand"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/berylwharf/berylwharf/logclient"
	"github.com/berylwharf/berylwharf/statelog"
	"github.com/berylwharf/berylwharf/vmapi"
)

// Causes of a ProposeError, in addition to the errors of the context and of the log client.
var (
	ErrStopped        = errors.New("the follower has stopped")
	ErrNotLoaded      = errors.New("the state has not been loaded yet")
	ErrBusy           = errors.New("too many changes are waiting for an outcome")
	ErrOutcomeExpired = errors.New("the log advanced beyond the deduplication window while this node did not read it")
)

// proposal is a record whose outcome is not known yet. The follower's mutex guards its fields. data is never modified,
// so that all attempts append the same bytes.
type proposal struct {
	id   statelog.RecordID
	data []byte
	done chan struct{} // closed when outcome or err is set

	outcome statelog.Outcome
	err     error

	waiters        int
	inFlight       bool // an append is in progress
	acknowledged   bool // an append succeeded; the outcome is not known until the record is read
	outcomeUnknown bool // an append failed without proof that it had no effect
	attempts       int
	notBefore      time.Time
	lastErr        error
}

func (p *proposal) mayTakeEffect() bool { return p.inFlight || p.acknowledged || p.outcomeUnknown }

func (p *proposal) isDone() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// Propose implements Store. Repeating a proposal with the same identifier returns the outcome of the first one while the
// identifier is in the deduplication window. For a change that is not valid, Propose returns the outcome malformed and
// appends nothing.
func (f *Follower) Propose(ctx context.Context, c Change) (statelog.Outcome, error) {
	if c.ID == (statelog.RecordID{}) {
		if _, err := rand.Read(c.ID[:]); err != nil {
			return statelog.Outcome{}, &ProposeError{Cause: err}
		}
	}
	if err := f.waitLoaded(ctx); err != nil {
		return statelog.Outcome{}, &ProposeError{ID: c.ID, Cause: err}
	}
	p, out, err := f.enqueue(c)
	if err != nil {
		return statelog.Outcome{}, &ProposeError{ID: c.ID, Cause: err}
	}
	if p == nil {
		return out, nil
	}
	select {
	case <-p.done:
	case <-ctx.Done():
	case <-f.stopped:
	}
	return f.stopWaiting(ctx, p)
}

func (f *Follower) waitLoaded(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	select {
	case <-f.loaded:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), ErrNotLoaded.Error())
	case <-f.stopped:
		return ErrStopped
	}
}

// enqueue returns the proposal to wait for, or the outcome when it is already known.
func (f *Follower) enqueue(c Change) (*proposal, statelog.Outcome, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if out, ok := f.state.Lookup(c.ID); ok {
		return nil, out, nil
	}
	if p := f.pending[c.ID]; p != nil {
		p.waiters++
		return p, statelog.Outcome{}, nil
	}
	if len(f.pending) >= maxPendingProposals {
		return nil, statelog.Outcome{}, ErrBusy
	}
	rec := &statelog.Record{
		ID: c.ID, Op: c.Op, Key: c.Key, BaseVersion: c.BaseVersion, ReadPos: f.state.Next(), Author: c.Author, Spec: c.Spec,
		Member: c.Member, UnixMsec: time.Now().UnixMilli(),
	}
	if c.Member != nil {
		m := *c.Member
		m.Version = 0
		rec.Member = &m
	}
	data, err := statelog.EncodeRecord(rec)
	if err != nil {
		return nil, statelog.Outcome{ID: c.ID, Status: statelog.StatusMalformed, Message: err.Error()}, nil
	}
	p := &proposal{id: c.ID, data: data, done: make(chan struct{}), waiters: 1}
	f.pending[c.ID] = p
	f.queue = append(f.queue, p)
	f.wakeAppendLoop()
	return p, statelog.Outcome{}, nil
}

// stopWaiting ends the wait of one caller and returns its result. When no other caller waits, the proposal is not
// attempted again.
func (f *Follower) stopWaiting(ctx context.Context, p *proposal) (statelog.Outcome, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p.waiters--
	if p.isDone() {
		if p.err != nil {
			return statelog.Outcome{}, p.err
		}
		return p.outcome, nil
	}
	if p.waiters == 0 {
		f.removePendingLocked(p)
	}
	cause := ctx.Err()
	if cause == nil {
		cause = ErrStopped
	}
	if p.lastErr != nil {
		cause = errors.Wrapf(cause, "last attempt: %v", p.lastErr)
	}
	// The proposal continues to be attempted while other callers wait for it.
	mayStillApply := p.mayTakeEffect() || p.waiters > 0
	return statelog.Outcome{}, &ProposeError{ID: p.id, MayTakeEffect: mayStillApply, Cause: cause}
}

func (f *Follower) removePendingLocked(p *proposal) {
	if f.pending[p.id] == p {
		delete(f.pending, p.id)
	}
	for i, q := range f.queue {
		if q == p {
			f.queue = append(f.queue[:i], f.queue[i+1:]...)
			return
		}
	}
}

// resolveLocked completes the pending proposal id, if there is one and the state holds its outcome.
func (f *Follower) resolveLocked(id statelog.RecordID) {
	p := f.pending[id]
	if p == nil {
		return
	}
	out, ok := f.state.Lookup(id)
	if !ok {
		return
	}
	p.outcome = out
	f.removePendingLocked(p)
	close(p.done)
}

// resolveAfterReplaceLocked completes proposals after the state was replaced. If the new state is more than the
// deduplication window ahead of the old one, the outcome of a proposal may be in the skipped part. A proposal that may
// have been appended then fails with ErrOutcomeExpired instead of being retried: the retry would be stale, which means
// "not accepted", although the first attempt may have been accepted.
func (f *Follower) resolveAfterReplaceLocked(old uint64) {
	skipped := f.state.Next() > old+statelog.DedupWindow
	for id, p := range f.pending {
		f.resolveLocked(id)
		if p.isDone() || !skipped || !p.mayTakeEffect() {
			continue
		}
		p.err = &ProposeError{ID: id, MayTakeEffect: true, Cause: ErrOutcomeExpired}
		f.removePendingLocked(p)
		close(p.done)
	}
}

func (f *Follower) wakeAppendLoop() {
	select {
	case f.appendWake <- struct{}{}:
	default:
	}
}

// appendLoop appends the queued proposals in batches. While the maximum number of appends is in flight, new proposals
// stay in the queue for the next batch.
func (f *Follower) appendLoop(ctx context.Context) {
	inFlight := make(chan struct{}, maxConcurrentAppends)
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		select {
		case inFlight <- struct{}{}:
		case <-ctx.Done():
			return
		}
		batch := f.waitBatch(ctx)
		if batch == nil {
			return
		}
		wg.Go(func() {
			f.append(ctx, batch)
			<-inFlight
		})
	}
}

// waitBatch returns the next batch, or nil when the context ends.
func (f *Follower) waitBatch(ctx context.Context) []*proposal {
	for {
		batch, wait := f.takeBatch(time.Now())
		if len(batch) > 0 {
			return batch
		}
		t := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			t.Stop()
			return nil
		case <-f.appendWake:
		case <-t.C:
		}
		t.Stop()
	}
}

// takeBatch removes due proposals from the queue, up to the limits of an append, and marks them as in flight. When none
// is due, it returns the time to wait for the next one.
func (f *Follower) takeBatch(now time.Time) ([]*proposal, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var batch, rest []*proposal
	size, wait := 0, maxTimeout
	for _, p := range f.queue {
		n := encodedSize(p.data)
		due := !p.notBefore.After(now)
		if !due || len(batch) == vmapi.MaxAppendRecords || size+n > maxBatchBytes {
			if !due {
				wait = min(wait, p.notBefore.Sub(now))
			}
			rest = append(rest, p)
			continue
		}
		size += n
		p.inFlight = true
		batch = append(batch, p)
	}
	f.queue = rest
	return batch, wait
}

// encodedSize returns the size of a record in the JSON body of an append: base64, quotes and a comma.
func encodedSize(data []byte) int { return (len(data)+2)/3*4 + 3 }

// append makes one attempt to append a batch. If it fails, it returns the proposals to the queue.
func (f *Follower) append(ctx context.Context, batch []*proposal) {
	records := make([][]byte, len(batch))
	attempts := batch[0].attempts
	for i, p := range batch {
		records[i] = p.data
		attempts = min(attempts, p.attempts)
	}
	actx, cancel := context.WithTimeout(ctx, backoff(f.cfg.AppendTimeout, attempts, maxTimeout))
	defer cancel()
	_, err := f.cfg.Log.Append(actx, statelog.StreamConfig, records)
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil && ctx.Err() == nil {
		f.cfg.Logger.Warnf("follower: append of %d records failed: %v", len(batch), err)
	}
	for _, p := range batch {
		f.finishAttemptLocked(p, err)
	}
	f.wakeAppendLoop()
}

func (f *Follower) finishAttemptLocked(p *proposal, err error) {
	p.inFlight = false
	p.attempts++
	if err == nil {
		p.acknowledged = true
		return
	}
	p.outcomeUnknown = p.outcomeUnknown || logclient.MayTakeEffect(err)
	p.lastErr = fmt.Errorf("attempt %d: %w", p.attempts, err)
	if f.pending[p.id] != p {
		return
	}
	p.notBefore = time.Now().Add(backoff(f.cfg.MinRetryDelay, p.attempts-1, f.cfg.MaxRetryDelay))
	f.queue = append(f.queue, p)
}
