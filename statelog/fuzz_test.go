package statelog

import (
	"bytes"
	"strings"
	"testing"
)

// Guards against panics on damaged records, and against two accepted encodings of one record, which would let a modified
// record pass as a retry.
func FuzzDecodeRecord(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		s := newState(2)
		if out := s.Apply(1, data); out.Status == 0 || s.Next() != 2 {
			t.Fatalf("outcome %+v, next %d", out, s.Next())
		}
		roundTrip(t, s)
		r, err := DecodeRecord(data)
		if err != nil {
			return
		}
		if again, err := EncodeRecord(r); err != nil || !bytes.Equal(again, data) {
			t.Fatalf("second encoding %x of %x, error %v", again, data, err)
		}
	})
}

// Guards against panics on damaged chunks.
func FuzzDecodeChunk(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		var a Assembler
		err := a.Add(data)
		c, derr := DecodeChunk(data)
		if derr != nil && err == nil {
			t.Fatalf("a chunk that does not decode was accepted: %v", derr)
		}
		if s := a.Newest(); s != nil && s.Next() != c.Offset {
			t.Fatalf("snapshot at %d from a chunk at %d", s.Next(), c.Offset)
		}
	})
}

// Guards against panics on damaged snapshots, and against restored states that differ after another encode and restore.
func FuzzRestore(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		if s, err := restore(data, 16); err == nil {
			roundTrip(t, s)
		}
	})
}

// Guards against parsing a record identifier as a different one.
func FuzzParseRecordID(f *testing.F) {
	f.Fuzz(func(t *testing.T, s string) {
		if id, err := ParseRecordID(s); err == nil && id.String() != strings.ToLower(s) {
			t.Fatalf("%q is parsed as %s", s, id)
		}
	})
}
