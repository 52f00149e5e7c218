package follower

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/berylwharf/berylwharf/resource"
	"github.com/berylwharf/berylwharf/vmapi"
)

// Log is a client of the log service. *logclient.Client implements it.
type Log interface {
	Append(ctx context.Context, stream string, records [][]byte) (vmapi.AppendResponse, error)
	Read(ctx context.Context, stream string, from uint64, maxRecords int, wait time.Duration) (vmapi.ReadResponse, error)
}

// PeerSource fetches records or state from other nodes when the log service cannot deliver them.
type PeerSource interface {
	// Fetch returns the records of some peer from an offset on, or that peer's full state when it no longer has the
	// records. The answer of a peer that has nothing newer contains neither.
	Fetch(ctx context.Context, from uint64) (PeerResponse, error)
}

// PeerResponse is the response of a peer. The peer builds it from Follower.RecordsFrom and Follower.FullState.
type PeerResponse struct {
	Records []vmapi.LogRecord // contiguous from the requested offset
	State   []byte            // an encoded state, used when Records is empty
	// Next and Hash are the peer's next offset and the hash of its state at that offset. Records may end earlier.
	Next uint64
	Hash [32]byte
}

// Defaults and limits.
const (
	// DefaultRetention is how long the log service keeps records, unless the settings state another time.
	DefaultRetention = 24 * time.Hour
	// DefaultPollWait is the wait time of a long poll. A read on an unresponsive connection times out after
	// DefaultPollWait + DefaultReadTimeout = 3.5 s and is retried on a new connection. This leaves time to meet the
	// limit of 5 s within which a change must be in force.
	DefaultPollWait = 2 * time.Second
	// DefaultReadTimeout is the time that a read may take beyond its wait. It doubles with each consecutive failure, up
	// to maxTimeout, so that a slow log service can still be read.
	DefaultReadTimeout = 1500 * time.Millisecond
	// DefaultAppendTimeout is the timeout of the first attempt of an append. It doubles with each failed attempt, up to
	// maxTimeout.
	DefaultAppendTimeout = 3 * time.Second
	// DefaultMinRetryDelay and DefaultMaxRetryDelay bound the exponential backoff between attempts.
	DefaultMinRetryDelay = 100 * time.Millisecond
	DefaultMaxRetryDelay = 2 * time.Second
	// DefaultRecordsPerSnapshot is the number of records after which a snapshot is due.
	DefaultRecordsPerSnapshot = 1024
	// DefaultRankDelay is the time that each node waits for the node ranked before it to write a snapshot.
	DefaultRankDelay = 2 * time.Second
	// DefaultSnapshotCheckInterval is the interval at which a node checks whether a snapshot is due.
	DefaultSnapshotCheckInterval = time.Second

	maxTimeout = 30 * time.Second
	// configBatchRecords and snapshotBatchRecords bound the number of records of one read.
	configBatchRecords   = 256
	snapshotBatchRecords = 64
	// maxPendingProposals bounds the memory for proposals, each of which has at most 66 KiB.
	maxPendingProposals = 1024
	// maxConcurrentAppends is the number of appends that may be in flight. It is more than one, so that an unresponsive
	// connection does not block all proposals.
	maxConcurrentAppends = 4
	// maxBatchBytes bounds the encoded records of one append. It is well below the log service's limit of 1 MiB.
	maxBatchBytes = 768 << 10
	peerTimeout   = 5 * time.Second
)

// Config configures a Follower. Durations and counts of zero are replaced by the defaults.
type Config struct {
	Node  string     // name of this node, recorded as the writer of its snapshots
	Log   Log        // required
	Peers PeerSource // optional
	// Retention is how long the log service keeps records.
	Retention time.Duration
	Logger    *logrus.Logger // default: the standard logger

	PollWait              time.Duration
	ReadTimeout           time.Duration
	AppendTimeout         time.Duration
	MinRetryDelay         time.Duration
	MaxRetryDelay         time.Duration
	RecordsPerSnapshot    uint64 // number of records after which a snapshot is due
	RankDelay             time.Duration
	SnapshotCheckInterval time.Duration
}

func (c *Config) setDefaults() error {
	if c.Log == nil {
		return errors.New("follower: no log client is configured")
	}
	if err := (resource.Key{Kind: resource.KindVM, Name: c.Node}).Validate(); err != nil {
		return errors.Wrap(err, "follower: node name") // snapshot chunks with an invalid writer name are rejected
	}
	if c.Logger == nil {
		c.Logger = logrus.StandardLogger()
	}
	for _, d := range []struct {
		value *time.Duration
		def   time.Duration
	}{
		{&c.Retention, DefaultRetention}, {&c.PollWait, DefaultPollWait}, {&c.ReadTimeout, DefaultReadTimeout},
		{&c.AppendTimeout, DefaultAppendTimeout}, {&c.MinRetryDelay, DefaultMinRetryDelay}, {&c.MaxRetryDelay, DefaultMaxRetryDelay},
		{&c.RankDelay, DefaultRankDelay}, {&c.SnapshotCheckInterval, DefaultSnapshotCheckInterval},
	} {
		if *d.value <= 0 {
			*d.value = d.def
		}
	}
	if c.RecordsPerSnapshot == 0 {
		c.RecordsPerSnapshot = DefaultRecordsPerSnapshot
	}
	return nil
}

// backoff returns d doubled n times, but at most limit.
func backoff(d time.Duration, n int, limit time.Duration) time.Duration {
	for ; n > 0 && d < limit; n-- {
		d *= 2
	}
	return min(d, max(limit, 0))
}

// sleep waits until d has elapsed or the context ends, and reports whether d has elapsed.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
