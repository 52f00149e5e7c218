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
	// snapshotAppends is the number of attempts for one group of chunks. A repeated chunk does no harm.
	snapshotAppends = 3
	// snapshotRetry is the delay after a snapshot could not be written or checked.
	snapshotRetry = 10 * time.Second
)

// snapshotInfo is what a node knows of the newest snapshot in the log.
type snapshotInfo struct {
	checked bool      // the stream was read once
	offset  uint64    // next offset of the newest snapshot, 0 when there is none
	written time.Time // by its writer's clock, but not in the future
	head    uint64    // next offset of stream snapshots when last seen
}

// snapshotLoop writes a snapshot when one is due and it is this node's turn.
func (f *Follower) snapshotLoop(ctx context.Context) {
	select {
	case <-f.loaded:
	case <-ctx.Done():
		return
	}
	var due time.Time // since when a snapshot has been due
	for sleep(ctx, f.cfg.SnapshotCheck) {
		now := time.Now()
		if !f.snapshotDue(now) {
			due = time.Time{}
			continue
		}
		if due.IsZero() {
			due = now
		}
		if now.Sub(due) < f.rankDelay() {
			continue
		}
		if err := f.writeIfDue(ctx); err != nil && ctx.Err() == nil {
			f.cfg.Logger.Warnf("follower: snapshot was not written: %v", err)
			sleep(ctx, min(snapshotRetry, 10*f.cfg.SnapshotCheck))
		}
	}
}

// snapshotDue reports whether a snapshot is due as far as this node knows. An empty stream gets its first snapshot at
// once: otherwise nodes that restart more often than every quarter of the retention would never write one.
func (f *Follower) snapshotDue(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := f.state.Next()
	switch {
	case next == 1:
		return false
	case !f.snaps.checked || f.snaps.offset == 0:
		return true
	case next < f.snaps.offset:
		return false // another node is ahead
	case next-f.snaps.offset >= f.cfg.SnapshotRecords:
		return true
	}
	return now.Sub(f.snaps.written) >= f.cfg.Retention/4
}

// rankDelay is this node's place in the rendezvous order of all members times Config.RankDelay. The offset of the last
// snapshot enters the hash, so that the duty moves.
func (f *Follower) rankDelay() time.Duration {
	f.mu.Lock()
	offset, checked := f.snaps.offset, f.snaps.checked
	f.mu.Unlock()
	if !checked {
		return 0 // reading the stream costs little
	}
	return time.Duration(rank(f.View().Members, f.cfg.Node, offset)) * f.cfg.RankDelay
}

// rank counts the members with a greater rendezvous hash than the node, itself not counted. A node that is not a member
// comes after all members.
func rank(members []statelog.Member, node string, offset uint64) int {
	own, isMember, ahead := rendezvous(node, offset), false, 0
	for _, m := range members {
		if m.Node == node {
			isMember = true
		} else if rendezvous(m.Node, offset) > own {
			ahead++
		}
	}
	if !isMember {
		return len(members)
	}
	return ahead
}

func rendezvous(node string, offset uint64) uint64 {
	return xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(node), offset))
}

// writeIfDue looks at the stream first, because another node may have written the snapshot.
func (f *Follower) writeIfDue(ctx context.Context) error {
	f.mu.Lock()
	wasChecked := f.snaps.checked
	f.mu.Unlock()
	if err := f.checkSnapshots(ctx); err != nil {
		return err
	}
	// After the first look at the stream this node's rank is known and may be worth a wait.
	if !wasChecked || !f.snapshotDue(time.Now()) {
		return nil
	}
	return f.writeSnapshot(ctx)
}

// checkSnapshots reads the last chunk of the stream. The last chunk of a snapshot stands for the whole, since a writer
// appends the chunks in order.
func (f *Follower) checkSnapshots(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, maxTimeout)
	defer cancel()
	f.mu.Lock()
	from := max(f.snaps.head, 2) - 1
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
		f.noteSnapshot(chunk, resp.Next)
		return nil
	}
}

func (f *Follower) noteSnapshot(c *statelog.Chunk, head uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.snaps.checked = true
	f.snaps.head = head
	if c == nil || c.Index+1 != c.Count || c.Offset < f.snaps.offset {
		return
	}
	f.snaps.offset = c.Offset
	f.snaps.written = time.UnixMilli(c.UnixMsec)
	if now := time.Now(); f.snaps.written.After(now) {
		f.snaps.written = now
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
	if next >= f.snaps.offset {
		f.snaps.offset, f.snaps.written = next, now
	}
	f.cfg.Logger.Infof("follower: wrote the snapshot at offset %d in %d chunks, %d bytes", next, count, len(state))
	return nil
}

func (f *Follower) appendChunks(ctx context.Context, chunks [][]byte) error {
	var err error
	for i := range snapshotAppends {
		if i > 0 && !sleep(ctx, doubled(f.cfg.RetryMin, i, f.cfg.RetryMax)) {
			return ctx.Err()
		}
		actx, cancel := context.WithTimeout(ctx, doubled(f.cfg.AppendTimeout, i+1, maxTimeout))
		_, err = f.cfg.Log.Append(actx, statelog.StreamSnapshots, chunks)
		cancel()
		if err == nil {
			return nil
		}
	}
	return err
}
