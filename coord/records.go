package coord

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/berylwharf/berylwharf/peer"
	"github.com/berylwharf/berylwharf/vmapi"
)

const (
	typeRecords = "records-get"

	// chunkBytes bounds the records or the part of a state in one reply, so that the frame stays under its limit.
	chunkBytes = 512 << 10
	// maxStateBytes bounds a state taken from a peer. A state at the design size has a few MB.
	maxStateBytes = 128 << 20
	// stateKept is how long an encoded state is kept for the chunks that follow the first.
	stateKept = 30 * time.Second
	// recordsTimeout bounds one request.
	recordsTimeout = 5 * time.Second
)

// RecordSource is what a node's follower offers to the followers of other nodes. *follower.Follower implements it.
type RecordSource interface {
	// RecordsFrom returns the records from an offset up to the newest, without gaps. ok is false when the oldest of them
	// is no longer kept.
	RecordsFrom(offset uint64) (records []vmapi.LogRecord, ok bool)
	// FullState returns the encoded state with its next offset and hash.
	FullState() (data []byte, next uint64, hash [32]byte, err error)
}

// ErrNoPeer is returned when no connected peer could answer.
var ErrNoPeer = errors.New("no peer could give records or a state")

// recordsRequest asks for records from an offset on, or for a part of an encoded state.
type recordsRequest struct {
	From  uint64 `cbor:"1,keyasint,omitempty"`
	State bool   `cbor:"2,keyasint,omitempty"`
	// Next and Pos name the state and the position in it; both are 0 for a new one.
	Next uint64 `cbor:"3,keyasint,omitempty"`
	Pos  uint64 `cbor:"4,keyasint,omitempty"`
}

// wireRecord is a record of the log.
type wireRecord struct {
	Offset uint64 `cbor:"1,keyasint"`
	Data   []byte `cbor:"2,keyasint"`
}

type recordsReply struct {
	Records []wireRecord `cbor:"1,keyasint,omitempty"`
	// Gone states that the records, or the state that was asked for, are no longer kept.
	Gone bool `cbor:"2,keyasint,omitempty"`
	// Next and Hash name the state that the chunk belongs to or, with records, the serving node's state.
	Next  uint64   `cbor:"3,keyasint,omitempty"`
	Total uint64   `cbor:"4,keyasint,omitempty"`
	Chunk []byte   `cbor:"5,keyasint,omitempty"`
	Hash  [32]byte `cbor:"6,keyasint"`
}

// stateCache keeps one encoded state while it is being transferred.
type stateCache struct {
	mu    sync.Mutex
	next  uint64
	hash  [32]byte
	state []byte
	used  time.Time
}

func (c *Coord) serveRecords(_ context.Context, _ string, body peer.Body) (any, error) {
	r, err := decodeRecordsRequest(body)
	if err != nil {
		return nil, err
	}
	if c.cfg.Records == nil {
		return nil, errors.New("records are not served here")
	}
	if r.State {
		return c.state.chunk(c.cfg.Records, r, time.Now())
	}
	// The view comes first, so that it is not newer than the records.
	v := c.store.View()
	if r.From > v.Next {
		return recordsReply{Next: v.Next, Hash: v.Hash}, nil
	}
	records, ok := c.cfg.Records.RecordsFrom(r.From)
	if !ok {
		return recordsReply{Gone: true}, nil
	}
	return recordsReply{Records: firstRecords(records), Next: v.Next, Hash: v.Hash}, nil
}

func decodeRecordsRequest(body peer.Body) (recordsRequest, error) {
	var r recordsRequest
	if err := peer.Decode(body, &r); err != nil {
		return r, errors.Wrap(peer.ErrMalformed, err.Error())
	}
	return r, nil
}

// firstRecords returns as many records as fit into one reply, at least one.
func firstRecords(records []vmapi.LogRecord) []wireRecord {
	const overhead = 24 // offset, map header and length prefix of one record
	size := 0
	var first []wireRecord
	for i, r := range records {
		size += len(r.Data) + overhead
		if size > chunkBytes && i > 0 {
			break
		}
		first = append(first, wireRecord(r))
	}
	return first
}

