// Package settings reads the daemon's settings: JSON with comments, checked in full before the daemon starts. Each
// problem is one line that names the file, the line, the key and the permitted values.
package settings

import (
	"fmt"
	"io"
	"net/netip"
	"os"
	"time"

	"github.com/pkg/errors"
)

// Defaults of keys that may be left out.
const (
	DefaultMaxHeaderBytes  = 64 << 10
	DefaultPollInterval    = time.Second
	DefaultLogRetention    = 24 * time.Hour
	DefaultShutdownTimeout = 30 * time.Second
	DefaultLogLevel        = "info"
	DefaultLogFormat       = "text"

	// maxFileBytes bounds the settings file. A full file has about 1 KiB; a larger one is not a settings file.
	maxFileBytes = 256 << 10
)

// Settings are the settings of one daemon. Secrets are hidden when it is formatted.
type Settings struct {
	// Node is the node name, unique among the members of a region.
	Node string
	// VM is the node's name in the platform's VM list. Default: Node.
	VM string
	// Zone is the availability zone.
	Zone   string
	Region string

	Callers   Callers
	Operators Operators
	Peers     Peers
	Admin     Admin
	Platform  Platform
	Log       Log

	// ShutdownTimeout bounds how long a graceful shutdown waits for requests in flight: 100ms to 1h, default 30s.
	ShutdownTimeout time.Duration
}

// Callers are the settings of the listener for callers.
type Callers struct {
	// Listen is the IP address and port. Port 0 lets the kernel choose.
	Listen netip.AddrPort
	// MaxHeaderBytes bounds the header of a request: 4096 to 1048576, default 65536.
	MaxHeaderBytes int
}

// Operators are the settings of the operators' API.
type Operators struct {
	Listen netip.AddrPort
	// Token is the bearer token, 16 to 256 characters. Without one, only loopback addresses have access.
	Token Secret
	// Allow lists the networks that have access. Default: 127.0.0.0/8 and ::1/128.
	Allow []netip.Prefix
}

// Peers are the settings of the links between nodes.
type Peers struct {
	Listen netip.AddrPort
	// Key is the key that all nodes share, 16 to 256 characters.
	Key Secret
	// Allow lists the networks from which links are accepted. Default: 127.0.0.0/8 and ::1/128.
	Allow []netip.Prefix
	// Addresses lists peers to try before the VM list is known. Default: none.
	Addresses []netip.AddrPort
}

// Admin are the settings of the listener for metrics and health.
type Admin struct {
	Listen netip.AddrPort
}

// Platform are the settings of the platform's client.
type Platform struct {
	// URL is http://IP:port or https://IP:port, without a path.
	URL string
	// PollInterval is the time between reads of the VM list: 10ms to 2s, default 1s. The upper bound keeps the 3 s
	// bound after which a leaving VM receives no new work.
	PollInterval time.Duration
	// LogRetention is how long the log service keeps records: 1s to 8760h, default 24h.
	LogRetention time.Duration
}

// Log are the settings of the daemon's own log.
type Log struct {
	// Level is debug, info (default), warn or error.
	Level string
	// Format is text (default) or json.
	Format string
}

// Secret is a value that is hidden in every format, so that it does not reach a log.
type Secret string

const hidden = "(hidden)"

// Reveal returns the value itself.
func (s Secret) Reveal() string { return string(s) }

// Format implements fmt.Formatter for all verbs.
func (s Secret) Format(f fmt.State, _ rune) { _, _ = io.WriteString(f, s.String()) }

// String returns a placeholder, or an empty string when the secret is empty.
func (s Secret) String() string {
	if s == "" {
		return ""
	}
	return hidden
}

// MarshalText implements encoding.TextMarshaler with the placeholder.
func (s Secret) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// String returns the settings on one line, without secrets.
func (s *Settings) String() string {
	type plain Settings // without this method
	return fmt.Sprintf("%+v", plain(*s))
}

// Load reads and checks the settings file at path. The error is an Errors value when the file was read but is not valid.
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
