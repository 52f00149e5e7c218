package job

import (
	"fmt"
	"math"
	"time"

	"github.com/berylwharf/berylwharf/quota"
)

const (
	// yieldDuration is how long other jobs of a customer yield to a held-up unit after it was last reported. It covers several
	// rounds of the allocator, so that one lost call does not end it.
	yieldDuration = 700 * time.Millisecond
	// quotaEventInterval is the minimum time between events about one customer.
	quotaEventInterval = 5 * time.Second
	// firstReportTime is the time after a takeover by which all workers that answer have reported once.
	firstReportTime = 500 * time.Millisecond
)

// quotaState is what the pool knows about the caps of the customers.
type quotaState struct {
	version int64                   // of the configuration that set caps
	caps    map[string]quota.Amount // limits of the customers with a cap
	ledger  *quota.Ledger
	// limited is false if no customer has a cap, which makes all checks trivial.
	limited bool
	now     time.Duration // time of the current pass
	uses    map[string]*customerUse
	known   bool // this owner counts all runs of earlier owners; see knowsAllRuns
	// budgetPass identifies the budgets of the current pass, which begin with the whole grant or with what is left of it.
	budgetPass  int
	budgetWhole bool
	// inheritedOver means that no task of an earlier owner can run unknown to this one.
	inheritedOver bool
	refusedAt     time.Duration // of the last event about a refused offer
}

// customerUse is what one customer has running in the pool.
type customerUse struct {
	used quota.Amount // of runs, from their order to their certain end
	late quota.Amount // of earlier starts that a later incarnation of a worker may carry out
	// inherited is of tasks that an earlier owner may have running on workers that have not reported to this one.
	inherited quota.Amount
	// heldUpJob is a job whose next unit does not fit in the grant. Until heldUntil, the customer's other jobs start nothing.
	heldUpJob string
	heldUntil time.Duration
	// budget is what the work counted so far in a pass leaves of the grant.
	budget     quota.Amount
	budgetPass int
	eventAt    time.Duration // of the last event that the customer is held up
}

// counted returns what counts against the grant of the customer.
func (u *customerUse) counted() quota.Amount { return u.used.Add(u.late).Add(u.inherited) }

// lateCharge is the request of a start that a later incarnation of a worker may carry out.
type lateCharge struct {
	customer string
	amount   quota.Amount
}

func newQuotaState(ownerEpoch int64) quotaState {
	return quotaState{ledger: quota.NewLedger(ownerEpoch), uses: make(map[string]*customerUse)}
}

func quotaAmount(r Resources) quota.Amount { return quota.Amount{r.CPU, r.MemMB, r.GPU}.Times(1) }

// quotaUnit returns what a start of a step needs at once: a task, or the whole gang.
func quotaUnit(s *Step) quota.Amount {
	if s.Gang {
		return quotaAmount(s.Request).Times(s.Count)
	}
	return quotaAmount(s.Request)
}

// SetCaps sets the caps of the customers from the last call to SetCustomers. Version is that of the configuration.
func (p *Pool) SetCaps(version int64) {
	p.quota.version = version
	p.quota.caps = make(map[string]quota.Amount)
	for name, limits := range p.customers {
		if limits.Cap != (Resources{}) {
			p.quota.caps[name] = quota.Limits(quota.Amount{limits.Cap.CPU, limits.Cap.MemMB, limits.Cap.GPU})
		}
	}
	p.updateLimited()
}

func (p *Pool) updateLimited() {
	p.quota.limited = len(p.quota.caps) > 0 || p.quota.ledger.Version() > p.quota.version
}

func (p *Pool) customerUse(customer string) *customerUse {
	u := p.quota.uses[customer]
	if u == nil {
		u = &customerUse{}
		p.quota.uses[customer] = u
	}
	return u
}

// chargeRun adds a run of a task to what its customer has running.
func (p *Pool) chargeRun(t *task) {
	if c := t.job.spec.Customer; c != "" {
		u := p.customerUse(c)
		u.used = u.used.Add(quotaAmount(t.step.Request))
	}
}

