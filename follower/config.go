package follower

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/berylwharf/berylwharf/resource"
	"github.com/berylwharf/berylwharf/vmapi"
)

// Log is the log service. *logclient.Client implements it.
type Log interface {
	Append(ctx context.Context, stream string, records [][]byte) (vmapi.AppendResponse, error)
	Read(ctx context.Context, stream string, from uint64, maxRecords int, wait time.Duration) (vmapi.ReadResponse, error)
}

// PeerSource asks other nodes for what the log service cannot deliver.
type PeerSource interface {
	// Fetch returns the records from an offset on as some peer knows them, or that peer's full state when the peer no
	// longer has the records. A peer that has nothing newer returns an answer without records and state.
	Fetch(ctx context.Context, from uint64) (PeerAnswer, error)
}

// PeerAnswer is what a peer knows. Its server side is Follower.RecordsFrom and Follower.FullState.
type PeerAnswer struct {
	Records []vmapi.LogRecord // contiguous from the requested offset
	State   []byte            // an encoded state, used when Records is empty
	// Next and Hash are the peer's next offset and the hash of its state there. Records may end earlier.
	Next uint64
	Hash [32]byte
}

// Defaults and bounds.
const (
	// DefaultRetention is how long the log service keeps records when the settings do not say.
	DefaultRetention = 24 * time.Hour
	// DefaultPollWait is the wait of a long poll. A read on a connection that went silent ends after DefaultPollWait +
	// DefaultReadTimeout = 3.5 s and is repeated on a new one, which keeps within the 5 s in which a change is in force.
	DefaultPollWait = 2 * time.Second
	// DefaultReadTimeout bounds a read beyond its wait. It doubles with each failure in sequence, up to
	// maxTimeout, so that a slow log service is still read.
	DefaultReadTimeout = 1500 * time.Millisecond
	// DefaultAppendTimeout bounds the first attempt of an append; it doubles in the same way.
	DefaultAppendTimeout = 3 * time.Second
	// DefaultRetryMin and DefaultRetryMax bound the exponential delay between attempts.
	DefaultRetryMin = 100 * time.Millisecond
	DefaultRetryMax = 2 * time.Second
	// DefaultSnapshotRecords is the number of records after which a snapshot is due.
	DefaultSnapshotRecords = 1024
	// DefaultRankDelay is the delay between the nodes that may write the same snapshot.
	DefaultRankDelay = 2 * time.Second
	// DefaultSnapshotCheck is how often a node looks whether a snapshot is due.
	DefaultSnapshotCheck = time.Second

	maxTimeout = 30 * time.Second
	// configBatch and snapshotBatch bound the records of one read.
	configBatch   = 256
	snapshotBatch = 64
	// maxPending bounds the proposals in memory, each of at most 66 KiB.
	maxPending = 1024
	// maxAppends bounds concurrent appends, so that one silent connection does not hold up all proposals.
	maxAppends = 4
	// maxBatchBytes bounds the encoded records of one append, well below the log service's 1 MiB.
	maxBatchBytes = 768 << 10
	peerTimeout   = 5 * time.Second
)

// Config configures a Follower. Zero durations and counts get the defaults.
type Config struct {
	Node  string     // node name, the writer of snapshots
	Log   Log        // required
	Peers PeerSource // may be nil
	// Retention is how long the log service keeps records.
	Retention time.Duration
	Logger    *logrus.Logger // default: the standard logger

	PollWait        time.Duration
	ReadTimeout     time.Duration
	AppendTimeout   time.Duration
	RetryMin        time.Duration
	RetryMax        time.Duration
	SnapshotRecords uint64
	RankDelay       time.Duration
	SnapshotCheck   time.Duration
}

func (c *Config) setDefaults() error {
	if c.Log == nil {
		return errors.New("follower: no log client is configured")
	}
	if err := (resource.Key{Kind: resource.KindVM, Name: c.Node}).Validate(); err != nil {
		return errors.Wrap(err, "follower: node name") // it must pass as the writer of snapshots
	}
	if c.Logger == nil {
		c.Logger = logrus.StandardLogger()
	}
	for _, d := range []struct {
		value *time.Duration
		def   time.Duration
	}{
		{&c.Retention, DefaultRetention}, {&c.PollWait, DefaultPollWait}, {&c.ReadTimeout, DefaultReadTimeout},
		{&c.AppendTimeout, DefaultAppendTimeout}, {&c.RetryMin, DefaultRetryMin}, {&c.RetryMax, DefaultRetryMax},
		{&c.RankDelay, DefaultRankDelay}, {&c.SnapshotCheck, DefaultSnapshotCheck},
	} {
		if *d.value <= 0 {
			*d.value = d.def
		}
	}
	if c.SnapshotRecords == 0 {
		c.SnapshotRecords = DefaultSnapshotRecords
	}
	return nil
}

// doubled returns d doubled n times, at most limit.
func doubled(d time.Duration, n int, limit time.Duration) time.Duration {
	for ; n > 0 && d < limit; n-- {
		d *= 2
	}
	return min(d, max(limit, 0))
}

// sleep waits for d or until the context ends, and reports whether the whole time passed.
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
