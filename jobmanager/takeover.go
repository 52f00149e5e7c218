package jobmanager

import (
	"context"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/berylwharf/berylwharf/job"
)

// claimKey is the key of the record that names a shard's owner.
const claimKey = "owner"

// claim is the value of the record that names a shard's owner. Its epoch is greater than that of each earlier claim, also
// when the same node owns the shard again: the store takes an append with a known epoch and number for a repetition and
// drops it, and workers compare the epochs as fencing tokens.
type claim struct {
	Epoch int64  `cbor:"1,keyasint"`
	Node  string `cbor:"2,keyasint"`
	Nonce string `cbor:"3,keyasint"`
	// Released states that the owner has stopped ordering by itself.
	Released bool `cbor:"4,keyasint,omitempty"`
	// Process tells the processes of a node apart.
	Process string `cbor:"5,keyasint,omitempty"`
}

// takeOver claims the shard, which fences earlier owners, and loads the stored records.
func (s *shard) takeOver() error {
	for {
		err := s.retry(s.tryClaim)
		if err == nil {
			return nil
		}
		if !errors.Is(err, ErrMoved) {
			return err
		}
	}
}

// tryClaim loads the shard and claims it, unless the log was extended in between.
func (s *shard) tryClaim(ctx context.Context) error {
	records, end, err := s.node.store.Load(ctx, s.number)
	if err != nil {
		return errors.Wrap(err, "loading")
	}
	last, rest, err := splitClaim(records)
	if err != nil {
		s.node.log.Event(LogEvent{Part: "shard", What: "claim not readable", Shard: s.number, Why: err.Error()})
	}
	if last.Nonce != s.nonce {
		s.epoch = last.Epoch + 1
		s.previous = last
		if err := s.claim(ctx, end); err != nil {
			return errors.Wrap(err, "claiming")
		}
	}
	// A claim with this nonce is an earlier attempt whose answer was lost.
	s.loaded = job.Decode(rest)
	for _, problem := range s.loaded.Problems {
		s.node.log.Event(LogEvent{Part: "shard", What: "record skipped", Shard: s.number, Why: problem.Error()})
	}
	return nil
}

func (s *shard) claim(ctx context.Context, end int64) error {
	record, err := s.claimRecord(false)
	if err != nil {
		return err
	}
	return s.node.store.Claim(ctx, s.number, s.epoch, end, record)
}

func (s *shard) claimRecord(released bool) (job.Record, error) {
	value, err := cbor.Marshal(claim{Epoch: s.epoch, Node: s.node.settings.Node, Nonce: s.nonce, Released: released, Process: s.node.process})
	return job.Record{Key: claimKey, Value: value}, err
}

const (
	// releaseTimeout bounds the release of a shard; a successor waits longer without it, but takes over all the same.
	releaseTimeout = 900 * time.Millisecond
	// releasePoll is the time between looks for the end of what is in flight.
	releasePoll = 10 * time.Millisecond
)

// release ends the ownership after what is in flight: commits are stored, orders for machines have ended, and the claim says
// that the successor need not wait for orders of this owner.
func (s *shard) release() {
	ctx, cancel := context.WithTimeout(s.ctx, releaseTimeout)
	defer cancel()
	s.releasing.Store(true)
	settled := false
	for !settled && ctx.Err() == nil {
		s.call(ctx, func(job.Time) {
			settled = s.settled() && s.node.machineOrders.Load() == 0
			s.closed = settled
		})
		pause(ctx, releasePoll)
	}
	if settled {
		s.storeRelease(ctx)
	}
	s.lose("the node stops")
}

// settled tells whether nothing waits to be stored.
func (s *shard) settled() bool {
	for _, p := range s.pools {
		if p.Dirty() {
			return false
		}
	}
	return s.commitAt == 0 && len(s.extra) == 0
}

func (s *shard) storeRelease(ctx context.Context) {
	record, err := s.claimRecord(true)
	if err == nil {
		err = s.node.store.Append(ctx, s.number, s.epoch, s.seq+1, []job.Record{record})
	}
	if err != nil {
		s.node.log.Event(LogEvent{Part: "shard", What: "not released", Shard: s.number, Epoch: s.epoch, Why: err.Error()})
	}
}

// splitClaim takes the claim out of the records of a shard. The claim is zero when there is none yet.
func splitClaim(records []job.Record) (claim, []job.Record, error) {
	var c claim
	i := slices.IndexFunc(records, func(r job.Record) bool { return r.Key == claimKey })
	if i < 0 {
		return c, records, nil
	}
	err := cbor.Unmarshal(records[i].Value, &c)
	return c, slices.Delete(slices.Clone(records), i, i+1), err
}
