package jobmanager

import (
	"cmp"
	"encoding/json"
	"net"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"
)

// Settings configures a node of the job manager. The file format is JSON with comments. Unknown keys are ignored,
// because newer platforms add keys.
type Settings struct {
	Node string `json:"node"`
	Zone string `json:"zone"`
	// Callers, Readiness, Peers and Admin are listen addresses (IP:PORT).
	Callers   string `json:"callers"`
	Readiness string `json:"readiness"`
	Peers     string `json:"peers"`
	Admin     string `json:"admin"`
	// Advertise is the address at which other nodes reach Peers, if it differs from the listen address.
	Advertise string `json:"advertise"`
	// PeerKey is the shared key with which nodes authenticate each other.
	PeerKey string `json:"peerKey"`
	// Store, Machines and Advice are addresses of platform services. Advice is empty if no queue uses it.
	Store    string `json:"store"`
	Machines string `json:"machines"`
	Advice   string `json:"advice"`
	// CPUShare is the share of a core that the node may use, and CPUSpeed the speed of that core relative to a usual
	// one. Zero means unknown.
	CPUShare float64 `json:"cpuShare"`
	CPUSpeed float64 `json:"cpuSpeed"`
	// MemoryMB and MaxFDs are the limits of memory and of open descriptors of the process. Zero means unknown.
	MemoryMB int64 `json:"memoryMB"`
	MaxFDs   int64 `json:"maxFDs"`
	// LearnInterference makes the owners of pools learn which tasks slow each other down, place them apart and choose the
	// speeds of best-effort tasks by it.
	LearnInterference bool `json:"learnInterference"`
	// Connections overrides what is derived from MemoryMB and MaxFDs for the connections of clients.
	Connections ConnectionLimits `json:"connections"`
	// Shards is the number of partitions of the store's topics.
	Shards int    `json:"shards"`
	Limits Limits `json:"bounds"`
}

// Limits holds limits set by the platform. Each name ends with the unit of its value.
type Limits struct {
	MaxLeaseMs      int64   `json:"maxLeaseMs"`   // maximum lease of a worker
	GraceS          float64 `json:"graceS"`       // time from SIGTERM to SIGKILL
	StatusS         float64 `json:"statusS"`      // how long the state of a finished job remains available
	CrossRackFactor float64 `json:"rackFactor"`   // run time of a task in another rack than its data, as a multiple
	StopMs          int64   `json:"stopMs"`       // maximum time that a worker takes to stop a task
	OrderLeaseMs    int64   `json:"orderLeaseMs"` // minimum time between orders of two holders for the same machine
	CallBytes       int     `json:"callBytes"`    // maximum size of one append
	RecordBytes     int     `json:"recordBytes"`  // maximum size of one record; 0 selects defaultRecordBytes
	// KeyRevocationMs is the time after the acknowledgement of a configuration from which a key that it removed is of no use
	// on any node. Zero means that there is no such bound.
	KeyRevocationMs int64 `json:"keyRevocationMs"`
	// ConfigMs is the time after the acknowledgement of a configuration from which it is in force on every node. Zero means that
	// there is no such bound.
	ConfigMs int64 `json:"configMs"`
}

const (
	// defaultRecordBytes is the maximum size of a record if the settings give none.
	defaultRecordBytes = 256 << 10
	// minRecordBytes leaves room for a job of about a hundred tasks.
	minRecordBytes = 8 << 10
)

// ConnectionLimits holds limits for the connections that clients open. Zero means derived.
type ConnectionLimits struct {
	MemoryMB int64 `json:"memoryMB"` // memory that all connections together may hold, at least 8
	Max      int64 `json:"max"`      // number of accepted connections, at least 16
}

// check returns an error if the limits do not fit those of the process.
func (l ConnectionLimits) check(memoryMB, maxFDs int64) error {
	switch {
	case l.MemoryMB != 0 && l.MemoryMB < 8:
		return errors.Errorf("connections.memoryMB: must be 0 or at least 8, not %d", l.MemoryMB)
	case memoryMB > 0 && l.MemoryMB > memoryMB/2:
		return errors.Errorf("connections.memoryMB: must be at most half of memoryMB, %d, not %d", memoryMB/2, l.MemoryMB)
	case l.Max != 0 && l.Max < 16:
		return errors.Errorf("connections.max: must be 0 or at least 16, not %d", l.Max)
	case maxFDs > 0 && l.Max >= maxFDs:
		return errors.Errorf("connections.max: must be less than maxFDs, %d, not %d", maxFDs, l.Max)
	}
	return nil
}

const (
	// minMemoryMB and minMaxFDs leave room for the process itself beside the least that clients need.
	minMemoryMB = 48
	minMaxFDs   = 256
	// defaultMemoryMB is the memory of the smallest supported machines.
	defaultMemoryMB = 184
	// jobMemoryPercent is the percentage of the memory that the state of jobs may take.
	jobMemoryPercent = 20
)

