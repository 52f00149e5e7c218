package resource

import (
	"regexp"
	"slices"
	"time"
)

// Defaults and bounds of Service fields.
const (
	DefaultMaxRun       = 30 * time.Second
	DefaultDeadline     = 10 * time.Second
	DefaultQueueLimit   = 256
	DefaultMaxBodyBytes = 1 << 20

	maxRunLimit      = time.Hour
	queueLimitLimit  = 65536
	maxBodyLimit     = 64 << 20
	maxHosts         = 64
	maxConfigValues  = 1024
	maxDescription   = 1024
	maxSharePerMille = 1_000_000
)

// AnswerCheck selects how an answer is matched to its request.
type AnswerCheck string

const (
	// AnswerCheckFresh opens one connection for each request, so that no earlier answer can arrive on it.
	AnswerCheckFresh AnswerCheck = "fresh"
	// AnswerCheckEcho reuses connections and requires the backend server to return Berylwharf-Request-Id.
	AnswerCheckEcho AnswerCheck = "echo"
)

// Pool is a set of VMs that serve the same services. Its VMs are those whose VM resource names the pool.
type Pool struct {
	Description string `json:"description,omitempty"`
	// MinVMs is the number of VMs below which no VM leaves the pool by plan.
	MinVMs int `json:"minVMs,omitempty"`
	// Spare marks the pool from which others borrow.
	Spare bool `json:"spare,omitempty"`
}

// SetDefaults implements Spec.
func (p *Pool) SetDefaults() {}

// Validate implements Spec.
func (p *Pool) Validate() error {
	if len(p.Description) > maxDescription {
		return fieldErrorf("description", "at most %d bytes", maxDescription)
	}
	return between("minVMs", p.MinVMs, 0, 100_000)
}

// Service is a named service that backend servers of one pool run.
type Service struct {
	Pool  string   `json:"pool"`
	Hosts []string `json:"hosts,omitempty"`
	// RepeatableMethods lists the HTTP methods whose requests may run more than once. Default GET, HEAD, OPTIONS.
	RepeatableMethods []string    `json:"repeatableMethods,omitempty"`
	AnswerCheck       AnswerCheck `json:"answerCheck,omitempty"`
	// MaxRunMs bounds how long a backend server may work on one request, in milliseconds.
	MaxRunMs int64 `json:"maxRunMs,omitempty"`
	// DefaultDeadlineMs applies to requests that name no deadline, in milliseconds.
	DefaultDeadlineMs int64 `json:"defaultDeadlineMs,omitempty"`
	// QueueLimit bounds the waiting requests of the service at one entry node.
	QueueLimit   int   `json:"queueLimit,omitempty"`
	MaxBodyBytes int64 `json:"maxBodyBytes,omitempty"`
}

// SetDefaults implements Spec.
func (s *Service) SetDefaults() {
	if len(s.RepeatableMethods) == 0 {
		s.RepeatableMethods = []string{"GET", "HEAD", "OPTIONS"}
	}
	// Both lists are sets: sorted, so that equal specs have equal encodings.
	s.RepeatableMethods = sortedSet(s.RepeatableMethods)
	s.Hosts = sortedSet(s.Hosts)
	if s.AnswerCheck == "" {
		s.AnswerCheck = AnswerCheckFresh
	}
	if s.MaxRunMs == 0 {
		s.MaxRunMs = DefaultMaxRun.Milliseconds()
	}
	if s.DefaultDeadlineMs == 0 {
		s.DefaultDeadlineMs = DefaultDeadline.Milliseconds()
	}
	if s.QueueLimit == 0 {
		s.QueueLimit = DefaultQueueLimit
	}
	if s.MaxBodyBytes == 0 {
		s.MaxBodyBytes = DefaultMaxBodyBytes
	}
}

// Validate implements Spec.
func (s *Service) Validate() error {
	if !namePattern.MatchString(s.Pool) {
		return fieldErrorf("pool", "%q is not a pool name", s.Pool)
	}
	if len(s.Hosts) > maxHosts {
		return fieldErrorf("hosts", "at most %d entries", maxHosts)
	}
	for _, h := range s.Hosts {
		if !hostPattern.MatchString(h) {
			return fieldErrorf("hosts", "%q is not a host name in lower case without a port", h)
		}
	}
	for _, m := range s.RepeatableMethods {
		if !httpMethods[m] {
			return fieldErrorf("repeatableMethods", "%q (permitted: GET, HEAD, OPTIONS, PUT, DELETE, POST, PATCH)", m)
		}
	}
	if s.AnswerCheck != AnswerCheckFresh && s.AnswerCheck != AnswerCheckEcho {
		return fieldErrorf("answerCheck", "%q (permitted: fresh, echo)", s.AnswerCheck)
	}
	if err := between("maxRunMs", s.MaxRunMs, 1, maxRunLimit.Milliseconds()); err != nil {
		return err
	}
	if err := between("defaultDeadlineMs", s.DefaultDeadlineMs, 1, maxRunLimit.Milliseconds()); err != nil {
		return err
	}
	if err := between("queueLimit", s.QueueLimit, 1, queueLimitLimit); err != nil {
		return err
	}
	return between("maxBodyBytes", s.MaxBodyBytes, 0, maxBodyLimit)
}

