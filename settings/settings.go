// Package settings reads the settings file of the daemon, which is JSON with comments. The whole file is validated before
// the daemon starts. All problems are reported together, each on one line with the file, line, key and permitted values.
package settings

import (
	"fmt"
	"io"
	"net/netip"
	"os"
	"time"

	"github.com/pkg/errors"
)

// Defaults of optional keys.
const (
	DefaultMaxHeaderBytes  = 64 << 10
	DefaultPollInterval    = time.Second
	DefaultLogRetention    = 24 * time.Hour
	DefaultShutdownTimeout = 30 * time.Second
	DefaultLogLevel        = "info"
	DefaultLogFormat       = "text"

	// maxFileBytes limits the size of the settings file. A file with all keys has about 1 KiB, so a much larger one cannot
	// be a settings file.
	maxFileBytes = 256 << 10
)

// Settings are the settings of one daemon. Formatting them does not reveal secrets.
type Settings struct {
	// Node is the node name. It must be unique among the members of a region.
	Node string
	// VM is the name of the node's VM in the platform's VM list. Default: Node.
	VM string
	// Zone is the availability zone of the node.
	Zone   string
	Region string

	Callers   Callers
	Operators Operators
	Peers     Peers
	Admin     Admin
	Platform  Platform
	Log       Log
	Limits    Limits

	// ShutdownTimeout limits how long a graceful shutdown waits for requests in flight: 100ms to 1h, default 30s.
	ShutdownTimeout time.Duration
}

// Callers are the settings of the listener for callers.
type Callers struct {
	// Listen is the IP address and port to listen on. With port 0, the kernel chooses a free port.
	Listen netip.AddrPort
	// MaxHeaderBytes limits the size of a request header: 4096 to 1048576, default 65536.
	MaxHeaderBytes int
}

// Operators are the settings of the operators' API.
type Operators struct {
	Listen netip.AddrPort
	// Token is the bearer token, 16 to 256 characters. If it is empty, only clients with a loopback address have access.
	Token Secret
	// Allow lists the networks whose clients have access. Default: 127.0.0.0/8 and ::1/128.
	Allow []netip.Prefix
}

// Peers are the settings of the connections between nodes.
type Peers struct {
	Listen netip.AddrPort
	// Key is the secret key shared by all nodes, 16 to 256 characters.
	Key Secret
	// Allow lists the networks from which connections are accepted. Default: 127.0.0.0/8 and ::1/128.
	Allow []netip.Prefix
	// Addresses lists the addresses of peers to connect to before the VM list is known. Default: none.
	Addresses []netip.AddrPort
}

// Admin are the settings of the listener for metrics and health checks.
type Admin struct {
	Listen netip.AddrPort
}

// Platform are the settings for access to the platform.
type Platform struct {
	// URL is the base URL of the platform: http://IP:port or https://IP:port, without a path.
	URL string
	// PollInterval is the time between two reads of the VM list: 10ms to 2s, default 1s. A longer interval would break the
	// guarantee that a leaving VM receives no new work after 3 s.
	PollInterval time.Duration
	// LogRetention is the time for which the log service retains records: 1s to 8760h, default 24h.
	LogRetention time.Duration
}

// Log are the settings of the daemon's log output.
type Log struct {
	// Level is debug, info (default), warn or error.
	Level string
	// Format is text (default) or json.
	Format string
}

// Limits are the limits of the process. Zero means unknown or derived.
type Limits struct {
	// MemoryMB is the memory of the machine in megabytes: 0 (unknown, default) or 32 to 1048576.
	MemoryMB int
	// MaxFDs is the number of descriptors that the process may have open: 0 (unknown, default) or 256 to 1048576.
	MaxFDs int
	// ClientMemoryMB is the memory that connections of clients may hold: 0 (derived from MemoryMB, default) or 8 to
	// 1048576, and at most half of MemoryMB if that is set.
	ClientMemoryMB int
	// MaxConnections is the number of accepted connections: 0 (derived from MaxFDs, default) or 16 to 1048576, and less
	// than MaxFDs if that is set.
	MaxConnections int
}

// Secret is a string that is replaced by a placeholder whenever it is formatted or encoded, so that it cannot leak into a
// log.
type Secret string

const redacted = "(hidden)"

// Reveal returns the secret in clear text.
func (s Secret) Reveal() string { return string(s) }

// Format implements fmt.Formatter. It writes the placeholder for every verb.
func (s Secret) Format(f fmt.State, _ rune) { _, _ = io.WriteString(f, s.String()) }

// String returns the placeholder, or an empty string if the secret is empty.
func (s Secret) String() string {
	if s == "" {
		return ""
	}
	return redacted
}

// MarshalText implements encoding.TextMarshaler. It encodes the placeholder.
func (s Secret) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// String returns the settings on one line, without secrets.
func (s *Settings) String() string {
	type plain Settings // has no String method, which would recurse
	return fmt.Sprintf("%+v", plain(*s))
}

// Load reads and validates the settings file at path. The error is of type Errors if the file was read but is invalid.
func Load(path string) (*Settings, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	defer func() { _ = f.Close() }()
	data, err := io.ReadAll(io.LimitReader(f, maxFileBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	return Parse(path, data)
}

func defaults() *Settings {
	loopback := []netip.Prefix{netip.MustParsePrefix("127.0.0.0/8"), netip.MustParsePrefix("::1/128")}
	return &Settings{
		Callers:         Callers{MaxHeaderBytes: DefaultMaxHeaderBytes},
		Operators:       Operators{Allow: loopback},
		Peers:           Peers{Allow: loopback},
		Platform:        Platform{PollInterval: DefaultPollInterval, LogRetention: DefaultLogRetention},
		Log:             Log{Level: DefaultLogLevel, Format: DefaultLogFormat},
		ShutdownTimeout: DefaultShutdownTimeout,
	}
}
