package jobmanager

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/berylwharf/berylwharf/fleet"
	"github.com/berylwharf/berylwharf/job"
)

// Errors of the platform interfaces. Other errors leave it open whether a call took effect.
var (
	// ErrFenced states that a later owner exists.
	ErrFenced = errors.New("a later owner has fenced this one")
	// ErrMoved states that a shard's log was extended since it was read.
	ErrMoved = errors.New("the log was extended")
	// ErrNoEffect states that the call did nothing.
	ErrNoEffect = errors.New("the call had no effect")
	// ErrLifeOver states that the worker's life that was addressed has ended.
	ErrLifeOver = errors.New("the worker's life is over")
)

// Store keeps the records of the shards. Each shard has at most one writer: the one with the greatest epoch.
type Store interface {
	// Load returns the newest record of each key, and the end of the shard's log when the load began.
	Load(ctx context.Context, shard int) (records []job.Record, end int64, err error)
	// Claim makes epoch the least epoch that may write to a shard, and stores a record as its append 0. It returns ErrMoved
	// when the log does not end at end any more, and ErrFenced when a later epoch is in force.
	Claim(ctx context.Context, shard int, epoch, end int64, record job.Record) error
	// Append stores records in order, all or none. Seq counts the appends of an epoch; the claim is 0. An append with a
	// seq that was already stored has no further effect, so that a call without an answer can be repeated.
	Append(ctx context.Context, shard int, epoch, seq int64, records []job.Record) error
}

// Group deals the shards to the members that stay in touch with the store.
type Group interface {
	// Join keeps a member in the group for ttl and returns its shards.
	Join(ctx context.Context, member string, ttl time.Duration, generation int64) (Membership, error)
	// Leave gives all shards of a member back.
	Leave(ctx context.Context, member string) error
	// Owners returns the member that owns each shard.
	Owners(ctx context.Context) (map[int]string, error)
}

// Membership is the answer to Join.
type Membership struct {
	Generation int64 // rises with each change of the group
	Shards     []int
}

// WorkerEntry is an entry of the directory.
type WorkerEntry struct {
	Pool string
	Info job.WorkerInfo
}

// Directory lists the workers.
type Directory interface {
	// Poll returns the entries, and whether they changed since the last call.
	Poll(ctx context.Context) (entries []WorkerEntry, changed bool, err error)
}

// Route is a queue: it maps requests of callers to a pool.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Pool       string
	Timeout    time.Duration
	Priority   int
	Attempts   int
	Slack      float64
	Grace      time.Duration
	Advised    bool
}

// PoolConfig is a pool as configured.
type PoolConfig struct {
	Name    string
	Standby bool // its machines are off until they move to another pool
}

// Config is a version of the operators' configuration.
type Config struct {
	Version      int64
	Routes       []Route
	Pools        []PoolConfig
	MaxBodyBytes int64 // of a request; 0 sets no bound
}

// OperatorChange is what operators declared since the last change.
type OperatorChange struct {
	Config *Config // nil if it did not change
	Waves  []fleet.Wave
	// Malformed holds what could not be decoded.
	Malformed []error
}

// OperatorSource delivers what operators declare.
type OperatorSource interface {
	// Next waits for a change. It returns an empty change after some time without one.
	Next(ctx context.Context) (*OperatorChange, error)
}

// Machines are the platform's machines.
type Machines interface {
	List(ctx context.Context) ([]fleet.Machine, error)
	// Order changes a machine. Holder and token name the controller; the platform sees a greater token as a later one.
	Order(ctx context.Context, holder string, token int64, o fleet.Order) (fleet.Result, error)
	// PublishWave tells operators the state of a wave.
	PublishWave(ctx context.Context, number int64, completed bool) error
}

// Target addresses an order to a life of a worker.
type Target struct {
	Worker string
	Addr   string
	Fence  int64
}

// HoldRequest asks a worker for a report.
type HoldRequest struct {
	SeenUpTo  int64 // ends up to this number may be forgotten
	ExpiresMs int64 // on the worker's clock; 0 does not extend its lease
	Wait      time.Duration
}

// HoldReply is a worker's report with its clock.
type HoldReply struct {
	Report  job.Report
	ClockMs int64
}

// Workers sends orders to workers.
type Workers interface {
	// Hold extends the lease of everything on a worker and returns its report.
	Hold(ctx context.Context, t Target, r HoldRequest) (*HoldReply, error)
	// Send carries out an order. The error is ErrFenced, ErrLifeOver or nil; everything else is in the result.
	Send(ctx context.Context, t Target, o job.Order, expiresMs int64) (job.Result, error)
}

// Advisor says which workers may run a step.
type Advisor interface {
	// Advise returns tickets for those of the workers that may run the step, and how long they are valid.
	Advise(ctx context.Context, r job.AdviceRequest) (tickets []job.Ticket, valid time.Duration, err error)
}

// Clock tells the time on two clocks.
type Clock interface {
	Now() job.Time
}
