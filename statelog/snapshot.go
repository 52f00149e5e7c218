package statelog

import (
	"crypto/sha256"
	"fmt"
	"sort"

	"github.com/pkg/errors"

	"github.com/berylwharf/berylwharf/resource"
)

const (
	// MaxSnapshotBytes bounds an encoded state. At the size that the system is designed for, a state takes about 2 MiB.
	MaxSnapshotBytes = 32 << 20
	// maxStateElements bounds each array of an encoded state.
	maxStateElements = 1 << 18

	snapshotFormat = 2 // format 2 added the offset of the last removal of a member to each region
)

// The encoded types are CBOR arrays instead of maps, which halves the size of small elements.
type encodedState struct {
	_          struct{} `cbor:",toarray"`
	Format     uint64
	Next       uint64
	Hash       []byte
	Resources  []encodedResource
	Members    []encodedMember
	Epochs     []encodedEpoch
	Remembered []encodedRemembered
}

type encodedResource struct {
	_       struct{} `cbor:",toarray"`
	Kind    resource.Kind
	Name    string
	Version uint64
	Author  string
	ID      RecordID
	Spec    []byte
}

type encodedMember struct {
	_      struct{} `cbor:",toarray"`
	Member Member
	ID     RecordID
}

type encodedEpoch struct {
	_       struct{} `cbor:",toarray"`
	Region  string
	Epoch   uint64
	Removal uint64
}

// encodedRemembered is the encoded form of a dedupEntry.
type encodedRemembered struct {
	_       struct{} `cbor:",toarray"`
	Offset  uint64   // where the identifier was first seen
	Seen    uint64   // where the identifier was last seen
	ID      RecordID
	Status  Status
	Current uint64
	Winner  []byte // empty when zero
	Kind    resource.Kind
	Name    string
}

// Encode returns the deterministic encoding of the state, including the deduplication window. Equal states have equal
// encodings. Encode fails when the encoding exceeds MaxSnapshotBytes.
func (s *State) Encode() ([]byte, error) {
	h := s.Hash()
	e := encodedState{Format: snapshotFormat, Next: s.next, Hash: h[:]}
	for _, t := range s.tables {
		t.each(func(it *resourceEntry) bool {
			r := it.res
			e.Resources = append(e.Resources, encodedResource{Kind: r.Kind, Name: r.Name, Version: r.Version, Author: r.Author,
				ID: it.id, Spec: r.Spec})
			return true
		})
	}
	sort.Slice(e.Resources, func(i, j int) bool {
		a, b := &e.Resources[i], &e.Resources[j]
		return resource.Key{Kind: a.Kind, Name: a.Name}.Less(resource.Key{Kind: b.Kind, Name: b.Name})
	})
	for _, m := range s.members {
		e.Members = append(e.Members, encodedMember{Member: m.Member, ID: m.id})
	}
	for r, n := range s.epochs {
		e.Epochs = append(e.Epochs, encodedEpoch{Region: r, Epoch: n.epoch, Removal: n.lastRemoval})
	}
	sort.Slice(e.Epochs, func(i, j int) bool { return e.Epochs[i].Region < e.Epochs[j].Region })
	for i := uint64(0); i < s.window; i++ {
		// The oldest offset in the window is next - window. From there, ring positions follow in offset order.
		if r := s.dedupRing[(s.next+i)%s.window]; r != nil {
			e.Remembered = append(e.Remembered, r.encode())
		}
	}
	data, err := encMode.Marshal(&e)
	if err != nil {
		return nil, errors.Wrap(err, "snapshot")
	}
	if len(data) > MaxSnapshotBytes {
		return nil, fmt.Errorf("snapshot of %d bytes exceeds the limit of %d", len(data), MaxSnapshotBytes)
	}
	return data, nil
}

func (r *dedupEntry) encode() encodedRemembered {
	e := encodedRemembered{Offset: r.outcome.Offset, Seen: r.lastSeen, ID: r.outcome.ID, Status: r.outcome.Status,
		Current: r.outcome.CurrentVersion, Kind: r.removedKey.Kind, Name: r.removedKey.Name}
	if r.outcome.WinnerID != (RecordID{}) {
		e.Winner = r.outcome.WinnerID[:]
	}
	return e
}

// Restore decodes a state. It recomputes the hash and compares it, so that damaged or modified data is an error. It
// never panics.
func Restore(data []byte) (*State, error) { return restore(data, DedupWindow) }

