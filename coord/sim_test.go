package coord

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/berylwharf/berylwharf/claims"
	"github.com/berylwharf/berylwharf/membership"
	"github.com/berylwharf/berylwharf/slots"
	"github.com/berylwharf/berylwharf/statelog"
)

// The simulation runs the cores of several nodes against a log of membership records and a lossy network, in simulated
// time. It keeps the truth beside them: which requests run on which worker, and which attempts were granted.

const (
	simStep   = 100 * time.Millisecond
	simMaxRun = 3 * time.Second
)

var simWorkers = []string{"w1", "w2", "w3"}

// proc is one process: an incarnation of a node.
type proc struct {
	name     string
	inc      uint64
	history  *membership.History
	slots    *slots.Node
	table    *claims.Table
	applied  int // epochs of the log it has applied
	paused   bool
	dead     bool
	leaving  bool
	released bool
	joined   bool
	left     bool
	diedAt   time.Time
	inbox    []simMsg // received while paused
	running  map[uint64]*simRun
	attempts map[uint64]*simAttempt
}

// simRun is a request that runs on a worker. It ends at the latest simMaxRun after its start, also when its node dies.
type simRun struct {
	worker string
	start  time.Time
}

type simMsg struct {
	at   time.Time
	from *proc
	to   *proc
	body any // slots.Message, simBeat, claims.Request, simReply or claims.Done
}

type simBeat struct {
	epoch    uint64
	released bool
}

type sim struct {
	rng     *rand.Rand
	now     time.Time
	log     []*membership.Set
	procs   []*proc
	net     []simMsg
	lossy   bool
	nextID  uint64
	orphans []*simRun // of dead processes and broken requests
	keys    []*simKey
	err     error
	// counts of what happened, to show that the schedules reach the interesting cases
	grants, recalls, removals int
	results                   [8]int
}

func newSim(seed int64) *sim {
	s := &sim{rng: rand.New(rand.NewPCG(uint64(seed), 1)), now: time.Unix(1_700_000_000, 0), lossy: true}
	s.log = []*membership.Set{membership.NewSet(0, nil)}
	for i := range 2 + s.rng.IntN(3) {
		p := s.spawn(string(rune('a' + i)))
		s.join(p)
		if s.rng.IntN(2) == 0 {
			s.apply(p, len(s.log))
		}
	}
	return s
}

func (s *sim) chance(percent int) bool { return s.rng.IntN(100) < percent }

func (s *sim) failf(format string, args ...any) {
	if s.err == nil {
		s.err = fmt.Errorf(format, args...)
	}
}

// spawn starts a process. It sees the newest state first, as a node does that has caught up.
func (s *sim) spawn(name string) *proc {
	s.nextID++
	p := &proc{
		name: name, inc: s.nextID, history: membership.NewHistory(name, s.nextID),
		slots: slots.NewNode(name, simMaxRun), table: claims.NewTable(200, 1<<16),
		running: make(map[uint64]*simRun), attempts: make(map[uint64]*simAttempt),
	}
	s.procs = append(s.procs, p)
	s.apply(p, len(s.log))
	return p
}

func (s *sim) members() []statelog.Member { return s.log[len(s.log)-1].Members }

func (s *sim) appendSet(members []statelog.Member) {
	s.log = append(s.log, membership.NewSet(uint64(len(s.log))*10, members))
}

func (s *sim) join(p *proc) {
	p.joined = true
	members := slices.DeleteFunc(slices.Clone(s.members()), func(m statelog.Member) bool { return m.Node == p.name })
	s.appendSet(append(members, statelog.Member{Node: p.name, Incarnation: p.inc}))
}

func (s *sim) leave(p *proc) {
	p.left = true
	s.removals++
	s.appendSet(slices.DeleteFunc(slices.Clone(s.members()), func(m statelog.Member) bool {
		return m.Node == p.name && m.Incarnation == p.inc
	}))
}

// apply lets a process see the log up to a position. A jump over several records is seen as one change.
func (s *sim) apply(p *proc, upTo int) {
	if upTo <= p.applied {
		return
	}
	set := s.log[upTo-1]
	p.applied = upTo
	if p.history.Observe(set, s.now) {
		p.slots.SetEpoch(set, p.history.Gap(), p.history.Member(), p.history.Released, s.now)
		s.beat(p)
	}
}

func (s *sim) alive() []*proc {
	return slices.DeleteFunc(slices.Clone(s.procs), func(p *proc) bool { return p.dead })
}

func (s *sim) find(name string) *proc {
	for _, p := range s.procs {
		if p.name == name && !p.dead {
			return p
		}
	}
	return nil
}

// post hands a message to the network, which may lose, repeat, delay and reorder it.
func (s *sim) post(from, to *proc, body any) {
	if to == nil || to == from {
		return
	}
	n := 1
	if s.lossy && s.chance(10) {
		n = s.rng.IntN(3)
	}
	for range n {
		delay := time.Duration(s.rng.IntN(150)) * time.Millisecond
		if s.lossy && s.chance(5) {
			delay = time.Duration(s.rng.IntN(4000)) * time.Millisecond
		}
		s.net = append(s.net, simMsg{s.now.Add(delay), from, to, body})
	}
}

func (s *sim) beat(p *proc) {
	var epoch uint64
	if set := p.history.Current(); set != nil {
		epoch = set.Epoch
	}
	for _, q := range s.alive() {
		s.post(p, q, simBeat{epoch, p.released})
	}
}

