package resource

import (
	"regexp"
	"slices"
	"time"
)

// Defaults of Service fields, and limits of the fields of all specs.
const (
	DefaultMaxRun       = 30 * time.Second
	DefaultDeadline     = 10 * time.Second
	DefaultQueueLimit   = 256
	DefaultMaxBodyBytes = 1 << 20

	maxRunLimit       = time.Hour
	maxQueueLimit     = 65536
	maxBodyBytesLimit = 64 << 20
	maxHosts          = 64
	maxConfigValues   = 1024
	maxTextBytes      = 1024
	maxShare          = 1_000_000
)

// AnswerCheck selects how the entry node makes sure that a response belongs to its request.
type AnswerCheck string

const (
	// AnswerCheckFresh opens a new connection for each request, so that the response to an earlier request cannot arrive
	// on it.
	AnswerCheckFresh AnswerCheck = "fresh"
	// AnswerCheckEcho reuses connections and requires the backend server to return the header Berylwharf-Request-Id.
	AnswerCheckEcho AnswerCheck = "echo"
)

// Pool is a set of VMs that run the same services. A VM belongs to the pool that its VM resource names.
type Pool struct {
	Description string `json:"description,omitempty"`
	// MinVMs is the number of available VMs that planned maintenance and moves must leave in the pool.
	MinVMs int `json:"minVMs,omitempty"`
	// Spare marks the pool from which other pools borrow VMs.
	Spare bool `json:"spare,omitempty"`
}

// SetDefaults implements Spec.
func (p *Pool) SetDefaults() {}

// Validate implements Spec.
func (p *Pool) Validate() error {
	if len(p.Description) > maxTextBytes {
		return fieldErrorf("description", "at most %d bytes", maxTextBytes)
	}
	return checkRange("minVMs", p.MinVMs, 0, 100_000)
}

// Service is a service that is run by the backend servers of one pool.
type Service struct {
	Pool  string   `json:"pool"`
	Hosts []string `json:"hosts,omitempty"`
	// RepeatableMethods lists the HTTP methods whose requests may be executed more than once. Default: GET, HEAD, OPTIONS.
	RepeatableMethods []string    `json:"repeatableMethods,omitempty"`
	AnswerCheck       AnswerCheck `json:"answerCheck,omitempty"`
	// MaxRunMs is the longest time for which a backend server may work on one request, in milliseconds.
	MaxRunMs int64 `json:"maxRunMs,omitempty"`
	// DefaultDeadlineMs is the deadline of requests that do not specify one, in milliseconds.
	DefaultDeadlineMs int64 `json:"defaultDeadlineMs,omitempty"`
	// QueueLimit limits the number of queued requests of the service at one entry node.
	QueueLimit   int   `json:"queueLimit,omitempty"`
	MaxBodyBytes int64 `json:"maxBodyBytes,omitempty"`
}

// SetDefaults implements Spec.
func (s *Service) SetDefaults() {
	if len(s.RepeatableMethods) == 0 {
		s.RepeatableMethods = []string{"GET", "HEAD", "OPTIONS"}
	}
	// Both lists are sets. They are sorted, so that equal specs have equal encodings.
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
	if err := checkRange("maxRunMs", s.MaxRunMs, 1, maxRunLimit.Milliseconds()); err != nil {
		return err
	}
	if err := checkRange("defaultDeadlineMs", s.DefaultDeadlineMs, 1, maxRunLimit.Milliseconds()); err != nil {
		return err
	}
	if err := checkRange("queueLimit", s.QueueLimit, 1, maxQueueLimit); err != nil {
		return err
	}
	return checkRange("maxBodyBytes", s.MaxBodyBytes, 0, maxBodyBytesLimit)
}

// Repeatable reports whether a request with this method may be executed more than once.
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