func restore(data []byte, window uint64) (*State, error) {
	if len(data) > MaxSnapshotBytes {
		return nil, fmt.Errorf("snapshot of %d bytes exceeds the limit of %d", len(data), MaxSnapshotBytes)
	}
	var e encodedState
	if err := snapshotDecMode.Unmarshal(data, &e); err != nil {
		return nil, errors.Wrap(err, "snapshot")
	}
	if e.Format != snapshotFormat {
		return nil, fmt.Errorf("snapshot: unsupported format %d, want %d", e.Format, snapshotFormat)
	}
	if e.Next == 0 {
		return nil, errors.New("snapshot: next offset is zero")
	}
	s := newState(window)
	s.next = e.Next
	for _, f := range []func(*encodedState) error{
		s.restoreResources, s.restoreMembers, s.restoreEpochs, s.restoreDedupEntries,
	} {
		if err := f(&e); err != nil {
			return nil, errors.Wrap(err, "snapshot")
		}
	}
	if h := s.Hash(); string(h[:]) != string(e.Hash) {
		return nil, errors.New("snapshot: state does not match the encoded hash")
	}
	return s, nil
}

func (s *State) restoreResources(e *encodedState) error {
	for i := range e.Resources {
		r := &e.Resources[i]
		key := resource.Key{Kind: r.Kind, Name: r.Name}
		spec, err := resource.Decode(key, r.Spec)
		if err != nil {
			return err
		}
		if r.Version == 0 || r.Version >= s.next {
			return fmt.Errorf("%s: version %d is out of range", key, r.Version)
		}
		t := s.writableTable(kindIndex[key.Kind])
		if t.get(key.Name) != nil {
			return fmt.Errorf("%s: duplicate resource", key)
		}
		it := newResourceEntry(&Record{ID: r.ID, Key: key, Author: r.Author}, spec, r.Version)
		t.put(it)
		s.digestSum.xor(it.digest())
	}
	return nil
}

func (s *State) restoreMembers(e *encodedState) error {
	for i := range e.Members {
		m := memberEntry{Member: e.Members[i].Member, id: e.Members[i].ID}
		if err := m.validate(); err != nil {
			return err
		}
		if m.Version == 0 || m.Version >= s.next {
			return fmt.Errorf("member %s: version %d is out of range", m.Node, m.Version)
		}
		if i > 0 && s.members[i-1].Node >= m.Node {
			return fmt.Errorf("member %s: out of order", m.Node)
		}
		s.members = append(s.members, m)
		s.digestSum.xor(m.digest())
	}
	return nil
}

func (s *State) restoreEpochs(e *encodedState) error {
	for _, r := range e.Epochs {
		if _, ok := s.epochs[r.Region]; ok || r.Epoch == 0 || r.Epoch >= s.next || r.Removal > r.Epoch {
			return fmt.Errorf("region %q: duplicate region, or epoch %d or its removal offset is out of range", r.Region, r.Epoch)
		}
		s.epochs[r.Region] = regionEpoch{epoch: r.Epoch, lastRemoval: r.Removal}
		s.digestSum.xor(epochDigest(r.Region, s.epochs[r.Region]))
	}
	return nil
}

func (s *State) restoreDedupEntries(e *encodedState) error {
	var lastSeen uint64
	for i := range e.Remembered {
		r := &e.Remembered[i]
		if r.Seen <= lastSeen || r.Seen >= s.next || s.next-r.Seen > s.window || r.Offset == 0 || r.Offset > r.Seen {
			return fmt.Errorf("deduplication entry: offsets %d and %d are out of range or order", r.Offset, r.Seen)
		}
		if _, ok := s.dedupByID[r.ID]; ok {
			return fmt.Errorf("record identifier %s: duplicate deduplication entry", r.ID)
		}
		if r.Status < StatusAccepted || r.Status > StatusMalformed {
			return fmt.Errorf("record identifier %s: unknown status %d", r.ID, r.Status)
		}
		lastSeen = r.Seen
		s.restoreDedupEntry(r)
	}
	return nil
}

