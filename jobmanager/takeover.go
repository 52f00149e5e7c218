package jobmanager

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/berylwharf/berylwharf/job"
)

// claimKey is the key of the record that holds the claim on a shard.
const claimKey = "owner"

// claim records the owner of a shard. Its epoch is greater than that of every earlier claim, even if the same node
// becomes the owner again: the store drops an append with a known epoch and number as a repetition, and workers compare
// epochs as fencing tokens.
type claim struct {
	Epoch int64  `cbor:"1,keyasint"`
	Node  string `cbor:"2,keyasint"`
	Nonce string `cbor:"3,keyasint"`
	// Released means that the owner gave up the shard itself and sends no more orders.
	Released bool `cbor:"4,keyasint,omitempty"`
	// Process distinguishes the processes of a node.
	Process string `cbor:"5,keyasint,omitempty"`
	// Unsettled means that an owner before this one may still send orders. The owner stores the claim again without it as
	// soon as that is excluded.
	Unsettled bool `cbor:"6,keyasint,omitempty"`
}

// errVacant means that the shard was not claimed, because it contains no records and no route leads to it.
var errVacant = errors.New("the shard is vacant")

// takeOver loads the shard's records and claims the shard, which fences earlier owners. It returns errVacant if there is
// nothing to own. A shard without routes must be owned as long as it has records: its accepted jobs run to their end, and
// the pools to which its queues have moved ask for them.
func (s *shard) takeOver() error {
	for {
		err := s.retry(s.tryClaim)
		if err == nil {
			return nil
		}
		if !errors.Is(err, ErrLogExtended) {
			return err
		}
		sleep(s.ctx, storeRetryDelay)
	}
}

// maxFirstSeq bounds the numbers that newFirstSeq returns. They can be represented exactly in a JSON number.
const maxFirstSeq = 1 << 48

// newFirstSeq returns the number of a claim's append. It is random, because two nodes may claim a shard at the same time
// with the same epoch: with equal numbers the store would take the second claim for a repetition of the first.
func newFirstSeq() int64 { return rand.Int64N(maxFirstSeq) }

// tryClaim loads the shard and claims it. It fails with ErrLogExtended if the log was extended in between.
func (s *shard) tryClaim(ctx context.Context) error {
	records, end, err := s.node.store.Load(ctx, s.number)
	if err != nil {
		return errors.Wrap(err, "load shard records")
	}
	last, rest, err := splitClaim(records)
	if err != nil {
		s.node.log.Event(LogEvent{Component: "shard", Event: "claim not decoded", Shard: s.number, Reason: err.Error()})
	}
	if len(rest) == 0 && !s.node.isUsed(s.number) {
		return errVacant
	}
	if last.Nonce != s.nonce {
		s.epoch = last.Epoch + 1
		s.previousClaim = last
		s.unsettled.Store(!s.predecessorReleased())
		if err := s.claim(ctx, end); err != nil {
			return errors.Wrap(err, "claim shard")
		}
	}
	// A claim with this nonce was written by an earlier attempt whose answer was lost.
	s.loaded = job.Decode(rest)
	for _, problem := range s.loaded.Problems {
		s.node.log.Event(LogEvent{Component: "shard", Event: "record skipped", Shard: s.number, Reason: problem.Error()})
	}
	return nil
}

func (s *shard) claim(ctx context.Context, end int64) error {
	record, err := s.claimRecord(false)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return s.node.store.Claim(ctx, s.number, s.epoch, s.seq, end, record)
}

func (s *shard) claimRecord(released bool) (job.Record, error) {
	value, err := cbor.Marshal(claim{Epoch: s.epoch, Node: s.node.settings.Node, Nonce: s.nonce, Released: released, Process: s.node.processID, Unsettled: s.unsettled.Load()})
	return job.Record{Key: claimKey, Value: value}, err
}

const (
	// releaseTimeout bounds the release of a shard. Without a stored release the successor waits longer before it sends
	// orders, but still takes over.
	releaseTimeout = 900 * time.Millisecond
	// releasePoll is the interval at which release checks whether all operations in flight have ended.
	releasePoll = 10 * time.Millisecond
)

// release waits for operations in flight, stores the release and ends the ownership. It waits until commits are stored
// and machine orders have ended; the released claim then tells the successor that it need not wait for orders of this
// owner.
func (s *shard) release() {
	ctx, cancel := context.WithTimeout(s.ctx, releaseTimeout)
	defer cancel()
	s.releasing.Store(true)
	settled := false
	for !settled && ctx.Err() == nil {
		s.runInLoop(ctx, func(job.Time) {
			settled = s.nothingToStore() && s.node.machineOrdersInFlight.Load() == 0
			s.appendsClosed = settled
		})
		sleep(ctx, releasePoll)
	}
	if settled {
		s.storeRelease(ctx)
	}
	s.endOwnership("the node stops")
}

// nothingToStore reports whether nothing remains to be stored.
func (s *shard) nothingToStore() bool {
	for _, p := range s.pools {
		if p.HasUncommitted() {
			return false
		}
	}
	return s.commitStartedAt == 0 && len(s.extraRecords) == 0
}

func (s *shard) storeRelease(ctx context.Context) {
	record, err := s.claimRecord(true)
	if err == nil {
		err = s.node.store.Append(ctx, s.number, s.epoch, s.seq+1, []job.Record{record})
	}
	if err != nil {
		s.node.log.Event(LogEvent{Component: "shard", Event: "release not stored", Shard: s.number, Epoch: s.epoch, Reason: err.Error()})
	}
}

// splitClaim separates the claim from the other records of a shard. The claim is zero if there is none yet.
func splitClaim(records []job.Record) (claim, []job.Record, error) {
	var c claim
	i := slices.IndexFunc(records, func(r job.Record) bool { return r.Key == claimKey })
	if i < 0 {
		return c, records, nil
	}
	err := cbor.Unmarshal(records[i].Value, &c)
	return c, slices.Delete(slices.Clone(records), i, i+1), err
}
