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

	// chunkBytes limits the records or the state chunk in one reply, so that the reply stays below the frame limit.
	chunkBytes = 512 << 10
	// maxStateBytes limits a state fetched from a peer. A state at the design size takes a few MB.
	maxStateBytes = 128 << 20
	// stateCacheTTL is how long an encoded state is cached after the last request for one of its chunks.
	stateCacheTTL = 30 * time.Second
	// recordsTimeout limits one request to a peer.
	recordsTimeout = 5 * time.Second
)

// RecordSource provides log records and state to the followers of other nodes. *follower.Follower implements it.
type RecordSource interface {
	// RecordsFrom returns the records from an offset up to the newest, without gaps. ok is false if the record at that
	// offset is no longer retained.
	RecordsFrom(offset uint64) (records []vmapi.LogRecord, ok bool)
	// FullState returns the encoded state, the offset of the next record to apply to it, and its hash.
	FullState() (data []byte, next uint64, hash [32]byte, err error)
}

// ErrNoPeer is returned when no connected peer could provide records or a state.
var ErrNoPeer = errors.New("no connected peer could provide records or a state")

// recordsRequest requests the records from an offset, or a chunk of an encoded state.
type recordsRequest struct {
	From      uint64 `cbor:"1,keyasint,omitempty"`
	WantState bool   `cbor:"2,keyasint,omitempty"`
	// Next identifies the state that is being transferred, and Pos is the position of the chunk in it. Both are zero to
	// start a transfer.
	Next uint64 `cbor:"3,keyasint,omitempty"`
	Pos  uint64 `cbor:"4,keyasint,omitempty"`
}

// wireRecord is a log record as encoded in a reply.
type wireRecord struct {
	Offset uint64 `cbor:"1,keyasint"`
	Data   []byte `cbor:"2,keyasint"`
}

// recordsReply answers a recordsRequest with records, or with one chunk of an encoded state. StateBytes is the size of
// the whole encoded state.
type recordsReply struct {
	Records []wireRecord `cbor:"1,keyasint,omitempty"`
	// Gone reports that the requested records or state are no longer retained.
	Gone bool `cbor:"2,keyasint,omitempty"`
	// Next and Hash identify the state that Chunk belongs to. In a reply with records, they identify the state of the
	// serving node.
	Next       uint64   `cbor:"3,keyasint,omitempty"`
	StateBytes uint64   `cbor:"4,keyasint,omitempty"`
	Chunk      []byte   `cbor:"5,keyasint,omitempty"`
	Hash       [32]byte `cbor:"6,keyasint"`
}

// stateCache caches one encoded state while peers fetch its chunks.
type stateCache struct {
	mu       sync.Mutex
	next     uint64
	hash     [32]byte
	state    []byte
	lastUsed time.Time
}

func (c *Coord) serveRecords(_ context.Context, _ string, body peer.Body) (any, error) {
	r, err := decodeRecordsRequest(body)
	if err != nil {
		return nil, err
	}
	if c.cfg.Records == nil {
		return nil, errors.New("records are not served here")
	}
	if r.WantState {
		return c.servedState.chunk(c.cfg.Records, r, time.Now())
	}
	// Read the view before the records, so that the view is never newer than the records in the reply.
	v := c.store.View()
	if r.From > v.NextOffset {
		return recordsReply{Next: v.NextOffset, Hash: v.Hash}, nil
	}
	records, ok := c.cfg.Records.RecordsFrom(r.From)
	if !ok {
		return recordsReply{Gone: true}, nil
	}
	return recordsReply{Records: recordsForReply(records), Next: v.NextOffset, Hash: v.Hash}, nil
}

func decodeRecordsRequest(body peer.Body) (recordsRequest, error) {
	var r recordsRequest
	if err := peer.Decode(body, &r); err != nil {
		return r, errors.Wrap(peer.ErrMalformed, err.Error())
	}
	return r, nil
}

