package statelog

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/berylwharf/berylwharf/resource"
)

var (
	scheduleSeed  = flag.Uint64("schedule.seed", 0, "replay one random schedule")
	scheduleCount = flag.Uint64("schedule.count", 10_000, "number of random schedules")
)

// simWindow lets records leave the window within a schedule.
const simWindow = 24

// Guards against nodes that differ, accepted changes that revert or apply twice, races without exactly one winner, and
// use of incomplete or damaged snapshots, under lost, late and repeated appends, damaged records, outages, retention
// and restarts. A model that scans the list of records gives the expected outcomes.
func TestSchedules(t *testing.T) {
	first, last := uint64(1), *scheduleCount
	if *scheduleSeed != 0 {
		first, last = *scheduleSeed, *scheduleSeed
	}
	const parts = 3
	for part := range uint64(parts) {
		t.Run(fmt.Sprint(part), func(t *testing.T) {
			t.Parallel()
			for seed := first + part; seed <= last; seed += parts {
				if err := runSchedule(seed); err != nil {
					t.Fatalf("seed %d: %v\nreplay: go test ./statelog -run 'TestSchedules' -schedule.seed=%d", seed, err, seed)
				}
			}
		})
	}
}

// model keeps all records and finds outcomes by scanning.
type model struct {
	recs   []Record // by offset - 1; a damaged record has no identifier
	outs   []Outcome
	hashes map[uint64][32]byte // by next offset
	writes map[slot]uint64     // accepted record by key and base version
	once   map[RecordID]uint64 // accepted record by identifier
}

type slot struct {
	key  resource.Key
	base uint64
}

func keyOf(r *Record) resource.Key {
	if r.Member != nil {
		return resource.Key{Kind: kindMember, Name: r.Member.Node}
	}
	return r.Key
}

// current returns the last accepted record for a key and its offset, before a given offset.
func (m *model) current(key resource.Key, before uint64) (*Record, uint64) {
	for o := before - 1; o > 0; o-- {
		if m.outs[o-1].Status == StatusAccepted && !m.outs[o-1].Duplicate && keyOf(&m.recs[o-1]) == key {
			return &m.recs[o-1], o
		}
	}
	return nil, 0
}

func (m *model) add(r Record) {
	offset := uint64(len(m.recs)) + 1
	m.recs = append(m.recs, r)
	out := Outcome{ID: r.ID, Offset: offset, Status: StatusAccepted}
	defer func() { m.outs = append(m.outs, out) }()
	if r.ID == (RecordID{}) {
		out.Status = StatusMalformed
		return
	}
	for o := offset - 1; o > 0 && o+simWindow >= offset; o-- {
		if m.recs[o-1].ID == r.ID {
			out = m.outs[o-1]
			out.Duplicate = true
			return
		}
	}
	if r.ReadPos+simWindow < offset {
		out.Status = StatusStale
		return
	}
	cur, version := m.current(keyOf(&r), offset)
	if cur != nil && (version+simWindow >= offset || cur.Op != OpDelete && cur.Op != OpLeave) {
		out.Winner = cur.ID
	}
	if cur != nil && (cur.Op == OpDelete || cur.Op == OpLeave) {
		cur, version = nil, 0
	}
	if r.Base != version || cur != nil && r.Op == OpJoin && r.Member.Incarnation <= cur.Member.Incarnation {
		out.Status, out.Current = StatusConflict, version
		return
	}
	out.Winner = RecordID{}
}

// check compares a node's outcome with the model and checks the invariants without it.
func (m *model) check(s *State, out Outcome) error {
	offset := s.Next() - 1
	out.Message = ""
	if want := m.outs[offset-1]; out != want {
		return fmt.Errorf("offset %d: outcome %+v, want %+v", offset, out, want)
	}
	hash := s.Hash()
	if h, ok := m.hashes[s.Next()]; ok && h != hash {
		return fmt.Errorf("offset %d: hash differs between nodes", offset)
	}
	m.hashes[s.Next()] = hash
	if out.Status != StatusAccepted {
		return nil
	}
	rec := &m.recs[out.Offset-1]
	if o, ok := m.once[out.ID]; ok && o != out.Offset {
		return fmt.Errorf("record %s was accepted at %d and at %d", out.ID, o, out.Offset)
	}
	m.once[out.ID] = out.Offset
	to := slot{keyOf(rec), rec.Base}
	if o, ok := m.writes[to]; ok && o != out.Offset && rec.Base != 0 {
		return fmt.Errorf("records at %d and %d were both accepted against %v", o, out.Offset, to)
	}
	m.writes[to] = out.Offset
	return nil
}

