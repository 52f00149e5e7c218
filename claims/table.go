package claims

import (
	"container/list"
	"time"
)

// Default limits of a table. A full table including its responses takes about 70 MB.
const (
	DefaultMaxClaims        = 100_000
	DefaultMaxResponseBytes = 16 << 20
)

const (
	// claimBytes is the memory that an entry without a response takes.
	claimBytes = 550
	// responseDivisor is the part of a table's memory, as its inverse, that is for responses.
	responseDivisor = 4
)

// LimitsFor returns the limits of a table that takes at most memory bytes. They are at most the defaults.
func LimitsFor(memory int64) (maxClaims, maxResponseBytes int) {
	responses := memory / responseDivisor
	return int(min(DefaultMaxClaims, (memory-responses)/claimBytes)), int(min(DefaultMaxResponseBytes, responses))
}

// AttemptID identifies one attempt to claim a key. Retransmitted messages of an attempt carry the same identifier.
type AttemptID struct {
	Node        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Seq         uint64 `cbor:"3,keyasint"`
}

// Request is a request for a claim, sent to a home node.
type Request struct {
	Key         Key         `cbor:"1,keyasint"`
	Fingerprint Fingerprint `cbor:"2,keyasint"`
	First       bool        `cbor:"3,keyasint,omitempty"` // the caller declared this to be its first attempt
	Epoch       uint64      `cbor:"4,keyasint"`
	Attempt     AttemptID   `cbor:"5,keyasint"`
}

// Status is the status in the reply of a home node.
type Status uint8

// The statuses of a reply.
const (
	StatusGranted            Status = 1
	StatusKnown              Status = 2 // another attempt holds the claim, or has ended as done or unknown
	StatusMismatch           Status = 3 // the key is known with a different fingerprint
	StatusNotCovered         Status = 4 // an earlier attempt that this node does not know of cannot be ruled out
	StatusStale              Status = 5 // the dispatching node and the home node disagree on the epoch or the membership
	StatusFull               Status = 6 // the table is full
	StatusEarlierHomesActive Status = 7 // home nodes of an earlier epoch may have granted the key, or may still grant it
)

// Reply is the reply of a home node to a Request.
type Reply struct {
	Status   Status          `cbor:"1,keyasint"`
	Phase    Phase           `cbor:"2,keyasint,omitempty"` // if Status is StatusKnown or StatusMismatch
	Response *StoredResponse `cbor:"3,keyasint,omitempty"` // if the phase is PhaseDone and the response is stored
	// Covered reports that this node would know of every earlier attempt that was registered with it.
	Covered bool   `cbor:"4,keyasint,omitempty"`
	Epoch   uint64 `cbor:"5,keyasint,omitempty"`
}

// Outcome reports the end of an attempt to a home node. A Phase of zero withdraws a claim that was not used: the home
// node removes a claim that the attempt created, and otherwise restores its previous phase.
type Outcome struct {
	Key         Key             `cbor:"1,keyasint"`
	Fingerprint Fingerprint     `cbor:"2,keyasint"`
	Attempt     AttemptID       `cbor:"3,keyasint"`
	Phase       Phase           `cbor:"4,keyasint,omitempty"`
	Response    *StoredResponse `cbor:"5,keyasint,omitempty"`
}

// Coverage describes what a home node of a key can know about earlier attempts with the key.
type Coverage struct {
	// HomeSince is the time at which this node first knew that every member had reached an epoch that makes it a home
	// node of the key, provided that it has been one without interruption since. Known is false if there is no such
	// time.
	HomeSince time.Time
	Known     bool
	// EarlierHomesInactive is false while home nodes of an earlier epoch may still grant the key.
	EarlierHomesInactive bool
	// HomesReplaced reports that nodes, none of which is a home node now, may have granted the key since it was
	// created. A later attempt may then have run before the first one without the current home nodes knowing of it.
	HomesReplaced bool
}

