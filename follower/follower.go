package follower

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/berylwharf/berylwharf/logclient"
	"github.com/berylwharf/berylwharf/statelog"
	"github.com/berylwharf/berylwharf/vmapi"
)

// Follower replicates the state and implements Store. All methods are safe for concurrent use.
type Follower struct {
	cfg        Config
	started    atomic.Bool
	view       atomic.Pointer[statelog.View]
	loaded     chan struct{} // closed when the state is complete for the first time
	stopped    chan struct{} // closed when Run returns
	appendWake chan struct{} // signals a new or failed proposal to the append loop; buffers one signal, drops the others

	mu               sync.Mutex
	state            *statelog.State
	changed          chan struct{} // closed when the next view is published
	history          history
	pending          map[statelog.RecordID]*proposal
	queue            []*proposal // pending proposals to append: neither in flight nor acknowledged
	isLoaded         bool
	lastRead         time.Time
	head             uint64
	readFailingSince time.Time // zero when the last read succeeded
	snapshot         snapshotInfo
}

var _ Store = (*Follower)(nil)

// New returns a follower with an empty state.
func New(cfg Config) (*Follower, error) {
	if err := cfg.setDefaults(); err != nil {
		return nil, err
	}
	f := &Follower{
		cfg:        cfg,
		loaded:     make(chan struct{}),
		stopped:    make(chan struct{}),
		appendWake: make(chan struct{}, 1),
		state:      statelog.New(),
		changed:    make(chan struct{}),
		pending:    make(map[statelog.RecordID]*proposal),
	}
	f.view.Store(f.state.View())
	return f, nil
}

// Run follows the log until the context ends. It can be called only once.
func (f *Follower) Run(ctx context.Context) error {
	if !f.started.CompareAndSwap(false, true) {
		return errors.New("follower: Run called more than once")
	}
	defer close(f.stopped)
	var wg sync.WaitGroup
	wg.Go(func() { f.appendLoop(ctx) })
	wg.Go(func() { f.snapshotLoop(ctx) })
	f.followLoop(ctx)
	wg.Wait()
	return nil
}

// View implements Store.
func (f *Follower) View() *statelog.View { return f.view.Load() }

// Changed implements Store. A nil view is older than any other view.
func (f *Follower) Changed(v *statelog.View) <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if v == nil || f.view.Load().NextOffset > v.NextOffset {
		c := make(chan struct{})
		close(c)
		return c
	}
	return f.changed
}

// Lookup implements Store.
func (f *Follower) Lookup(id statelog.RecordID) (statelog.Outcome, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Lookup(id)
}

// Loaded returns a channel that is closed when the state is complete for the first time, which means that it has reached
// the head of the log or the state of a peer.
func (f *Follower) Loaded() <-chan struct{} { return f.loaded }

// Status describes how current the state is.
type Status struct {
	Loaded           bool      // the state has been complete at least once
	LastRead         time.Time // time of the last successful read of stream config; zero when there was none
	ReadFailingSince time.Time // time since which reads have failed; zero when the last one succeeded
	Next             uint64    // next offset to apply
	Head             uint64    // next free offset of the log at the last successful read; 0 when there was none
	Snapshot         uint64    // offset of the newest snapshot that this node knows; 0 when it knows none
	Pending          int       // number of proposals without an outcome
}

// Status returns the current Status.
func (f *Follower) Status() Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	return Status{
		Loaded: f.isLoaded, LastRead: f.lastRead, ReadFailingSince: f.readFailingSince, Next: f.state.Next(), Head: f.head,
		Snapshot: f.snapshot.offset, Pending: len(f.pending),
	}
}

func (f *Follower) next() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Next()
}

// followLoop reads stream config. After a failed read it fetches from a peer and retries after a delay.
func (f *Follower) followLoop(ctx context.Context) {
	failures, batch := 0, configBatchRecords
	if err := f.loadSnapshot(ctx); err != nil && ctx.Err() == nil {
		f.cfg.Logger.Warnf("follower: loading a snapshot failed: %v", err)
	}
	for ctx.Err() == nil {
		start := time.Now()
		n, err := f.readOnce(ctx, batch, failures)
		if err == nil {
			f.markReadOK()
			failures, batch = 0, configBatchRecords
			if pause := f.cfg.PollWait / 8; n == 0 && time.Since(start) < pause {
				sleep(ctx, pause) // the log service returned without waiting; this limits the rate of reads
			}
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, logclient.ErrResponseTooLarge) && batch > 1 {
			batch /= 2
			continue
		}
		failures++
		if f.handleReadError(ctx, err) {
			continue
		}
		delay := backoff(f.cfg.MinRetryDelay, failures-1, f.cfg.MaxRetryDelay)
		sleep(ctx, delay/2+rand.N(delay/2+1))
	}
}

