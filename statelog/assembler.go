package statelog

import (
	"cmp"
	"crypto/sha256"
	"fmt"

	"github.com/pkg/errors"
)

// maxPartial bounds the snapshots that an Assembler collects at once. When there are more, those with the lowest
// offsets are dropped.
const maxPartial = 8

// Assembler finds the newest complete snapshot in a sequence of chunks. Damaged chunks and incomplete snapshots are
// skipped.
type Assembler struct {
	partial map[chunkKey]*partialSnapshot
	best    *State
	window  uint64 // 0 stands for Window
}

// chunkKey includes the hash, so that a writer that failed in the middle and wrote again at the same offset does not
// mix two encodings.
type chunkKey struct {
	offset uint64
	writer string
	sum    [32]byte
}

type partialSnapshot struct {
	parts [][]byte
	have  int
	size  int
}

// Add takes the next record of stream "snapshots". The error tells why a chunk or the snapshot that it completes is not
// usable; the assembler stays usable.
func (a *Assembler) Add(record []byte) error {
	c, err := DecodeChunk(record)
	if err != nil {
		return err
	}
	if a.best != nil && c.Offset <= a.best.Next() {
		return nil
	}
	key := chunkKey{offset: c.Offset, writer: c.Writer, sum: c.SHA256}
	p := a.partial[key]
	if p == nil || len(p.parts) != int(c.Count) {
		p = &partialSnapshot{parts: make([][]byte, c.Count)}
		a.insert(key, p)
	}
	// A later chunk replaces an earlier one, which may be damaged.
	if p.parts[c.Index] == nil {
		p.have++
	}
	p.size += len(c.Data) - len(p.parts[c.Index])
	p.parts[c.Index] = c.Data
	if p.have < len(p.parts) {
		return nil
	}
	return a.complete(key, p)
}

func (a *Assembler) insert(key chunkKey, p *partialSnapshot) {
	if a.partial == nil {
		a.partial = make(map[chunkKey]*partialSnapshot)
	}
	a.partial[key] = p
	if len(a.partial) <= maxPartial {
		return
	}
	low := key
	for k := range a.partial {
		if k.offset < low.offset {
			low = k
		}
	}
	delete(a.partial, low)
}

func (a *Assembler) complete(key chunkKey, p *partialSnapshot) error {
	whole := make([]byte, 0, p.size)
	for _, part := range p.parts {
		whole = append(whole, part...)
	}
	if sha256.Sum256(whole) != key.sum {
		// The parts stay: the writer may write the same snapshot again and so replace the damaged part.
		return fmt.Errorf("snapshot of %s at offset %d does not match its SHA-256", key.writer, key.offset)
	}
	delete(a.partial, key)
	s, err := restore(whole, cmp.Or(a.window, Window))
	if err != nil {
		return errors.Wrapf(err, "snapshot of %s at offset %d", key.writer, key.offset)
	}
	if s.Next() != key.offset {
		return fmt.Errorf("snapshot of %s at offset %d holds the state at %d", key.writer, key.offset, s.Next())
	}
	a.best = s
	for k := range a.partial {
		if k.offset <= key.offset {
			delete(a.partial, k)
		}
	}
	return nil
}

// Newest returns the newest complete snapshot's state, or nil when there is none.
func (a *Assembler) Newest() *State { return a.best }