// dischargeRun reverts chargeRun when the run has certainly ended.
func (p *Pool) dischargeRun(t *task) {
	if c := t.job.spec.Customer; c != "" {
		u := p.customerUse(c)
		u.used = u.used.Sub(quotaAmount(t.step.Request))
	}
}

// quotaGrant returns what a customer may have running in the pool. Limited is false if the customer has no cap in the newer of
// the versions that the pool and the allocator know.
func (p *Pool) quotaGrant(customer string) (grant quota.Amount, limited bool) {
	if customer == "" {
		return quota.Amount{}, false
	}
	if p.cfg.AwaitCaps && p.quota.caps == nil && p.quota.ledger.Version() == 0 {
		return quota.Amount{}, true
	}
	if !p.quota.limited {
		return quota.Amount{}, false
	}
	grant, limited = p.quota.ledger.Grant(customer, p.quota.now)
	if p.quota.ledger.Version() <= p.quota.version {
		_, limited = p.quota.caps[customer]
	}
	return grant, limited
}

// quotaFree returns what a customer may start in the pool, which is negative if more runs than is granted.
func (p *Pool) quotaFree(customer string) (free quota.Amount, limited bool) {
	grant, limited := p.quotaGrant(customer)
	if !limited {
		return quota.Amount{}, false
	}
	u := p.customerUse(customer)
	return grant.Sub(u.counted()), true
}

// quotaRoom returns how many tasks of a step, or for a gang whether the whole gang, may start within the grant of the customer.
func (p *Pool) quotaRoom(s *Spec, step *Step) int {
	free, limited := p.quotaFree(s.Customer)
	if !limited {
		return math.MaxInt
	}
	if p.yields(s) {
		return 0
	}
	return free.Units(quotaUnit(step))
}

// yields reports whether a job must start nothing because another job of the customer waits for room in the grant.
func (p *Pool) yields(s *Spec) bool {
	u := p.customerUse(s.Customer)
	return u.heldUpJob != "" && u.heldUpJob != s.ID && p.quota.now < u.heldUntil
}

// quotaPassesOver reports whether the grant of the customer leaves no room for any unfinished step of an occurrence.
func (p *Pool) quotaPassesOver(j *jobState, o *occurrence) bool {
	free, limited := p.quotaFree(j.spec.Customer)
	if !limited {
		return false
	}
	if p.yields(j.spec) {
		return true
	}
	for i := range j.spec.Steps {
		if o.unfinished[i] > 0 && quotaUnit(&j.spec.Steps[i]).Fits(free) {
			return false
		}
	}
	return true
}

// quotaExhausted reports whether the grant of the customer leaves no room for any step of a job that arrives.
func (p *Pool) quotaExhausted(s *Spec) bool {
	free, limited := p.quotaFree(s.Customer)
	if !limited {
		return false
	}
	for i := range s.Steps {
		if quotaUnit(&s.Steps[i]).Fits(free) {
			return false
		}
	}
	return true
}

// beginQuotaBudgets begins a count of waiting work. For each customer, quotaClamp then counts work up to the whole grant or,
// if whole is false, up to what the customer's runs leave of it.
func (p *Pool) beginQuotaBudgets(whole bool) {
	p.quota.budgetPass++
	p.quota.budgetWhole = whole
}

// quotaClamp returns how many of n waiting tasks of a step count as work for the pool: those for which the work counted before
// leaves room in the grant.
func (p *Pool) quotaClamp(s *Spec, step *Step, n int) int {
	grant, limited := p.quotaGrant(s.Customer)
	if !limited || n == 0 {
		return n
	}
	u := p.customerUse(s.Customer)
	if u.budgetPass != p.quota.budgetPass {
		u.budgetPass, u.budget = p.quota.budgetPass, grant
		if !p.quota.budgetWhole {
			u.budget = grant.Sub(u.counted())
		}
	}
	unit := quotaUnit(step)
	if units := u.budget.Units(unit); units == 0 {
		return 0
	} else if !step.Gang {
		n = min(n, units)
		unit = unit.Times(n)
	}
	u.budget = u.budget.Sub(unit)
	return n
}

