package follower

import (
	"context"

	"github.com/pkg/errors"

	"github.com/berylwharf/berylwharf/logclient"
	"github.com/berylwharf/berylwharf/statelog"
	"github.com/berylwharf/berylwharf/vmapi"
)

// initialSnapshotWindow is the number of records at the end of stream snapshots that are read first. At the size that
// the system is designed for, a snapshot has about 30 chunks.
const initialSnapshotWindow = 64

// loadSnapshot replaces the state with the newest complete snapshot if that is newer. It first reads the end of the
// stream, and then four times as many records in each round, until it finds a complete snapshot or has read the whole
// stream.
func (f *Follower) loadSnapshot(ctx context.Context) error {
	oldest, next, err := f.streamBounds(ctx, statelog.StreamSnapshots)
	if err != nil {
		return err
	}
	for window := uint64(initialSnapshotWindow); next > oldest; window *= 4 {
		from := oldest
		if next-oldest > window {
			from = next - window
		}
		s, err := f.readNewestSnapshot(ctx, from, next)
		if err != nil {
			return err
		}
		if s != nil {
			f.applySnapshot(s)
			return nil
		}
		if from == oldest {
			return nil
		}
	}
	return nil
}

// streamBounds returns the oldest and the next offset of a stream.
func (f *Follower) streamBounds(ctx context.Context, stream string) (oldest, next uint64, err error) {
	ctx, cancel := context.WithTimeout(ctx, 2*f.cfg.ReadTimeout)
	defer cancel()
	resp, err := f.cfg.Log.Read(ctx, stream, 1, 1, 0)
	var gone *logclient.GoneError
	if errors.As(err, &gone) {
		return gone.Oldest, gone.Next, nil
	}
	return resp.Oldest, resp.Next, err
}

// readNewestSnapshot returns the newest complete snapshot in a range of offsets, or nil when there is none.
func (f *Follower) readNewestSnapshot(ctx context.Context, from, next uint64) (*statelog.State, error) {
	var a statelog.Assembler
	for from < next {
		rctx, cancel := context.WithTimeout(ctx, maxTimeout)
		resp, err := f.cfg.Log.Read(rctx, statelog.StreamSnapshots, from, snapshotBatchRecords, 0)
		cancel()
		var gone *logclient.GoneError
		if errors.As(err, &gone) && gone.Oldest > from {
			from = gone.Oldest // records were trimmed in the meantime
			continue
		}
		if err != nil {
			return nil, err
		}
		if len(resp.Records) == 0 {
			break
		}
		for _, r := range resp.Records {
			if err := a.Add(r.Data); err != nil {
				f.cfg.Logger.Warnf("follower: snapshot chunk at offset %d is not usable: %v", r.Offset, err)
			}
		}
		from += uint64(len(resp.Records))
	}
	return a.Newest(), nil
}

func (f *Follower) applySnapshot(s *statelog.State) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.replaceLocked(s) {
		f.cfg.Logger.Infof("follower: loaded snapshot at offset %d", s.Next())
	}
}

// fetchFromPeer fetches records or a state from a peer and applies them. It does nothing when no peers are configured or
// none answers.
func (f *Follower) fetchFromPeer(ctx context.Context) {
	if f.cfg.Peers == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	from := f.next()
	ans, err := f.cfg.Peers.Fetch(ctx, from)
	if err != nil {
		f.cfg.Logger.Debugf("follower: fetching from peers failed: %v", err)
		return
	}
	if err := f.applyPeerResponse(from, &ans); err != nil {
		f.cfg.Logger.Errorf("follower: applying the answer of a peer failed: %v", err)
	}
}

func (f *Follower) applyPeerResponse(from uint64, ans *PeerResponse) error {
	if len(ans.Records) > 0 {
		return f.applyPeerRecords(ans)
	}
	if len(ans.State) > 0 {
		s, err := statelog.Restore(ans.State)
		if err != nil {
			return err
		}
		if s.Next() != ans.Next || s.Hash() != ans.Hash {
			return errors.New("state does not match the offset and hash that the peer reported")
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.replaceLocked(s) {
			f.cfg.Logger.Infof("follower: loaded state from a peer, next offset %d", s.Next())
		}
		f.setLoadedLocked()
		return nil
	}
	if ans.Next > from {
		return errors.New("peer is ahead but sent neither records nor a state")
	}
	return nil
}

// applyPeerRecords first applies the records to a copy of the state, and to the state only if that succeeds. If the copy
// is then at the peer's offset, its hash must be equal to the peer's.
func (f *Follower) applyPeerRecords(ans *PeerResponse) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	candidate := f.state.Clone()
	for _, r := range ans.Records {
		if r.Offset < candidate.Next() {
			continue
		}
		if candidate.Apply(r.Offset, r.Data).Status == 0 {
			return errors.Errorf("got the record at offset %d, want offset %d", r.Offset, candidate.Next())
		}
	}
	if candidate.Next() == ans.Next && candidate.Hash() != ans.Hash {
		return errors.Errorf("state hash at offset %d differs from that of the peer", ans.Next)
	}
	before := f.state.Next()
	f.applyLocked(ans.Records)
	if f.state.Next() >= ans.Next {
		f.setLoadedLocked()
	}
	if n := f.state.Next() - before; n > 0 {
		f.cfg.Logger.Infof("follower: applied %d records from a peer, next offset %d", n, f.state.Next())
	}
	return nil
}

// history holds the most recent raw records, which are served to peers.
type history struct {
	records []vmapi.LogRecord // contiguous offsets
	bytes   int
}

const (
	// historyRecords and historyBytes bound the number and total size of the raw records that a node keeps.
	historyRecords = 4096
	historyBytes   = 16 << 20
)

func (h *history) add(r vmapi.LogRecord) {
	h.records = append(h.records, r)
	h.bytes += len(r.Data)
	drop := 0
	for len(h.records)-drop > historyRecords || h.bytes > historyBytes {
		h.bytes -= len(h.records[drop].Data)
		h.records[drop].Data = nil
		drop++
	}
	h.records = h.records[drop:]
}

// RecordsFrom returns the records from an offset up to the last applied one, which are none when the offset is the next
// to apply. It reports false when the records are no longer kept or have not been applied yet; the peer must then use
// FullState or ask another node. Callers must not modify the data.
func (f *Follower) RecordsFrom(offset uint64) ([]vmapi.LogRecord, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := f.state.Next()
	if offset == next {
		return nil, true
	}
	h := f.history.records
	if offset > next || len(h) == 0 || offset < h[0].Offset {
		return nil, false
	}
	return append([]vmapi.LogRecord(nil), h[offset-h[0].Offset:]...), true
}

// FullState returns the encoded state, its next offset and its hash.
func (f *Follower) FullState() (data []byte, next uint64, hash [32]byte, err error) {
	f.mu.Lock()
	s := f.state.Clone()
	f.mu.Unlock()
	data, err = s.Encode()
	return data, s.Next(), s.Hash(), err
}
