package follower

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/berylwharf/berylwharf/statelog"
)

var (
	scheduleSeed  = flag.Uint64("schedule.seed", 0, "replay the faults of one random schedule")
	scheduleCount = flag.Uint64("schedule.count", 20, "number of random schedules")
)

// proposeResult is the result of one call of Propose.
type proposeResult struct {
	id  statelog.RecordID
	out statelog.Outcome
	err error
}

// Guards against results of Propose that contradict the log, and against diverging followers, when calls of the log fail
// at random and several callers change the same VM concurrently. The seed determines the faults, but not the
// interleaving of goroutines.
func TestFollowerSchedules(t *testing.T) {
	first, last := uint64(1), *scheduleCount
	if *scheduleSeed != 0 {
		first, last = *scheduleSeed, *scheduleSeed
	}
	for seed := first; seed <= last; seed++ {
		runFollowers(t, seed)
		if t.Failed() {
			t.Fatalf("replay: go test ./follower -run TestFollowerSchedules -schedule.seed=%d", seed)
		}
	}
}

// randomFaults returns a hook that fails about half of the calls.
func randomFaults(rng *rand.Rand) func(string) fault {
	var mu sync.Mutex
	return func(string) fault {
		mu.Lock()
		defer mu.Unlock()
		return max(faultNone, fault(rng.IntN(int(faultHang)*2+2))-faultHang-1)
	}
}

func runFollowers(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 2))
	l := newFakeLog()
	var fs []*Follower
	for _, node := range []string{"a", "b", "c"} {
		cfg := testConfig(node, l)
		cfg.RecordsPerSnapshot = 10
		cfg.ReadTimeout, cfg.AppendTimeout = 2*time.Millisecond, 2*time.Millisecond
		if len(fs) > 0 {
			cfg.Peers = &followerPeer{f: fs[0]}
		}
		f, stop := start(t, cfg)
		defer stop()
		fs = append(fs, f)
	}
	l.set(randomFaults(rand.New(rand.NewPCG(seed, 3))), randomFaults(rand.New(rand.NewPCG(seed, 4))))
	results := make(chan proposeResult, 200)
	var wg sync.WaitGroup
	for i := range 6 {
		timeout := time.Duration(1+rng.IntN(40)) * time.Millisecond
		wg.Go(func() { proposer(fs[i%len(fs)], i, timeout, results) })
	}
	wg.Wait()
	close(results)
	l.set(always(faultNone), always(faultNone))
	propose(t, fs[0], putVM("vm-end", "p1", 0))
	resp, err := l.Read(context.Background(), statelog.StreamConfig, 1, 1000, 0)
	if err != nil {
		t.Fatal(err)
	}
	head, replay := resp.Next, statelog.New()
	for _, r := range resp.Records {
		replay.Apply(r.Offset, r.Data)
	}
	for _, f := range fs {
		eventually(t, "head", func() bool { return f.View().NextOffset >= head })
		if v := f.View(); v.NextOffset == head && v.Hash != replay.Hash() {
			t.Errorf("seed %d: state of %s differs from the replay", seed, f.cfg.Node)
		}
	}
	for a := range results {
		checkResult(t, seed, replay, a)
	}
}

// proposer changes one VM several times, each time based on the version in the follower's view.
func proposer(f *Follower, n int, timeout time.Duration, results chan<- proposeResult) {
	for i := range 5 {
		c := putVM("vm-1", fmt.Sprint("p", n), 0)
		c.ID = statelog.RecordID{byte(n + 1), byte(i + 1)}
		if r := f.View().Get(c.Key); r != nil {
			c.BaseVersion = r.Version
		}
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		out, err := f.Propose(ctx, c)
		cancel()
		results <- proposeResult{id: c.ID, out: out, err: err}
	}
}

func checkResult(t *testing.T, seed uint64, replay *statelog.State, a proposeResult) {
	t.Helper()
	want, stored := replay.Lookup(a.id)
	var pe *ProposeError
	switch {
	case a.err == nil && (!stored || a.out != want):
		t.Errorf("seed %d: answer %+v, the log says %+v", seed, a.out, want)
	case a.err != nil && !errors.As(a.err, &pe):
		t.Errorf("seed %d: error of type %T: %v", seed, a.err, a.err)
	case pe != nil && !pe.MayTakeEffect && stored:
		t.Errorf("seed %d: %v, but the log holds it", seed, a.err)
	}
}