// Repeatable reports whether a request with this method may run more than once.
func (s *Service) Repeatable(method string) bool {
	for _, m := range s.RepeatableMethods {
		if m == method {
			return true
		}
	}
	return false
}

var httpMethods = map[string]bool{
	"GET": true, "HEAD": true, "OPTIONS": true, "PUT": true, "DELETE": true, "POST": true, "PATCH": true,
}

// Customer is a party whose requests and jobs the fleet serves, the host's own services included.
type Customer struct {
	// Share is the weight of the customer's requests when backend servers are contended.
	Share int `json:"share"`
	// Quota bounds the customer's running requests at one entry node; 0 means no bound.
	Quota int `json:"quota,omitempty"`
	// AvailabilityBudget bounds, for each pool, how many VMs may be unavailable at once on the customer's account.
	AvailabilityBudget map[string]Budget `json:"availabilityBudget,omitempty"`
}

// Budget is an availability budget for one pool.
type Budget struct {
	MaxUnavailable int `json:"maxUnavailable"`
}

// SetDefaults implements Spec.
func (c *Customer) SetDefaults() {
	if len(c.AvailabilityBudget) == 0 {
		c.AvailabilityBudget = nil
	}
}

// Validate implements Spec.
func (c *Customer) Validate() error {
	if err := between("share", c.Share, 1, maxSharePerMille); err != nil {
		return err
	}
	if err := between("quota", c.Quota, 0, 1_000_000); err != nil {
		return err
	}
	for pool, b := range c.AvailabilityBudget {
		if !namePattern.MatchString(pool) {
			return fieldErrorf("availabilityBudget", "%q is not a pool name", pool)
		}
		if err := between("availabilityBudget."+pool+".maxUnavailable", b.MaxUnavailable, 0, 100_000); err != nil {
			return err
		}
	}
	return nil
}

// Wave is a maintenance wave over one pool.
type Wave struct {
	Pool string `json:"pool"`
	// Order lists VMs that go first; the rest follow by failure domain and name.
	Order []string `json:"order,omitempty"`
	// FirstGroup is the number of VMs in the first group.
	FirstGroup int `json:"firstGroup,omitempty"`
	// MaxParallel bounds the VMs in maintenance at once.
	MaxParallel int  `json:"maxParallel,omitempty"`
	Paused      bool `json:"paused,omitempty"`
}

// SetDefaults implements Spec.
func (w *Wave) SetDefaults() {
	if len(w.Order) == 0 {
		w.Order = nil
	}
	if w.FirstGroup == 0 {
		w.FirstGroup = 1
	}
	if w.MaxParallel == 0 {
		w.MaxParallel = 1
	}
}

// Validate implements Spec.
func (w *Wave) Validate() error {
	if !namePattern.MatchString(w.Pool) {
		return fieldErrorf("pool", "%q is not a pool name", w.Pool)
	}
	for _, vm := range w.Order {
		if !namePattern.MatchString(vm) {
			return fieldErrorf("order", "%q is not a VM name", vm)
		}
	}
	if err := between("firstGroup", w.FirstGroup, 1, 10_000); err != nil {
		return err
	}
	return between("maxParallel", w.MaxParallel, 1, 10_000)
}

// Config is a set of system-wide parameters.
type Config struct {
	Values map[string]string `json:"values"`
}

// SetDefaults implements Spec.
func (c *Config) SetDefaults() {
	if c.Values == nil {
		c.Values = map[string]string{}
	}
}

// Validate implements Spec.
func (c *Config) Validate() error {
	return between("values (count)", len(c.Values), 0, maxConfigValues)
}

// VM assigns a VM to a pool.
type VM struct {
	Pool string `json:"pool"`
	// Next names the pool that receives the VM. The VM serves Pool until the pool's budgets permit its release, and serves
	// Next once all members have acknowledged the release.
	Next string `json:"next,omitempty"`
	// Drain stops new work on the VM.
	Drain bool `json:"drain,omitempty"`
}

// SetDefaults implements Spec.
func (v *VM) SetDefaults() {}

// Validate implements Spec.
func (v *VM) Validate() error {
	if !namePattern.MatchString(v.Pool) {
		return fieldErrorf("pool", "%q is not a pool name", v.Pool)
	}
	if v.Next != "" && !namePattern.MatchString(v.Next) {
		return fieldErrorf("next", "%q is not a pool name", v.Next)
	}
	return nil
}

// hostPattern admits host names and IPv4 addresses; an IPv6 address stands in brackets.
var hostPattern = regexp.MustCompile(`^([a-z0-9]([a-z0-9.-]{0,251}[a-z0-9])?|\[[0-9a-f:.]+\])$`)

// sortedSet returns nil for an empty set, as a spec has it that was decoded from its canonical form.
func sortedSet(list []string) []string {
	if len(list) == 0 {
		return nil
	}
	slices.Sort(list)
	return slices.Compact(list)
}

func between[T int | int64](field string, v, low, high T) error {
	if v < low || v > high {
		return fieldErrorf(field, "%d is out of range (permitted: %d to %d)", v, low, high)
	}
	return nil
}
