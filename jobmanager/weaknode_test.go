package jobmanager

import (
	"context"
	"io"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/berylwharf/berylwharf/fleet"
	"github.com/berylwharf/berylwharf/job"
	"github.com/berylwharf/berylwharf/peer"
	"github.com/berylwharf/berylwharf/verdict"
)

const (
	testShards = 2
	// answerBound is the time within which a job is answered after the last strong node is lost (docs/design/weaknodes.md).
	answerBound = 8 * time.Second
)

// memoryStore is a store in memory with its group of owners, of which a member keeps its shards until another one joins.
type memoryStore struct {
	mu         sync.Mutex
	logs       [testShards][]job.Record
	epochs     [testShards]int64
	joinedAt   map[string]time.Time
	owners     map[int]string
	generation int64
	// hidesExpired means that expired members are not listed as owners.
	hidesExpired bool
}

func (s *memoryStore) Load(_ context.Context, shard int) ([]job.Record, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []job.Record
	for _, r := range s.logs[shard] {
		out = slices.DeleteFunc(out, func(o job.Record) bool { return o.Key == r.Key })
		if len(r.Value) > 0 {
			out = append(out, r)
		}
	}
	return out, int64(len(s.logs[shard])), nil
}

func (s *memoryStore) End(_ context.Context, shard int) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int64(len(s.logs[shard])), nil
}

func (s *memoryStore) Claim(_ context.Context, shard int, epoch, _, end int64, r job.Record) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if end != int64(len(s.logs[shard])) || epoch <= s.epochs[shard] {
		return ErrLogExtended
	}
	s.epochs[shard] = epoch
	s.logs[shard] = append(s.logs[shard], r)
	return nil
}

func (s *memoryStore) Append(_ context.Context, shard int, epoch, _ int64, records []job.Record) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if epoch != s.epochs[shard] {
		return ErrFenced
	}
	s.logs[shard] = append(s.logs[shard], records...)
	return nil
}

func (s *memoryStore) Join(_ context.Context, member string, _ time.Duration, _ int64) (Membership, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.joinedAt[member].IsZero() {
		s.generation++
	}
	s.joinedAt[member] = time.Now()
	s.assign()
	m := Membership{Generation: s.generation}
	for shard, owner := range s.owners {
		if owner == member {
			m.Shards = append(m.Shards, shard)
		}
	}
	return m, nil
}

func (s *memoryStore) assign() {
	var members []string
	for member, at := range s.joinedAt {
		if time.Since(at) > membershipTTL {
			delete(s.joinedAt, member)
			s.generation++
			continue
		}
		members = append(members, member)
	}
	slices.Sort(members)
	clear(s.owners)
	for shard := range testShards {
		if len(members) > 0 {
			s.owners[shard] = members[shard%len(members)]
		}
	}
}

func (s *memoryStore) Leave(ctx context.Context, member string) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.joinedAt, member)
	s.generation++
	s.assign()
	return nil
}

func (s *memoryStore) Owners(context.Context) (map[int]string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[int]string)
	for shard, owner := range s.owners {
		if !s.hidesExpired || time.Since(s.joinedAt[owner]) <= membershipTTL {
			out[shard] = owner
		}
	}
	return out, nil
}

// hasMember reports whether a node is a member of the group.
func (s *memoryStore) hasMember(node string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for member, at := range s.joinedAt {
		if strings.HasPrefix(member, node+"@") && time.Since(at) <= membershipTTL {
			return true
		}
	}
	return false
}

// unreadableStore does not answer reads, but joins.
type unreadableStore struct{ *memoryStore }

func (unreadableStore) End(context.Context, int) (int64, error) { return 0, errors.New("no answer") }

func (unreadableStore) Owners(context.Context) (map[int]string, error) {
	return nil, errors.New("no answer")
}

// idlePlatform has no workers, no machines and one version of the configuration.
type idlePlatform struct {
	Machines
	given bool
}

func (*idlePlatform) List(context.Context) ([]fleet.Machine, error) { return nil, nil }

func (*idlePlatform) Poll(context.Context) ([]WorkerEntry, bool, error) { return nil, false, nil }

