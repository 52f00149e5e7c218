package follower

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/berylwharf/berylwharf/resource"
	"github.com/berylwharf/berylwharf/statelog"
)

const patience = 20 * time.Second // far beyond every expected wait; only a hang reaches it

func vm(name string) resource.Key { return resource.Key{Kind: resource.KindVM, Name: name} }

func putVM(name, pool string, base uint64) Change {
	return Change{Op: statelog.OpPut, Key: vm(name), Base: base, Author: "test", Spec: []byte(`{"pool":"` + pool + `"}`)}
}

func propose(t testing.TB, f *Follower, c Change) statelog.Outcome {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	out, err := f.Propose(ctx, c)
	if err != nil {
		t.Fatal(err)
	}
	return out
}

// eventually waits until the condition holds.
func eventually(t testing.TB, what string, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !cond(); {
		if time.Now().After(end) {
			t.Fatal("not reached: " + what)
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against two operators who race both being told that their change was accepted, and against nodes that differ.
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
	if x.Status != statelog.StatusAccepted || y.Status != statelog.StatusConflict || y.Winner != x.ID {
		t.Fatalf("outcomes %+v, %+v", x, y)
	}
	eventually(t, "equal views", func() bool { return a.View().Hash == b.View().Hash && a.View().Next == 4 })
}

// Guards against a change being applied twice, or reported as failed, when answers of appends are lost, and against
// proposals under one identifier getting different answers.
func TestLostAnswers(t *testing.T) {
	l := newFakeLog()
	f, _ := start(t, testConfig("a", l))
	faults := []fault{faultUnknown, faultRefused, faultLost, faultTwice, faultHang}
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

// Guards against an untrue "not accepted", and against "outcome unknown" where each attempt was refused with proof.
func TestProposeError(t *testing.T) {
	for _, tc := range []struct {
		fault fault
		may   bool
	}{{faultRefused, false}, {faultUnknown, true}, {faultHang, true}} {
		l := newFakeLog()
		cfg := testConfig("a", l)
		cfg.RetryMin, cfg.RetryMax = time.Hour, time.Hour // one attempt
		cfg.AppendTimeout = time.Hour
		f, _ := start(t, cfg)
		<-f.Loaded()
		l.set(always(tc.fault), always(faultNone))
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
			return p != nil && (p.attempts == 1 || p.inFlight && tc.fault == faultHang)
		})
		cancel()
		var pe *ProposeError
		if err := <-errc; !errors.As(err, &pe) || pe.MayTakeEffect != tc.may || pe.ID != c.ID {
			t.Errorf("fault %d: error %v", tc.fault, err)
		}
		l.set(always(faultNone), always(faultNone))
		// A change that was reported as not accepted must not be appended later.
		if out := propose(t, f, putVM("vm-2", "p1", 0)); out.Offset != 1 {
			t.Errorf("fault %d: the change was appended after its caller gave up", tc.fault)
		}
	}
}

// Guards against "not accepted" for a caller that leaves while another one still tries the same record.
func TestOneOfTwoCallersLeaves(t *testing.T) {
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