// flush sends what the slots core of a process decided, and starts the requests that got a slot.
func (s *sim) flush(p *proc) {
	for _, e := range p.slots.Outbox() {
		if e.Msg.Kind == slots.KindRecall {
			s.recalls++
		}
		s.post(p, s.find(e.Node), e.Msg)
	}
	for _, a := range p.slots.Assigned() {
		s.grants++
		p.running[a.ID] = &simRun{a.Worker, s.now}
	}
}

func (s *sim) deliver(m simMsg) {
	p := m.to
	switch body := m.body.(type) {
	case slots.Message:
		p.slots.Receive(m.from.name, body, s.now)
	case simBeat:
		p.history.Acknowledge(m.from.name, m.from.inc, body.epoch, body.released, s.now)
	case claims.Request:
		s.post(p, m.from, simReply{body.Attempt.Seq, p.name, s.answer(p, m.from, body)})
	case simReply:
		s.replied(p, body)
	case claims.Done:
		p.table.Finish(body, s.now)
	}
}

// step advances the time and delivers what is due.
func (s *sim) step(d time.Duration) {
	s.now = s.now.Add(d)
	var due []simMsg
	s.net = slices.DeleteFunc(s.net, func(m simMsg) bool {
		if m.at.After(s.now) {
			return false
		}
		due = append(due, m)
		return true
	})
	slices.SortStableFunc(due, func(a, b simMsg) int { return a.at.Compare(b.at) })
	for _, m := range due {
		switch {
		case m.to.dead:
		case m.to.paused:
			m.to.inbox = append(m.to.inbox, m)
		default:
			s.deliver(m)
			s.flush(m.to)
		}
	}
	for _, p := range s.alive() {
		if p.paused {
			continue
		}
		p.slots.Tick(s.now)
		s.tickAttempts(p)
		if s.rng.IntN(10) == 0 {
			s.beat(p)
		}
		s.flush(p)
	}
	s.check()
}

// check compares the truth with the bound on running requests.
func (s *sim) check() {
	s.orphans = slices.DeleteFunc(s.orphans, func(r *simRun) bool { return s.now.Sub(r.start) >= simMaxRun })
	running := make(map[string]int)
	for _, r := range s.orphans {
		running[r.worker]++
	}
	for _, p := range s.procs {
		for _, r := range p.running {
			running[r.worker]++
		}
	}
	for w, n := range running {
		if n > slots.PerWorker {
			s.failf("%d requests run on %s", n, w)
		}
	}
}

// act does one random thing.
func (s *sim) act() {
	live := s.alive()
	if len(live) == 0 {
		return
	}
	p := live[s.rng.IntN(len(live))]
	switch n := s.rng.IntN(100); {
	case n < 38:
		s.request(p)
	case n < 70:
		s.end(p)
	case n < 73 && !p.paused:
		s.nextID++
		p.slots.Acquire(s.nextID, simWorkers[:1], s.now)
		p.slots.Cancel(s.nextID, s.now)
	case n < 88:
		s.apply(p, min(len(s.log), p.applied+1+s.rng.IntN(3)))
	case n < 91 && !p.paused:
		p.paused = true
	case n < 94:
		s.resume(p)
	case n < 95:
		s.kill(p)
	case n < 96 && p.joined && !p.leaving:
		p.leaving = true
	case n < 97 && len(live) < 5:
		s.start()
	default:
		s.bury()
	}
	if !p.dead && !p.paused {
		s.retire(p)
		s.flush(p)
	}
}

func (s *sim) request(p *proc) {
	if p.paused || p.leaving {
		return
	}
	s.nextID++
	order := slices.Clone(simWorkers)
	s.rng.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	p.slots.Acquire(s.nextID, order[:1+s.rng.IntN(len(order))], s.now)
}

// end ends a running request: with a complete answer, or broken while it still runs at the backend server.
func (s *sim) end(p *proc) {
	if p.paused {
		return
	}
	ids := make([]uint64, 0, len(p.running))
	for id := range p.running {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		r := p.running[id]
		if s.now.Sub(r.start) < simMaxRun && s.chance(60) {
			continue
		}
		delete(p.running, id)
		if s.lossy && s.chance(15) {
			s.orphans = append(s.orphans, r)
			p.slots.Return(r.worker, simMaxRun, s.now)
		} else {
			p.slots.Return(r.worker, 0, s.now)
		}
	}
}

func (s *sim) resume(p *proc) {
	if !p.paused {
		return
	}
	p.paused = false
	for _, m := range p.inbox {
		s.deliver(m)
	}
	p.inbox = nil
}

func (s *sim) kill(p *proc) {
	p.dead = true
	p.diedAt = s.now
	for _, r := range p.running {
		s.orphans = append(s.orphans, r)
	}
	clear(p.running)
	clear(p.attempts)
}

// start runs a new process, under a free name or that of a dead one.
func (s *sim) start() {
	name := string(rune('a' + s.rng.IntN(5)))
	if s.find(name) != nil {
		return
	}
	s.join(s.spawn(name))
}

// bury removes a dead member, as when its VM is no longer listed.
func (s *sim) bury() {
	for _, p := range s.procs {
		if p.dead && s.log[len(s.log)-1].Has(p.name, p.inc) {
			s.leave(p)
			return
		}
	}
}

// retire goes on with a graceful shutdown.
func (s *sim) retire(p *proc) {
	if !p.leaving || p.left {
		return
	}
	p.slots.Drain(s.now)
	c := p.slots.Counts()
	if !p.released && c.Held+c.InUse+c.Returning+c.Quarantined == 0 {
		p.slots.Release()
		p.released = true
		s.beat(p)
		return
	}
	if p.released && s.chance(50) {
		s.leave(p)
		s.kill(p)
	}
}