// refuseOverCap reports whether a job can never run, because one of its tasks or gangs is larger than the cap of its customer.
func (p *Pool) refuseOverCap(s *Spec) bool {
	limit, limited := p.quota.caps[s.Customer]
	if !limited || s.Customer == "" {
		return false
	}
	for i := range s.Steps {
		if unit := quotaUnit(&s.Steps[i]); !unit.Fits(limit) {
			p.event(Event{Kind: "job over its cap", Job: s.ID, Queue: s.Queue, Reason: fmt.Sprintf("step %d needs %v at once; %s", i, unit, p.describeQuota(s.Customer))})
			return true
		}
	}
	return false
}

// describeQuota returns the cap, grant and use of a customer for events.
func (p *Pool) describeQuota(customer string) string {
	l := p.quota.ledger
	epoch, number, age := l.Identity(p.quota.now)
	grant, _ := l.Grant(customer, p.quota.now)
	limit := "known to the allocator only"
	if c, ok := p.quota.caps[customer]; ok {
		limit = c.String()
	}
	u := p.customerUse(customer)
	return fmt.Sprintf("customer %s: configuration %d (allocator %d), cap %s, grant %d.%d of %v, %d ms old, in use %v, late starts %v, possible runs of earlier owners %v",
		customer, p.quota.version, l.Version(), limit, epoch, number, grant, age.Milliseconds(), u.used, u.late, u.inherited)
}

// explainQuota returns why the grant of the customer holds a task up, or "" if it does not.
func (p *Pool) explainQuota(t *task) string {
	if p.quotaRoom(t.job.spec, t.step) > 0 {
		return ""
	}
	return fmt.Sprintf("needs %v at once; %s", quotaUnit(t.step), p.describeQuota(t.job.spec.Customer))
}

// QuotaRound applies an offer of the allocator of caps and returns the report of the pool.
func (p *Pool) QuotaRound(o quota.Offer, now Time) quota.Report {
	p.quota.now = now.Steady
	l := p.quota.ledger
	// Whether the grant holds up work is known for the offer under which the last scheduling pass ran.
	uses := p.quotaUses(now)
	why := l.Apply(o, now.Steady)
	if why != "" && now.Steady-p.quota.refusedAt > quotaEventInterval {
		p.quota.refusedAt = now.Steady
		p.event(Event{Kind: "grant refused", Reason: fmt.Sprintf("%s: grant %d.%d, configuration %d", why, o.Epoch, o.Number, o.Version)})
	}
	p.updateLimited()
	r := l.Report(!o.Give || why != "", now.Steady)
	r.Known = p.knowsAllRuns(now)
	r.Uses = uses
	return r
}

// knowsAllRuns reports whether what this owner counts contains all runs of earlier owners. Runs on workers that have not
// reported are counted by countInherited, stray runs are not.
func (p *Pool) knowsAllRuns(now Time) bool {
	if p.quota.known || (now.Steady < p.createdAt.Steady+firstReportTime && now.Steady < p.unreportedLeasesEnd()) {
		return p.quota.known
	}
	for _, w := range p.workers {
		if len(w.strays) > 0 {
			return false
		}
	}
	p.quota.known = true
	return true
}

// quotaUses returns what each customer has running and, if it has a cap, waiting.
func (p *Pool) quotaUses(now Time) map[string]quota.Use {
	out := make(map[string]quota.Use)
	for customer, u := range p.quota.uses {
		if sum := u.counted(); !sum.Zero() {
			out[customer] = quota.Use{Used: sum}
		}
	}
	heads := make(map[string]queueHead)
	for _, j := range p.open {
		if j.spec.Customer == "" || !j.stored || j.phase != Active {
			continue
		}
		free, limited := p.quotaFree(j.spec.Customer)
		if !limited {
			continue // the allocator needs the waiting work of customers with a cap only
		}
		for _, o := range j.occurrences {
			entry := p.rank(j, o, now)
			o.addPending(func(t *task, n int) {
				h := queueHead{entry: entry, task: t, heldUp: !quotaUnit(t.step).Fits(free)}
				p.addQuotaWaiting(out, heads, h, n)
			})
		}
	}
	for customer, h := range heads {
		u := out[customer]
		u.Unit, u.Wait, u.HeldUp = quotaUnit(h.task.step), now.Steady-h.task.readySince, h.heldUp
		out[customer] = u
		p.recordHeldUp(customer, h.task, u, now)
	}
	return out
}