// snapshotRun is one attempt of a node to write a snapshot.
type snapshotRun struct {
	chunks  [][]byte
	first   int // position of its first chunk in the stream
	offset  uint64
	damaged bool
}

type simNode struct {
	name  string
	state *State
	run   *snapshotRun
	view  *View
	seen  map[resource.Key]uint64 // versions, kept by View.Diff
}

type sim struct {
	*rand.Rand
	model
	log     [][]byte // by offset - 1; trimmed records are nil
	oldest  uint64
	snaps   [][]byte
	trimmed int // chunks that left the stream
	runs    []*snapshotRun
	nodes   []*simNode
	late    []Record // appends whose answer was lost or that are still on their way
	down    bool
	ids     int
}

func runSchedule(seed uint64) error {
	m := &sim{Rand: rand.New(rand.NewPCG(seed, 1)), oldest: 1, model: model{
		hashes: map[uint64][32]byte{}, writes: map[slot]uint64{}, once: map[RecordID]uint64{}}}
	for i := range 3 {
		m.nodes = append(m.nodes, &simNode{name: fmt.Sprint("n", i), state: newState(simWindow), view: &View{},
			seen: map[resource.Key]uint64{}})
	}
	for range 40 + m.IntN(60) {
		if err := m.step(m.nodes[m.IntN(len(m.nodes))]); err != nil {
			return err
		}
	}
	m.down = false
	for _, r := range m.late {
		m.append(r)
	}
	for _, n := range m.nodes {
		for n.state.Next() <= uint64(len(m.log)) {
			if err := m.read(n, len(m.log)); err != nil {
				return err
			}
		}
		if err := m.checkView(n); err != nil {
			return err
		}
	}
	return nil
}

func (m *sim) step(n *simNode) error {
	switch p := m.IntN(100); {
	case p < 35:
		return m.read(n, 1+m.IntN(20))
	case p < 62:
		m.propose(n)
	case p < 72 && len(m.late) > 0:
		m.append(m.late[m.IntN(len(m.late))]) // in any order, and the record stays for another retry
	case p < 76:
		m.append(Record{})
	case p < 79:
		m.down = !m.down
	case p < 82:
		m.retain()
	case p < 95:
		return m.snapshot(n)
	case p < 98:
		return m.checkView(n)
	default:
		return m.restart(n)
	}
	return nil
}

func (m *sim) append(r Record) {
	if m.down {
		return
	}
	data := []byte{0xa1, byte(m.IntN(256))}
	if r.ID != (RecordID{}) {
		var err error
		if data, err = encMode.Marshal(&r); err != nil {
			panic(err)
		}
	}
	m.log = append(m.log, data)
	m.add(r)
}

func (m *sim) propose(n *simNode) {
	m.ids++
	r := Record{ID: testID(m.ids), ReadPos: n.state.Next(), Author: n.name}
	if m.IntN(4) == 0 {
		member := testMember(fmt.Sprint("m", m.IntN(2)), "region-1", 1+m.Uint64N(3))
		r.Op, r.Member = OpJoin, member
		if i, ok := n.state.findMember(member.Node); ok {
			r.Base = n.state.members[i].Version
		}
		if r.Base != 0 && m.IntN(2) == 0 {
			r.Op = OpLeave
		}
	} else {
		r.Op, r.Key = OpPut, resource.Key{Kind: resource.KindVM, Name: fmt.Sprint("vm", m.IntN(3))}
		if old := n.state.tables[kindIndex[r.Key.Kind]].get(r.Key.Name); old != nil {
			r.Base = old.res.Version
		}
		if r.Base != 0 && m.IntN(3) == 0 {
			r.Op = OpDelete
		} else {
			r.Spec = []byte(fmt.Sprintf(`{"pool":"p%d"}`, m.IntN(3)))
		}
	}
	switch m.IntN(4) {
	case 0: // lost on the way, or delayed
		m.late = append(m.late, r)
	case 1: // stored, answer lost
		m.append(r)
		m.late = append(m.late, r)
	default:
		m.append(r)
	}
}

// retain drops records that the most advanced node has read, and snapshot chunks.
func (m *sim) retain() {
	var most uint64
	for _, n := range m.nodes {
		most = max(most, n.state.Next())
	}
	m.oldest += m.Uint64N(most - min(m.oldest, most) + 1)
	m.trimmed += m.IntN(len(m.snaps) - m.trimmed + 1)
}

