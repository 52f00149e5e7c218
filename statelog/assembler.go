package statelog

import (
	"cmp"
	"crypto/sha256"
	"fmt"

	"github.com/pkg/errors"
)

// maxPartialSnapshots bounds the incomplete snapshots that an Assembler keeps. When there are more, it drops the one
// with the lowest offset.
const maxPartialSnapshots = 8

// Assembler reassembles the newest complete snapshot from a sequence of chunks. It skips damaged chunks and incomplete
// snapshots.
type Assembler struct {
	partial map[snapshotKey]*partialSnapshot
	newest  *State
	window  uint64 // 0 means DedupWindow
}

// snapshotKey identifies a snapshot. It includes the hash, so that the chunks of two encodings are not mixed when a
// writer failed midway and wrote another snapshot at the same offset.
type snapshotKey struct {
	offset uint64
	writer string
	sum    [32]byte
}

type partialSnapshot struct {
	parts    [][]byte
	received int
	size     int
}

// Add adds the next record of stream "snapshots". It returns an error when the chunk, or the snapshot that it completes,
// is not usable. The Assembler can be used after an error.
func (a *Assembler) Add(record []byte) error {
	c, err := DecodeChunk(record)
	if err != nil {
		return err
	}
	if a.newest != nil && c.Offset <= a.newest.Next() {
		return nil
	}
	key := snapshotKey{offset: c.Offset, writer: c.Writer, sum: c.SHA256}
	p := a.partial[key]
	if p == nil || len(p.parts) != int(c.Count) {
		p = &partialSnapshot{parts: make([][]byte, c.Count)}
		a.addPartial(key, p)
	}
	// A later chunk replaces an earlier one with the same index, which may be damaged.
	if p.parts[c.Index] == nil {
		p.received++
	}
	p.size += len(c.Data) - len(p.parts[c.Index])
	p.parts[c.Index] = c.Data
	if p.received < len(p.parts) {
		return nil
	}
	return a.complete(key, p)
}

func (a *Assembler) addPartial(key snapshotKey, p *partialSnapshot) {
	if a.partial == nil {
		a.partial = make(map[snapshotKey]*partialSnapshot)
	}
	a.partial[key] = p
	if len(a.partial) <= maxPartialSnapshots {
		return
	}
	oldest := key
	for k := range a.partial {
		if k.offset < oldest.offset {
			oldest = k
		}
	}
	delete(a.partial, oldest)
}

func (a *Assembler) complete(key snapshotKey, p *partialSnapshot) error {
	encoded := make([]byte, 0, p.size)
	for _, part := range p.parts {
		encoded = append(encoded, part...)
	}
	if sha256.Sum256(encoded) != key.sum {
		// The parts are kept: the writer may write the same snapshot again, which replaces the damaged part.
		return fmt.Errorf("snapshot of %s at offset %d does not match its SHA-256", key.writer, key.offset)
	}
	delete(a.partial, key)
	s, err := restore(encoded, cmp.Or(a.window, DedupWindow))
	if err != nil {
		return errors.Wrapf(err, "snapshot of %s at offset %d", key.writer, key.offset)
	}
	if s.Next() != key.offset {
		return fmt.Errorf("snapshot of %s at offset %d contains the state at offset %d", key.writer, key.offset, s.Next())
	}
	a.newest = s
	for k := range a.partial {
		if k.offset <= key.offset {
			delete(a.partial, k)
		}
	}
	return nil
}

// Newest returns the state of the newest complete snapshot, or nil when there is none.
func (a *Assembler) Newest() *State { return a.newest }