// Covers reports whether this node's table would contain every attempt made with the key. This holds for a key whose
// time, less the clock skew, is neither before HomeSince nor older than the horizon. An untimed key, or one older
// than the horizon, may have been used by an attempt whose claim has expired, so it is never covered.
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
	key         Key
	fingerprint Fingerprint
	attempt     AttemptID
	phase       Phase
	// epoch and covered belong to the most recent grant.
	epoch   uint64
	covered bool
	// previousPhase is the phase to restore when the attempt is withdrawn, or zero if the claim did not exist before.
	previousPhase   Phase
	answer          *StoredResponse
	updated         time.Time
	ageElement      *list.Element // in Table.byAge
	responseElement *list.Element // in Table.byResponse, nil without a response
}

// Table holds the claims for which a node is a home node. Its size is limited. When stored responses exceed their
// limit, the oldest responses are dropped. A claim is never dropped before its horizon, so a full table refuses new
// claims.
type Table struct {
	maxClaims     int
	maxBytes      int
	claims        map[Key]*claim
	byAge         *list.List // of *claim, oldest update first
	byResponse    *list.List // of *claim with a response, oldest first
	responseBytes int
}

// NewTable returns an empty table. A limit of zero selects the default.
func NewTable(maxClaims, maxAnswerBytes int) *Table {
	if maxClaims <= 0 {
		maxClaims = DefaultMaxClaims
	}
	if maxAnswerBytes <= 0 {
		maxAnswerBytes = DefaultMaxResponseBytes
	}
	return &Table{
		maxClaims:  maxClaims,
		maxBytes:   maxAnswerBytes,
		claims:     make(map[Key]*claim),
		byAge:      list.New(),
		byResponse: list.New(),
	}
}

// Len returns the number of claims.
func (t *Table) Len() int { return len(t.claims) }

// ResponseBytes returns the approximate memory taken by stored responses, in bytes.
func (t *Table) ResponseBytes() int { return t.responseBytes }

// Claim grants or refuses a request by check-and-set. The caller has already checked that the epochs match.
func (t *Table) Claim(r Request, cov Coverage, now time.Time) Reply {
	t.Expire(now)
	covered := cov.Covers(r.Key, now)
	c := t.claims[r.Key]
	if c == nil {
		return t.claimNew(r, cov, covered, now)
	}
	if c.fingerprint != r.Fingerprint {
		return Reply{Status: StatusMismatch, Phase: c.phase}
	}
	if c.phase == PhaseClaimed && c.attempt == r.Attempt {
		return c.regrant(r, cov, covered)
	}
	if c.phase != PhaseNotRun || c.attempt == r.Attempt {
		return Reply{Status: StatusKnown, Phase: c.phase, Response: c.answer}
	}
	if !cov.EarlierHomesInactive {
		return Reply{Status: StatusEarlierHomesActive}
	}
	// An attempt that ended as not-run rules out that an attempt before it has run. Attempts after it are ruled out
	// only if all of them would have come to this node.
	complete := covered || (cov.Known && !c.updated.Before(cov.HomeSince))
	if !r.First && !complete {
		return Reply{Status: StatusNotCovered}
	}
	c.previousPhase = PhaseNotRun
	c.phase = PhaseClaimed
	c.attempt = r.Attempt
	c.epoch, c.covered = r.Epoch, complete
	t.touch(c, now)
	return Reply{Status: StatusGranted, Covered: complete}
}

// regrant answers an attempt that already holds the claim, either because the earlier reply was lost or because the
// epoch changed and the attempt asks the home nodes of the new epoch. Coverage at the old epoch does not carry over
// to the new one.
func (c *claim) regrant(r Request, cov Coverage, covered bool) Reply {
	if r.Epoch == c.epoch {
		return Reply{Status: StatusGranted, Covered: c.covered}
	}
	if !r.First && !covered {
		return Reply{Status: StatusNotCovered}
	}
	if !cov.EarlierHomesInactive || (cov.HomesReplaced && !covered) {
		return Reply{Status: StatusEarlierHomesActive}
	}
	c.epoch, c.covered = r.Epoch, covered
	return Reply{Status: StatusGranted, Covered: covered}
}

