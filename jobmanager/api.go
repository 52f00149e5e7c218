package jobmanager

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/berylwharf/berylwharf/apikey"
	"github.com/berylwharf/berylwharf/fleet"
	"github.com/berylwharf/berylwharf/job"
)

// Errors returned by implementations of the platform interfaces. Any other error leaves open whether the call took
// effect.
var (
	// ErrFenced means that an owner with a later epoch exists.
	ErrFenced = errors.New("fenced by an owner with a later epoch")
	// ErrLogExtended means that the log of the shard was extended since it was read.
	ErrLogExtended = errors.New("the log was extended since it was read")
	// ErrNoEffect means that the call certainly had no effect.
	ErrNoEffect = errors.New("the call had no effect")
	// ErrIncarnationEnded means that the addressed incarnation of the worker has ended.
	ErrIncarnationEnded = errors.New("the addressed incarnation of the worker has ended")
)

// Store persists the records of the shards. Each shard has at most one writer: the owner with the greatest epoch.
type Store interface {
	// Load returns the newest record of each key, and the end of the shard's log at the time when the load began. It bounds itself by
	// the progress of its transfers, because they grow with the number of records.
	Load(ctx context.Context, shard int) (records []job.Record, end int64, err error)
	// End returns the end of the shard's log.
	End(ctx context.Context, shard int) (int64, error)
	// Claim makes epoch the lowest epoch that may write to a shard, and stores a record as append seq of that epoch. It
	// returns ErrLogExtended if the log no longer ends at end or if another claim has used the epoch. The store takes a
	// claim with the epoch and seq of a stored one for its repetition, so claimants must not share a seq.
	Claim(ctx context.Context, shard int, epoch, seq, end int64, record job.Record) error
	// Append stores records in order and atomically. Seq numbers the appends of an epoch; the first one follows that of
	// the claim. An append whose seq is already stored has no effect, so a call without an answer can be repeated.
	Append(ctx context.Context, shard int, epoch, seq int64, records []job.Record) error
}

// Group assigns the shards to the members that keep their membership alive.
type Group interface {
	// Join creates or extends a membership for ttl and returns the shards assigned to the member.
	Join(ctx context.Context, member string, ttl time.Duration, generation int64) (Membership, error)
	// Leave ends a membership and returns all of its shards to the group.
	Leave(ctx context.Context, member string) error
	// Owners returns the member that owns each shard.
	Owners(ctx context.Context) (map[int]string, error)
}

// Membership is the answer to Join.
type Membership struct {
	Generation int64 // increases with each change of the group
	Shards     []int
}

// WorkerEntry is a worker listed in the directory.
type WorkerEntry struct {
	Pool string
	Info job.WorkerInfo
}

// Directory lists the workers and their pools.
type Directory interface {
	// Poll returns the entries, and whether they have changed since the last call that succeeded. It bounds itself by the progress of
	// its transfers, because they grow with the number of workers.
	Poll(ctx context.Context) (entries []WorkerEntry, changed bool, err error)
}

// Route is a queue: it maps callers' requests to a pool.
type Route struct {
	Name            string
	Host            string
	PathPrefix      string
	Pool            string
	Timeout         time.Duration
	Priority        int
	Attempts        int
	ObjectiveFactor float64
	ObjectiveMargin time.Duration
	NeedsAdvice     bool
	// Public means that callers need no API key.
	Public bool
}

// Customer is a customer as configured.
type Customer struct {
	Name string
	// Keys holds the API keys with which the customer's calls are authenticated.
	Keys []apikey.Key
	// Limits are the share and the cap of the customer.
	Limits job.CustomerLimits
}

// PoolConfig is a pool as configured.
type PoolConfig struct {
	Name    string
	Standby bool // its machines are switched off until they move to another pool
}

// Config is a version of the operators' configuration.
type Config struct {
	Version      int64
	Routes       []Route
	Pools        []PoolConfig
	Customers    []Customer // empty if calls are not authenticated
	MaxBodyBytes int64      // maximum size of a request body; 0 or less selects a default

	indexOnce sync.Once
	built     *configIndex // use index
}

// OperatorChange is what operators have declared since the previous change.
type OperatorChange struct {
	Config *Config // nil if unchanged
	Waves  []fleet.Wave
	// Complete means that the read that gave the change reached the end of the operators' records. ReadAt is the steady time at
	// which it began.
	Complete bool
	ReadAt   time.Duration
	// ResponseAt is the steady time at which the response that gave the change began to arrive, ReceivedAt that at which it had
	// arrived.
	ResponseAt, ReceivedAt time.Duration
	// Interrupted is the error because of which the transfer ended before all of the response had arrived; nil if it had.
	Interrupted error
	// Malformed holds an error for each declaration that could not be decoded.
	Malformed []error
}

// OperatorSource delivers the operators' declarations.
type OperatorSource interface {
	// Next blocks until a change arrives. It returns an empty change if none arrives for some time.
	Next(ctx context.Context) (*OperatorChange, error)
	// ReadNow reads to the end of the operators' records without waiting for a change. It begins after the last change that the
	// caller of Next has applied, which a further call of Next shows. It returns a complete change without the waves, or an error.
	// It may be called concurrently with Next.
	ReadNow(ctx context.Context) (*OperatorChange, error)
	// Pending returns how many records the store is known to hold that the caller of Next has not applied, and the steady time before
	// which none of them was there. It may be called concurrently with Next.
	Pending() (records int64, since time.Duration)
}

// Machines lists and changes the platform's machines.
type Machines interface {
	// List returns all machines. It bounds itself by the progress of its transfers, because they grow with the number of machines.
	List(ctx context.Context) ([]fleet.Machine, error)
	// Order sends an order to change a machine. Holder and token identify the controller; the platform treats a greater
	// token as that of a later controller.
	Order(ctx context.Context, holder string, token int64, o fleet.Order) (fleet.Result, error)
	// PublishWave publishes the state of a wave to operators.
	PublishWave(ctx context.Context, number int64, completed bool) error
}

// Target addresses one incarnation of a worker.
type Target struct {
	Worker       string
	Addr         string
	FencingToken int64 // the epoch of the owner
	// Relay is the node that makes the call to the worker. It is empty if this node makes it.
	Relay string
}

// RenewLeaseRequest extends the lease of the runs on a worker and asks the worker for a report.
type RenewLeaseRequest struct {
	// AckedUpTo is the number up to which the worker may discard run ends; 0 acknowledges none. The worker is told so in a
	// message that does not wait.
	AckedUpTo int64
	ExpiresMs int64 // new lease expiry on the worker's clock; 0 leaves the lease unchanged
	Wait      time.Duration
}

// RenewLeaseReply is a worker's report together with its clock reading.
type RenewLeaseReply struct {
	Report  job.Report
	ClockMs int64
}

// Workers communicates with the workers.
type Workers interface {
	// RenewLease extends the lease of all runs on a worker and returns the worker's report.
	RenewLease(ctx context.Context, t Target, r RenewLeaseRequest) (*RenewLeaseReply, error)
	// Send sends an order to a worker. The error is nil, ErrFenced or ErrIncarnationEnded; any other outcome is
	// expressed by the result.
	Send(ctx context.Context, t Target, o job.Order, expiresMs int64) (job.Result, error)
}

// Advisor decides which workers may run a step.
type Advisor interface {
	// Advise returns tickets for those of the given workers that may run the step, and the validity period of the
	// tickets.
	Advise(ctx context.Context, r job.AdviceRequest) (tickets []job.Ticket, valid time.Duration, err error)
}

// Clock reads the steady clock and the wall clock.
type Clock interface {
	Now() job.Time
}
