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
		if s.stale(now) {
			return s.storeDown(now)
		}
		answer, retry := p.Submit(spec, now)
		return outcome{answer: answer, retry: retry}
	})
}

// cancelJob ends a job and waits until that is stored.
func (s *shard) cancelJob(ctx context.Context, pool, id string) outcome {
	return s.request(ctx, pool, id, true, func(p *job.Pool, now job.Time) outcome {
		return outcome{answer: p.Cancel(id, now)}
	})
}

// request runs f on the shard's goroutine and waits for the next commit if f's answer is pending.
func (s *shard) request(
	ctx context.Context, pool, id string, ended bool, f func(*job.Pool, job.Time) outcome,
) outcome {
	reply := make(chan outcome, 1)
	ran := s.call(ctx, func(now job.Time) {
		if !s.node.confirmed(now) || s.releasing.Load() {
			reply <- outcome{err: errNotOwner}
			return
		}
		o := f(s.pool(pool, now), now)
		if o.answer == job.Pending && o.err == nil {
			s.waiters[id] = append(s.waiters[id], waiter{reply: reply, ended: ended})
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

// stateOf returns the state of a job.
func (s *shard) stateOf(ctx context.Context, pool, id string) (state job.State, known bool, err error) {
	err = errNotOwner
	s.call(ctx, func(now job.Time) {
		if !s.node.confirmed(now) {
			return
		}
		state, known = s.pool(pool, now).StateOf(id)
		err = nil
	})
	return state, known, err
}

// waiting returns how many jobs of a queue wait.
func (s *shard) waiting(ctx context.Context, pool, queue string) (n int, err error) {
	err = errNotOwner
	s.call(ctx, func(now job.Time) {
		if !s.node.confirmed(now) {
			return
		}
		n = s.pool(pool, now).Waiting(queue)
		err = nil
	})
	return n, err
}

// evacuationTTL is how long a request of the fleet controller to evacuate workers stays in force without being repeated.
const evacuationTTL = 3 * time.Second

// load evacuates workers of a pool and returns its load.
func (s *shard) load(ctx context.Context, pool string, evacuate []string) (load *fleet.Load, err error) {
	err = errNotOwner
	s.call(ctx, func(now job.Time) {
		if !s.node.confirmed(now) {
			return
		}
		p := s.pool(pool, now)
		p.Evacuate(evacuate)
		s.evacuated[pool] = now.Steady + evacuationTTL
		l := p.Load(now)
		load, err = &l, nil
	})
	return load, err
}

// endEvacuations ends the evacuations that the fleet controller did not repeat.
func (s *shard) endEvacuations(now job.Time) {
	for pool, until := range s.evacuated {
		if now.Steady > until {
			s.pools[pool].Evacuate(nil)
			delete(s.evacuated, pool)
		}
	}
}
