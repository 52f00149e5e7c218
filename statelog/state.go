package statelog

import (
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"sort"

	"github.com/berylwharf/berylwharf/resource"
)

// DedupWindow is the number of offsets for which record identifiers are retained for deduplication, and the maximum
// distance between the read position of a record and its offset. Both rules use the same number, so that a retry that
// arrives after its identifier was evicted is rejected as stale and cannot be applied a second time.
const DedupWindow = 8192

// kindMember is the kind of the keys under which removals of members are recorded. It is not a kind of resource.
const kindMember resource.Kind = "member"

var errReadPosition = errors.New("read position lies beyond the record's own offset")

// State is the replicated state machine. States that have applied the same records are equal. A State is not safe for
// concurrent use; its views are.
type State struct {
	next        uint64
	window      uint64   // DedupWindow, or less in tests
	tables      []*table // by kindIndex; nil for a kind that has had no resources yet
	copyOnWrite []bool   // by kindIndex; the table is shared with a view or clone and must be copied before a change
	members     []memberEntry
	epochs      map[string]regionEpoch
	// dedupRing holds at position o % window the record whose identifier was last seen at offset o, or nil.
	dedupRing []*dedupEntry
	dedupByID map[RecordID]*dedupEntry
	// removedBy holds the identifier of the record that removed a resource or member, while that record is in the
	// deduplication window.
	removedBy map[resource.Key]RecordID
	// digestSum is the XOR of the digests of all resources, members, epochs and deduplication entries. With XOR, adding
	// or removing one element does not require hashing the others. It detects faults but not forgery: writers are
	// trusted.
	digestSum digest
	// memberList is the copy of members that the newest view uses; nil after a change.
	memberList []Member
}

// memberEntry is a member with the identifier of the record that admitted it.
type memberEntry struct {
	Member
	id RecordID
}

// dedupEntry holds the outcome of a record whose identifier is in the deduplication window. It is immutable.
type dedupEntry struct {
	outcome    Outcome
	lastSeen   uint64       // offset at which the identifier was last seen; outcome.Offset is where it was first seen
	removedKey resource.Key // key that an accepted delete or leave removed
}

// New returns an empty state. The first offset to apply is 1.
func New() *State { return newState(DedupWindow) }

func newState(window uint64) *State {
	n := len(resource.Kinds())
	return &State{
		next:        1,
		window:      window,
		tables:      make([]*table, n),
		copyOnWrite: make([]bool, n),
		epochs:      make(map[string]regionEpoch),
		dedupRing:   make([]*dedupEntry, window),
		dedupByID:   make(map[RecordID]*dedupEntry),
		removedBy:   make(map[resource.Key]RecordID),
	}
}

// Next returns the offset of the record to apply next.
func (s *State) Next() uint64 { return s.next }

// Lookup returns the outcome of a record whose identifier is still in the deduplication window.
func (s *State) Lookup(id RecordID) (Outcome, bool) {
	r, ok := s.dedupByID[id]
	if !ok {
		return Outcome{}, false
	}
	return r.outcome, true
}

// Apply applies the record at the next offset and returns its outcome, which depends only on the records before it. A
// record at any other offset is not applied, and Apply returns the zero Outcome.
func (s *State) Apply(offset uint64, data []byte) Outcome {
	if offset != s.next {
		return Outcome{}
	}
	rec, spec, err := decodeRecord(data)
	if err == nil && rec.ReadPos > offset {
		// Identifiers can be evicted only because a later retry is stale. With a read position in the future, a retry
		// after the eviction would be applied again.
		err = errReadPosition
	}
	out := Outcome{Status: StatusMalformed, Offset: offset}
	entry := &dedupEntry{lastSeen: offset}
	var first *dedupEntry
	if rec != nil {
		out.ID = rec.ID
		first = s.dedupByID[rec.ID]
	}
	switch {
	case err != nil:
		out.Message = truncateMessage(err)
	case first != nil:
		out = first.outcome
		out.Duplicate = true
	default:
		entry.removedKey = s.applyNewRecord(rec, spec, &out)
	}
	entry.outcome = out
	if first != nil {
		entry.outcome, entry.removedKey = first.outcome, first.removedKey
		s.unlinkDedupEntry(first)
	}
	s.evictDedupEntry(offset)
	if out.ID != (RecordID{}) {
		s.addDedupEntry(entry)
	}
	s.next = offset + 1
	return out
}

