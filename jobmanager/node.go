package jobmanager

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/berylwharf/berylwharf/fleet"
	"github.com/berylwharf/berylwharf/job"
	"github.com/berylwharf/berylwharf/peer"
)

const (
	// membershipTTL is how long the store keeps a member that sends nothing. An owner that is not confirmed for as long
	// stops ordering; another one takes over. The store permits 1 s at least; a slow store answers within about 300 ms.
	membershipTTL = 1500 * time.Millisecond
	// joinEvery is the time between confirmations; three may be lost within membershipTTL.
	joinEvery = 450 * time.Millisecond
	// joinTimeout bounds one confirmation.
	joinTimeout = 420 * time.Millisecond
	// standInAfter is how long no strong member must be seen before other nodes own shards.
	standInAfter = 3 * time.Second
	// ownersEvery is the time between reads of the shards' owners.
	ownersEvery = 1200 * time.Millisecond
	// ownersAtOnce is the least time between reads that failed requests ask for.
	ownersAtOnce = 150 * time.Millisecond
	// directoryEvery is the time between reads of the directory by a node that owns a pool.
	directoryEvery = 250 * time.Millisecond
	// failurePause is the pause after a failed read.
	failurePause = 200 * time.Millisecond
)

// Platform is what a node needs of the platform.
type Platform struct {
	Store     Store
	Group     Group
	Directory Directory
	Operators OperatorSource
	Workers   Workers
	Machines  Machines
	Advisor   Advisor
}

// Node is a process of the job manager.
type Node struct {
	settings  *Settings
	clock     Clock
	store     Store
	group     Group
	source    Directory
	operators OperatorSource
	machines  Machines
	advisor   Advisor
	workers   Workers
	peers     *peer.Net
	log       *Log
	metrics   *nodeMetrics
	member    string
	process   string // tells this process from others of the same node

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	confirmedUntil atomic.Int64 // steady time in nanoseconds
	config         atomic.Pointer[Config]
	shardPools     atomic.Pointer[map[int][]string]
	entries        atomic.Pointer[directoryView]
	refreshOwners  chan struct{}
	refreshWorkers chan struct{}
	leaving        atomic.Bool
	machineOrders  atomic.Int32 // orders for machines on their way
	storeDown      atomic.Int64 // steady time in nanoseconds since when requests for the owners fail, 0 if they do not
	strongSeen     atomic.Int64 // steady time in nanoseconds at which a strong member was last seen

	mu     sync.Mutex
	shards map[int]*shard
	owners map[int]string // member by shard
	waves  map[int64]fleet.Wave
}

// directoryView is a version of the directory.
type directoryView struct {
	version int64
	byPool  map[string][]job.WorkerInfo
}

