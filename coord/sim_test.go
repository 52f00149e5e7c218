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

// The simulation runs the state machines of several nodes in simulated time, with a log of membership records and a
// network that loses, duplicates, delays and reorders messages. It also records the actual state of the system, which
// no node sees: the requests that run on each worker and the attempts that were granted.

const (
	simStep   = 100 * time.Millisecond
	simMaxRun = 3 * time.Second
)

var simWorkers = []string{"w1", "w2", "w3"}

// simProcess is one process, that is, one incarnation of a node.
type simProcess struct {
	name        string
	incarnation uint64
	history     *membership.History
	slots       *slots.Node
	table       *claims.Table
	applied     int // number of log entries that the process has applied
	paused      bool
	dead        bool
	leaving     bool
	released    bool
	joined      bool
	left        bool
	diedAt      time.Time
	inbox       []simMsg // messages received while paused
	running     map[uint64]*simRun
	attempts    map[uint64]*simAttempt
}

// simRun is a request that runs on a worker. It ends within simMaxRun of its start, even if its node dies.
type simRun struct {
	worker string
	start  time.Time
}

type simMsg struct {
	at   time.Time
	from *simProcess
	to   *simProcess
	body any // slots.Message, simHeartbeat, claims.Request, simReply or claims.Outcome
}

type simHeartbeat struct {
	epoch    uint64
	released bool
}

type sim struct {
	rng          *rand.Rand
	now          time.Time
	log          []*membership.Set
	procs        []*simProcess
	network      []simMsg
	lossy        bool
	nextID       uint64
	orphanedRuns []*simRun // runs whose process died or whose connection broke
	keys         []*simKey
	err          error
	// counters that show whether the schedules reach the interesting cases
	grants, recalls, removals int
	results                   [8]int
}