// applyNewRecord applies rules 3 to 5 of the accept rule to a valid record with a new identifier. It returns the key
// that the record removed, if any.
func (s *State) applyNewRecord(rec *Record, spec resource.Spec, out *Outcome) resource.Key {
	if rec.ReadPos+s.window < out.Offset {
		out.Status = StatusStale
		return resource.Key{}
	}
	if rec.Op == OpJoin || rec.Op == OpLeave {
		return s.applyMembership(rec, out)
	}
	i := kindIndex[rec.Key.Kind]
	cur := s.tables[i].get(rec.Key.Name)
	var version uint64
	winner := s.removingRecord(rec.Key, out.Offset)
	if cur != nil {
		version, winner = cur.res.Version, cur.id
	}
	if rec.BaseVersion != version {
		out.Status, out.CurrentVersion, out.WinnerID = StatusConflict, version, winner
		return resource.Key{}
	}
	out.Status = StatusAccepted
	if cur != nil {
		s.digestSum.xor(cur.digest())
	}
	t := s.writableTable(i)
	if rec.Op == OpDelete {
		t.remove(rec.Key.Name)
		s.removedBy[rec.Key] = rec.ID
		return rec.Key
	}
	it := newResourceEntry(rec, spec, out.Offset)
	t.put(it)
	s.digestSum.xor(it.digest())
	delete(s.removedBy, rec.Key)
	return resource.Key{}
}

// applyMembership applies rules 4 and 5 of the accept rule to a join or leave. A join must also have a greater
// incarnation than the member, because an older process of the same node may still be running.
func (s *State) applyMembership(rec *Record, out *Outcome) resource.Key {
	key := resource.Key{Kind: kindMember, Name: rec.Member.Node}
	pos, ok := s.findMember(rec.Member.Node)
	var old memberEntry
	winner := s.removingRecord(key, out.Offset)
	if ok {
		old = s.members[pos]
		winner = old.id
	}
	if rec.BaseVersion != old.Version || ok && rec.Op == OpJoin && rec.Member.Incarnation <= old.Incarnation {
		out.Status, out.CurrentVersion, out.WinnerID = StatusConflict, old.Version, winner
		return resource.Key{}
	}
	out.Status = StatusAccepted
	s.memberList = nil
	if ok {
		s.digestSum.xor(old.digest())
		s.setEpoch(old.Region, out.Offset, true)
		s.members = append(s.members[:pos:pos], s.members[pos+1:]...)
	}
	if rec.Op == OpLeave {
		s.removedBy[key] = rec.ID
		return key
	}
	m := memberEntry{Member: *rec.Member, id: rec.ID}
	m.Version = out.Offset
	s.members = append(s.members[:pos:pos], append([]memberEntry{m}, s.members[pos:]...)...)
	s.digestSum.xor(m.digest())
	s.setEpoch(m.Region, out.Offset, false)
	delete(s.removedBy, key)
	return resource.Key{}
}

func (s *State) findMember(node string) (int, bool) {
	pos := sort.Search(len(s.members), func(i int) bool { return s.members[i].Node >= node })
	return pos, pos < len(s.members) && s.members[pos].Node == node
}

// regionEpoch holds the membership epoch of a region and the offset of the last record that removed a member from it: a
// leave, or a join that replaced an older incarnation. lastRemoval is 0 when no member was ever removed.
type regionEpoch struct {
	epoch       uint64
	lastRemoval uint64
}

// setEpoch copies the map before the change, because views share it.
func (s *State) setEpoch(region string, epoch uint64, removed bool) {
	epochs := make(map[string]regionEpoch, len(s.epochs)+1)
	for r, e := range s.epochs {
		epochs[r] = e
	}
	e, ok := epochs[region]
	if ok {
		s.digestSum.xor(epochDigest(region, e))
	}
	e.epoch = epoch
	if removed {
		e.lastRemoval = epoch
	}
	epochs[region] = e
	s.digestSum.xor(epochDigest(region, e))
	s.epochs = epochs
}

