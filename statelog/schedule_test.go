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

// simWindow is small, so that identifiers leave the deduplication window within a schedule.
const simWindow = 24

// Guards against diverging nodes, accepted changes that are reverted or applied twice, conflicting changes of which not
// exactly one is accepted, and the use of incomplete or damaged snapshots. Each schedule has random lost, delayed and
// repeated appends, damaged records, outages of the log, trimmed streams and restarts. The expected outcomes come from a
// model that scans the list of all records.
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

// model keeps all records and determines outcomes by scanning them.
type model struct {
	records        []Record // by offset - 1; a damaged record has no identifier
	outcomes       []Outcome
	hashes         map[uint64][32]byte   // by next offset
	acceptedByBase map[versionKey]uint64 // accepted record by key and base version
	acceptedByID   map[RecordID]uint64   // accepted record by identifier
}

type versionKey struct {
	key  resource.Key
	base uint64
}

func keyOf(r *Record) resource.Key {
	if r.Member != nil {
		return resource.Key{Kind: kindMember, Name: r.Member.Node}
	}
	return r.Key
}

// current returns the last accepted record for a key before a given offset, and its offset.
func (m *model) current(key resource.Key, before uint64) (*Record, uint64) {
	for o := before - 1; o > 0; o-- {
		if m.outcomes[o-1].Status == StatusAccepted && !m.outcomes[o-1].Duplicate && keyOf(&m.records[o-1]) == key {
			return &m.records[o-1], o
		}
	}
	return nil, 0
}

