package jobmanager

import (
	"cmp"
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/berylwharf/berylwharf/job"
)

const (
	// commitInterval is the minimum time between the starts of two commits. Changes made in between are stored in one
	// append.
	commitInterval = 25 * time.Millisecond
	// commitStallTimeout is the age of an unfinished commit from which new jobs are refused because the store does not
	// answer. A slow store answers within about 300 ms.
	commitStallTimeout = 500 * time.Millisecond
	// commitRejectTimeout is how long a commit is retried that the store keeps rejecting.
	commitRejectTimeout = 300 * time.Millisecond
	// minUploadRate is the rate in bytes per second at which the slowest link carries an append.
	minUploadRate = 128 << 10
	// ownerRecordInterval is the longest time between appends of a strong owner of the fleet shard. Nodes that are not strong
	// tell by them that it lives.
	ownerRecordInterval = time.Second
	// refusalPeriod is how long new jobs are refused after a rejected commit. The first job after it tries the store
	// again.
	refusalPeriod = 400 * time.Millisecond
)

// errCommitRejected means that a commit was certainly not stored.
var errCommitRejected = errors.New("the store rejected the commit")

// store stores a record with the next commit and then calls stored on the shard's goroutine.
func (s *shard) store(r job.Record, stored func()) {
	s.extraRecords = append(s.extraRecords, extraRecord{Record: r, stored: stored})
}

// extraRecord is a record of the shard itself that waits for a commit.
type extraRecord struct {
	job.Record
	stored func() // called on the shard's goroutine when the record is stored; may be nil
}

// commit stores the changes of all pools with one sequence of appends. At most one commit is in progress.
func (s *shard) commit(now job.Time) {
	if s.appendsClosed || s.commitStartedAt != 0 || now.Steady-s.lastCommitAt < commitInterval {
		return
	}
	commits := make(map[*job.Pool]*job.Commit)
	var records []job.Record
	for _, p := range s.pools {
		if c := p.TakeCommit(); c != nil {
			commits[p] = c
			records = append(records, c.Records...)
		}
	}
	extra := s.extraRecords
	for _, e := range extra {
		records = append(records, e.Record)
	}
	s.extraRecords = nil
	if len(records) == 0 && len(commits) == 0 {
		return
	}
	s.commitStartedAt, s.lastCommitAt = now.Steady, now.Steady
	s.node.wg.Go(func() {
		err := s.storeRecords(records)
		switch {
		case err == nil:
			s.runInLoop(s.ctx, func(now job.Time) { s.committed(commits, extra, now) })
		case errors.Is(err, errCommitRejected):
			s.runInLoop(s.ctx, func(now job.Time) { s.commitRejected(commits, extra, now) })
		default:
			s.cancel(errors.Wrap(err, "storing a commit"))
		}
	})
}

// extendLog stores a record without content if the owner of the fleet shard has stored nothing for ownerRecordInterval.
func (s *shard) extendLog(now job.Time) {
	if s.number != fleetShard || !s.node.settings.strong() || s.commitStartedAt != 0 || len(s.extraRecords) > 0 {
		return
	}
	if now.Steady-s.lastCommitAt >= ownerRecordInterval {
		s.store(job.Record{Key: ownerCheckKey}, nil)
	}
}

// storeRecords appends the records of a commit, split into calls of the permitted size. It returns errCommitRejected if
// the store rejected every attempt of the first call for commitRejectTimeout.
func (s *shard) storeRecords(records []job.Record) error {
	first := true
	for len(records) > 0 {
		batch, rest := splitRecords(records, s.node.settings.Limits.CallBytes)
		records = rest
		if err := s.appendBatch(batch, first); err != nil {
			return err
		}
		first = false
	}
	return nil
}

