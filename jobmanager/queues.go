package jobmanager

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/berylwharf/berylwharf/job"
)

// A job belongs to the pool that accepted it, and its identifier must remain one job when the route of its queue moves to
// another pool. Therefore at most one pool accepts jobs of a queue at a time. The owner of shard fleetShard records which
// one (queueHome). A pool that takes a queue over makes each earlier pool stop accepting its jobs and learns the
// identifiers that the earlier pool knows; calls for these are redirected there.

const (
	// queueKeyPrefix is the key prefix of stored queueRecords.
	queueKeyPrefix = "h/"
	// queueCheckInterval is the time between checks whether the pools of a shard hold the queues that are routed to them.
	queueCheckInterval = 100 * time.Millisecond
	// queueClaimTimeout bounds one attempt to take over a queue.
	queueClaimTimeout = 3 * time.Second
)

// QueueRef names a queue as one version of the configuration routes it.
type QueueRef struct {
	Name string
	// Address is the host and path prefix under which callers reach the queue. It identifies the queue in all versions.
	Address string
	Pool    string
	Version int64 // of the configuration
	// Customer is the customer in whose name the queue is called: empty for a call without a key on a public route, nil if
	// calls are not authenticated.
	Customer *string
}

// Ref returns the reference to the queue of a route of the configuration, without a caller.
func (c *Config) Ref(r *Route) QueueRef {
	return QueueRef{Name: r.Name, Address: strings.ToLower(r.Host) + r.PathPrefix, Pool: r.Pool, Version: c.Version}
}

// queueRecord is stored in the shard of a pool. It states whether the pool accepts jobs of a queue.
type queueRecord struct {
	Pool    string `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"`
	// Version is that of the configuration under which the pool took the queue over; 0 if it never did.
	Version int64 `cbor:"3,keyasint,omitempty"`
	// Earlier lists the pools that may know jobs of the queue.
	Earlier []string `cbor:"4,keyasint,omitempty"`
	// MovedTo is the pool that took the queue over from this one, MovedVersion the version of the configuration under which
	// it did.
	MovedTo      string `cbor:"5,keyasint,omitempty"`
	MovedVersion int64  `cbor:"6,keyasint,omitempty"`
}

// moved reports whether another pool has taken the queue over.
func (r *queueRecord) moved() bool { return r.MovedVersion > r.Version }

// redirects reports whether calls of nodes with a version of the configuration go to the pool that took the queue over.
func (r *queueRecord) redirects(version int64) bool { return r.moved() && version <= r.MovedVersion }

func (r *queueRecord) key() string {
	return fmt.Sprintf("%s%016x", queueKeyPrefix, xxhash.Sum64String(r.Pool+"\x00"+r.Address))
}

// queueKey identifies a queue of a pool.
type queueKey struct{ pool, address string }

// heldQueue is what the owner of a pool knows about a queue. It belongs to the shard's goroutine.
type heldQueue struct {
	record queueRecord
	// elsewhere holds the pool that accepted a job, by job, for the jobs of earlier pools.
	elsewhere map[string]string
	// held means that the takeover of the queue is stored and elsewhere is complete.
	held     bool
	claiming bool
}

// restoreQueues restores the stored state of the queues.
func (s *shard) restoreQueues(records []job.Record) {
	for _, r := range records {
		var problem error
		switch {
		case strings.HasPrefix(r.Key, queueKeyPrefix):
			var q queueRecord
			if problem = cbor.Unmarshal(r.Value, &q); problem == nil {
				// Without earlier pools there are no jobs elsewhere to learn.
				s.queues[queueKey{q.Pool, q.Address}] = &heldQueue{record: q, held: !q.moved() && len(q.Earlier) == 0}
			}
		case strings.HasPrefix(r.Key, homeKeyPrefix):
			var h queueHome
			if problem = cbor.Unmarshal(r.Value, &h); problem == nil {
				s.homes[h.Address] = h
			}
		}
		if problem != nil {
			s.node.log.Event(LogEvent{Component: "shard", Event: "record skipped", Shard: s.number, Reason: r.Key + ": " + problem.Error()})
		}
	}
}

