package jobmanager

import (
	"context"
	"slices"

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
	value, err := cbor.Marshal(claim{Epoch: s.epoch, Node: s.node.settings.Node, Nonce: s.nonce})
	if err != nil {
		return err
	}
	return s.node.store.Claim(ctx, s.number, s.epoch, end, job.Record{Key: claimKey, Value: value})
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