// NewNode returns a node that does nothing until Run.
func NewNode(s *Settings, p Platform, peers *peer.Net, clock Clock, log *Log) *Node {
	n := &Node{
		settings: s, clock: clock, peers: peers, log: log,
		store: p.Store, group: p.Group, source: p.Directory, operators: p.Operators, workers: p.Workers,
		machines:       p.Machines,
		metrics:        newNodeMetrics(),
		member:         memberName(s),
		process:        uuid.NewString(),
		refreshOwners:  make(chan struct{}, 1),
		refreshWorkers: make(chan struct{}, 1),
		shards:         make(map[int]*shard),
		owners:         make(map[int]string),
		waves:          make(map[int64]fleet.Wave),
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.entries.Store(&directoryView{})
	n.strongSeen.Store(int64(clock.Now().Steady))
	n.handlePeers()
	return n
}

// Run serves until the context ends, then hands the shards over and returns.
func (n *Node) Run(ctx context.Context) {
	n.wg.Go(n.followOperators)
	n.wg.Go(n.followDirectory)
	n.wg.Go(n.followOwners)
	n.wg.Go(n.keepMembership)
	<-ctx.Done()
	n.handOver()
}

// Close ends all work of the node.
func (n *Node) Close() {
	n.cancel()
	n.wg.Wait()
}

// handOver gives the shards to other nodes. Requests are passed on to them until Close.
func (n *Node) handOver() {
	n.leaving.Store(true)
	n.log.Event(LogEvent{Part: "node", What: "handing over"})
	n.giveBack("the node stops")
}

// Ready tells whether the node can serve callers.
func (n *Node) Ready() bool { return n.config.Load() != nil && !n.leaving.Load() }

// Config returns the configuration in force, or nil when there is none yet.
func (n *Node) Config() *Config { return n.config.Load() }

// confirmed tells whether the store still counts the node as a member.
func (n *Node) confirmed(now job.Time) bool { return int64(now.Steady) < n.confirmedUntil.Load() }

// shardOf returns the shard of a pool.
func (n *Node) shardOf(pool string) int {
	return int(xxhash.Sum64String(pool) % uint64(n.settings.Shards))
}

func (n *Node) poolsOf(shard int) []string {
	if m := n.shardPools.Load(); m != nil {
		return (*m)[shard]
	}
	return nil
}

func (n *Node) directory() (map[string][]job.WorkerInfo, int64) {
	v := n.entries.Load()
	return v.byPool, v.version
}

// keepMembership confirms the membership and owns the shards that the store deals to this node.
func (n *Node) keepMembership() {
	var generation int64
	for n.ctx.Err() == nil && !n.leaving.Load() {
		sent := n.clock.Now()
		if !n.needed(sent) {
			n.stepBack()
			pause(n.ctx, joinEvery)
			continue
		}
		ctx, cancel := context.WithTimeout(n.ctx, joinTimeout)
		m, err := n.group.Join(ctx, n.member, membershipTTL, generation)
		cancel()
		if err != nil {
			n.log.Event(LogEvent{Part: "node", What: "membership not confirmed", Why: err.Error()})
			pause(n.ctx, failurePause)
			continue
		}
		changed := m.Generation != generation
		generation = m.Generation
		n.own(m)
		n.confirmedUntil.Store(int64(sent.Steady + membershipTTL))
		if changed {
			n.log.Event(LogEvent{Part: "node", What: "shards dealt", Epoch: m.Generation, Count: len(m.Shards)})
			n.wake(n.refreshOwners)
			continue
		}
		pause(n.ctx, joinEvery)
	}
}

// needed tells whether the node should own shards: it is strong, or no strong member was seen for some time.
func (n *Node) needed(now job.Time) bool {
	return n.settings.strong() || int64(now.Steady)-n.strongSeen.Load() > int64(standInAfter)
}

// stepBack gives the shards of a node that is not strong back to strong ones.
func (n *Node) stepBack() {
	if n.confirmedUntil.Swap(0) == 0 {
		return
	}
	n.log.Event(LogEvent{Part: "node", What: "strong nodes are back"})
	n.giveBack("strong nodes are back")
}

// giveBack ends all ownerships and leaves the group.
func (n *Node) giveBack(why string) {
	n.mu.Lock()
	shards := slices.Collect(maps.Values(n.shards))
	n.mu.Unlock()
	var wg sync.WaitGroup
	for _, s := range shards {
		wg.Go(s.release)
	}
	wg.Wait()
	n.log.Event(LogEvent{Part: "node", What: "shards given back", Count: len(shards), Why: why})
	ctx, cancel := context.WithTimeout(n.ctx, storeTimeout)
	defer cancel()
	if err := n.group.Leave(ctx, n.member); err != nil {
		n.log.Event(LogEvent{Part: "node", What: "leaving the group failed", Why: err.Error()})
	}
}

// own begins and ends the ownership of shards after a confirmation.
func (n *Node) own(m Membership) {
	listed := make(map[int]bool, len(m.Shards))
	for _, number := range m.Shards {
		listed[number] = true
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for number, s := range n.shards {
		if !listed[number] {
			s.lose("the store gave the shard to another node")
		}
		if s.ctx.Err() != nil {
			delete(n.shards, number)
		}
	}
	for number := range listed {
		if n.shards[number] == nil && n.used(number) && !n.leaving.Load() {
			s := newShard(n, number)
			n.shards[number] = s
			n.wg.Go(s.run)
			n.wake(n.refreshWorkers)
		}
	}
}

// used tells whether a shard has pools or the fleet controller.
func (n *Node) used(shard int) bool { return shard == fleetShard || len(n.poolsOf(shard)) > 0 }

// shard returns a shard that this node owns, or nil.
func (n *Node) shard(number int) *shard {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.shards[number]
	if s == nil || s.ctx.Err() != nil {
		return nil
	}
	return s
}

func (n *Node) owning() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.shards) > 0
}

func (n *Node) wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// followDirectory keeps the list of workers current while the node owns a pool.
func (n *Node) followDirectory() {
	for n.ctx.Err() == nil {
		if n.owning() {
			n.readDirectory()
		}
		n.wait(n.refreshWorkers, directoryEvery)
	}
}

func (n *Node) readDirectory() {
	ctx, cancel := context.WithTimeout(n.ctx, storeTimeout)
	defer cancel()
	entries, changed, err := n.source.Poll(ctx)
	if err != nil {
		n.log.Event(LogEvent{Part: "directory", What: "no answer", Why: err.Error()})
		return
	}
	old := n.entries.Load()
	if !changed && old.version > 0 {
		return
	}
	v := &directoryView{version: old.version + 1, byPool: make(map[string][]job.WorkerInfo)}
	for _, e := range entries {
		v.byPool[e.Pool] = append(v.byPool[e.Pool], e.Info)
	}
	n.entries.Store(v)
}

// wait waits for a wake-up, for d or until the node ends.
func (n *Node) wait(wake chan struct{}, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-n.ctx.Done():
	case <-wake:
	case <-t.C:
	}
}

// Owns tells whether this node owns the shard of a pool.
func (n *Node) Owns(pool string) bool { return n.shard(n.shardOf(pool)) != nil }
