package statelog

import (
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"sort"

	"github.com/berylwharf/berylwharf/resource"
)

// Window is the number of offsets for which the identifiers of records are remembered, and the greatest permitted
// distance between a record's read position and its offset. One number serves both rules: a retry that arrives after
// its identifier was forgotten then has a read position that is too old.
const Window = 8192

// kindMember is the kind under which the removal of a member is remembered. It is not a kind of resource.
const kindMember resource.Kind = "member"

var errReadPosition = errors.New("read position lies beyond the record's own offset")

// State is the state machine. All states that applied the same records are equal. A State is not safe for concurrent
// use; its views are.
type State struct {
	next    uint64
	window  uint64   // Window, or less in tests
	tables  []*table // by kindIndex, nil for a kind without resources so far
	shared  []bool   // the table is part of a view and must be copied before a change
	members []memberItem
	epochs  map[string]regionEpoch
	// ring holds the record whose identifier was last seen at offset o at position o % window, or nil.
	ring []*remembered
	byID map[RecordID]*remembered
	// removed names the record that removed a resource or member, while that record is remembered.
	removed map[resource.Key]RecordID
	// sum is the XOR of the digests of all items, members, epochs and remembered records. XOR makes adding and removing
	// one element cheap. It guards against faults, not against a forger: writers are trusted.
	sum digest
	// list is the last copy of members that was given to a view, nil after a change.
	list []Member
}

// memberItem is a member and the record that admitted it.
type memberItem struct {
	Member
	id RecordID
}

// remembered is a record whose identifier is still known. It is immutable.
type remembered struct {
	outcome Outcome
	seen    uint64       // offset at which the identifier was last seen; outcome.Offset is where it was first seen
	removes resource.Key // what an accepted delete or leave removed
}

// New returns the empty state, which has applied nothing; the first offset is 1.
func New() *State { return newState(Window) }

func newState(window uint64) *State {
	n := len(resource.Kinds())
	return &State{
		next:    1,
		window:  window,
		tables:  make([]*table, n),
		shared:  make([]bool, n),
		epochs:  make(map[string]regionEpoch),
		ring:    make([]*remembered, window),
		byID:    make(map[RecordID]*remembered),
		removed: make(map[resource.Key]RecordID),
	}
}

// Next returns the offset of the record to apply next.
func (s *State) Next() uint64 { return s.next }

// Lookup returns the outcome of a record that is still remembered.
func (s *State) Lookup(id RecordID) (Outcome, bool) {
	r, ok := s.byID[id]
	if !ok {
		return Outcome{}, false
	}
	return r.outcome, true
}

// Apply applies the record at the next offset and returns its outcome. A record at another offset is not applied, and
// the zero Outcome is returned. The outcome depends on the records before it and on nothing else.
func (s *State) Apply(offset uint64, data []byte) Outcome {
	if offset != s.next {
		return Outcome{}
	}
	rec, spec, err := decodeRecord(data)
	if err == nil && rec.ReadPos > offset {
		// Rule 3 bounds the number of remembered identifiers only for true read positions.
		err = errReadPosition
	}
	out := Outcome{Status: StatusMalformed, Offset: offset}
	mem := &remembered{seen: offset}
	var first *remembered
	if rec != nil {
		out.ID = rec.ID
		first = s.byID[rec.ID]
	}
	switch {
	case err != nil:
		out.Message = shortMessage(err)
	case first != nil:
		out = first.outcome
		out.Duplicate = true
	default:
		mem.removes = s.decide(rec, spec, &out)
	}
	mem.outcome = out
	if first != nil {
		mem.outcome, mem.removes = first.outcome, first.removes
		s.detach(first)
	}
	s.forget(offset)
	if out.ID != (RecordID{}) {
		s.remember(mem)
	}
	s.next = offset + 1
	return out
}

// decide applies rules 3 to 5 to a valid record with a new identifier, and returns what it removed.
func (s *State) decide(rec *Record, spec resource.Spec, out *Outcome) resource.Key {
	if rec.ReadPos+s.window < out.Offset {
		out.Status = StatusStale
		return resource.Key{}
	}
	if rec.Op == OpJoin || rec.Op == OpLeave {
		return s.decideMembership(rec, out)
	}
	i := kindIndex[rec.Key.Kind]
	cur := s.tables[i].get(rec.Key.Name)
	var version uint64
	winner := s.remover(rec.Key, out.Offset)
	if cur != nil {
		version, winner = cur.res.Version, cur.id
	}
	if rec.Base != version {
		out.Status, out.Current, out.Winner = StatusConflict, version, winner
		return resource.Key{}
	}
	out.Status = StatusAccepted
	if cur != nil {
		s.sum.toggle(cur.digest())
	}
	t := s.mutable(i)
	if rec.Op == OpDelete {
		t.remove(rec.Key.Name)
		s.removed[rec.Key] = rec.ID
		return rec.Key
	}
	it := newItem(rec, spec, out.Offset)
	t.put(it)
	s.sum.toggle(it.digest())
	delete(s.removed, rec.Key)
	return resource.Key{}
}

