package relay

import (
	"time"

	"github.com/berylwharf/berylwharf/job"
	"github.com/berylwharf/berylwharf/jobmanager"
)

// Types of the one-way peer messages between an owner and its relays.
const (
	typeCalls   = "worker.calls"
	typeResults = "worker.results"
)

// callKind is the operation that a call performs at the worker.
type callKind uint8

const (
	callStart callKind = iota + 1
	callStop
	callSetSpeed
	callRenewLease
)

// workerCall is one call to a worker.
type workerCall struct {
	ID           uint64   `cbor:"1,keyasint"` // unique within the owner's process
	Kind         callKind `cbor:"2,keyasint"`
	Worker       string   `cbor:"3,keyasint"`
	Addr         string   `cbor:"4,keyasint"`
	FencingToken int64    `cbor:"5,keyasint"`
	ValidUntilMs int64    `cbor:"6,keyasint"` // on the relay's clock; the relay must not begin the call later
	TimeoutMs    int64    `cbor:"7,keyasint"` // maximum duration of the call
	// ExpiresMs is the end of the lease on the worker's clock; 0 leaves the lease unchanged.
	ExpiresMs int64 `cbor:"8,keyasint,omitempty"`

	// The fields below are set for orders.
	Task         string `cbor:"9,keyasint,omitempty"`
	Run          int    `cbor:"10,keyasint,omitempty"`
	Payload      int    `cbor:"11,keyasint,omitempty"` // position in callBatch.Payloads, from 1; 0 if there is none
	Checkpoint   string `cbor:"12,keyasint,omitempty"`
	Ticket       string `cbor:"13,keyasint,omitempty"`
	SpeedPercent int    `cbor:"14,keyasint,omitempty"`

	// The fields below are set for the renewal of a lease.
	AckedUpTo int64 `cbor:"15,keyasint,omitempty"`
	WaitMs    int64 `cbor:"16,keyasint,omitempty"`
}

// callBatch is a batch of calls from an owner to a relay. A batch without calls asks for the relay's clock.
type callBatch struct {
	Owner uint64 `cbor:"1,keyasint"` // process of the owner
	// Relay is the process of the relay to whose clock the calls refer. Another process does not make the calls.
	Relay uint64 `cbor:"2,keyasint,omitempty"`
	// Payloads holds each payload once, because all tasks of a job share it.
	Payloads []string     `cbor:"3,keyasint,omitempty"`
	Calls    []workerCall `cbor:"4,keyasint,omitempty"`
}

// resultCode is the outcome of a call.
type resultCode uint8

const (
	codeAnswered resultCode = iota
	codeFenced
	codeIncarnationEnded
	codeNotMade // the relay did not make the call and never will
	codeFailed  // the worker may have received the call
)

// callResult is the outcome of one call.
type callResult struct {
	ID      uint64     `cbor:"1,keyasint"`
	Code    resultCode `cbor:"2,keyasint,omitempty"`
	Result  job.Result `cbor:"3,keyasint,omitempty"` // of an order
	Report  *report    `cbor:"4,keyasint,omitempty"` // of the renewal of a lease
	Message string     `cbor:"5,keyasint,omitempty"` // text of an error
}

// resultBatch is a batch of results from a relay to an owner. A batch without results shows that the relay is alive.
type resultBatch struct {
	Owner   uint64       `cbor:"1,keyasint"`
	Relay   uint64       `cbor:"2,keyasint"`
	ClockMs int64        `cbor:"3,keyasint"` // the relay's clock when the batch was sent
	Results []callResult `cbor:"4,keyasint,omitempty"`
}

// report is a worker's report.
type report struct {
	Incarnation int64         `cbor:"1,keyasint"`
	ClockMs     int64         `cbor:"2,keyasint"` // the worker's clock
	Running     []runningTask `cbor:"3,keyasint,omitempty"`
	Ended       []endedTask   `cbor:"4,keyasint,omitempty"`
	MoreEnds    bool          `cbor:"5,keyasint,omitempty"`
}

type runningTask struct {
	_          struct{} `cbor:",toarray"`
	Task       string
	Run        int
	Checkpoint string
	Progress   int
	Usage      int64
}

type endedTask struct {
	_          struct{} `cbor:",toarray"`
	Seq        int64
	Task       string
	Run        int
	Outcome    job.End
	Checkpoint string
}

