package claims

import (
	"container/list"
	"time"
)

// Default bounds of a table. An entry without an answer takes about 550 bytes, so that a full table
// with its answers stays near 70 MB.
const (
	DefaultMaxClaims      = 100_000
	DefaultMaxAnswerBytes = 16 << 20
)

// AttemptID names one attempt to claim a key, across retries of its messages.
type AttemptID struct {
	Node        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Seq         uint64 `cbor:"3,keyasint"`
}

// Request asks a home node for a claim.
type Request struct {
	Key         Key         `cbor:"1,keyasint"`
	Fingerprint Fingerprint `cbor:"2,keyasint"`
	First       bool        `cbor:"3,keyasint,omitempty"` // the caller declared its first attempt
	Epoch       uint64      `cbor:"4,keyasint"`
	Attempt     AttemptID   `cbor:"5,keyasint"`
}

// Status is a home node's answer to a Request.
type Status uint8

// The answers of a home node.
const (
	StatusGranted    Status = 1
	StatusKnown      Status = 2 // another attempt is claimed, done or unknown
	StatusMismatch   Status = 3 // known with another fingerprint
	StatusNotCovered Status = 4 // not known, but this node does not cover it
	StatusStale      Status = 5 // the two nodes are at different epochs
	StatusFull       Status = 6 // the table is full
	StatusUnsettled  Status = 7 // homes of an earlier epoch may still grant the key
)

// Reply is a home node's answer with its details.
type Reply struct {
	Status Status  `cbor:"1,keyasint"`
	Phase  Phase   `cbor:"2,keyasint,omitempty"` // when known
	Answer *Answer `cbor:"3,keyasint,omitempty"` // when known, done and stored
	// Covered states that this node would know of every earlier attempt that was registered with it.
	Covered bool   `cbor:"4,keyasint,omitempty"`
	Epoch   uint64 `cbor:"5,keyasint,omitempty"`
}

// Done reports the end of an attempt to a home node. Phase 0 withdraws a claim that was not used: the home node returns
// to what it knew before.
type Done struct {
	Key         Key         `cbor:"1,keyasint"`
	Fingerprint Fingerprint `cbor:"2,keyasint"`
	Attempt     AttemptID   `cbor:"3,keyasint"`
	Phase       Phase       `cbor:"4,keyasint,omitempty"`
	Answer      *Answer     `cbor:"5,keyasint,omitempty"`
}

// Coverage is what a node knows about its duty as a home of a key.
type Coverage struct {
	// HomeSince is when this node knew that every member was at an epoch that makes it a home of the key, without
	// interruption since; Known is false when there is no such time.
	HomeSince time.Time
	Known     bool
	// Settled is false while homes of an earlier epoch may still grant the key.
	Settled bool
	// Replaced states that other nodes, none of which is a home now, may have granted the key since it was made. A later
	// attempt may then have overtaken the first one unknown to the homes of now.
	Replaced bool
}

// Covers tells whether every attempt under the key since it was made would be in this node's table. That holds for a
// key whose time is later than both the start of the duty and the horizon. A key without a time, or one older than the
// horizon, may have been used by an attempt whose claim was dropped since, so it is never covered.
func (c Coverage) Covers(k Key, now time.Time) bool {
	t, ok := k.Time()
	if !ok || !c.Known {
		return false
	}
	t = t.Add(-ClockSkew)
	return !t.Before(c.HomeSince) && !t.Before(now.Add(-Horizon))
}

// claim is an entry of the table.
type claim struct {
	key     Key
	fp      Fingerprint
	attempt AttemptID
	phase   Phase
	// epoch and covered are those of the last grant.
	epoch   uint64
	covered bool
	// before is the phase to return to when the attempt is withdrawn, 0 for none.
	before  Phase
	answer  *Answer
	updated time.Time
	aged    *list.Element // in Table.byAge
	stored  *list.Element // in Table.byAnswer, nil without an answer
}

// Table holds the claims for which a node is a home. It is bounded: when the answers take too much memory, the oldest
// are dropped; a claim itself is never dropped before its horizon, and a full table refuses new ones.
type Table struct {
	maxClaims   int
	maxBytes    int
	claims      map[Key]*claim
	byAge       *list.List // of *claim, oldest update first
	byAnswer    *list.List // of *claim with an answer, oldest first
	answerBytes int
}

// NewTable returns an empty table. Bounds of 0 are replaced by the defaults.
func NewTable(maxClaims, maxAnswerBytes int) *Table {
	if maxClaims <= 0 {
		maxClaims = DefaultMaxClaims
	}
	if maxAnswerBytes <= 0 {
		maxAnswerBytes = DefaultMaxAnswerBytes
	}
	return &Table{
		maxClaims: maxClaims,
		maxBytes:  maxAnswerBytes,
		claims:    make(map[Key]*claim),
		byAge:     list.New(),
		byAnswer:  list.New(),
	}
}

// Len returns the number of claims.
func (t *Table) Len() int { return len(t.claims) }

// AnswerBytes returns the bytes of stored answers.
func (t *Table) AnswerBytes() int { return t.answerBytes }