// queue returns the state of a queue of a pool and creates it if necessary.
func (s *shard) queue(pool, address string) *heldQueue {
	k := queueKey{pool, address}
	if s.queues[k] == nil {
		s.queues[k] = &heldQueue{record: queueRecord{Pool: pool, Address: address}}
	}
	return s.queues[k]
}

// takeOverQueues takes over the queues that the configuration routes to pools of the shard. The queues are looked up once for
// each version: the check is frequent, and the configuration may have thousands of routes to other shards.
func (s *shard) takeOverQueues(now job.Time) {
	config := s.node.Config()
	if config == nil || now.Steady-s.queuesCheckedAt < queueCheckInterval {
		return
	}
	s.queuesCheckedAt = now.Steady
	if s.routed.config != config {
		s.routed.config, s.routed.queues = config, nil
		for _, ref := range s.node.queuesOf(config, s.number) {
			s.routed.queues = append(s.routed.queues, s.queue(ref.Pool, ref.Address))
		}
	}
	for _, q := range s.routed.queues {
		if !q.held && !q.record.redirects(config.Version) {
			s.claimQueue(q, config.Version)
		}
	}
}

// routedQueues are the queues that a version of the configuration routes to the pools of a shard. It belongs to the shard's
// goroutine.
type routedQueues struct {
	config *Config
	queues []*heldQueue
}

// location is the decision where a call for a job that the pool doesn't know is answered.
type location struct {
	pool string // to which the call is redirected; "" for this one
	// unheld means that the pool can't answer because it does not hold the queue, and claim that it must take the queue over.
	unheld, claim bool
	// forget means that the job has ended, and the earlier pool that accepted it has removed it.
	forget bool
}

// decideLocation decides where a call for a job that the pool doesn't know is answered, from what the pool knows about its queue.
//
// The version of a call routes the queue to the pool that the call reached first. So a redirected call never makes this
// pool take the queue over: that version may route the queue to another pool.
func (q *heldQueue) decideLocation(c call) location {
	redirected := c.RedirectedBy != ""
	switch {
	case q.record.redirects(c.Version), redirected && q.record.moved():
		return location{pool: q.record.MovedTo}
	case !q.held:
		return location{unheld: true, claim: !redirected}
	}
	elsewhere := q.elsewhere[c.ID]
	if elsewhere != "" && elsewhere == c.RedirectedBy {
		return location{forget: true}
	}
	return location{pool: elsewhere}
}

// locate returns the pool to which a call for a job that the pool doesn't know is redirected, or "" for this one. The error is
// errNotOwner while the queue is being taken over, which the call may cause.
func (s *shard) locate(c call) (pool string, err error) {
	if c.Address == "" {
		return "", nil
	}
	q := s.queue(c.Pool, c.Address)
	l := q.decideLocation(c)
	if l.claim {
		s.claimQueue(q, c.Version)
	}
	if l.forget {
		delete(q.elsewhere, c.ID)
	}
	if l.unheld {
		return "", errNotOwner
	}
	return l.pool, nil
}

// earlierPools returns the pools that know jobs of a queue that they accepted earlier than the pool of the call.
func (s *shard) earlierPools(c call) []string {
	pools := make(map[string]bool)
	for _, pool := range s.queue(c.Pool, c.Address).elsewhere {
		pools[pool] = true
	}
	return slices.Sorted(maps.Keys(pools))
}

// claimQueue starts to take a queue over for its pool, as a version of the configuration routes it.
func (s *shard) claimQueue(q *heldQueue, version int64) {
	if q.claiming || s.releasing.Load() {
		return
	}
	q.claiming = true
	c := call{Pool: q.record.Pool, Address: q.record.Address, Version: version}
	s.node.wg.Go(func() {
		ctx, cancel := context.WithTimeout(s.ctx, queueClaimTimeout)
		defer cancel()
		home := s.node.attempt(ctx, fleetShard, typeClaimQueue, c)
		elsewhere, complete := make(map[string]string), false
		if home.Code == codeOK {
			c.Version = home.Version
			elsewhere, complete = s.node.stopEarlierPools(ctx, c, home.Pools)
		}
		s.runInLoop(s.ctx, func(job.Time) {
			q.claiming = false
			switch {
			case home.Code == codeMoved:
				s.queueMoved(q, home.Pool, home.Version, func() {})
			case complete:
				s.queueClaimed(q, home.Version, elsewhere)
			default:
				s.node.wakeUp(s.node.refreshOwners)
			}
		})
	})
}