// decideMembership applies rules 4 and 5 to a join or leave. A join must also name a greater incarnation than the
// member has, because the older process may still run.
func (s *State) decideMembership(rec *Record, out *Outcome) resource.Key {
	key := resource.Key{Kind: kindMember, Name: rec.Member.Node}
	pos, ok := s.findMember(rec.Member.Node)
	var old memberItem
	winner := s.remover(key, out.Offset)
	if ok {
		old = s.members[pos]
		winner = old.id
	}
	if rec.Base != old.Version || ok && rec.Op == OpJoin && rec.Member.Incarnation <= old.Incarnation {
		out.Status, out.Current, out.Winner = StatusConflict, old.Version, winner
		return resource.Key{}
	}
	out.Status = StatusAccepted
	s.list = nil
	if ok {
		s.sum.toggle(old.digest())
		s.setEpoch(old.Region, out.Offset, true)
		s.members = append(s.members[:pos:pos], s.members[pos+1:]...)
	}
	if rec.Op == OpLeave {
		s.removed[key] = rec.ID
		return key
	}
	m := memberItem{Member: *rec.Member, id: rec.ID}
	m.Version = out.Offset
	s.members = append(s.members[:pos:pos], append([]memberItem{m}, s.members[pos:]...)...)
	s.sum.toggle(m.digest())
	s.setEpoch(m.Region, out.Offset, false)
	delete(s.removed, key)
	return resource.Key{}
}

func (s *State) findMember(node string) (int, bool) {
	pos := sort.Search(len(s.members), func(i int) bool { return s.members[i].Node >= node })
	return pos, pos < len(s.members) && s.members[pos].Node == node
}

// regionEpoch is the membership epoch of a region, and the offset of the last record that removed a member from it: a
// leave, or a join that replaced an older incarnation. 0 means that none was ever removed.
type regionEpoch struct {
	epoch   uint64
	removal uint64
}

// setEpoch replaces the map because views share it.
func (s *State) setEpoch(region string, epoch uint64, removed bool) {
	epochs := make(map[string]regionEpoch, len(s.epochs)+1)
	for r, e := range s.epochs {
		epochs[r] = e
	}
	e, ok := epochs[region]
	if ok {
		s.sum.toggle(epochDigest(region, e))
	}
	e.epoch = epoch
	if removed {
		e.removal = epoch
	}
	epochs[region] = e
	s.sum.toggle(epochDigest(region, e))
	s.epochs = epochs
}

func (s *State) mutable(i int) *table {
	switch {
	case s.tables[i] == nil:
		s.tables[i] = new(table)
	case s.shared[i]:
		t := *s.tables[i]
		s.tables[i] = &t
	}
	s.shared[i] = false
	return s.tables[i]
}

// remover returns the identifier of the record that removed a resource or member less than a window ago.
func (s *State) remover(k resource.Key, offset uint64) RecordID {
	r := s.byID[s.removed[k]]
	if r == nil || r.outcome.Offset+s.window < offset {
		return RecordID{}
	}
	return r.outcome.ID
}

func (s *State) remember(r *remembered) {
	s.ring[r.seen%s.window] = r
	s.byID[r.outcome.ID] = r
	s.sum.toggle(r.digest())
}

// detach takes a record out of the ring; its identifier was seen again.
func (s *State) detach(r *remembered) {
	s.ring[r.seen%s.window] = nil
	s.sum.toggle(r.digest())
}

// forget removes the record whose place in the ring the given offset takes.
func (s *State) forget(offset uint64) {
	old := s.ring[offset%s.window]
	if old == nil {
		return
	}
	s.detach(old)
	delete(s.byID, old.outcome.ID)
	if old.removes != (resource.Key{}) && s.removed[old.removes] == old.outcome.ID {
		delete(s.removed, old.removes)
	}
}

// Hash returns the hash of the state, which covers everything that decides later outcomes.
func (s *State) Hash() [32]byte {
	b := make([]byte, 0, 64)
	b = append(b, "berylwharf state 1"...)
	b = binary.BigEndian.AppendUint64(b, s.next)
	b = append(b, s.sum[:]...)
	return sha256.Sum256(b)
}

// View returns an immutable view. It shares all unchanged parts with earlier views.
func (s *State) View() *View {
	v := &View{Next: s.next, Hash: s.Hash(), epochs: s.epochs}
	v.tables = append([]*table(nil), s.tables...)
	for i := range s.shared {
		s.shared[i] = true
	}
	if s.list == nil {
		s.list = make([]Member, len(s.members))
		for i := range s.members {
			s.list[i] = s.members[i].Member
		}
	}
	v.Members = s.list
	return v
}

// Clone returns an independent copy that shares all immutable parts.
func (s *State) Clone() *State {
	c := *s
	for i := range s.shared {
		s.shared[i] = true
	}
	c.tables = append([]*table(nil), s.tables...)
	c.shared = append([]bool(nil), s.shared...)
	c.members = append([]memberItem(nil), s.members...)
	c.ring = append([]*remembered(nil), s.ring...)
	c.byID = make(map[RecordID]*remembered, len(s.byID))
	for id, r := range s.byID {
		c.byID[id] = r
	}
	c.removed = make(map[resource.Key]RecordID, len(s.removed))
	for k, id := range s.removed {
		c.removed[k] = id
	}
	return &c
}

func newItem(rec *Record, spec resource.Spec, offset uint64) *item {
	return &item{
		res:  &resource.Resource{Key: rec.Key, Version: offset, Author: rec.Author, Spec: canonicalSpec(spec)},
		spec: spec,
		id:   rec.ID,
	}
}
