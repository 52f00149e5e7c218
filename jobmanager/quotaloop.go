package jobmanager

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/berylwharf/berylwharf/job"
	"github.com/berylwharf/berylwharf/quota"
	"github.com/berylwharf/berylwharf/verdict"
)

const (
	// quotaInterval is the time between rounds of the allocator of caps.
	quotaInterval = 200 * time.Millisecond
	// quotaTimeout bounds the call to the owner of one pool in a round.
	quotaTimeout = 300 * time.Millisecond
	// homesInterval is the time between updates of the list of pools that accepted the jobs of a queue earlier.
	homesInterval = time.Second
)

// quotaLoop divides the caps of the customers among the pools, on the owner of fleetShard. Without a cap in the configuration it
// does nothing.
type quotaLoop struct {
	shard     *shard
	node      *Node
	allocator *quota.Allocator // nil until there is a cap
	active    bool             // the last round had caps
	learned   bool             // the allocator divides the caps
	version   int64            // of caps
	caps      map[string]quota.Amount
	homes     []string // pools that accepted the jobs of a queue
	homesAt   time.Duration
	duration  metrics.Histogram // of a round in microseconds
}

func newQuotaLoop(s *shard) *quotaLoop {
	return &quotaLoop{
		shard: s, node: s.node,
		duration: metrics.GetOrRegisterHistogram("quota.round.us", s.node.metrics.registry, metrics.NewUniformSample(sampleSize)),
	}
}

// startQuotaLoop starts the allocator of caps on the owner of fleetShard.
func (s *shard) startQuotaLoop() {
	s.node.wg.Go(func() {
		defer s.recoverPanic()
		newQuotaLoop(s).run()
	})
}

// run executes rounds until the ownership ends or a later allocator is known.
func (q *quotaLoop) run() {
	for q.shard.ctx.Err() == nil {
		if !q.round() {
			return
		}
		sleep(q.shard.ctx, quotaInterval)
	}
}

// round executes one round. It returns false if a later allocator is known.
func (q *quotaLoop) round() bool {
	now := q.node.clock.Now()
	config := q.node.Config()
	if config == nil || !q.node.confirmed(now) || q.shard.releasing.Load() {
		return true
	}
	if q.caps == nil || q.version != config.Version {
		q.version, q.caps = config.Version, config.quotaCaps()
	}
	if len(q.caps) == 0 {
		q.active = false
		return true
	}
	q.activate(now)
	if !q.shard.unsettled.Load() {
		q.allocator.Settle(now.Steady)
	}
	offers := q.allocator.Round(q.pools(config, now), q.caps, q.version, now.Steady)
	sentAt := q.node.clock.Now()
	if !q.node.confirmed(sentAt) {
		return true
	}
	reports := q.call(offers)
	now = q.node.clock.Now()
	for pool, r := range reports {
		if err := q.allocator.Report(pool, *r, sentAt.Steady, now.Steady); err != nil {
			q.node.log.Event(LogEvent{Component: "quota", Event: "allocator replaced", Epoch: q.shard.epoch, Pool: pool, Reason: err.Error()})
			return false
		}
	}
	q.observe(sentAt, now, len(offers)-len(reports))
	return true
}

// activate creates the allocator when there is a cap for the first time. When there are caps again after a time without any, it
// resets the allocator, because the pools may have started anything meanwhile.
func (q *quotaLoop) activate(now job.Time) {
	switch {
	case q.allocator == nil:
		q.allocator = quota.New(q.shard.epoch, membershipTTL, q.shard.takeoverStart.Steady)
		if q.shard.previousClaim.Epoch == 0 {
			q.allocator.SkipLearning()
		}
		q.node.log.Event(LogEvent{Component: "quota", Event: "allocator started", Epoch: q.shard.epoch, Count: len(q.caps)})
	case !q.active:
		q.allocator.Reset(now.Steady)
		q.learned = false
	}
	q.active = true
}

// pools returns the pools to which routes lead, and those that accepted the jobs of a queue earlier.
func (q *quotaLoop) pools(config *Config, now job.Time) []string {
	if q.homes == nil || now.Steady-q.homesAt >= homesInterval {
		q.homesAt = now.Steady
		q.shard.runInLoop(q.shard.ctx, func(job.Time) {
			q.homes = []string{}
			for _, h := range q.shard.homes {
				q.homes = append(append(q.homes, h.Pool), h.Earlier...)
			}
		})
	}
	pools := make(map[string]bool)
	for _, name := range q.homes {
		pools[name] = true
	}
	for i := range config.Routes {
		pools[config.Routes[i].Pool] = true
	}
	return slices.Sorted(maps.Keys(pools))
}

// call sends the offers to the owners of the pools and returns the reports that arrive in time.
func (q *quotaLoop) call(offers map[string]quota.Offer) map[string]*quota.Report {
	var mu sync.Mutex
	var wg sync.WaitGroup
	out := make(map[string]*quota.Report)
	for pool, offer := range offers {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(q.shard.ctx, quotaTimeout)
			defer cancel()
			r := q.node.attempt(ctx, q.node.shardOf(pool), typeQuota, call{Pool: pool, Quota: &offer})
			if r.Code != codeOK || r.Quota == nil {
				q.node.wakeUp(q.node.refreshOwners)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			out[pool] = r.Quota
		})
	}
	wg.Wait()
	return out
}

// observe updates the metrics, and logs when the allocator begins to divide the caps.
func (q *quotaLoop) observe(begun, now job.Time, silent int) {
	registry := q.node.metrics.registry
	q.duration.Update((now.Steady - begun.Steady).Microseconds())
	metrics.GetOrRegisterGauge("quota.pools.silent", registry).Update(int64(silent))
	metrics.GetOrRegisterGauge("quota.customers.heldup", registry).Update(int64(q.allocator.HeldUp()))
	if learned := q.allocator.Learned(); learned && !q.learned {
		q.learned = true
		q.node.log.Event(LogEvent{
			Component: "quota", Event: "caps divided", Epoch: q.shard.epoch, Count: silent, AgeMs: (now.Steady - q.shard.takeoverStart.Steady).Milliseconds(),
		})
	}
}

// quotaCaps returns the limits of the customers that have a cap.
func (c *Config) quotaCaps() map[string]quota.Amount {
	caps := make(map[string]quota.Amount)
	for _, customer := range c.Customers {
		if limit := customer.Limits.Cap; limit != (job.Resources{}) {
			caps[customer.Name] = quota.Limits(quota.Amount{limit.CPU, limit.MemMB, limit.GPU})
		}
	}
	return caps
}

// quotaRound applies an offer of the allocator to a pool and returns the pool's report.
func (s *shard) quotaRound(ctx context.Context, c call) reply {
	r := reply{Code: codeNotOwner}
	s.runInLoop(ctx, func(now job.Time) {
		if c.Quota == nil || !s.node.confirmed(now) || s.releasing.Load() {
			return
		}
		report := s.pool(c.Pool, now).QuotaRound(*c.Quota, now)
		report.ConfirmedFor = s.node.confirmedFor(now)
		r = reply{Quota: &report}
	})
	return r
}

// overCapError is the refusal of a job that can never run within the cap of its customer. Retrying is of no use, so it names no
// retry delay.
func overCapError() error {
	return verdict.New(verdict.NotRun, verdict.ReasonQuota, http.StatusTooManyRequests,
		"a task or gang of the job needs more than the cap of its customer")
}