// restoreDedupEntry adds a deduplication entry. When several entries removed a key that does not exist now, removedBy
// refers to the latest removal.
func (s *State) restoreDedupEntry(e *encodedRemembered) {
	r := &dedupEntry{
		outcome:    Outcome{ID: e.ID, Status: e.Status, Offset: e.Offset, CurrentVersion: e.Current},
		lastSeen:   e.Seen,
		removedKey: resource.Key{Kind: e.Kind, Name: e.Name},
	}
	if len(e.Winner) == len(r.outcome.WinnerID) {
		copy(r.outcome.WinnerID[:], e.Winner)
	}
	s.addDedupEntry(r)
	if r.removedKey == (resource.Key{}) || s.exists(r.removedKey) {
		return
	}
	if other := s.dedupByID[s.removedBy[r.removedKey]]; other == nil || other.outcome.Offset < e.Offset {
		s.removedBy[r.removedKey] = e.ID
	}
}

func (s *State) exists(k resource.Key) bool {
	if k.Kind == kindMember {
		_, ok := s.findMember(k.Name)
		return ok
	}
	i, ok := kindIndex[k.Kind]
	return ok && s.tables[i].get(k.Name) != nil
}

const (
	// MaxChunkBytes bounds an encoded chunk. Each chunk is one record of stream "snapshots".
	MaxChunkBytes = 64 << 10

	// chunkOverheadBytes is reserved for the fields of a chunk other than its data.
	chunkOverheadBytes = 512
	maxChunkDataBytes  = MaxChunkBytes - chunkOverheadBytes
	maxChunks          = MaxSnapshotBytes/maxChunkDataBytes + 1
)

// Chunk is one part of an encoded state.
type Chunk struct {
	Offset   uint64   `cbor:"1,keyasint"` // next offset of the encoded state
	Writer   string   `cbor:"2,keyasint"` // node name
	Index    uint32   `cbor:"3,keyasint"`
	Count    uint32   `cbor:"4,keyasint"`
	SHA256   [32]byte `cbor:"5,keyasint"` // of the complete encoded state
	UnixMsec int64    `cbor:"6,keyasint"` // writer's clock; used only to determine when the next snapshot is due
	Data     []byte   `cbor:"7,keyasint"`
}

// EncodeChunks splits an encoded state into records of at most MaxChunkBytes.
func EncodeChunks(state []byte, offset uint64, writer string, unixMsec int64) ([][]byte, error) {
	return encodeChunks(state, offset, writer, unixMsec, maxChunkDataBytes)
}

func encodeChunks(state []byte, offset uint64, writer string, unixMsec int64, size int) ([][]byte, error) {
	if len(state) == 0 || len(state) > MaxSnapshotBytes {
		return nil, fmt.Errorf("snapshot of %d bytes, want 1 to %d", len(state), MaxSnapshotBytes)
	}
	c := Chunk{Offset: offset, Writer: writer, UnixMsec: unixMsec, SHA256: sha256.Sum256(state)}
	c.Count = uint32((len(state) + size - 1) / size)
	var records [][]byte
	for ; c.Index < c.Count; c.Index++ {
		n := min(len(state), size)
		c.Data, state = state[:n], state[n:]
		if err := c.validate(); err != nil {
			return nil, err
		}
		data, err := encMode.Marshal(&c)
		if err != nil {
			return nil, errors.Wrap(err, "encode snapshot chunk")
		}
		records = append(records, data)
	}
	return records, nil
}

// DecodeChunk parses and validates a chunk. It never panics.
func DecodeChunk(data []byte) (*Chunk, error) {
	if len(data) > MaxChunkBytes {
		return nil, fmt.Errorf("snapshot chunk of %d bytes exceeds the limit of %d", len(data), MaxChunkBytes)
	}
	c := new(Chunk)
	if err := decodeCanonical(data, c); err != nil {
		return nil, errors.Wrap(err, "decode snapshot chunk")
	}
	if err := c.validate(); err != nil {
		return nil, err
	}
	return c, nil
}

func (c *Chunk) validate() error {
	if err := validateName("node", c.Writer); err != nil {
		return errors.Wrap(err, "snapshot chunk: writer")
	}
	if c.Offset == 0 || c.Count == 0 || c.Count > maxChunks || c.Index >= c.Count {
		return fmt.Errorf("snapshot chunk: offset %d, index %d, count %d are out of range", c.Offset, c.Index, c.Count)
	}
	if len(c.Data) == 0 || len(c.Data) > maxChunkDataBytes {
		return fmt.Errorf("snapshot chunk: data size of %d bytes is out of range", len(c.Data))
	}
	return nil
}
