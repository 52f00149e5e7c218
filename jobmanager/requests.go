package jobmanager

import (
	"context"
	"time"

	"github.com/berylwharf/berylwharf/fleet"
	"github.com/berylwharf/berylwharf/job"
)

// submit adds a job and waits until it is stored.
func (s *shard) submit(ctx context.Context, spec *job.Spec) outcome {
	return s.request(ctx, spec.Pool, spec.ID, false, func(p *job.Pool, now job.Time) outcome {
		if s.storeUnavailable(now) {
			return s.storeDownOutcome(now)
		}
		answer, retry := p.Submit(spec, now)
		return outcome{answer: answer, retry: retry}
	})
}

// cancelJob cancels a job and waits until its end is stored.
func (s *shard) cancelJob(ctx context.Context, pool, id string) outcome {
	return s.request(ctx, pool, id, true, func(p *job.Pool, now job.Time) outcome {
		return outcome{answer: p.Cancel(id, now)}
	})
}

// request runs f on the shard's goroutine. If f's answer is pending, it waits for the commit that settles the answer;
// with untilEnded, for one that contains the end of the job.
func (s *shard) request(
	ctx context.Context, pool, id string, untilEnded bool, f func(*job.Pool, job.Time) outcome,
) outcome {
	reply := make(chan outcome, 1)
	ran := s.runInLoop(ctx, func(now job.Time) {
		if !s.node.confirmed(now) || s.releasing.Load() {
			reply <- outcome{err: errNotOwner}
			return
		}
		o := f(s.pool(pool, now), now)
		if o.answer == job.Pending && o.err == nil {
			s.waiters[id] = append(s.waiters[id], waiter{reply: reply, untilEnded: untilEnded})
			return
		}
		reply <- o
	})
	if !ran && len(reply) == 0 {
		return outcome{err: errUncertain}
	}
	select {
	case o := <-reply:
		return o
	case <-ctx.Done():
		return outcome{err: errUncertain}
	}
}

func (s *shard) jobState(ctx context.Context, pool, id string) (state job.State, known bool, err error) {
	err = errNotOwner
	s.runInLoop(ctx, func(now job.Time) {
		if !s.node.confirmed(now) {
			return
		}
		state, known = s.pool(pool, now).StateOf(id)
		err = nil
	})
	return state, known, err
}

// waiting returns the number of jobs in a queue that wait for their first task.
func (s *shard) waiting(ctx context.Context, pool, queue string) (n int, err error) {
	err = errNotOwner
	s.runInLoop(ctx, func(now job.Time) {
		if !s.node.confirmed(now) {
			return
		}
		n = s.pool(pool, now).CountQueued(queue)
		err = nil
	})
	return n, err
}

// evacuationTTL is how long an evacuation request of the fleet controller stays in force unless it is repeated.
const evacuationTTL = 3 * time.Second

// evacuateAndLoad sets the workers of a pool to evacuate and returns the load of the pool.
func (s *shard) evacuateAndLoad(ctx context.Context, pool string, evacuate []string) (load *fleet.Load, err error) {
	err = errNotOwner
	s.runInLoop(ctx, func(now job.Time) {
		if !s.node.confirmed(now) {
			return
		}
		p := s.pool(pool, now)
		p.Evacuate(evacuate)
		s.evacuationExpiry[pool] = now.Steady + evacuationTTL
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