// stopEarlierPools makes the earlier pools of a queue stop accepting its jobs. It returns the jobs that they know, and
// whether all pools answered.
func (n *Node) stopEarlierPools(ctx context.Context, claim call, pools []string) (jobs map[string]string, complete bool) {
	jobs = make(map[string]string)
	for _, pool := range pools {
		c := call{Pool: pool, Address: claim.Address, Version: claim.Version, MoveTo: claim.Pool}
		r := n.attempt(ctx, n.shardOf(pool), typeMoveQueue, c)
		if r.Code != codeOK {
			return nil, false
		}
		for _, id := range r.Jobs {
			jobs[id] = pool
		}
	}
	return jobs, true
}

// queueClaimed records that the pool has taken a queue over.
func (s *shard) queueClaimed(q *heldQueue, version int64, elsewhere map[string]string) {
	if q.record.MovedVersion > version {
		return
	}
	earlier := make(map[string]bool)
	for _, pool := range elsewhere {
		earlier[pool] = true
	}
	q.elsewhere = elsewhere
	q.record.Version, q.record.Earlier = version, slices.Sorted(maps.Keys(earlier))
	s.node.log.Event(LogEvent{
		Component: "queue", Event: "taken over", Queue: q.record.Address, Pool: q.record.Pool, Epoch: version, Count: len(elsewhere),
	})
	s.storeQueue(q, func() { q.held = q.record.Version == version && !q.record.moved() })
}

// queueMoved records that another pool has taken a queue over, and calls stored when the record is stored.
func (s *shard) queueMoved(q *heldQueue, to string, version int64, stored func()) {
	if version > q.record.MovedVersion {
		q.record.MovedTo, q.record.MovedVersion = to, version
		s.node.log.Event(LogEvent{
			Component: "queue", Event: "moved", Queue: q.record.Address, Pool: to, Epoch: version,
		})
	}
	q.held = q.held && !q.record.moved()
	s.storeQueue(q, stored)
}

func (s *shard) storeQueue(q *heldQueue, stored func()) {
	value, err := cbor.Marshal(q.record)
	if err != nil {
		s.node.log.Event(LogEvent{Component: "queue", Event: "not stored", Queue: q.record.Address, Pool: q.record.Pool, Reason: err.Error()})
		return
	}
	s.store(job.Record{Key: q.record.key(), Value: value}, stored)
}

// storedReply runs f on the shard's goroutine. F returns a reply at once, or registers reply to be called with one later.
func (s *shard) storedReply(ctx context.Context, f func(answer func(reply))) reply {
	answers := make(chan reply, 1)
	answer := func(r reply) { answers <- r }
	ran := s.runInLoop(ctx, func(now job.Time) {
		if !s.node.confirmed(now) || s.releasing.Load() {
			answer(reply{Code: codeNotOwner})
			return
		}
		f(answer)
	})
	if !ran && len(answers) == 0 {
		return reply{Code: codeUncertain}
	}
	select {
	case r := <-answers:
		return r
	case <-ctx.Done():
	case <-s.done:
	}
	return reply{Code: codeUncertain}
}

// knownJobs returns the jobs that a pool knows. A pool of which no job is stored is not created for it.
func (s *shard) knownJobs(pool string) []string {
	stored := slices.ContainsFunc(s.loaded.Specs, func(j job.LoadedJob) bool { return j.Spec.Pool == pool })
	if s.pools[pool] == nil && !stored {
		return nil
	}
	return s.pool(pool, s.node.clock.Now()).JobIDs()
}

// moveQueue makes a pool stop accepting jobs of a queue, for the pool that takes it over. The reply lists all jobs that
// the pool knows.
func (s *shard) moveQueue(ctx context.Context, c call) reply {
	return s.storedReply(ctx, func(answer func(reply)) {
		q := s.queue(c.Pool, c.Address)
		if q.record.Version >= c.Version {
			// This pool has taken the queue back under a later version.
			answer(reply{Code: codeNotOwner})
			return
		}
		s.queueMoved(q, c.MoveTo, c.Version, func() { answer(reply{Jobs: s.knownJobs(c.Pool)}) })
	})
}