// Claim decides on a request by check-and-set. The caller has compared the epochs.
func (t *Table) Claim(r Request, cov Coverage, now time.Time) Reply {
	t.Expire(now)
	covered := cov.Covers(r.Key, now)
	c := t.claims[r.Key]
	if c == nil {
		return t.claimNew(r, cov, covered, now)
	}
	if c.fp != r.Fingerprint {
		return Reply{Status: StatusMismatch, Phase: c.phase}
	}
	if c.phase == PhaseClaimed && c.attempt == r.Attempt {
		return c.again(r, cov, covered)
	}
	if c.phase != PhaseNotRun || c.attempt == r.Attempt {
		return Reply{Status: StatusKnown, Phase: c.phase, Answer: c.answer}
	}
	if !cov.Settled {
		return Reply{Status: StatusUnsettled}
	}
	// An attempt that ended as not-run accounts for the attempts before it. It accounts for those after it only when
	// they all came to this node.
	complete := covered || (cov.Known && !c.updated.Before(cov.HomeSince))
	if !r.First && !complete {
		return Reply{Status: StatusNotCovered}
	}
	c.before = PhaseNotRun
	c.phase = PhaseClaimed
	c.attempt = r.Attempt
	c.epoch, c.covered = r.Epoch, complete
	t.touch(c, now)
	return Reply{Status: StatusGranted, Covered: complete}
}

// again answers an attempt that already holds the claim: its answer was lost, or the epoch moved and it asks the home
// nodes of the new one. What this node covered at the old epoch does not count at the new one.
func (c *claim) again(r Request, cov Coverage, covered bool) Reply {
	if r.Epoch == c.epoch {
		return Reply{Status: StatusGranted, Covered: c.covered}
	}
	if !r.First && !covered {
		return Reply{Status: StatusNotCovered}
	}
	if !cov.Settled || (cov.Replaced && !covered) {
		return Reply{Status: StatusUnsettled}
	}
	c.epoch, c.covered = r.Epoch, covered
	return Reply{Status: StatusGranted, Covered: covered}
}

func (t *Table) claimNew(r Request, cov Coverage, covered bool, now time.Time) Reply {
	if !cov.Settled {
		return Reply{Status: StatusUnsettled}
	}
	if !r.First && !covered {
		return Reply{Status: StatusNotCovered}
	}
	if cov.Replaced && !covered {
		return Reply{Status: StatusUnsettled}
	}
	if len(t.claims) >= t.maxClaims {
		return Reply{Status: StatusFull}
	}
	t.insert(&claim{
		key: r.Key, fp: r.Fingerprint, attempt: r.Attempt, phase: PhaseClaimed, epoch: r.Epoch, covered: covered,
	}, now)
	return Reply{Status: StatusGranted, Covered: covered}
}

// Finish records the end of an attempt. It may arrive before the request of the same attempt, or without it.
func (t *Table) Finish(d Done, now time.Time) {
	t.Expire(now)
	c := t.claims[d.Key]
	if c == nil {
		t.finishNew(d, now)
		return
	}
	if c.fp != d.Fingerprint {
		return
	}
	owner := c.attempt == d.Attempt && c.phase == PhaseClaimed
	switch d.Phase {
	case 0:
		if owner {
			t.withdraw(c, now)
		}
		return
	case PhaseNotRun:
		if !owner {
			return
		}
	case PhaseUnknown:
		if c.phase == PhaseDone {
			return
		}
	case PhaseDone:
		if c.phase == PhaseDone {
			return
		}
	default:
		return
	}
	c.phase = d.Phase
	c.attempt = d.Attempt
	c.before = 0
	t.touch(c, now)
	t.store(c, d)
}

func (t *Table) finishNew(d Done, now time.Time) {
	if d.Phase != PhaseNotRun && d.Phase != PhaseDone && d.Phase != PhaseUnknown {
		return
	}
	if len(t.claims) >= t.maxClaims {
		return
	}
	c := &claim{key: d.Key, fp: d.Fingerprint, attempt: d.Attempt, phase: d.Phase}
	t.insert(c, now)
	t.store(c, d)
}

// withdraw returns a claim to what was known before its attempt.
func (t *Table) withdraw(c *claim, now time.Time) {
	if c.before == 0 {
		t.remove(c)
		return
	}
	c.phase = c.before
	c.before = 0
	t.touch(c, now)
}

// Expire drops the claims whose horizon has passed.
func (t *Table) Expire(now time.Time) {
	for e := t.byAge.Front(); e != nil; e = t.byAge.Front() {
		c := e.Value.(*claim)
		if now.Sub(c.updated) < Horizon {
			return
		}
		t.remove(c)
	}
}

func (t *Table) insert(c *claim, now time.Time) {
	c.updated = now
	c.aged = t.byAge.PushBack(c)
	t.claims[c.key] = c
}

func (t *Table) touch(c *claim, now time.Time) {
	c.updated = now
	t.byAge.MoveToBack(c.aged)
}

func (t *Table) remove(c *claim) {
	t.dropAnswer(c)
	t.byAge.Remove(c.aged)
	delete(t.claims, c.key)
}

// store keeps the answer of a claim that is done, and drops older answers when there is no room.
func (t *Table) store(c *claim, d Done) {
	t.dropAnswer(c)
	if d.Phase != PhaseDone || d.Answer == nil {
		return
	}
	size := d.Answer.size()
	if len(d.Answer.Body) > MaxStoredAnswerBytes || size > t.maxBytes {
		return
	}
	for t.answerBytes+size > t.maxBytes {
		t.dropAnswer(t.byAnswer.Front().Value.(*claim))
	}
	c.answer = d.Answer
	c.stored = t.byAnswer.PushBack(c)
	t.answerBytes += size
}

func (t *Table) dropAnswer(c *claim) {
	if c.stored == nil {
		return
	}
	t.answerBytes -= c.answer.size()
	t.byAnswer.Remove(c.stored)
	c.stored = nil
	c.answer = nil
}

// size returns the approximate memory of an answer in bytes.
func (a *Answer) size() int {
	const headerOverhead = 48 // string header and slice slot of one value
	n := len(a.Body)
	for name, values := range a.Headers {
		n += len(name) + headerOverhead
		for _, v := range values {
			n += len(v) + headerOverhead
		}
	}
	return n
}
