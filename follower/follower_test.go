package follower

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/berylwharf/berylwharf/resource"
	"github.com/berylwharf/berylwharf/statelog"
)

const testTimeout = 20 * time.Second // far longer than every expected wait, so that only a hang reaches it

func vm(name string) resource.Key { return resource.Key{Kind: resource.KindVM, Name: name} }

func putVM(name, pool string, base uint64) Change {
	return Change{Op: statelog.OpPut, Key: vm(name), BaseVersion: base, Author: "test", Spec: []byte(`{"pool":"` + pool + `"}`)}
}

func propose(t testing.TB, f *Follower, c Change) statelog.Outcome {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	out, err := f.Propose(ctx, c)
	if err != nil {
		t.Fatal(err)
	}
	return out
}

// eventually waits until cond holds and fails the test after testTimeout.
func eventually(t testing.TB, what string, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !cond(); {
		if time.Now().After(end) {
			t.Fatal("not reached: " + what)
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against accepting both of two concurrent changes with the same base version, and against diverging nodes.
func TestRace(t *testing.T) {
	l := newFakeLog()
	a, _ := start(t, testConfig("a", l))
	b, _ := start(t, testConfig("b", l))
	first := propose(t, a, putVM("vm-1", "p1", 0))
	outs := make(chan statelog.Outcome, 2)
	for _, f := range []*Follower{a, b} {
		go func() { outs <- propose(t, f, putVM("vm-1", "p2", first.Offset)) }()
	}
	x, y := <-outs, <-outs
	if x.Status == statelog.StatusConflict {
		x, y = y, x
	}
	if x.Status != statelog.StatusAccepted || y.Status != statelog.StatusConflict || y.WinnerID != x.ID {
		t.Fatalf("outcomes %+v, %+v", x, y)
	}
	eventually(t, "equal views", func() bool { return a.View().Hash == b.View().Hash && a.View().NextOffset == 4 })
}

// Guards against a change that is applied twice or reported as failed because the answers of appends are lost, and
// against different results for concurrent proposals with one identifier.
func TestLostAnswers(t *testing.T) {
	l := newFakeLog()
	f, _ := start(t, testConfig("a", l))
	faults := []fault{faultNotStored, faultRefused, faultAnswerLost, faultStoredTwice, faultHang}
	n := 0
	l.set(func(stream string) fault {
		if stream != statelog.StreamConfig || n >= len(faults) {
			return faultNone
		}
		n++
		return faults[n-1]
	}, always(faultNone))
	c := putVM("vm-1", "p1", 0)
	c.ID = statelog.RecordID{7}
	outs := make(chan statelog.Outcome, 2)
	go func() { outs <- propose(t, f, c) }()
	go func() { outs <- propose(t, f, c) }()
	x, y := <-outs, <-outs
	if x != y || x.Status != statelog.StatusAccepted || propose(t, f, c) != x {
		t.Fatalf("outcomes %+v, %+v", x, y)
	}
	if r := f.View().Get(vm("vm-1")); r.Version != x.Offset {
		t.Fatalf("version %d, accepted at %d", r.Version, x.Offset)
	}
}

// Guards against reporting "not accepted" for a change that may take effect, and "outcome unknown" although each attempt
// failed with proof that it had no effect.
func TestProposeError(t *testing.T) {
	for _, tc := range []struct {
		fault         fault
		mayTakeEffect bool
	}{{faultRefused, false}, {faultNotStored, true}, {faultHang, true}} {
		l := newFakeLog()
		cfg := testConfig("a", l)
		cfg.MinRetryDelay, cfg.MaxRetryDelay = time.Hour, time.Hour // only one attempt
		cfg.AppendTimeout = time.Hour
		f, _ := start(t, cfg)
		<-f.Loaded()
		var reached atomic.Bool // the attempt has met the fault
		l.set(func(string) fault { reached.Store(true); return tc.fault }, always(faultNone))
		c := putVM("vm-1", "p1", 0)
		c.ID = statelog.RecordID{1}
		ctx, cancel := context.WithCancel(context.Background())
		errc := make(chan error, 1)
		go func() {
			_, err := f.Propose(ctx, c)
			errc <- err
		}()
		eventually(t, "attempt", func() bool {
			f.mu.Lock()
			defer f.mu.Unlock()
			p := f.pending[c.ID]
			return p != nil && reached.Load() && (p.attempts == 1 || p.inFlight && tc.fault == faultHang)
		})
		cancel()
		var pe *ProposeError
		if err := <-errc; !errors.As(err, &pe) || pe.MayTakeEffect != tc.mayTakeEffect || pe.ID != c.ID {
			t.Errorf("fault %d: error %v", tc.fault, err)
		}
		l.set(always(faultNone), always(faultNone))
		// A change that was reported as not accepted must not be appended later.
		if out := propose(t, f, putVM("vm-2", "p1", 0)); out.Offset != 1 {
			t.Errorf("fault %d: the change was appended after its caller returned", tc.fault)
		}
	}
}

// Guards against reporting "not accepted" to a caller that gives up while another caller waits for the same record.
func TestOneOfTwoCallersGivesUp(t *testing.T) {
	l := newFakeLog()
	f, _ := start(t, testConfig("a", l))
	<-f.Loaded()
	l.set(always(faultRefused), always(faultNone))
	c := putVM("vm-1", "p1", 0)
	c.ID = statelog.RecordID{1}
	outs := make(chan statelog.Outcome, 1)
	go func() { outs <- propose(t, f, c) }()
	eventually(t, "first caller", func() bool { return f.Status().Pending == 1 })
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	_, err := f.Propose(ctx, c)
	var pe *ProposeError
	if !errors.As(err, &pe) || !pe.MayTakeEffect {
		t.Errorf("error %v", err)
	}
	l.set(always(faultNone), always(faultNone))
	if out := <-outs; out.Status != statelog.StatusAccepted {
		t.Errorf("outcome %+v", out)
	}
}
