package follower

import (
	"context"
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/berylwharf/berylwharf/logclient"
	"github.com/berylwharf/berylwharf/statelog"
)

const (
	// snapshotAppendAttempts is the number of attempts to append one group of chunks. Retries are safe, because readers
	// accept repeated chunks.
	snapshotAppendAttempts = 3
	// snapshotRetryDelay is the delay after an attempt to write a snapshot or to read the stream has failed.
	snapshotRetryDelay = 10 * time.Second
)

// snapshotInfo describes the newest snapshot in the log, as far as this node knows.
type snapshotInfo struct {
	checked bool      // the stream has been read at least once
	offset  uint64    // next offset of the state in the newest snapshot, 0 when there is none
	written time.Time // by the writer's clock, but not later than this node's clock
	head    uint64    // next offset of stream snapshots at the last read
}

// snapshotLoop writes a snapshot when one has been due for the node's rank delay and no other node has written it.
func (f *Follower) snapshotLoop(ctx context.Context) {
	select {
	case <-f.loaded:
	case <-ctx.Done():
		return
	}
	var dueSince time.Time // zero when no snapshot is due
	for sleep(ctx, f.cfg.SnapshotCheckInterval) {
		now := time.Now()
		if !f.snapshotDue(now) {
			dueSince = time.Time{}
			continue
		}
		if dueSince.IsZero() {
			dueSince = now
		}
		if now.Sub(dueSince) < f.rankDelay() {
			continue
		}
		if err := f.writeIfDue(ctx); err != nil && ctx.Err() == nil {
			f.cfg.Logger.Warnf("follower: writing a snapshot failed: %v", err)
			sleep(ctx, min(snapshotRetryDelay, 10*f.cfg.SnapshotCheckInterval))
		}
	}
}

// snapshotDue reports whether a snapshot is due, as far as this node knows. The first snapshot of an empty stream is due
// immediately: if it were due by time, nodes that restart more often than every quarter of the retention would never
// write one.
func (f *Follower) snapshotDue(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := f.state.Next()
	switch {
	case next == 1:
		return false
	case !f.snapshot.checked || f.snapshot.offset == 0:
		return true
	case next < f.snapshot.offset:
		return false // the snapshot is newer than this node's state
	case next-f.snapshot.offset >= f.cfg.RecordsPerSnapshot:
		return true
	}
	return now.Sub(f.snapshot.written) >= f.cfg.Retention/4
}

// rankDelay returns the rank of this node in the rendezvous hash order of all members, times Config.RankDelay. The hash
// includes the offset of the last snapshot, so that the writer rotates among the members.
func (f *Follower) rankDelay() time.Duration {
	f.mu.Lock()
	offset, checked := f.snapshot.offset, f.snapshot.checked
	f.mu.Unlock()
	if !checked {
		return 0 // the next step only reads the stream, which is cheap
	}
	return time.Duration(rank(f.View().Members, f.cfg.Node, offset)) * f.cfg.RankDelay
}

// rank returns the number of other members with a greater rendezvous hash than the node. A node that is not a member
// ranks after all members.
func rank(members []statelog.Member, node string, offset uint64) int {
	own, isMember, ahead := rendezvousHash(node, offset), false, 0
	for _, m := range members {
		if m.Node == node {
			isMember = true
		} else if rendezvousHash(m.Node, offset) > own {
			ahead++
		}
	}
	if !isMember {
		return len(members)
	}
	return ahead
}

func rendezvousHash(node string, offset uint64) uint64 {
	return xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(node), offset))
}

// writeIfDue writes a snapshot if it is still due. It reads the stream first, because another node may have written the
// snapshot already.
func (f *Follower) writeIfDue(ctx context.Context) error {
	f.mu.Lock()
	wasChecked := f.snapshot.checked
	f.mu.Unlock()
	if err := f.refreshSnapshotInfo(ctx); err != nil {
		return err
	}
	// The rank depends on the last snapshot, so it is known only after the first read. The loop then applies the rank
	// delay before it writes.
	if !wasChecked || !f.snapshotDue(time.Now()) {
		return nil
	}
	return f.writeSnapshot(ctx)
}

// refreshSnapshotInfo reads the last record of the stream. If it is the last chunk of a snapshot, the snapshot is taken
// to be complete, because a writer appends the chunks in order.
func (f *Follower) refreshSnapshotInfo(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, maxTimeout)
	defer cancel()
	f.mu.Lock()
	from := max(f.snapshot.head, 2) - 1
	f.mu.Unlock()
	for {
		resp, err := f.cfg.Log.Read(ctx, statelog.StreamSnapshots, from, 1, 0)
		var gone *logclient.GoneError
		if errors.As(err, &gone) {
			resp.Oldest, resp.Next = gone.Oldest, gone.Next
		} else if err != nil {
			return err
		}
		last := max(resp.Next, 2) - 1
		if last > from {
			from = last
			continue
		}
		var chunk *statelog.Chunk
		if len(resp.Records) > 0 {
			chunk, err = statelog.DecodeChunk(resp.Records[0].Data)
			if err != nil {
				f.cfg.Logger.Warnf("follower: snapshot chunk at offset %d is not usable: %v", from, err)
			}
		}
		f.updateSnapshotInfo(chunk, resp.Next)
		return nil
	}
}

func (f *Follower) updateSnapshotInfo(c *statelog.Chunk, head uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.snapshot.checked = true
	f.snapshot.head = head
	if c == nil || c.Index+1 != c.Count || c.Offset < f.snapshot.offset {
		return
	}
	f.snapshot.offset = c.Offset
	f.snapshot.written = time.UnixMilli(c.UnixMsec)
	if now := time.Now(); f.snapshot.written.After(now) {
		f.snapshot.written = now
	}
}

func (f *Follower) writeSnapshot(ctx context.Context) error {
	state, next, _, err := f.FullState()
	if err != nil {
		return err
	}
	now := time.Now()
	chunks, err := statelog.EncodeChunks(state, next, f.cfg.Node, now.UnixMilli())
	if err != nil {
		return err
	}
	count := len(chunks)
	for len(chunks) > 0 {
		n, size := 0, 0
		for n < len(chunks) && size+encodedSize(chunks[n]) <= maxBatchBytes {
			size += encodedSize(chunks[n])
			n++
		}
		if err := f.appendChunks(ctx, chunks[:n]); err != nil {
			return err
		}
		chunks = chunks[n:]
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if next >= f.snapshot.offset {
		f.snapshot.offset, f.snapshot.written = next, now
	}
	f.cfg.Logger.Infof("follower: wrote snapshot at offset %d in %d chunks, %d bytes", next, count, len(state))
	return nil
}

func (f *Follower) appendChunks(ctx context.Context, chunks [][]byte) error {
	var err error
	for i := range snapshotAppendAttempts {
		if i > 0 && !sleep(ctx, backoff(f.cfg.MinRetryDelay, i, f.cfg.MaxRetryDelay)) {
			return ctx.Err()
		}
		actx, cancel := context.WithTimeout(ctx, backoff(f.cfg.AppendTimeout, i+1, maxTimeout))
		_, err = f.cfg.Log.Append(actx, statelog.StreamSnapshots, chunks)
		cancel()
		if err == nil {
			return nil
		}
	}
	return err
}