// appendBatch appends one batch and retries it until its outcome is known. Only the first batch of a commit may be
// abandoned.
func (s *shard) appendBatch(batch []job.Record, first bool) error {
	s.seq++
	startedAt := s.node.clock.Now().Steady
	rejected := first
	return s.retry(func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, appendTimeout(batch))
		defer cancel()
		err := s.node.store.Append(ctx, s.number, s.epoch, s.seq, batch)
		rejected = rejected && errors.Is(err, ErrNoEffect)
		if rejected && s.node.clock.Now().Steady-startedAt > commitRejectTimeout {
			s.seq--
			return errors.WithMessage(errCommitRejected, err.Error())
		}
		return err
	})
}

// appendTimeout returns the timeout of an append. It grows with the size of the records, so that an append that a slow link carries
// is not begun anew for ever.
func appendTimeout(records []job.Record) time.Duration {
	size := 0
	for _, r := range records {
		size += len(r.Key) + len(r.Value)
	}
	return storeTimeout + time.Duration(size)*time.Second/minUploadRate
}

// splitRecords returns the longest prefix of records that fits in one call, at least one record, and the rest.
func splitRecords(records []job.Record, callBytes int) (batch, rest []job.Record) {
	// Encoding overhead per record in addition to key and value: a length field and the key length.
	const overhead = 8
	size := 0
	for i, r := range records {
		size += len(r.Key) + len(r.Value) + overhead
		if i > 0 && callBytes > 0 && size > callBytes {
			return records[:i], records[i:]
		}
	}
	return records, nil
}

// committed applies a stored commit and answers the callers that wait for it.
func (s *shard) committed(commits map[*job.Pool]*job.Commit, extra []extraRecord, now job.Time) {
	s.node.metrics.storeLatency.Update((now.Steady - s.commitStartedAt).Microseconds())
	s.commitStartedAt, s.storeFailingSince = 0, 0
	for p, c := range commits {
		p.Committed(c, now)
		for _, id := range c.Jobs {
			s.answerWaiters(id, c.EndsJob(id), outcome{answer: job.Accepted})
		}
	}
	for _, e := range extra {
		if e.stored != nil {
			e.stored()
		}
	}
	for _, l := range s.links {
		l.notifyCommitted()
	}
}

// answerWaiters answers the callers that wait for a job. Callers that wait for the job's end are answered only if ended
// reports that the end is stored.
func (s *shard) answerWaiters(id string, ended bool, o outcome) {
	var rest []waiter
	for _, w := range s.waiters[id] {
		if w.untilEnded && !ended {
			rest = append(rest, w)
			continue
		}
		w.reply <- o
	}
	if len(rest) == 0 {
		delete(s.waiters, id)
		return
	}
	s.waiters[id] = rest
}

// commitRejected returns the changes of a rejected commit to their pools and refuses the jobs that it would have
// accepted.
func (s *shard) commitRejected(commits map[*job.Pool]*job.Commit, extra []extraRecord, now job.Time) {
	s.storeFailingSince = cmp.Or(s.storeFailingSince, s.commitStartedAt)
	s.commitStartedAt = 0
	s.refuseUntil = now.Steady + refusalPeriod
	s.extraRecords = append(extra, s.extraRecords...)
	for p, c := range commits {
		p.CommitFailed(c)
	}
	s.withdrawUnsent(now)
}

// storeUnavailable reports whether the store does not answer or has recently rejected a commit.
func (s *shard) storeUnavailable(now job.Time) bool {
	return (s.commitStartedAt != 0 && now.Steady-s.commitStartedAt > commitStallTimeout) || now.Steady < s.refuseUntil
}

// storeDownOutcome is the outcome of a request that was not stored because the store is unavailable. Requests can find
// the store unavailable before the next step records since when it fails.
func (s *shard) storeDownOutcome(now job.Time) outcome {
	since := cmp.Or(s.storeFailingSince, s.commitStartedAt, now.Steady)
	return outcome{err: errStoreDown, retry: retryAfter(now.Steady - since)}
}

// withdrawUnsent refuses the jobs that have not been sent to the store yet.
func (s *shard) withdrawUnsent(now job.Time) {
	for _, p := range s.pools {
		for _, id := range p.WithdrawUnsent() {
			s.answerWaiters(id, true, s.storeDownOutcome(now))
		}
	}
}
