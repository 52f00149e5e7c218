package jobmanager

import (
	"cmp"
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/berylwharf/berylwharf/job"
)

const (
	// commitEvery is the least time between the begins of commits; what happens meanwhile is stored in one append.
	commitEvery = 25 * time.Millisecond
	// commitStale is the age of an unfinished commit from which new jobs are refused: the store does not answer. A slow store
	// answers within about 300 ms.
	commitStale = 500 * time.Millisecond
	// giveUpAfter is how long a commit is repeated that the store turns away.
	giveUpAfter = 300 * time.Millisecond
	// refuseFor is how long new jobs are refused after that; the next one tries the store again.
	refuseFor = 400 * time.Millisecond
)

// errNotStored states that a commit was certainly not stored.
var errNotStored = errors.New("the store turned the commit away")

// commit stores the changes of all pools in one append. One append is outstanding at a time.
func (s *shard) commit(now job.Time) {
	if s.closed || s.commitAt != 0 || now.Steady-s.lastAt < commitEvery {
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
	extra := s.extra
	records = append(records, extra...)
	s.extra = nil
	if len(records) == 0 && len(commits) == 0 {
		return
	}
	s.commitAt, s.lastAt = now.Steady, now.Steady
	s.node.wg.Go(func() {
		err := s.store(records)
		switch {
		case err == nil:
			s.call(s.ctx, func(now job.Time) { s.committed(commits, now) })
		case errors.Is(err, errNotStored):
			s.call(s.ctx, func(now job.Time) { s.notStored(commits, extra, now) })
		default:
			s.cancel(errors.Wrap(err, "storing a commit"))
		}
	})
}

// store appends the records of a commit, repeating calls without an answer. It returns errNotStored when the store turned all
// calls away for some time.
func (s *shard) store(records []job.Record) error {
	first := true
	for len(records) > 0 {
		group, rest := splitRecords(records, s.node.settings.Bounds.CallBytes)
		records = rest
		if err := s.append(group, first); err != nil {
			return err
		}
		first = false
	}
	return nil
}

// append makes one append. Only the first of a commit may be given up.
func (s *shard) append(group []job.Record, first bool) error {
	s.seq++
	begun := s.node.clock.Now().Steady
	turnedAway := first
	return s.retry(func(ctx context.Context) error {
		err := s.node.store.Append(ctx, s.number, s.epoch, s.seq, group)
		turnedAway = turnedAway && errors.Is(err, ErrNoEffect)
		if turnedAway && s.node.clock.Now().Steady-begun > giveUpAfter {
			s.seq--
			return errors.WithMessage(errNotStored, err.Error())
		}
		return err
	})
}

// splitRecords returns the first records that fit in one call, at least one, and the rest.
func splitRecords(records []job.Record, callBytes int) (group, rest []job.Record) {
	// Each record has a length field, a key length and its key beside the value.
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

// committed answers the callers whose requests a commit contains.
func (s *shard) committed(commits map[*job.Pool]*job.Commit, now job.Time) {
	s.node.metrics.storeLatency.Update((now.Steady - s.commitAt).Microseconds())
	s.commitAt, s.trouble = 0, 0
	for p, c := range commits {
		p.Committed(c, now)
		for _, id := range c.Jobs {
			s.answer(id, c.Ends(id), outcome{answer: job.Accepted})
		}
	}
	for _, l := range s.links {
		l.committed()
	}
}

// answer answers those who wait for a job. Ended states that the job's end is stored.
func (s *shard) answer(id string, ended bool, o outcome) {
	var rest []waiter
	for _, w := range s.waiters[id] {
		if w.ended && !ended {
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

// notStored takes a commit back that the store turned away. The jobs that it would have accepted are refused.
func (s *shard) notStored(commits map[*job.Pool]*job.Commit, extra []job.Record, now job.Time) {
	s.trouble = cmp.Or(s.trouble, s.commitAt)
	s.commitAt = 0
	s.failingTo = now.Steady + refuseFor
	s.extra = append(extra, s.extra...)
	for p, c := range commits {
		p.GiveBack(c)
	}
	s.withdraw(now)
}

// stale tells whether the store does not answer, or turns commits away.
func (s *shard) stale(now job.Time) bool {
	return (s.commitAt != 0 && now.Steady-s.commitAt > commitStale) || now.Steady < s.failingTo
}

// storeDown is the outcome of a job that was not stored.
func (s *shard) storeDown(now job.Time) outcome {
	return outcome{err: errStoreDown, retry: retryAfter(now.Steady - s.trouble)}
}

// withdraw refuses the jobs that wait to be stored and were not sent to the store.
func (s *shard) withdraw(now job.Time) {
	for _, p := range s.pools {
		for _, id := range p.Withdraw() {
			s.answer(id, true, s.storeDown(now))
		}
	}
}