// writableTable returns the table at an index after creating it or copying it from a view, as needed.
func (s *State) writableTable(i int) *table {
	switch {
	case s.tables[i] == nil:
		s.tables[i] = new(table)
	case s.copyOnWrite[i]:
		t := *s.tables[i]
		s.tables[i] = &t
	}
	s.copyOnWrite[i] = false
	return s.tables[i]
}

// removingRecord returns the identifier of the record that removed a resource or member at most one window before the
// offset, or the zero identifier. The explicit comparison is needed because retries keep an entry beyond that time.
func (s *State) removingRecord(k resource.Key, offset uint64) RecordID {
	r := s.dedupByID[s.removedBy[k]]
	if r == nil || r.outcome.Offset+s.window < offset {
		return RecordID{}
	}
	return r.outcome.ID
}

func (s *State) addDedupEntry(r *dedupEntry) {
	s.dedupRing[r.lastSeen%s.window] = r
	s.dedupByID[r.outcome.ID] = r
	s.digestSum.xor(r.digest())
}

// unlinkDedupEntry removes an entry from the ring and the digest, before its eviction or before a later entry with the
// same identifier replaces it.
func (s *State) unlinkDedupEntry(r *dedupEntry) {
	s.dedupRing[r.lastSeen%s.window] = nil
	s.digestSum.xor(r.digest())
}

// evictDedupEntry removes the entry that leaves the window at the given offset, whose ring position is reused.
func (s *State) evictDedupEntry(offset uint64) {
	old := s.dedupRing[offset%s.window]
	if old == nil {
		return
	}
	s.unlinkDedupEntry(old)
	delete(s.dedupByID, old.outcome.ID)
	if old.removedKey != (resource.Key{}) && s.removedBy[old.removedKey] == old.outcome.ID {
		delete(s.removedBy, old.removedKey)
	}
}

// Hash returns the hash of the state. It covers everything that affects later outcomes.
func (s *State) Hash() [32]byte {
	b := make([]byte, 0, 64)
	b = append(b, "berylwharf state 1"...)
	b = binary.BigEndian.AppendUint64(b, s.next)
	b = append(b, s.digestSum[:]...)
	return sha256.Sum256(b)
}

// View returns an immutable view of the state, which shares all unchanged parts with earlier views.
func (s *State) View() *View {
	v := &View{NextOffset: s.next, Hash: s.Hash(), epochs: s.epochs}
	v.tables = append([]*table(nil), s.tables...)
	for i := range s.copyOnWrite {
		s.copyOnWrite[i] = true
	}
	if s.memberList == nil {
		s.memberList = make([]Member, len(s.members))
		for i := range s.members {
			s.memberList[i] = s.members[i].Member
		}
	}
	v.Members = s.memberList
	return v
}

// Clone returns an independent copy of the state, which shares all immutable parts with the original.
func (s *State) Clone() *State {
	c := *s
	for i := range s.copyOnWrite {
		s.copyOnWrite[i] = true
	}
	c.tables = append([]*table(nil), s.tables...)
	c.copyOnWrite = append([]bool(nil), s.copyOnWrite...)
	c.members = append([]memberEntry(nil), s.members...)
	c.dedupRing = append([]*dedupEntry(nil), s.dedupRing...)
	c.dedupByID = make(map[RecordID]*dedupEntry, len(s.dedupByID))
	for id, r := range s.dedupByID {
		c.dedupByID[id] = r
	}
	c.removedBy = make(map[resource.Key]RecordID, len(s.removedBy))
	for k, id := range s.removedBy {
		c.removedBy[k] = id
	}
	return &c
}

func newResourceEntry(rec *Record, spec resource.Spec, offset uint64) *resourceEntry {
	return &resourceEntry{
		res:  &resource.Resource{Key: rec.Key, Version: offset, Author: rec.Author, Spec: canonicalSpec(spec)},
		spec: spec,
		id:   rec.ID,
	}
}
