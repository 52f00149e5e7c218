package statelog

import "testing"

// Guards against restoring a different state from an encoding with one flipped bit, and against accepting a snapshot
// that does not match its SHA-256.
func TestDamagedSnapshot(t *testing.T) {
	s := newState(16)
	s.Apply(1, encode(t, &Record{ID: testID(1), Op: OpJoin, ReadPos: 1, Member: testMember("node-a", "region-1", 3)}))
	s.Apply(2, benchRecord(t, s, "vm", "vm-1", `{"pool":"p1"}`, 0))
	data, err := s.Encode()
	if err != nil {
		t.Fatal(err)
	}
	for i := range data {
		for bit := range 8 {
			bad := append([]byte(nil), data...)
			bad[i] ^= 1 << bit
			if r, err := restore(bad, 16); err == nil && r.Hash() != s.Hash() {
				t.Errorf("restore returned a different state after bit %d of byte %d was flipped", bit, i)
			}
		}
	}
	chunks, err := EncodeChunks(data, s.Next(), "node-a", 0)
	if err != nil {
		t.Fatal(err)
	}
	c, err := DecodeChunk(chunks[0])
	if err != nil {
		t.Fatal(err)
	}
	c.SHA256[0] ^= 1
	a := Assembler{window: 16}
	if bad, err := encMode.Marshal(c); err != nil || a.Add(bad) == nil || a.Newest() != nil {
		t.Errorf("a snapshot with a wrong SHA-256 was accepted, error %v", err)
	}
	if err := a.Add(chunks[0]); err != nil || a.Newest().Hash() != s.Hash() {
		t.Errorf("the undamaged snapshot was not restored, error %v", err)
	}
}