func newSim(seed int64) *sim {
	s := &sim{rng: rand.New(rand.NewPCG(uint64(seed), 1)), now: time.Unix(1_700_000_000, 0), lossy: true}
	s.log = []*membership.Set{membership.NewSet(0, nil)}
	for i := range 2 + s.rng.IntN(3) {
		p := s.newProcess(string(rune('a' + i)))
		s.join(p)
		if s.rng.IntN(2) == 0 {
			s.applyLog(p, len(s.log))
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

// newProcess starts a process. It applies the newest state first, like a node that has caught up with the log.
func (s *sim) newProcess(name string) *simProcess {
	s.nextID++
	p := &simProcess{
		name: name, incarnation: s.nextID, history: membership.NewHistory(name, s.nextID),
		slots: slots.NewNode(name, simMaxRun), table: claims.NewTable(200, 1<<16),
		running: make(map[uint64]*simRun), attempts: make(map[uint64]*simAttempt),
	}
	s.procs = append(s.procs, p)
	s.applyLog(p, len(s.log))
	return p
}

func (s *sim) members() []statelog.Member { return s.log[len(s.log)-1].Members }

func (s *sim) appendSet(members []statelog.Member) {
	s.log = append(s.log, membership.NewSet(uint64(len(s.log))*10, members))
}

func (s *sim) join(p *simProcess) {
	p.joined = true
	members := slices.DeleteFunc(slices.Clone(s.members()), func(m statelog.Member) bool { return m.Node == p.name })
	s.appendSet(append(members, statelog.Member{Node: p.name, Incarnation: p.incarnation}))
}

func (s *sim) leave(p *simProcess) {
	p.left = true
	s.removals++
	s.appendSet(slices.DeleteFunc(slices.Clone(s.members()), func(m statelog.Member) bool {
		return m.Node == p.name && m.Incarnation == p.incarnation
	}))
}

// applyLog advances a process to a log position. Several log entries at once are observed as a single change.
func (s *sim) applyLog(p *simProcess, upTo int) {
	if upTo <= p.applied {
		return
	}
	set := s.log[upTo-1]
	p.applied = upTo
	if p.history.Observe(set, s.now) {
		p.slots.SetEpoch(set, p.history.Gap(), p.history.Member(), p.history.Released, s.now)
		s.sendHeartbeats(p)
	}
}

func (s *sim) alive() []*simProcess {
	return slices.DeleteFunc(slices.Clone(s.procs), func(p *simProcess) bool { return p.dead })
}

func (s *sim) findLive(name string) *simProcess {
	for _, p := range s.procs {
		if p.name == name && !p.dead {
			return p
		}
	}
	return nil
}

// transmit sends a message through the network, which may lose, duplicate, delay and reorder it.
func (s *sim) transmit(from, to *simProcess, body any) {
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
		s.network = append(s.network, simMsg{s.now.Add(delay), from, to, body})
	}
}

func (s *sim) sendHeartbeats(p *simProcess) {
	var epoch uint64
	if set := p.history.Current(); set != nil {
		epoch = set.Epoch
	}
	for _, q := range s.alive() {
		s.transmit(p, q, simHeartbeat{epoch, p.released})
	}
}

// flushSlots sends the messages that the slots state machine of a process produced, and starts the requests that were
// assigned a slot.
func (s *sim) flushSlots(p *simProcess) {
	for _, e := range p.slots.Outbox() {
		if e.Msg.Kind == slots.KindRecall {
			s.recalls++
		}
		s.transmit(p, s.findLive(e.Node), e.Msg)
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
	case simHeartbeat:
		p.history.Acknowledge(m.from.name, m.from.incarnation, body.epoch, body.released, s.now)
	case claims.Request:
		s.transmit(p, m.from, simReply{body.Attempt.Seq, p.name, s.claimAsHome(p, m.from, body)})
	case simReply:
		s.handleReply(p, body)
	case claims.Outcome:
		p.table.Finish(body, s.now)
	}
}

// step advances the simulated time, delivers the messages that are due and runs the periodic work of all processes.
func (s *sim) step(d time.Duration) {
	s.now = s.now.Add(d)
	var due []simMsg
	s.network = slices.DeleteFunc(s.network, func(m simMsg) bool {
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
			s.flushSlots(m.to)
		}
	}
	for _, p := range s.alive() {
		if p.paused {
			continue
		}
		p.slots.Tick(s.now)
		s.tickAttempts(p)
		if s.rng.IntN(10) == 0 {
			s.sendHeartbeats(p)
		}
		s.flushSlots(p)
	}
	s.checkWorkerLimit()
}

// checkWorkerLimit checks that no worker runs more requests than it has slots.
func (s *sim) checkWorkerLimit() {
	s.orphanedRuns = slices.DeleteFunc(s.orphanedRuns, func(r *simRun) bool { return s.now.Sub(r.start) >= simMaxRun })
	running := make(map[string]int)
	for _, r := range s.orphanedRuns {
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

// randomEvent applies one random event to a random live process.
func (s *sim) randomEvent() {
	live := s.alive()
	if len(live) == 0 {
		return
	}
	p := live[s.rng.IntN(len(live))]
	switch n := s.rng.IntN(100); {
	case n < 38:
		s.requestSlot(p)
	case n < 70:
		s.endRequests(p)
	case n < 73 && !p.paused:
		s.nextID++
		p.slots.Acquire(s.nextID, simWorkers[:1], s.now)
		p.slots.Cancel(s.nextID, s.now)
	case n < 88:
		s.applyLog(p, min(len(s.log), p.applied+1+s.rng.IntN(3)))
	case n < 91 && !p.paused:
		p.paused = true
	case n < 94:
		s.resume(p)
	case n < 95:
		s.kill(p)
	case n < 96 && p.joined && !p.leaving:
		p.leaving = true
	case n < 97 && len(live) < 5:
		s.startProcess()
	default:
		s.removeDeadMember()
	}
	if !p.dead && !p.paused {
		s.advanceShutdown(p)
		s.flushSlots(p)
	}
}

func (s *sim) requestSlot(p *simProcess) {
	if p.paused || p.leaving {
		return
	}
	s.nextID++
	order := slices.Clone(simWorkers)
	s.rng.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	p.slots.Acquire(s.nextID, order[:1+s.rng.IntN(len(order))], s.now)
}

// endRequests ends some running requests of a process, either with a complete answer or with a broken connection
// while the request still runs on the backend server. Requests that have reached simMaxRun always end.
func (s *sim) endRequests(p *simProcess) {
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
			s.orphanedRuns = append(s.orphanedRuns, r)
			p.slots.Return(r.worker, simMaxRun, s.now)
		} else {
			p.slots.Return(r.worker, 0, s.now)
		}
	}
}

func (s *sim) resume(p *simProcess) {
	if !p.paused {
		return
	}
	p.paused = false
	for _, m := range p.inbox {
		s.deliver(m)
	}
	p.inbox = nil
}

func (s *sim) kill(p *simProcess) {
	p.dead = true
	p.diedAt = s.now
	for _, r := range p.running {
		s.orphanedRuns = append(s.orphanedRuns, r)
	}
	clear(p.running)
	clear(p.attempts)
}

// startProcess starts a process under a random name, unless a live process has that name.
func (s *sim) startProcess() {
	name := string(rune('a' + s.rng.IntN(5)))
	if s.findLive(name) != nil {
		return
	}
	s.join(s.newProcess(name))
}

// removeDeadMember removes one dead member, as happens when its VM is no longer listed.
func (s *sim) removeDeadMember() {
	for _, p := range s.procs {
		if p.dead && s.log[len(s.log)-1].Has(p.name, p.incarnation) {
			s.leave(p)
			return
		}
	}
}

// advanceShutdown advances the graceful shutdown of a process that is leaving.
func (s *sim) advanceShutdown(p *simProcess) {
	if !p.leaving || p.left {
		return
	}
	p.slots.Drain(s.now)
	c := p.slots.Counts()
	if !p.released && c.Held+c.InUse+c.Returning+c.Quarantined == 0 {
		p.slots.CloseHome()
		p.released = true
		s.sendHeartbeats(p)
		return
	}
	if p.released && s.chance(50) {
		s.leave(p)
		s.kill(p)
	}
}
