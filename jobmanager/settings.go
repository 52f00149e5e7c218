package jobmanager

import (
	"encoding/json"
	"net"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"
)

// Settings are the settings of a job manager node: JSON with comments. Unknown keys are ignored, because newer platforms
// add some.
type Settings struct {
	Node string `json:"node"`
	Zone string `json:"zone"`
	// Callers, Readiness, Peers and Admin are addresses (IP:PORT) to listen on.
	Callers   string `json:"callers"`
	Readiness string `json:"readiness"`
	Peers     string `json:"peers"`
	Admin     string `json:"admin"`
	// Advertise is the address at which other nodes reach Peers, if it is another one.
	Advertise string `json:"advertise"`
	// PeerKey authenticates the nodes to each other.
	PeerKey string `json:"peerKey"`
	// Store, Machines and Advice are addresses of the platform. Advice is empty where no queue needs it.
	Store    string `json:"store"`
	Machines string `json:"machines"`
	Advice   string `json:"advice"`
	// CPUShare is the part of a core that the node has, and CPUSpeed how much faster than usual that core is. Zero means
	// that it is not known.
	CPUShare float64 `json:"cpuShare"`
	CPUSpeed float64 `json:"cpuSpeed"`
	// Shards is the number of partitions of the store's topics.
	Shards int    `json:"shards"`
	Bounds Bounds `json:"bounds"`
}

// Bounds are the platform's bounds, in the unit that the name ends with.
type Bounds struct {
	MaxLeaseMs   int64   `json:"maxLeaseMs"`   // longest lease of a worker
	GraceS       float64 `json:"graceS"`       // from SIGTERM to SIGKILL
	StatusS      float64 `json:"statusS"`      // how long the state of a finished job stays known
	RackFactor   float64 `json:"rackFactor"`   // run time away from the data, as a multiple
	StopMs       int64   `json:"stopMs"`       // longest time that a worker takes to stop a task
	OrderLeaseMs int64   `json:"orderLeaseMs"` // least time between orders of two holders for one machine
	CallBytes    int     `json:"callBytes"`    // of one append
	RecordBytes  int     `json:"recordBytes"`
}

// LoadSettings reads and checks a settings file.
func LoadSettings(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "reading the settings")
	}
	s, err := ParseSettings(data)
	return s, errors.Wrapf(err, "settings file %s", path)
}

// ParseSettings decodes and checks settings.
func ParseSettings(data []byte) (*Settings, error) {
	standard, err := hujson.Standardize(data)
	if err != nil {
		return nil, errors.Wrap(err, "not JSON with comments")
	}
	var s Settings
	if err := json.Unmarshal(standard, &s); err != nil {
		return nil, err
	}
	return &s, s.check()
}

func (s *Settings) check() error {
	if s.Node == "" {
		return errors.New("node: a name is needed")
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
	case s.Bounds.MaxLeaseMs < 1000:
		return errors.Errorf("bounds.maxLeaseMs: must be at least 1000, not %d", s.Bounds.MaxLeaseMs)
	case s.Bounds.GraceS <= 0 || s.Bounds.StatusS <= 0:
		return errors.New("bounds.graceS and bounds.statusS: must be positive")
	}
	return nil
}

// strongCPU is the processor, in usual cores, from which a node owns shards whenever it can. An owner makes hundreds of calls a
// second to its workers in a flood; 0.2 cores did not suffice for a pool of 166.
const strongCPU = 0.35

// strong tells whether a node owns shards whenever it can. Others do so only while there is no strong node.
func (s *Settings) strong() bool {
	return s.CPUShare == 0 || s.CPUShare*max(1, s.CPUSpeed) >= strongCPU
}

// maxLease is the lease that the node asks for.
func (b Bounds) maxLease() time.Duration {
	return min(wantedLease, time.Duration(b.MaxLeaseMs)*time.Millisecond)
}