// recordsForReply returns the leading records that fit into one reply, and at least one if there are any.
func recordsForReply(records []vmapi.LogRecord) []wireRecord {
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

// chunk returns the requested chunk of the encoded state. A request for position zero encodes a new state unless one
// is cached.
func (s *stateCache) chunk(src RecordSource, r recordsRequest, now time.Time) (recordsReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fresh := s.state != nil && now.Sub(s.lastUsed) < stateCacheTTL
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
	s.lastUsed = now
	end := min(uint64(len(s.state)), r.Pos+chunkBytes)
	return recordsReply{Next: s.next, Hash: s.hash, StateBytes: uint64(len(s.state)), Chunk: s.state[r.Pos:end]}, nil
}

// PeerResponse is a peer's reply to Fetch: records from the requested offset, or a full state. Both are empty if the
// peer has nothing newer. It can be converted to follower.PeerResponse.
type PeerResponse struct {
	Records []vmapi.LogRecord // contiguous from the requested offset
	State   []byte            // an encoded state
	// Next and Hash are the peer's next offset and the hash of its state at that offset. Records may end before Next.
	Next uint64
	Hash [32]byte
}

// PeerSource lets a follower catch up from the connected peers. The zero value has no peers until New receives it in
// Config.Peers, so the follower that uses it can be created before the Coord.
type PeerSource struct {
	c atomic.Pointer[Coord]
}

// Fetch requests the records from an offset from the connected peers in turn. If a peer no longer retains them, Fetch
// returns the full state of that peer. A reply without anything newer is returned only if no other peer has more.
func (p *PeerSource) Fetch(ctx context.Context, from uint64) (PeerResponse, error) {
	err := ErrNoPeer
	c := p.c.Load()
	if c == nil {
		return PeerResponse{}, err
	}
	var upToDate PeerResponse
	for _, node := range c.net.ConnectedNodes() {
		a, fetchErr := c.fetch(ctx, node, from)
		switch {
		case fetchErr != nil:
			if upToDate.Next == 0 {
				err = errors.Wrap(fetchErr, ErrNoPeer.Error())
			}
		case len(a.Records) > 0 || len(a.State) > 0:
			return a, nil
		default:
			upToDate, err = a, nil
		}
	}
	return upToDate, err
}

func (c *Coord) callRecords(ctx context.Context, node string, r recordsRequest) (recordsReply, error) {
	ctx, cancel := context.WithTimeout(ctx, recordsTimeout)
	defer cancel()
	var reply recordsReply
	err := c.net.Call(ctx, node, typeRecords, r, &reply)
	return reply, err
}

func (c *Coord) fetch(ctx context.Context, node string, from uint64) (PeerResponse, error) {
	reply, err := c.callRecords(ctx, node, recordsRequest{From: from})
	if err != nil {
		return PeerResponse{}, err
	}
	if reply.Gone {
		return c.fetchState(ctx, node)
	}
	a := PeerResponse{Next: reply.Next, Hash: reply.Hash}
	for _, r := range reply.Records {
		a.Records = append(a.Records, vmapi.LogRecord(r))
	}
	return a, nil
}

func (c *Coord) fetchState(ctx context.Context, node string) (PeerResponse, error) {
	var a PeerResponse
	for {
		reply, err := c.callRecords(ctx, node, recordsRequest{WantState: true, Next: a.Next, Pos: uint64(len(a.State))})
		if err != nil {
			return a, err
		}
		switch {
		case reply.Gone || (a.Next != 0 && reply.Next != a.Next):
			return a, errors.New("peer state changed during the transfer")
		case reply.StateBytes > maxStateBytes:
			return a, errors.Errorf("peer state exceeds the size limit: %d bytes", reply.StateBytes)
		case len(reply.Chunk) == 0:
			return a, errors.New("peer sent an empty state chunk")
		}
		a.Next, a.Hash = reply.Next, reply.Hash
		a.State = append(a.State, reply.Chunk...)
		if uint64(len(a.State)) >= reply.StateBytes {
			return a, nil
		}
	}
}
