package jobmanager

import (
	"net/http"

	"github.com/pkg/errors"

	"github.com/berylwharf/berylwharf/job"
	"github.com/berylwharf/berylwharf/verdict"
)

// errForeignJob means that the job of a request belongs to another customer. The request had no effect.
var errForeignJob = errors.New("the job belongs to another customer")

// foreignJobError returns the refusal of a call about a job of another customer.
func foreignJobError() error {
	return verdict.New(verdict.NotRun, verdict.ReasonForeignJob, http.StatusForbidden, "the job belongs to another customer")
}

// isForeign reports whether a call is about a job that its customer may not use, and logs that. Jobs of public routes belong
// to nobody: calls of public routes and calls of the queue to which they were submitted may use them.
func (s *shard) isForeign(p *job.Pool, c call) bool {
	if c.Customer == nil {
		return false
	}
	owner, queue, known := p.CustomerOf(c.ID)
	switch {
	case !known || owner == *c.Customer:
		return false
	case owner == "" && queue == c.Queue:
		return false
	}
	s.node.metrics.countKey("foreign job")
	s.node.log.Event(LogEvent{
		Component: "keys", Event: "job of another customer", Job: c.ID, Queue: c.Queue, Customer: *c.Customer, Pool: c.Pool,
		Epoch: c.Version, Reason: "belongs to " + owner + ", queue " + queue,
	})
	return true
}