// chunk returns a part of the encoded state.
func (s *stateCache) chunk(src RecordSource, r recordsRequest, now time.Time) (recordsReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fresh := s.state != nil && now.Sub(s.used) < stateKept
	if r.Pos == 0 && !fresh {
		state, next, hash, err := src.FullState()
		if err != nil {
			return recordsReply{}, errors.Wrap(err, "full state")
		}
		s.state, s.next, s.hash = state, next, hash
		fresh = true
	}
	if !fresh || (r.Pos > 0 && r.Next != s.next) || r.Pos > uint64(len(s.state)) {
		return recordsReply{Gone: true}, nil
	}
	s.used = now
	end := min(uint64(len(s.state)), r.Pos+chunkBytes)
	return recordsReply{Next: s.next, Hash: s.hash, Total: uint64(len(s.state)), Chunk: s.state[r.Pos:end]}, nil
}

// PeerAnswer is what a peer knows: records from the offset that was asked for, or a full state. Both are empty when the
// peer has nothing newer. It converts to follower.PeerAnswer.
type PeerAnswer struct {
	Records []vmapi.LogRecord // contiguous from the requested offset
	State   []byte            // an encoded state
	// Next and Hash are the peer's next offset and the hash of its state there. Records may end earlier.
	Next uint64
	Hash [32]byte
}

// PeerSource lets a follower catch up from the connected peers. The zero value has no peers until it is passed to New in
// the configuration; the follower that uses it can therefore be created before the Coord.
type PeerSource struct {
	c atomic.Pointer[Coord]
}

// Fetch asks the connected peers in turn for the records from an offset on. When a peer no longer has them, it returns
// the peer's full state instead. A peer with nothing newer is passed over when another has more.
func (p *PeerSource) Fetch(ctx context.Context, from uint64) (PeerAnswer, error) {
	err := ErrNoPeer
	c := p.c.Load()
	if c == nil {
		return PeerAnswer{}, err
	}
	var same PeerAnswer
	for _, node := range c.net.Connected() {
		a, failure := c.fetch(ctx, node, from)
		switch {
		case failure != nil:
			if same.Next == 0 {
				err = errors.Wrap(failure, ErrNoPeer.Error())
			}
		case len(a.Records) > 0 || len(a.State) > 0:
			return a, nil
		default:
			same, err = a, nil
		}
	}
	return same, err
}

func (c *Coord) getRecords(ctx context.Context, node string, r recordsRequest) (recordsReply, error) {
	ctx, cancel := context.WithTimeout(ctx, recordsTimeout)
	defer cancel()
	var reply recordsReply
	err := c.net.Call(ctx, node, typeRecords, r, &reply)
	return reply, err
}

func (c *Coord) fetch(ctx context.Context, node string, from uint64) (PeerAnswer, error) {
	reply, err := c.getRecords(ctx, node, recordsRequest{From: from})
	if err != nil {
		return PeerAnswer{}, err
	}
	if reply.Gone {
		return c.fetchState(ctx, node)
	}
	a := PeerAnswer{Next: reply.Next, Hash: reply.Hash}
	for _, r := range reply.Records {
		a.Records = append(a.Records, vmapi.LogRecord(r))
	}
	return a, nil
}

func (c *Coord) fetchState(ctx context.Context, node string) (PeerAnswer, error) {
	var a PeerAnswer
	for {
		reply, err := c.getRecords(ctx, node, recordsRequest{State: true, Next: a.Next, Pos: uint64(len(a.State))})
		if err != nil {
			return a, err
		}
		switch {
		case reply.Gone || (a.Next != 0 && reply.Next != a.Next):
			return a, errors.New("the peer's state changed during the transfer")
		case reply.Total > maxStateBytes:
			return a, errors.Errorf("the peer's state has %d bytes", reply.Total)
		case len(reply.Chunk) == 0:
			return a, errors.New("the peer sent an empty part of its state")
		}
		a.Next, a.Hash = reply.Next, reply.Hash
		a.State = append(a.State, reply.Chunk...)
		if uint64(len(a.State)) >= reply.Total {
			return a, nil
		}
	}
}
