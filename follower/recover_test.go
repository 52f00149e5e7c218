package follower

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/berylwharf/berylwharf/statelog"
	"github.com/berylwharf/berylwharf/vmapi"
)

// followerPeer is a PeerSource that serves the records and the state of another follower, as a peer node does.
type followerPeer struct {
	f     *Follower
	wrong atomic.Bool // return a wrong hash
	asked atomic.Int64
}

func (p *followerPeer) Fetch(_ context.Context, from uint64) (PeerResponse, error) {
	p.asked.Add(1)
	v := p.f.View()
	ans := PeerResponse{Next: v.NextOffset, Hash: v.Hash}
	var ok bool
	if ans.Records, ok = p.f.RecordsFrom(from); !ok {
		var err error
		if ans.State, ans.Next, ans.Hash, err = p.f.FullState(); err != nil {
			return ans, err
		}
	}
	if p.wrong.Load() {
		ans.Hash[0] ^= 1
	}
	return ans, nil
}

func proposeN(t *testing.T, f *Follower, from, n int) {
	t.Helper()
	errs := make(chan error, n)
	for i := range n {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			_, err := f.Propose(ctx, putVM(fmt.Sprintf("vm-%d", from+i), "p1", 0))
			errs <- err
		}()
	}
	for range n {
		if err := <-errs; err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against a node that cannot continue when the records that it needs were trimmed from the log, and against
// several nodes writing the same snapshot.
func TestSnapshotAfterRetention(t *testing.T) {
	l := newFakeLog()
	cfg := testConfig("a", l)
	cfg.RecordsPerSnapshot = 50
	a, _ := start(t, cfg)
	paused, stop := start(t, testConfig("b", l))
	<-paused.Loaded()
	stop()
	proposeN(t, a, 0, 120)
	eventually(t, "snapshot", func() bool { return a.Status().Snapshot+50 > a.View().NextOffset && a.Status().Snapshot > 1 })
	at := a.Status().Snapshot
	if n := l.next(statelog.StreamSnapshots) - 1; n > 121/50+1 {
		t.Errorf("%d snapshots were written", n)
	}
	l.trim(statelog.StreamConfig, at)
	proposeN(t, a, 120, 3)
	for _, f := range []*Follower{paused, nil} {
		if f == nil { // a new node without state
			f, _ = start(t, testConfig("c", l))
		} else { // a paused node that resumes: Run is called again on the same state
			f.started.Store(false)
			f.stopped = make(chan struct{})
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go func() { _ = f.Run(ctx) }()
		}
		eventually(t, "same state", func() bool { return f.View().Hash == a.View().Hash })
	}
}

// Guards against a node that does not load or advance its state from a peer while the log is down, and against applying
// records or a state whose hash does not match.
func TestPeers(t *testing.T) {
	l := newFakeLog()
	a, _ := start(t, testConfig("a", l))
	proposeN(t, a, 0, 5)
	l.set(always(faultNone), always(faultRefused))
	src := &followerPeer{f: a}
	src.wrong.Store(true)
	cfg := testConfig("b", l)
	cfg.Peers = src
	b, _ := start(t, cfg)
	eventually(t, "peer asked", func() bool { return src.asked.Load() > 2 })
	if b.View().NextOffset != 1 || b.Status().Loaded {
		t.Fatal("records with a wrong hash were applied")
	}
	src.wrong.Store(false)
	eventually(t, "records from the peer", func() bool { return b.View().Hash == a.View().Hash })
	// A peer that no longer keeps the first records sends its state instead.
	a.mu.Lock()
	a.history = history{}
	a.mu.Unlock()
	cfg = testConfig("c", l)
	cfg.Peers = src
	c, _ := start(t, cfg)
	<-c.Loaded()
	if st := c.Status(); c.View().Hash != a.View().Hash || st.ReadFailingSince.IsZero() || !st.LastRead.IsZero() {
		t.Fatalf("status %+v", st)
	}
	// The log works again. Its records are applied to the state from the peer.
	l.set(always(faultNone), always(faultNone))
	proposeN(t, c, 5, 1)
	eventually(t, "equal views", func() bool { return b.View().Hash == a.View().Hash && a.View().Hash == c.View().Hash })
}

// Guards against treating a permanently slow log service as down: timeouts must grow until a read succeeds.
func TestSlowLog(t *testing.T) {
	l := newFakeLog()
	l.set(always(faultNone), func(string) fault { time.Sleep(50 * time.Millisecond); return faultNone })
	cfg := testConfig("a", l)
	cfg.PollWait, cfg.ReadTimeout = 2*time.Millisecond, 2*time.Millisecond
	f, _ := start(t, cfg)
	propose(t, f, putVM("vm-1", "p1", 0))
}

// Guards against a history that grows with the log, and against returning records from an offset other than the
// requested one.
func TestHistory(t *testing.T) {
	f, err := New(testConfig("a", newFakeLog()))
	if err != nil {
		t.Fatal(err)
	}
	for o := uint64(1); o <= historyRecords+10; o++ {
		f.applyLocked([]vmapi.LogRecord{{Offset: o, Data: []byte{byte(o)}}})
	}
	if _, ok := f.RecordsFrom(10); ok {
		t.Error("offset 10 is still kept")
	}
	for _, from := range []uint64{11, 4000, historyRecords + 11} {
		recs, ok := f.RecordsFrom(from)
		if !ok || uint64(len(recs)) != historyRecords+11-from || len(recs) > 0 && recs[0].Offset != from {
			t.Errorf("from %d: %d records, %v", from, len(recs), ok)
		}
	}
	if _, ok := f.RecordsFrom(historyRecords + 12); ok {
		t.Error("an offset that was not applied is served")
	}
	var h history
	for o := range uint64(300) {
		h.add(vmapi.LogRecord{Offset: o + 1, Data: make([]byte, 64<<10)})
	}
	if len(h.records) != historyBytes/(64<<10) {
		t.Errorf("%d records of 64 KiB are kept", len(h.records))
	}
}

// Guards against replacing the state with an older one, and against reporting a proposal as stale, which means "not
// accepted", although its first attempt may have been accepted. This happens when the node replaces its state with one
// more than the deduplication window ahead, which no longer has the outcome, and then retries the append.
func TestReplaceBeyondDedupWindow(t *testing.T) {
	l := newFakeLog()
	f, _ := start(t, testConfig("a", l))
	<-f.Loaded()
	// Appends are stored but their answers are lost, and reads hang, so the follower does not learn the outcome.
	var hung atomic.Bool
	l.set(always(faultAnswerLost), func(string) fault { hung.Store(true); return faultHang })
	eventually(t, "earlier reads have ended", hung.Load)
	errc := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		_, err := f.Propose(ctx, putVM("vm-1", "p1", 0))
		errc <- err
	}()
	eventually(t, "append", func() bool { return l.next(statelog.StreamConfig) > 1 })
	s := statelog.New()
	for o := uint64(1); o < statelog.DedupWindow+10; o++ {
		s.Apply(o, nil)
	}
	f.mu.Lock()
	replaced := f.replaceLocked(s)
	again := f.replaceLocked(statelog.New())
	f.mu.Unlock()
	if !replaced || again {
		t.Fatalf("replaced by a higher offset: %v, by a lower offset: %v", replaced, again)
	}
	err := <-errc
	var pe *ProposeError
	if !errors.As(err, &pe) || !pe.MayTakeEffect || !errors.Is(err, ErrOutcomeExpired) {
		t.Fatalf("error %v", err)
	}
}