// readOnce does one long poll and applies its records. After failures it also fetches from peers during the poll,
// because the timeout of the poll can be much longer than the time within which a change must be in force.
func (f *Follower) readOnce(ctx context.Context, batch, failures int) (int, error) {
	timeout := f.cfg.PollWait + backoff(f.cfg.ReadTimeout, failures, maxTimeout)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if failures > 0 && f.cfg.Peers != nil {
		var wg sync.WaitGroup
		defer wg.Wait()
		defer cancel()
		wg.Go(func() {
			for sleep(ctx, f.cfg.PollWait) {
				f.fetchFromPeer(ctx)
			}
		})
	}
	from := f.next()
	wait := f.cfg.PollWait
	if !f.Status().Loaded {
		// Until the state is complete, reads do not wait: with no new records in the log, the wait would only delay the
		// start of the node.
		wait = 0
	}
	resp, err := f.cfg.Log.Read(ctx, statelog.StreamConfig, from, batch, wait)
	if err != nil {
		return 0, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if resp.Next < from && resp.Next != f.head {
		f.cfg.Logger.Errorf("follower: log ends at offset %d, before the applied offset %d; keeping the state", resp.Next, from)
	}
	f.lastRead = time.Now()
	f.head = resp.Next
	f.applyLocked(resp.Records)
	if f.state.Next() >= resp.Next {
		f.setLoadedLocked()
	}
	return len(resp.Records), nil
}

// handleReadError handles a failed read. It reports whether the records to read were trimmed and the state has since
// advanced beyond them, so that reading can continue without a delay.
func (f *Follower) handleReadError(ctx context.Context, cause error) bool {
	var gone *logclient.GoneError
	if !errors.As(cause, &gone) {
		f.markReadFailing(cause)
		f.fetchFromPeer(ctx)
		return false
	}
	from := f.next()
	f.cfg.Logger.Warnf("follower: records from offset %d have been trimmed, the oldest is at %d", from, gone.Oldest)
	if err := f.loadSnapshot(ctx); err != nil && ctx.Err() == nil {
		f.cfg.Logger.Warnf("follower: loading a snapshot failed: %v", err)
	}
	if f.next() < gone.Oldest {
		f.fetchFromPeer(ctx)
	}
	if f.next() >= gone.Oldest {
		return true
	}
	f.cfg.Logger.Errorf("follower: no snapshot and no peer has a state at offset %d or later", gone.Oldest)
	return false
}

func (f *Follower) markReadFailing(cause error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.readFailingSince.IsZero() {
		f.readFailingSince = time.Now()
		f.cfg.Logger.Warnf("follower: reading the log failed, state remains at offset %d: %v", f.state.Next(), cause)
	}
}

func (f *Follower) markReadOK() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.readFailingSince.IsZero() {
		f.cfg.Logger.Infof("follower: reading the log works again after %s",
			time.Since(f.readFailingSince).Round(time.Millisecond))
		f.readFailingSince = time.Time{}
	}
}

// applyLocked applies records in offset order and skips those that are already applied. It publishes one view for all of
// them.
func (f *Follower) applyLocked(records []vmapi.LogRecord) {
	applied := 0
	for _, r := range records {
		if r.Offset < f.state.Next() {
			continue
		}
		out := f.state.Apply(r.Offset, r.Data)
		if out.Status == 0 {
			f.cfg.Logger.Errorf("follower: got the record at offset %d, want offset %d", r.Offset, f.state.Next())
			break
		}
		applied++
		f.history.add(r)
		if out.Status == statelog.StatusMalformed {
			f.cfg.Logger.Warnf("follower: record at offset %d is malformed: %s", r.Offset, out.Message)
		}
		f.resolveLocked(out.ID)
	}
	if applied > 0 {
		f.publishLocked()
	}
}

func (f *Follower) publishLocked() {
	f.view.Store(f.state.View())
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *Follower) setLoadedLocked() {
	if !f.isLoaded {
		f.isLoaded = true
		close(f.loaded)
		f.cfg.Logger.Infof("follower: state is complete at offset %d", f.state.Next())
	}
}

// replaceLocked replaces the state if the new one is at a higher offset, and reports whether it did.
func (f *Follower) replaceLocked(s *statelog.State) bool {
	old := f.state.Next()
	if s.Next() <= old {
		return false
	}
	f.state = s
	f.history = history{}
	f.resolveAfterReplaceLocked(old)
	f.publishLocked()
	return true
}