func (t *Table) claimNew(r Request, cov Coverage, covered bool, now time.Time) Reply {
	if !cov.EarlierHomesInactive {
		return Reply{Status: StatusEarlierHomesActive}
	}
	if !r.First && !covered {
		return Reply{Status: StatusNotCovered}
	}
	if cov.HomesReplaced && !covered {
		return Reply{Status: StatusEarlierHomesActive}
	}
	if len(t.claims) >= t.maxClaims {
		return Reply{Status: StatusFull}
	}
	t.insert(&claim{
		key: r.Key, fingerprint: r.Fingerprint, attempt: r.Attempt, phase: PhaseClaimed, epoch: r.Epoch, covered: covered,
	}, now)
	return Reply{Status: StatusGranted, Covered: covered}
}

// Finish records the end of an attempt. The outcome may arrive before the request of the same attempt, or without it.
func (t *Table) Finish(outcome Outcome, now time.Time) {
	t.Expire(now)
	c := t.claims[outcome.Key]
	if c == nil {
		t.insertFinished(outcome, now)
		return
	}
	if c.fingerprint != outcome.Fingerprint {
		return
	}
	holdsClaim := c.attempt == outcome.Attempt && c.phase == PhaseClaimed
	switch outcome.Phase {
	case 0:
		if holdsClaim {
			t.withdraw(c, now)
		}
		return
	case PhaseNotRun:
		if !holdsClaim {
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
	c.phase = outcome.Phase
	c.attempt = outcome.Attempt
	c.previousPhase = 0
	t.touch(c, now)
	t.storeResponse(c, outcome)
}

func (t *Table) insertFinished(outcome Outcome, now time.Time) {
	if outcome.Phase != PhaseNotRun && outcome.Phase != PhaseDone && outcome.Phase != PhaseUnknown {
		return
	}
	if len(t.claims) >= t.maxClaims {
		return
	}
	c := &claim{key: outcome.Key, fingerprint: outcome.Fingerprint, attempt: outcome.Attempt, phase: outcome.Phase}
	t.insert(c, now)
	t.storeResponse(c, outcome)
}

// withdraw ends the current attempt of a claim without an outcome. It removes a claim that the attempt created, and
// otherwise sets the phase back to previousPhase.
func (t *Table) withdraw(c *claim, now time.Time) {
	if c.previousPhase == 0 {
		t.remove(c)
		return
	}
	c.phase = c.previousPhase
	c.previousPhase = 0
	t.touch(c, now)
}

// Expire removes the claims that have not been updated for the length of Horizon.
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
	c.ageElement = t.byAge.PushBack(c)
	t.claims[c.key] = c
}

func (t *Table) touch(c *claim, now time.Time) {
	c.updated = now
	t.byAge.MoveToBack(c.ageElement)
}

func (t *Table) remove(c *claim) {
	t.dropResponse(c)
	t.byAge.Remove(c.ageElement)
	delete(t.claims, c.key)
}

// storeResponse stores the response of a completed claim, and drops the oldest stored responses to make room for it.
func (t *Table) storeResponse(c *claim, outcome Outcome) {
	t.dropResponse(c)
	if outcome.Phase != PhaseDone || outcome.Response == nil {
		return
	}
	size := outcome.Response.size()
	if len(outcome.Response.Body) > MaxStoredResponseBytes || size > t.maxBytes {
		return
	}
	for t.responseBytes+size > t.maxBytes {
		t.dropResponse(t.byResponse.Front().Value.(*claim))
	}
	c.answer = outcome.Response
	c.responseElement = t.byResponse.PushBack(c)
	t.responseBytes += size
}

func (t *Table) dropResponse(c *claim) {
	if c.responseElement == nil {
		return
	}
	t.responseBytes -= c.answer.size()
	t.byResponse.Remove(c.responseElement)
	c.responseElement = nil
	c.answer = nil
}

// size returns the approximate memory taken by a stored response, in bytes.
func (a *StoredResponse) size() int {
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
