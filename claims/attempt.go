package claims

// Attempt is the state machine of a dispatching node for one attempt. It determines which home nodes to ask and in
// which order, and derives the decision from their replies. The home nodes are asked one after the other, so that of
// two concurrent attempts, the one that claims the key at the first home node wins.
type Attempt struct {
	first      bool
	keyHasTime bool
	homes      []string // one or two home nodes, in the order in which they are asked
	nextHome   int
	// asked lists the home nodes that may hold a claim of this attempt.
	asked    []string
	grants   int
	covered  bool // whether the last grant was covered
	refusal  Result
	decided  bool
	decision Decision
}

// NewAttempt returns the state machine for an attempt with a key, given the first and second home node of the key.
// home2 is empty when there is only one member.
func NewAttempt(key Key, first bool, home1, home2 string) *Attempt {
	_, keyHasTime := key.Time()
	a := &Attempt{first: first, keyHasTime: keyHasTime}
	for _, h := range []string{home1, home2} {
		if h != "" {
			a.homes = append(a.homes, h)
		}
	}
	if len(a.homes) == 0 {
		a.decide(Decision{Result: ResultUndecided})
	}
	return a
}

// Next returns the home node to ask, or "" once the decision is made.
func (a *Attempt) Next() string {
	if a.decided {
		return ""
	}
	return a.homes[a.nextHome]
}

// Asked returns the home nodes that have been asked. Each of them may hold a claim of this attempt.
func (a *Attempt) Asked() []string { return a.asked }

// Decision returns the decision. ok is false until the decision is made.
func (a *Attempt) Decision() (d Decision, ok bool) { return a.decision, a.decided }

// HandleUnreachable records that the home node returned by Next did not reply. The node may still have registered the
// claim.
func (a *Attempt) HandleUnreachable() {
	a.asked = append(a.asked, a.homes[a.nextHome])
	a.handleNoGrant(ResultUndecided)
}

// HandleReply processes the reply of the home node returned by Next. The caller must handle StatusStale itself and start
// a new attempt at the newer epoch.
func (a *Attempt) HandleReply(r Reply) {
	a.asked = append(a.asked, a.homes[a.nextHome])
	switch r.Status {
	case StatusGranted:
		a.grants++
		a.covered = r.Covered
		a.advance()
	case StatusKnown:
		a.handleKnown(r)
	case StatusMismatch:
		a.decide(Decision{Result: ResultMismatch})
	case StatusNotCovered:
		a.handleNoGrant(ResultUncovered)
	default:
		a.handleNoGrant(ResultUndecided)
	}
}

func (a *Attempt) handleKnown(r Reply) {
	if r.Phase == PhaseDone {
		a.decide(Decision{Result: ResultReplay, Response: r.Response})
		return
	}
	a.decide(Decision{Result: ResultInProgress})
}

// handleNoGrant handles a home node that neither granted the claim nor knew the key. It records why, and
// ResultUncovered takes precedence over ResultUndecided.
func (a *Attempt) handleNoGrant(why Result) {
	if a.refusal == 0 || why == ResultUncovered {
		a.refusal = why
	}
	if a.first {
		a.advance()
		return
	}
	// A later attempt needs a grant from both home nodes. The second home node is still asked, because it may know the
	// key.
	a.covered = false
	a.advance()
}

// advance proceeds to the second home node, or makes the decision if there is none left to ask.
func (a *Attempt) advance() {
	if a.first && a.grants > 0 && a.covered {
		// The home node covers the key, so it would know of a later attempt that ran before this one.
		a.decide(Decision{Result: ResultGranted})
		return
	}
	a.nextHome++
	if a.nextHome < len(a.homes) {
		return
	}
	// A later attempt may have been granted before this first attempt. If the home nodes changed in between, a home
	// node that does not cover the key may not know of that attempt, so the other home node must grant as well. With an
	// untimed key, a home node that does not know the key never grants a later attempt, so one home node is enough.
	required := len(a.homes)
	if a.first && !a.keyHasTime {
		required = 1
	}
	if a.grants >= required {
		a.decide(Decision{Result: ResultGranted})
		return
	}
	if a.refusal == 0 {
		a.refusal = ResultUndecided
	}
	a.decide(Decision{Result: a.refusal})
}

func (a *Attempt) decide(d Decision) {
	a.decided = true
	a.decision = d
}
