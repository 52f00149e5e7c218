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

// Follower keeps a state current and implements Store. All methods are safe for concurrent use.
type Follower struct {
	cfg     Config
	started atomic.Bool
	view    atomic.Pointer[statelog.View]
	loaded  chan struct{} // closed when the state was complete for the first time
	stopped chan struct{} // closed when Run returns
	wake    chan struct{} // tells the append loop about a new or failed proposal; one place, extra signals are dropped

	mu       sync.Mutex
	state    *statelog.State
	changed  chan struct{} // closed at the next publication
	history  history
	pending  map[statelog.RecordID]*proposal
	queue    []*proposal // pending proposals that are neither in flight nor appended, oldest first
	isLoaded bool
	lastRead time.Time
	head     uint64
	down     time.Time // since when reads fail; zero when the last one succeeded
	snaps    snapshotInfo
}

var _ Store = (*Follower)(nil)

// New returns a follower with an empty state.
func New(cfg Config) (*Follower, error) {
	if err := cfg.setDefaults(); err != nil {
		return nil, err
	}
	f := &Follower{
		cfg:     cfg,
		loaded:  make(chan struct{}),
		stopped: make(chan struct{}),
		wake:    make(chan struct{}, 1),
		state:   statelog.New(),
		changed: make(chan struct{}),
		pending: make(map[statelog.RecordID]*proposal),
	}
	f.view.Store(f.state.View())
	return f, nil
}

// Run follows the log until the context ends. It can be called once.
func (f *Follower) Run(ctx context.Context) error {
	if !f.started.CompareAndSwap(false, true) {
		return errors.New("follower: Run was called before")
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

// Changed implements Store. A nil view counts as older than all views.
func (f *Follower) Changed(v *statelog.View) <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if v == nil || f.view.Load().Next > v.Next {
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

// Loaded returns a channel that is closed when the state was complete for the first time: it reached the head of the
// log, or a peer's state. It stays closed.
func (f *Follower) Loaded() <-chan struct{} { return f.loaded }

// Status is the freshness of the state.
type Status struct {
	Loaded   bool      // the state was complete at least once
	LastRead time.Time // time of the last successful read of stream config; zero when there was none
	LogDown  time.Time // since when reads fail; zero when the last one succeeded
	Next     uint64    // next offset to apply
	Head     uint64    // next free offset of the log at the last successful read; 0 when there was none
	Snapshot uint64    // offset of the newest snapshot that this node knows of; 0 when it knows none
	Pending  int       // proposals without an outcome
}

// Status returns the freshness of the state.
func (f *Follower) Status() Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	return Status{
		Loaded: f.isLoaded, LastRead: f.lastRead, LogDown: f.down, Next: f.state.Next(), Head: f.head,
		Snapshot: f.snaps.offset, Pending: len(f.pending),
	}
}

func (f *Follower) next() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Next()
}

// followLoop reads stream config. After a failure it asks a peer and repeats the read after a delay.
func (f *Follower) followLoop(ctx context.Context) {
	failures, batch := 0, configBatch
	if err := f.loadSnapshot(ctx); err != nil && ctx.Err() == nil {
		f.cfg.Logger.Warnf("follower: snapshots are not readable: %v", err)
	}
	for ctx.Err() == nil {
		start := time.Now()
		n, err := f.readOnce(ctx, batch, failures)
		if err == nil {
			f.logUp()
			failures, batch = 0, configBatch
			if pause := f.cfg.PollWait / 8; n == 0 && time.Since(start) < pause {
				sleep(ctx, pause) // the log service did not wait for records
			}
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, logclient.ErrTooLarge) && batch > 1 {
			batch /= 2
			continue
		}
		failures++
		if f.readFailed(ctx, err) {
			continue
		}
		delay := doubled(f.cfg.RetryMin, failures-1, f.cfg.RetryMax)
		sleep(ctx, delay/2+rand.N(delay/2+1))
	}
}

// readOnce does one long poll and applies its records. After failures, peers are asked while the poll is on its way,
// because its timeout may be far beyond the time in which a change must be in force.
func (f *Follower) readOnce(ctx context.Context, batch, failures int) (int, error) {
	timeout := f.cfg.PollWait + doubled(f.cfg.ReadTimeout, failures, maxTimeout)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if failures > 0 && f.cfg.Peers != nil {
		var wg sync.WaitGroup
		defer wg.Wait()
		defer cancel()
		wg.Go(func() {
			for sleep(ctx, f.cfg.PollWait) {
				f.askPeer(ctx)
			}
		})
	}
	from := f.next()
	wait := f.cfg.PollWait
	if !f.Status().Loaded {
		// The first read only has to tell that the state is complete. On a quiet log it would wait for nothing.
		wait = 0
	}
	resp, err := f.cfg.Log.Read(ctx, statelog.StreamConfig, from, batch, wait)
	if err != nil {
		return 0, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if resp.Next < from && resp.Next != f.head {
		f.cfg.Logger.Errorf("follower: log ends at offset %d, before the applied offset %d; the state is kept", resp.Next, from)
	}
	f.lastRead = time.Now()
	f.head = resp.Next
	f.applyLocked(resp.Records)
	if f.state.Next() >= resp.Next {
		f.setLoadedLocked()
	}
	return len(resp.Records), nil
}

// readFailed acts on a failed read and reports whether the state advanced past lost records.
func (f *Follower) readFailed(ctx context.Context, cause error) bool {
	var gone *logclient.GoneError
	if !errors.As(cause, &gone) {
		f.logDown(cause)
		f.askPeer(ctx)
		return false
	}
	from := f.next()
	f.cfg.Logger.Warnf("follower: records from offset %d are no longer kept, the oldest is %d", from, gone.Oldest)
	if err := f.loadSnapshot(ctx); err != nil && ctx.Err() == nil {
		f.cfg.Logger.Warnf("follower: snapshots are not readable: %v", err)
	}
	if f.next() < gone.Oldest {
		f.askPeer(ctx)
	}
	if f.next() >= gone.Oldest {
		return true
	}
	f.cfg.Logger.Errorf("follower: neither a snapshot nor a peer has a state at offset %d or later", gone.Oldest)
	return false
}

func (f *Follower) logDown(cause error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down.IsZero() {
		f.down = time.Now()
		f.cfg.Logger.Warnf("follower: log service cannot be read, state stays at offset %d: %v", f.state.Next(), cause)
	}
}

func (f *Follower) logUp() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.down.IsZero() {
		f.cfg.Logger.Infof("follower: log service can be read again after %s", time.Since(f.down).Round(time.Millisecond))
		f.down = time.Time{}
	}
}

// applyLocked applies the records that continue the state and skips those that it has. It publishes one view for all.
func (f *Follower) applyLocked(records []vmapi.LogRecord) {
	applied := 0
	for _, r := range records {
		if r.Offset < f.state.Next() {
			continue
		}
		out := f.state.Apply(r.Offset, r.Data)
		if out.Status == 0 {
			f.cfg.Logger.Errorf("follower: offset %d does not continue the state at %d", r.Offset, f.state.Next())
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

// replaceLocked replaces the state by one at a higher offset and reports whether it did.
func (f *Follower) replaceLocked(s *statelog.State) bool {
	old := f.state.Next()
	if s.Next() <= old {
		return false
	}
	f.state = s
	f.history = history{}
	f.settleAfterJumpLocked(old)
	f.publishLocked()
	return true
}
