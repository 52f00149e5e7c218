package jobmanager

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/berylwharf/berylwharf/apikey"
	"github.com/berylwharf/berylwharf/fleet"
	"github.com/berylwharf/berylwharf/job"
	"github.com/berylwharf/berylwharf/peer"
)

const (
	// ownersInterval is the time between reads of the shard owners.
	ownersInterval = 1200 * time.Millisecond
	// minOwnersInterval is the minimum time between such reads, also when failed requests trigger them.
	minOwnersInterval = 150 * time.Millisecond
	// directoryInterval is the time between reads of the directory by a node that owns shards.
	directoryInterval = 250 * time.Millisecond
	// wantedPeriod is how long a connection to the owner of an otherwise unused shard is kept open after a call to it.
	wantedPeriod = time.Minute
)

// Platform holds the platform interfaces that a node uses.
type Platform struct {
	Store     Store
	Group     Group
	Directory Directory
	Operators OperatorSource
	Workers   Workers
	Machines  Machines
	Advisor   Advisor
	// Relays is nil if no other node can call workers for this node.
	Relays Relays
}

// Node is a node of the job manager.
type Node struct {
	settings        *Settings
	clock           Clock
	store           Store
	group           Group
	directorySource Directory
	operators       OperatorSource
	machines        Machines
	advisor         Advisor
	workers         Workers
	relays          Relays
	peers           *peer.Net
	log             *Log
	metrics         *nodeMetrics
	jobMemory       *job.MemoryBudget // of all pools
	member          string
	processID       string // distinguishes this process from other processes of the same node

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	confirmedUntil        atomic.Int64 // steady time in nanoseconds
	config                atomic.Pointer[Config]
	shardPools            atomic.Pointer[map[int][]string] // names of the configured pools by shard
	shardQueues           atomic.Pointer[shardQueues]
	knowledge             atomic.Pointer[apikey.Knowledge] // nil until a read reached the end of the operators' records
	freshReads            *freshReads
	entries               atomic.Pointer[directoryView]
	refreshOwners         chan struct{}
	refreshWorkers        chan struct{}
	leaving               atomic.Bool
	machineOrdersInFlight atomic.Int32 // machine orders without a result so far
	storeDownSince        atomic.Int64 // steady time in nanoseconds since which reads of the owners fail; 0 if they succeed
	memberSince           atomic.Int64 // steady time in nanoseconds of the first join without a gap in the confirmations
	strongMembers         *strongMembers

	connectedOwners map[int]string // owners to which connections are kept; used by followOwners only

	// substitutes means that a node that is not strong owns shards in place of strong members. It is set by maintainMembership
	// only, which alone uses substitutesSince.
	substitutes      atomic.Bool
	substitutesSince time.Duration

	operatorsMu sync.Mutex // held while a change of the operators is applied

	mu     sync.Mutex
	shards map[int]*shard
	// vacant holds the assigned shards that contain no records. They are not claimed until a route leads to them.
	vacant           map[int]bool
	vacantGeneration int64          // generation of the group to which vacant refers
	owners           map[int]string // member by shard
	ownersReadAt     time.Duration  // steady time of the read that gave owners
	waves            map[int64]fleet.Wave
	// wantedUntil holds, by shard, until when a connection to its owner is kept although no route leads to it.
	wantedUntil map[int]time.Duration
}

// directoryView is a snapshot of the directory.
type directoryView struct {
	version int64
	byPool  map[string][]job.WorkerInfo
}

// NewNode returns a node that is idle until Run is called.
func NewNode(s *Settings, p Platform, peers *peer.Net, clock Clock, log *Log) *Node {
	n := &Node{
		settings: s, clock: clock, peers: peers, log: log,
		store: p.Store, group: p.Group, directorySource: p.Directory, operators: p.Operators, workers: p.Workers,
		machines:       p.Machines,
		advisor:        p.Advisor,
		relays:         p.Relays,
		metrics:        newNodeMetrics(),
		jobMemory:      job.NewMemoryBudget(s.jobMemory()),
		freshReads:     newFreshReads(),
		member:         memberName(s),
		processID:      uuid.NewString(),
		refreshOwners:  make(chan struct{}, 1),
		refreshWorkers: make(chan struct{}, 1),
		shards:         make(map[int]*shard),
		vacant:         make(map[int]bool),
		owners:         make(map[int]string),
		waves:          make(map[int64]fleet.Wave),
		wantedUntil:    make(map[int]time.Duration),
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.entries.Store(&directoryView{})
	n.strongMembers = newStrongMembers(clock.Now().Steady)
	n.handlePeers()
	n.registerConfigGauges()
	n.registerJobMemory()
	n.registerTakeoverGauges()
	return n
}

// Run serves until the context ends, then hands over the shards and returns.
func (n *Node) Run(ctx context.Context) {
	n.wg.Go(n.followOperators)
	n.wg.Go(n.watchConfig)
	n.wg.Go(n.makeFreshReads)
	n.wg.Go(n.followDirectory)
	n.wg.Go(n.followOwners)
	n.wg.Go(n.maintainMembership)
	if !n.settings.strong() {
		n.wg.Go(n.watchStrongMembers)
		n.wg.Go(n.watchTakeoverWait)
	}
	<-ctx.Done()
	n.handOver()
}

// Close stops all work of the node and waits until it has ended.
func (n *Node) Close() {
	n.cancel()
	n.wg.Wait()
}

// handOver releases the shards to other nodes. Requests are forwarded to the new owners until Close.
func (n *Node) handOver() {
	n.leaving.Store(true)
	n.log.Event(LogEvent{Component: "node", Event: "handing over"})
	n.releaseShards("the node stops")
}

// Ready reports whether the node can serve callers.
func (n *Node) Ready() bool {
	return n.config.Load() != nil && !n.leaving.Load() && !n.configOutdated()
}

// Config returns the configuration in force, or nil if there is none yet.
func (n *Node) Config() *Config { return n.config.Load() }

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

// setVacant records that a shard contained no records in a generation of the group.
func (n *Node) setVacant(number int, generation int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if generation == n.vacantGeneration {
		n.vacant[number] = true
	}
}

// isUsed reports whether a shard contains pools to which routes lead, or the fleet controller.
func (n *Node) isUsed(shard int) bool { return shard == fleetShard || len(n.poolsOf(shard)) > 0 }

// shard returns a shard if this node owns it, otherwise nil.
func (n *Node) shard(number int) *shard {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.shards[number]
	if s == nil || s.ctx.Err() != nil {
		return nil
	}
	return s
}

func (n *Node) ownsAnyShard() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.shards) > 0
}

func (n *Node) wakeUp(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// followDirectory keeps the list of workers up to date while the node owns shards.
func (n *Node) followDirectory() {
	for n.ctx.Err() == nil {
		if n.ownsAnyShard() {
			n.readDirectory()
		}
		n.waitForWakeUp(n.refreshWorkers, directoryInterval)
	}
}

func (n *Node) readDirectory() {
	entries, changed, err := n.directorySource.Poll(n.ctx)
	if err != nil {
		n.log.Event(LogEvent{Component: "directory", Event: "read failed", Reason: err.Error()})
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

// waitForWakeUp waits until it is woken, d has passed or the node is closed.
func (n *Node) waitForWakeUp(wake chan struct{}, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-n.ctx.Done():
	case <-wake:
	case <-t.C:
	}
}

// Owns reports whether this node owns the shard of a pool.
func (n *Node) Owns(pool string) bool { return n.shard(n.shardOf(pool)) != nil }
