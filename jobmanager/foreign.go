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

// foreignOwner reports whether a call is about a job that its customer may not use, and returns the customer and the queue of the
// job. A job of a public route has no customer: calls without a customer and calls of the queue to which it was submitted may use
// it.
func foreignOwner(p *job.Pool, c call) (owner, queue string, foreign bool) {
	if c.Customer == nil {
		return "", "", false
	}
	owner, queue, known := p.CustomerOf(c.ID)
	foreign = known && owner != *c.Customer && (owner != "" || queue != c.Queue)
	return owner, queue, foreign
}

// isForeign reports whether a call is about a job that its customer may not use, and logs that.
func (s *shard) isForeign(p *job.Pool, c call) bool {
	owner, queue, foreign := foreignOwner(p, c)
	if !foreign {
		return false
	}
	s.node.metrics.countKey("foreign job")
	s.node.log.Event(LogEvent{
		Component: "keys", Event: "job of another customer", Job: c.ID, Queue: c.Queue, Customer: *c.Customer, Pool: c.Pool,
		Epoch: c.Version, Reason: "belongs to " + owner + ", queue " + queue,
	})
	return true
}
