package jobmanager

import (
	"context"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/berylwharf/berylwharf/job"
)

// homeKeyPrefix is the key prefix of stored queueHomes.
const homeKeyPrefix = "q/"

// queueHome is stored in fleetShard. It names the pool that accepts the jobs of a queue.
type queueHome struct {
	Address string `cbor:"1,keyasint"`
	Pool    string `cbor:"2,keyasint"`
	Version int64  `cbor:"3,keyasint"` // of the configuration under which the pool took the queue over
	// Earlier lists the pools that took the queue over before.
	Earlier []string `cbor:"4,keyasint,omitempty"`
}

func (h *queueHome) key() string {
	return fmt.Sprintf("%s%016x", homeKeyPrefix, xxhash.Sum64String(h.Address))
}

// claim returns the state after a claim by a pool, and whether the pool has the queue then. The zero queueHome belongs to no
// pool.
func (h queueHome) claim(c call) (next queueHome, granted bool) {
	switch {
	case h.Pool == "":
		return queueHome{Address: c.Address, Pool: c.Pool, Version: c.Version}, true
	case h.Pool == c.Pool:
		// The greater version keeps out a late claim of another pool under a version in between.
		h.Version = max(h.Version, c.Version)
		return h, true
	case c.Version <= h.Version:
		return h, false
	}
	earlier := slices.DeleteFunc(append(slices.Clone(h.Earlier), h.Pool), func(pool string) bool { return pool == c.Pool })
	return queueHome{Address: c.Address, Pool: c.Pool, Version: c.Version, Earlier: earlier}, true
}

// contradicts reports whether the configuration is the version of a claim and does not route the queue to the pool that
// claims it.
func (c *Config) contradicts(claim call) bool {
	if c == nil || c.Version != claim.Version {
		return false
	}
	return !c.routes(claim.Address, claim.Pool)
}

// claimHome gives a queue to a pool unless another pool has it under the same or a later version of the configuration, or
// the version of the claim is known not to route the queue to the pool. The reply contains the version, and the earlier
// pools or the other pool.
func (s *shard) claimHome(ctx context.Context, c call) reply {
	return s.storedReply(ctx, func(answer func(reply)) {
		if s.node.Config().contradicts(c) {
			answer(reply{Code: codeNotOwner})
			return
		}
		home, granted := s.homes[c.Address].claim(c)
		if !granted {
			answer(reply{Code: codeMoved, Pool: home.Pool, Version: home.Version})
			return
		}
		s.homes[c.Address] = home
		value, err := cbor.Marshal(home)
		if err != nil {
			s.node.log.Event(LogEvent{Component: "queue", Event: "not stored", Queue: c.Address, Pool: c.Pool, Reason: err.Error()})
			answer(reply{Code: codeNotOwner})
			return
		}
		s.store(job.Record{Key: home.key(), Value: value}, func() { answer(reply{Version: home.Version, Pools: home.Earlier}) })
	})
}
