package jobmanager

import (
	"context"
	"time"

	"github.com/berylwharf/berylwharf/job"
	"github.com/berylwharf/berylwharf/verdict"
)

const (
	// explainTimeout bounds the explanation by the owner, attempts at later owners included.
	explainTimeout = 2500 * time.Millisecond
	// explainPauseFactor limits the fraction of time that an owner spends on explanations, which delay its scheduling: after one
	// that took d, the next one begins at least explainPauseFactor times d later.
	explainPauseFactor = 10
)

// OwnerExplanation is the explanation by the owner of a pool of how it would answer a call.
type OwnerExplanation struct {
	Pool  string `cbor:"1,keyasint" json:"pool"`
	Shard int    `cbor:"2,keyasint,omitempty" json:"shard"`
	Owner string `cbor:"3,keyasint" json:"owner"` // node
	Epoch int64  `cbor:"4,keyasint,omitempty" json:"epoch"`
	// Code and RetryMs are those of the reply to a submission, or to a request for the state of the job.
	Code    replyCode `cbor:"5,keyasint,omitempty" json:"-"`
	RetryMs int64     `cbor:"6,keyasint,omitempty" json:"-"`
	// Job describes the pool's part. It is empty if the owner answers without the pool.
	Job job.Explanation `cbor:"7,keyasint" json:"job"`
}

// Refusal is a refusal that a caller would get.
type Refusal struct {
	Status       int             `json:"status"`
	Verdict      verdict.Verdict `json:"verdict"`
	Reason       verdict.Reason  `json:"reason"`
	Message      string          `json:"message"`
	RetryAfterMs int64           `json:"retryAfterMs,omitempty"`
}

// RefusalOf returns the refusal for an error. It returns nil for no error.
func RefusalOf(err error) *Refusal {
	if err == nil {
		return nil
	}
	e := verdict.From(err)
	return &Refusal{Status: e.Status, Verdict: e.Verdict, Reason: e.Reason, Message: e.Message, RetryAfterMs: e.RetryAfter.Milliseconds()}
}

// ExplainRequest asks where a call would go. No key is given: the call is explained as if it had one of the customer.
type ExplainRequest struct {
	Host     string `json:"host"`
	Path     string `json:"path"`
	Customer string `json:"customer,omitempty"`
	// Job is the body of a submission as a caller would send it; nil for another call.
	Job *string `json:"job,omitempty"`
}

// CallExplanation says where a call would go and what it would be answered.
type CallExplanation struct {
	Route   string `json:"route,omitempty"`
	Queue   string `json:"queue,omitempty"` // host and path prefix
	Job     string `json:"job,omitempty"`   // identifier
	Public  bool   `json:"public,omitempty"`
	Version int64  `json:"version"` // of the configuration
	// AgeMs is the age of what the node knows of the operators' records, in milliseconds; -1 if it never read all of them.
	AgeMs int64 `json:"ageMs"`
	// Pool, Shard and KnownOwner are those that the asked node knows; KnownOwner is a node, or empty.
	Pool       string `json:"pool,omitempty"`
	Shard      int    `json:"shard"`
	KnownOwner string `json:"knownOwner,omitempty"`
	Customer   string `json:"customer,omitempty"`
	// Owner is nil if no owner answered, or none was asked.
	Owner *OwnerExplanation `json:"owner,omitempty"`
	// Refusal is nil for a call that would be accepted.
	Refusal *Refusal `json:"refusal,omitempty"`
}

// Explain completes an explanation by asking the owner of the pool where a call would go. Spec is the job, or nil for a call
// that submits none. The error is the *verdict.Error that a caller would get. Nothing is submitted, stored or ordered.
func (n *Node) Explain(ctx context.Context, q QueueRef, id string, spec *job.Spec, out *CallExplanation) error {
	out.Pool, out.Shard = q.Pool, n.shardOf(q.Pool)
	n.mu.Lock()
	member := n.owners[out.Shard]
	n.mu.Unlock()
	if node, _, err := splitMember(member); err == nil {
		out.KnownOwner = node
	}
	c := queueCall(q, id)
	if c.Spec = spec; spec != nil {
		if err := n.checkNewJob(spec); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, explainTimeout)
	defer cancel()
	r, err := n.forward(ctx, typeExplain, c)
	if err != nil || r.Explained == nil {
		return err
	}
	out.Owner = r.Explained
	return ownerRefusal(r.Explained)
}

// ownerRefusal returns the error that a caller would get for the code in an explanation.
func ownerRefusal(e *OwnerExplanation) error {
	switch e.Code {
	case codeForeign:
		return foreignJobError()
	case codeStoreDown:
		return forwardError(false, time.Duration(e.RetryMs)*time.Millisecond)
	}
	return submissionError(reply{Code: e.Code, RetryMs: e.RetryMs})
}

// explain answers typeExplain as the owner of the pool, in the order in which a submission is decided.
func (s *shard) explain(ctx context.Context, c call) reply {
	r := reply{Code: codeNotOwner}
	s.runInLoop(ctx, func(now job.Time) {
		if !s.node.confirmed(now) || s.releasing.Load() || now.Steady < s.explainAgainAt {
			return
		}
		defer func() {
			end := s.node.clock.Now().Steady
			s.explainAgainAt = end + explainPauseFactor*(end-now.Steady)
		}()
		p := s.pools[c.Pool]
		if p == nil {
			return // the next step creates it
		}
		e := &OwnerExplanation{Pool: c.Pool, Shard: s.number, Owner: s.node.settings.Node, Epoch: s.epoch}
		if _, _, foreign := foreignOwner(p, c); foreign {
			e.Code = codeForeign
			r = reply{Explained: e}
			return
		}
		if !p.Knows(c.ID) {
			l := s.explainLocation(c)
			if l.pool != "" {
				r = reply{Code: codeMoved, Pool: l.pool}
				return
			}
			if l.unheld {
				return
			}
		}
		customer := ""
		if c.Customer != nil {
			customer = *c.Customer
		}
		e.Job = p.Explain(c.ID, customer, c.Spec, now)
		o := outcomeReply(outcome{answer: e.Job.Answer, retry: time.Duration(e.Job.RetryMs) * time.Millisecond})
		// An owner that can't reach the store neither accepts a job nor says that it does not know one.
		if s.storeUnavailable(now) && (c.Spec != nil || (c.ID != "" && !e.Job.Known)) {
			o = outcomeReply(s.storeDownOutcome(now))
		}
		e.Code, e.RetryMs = o.Code, o.RetryMs
		r = reply{Explained: e}
	})
	return r
}

// explainLocation returns the decision of locate without changing anything.
func (s *shard) explainLocation(c call) location {
	if c.Address == "" {
		return location{}
	}
	q := s.queues[queueKey{c.Pool, c.Address}]
	if q == nil {
		q = &heldQueue{}
	}
	return q.decideLocation(c)
}
