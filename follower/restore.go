package follower

import (
	"context"

	"github.com/pkg/errors"

	"github.com/berylwharf/berylwharf/logclient"
	"github.com/berylwharf/berylwharf/statelog"
	"github.com/berylwharf/berylwharf/vmapi"
)

// firstSnapshotWindow is the number of last records of stream snapshots that are read first. A snapshot at the design
// size has about 30 chunks.
const firstSnapshotWindow = 64

// loadSnapshot replaces the state by the newest complete snapshot when that is newer. It reads the end of the stream
// first, and four times as much each time until it finds a complete snapshot or has read all.
func (f *Follower) loadSnapshot(ctx context.Context) error {
	oldest, next, err := f.bounds(ctx, statelog.StreamSnapshots)
	if err != nil {
		return err
	}
	for window := uint64(firstSnapshotWindow); next > oldest; window *= 4 {
		from := oldest
		if next-oldest > window {
			from = next - window
		}
		s, err := f.assemble(ctx, from, next)
		if err != nil {
			return err
		}
		if s != nil {
			f.adoptSnapshot(s)
			return nil
		}
		if from == oldest {
			return nil
		}
	}
	return nil
}

// bounds returns the oldest and the next offset of a stream.
func (f *Follower) bounds(ctx context.Context, stream string) (oldest, next uint64, err error) {
	ctx, cancel := context.WithTimeout(ctx, 2*f.cfg.ReadTimeout)
	defer cancel()
	resp, err := f.cfg.Log.Read(ctx, stream, 1, 1, 0)
	var gone *logclient.GoneError
	if errors.As(err, &gone) {
		return gone.Oldest, gone.Next, nil
	}
	return resp.Oldest, resp.Next, err
}

// assemble returns the newest complete snapshot in a range of offsets, or nil.
func (f *Follower) assemble(ctx context.Context, from, next uint64) (*statelog.State, error) {
	var a statelog.Assembler
	for from < next {
		rctx, cancel := context.WithTimeout(ctx, maxTimeout)
		resp, err := f.cfg.Log.Read(rctx, statelog.StreamSnapshots, from, snapshotBatch, 0)
		cancel()
		var gone *logclient.GoneError
		if errors.As(err, &gone) && gone.Oldest > from {
			from = gone.Oldest // the oldest records left the log in the meantime
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

func (f *Follower) adoptSnapshot(s *statelog.State) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.replaceLocked(s) {
		f.cfg.Logger.Infof("follower: loaded the snapshot at offset %d", s.Next())
	}
}

// askPeer continues from what a peer knows. It does nothing when no peer can be asked.
func (f *Follower) askPeer(ctx context.Context) {
	if f.cfg.Peers == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	from := f.next()
	ans, err := f.cfg.Peers.Fetch(ctx, from)
	if err != nil {
		f.cfg.Logger.Debugf("follower: no peer answered: %v", err)
		return
	}
	if err := f.adoptPeer(from, &ans); err != nil {
		f.cfg.Logger.Errorf("follower: answer of a peer is not usable: %v", err)
	}
}

func (f *Follower) adoptPeer(from uint64, ans *PeerAnswer) error {
	if len(ans.Records) > 0 {
		return f.adoptPeerRecords(ans)
	}
	if len(ans.State) > 0 {
		s, err := statelog.Restore(ans.State)
		if err != nil {
			return err
		}
		if s.Next() != ans.Next || s.Hash() != ans.Hash {
			return errors.New("state does not match the offset and hash that the peer names")
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.replaceLocked(s) {
			f.cfg.Logger.Infof("follower: loaded the state at offset %d from a peer", s.Next())
		}
		f.setLoadedLocked()
		return nil
	}
	if ans.Next > from {
		return errors.New("neither records nor a state")
	}
	return nil
}

// adoptPeerRecords tries the records on a copy first when the peer's hash can be compared.
func (f *Follower) adoptPeerRecords(ans *PeerAnswer) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	trial := f.state.Clone()
	for _, r := range ans.Records {
		if r.Offset < trial.Next() {
			continue
		}
		if trial.Apply(r.Offset, r.Data).Status == 0 {
			return errors.Errorf("offset %d does not continue the state at %d", r.Offset, trial.Next())
		}
	}
	if trial.Next() == ans.Next && trial.Hash() != ans.Hash {
		return errors.Errorf("state hash at offset %d differs from the peer's", ans.Next)
	}
	before := f.state.Next()
	f.applyLocked(ans.Records)
	if f.state.Next() >= ans.Next {
		f.setLoadedLocked()
	}
	if n := f.state.Next() - before; n > 0 {
		f.cfg.Logger.Infof("follower: applied %d records from a peer, up to offset %d", n, f.state.Next())
	}
	return nil
}

// history holds the last raw records for peers.
type history struct {
	records []vmapi.LogRecord // contiguous offsets
	bytes   int
}

const (
	// historyRecords and historyBytes bound the raw records that a node keeps.
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

// RecordsFrom returns the records from an offset up to the applied one; none when the offset is the next one. It
// reports false when it no longer has them or has not applied them yet; the peer then needs FullState or another node.
// Callers must not modify the data.
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

// FullState returns the encoded state with its next offset and hash.
func (f *Follower) FullState() (data []byte, next uint64, hash [32]byte, err error) {
	f.mu.Lock()
	s := f.state.Clone()
	f.mu.Unlock()
	data, err = s.Encode()
	return data, s.Next(), s.Hash(), err
}