func (p *idlePlatform) Next(ctx context.Context) (*OperatorChange, error) {
	if p.given {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	p.given = true
	return &OperatorChange{Config: &Config{Version: 1, Routes: []Route{{Name: "q", Pool: "p", PathPrefix: "/q"}}, Pools: []PoolConfig{{Name: "p"}}}}, nil
}

func (*idlePlatform) ReadNow(context.Context) (*OperatorChange, error) {
	return nil, errors.New("no answer")
}

func (*idlePlatform) Pending() (int64, time.Duration) { return 0, 0 }

// bubbleClock reads the clock that moves when all goroutines of the test wait.
type bubbleClock struct{ startedAt time.Time }

func (c bubbleClock) Now() job.Time {
	return job.Time{Steady: time.Since(c.startedAt), WallMs: time.Now().UnixMilli()}
}

type storeAndGroup interface {
	Store
	Group
}

// runNode runs a node without links to others. The returned function stops it with SIGTERM, or kills it.
func runNode(t *testing.T, name string, cpuShare float64, store storeAndGroup) (n *Node, stop func(kill bool)) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	peers, err := peer.New(peer.Config{Node: name, Key: "a key of the tests", Listener: l})
	if err != nil {
		t.Fatal(err)
	}
	p, log := &idlePlatform{}, NewLog(io.Discard, name)
	n = NewNode(&Settings{Node: name, CPUShare: cpuShare, CPUSpeed: 1, Shards: testShards, Limits: Limits{MaxLeaseMs: 5000, StatusS: 600, CallBytes: 1 << 20}},
		Platform{Store: store, Group: store, Directory: p, Operators: p, Machines: p}, peers, bubbleClock{time.Now()}, log)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		n.Run(ctx)
	}()
	stopped := false
	return n, func(kill bool) {
		if stopped {
			return
		}
		stopped = true
		if kill {
			n.Close()
		}
		cancel()
		<-done
		n.Close()
		log.Close()
		_ = l.Close()
	}
}

// testQueue is the queue of the configuration of idlePlatform.
var testQueue = QueueRef{Name: "q", Address: "/q", Pool: "p", Version: 1}

// TestJobIsAnsweredAfterLossOfStrongNodes guards against accepted jobs that nobody answers for once all strong nodes are lost, because the
// store lists them as owners for as long as nobody joins.
func TestJobIsAnsweredAfterLossOfStrongNodes(t *testing.T) {
	for _, hidesExpired := range []bool{false, true} {
		for _, kill := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				store := &memoryStore{joinedAt: make(map[string]time.Time), owners: make(map[int]string), hidesExpired: hidesExpired}
				strong, stopStrong := runNode(t, "strong", 0.8, store)
				_, stopUnreadable := runNode(t, "unreadable", 0.192, unreadableStore{store})
				defer stopUnreadable(true)
				weak, stopWeak := runNode(t, "weak", 0.192, store)
				defer stopWeak(true)
				defer stopStrong(true)
				time.Sleep(30 * time.Second)
				if !store.hasMember("strong") || store.hasMember("weak") {
					t.Fatal("the weak node does not leave the shards to a strong node that lives")
				}
				if err := strong.Submit(context.Background(), testQueue, testSpec("job")); err != nil {
					t.Fatal(err)
				}
				stopStrong(kill)
				checkAnswered(t, weak)
				if store.hasMember("unreadable") {
					t.Error("a node that cannot read the store takes shards over")
				}
			})
		}
	}
}

// checkAnswered checks how a node answers a call about a job from now on: in time, or at once with a true time to retry.
func checkAnswered(t *testing.T, n *Node) {
	t.Helper()
	lostAt, promised := time.Now(), time.Duration(0)
	for {
		calledAt := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		_, found, err := n.State(ctx, testQueue, "job")
		cancel()
		var refusal *verdict.Error
		switch {
		case err == nil && !found:
			t.Fatal("the accepted job is denied")
		case err == nil:
			t.Logf("answered after %v", time.Since(lostAt))
			if promised == 0 || time.Since(lostAt) > promised {
				t.Errorf("answered %v after the loss, the last refusal at once promised %v", time.Since(lostAt), promised)
			}
			return
		case errors.As(err, &refusal) && time.Since(calledAt) == 0:
			promised = time.Since(lostAt) + refusal.RetryAfter
		}
		if time.Since(lostAt) > answerBound {
			t.Fatalf("no answer %v after the loss of the strong node: %v", time.Since(lostAt), err)
		}
		time.Sleep(100 * time.Millisecond)
	}
}