// orderCall returns the call for an order, without its payload.
func orderCall(t jobmanager.Target, o job.Order, expiresMs int64) workerCall {
	c := workerCall{
		Kind: callStart, Worker: t.Worker, Addr: t.Addr, FencingToken: t.FencingToken, ExpiresMs: expiresMs,
		Task: o.Task.String(), Run: o.Run, Checkpoint: o.Checkpoint, Ticket: o.Ticket, SpeedPercent: o.SpeedPercent,
	}
	switch o.Kind {
	case job.OrderStart:
	case job.OrderStop:
		c.Kind = callStop
	case job.OrderSetSpeed:
		c.Kind = callSetSpeed
	}
	return c
}

func renewCall(t jobmanager.Target, r jobmanager.RenewLeaseRequest) workerCall {
	return workerCall{
		Kind: callRenewLease, Worker: t.Worker, Addr: t.Addr, FencingToken: t.FencingToken, ExpiresMs: r.ExpiresMs,
		AckedUpTo: r.AckedUpTo, WaitMs: r.Wait.Milliseconds(),
	}
}

func (c *workerCall) target() jobmanager.Target {
	return jobmanager.Target{Worker: c.Worker, Addr: c.Addr, FencingToken: c.FencingToken}
}

func (c *workerCall) renewal() jobmanager.RenewLeaseRequest {
	return jobmanager.RenewLeaseRequest{
		AckedUpTo: c.AckedUpTo, ExpiresMs: c.ExpiresMs, Wait: time.Duration(c.WaitMs) * time.Millisecond,
	}
}

// order returns the order of a call. The payloads are those of its batch.
func (c *workerCall) order(payloads []string) (job.Order, error) {
	task, err := job.ParseTaskID(c.Task)
	if err != nil {
		return job.Order{}, err
	}
	o := job.Order{
		Worker: c.Worker, Task: task, Run: c.Run, Checkpoint: c.Checkpoint, Ticket: c.Ticket, SpeedPercent: c.SpeedPercent,
	}
	switch c.Kind {
	case callStart:
		o.Kind = job.OrderStart
	case callStop:
		o.Kind = job.OrderStop
	case callSetSpeed:
		o.Kind = job.OrderSetSpeed
	case callRenewLease:
		return o, errNotOrder
	default:
		return o, errNotOrder
	}
	if c.Payload < 0 || c.Payload > len(payloads) {
		return o, errNoPayload
	}
	if c.Payload > 0 {
		o.Payload = payloads[c.Payload-1]
	}
	return o, nil
}

// newReport converts a worker's answer to the renewal of its lease.
func newReport(r *jobmanager.RenewLeaseReply) *report {
	out := &report{Incarnation: r.Report.Incarnation, ClockMs: r.ClockMs, MoreEnds: r.Report.MoreEnds}
	for _, t := range r.Report.Running {
		out.Running = append(out.Running, runningTask{
			Task: t.Task.String(), Run: t.Run, Checkpoint: t.Checkpoint, Progress: t.Progress, Usage: t.Usage,
		})
	}
	for _, e := range r.Report.Ended {
		out.Ended = append(out.Ended, endedTask{
			Seq: e.Seq, Task: e.Task.String(), Run: e.Run, Outcome: e.Outcome, Checkpoint: e.Checkpoint,
		})
	}
	return out
}

// reply converts a report back to the worker's answer.
func (r *report) reply(worker string) (*jobmanager.RenewLeaseReply, error) {
	rep := job.Report{Worker: worker, Incarnation: r.Incarnation, MoreEnds: r.MoreEnds}
	for _, t := range r.Running {
		id, err := job.ParseTaskID(t.Task)
		if err != nil {
			return nil, err
		}
		rep.Running = append(rep.Running, job.RunningTask{
			Task: id, Run: t.Run, Checkpoint: t.Checkpoint, Progress: t.Progress, Usage: t.Usage,
		})
	}
	for _, e := range r.Ended {
		id, err := job.ParseTaskID(e.Task)
		if err != nil {
			return nil, err
		}
		rep.Ended = append(rep.Ended, job.EndedTask{Seq: e.Seq, Task: id, Run: e.Run, Outcome: e.Outcome, Checkpoint: e.Checkpoint})
	}
	return &jobmanager.RenewLeaseReply{Report: rep, ClockMs: r.ClockMs}, nil
}
