package claims

// Attempt is the decision of a dispatching node on one attempt: which home nodes to ask, in which order, and what their
// answers mean. The home nodes are asked one after the other, so that of two concurrent attempts the one that claims at
// the first home node wins.
type Attempt struct {
	first bool
	timed bool
	homes []string // one or two
	next  int
	// asked lists the home nodes that may hold a claim of this attempt.
	asked   []string
	granted int
	covered bool // the last grant was covered
	refusal Result
	done    bool
	result  Decision
}

// NewAttempt returns the decision for an attempt under a key, given its first and second home node; the second is ""
// when there is one member.
func NewAttempt(key Key, first bool, home1, home2 string) *Attempt {
	_, timed := key.Time()
	a := &Attempt{first: first, timed: timed}
	for _, h := range []string{home1, home2} {
		if h != "" {
			a.homes = append(a.homes, h)
		}
	}
	if len(a.homes) == 0 {
		a.end(Decision{Result: ResultUnreachable})
	}
	return a
}

// Next returns the home node to ask, or "" when the decision is made.
func (a *Attempt) Next() string {
	if a.done {
		return ""
	}
	return a.homes[a.next]
}

// Asked returns the home nodes that were asked, each of which may hold a claim of this attempt.
func (a *Attempt) Asked() []string { return a.asked }

// Decision returns the decision. ok is false until it is made.
func (a *Attempt) Decision() (d Decision, ok bool) { return a.result, a.done }

// Unreachable states that the home node given by Next did not answer. It may have registered the claim all the same.
func (a *Attempt) Unreachable() {
	a.asked = append(a.asked, a.homes[a.next])
	a.unanswered(ResultUnreachable)
}

// Reply gives the answer of the home node given by Next. A stale epoch must be resolved by the caller, which starts a
// new attempt at the newer epoch.
func (a *Attempt) Reply(r Reply) {
	a.asked = append(a.asked, a.homes[a.next])
	switch r.Status {
	case StatusGranted:
		a.granted++
		a.covered = r.Covered
		a.advance()
	case StatusKnown:
		a.known(r)
	case StatusMismatch:
		a.end(Decision{Result: ResultMismatch})
	case StatusNotCovered:
		a.unanswered(ResultUncovered)
	default:
		a.unanswered(ResultUnreachable)
	}
}

func (a *Attempt) known(r Reply) {
	if r.Phase == PhaseDone {
		a.end(Decision{Result: ResultReplay, Answer: r.Answer})
		return
	}
	a.end(Decision{Result: ResultInProgress})
}

// unanswered handles a home node that neither granted nor knew the key.
func (a *Attempt) unanswered(why Result) {
	if a.refusal == 0 || why == ResultUncovered {
		a.refusal = why
	}
	if a.first {
		a.advance()
		return
	}
	// A later attempt needs the word of both home nodes. The second is still asked, since it may know the key.
	a.covered = false
	a.advance()
}

// advance goes on to the second home node, or decides after the last.
func (a *Attempt) advance() {
	if a.first && a.granted > 0 && a.covered {
		// The first home node would know of an attempt that overtook this one.
		a.end(Decision{Result: ResultGranted})
		return
	}
	a.next++
	if a.next < len(a.homes) {
		return
	}
	// A first attempt may be overtaken by a later one. A home node that does not cover the key does not know of the
	// later attempt when the home nodes changed in between, so the other home node must answer as well. A later attempt
	// under a key without a time is never covered, so it cannot have been granted, and one home node is enough.
	need := len(a.homes)
	if a.first && !a.timed {
		need = 1
	}
	if a.granted >= need {
		a.end(Decision{Result: ResultGranted})
		return
	}
	if a.refusal == 0 {
		a.refusal = ResultUnreachable
	}
	a.end(Decision{Result: a.refusal})
}

func (a *Attempt) end(d Decision) {
	a.done = true
	a.result = d
}