// Customer is a party whose requests and jobs the fleet serves. The services of the host firm itself are also customers.
type Customer struct {
	// Share is the weight of the customer's requests when they compete with others for backend servers.
	Share int `json:"share"`
	// Quota limits the customer's running requests at one entry node. 0 means no limit.
	Quota int `json:"quota,omitempty"`
	// AvailabilityBudget sets, by pool name, how many VMs of the pool the customer accepts as unavailable at the same time.
	// Failed VMs count, and planned maintenance and moves must not exceed the budget.
	AvailabilityBudget map[string]Budget `json:"availabilityBudget,omitempty"`
}

// Budget is a customer's availability budget for one pool.
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
	if err := checkRange("share", c.Share, 1, maxShare); err != nil {
		return err
	}
	if err := checkRange("quota", c.Quota, 0, 1_000_000); err != nil {
		return err
	}
	for pool, b := range c.AvailabilityBudget {
		if !namePattern.MatchString(pool) {
			return fieldErrorf("availabilityBudget", "%q is not a pool name", pool)
		}
		if err := checkRange("availabilityBudget."+pool+".maxUnavailable", b.MaxUnavailable, 0, 100_000); err != nil {
			return err
		}
	}
	return nil
}

// Wave is a maintenance wave over one pool.
type Wave struct {
	Pool string `json:"pool"`
	// FirstVMs lists the VMs to process first. The others follow, ordered by failure domain and name.
	FirstVMs []string `json:"order,omitempty"`
	// FirstGroup is the number of VMs in the first group of the wave.
	FirstGroup int `json:"firstGroup,omitempty"`
	// MaxParallel limits how many VMs of the wave are in maintenance at the same time.
	MaxParallel int  `json:"maxParallel,omitempty"`
	Paused      bool `json:"paused,omitempty"`
}

// SetDefaults implements Spec.
func (w *Wave) SetDefaults() {
	if len(w.FirstVMs) == 0 {
		w.FirstVMs = nil
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
	for _, vm := range w.FirstVMs {
		if !namePattern.MatchString(vm) {
			return fieldErrorf("order", "%q is not a VM name", vm)
		}
	}
	if err := checkRange("firstGroup", w.FirstGroup, 1, 10_000); err != nil {
		return err
	}
	return checkRange("maxParallel", w.MaxParallel, 1, 10_000)
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
	return checkRange("values (count)", len(c.Values), 0, maxConfigValues)
}

// VM assigns a VM to a pool.
type VM struct {
	Pool string `json:"pool"`
	// NextPool is the pool that the VM is to move to. The VM serves Pool until the budgets of that pool permit its
	// release, and serves NextPool after all members have acknowledged the release.
	NextPool string `json:"next,omitempty"`
	// Drain stops new work from being sent to the VM.
	Drain bool `json:"drain,omitempty"`
}

// SetDefaults implements Spec.
func (v *VM) SetDefaults() {}

// Validate implements Spec.
func (v *VM) Validate() error {
	if !namePattern.MatchString(v.Pool) {
		return fieldErrorf("pool", "%q is not a pool name", v.Pool)
	}
	if v.NextPool != "" && !namePattern.MatchString(v.NextPool) {
		return fieldErrorf("next", "%q is not a pool name", v.NextPool)
	}
	return nil
}

// hostPattern matches host names, IPv4 addresses, and IPv6 addresses in brackets, all in lower case and without a port.
var hostPattern = regexp.MustCompile(`^([a-z0-9]([a-z0-9.-]{0,251}[a-z0-9])?|\[[0-9a-f:.]+\])$`)

// sortedSet sorts a list and removes duplicates. It returns nil for an empty list, because the canonical form omits empty
// lists and is decoded as nil.
func sortedSet(list []string) []string {
	if len(list) == 0 {
		return nil
	}
	slices.Sort(list)
	return slices.Compact(list)
}

func checkRange[T int | int64](field string, v, low, high T) error {
	if v < low || v > high {
		return fieldErrorf(field, "%d is out of range (permitted: %d to %d)", v, low, high)
	}
	return nil
}