// queueHead is the first unit of a customer that waits: of those that the grant holds up, or else of all, the first in scheduling
// order. The one that has waited longest would often be of a job that is late in any case.
type queueHead struct {
	entry  queueEntry
	task   *task // the first of the step
	heldUp bool
}

// before reports whether a unit is ahead of another one of the same customer.
func (h queueHead) before(o queueHead) bool {
	if h.heldUp != o.heldUp {
		return h.heldUp
	}
	c := compareQueueEntries(h.entry, o.entry)
	return c < 0 || (c == 0 && h.task.id.Step < o.task.id.Step)
}

// addQuotaWaiting adds n waiting tasks of a step to the reported uses.
func (p *Pool) addQuotaWaiting(out map[string]quota.Use, heads map[string]queueHead, h queueHead, n int) {
	customer := h.task.job.spec.Customer
	if limit, ok := p.quota.caps[customer]; ok && !quotaUnit(h.task.step).Fits(limit) {
		return // no grant within the cap has room for it
	}
	u := out[customer]
	u.Waiting = u.Waiting.Add(quotaAmount(h.task.step.Request).Times(n))
	out[customer] = u
	if first, ok := heads[customer]; !ok || h.before(first) {
		heads[customer] = h
	}
}

// recordHeldUp logs that the grant holds up a customer's work, and makes the customer's other jobs yield to a unit that has
// waited too long (see quota.Yielding).
func (p *Pool) recordHeldUp(customer string, t *task, u quota.Use, now Time) {
	c := p.customerUse(customer)
	c.heldUpJob = ""
	if !u.HeldUp {
		return
	}
	if quota.Yielding(u.Wait) {
		c.heldUpJob, c.heldUntil = t.id.Job, now.Steady+yieldDuration
	}
	if c.eventAt == 0 || now.Steady-c.eventAt > quotaEventInterval {
		c.eventAt = now.Steady
		p.event(Event{Kind: "customer held up", Job: t.id.Job, Task: t.id, Reason: p.explainQuota(t), AgeMs: u.Wait.Milliseconds()})
	}
}

// recordUnansweredSize records the customer and the size of an unanswered start, because its job may have ended by the time the
// worker carries it out.
func (p *Pool) recordUnansweredSize(w *worker, o Order) {
	s, ok := w.unanswered[o.Task]
	if t := p.task(o.Task); ok && t != nil {
		s.charge = lateCharge{customer: t.job.spec.Customer, amount: quotaAmount(t.step.Request)}
		w.unanswered[o.Task] = s
	}
}

// chargeLateStarts counts the unanswered starts that were sent to an earlier incarnation of a worker and that the present one may
// still carry out. Their runs count as ended otherwise.
func (p *Pool) chargeLateStarts(w *worker) {
	p.dischargeLateStarts(w)
	for id, s := range w.unanswered {
		if s.charge.customer == "" || !w.mayStartLate(id, s) {
			continue
		}
		w.lateCharges = append(w.lateCharges, s.charge)
		u := p.customerUse(s.charge.customer)
		u.late = u.late.Add(s.charge.amount)
	}
}

func (p *Pool) dischargeLateStarts(w *worker) {
	for _, c := range w.lateCharges {
		u := p.customerUse(c.customer)
		u.late = u.late.Sub(c.amount)
	}
	w.lateCharges = w.lateCharges[:0]
}

// mayStartLate reports whether a worker may carry out an unanswered start of an earlier incarnation, or may have done so. After
// a confirmed stop, a later report without the run shows that it may not.
func (w *worker) mayStartLate(id TaskID, s unansweredStart) bool {
	if w.incarnation == s.incarnation || w.runs[id] != nil {
		return false
	}
	if s.stoppedIn == 0 || s.stoppedIn != w.incarnation {
		return true
	}
	_, stray := w.strays[id]
	return stray || w.lastReportSentAt <= s.stoppedAt
}
