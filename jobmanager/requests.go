package jobmanager

import (
	"context"
	"time"

	"github.com/berylwharf/berylwharf/fleet"
	"github.com/berylwharf/berylwharf/job"
)

// submit adds a job and waits until it is stored.
func (s *shard) submit(ctx context.Context, c call) outcome {
	return s.request(ctx, c, false, func(p *job.Pool, now job.Time) outcome {
		if s.storeUnavailable(now) {
			return s.storeDownOutcome(now)
		}
		answer, retry := p.Submit(c.Spec, now)
		return outcome{answer: answer, retry: retry}
	})
}

// cancelJob cancels a job and waits until its end is stored.
func (s *shard) cancelJob(ctx context.Context, c call) outcome {
	return s.request(ctx, c, true, func(p *job.Pool, now job.Time) outcome {
		return outcome{answer: p.Cancel(c.ID, now)}
	})
}

// request runs f on the shard's goroutine, unless another pool answers the call. If f's answer is pending, it waits for
// the commit that settles the answer; with untilEnded, for one that contains the end of the job.
func (s *shard) request(ctx context.Context, c call, untilEnded bool, f func(*job.Pool, job.Time) outcome) outcome {
	reply := make(chan outcome, 1)
	ran := s.runInLoop(ctx, func(now job.Time) {
		if !s.node.confirmed(now) || s.releasing.Load() {
			reply <- outcome{err: errNotOwner}
			return
		}
		p := s.pool(c.Pool, now)
		if s.isForeign(p, c) {
			reply <- outcome{err: errForeignJob}
			return
		}
		if !p.Knows(c.ID) {
			if pool, err := s.locate(c); pool != "" || err != nil {
				reply <- outcome{movedTo: pool, err: err}
				return
			}
		}
		o := f(p, now)
		switch {
		case o.err == nil && o.answer == job.Pending:
			s.waiters[c.ID] = append(s.waiters[c.ID], waiter{reply: reply, untilEnded: untilEnded})
		case o.err == nil && o.answer == job.Unknown && s.storeUnavailable(now):
			reply <- s.storeDownOutcome(now)
		case o.err == nil && o.answer == job.Unknown:
			s.verifyOwner(func() { reply <- o })
		default:
			reply <- o
		}
	})
	if !ran && len(reply) == 0 {
		return outcome{err: errUncertain}
	}
	select {
	case o := <-reply:
		return o
	case <-ctx.Done():
	case <-s.done:
	}
	return outcome{err: errUncertain}
}

// ownerCheckKey is the key of the record that verifyOwner stores. The record has no value, so the store keeps nothing of it.
const ownerCheckKey = "owner-check"

// verifyOwner calls verified after the store has accepted an append of this owner that began later than now. A node that has
// been replaced does not know it until its next join, and does not know the jobs that its successor has accepted, so it must
// not say that a job does not exist. If the node has been replaced, the ownership ends and verified is not called.
func (s *shard) verifyOwner(verified func()) { s.store(job.Record{Key: ownerCheckKey}, verified) }

// jobState returns the state of a job.
func (s *shard) jobState(ctx context.Context, c call) reply {
	answers := make(chan reply, 1)
	if !s.runInLoop(ctx, func(now job.Time) { s.answerState(c, now, func(r reply) { answers <- r }) }) {
		return reply{Code: codeNotOwner}
	}
	select {
	case r := <-answers:
		return r
	case <-ctx.Done():
	case <-s.done:
	}
	return reply{Code: codeNotOwner}
}

// answerState answers a request for the state of a job, now or when the store has confirmed the ownership.
func (s *shard) answerState(c call, now job.Time, answer func(reply)) {
	if !s.node.confirmed(now) {
		answer(reply{Code: codeNotOwner})
		return
	}
	p := s.pool(c.Pool, now)
	if s.isForeign(p, c) {
		answer(reply{Code: codeForeign})
		return
	}
	if state, known := p.StateOf(c.ID); known {
		answer(reply{State: state})
		return
	}
	if !p.Knows(c.ID) {
		pool, err := s.locate(c)
		switch {
		case err != nil:
			answer(reply{Code: codeNotOwner})
			return
		case pool != "":
			answer(reply{Code: codeMoved, Pool: pool})
			return
		}
	}
	switch {
	case s.releasing.Load():
		answer(reply{Code: codeNotOwner})
	case s.storeUnavailable(now):
		answer(outcomeReply(s.storeDownOutcome(now)))
	default:
		s.verifyOwner(func() { answer(reply{Code: codeUnknown}) })
	}
}

// waiting returns the number of jobs in a queue that wait for their first task, and the earlier pools of the queue, which
// may have more.
func (s *shard) waiting(ctx context.Context, c call) reply {
	r := reply{Code: codeNotOwner}
	s.runInLoop(ctx, func(now job.Time) {
		if !s.node.confirmed(now) {
			return
		}
		r = reply{Waiting: s.pool(c.Pool, now).CountQueued(c.Queue)}
		if c.RedirectedBy == "" {
			r.Pools = s.earlierPools(c)
		}
	})
	return r
}

// evacuationTTL is how long an evacuation request of the fleet controller stays in force unless it is repeated.
const evacuationTTL = 3 * time.Second

// evacuateAndLoad applies what the fleet controller says about the workers of a pool and returns the load of the pool.
func (s *shard) evacuateAndLoad(ctx context.Context, c call) (load *fleet.Load, err error) {
	err = errNotOwner
	s.runInLoop(ctx, func(now job.Time) {
		if !s.node.confirmed(now) {
			return
		}
		p := s.pool(c.Pool, now)
		p.Evacuate(c.Evacuate)
		p.WorkersRemoved(c.Removed, now)
		s.evacuationExpiry[c.Pool] = now.Steady + evacuationTTL
		l := p.Load(now)
		load, err = &l, nil
	})
	return load, err
}

// endEvacuations ends evacuations that the fleet controller has not repeated within evacuationTTL.
func (s *shard) endEvacuations(now job.Time) {
	for pool, until := range s.evacuationExpiry {
		if now.Steady > until {
			s.pools[pool].Evacuate(nil)
			delete(s.evacuationExpiry, pool)
		}
	}
}