func (m *sim) read(n *simNode, count int) error {
	if m.down {
		return m.copyPeer(n)
	}
	if n.state.Next() < m.oldest {
		if err := m.restore(n); err != nil || n.state.Next() < m.oldest {
			return err
		}
	}
	for ; count > 0 && n.state.Next() <= uint64(len(m.log)); count-- {
		out := n.state.Apply(n.state.Next(), m.log[n.state.Next()-1])
		if err := m.check(n.state, out); err != nil {
			return err
		}
	}
	return nil
}

// restore loads the newest snapshot, or a peer's state when the snapshot is too old.
func (m *sim) restore(n *simNode) error {
	a := Assembler{window: simWindow}
	for _, c := range m.snaps[m.trimmed:] {
		_ = a.Add(c)
	}
	var want uint64
	for _, r := range m.runs {
		if len(r.chunks) == 0 && !r.damaged && r.first >= m.trimmed {
			want = max(want, r.offset)
		}
	}
	// Chunks of a damaged snapshot and of its repetition may make up a complete one; adopt compares its hash.
	s := a.Newest()
	if want > 0 && (s == nil || s.Next() < want) {
		return fmt.Errorf("the snapshot at offset %d was not found", want)
	}
	if s != nil {
		if err := m.adopt(n, s); err != nil {
			return err
		}
	}
	if n.state.Next() < m.oldest {
		return m.copyPeer(n)
	}
	return nil
}

func (m *sim) copyPeer(n *simNode) error {
	peer := m.nodes[m.IntN(len(m.nodes))]
	if peer.state.Next() <= n.state.Next() {
		return nil
	}
	data, err := peer.state.Encode()
	if err != nil {
		return err
	}
	s, err := restore(data, simWindow)
	if err != nil {
		return err
	}
	return m.adopt(n, s)
}

func (m *sim) adopt(n *simNode, s *State) error {
	if h, ok := m.hashes[s.Next()]; ok && h != s.Hash() {
		return fmt.Errorf("state at %d has another hash after restore", s.Next())
	}
	if s.Next() > n.state.Next() {
		n.state = s
	}
	return nil
}

// snapshot starts a snapshot, or writes its next chunk, or fails in the middle.
func (m *sim) snapshot(n *simNode) error {
	if n.run == nil {
		data, err := n.state.Encode()
		if err != nil {
			return err
		}
		chunks, err := encodeChunks(data, n.state.Next(), n.name, 0, len(data)/(1+m.IntN(3))+1)
		n.run = &snapshotRun{chunks: chunks, first: len(m.snaps), offset: n.state.Next()}
		m.runs = append(m.runs, n.run)
		return err
	}
	r := n.run
	if r.first < len(m.snaps) && len(r.chunks) == 0 || m.IntN(8) == 0 {
		n.run = nil
		return nil
	}
	chunk := slices.Clone(r.chunks[0])
	r.chunks = r.chunks[1:]
	if m.IntN(8) == 0 {
		chunk[m.IntN(len(chunk))] ^= 1 << m.IntN(8)
		r.damaged = true
	}
	m.snaps = append(m.snaps, chunk)
	return nil
}

func (m *sim) restart(n *simNode) error {
	for _, o := range m.nodes {
		if o != n && o.state.Next() >= m.oldest && o.state.Next() >= n.state.Next() {
			n.state, n.run = newState(simWindow), nil
			return m.read(n, 1)
		}
	}
	return nil
}

// checkView compares a view with the model, follows View.Diff, and checks that the last view has not changed.
func (m *sim) checkView(n *simNode) error {
	v := n.state.View()
	if v.Next < n.view.Next {
		return nil // restarted and not yet caught up
	}
	v.Diff(n.view, func(before, after *resource.Resource) {
		if before != nil {
			delete(n.seen, before.Key)
		}
		if after != nil {
			n.seen[after.Key] = after.Version
		}
	})
	n.view = v
	for i := range 3 {
		key := resource.Key{Kind: resource.KindVM, Name: fmt.Sprint("vm", i)}
		cur, version := m.current(key, v.Next)
		if cur == nil || cur.Op == OpDelete {
			version = 0
		}
		var got uint64
		if r := v.Get(key); r != nil {
			got = r.Version
		}
		if got != version || n.seen[key] != version {
			return fmt.Errorf("%s has version %d in the view and %d by differences, want %d", key, got, n.seen[key], version)
		}
	}
	return nil
}