func (m *model) add(r Record) {
	offset := uint64(len(m.records)) + 1
	m.records = append(m.records, r)
	out := Outcome{ID: r.ID, Offset: offset, Status: StatusAccepted}
	defer func() { m.outcomes = append(m.outcomes, out) }()
	if r.ID == (RecordID{}) {
		out.Status = StatusMalformed
		return
	}
	for o := offset - 1; o > 0 && o+simWindow >= offset; o-- {
		if m.records[o-1].ID == r.ID {
			out = m.outcomes[o-1]
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
		out.WinnerID = cur.ID
	}
	if cur != nil && (cur.Op == OpDelete || cur.Op == OpLeave) {
		cur, version = nil, 0
	}
	if r.BaseVersion != version || cur != nil && r.Op == OpJoin && r.Member.Incarnation <= cur.Member.Incarnation {
		out.Status, out.CurrentVersion = StatusConflict, version
		return
	}
	out.WinnerID = RecordID{}
}

// check compares a node's outcome with the model. It also checks, independently of the model's rules, that nodes agree
// on the hash, that an identifier is accepted once, and that one version is replaced at most once.
func (m *model) check(s *State, out Outcome) error {
	offset := s.Next() - 1
	out.Message = ""
	if want := m.outcomes[offset-1]; out != want {
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
	rec := &m.records[out.Offset-1]
	if o, ok := m.acceptedByID[out.ID]; ok && o != out.Offset {
		return fmt.Errorf("record %s was accepted at %d and at %d", out.ID, o, out.Offset)
	}
	m.acceptedByID[out.ID] = out.Offset
	version := versionKey{keyOf(rec), rec.BaseVersion}
	if o, ok := m.acceptedByBase[version]; ok && o != out.Offset && rec.BaseVersion != 0 {
		return fmt.Errorf("records at %d and %d were both accepted against %v", o, out.Offset, version)
	}
	m.acceptedByBase[version] = out.Offset
	return nil
}

// snapshotWrite is an attempt of a node to write a snapshot.
type snapshotWrite struct {
	chunks  [][]byte // not yet written
	first   int      // position of the first chunk in the stream
	offset  uint64
	damaged bool
}

type simNode struct {
	name     string
	state    *State
	writing  *snapshotWrite
	view     *View
	versions map[resource.Key]uint64 // updated from View.Diff
}

type sim struct {
	*rand.Rand
	model
	log            [][]byte // by offset - 1; records below oldest are trimmed and not readable
	oldest         uint64
	snapshotLog    [][]byte
	trimmed        int // number of chunks trimmed from the start of snapshotLog
	writes         []*snapshotWrite
	nodes          []*simNode
	unacknowledged []Record // appends that are delayed or whose answer was lost
	logDown        bool
	lastID         int
}

func runSchedule(seed uint64) error {
	m := &sim{Rand: rand.New(rand.NewPCG(seed, 1)), oldest: 1, model: model{
		hashes: map[uint64][32]byte{}, acceptedByBase: map[versionKey]uint64{}, acceptedByID: map[RecordID]uint64{}}}
	for i := range 3 {
		m.nodes = append(m.nodes, &simNode{name: fmt.Sprint("n", i), state: newState(simWindow), view: &View{},
			versions: map[resource.Key]uint64{}})
	}
	for range 40 + m.IntN(60) {
		if err := m.step(m.nodes[m.IntN(len(m.nodes))]); err != nil {
			return err
		}
	}
	m.logDown = false
	for _, r := range m.unacknowledged {
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
	case p < 72 && len(m.unacknowledged) > 0:
		m.append(m.unacknowledged[m.IntN(len(m.unacknowledged))]) // in any order; kept for further retries
	case p < 76:
		m.append(Record{})
	case p < 79:
		m.logDown = !m.logDown
	case p < 82:
		m.trim()
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
	if m.logDown {
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
	m.lastID++
	r := Record{ID: testID(m.lastID), ReadPos: n.state.Next(), Author: n.name}
	if m.IntN(4) == 0 {
		member := testMember(fmt.Sprint("m", m.IntN(2)), "region-1", 1+m.Uint64N(3))
		r.Op, r.Member = OpJoin, member
		if i, ok := n.state.findMember(member.Node); ok {
			r.BaseVersion = n.state.members[i].Version
		}
		if r.BaseVersion != 0 && m.IntN(2) == 0 {
			r.Op = OpLeave
		}
	} else {
		r.Op, r.Key = OpPut, resource.Key{Kind: resource.KindVM, Name: fmt.Sprint("vm", m.IntN(3))}
		if old := n.state.tables[kindIndex[r.Key.Kind]].get(r.Key.Name); old != nil {
			r.BaseVersion = old.res.Version
		}
		if r.BaseVersion != 0 && m.IntN(3) == 0 {
			r.Op = OpDelete
		} else {
			r.Spec = []byte(fmt.Sprintf(`{"pool":"p%d"}`, m.IntN(3)))
		}
	}
	switch m.IntN(4) {
	case 0: // not stored, or delayed
		m.unacknowledged = append(m.unacknowledged, r)
	case 1: // stored, but the answer is lost
		m.append(r)
		m.unacknowledged = append(m.unacknowledged, r)
	default:
		m.append(r)
	}
}

// trim removes a random number of records that the most advanced node has read, and of snapshot chunks.
func (m *sim) trim() {
	var most uint64
	for _, n := range m.nodes {
		most = max(most, n.state.Next())
	}
	m.oldest += m.Uint64N(most - min(m.oldest, most) + 1)
	m.trimmed += m.IntN(len(m.snapshotLog) - m.trimmed + 1)
}

func (m *sim) read(n *simNode, count int) error {
	if m.logDown {
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

// restore loads the newest snapshot, and a peer's state when no snapshot reaches the oldest record.
func (m *sim) restore(n *simNode) error {
	a := Assembler{window: simWindow}
	for _, c := range m.snapshotLog[m.trimmed:] {
		_ = a.Add(c)
	}
	var want uint64
	for _, r := range m.writes {
		if len(r.chunks) == 0 && !r.damaged && r.first >= m.trimmed {
			want = max(want, r.offset)
		}
	}
	// Chunks of a damaged snapshot and of its repetition can form a complete one. adopt checks its hash.
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

// snapshot begins a snapshot, or writes its next chunk, or abandons it.
func (m *sim) snapshot(n *simNode) error {
	if n.writing == nil {
		data, err := n.state.Encode()
		if err != nil {
			return err
		}
		chunks, err := encodeChunks(data, n.state.Next(), n.name, 0, len(data)/(1+m.IntN(3))+1)
		n.writing = &snapshotWrite{chunks: chunks, first: len(m.snapshotLog), offset: n.state.Next()}
		m.writes = append(m.writes, n.writing)
		return err
	}
	r := n.writing
	if r.first < len(m.snapshotLog) && len(r.chunks) == 0 || m.IntN(8) == 0 {
		n.writing = nil
		return nil
	}
	chunk := slices.Clone(r.chunks[0])
	r.chunks = r.chunks[1:]
	if m.IntN(8) == 0 {
		chunk[m.IntN(len(chunk))] ^= 1 << m.IntN(8)
		r.damaged = true
	}
	m.snapshotLog = append(m.snapshotLog, chunk)
	return nil
}

func (m *sim) restart(n *simNode) error {
	for _, o := range m.nodes {
		if o != n && o.state.Next() >= m.oldest && o.state.Next() >= n.state.Next() {
			n.state, n.writing = newState(simWindow), nil
			return m.read(n, 1)
		}
	}
	return nil
}

// checkView compares the node's current view and the versions collected from View.Diff with the model. The latter also
// detects a previous view that was modified after it was published.
func (m *sim) checkView(n *simNode) error {
	v := n.state.View()
	if v.NextOffset < n.view.NextOffset {
		return nil // restarted and still behind the last view
	}
	v.Diff(n.view, func(before, after *resource.Resource) {
		if before != nil {
			delete(n.versions, before.Key)
		}
		if after != nil {
			n.versions[after.Key] = after.Version
		}
	})
	n.view = v
	for i := range 3 {
		key := resource.Key{Kind: resource.KindVM, Name: fmt.Sprint("vm", i)}
		cur, version := m.current(key, v.NextOffset)
		if cur == nil || cur.Op == OpDelete {
			version = 0
		}
		var got uint64
		if r := v.Get(key); r != nil {
			got = r.Version
		}
		if got != version || n.versions[key] != version {
			return fmt.Errorf("%s has version %d in the view and %d from View.Diff, want %d", key, got, n.versions[key], version)
		}
	}
	return nil
}