// jobMemory returns the memory that the state of jobs may take, in bytes.
func (s *Settings) jobMemory() int64 {
	return cmp.Or(s.MemoryMB, defaultMemoryMB) << 20 / 100 * jobMemoryPercent
}

// LoadSettings reads and validates a settings file.
func LoadSettings(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings file")
	}
	s, err := ParseSettings(data)
	return s, errors.Wrapf(err, "settings file %s", path)
}

// ParseSettings decodes and validates settings.
func ParseSettings(data []byte) (*Settings, error) {
	standard, err := hujson.Standardize(data)
	if err != nil {
		return nil, errors.Wrap(err, "settings are not valid JSON with comments")
	}
	var s Settings
	if err := json.Unmarshal(standard, &s); err != nil {
		return nil, err
	}
	return &s, s.check()
}

func (s *Settings) check() error {
	if s.Node == "" {
		return errors.New("node: must not be empty")
	}
	addresses := []struct{ key, value string }{
		{"callers", s.Callers}, {"readiness", s.Readiness}, {"peers", s.Peers}, {"admin", s.Admin},
		{"store", s.Store}, {"machines", s.Machines},
	}
	for _, a := range addresses {
		if _, _, err := net.SplitHostPort(a.value); err != nil {
			return errors.Errorf("%s: %q is not an address of the form IP:PORT", a.key, a.value)
		}
	}
	if _, _, err := net.SplitHostPort(s.Advertise); s.Advertise != "" && err != nil {
		return errors.Errorf("advertise: %q is not an address of the form IP:PORT", s.Advertise)
	}
	switch {
	case s.Shards < 1:
		return errors.Errorf("shards: must be at least 1, not %d", s.Shards)
	case s.Limits.MaxLeaseMs < 1000:
		return errors.Errorf("bounds.maxLeaseMs: must be at least 1000, not %d", s.Limits.MaxLeaseMs)
	case s.MemoryMB != 0 && s.MemoryMB < minMemoryMB:
		return errors.Errorf("memoryMB: must be 0 or at least %d, not %d", minMemoryMB, s.MemoryMB)
	case s.MaxFDs != 0 && s.MaxFDs < minMaxFDs:
		return errors.Errorf("maxFDs: must be 0 or at least %d, not %d", minMaxFDs, s.MaxFDs)
	case s.Limits.RecordBytes != 0 && s.Limits.RecordBytes < minRecordBytes:
		return errors.Errorf("bounds.recordBytes: must be 0 or at least %d, not %d", minRecordBytes, s.Limits.RecordBytes)
	case s.Limits.KeyRevocationMs < 0:
		return errors.New("bounds.keyRevocationMs: must not be negative")
	case s.Limits.ConfigMs < 0:
		return errors.New("bounds.configMs: must not be negative")
	case s.Limits.GraceS <= 0 || s.Limits.StatusS <= 0:
		return errors.New("bounds.graceS and bounds.statusS: must be positive")
	}
	return s.Connections.check(s.MemoryMB, s.MaxFDs)
}

// strongCPU is the CPU capacity, in usual cores, from which a node always owns shards. Under a flood of requests an
// owner makes hundreds of calls per second to its workers; 0.2 cores were not sufficient for a pool of 166 workers.
const strongCPU = 0.35

// strong reports whether the node is strong: its CPU capacity is at least strongCPU, or is unknown. A strong node always owns
// shards, other nodes own shards only while there is no strong node.
func (s *Settings) strong() bool {
	return s.CPUShare == 0 || s.CPUShare*max(1, s.CPUSpeed) >= strongCPU
}

// maxLease returns the longest lease that a worker grants, on its clock. It shortens a longer one.
func (l Limits) maxLease() time.Duration { return time.Duration(l.MaxLeaseMs) * time.Millisecond }

// KeyRevocation returns the time after which a removed key is of no use on any node; 0 if there is no such bound.
func (l Limits) KeyRevocation() time.Duration {
	return time.Duration(l.KeyRevocationMs) * time.Millisecond
}

// configBound returns the time after which a configuration is in force on every node; 0 if there is no such bound.
func (l Limits) configBound() time.Duration { return time.Duration(l.ConfigMs) * time.Millisecond }

// recordBytes returns the maximum size of a record.
func (l Limits) recordBytes() int { return cmp.Or(l.RecordBytes, defaultRecordBytes) }

// requestedLease returns the lease that the node requests for its workers.
func (l Limits) requestedLease() time.Duration { return min(targetLease, l.maxLease()) }

// leaseBound returns how long after an order a worker may keep tasks alive, on the owner's clock. This is the longest lease
// and not the requested one: an order names the end of the lease on the worker's clock, and if it reaches a later
// incarnation of the worker, whose clock has started anew, that end is far in the future.
func (l Limits) leaseBound() time.Duration {
	return time.Duration(float64(l.maxLease())*clockDriftFactor) + orderTimeout
}
