package settings

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"net/url"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/tailscale/hujson"

	"github.com/berylwharf/berylwharf/resource"
)

// field describes one key of the settings file.
type field struct {
	key       string // qualified with its section, for example "peers.key"
	required  bool
	permitted string
	// set stores a valid value. For an invalid value it returns a description of the problem, else "".
	set func(s *Settings, v hujson.Value) string
}

// section returns the section of the key with a trailing dot, or "" for a key at the top level.
func (f *field) section() string { return f.key[:strings.LastIndexByte(f.key, '.')+1] }

const (
	permittedName    = "1 to 63 characters of a-z, 0-9, '.' and '-', first and last a letter or digit"
	permittedListen  = "an IP address with a port, for example 127.0.0.1:8080"
	permittedSecret  = "16 to 256 printable ASCII characters without spaces"
	permittedAllow   = "1 to 64 networks, for example 10.0.0.0/8"
	permittedPeers   = "at most 64 IP addresses with ports from 1 to 65535"
	permittedURL     = "http://IP:port or https://IP:port"
	permittedLevel   = "debug, info, warn, error"
	permittedFormats = "text, json"

	minSecretBytes = 16
	maxSecretBytes = 256
	maxListEntries = 64

	minHeaderBytes = 4 << 10
	maxHeaderBytes = 1 << 20

	// minMemoryMB leaves room for the process itself, which uses about 19 MB in calm operation. minMaxFDs leaves room for
	// files and for calls to other processes.
	minMemoryMB       = 32
	minMaxFDs         = 256
	minClientMemoryMB = 8
	minConnections    = 16
	maxLimit          = 1 << 20
)

// fields lists all keys, in the order in which the documentation describes them.
var fields = []field{
	textField("node", true, permittedName, checkName, func(s *Settings) *string { return &s.Node }),
	textField("vm", false, permittedName, checkName, func(s *Settings) *string { return &s.VM }),
	textField("zone", true, permittedName, checkName, func(s *Settings) *string { return &s.Zone }),
	textField("region", true, permittedName, checkName, func(s *Settings) *string { return &s.Region }),
	listenField("callers.listen", func(s *Settings) *netip.AddrPort { return &s.Callers.Listen }),
	intField("callers.maxHeaderBytes", minHeaderBytes, maxHeaderBytes, func(s *Settings) *int { return &s.Callers.MaxHeaderBytes }),
	listenField("operators.listen", func(s *Settings) *netip.AddrPort { return &s.Operators.Listen }),
	secretField("operators.token", false, func(s *Settings) *Secret { return &s.Operators.Token }),
	networksField("operators.allow", func(s *Settings) *[]netip.Prefix { return &s.Operators.Allow }),
	listenField("peers.listen", func(s *Settings) *netip.AddrPort { return &s.Peers.Listen }),
	secretField("peers.key", true, func(s *Settings) *Secret { return &s.Peers.Key }),
	networksField("peers.allow", func(s *Settings) *[]netip.Prefix { return &s.Peers.Allow }),
	{key: "peers.addresses", permitted: permittedPeers, set: setPeerAddresses},
	listenField("admin.listen", func(s *Settings) *netip.AddrPort { return &s.Admin.Listen }),
	textField("platform.url", true, permittedURL, checkURL, func(s *Settings) *string { return &s.Platform.URL }),
	durationField("platform.pollInterval", 10*time.Millisecond, 2*time.Second, func(s *Settings) *time.Duration { return &s.Platform.PollInterval }),
	durationField("platform.logRetention", time.Second, 8760*time.Hour, func(s *Settings) *time.Duration { return &s.Platform.LogRetention }),
	textField("log.level", false, permittedLevel, oneOf(permittedLevel), func(s *Settings) *string { return &s.Log.Level }),
	textField("log.format", false, permittedFormats, oneOf(permittedFormats), func(s *Settings) *string { return &s.Log.Format }),
	limitField("limits.memoryMB", minMemoryMB, func(s *Settings) *int { return &s.Limits.MemoryMB }),
	limitField("limits.maxFDs", minMaxFDs, func(s *Settings) *int { return &s.Limits.MaxFDs }),
	limitField("limits.clientMemoryMB", minClientMemoryMB, func(s *Settings) *int { return &s.Limits.ClientMemoryMB }),
	limitField("limits.maxConnections", minConnections, func(s *Settings) *int { return &s.Limits.MaxConnections }),
	durationField("shutdownTimeout", 100*time.Millisecond, time.Hour, func(s *Settings) *time.Duration { return &s.ShutdownTimeout }),
}

func findField(key string) *field {
	for i := range fields {
		if fields[i].key == key {
			return &fields[i]
		}
	}
	return nil
}

// sections returns the names of the sections, in the order of fields.
func sections() []string {
	var names []string
	for i := range fields {
		name := strings.TrimSuffix(fields[i].section(), ".")
		if name != "" && (len(names) == 0 || names[len(names)-1] != name) {
			names = append(names, name)
		}
	}
	return names
}

func isSection(key string) bool {
	for _, s := range sections() {
		if s == key {
			return true
		}
	}
	return false
}

// permittedKeys lists the keys of the section with this prefix. With the prefix "" it lists the keys of the top level,
// followed by the names of the sections.
func permittedKeys(prefix string) string {
	var keys []string
	for i := range fields {
		if f := &fields[i]; f.section() == prefix {
			keys = append(keys, strings.TrimPrefix(f.key, prefix))
		}
	}
	if prefix == "" {
		keys = append(keys, sections()...)
	}
	return strings.Join(keys, ", ")
}

// stringValue returns the value of a string, or a description of the problem if the value has another type.
func stringValue(v hujson.Value) (s, problem string) {
	if v.Value.Kind() != '"' {
		return "", "the value is " + kindName(v.Value.Kind()) + ", not a string"
	}
	return v.Value.(hujson.Literal).String(), ""
}

// stringList returns the strings of an array, or a description of the problem if a value has another type.
func stringList(v hujson.Value) (list []string, problem string) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		return nil, "the value is " + kindName(v.Value.Kind()) + ", not an array"
	}
	for i, e := range array.Elements {
		s, problem := stringValue(e)
		if problem != "" {
			return nil, fmt.Sprintf("entry %d: %s", i+1, problem)
		}
		list = append(list, s)
	}
	return list, ""
}

func textField(key string, required bool, permitted string, check func(string) string, dest func(*Settings) *string) field {
	return field{key: key, required: required, permitted: permitted, set: func(s *Settings, v hujson.Value) string {
		str, problem := stringValue(v)
		if problem == "" {
			problem = check(str)
		}
		if problem == "" {
			*dest(s) = str
		}
		return problem
	}}
}

func listenField(key string, dest func(*Settings) *netip.AddrPort) field {
	return field{key: key, required: true, permitted: permittedListen, set: func(s *Settings, v hujson.Value) string {
		str, problem := stringValue(v)
		if problem != "" {
			return problem
		}
		addr, problem := parseAddr(str)
		if problem == "" {
			*dest(s) = addr
		}
		return problem
	}}
}

// parseAddr parses an IP address with a port. It rejects host names and IPv6 zones.
func parseAddr(str string) (addr netip.AddrPort, problem string) {
	addr, err := netip.ParseAddrPort(str)
	if err != nil {
		return addr, printable(str) + " is not an IP address with a port"
	}
	if addr.Addr().Zone() != "" {
		return addr, printable(str) + " has an IPv6 zone"
	}
	return addr, ""
}

func setPeerAddresses(s *Settings, v hujson.Value) string {
	list, problem := stringList(v)
	if problem != "" {
		return problem
	}
	if len(list) > maxListEntries {
		return fmt.Sprintf("%d entries", len(list))
	}
	addrs := make([]netip.AddrPort, 0, len(list))
	for i, str := range list {
		addr, problem := parseAddr(str)
		if problem == "" && addr.Port() == 0 {
			problem = printable(str) + " has port 0"
		}
		if problem != "" {
			return fmt.Sprintf("entry %d: %s", i+1, problem)
		}
		addrs = append(addrs, addr)
	}
	s.Peers.Addresses = addrs
	return ""
}

func networksField(key string, dest func(*Settings) *[]netip.Prefix) field {
	return field{key: key, permitted: permittedAllow, set: func(s *Settings, v hujson.Value) string {
		list, problem := stringList(v)
		if problem != "" {
			return problem
		}
		if len(list) < 1 || len(list) > maxListEntries {
			return fmt.Sprintf("%d entries", len(list))
		}
		prefixes := make([]netip.Prefix, 0, len(list))
		for i, str := range list {
			prefix, err := netip.ParsePrefix(str)
			if err != nil {
				return fmt.Sprintf("entry %d: %s is not a network", i+1, printable(str))
			}
			prefixes = append(prefixes, prefix.Masked())
		}
		*dest(s) = prefixes
		return ""
	}}
}

// secretField returns the field of a string whose value never appears in an error message.
func secretField(key string, required bool, dest func(*Settings) *Secret) field {
	return field{key: key, required: required, permitted: permittedSecret, set: func(s *Settings, v hujson.Value) string {
		str, problem := stringValue(v)
		if problem != "" {
			return problem
		}
		if len(str) < minSecretBytes || len(str) > maxSecretBytes {
			return fmt.Sprintf("%d characters", len(str))
		}
		for _, c := range []byte(str) {
			if c <= ' ' || c > '~' {
				return "a character other than printable ASCII without spaces"
			}
		}
		*dest(s) = Secret(str)
		return ""
	}}
}

func intField(key string, low, high int, dest func(*Settings) *int) field {
	permitted := fmt.Sprintf("%d to %d", low, high)
	return field{key: key, permitted: permitted, set: func(s *Settings, v hujson.Value) string {
		if v.Value.Kind() != '0' {
			return "the value is " + kindName(v.Value.Kind()) + ", not a number"
		}
		raw := string(v.Value.(hujson.Literal))
		var n int
		if err := json.Unmarshal([]byte(raw), &n); err != nil {
			return printable(raw) + " is not an integer of this range"
		}
		if n < low || n > high {
			return strconv.Itoa(n) + " is out of range"
		}
		*dest(s) = n
		return ""
	}}
}

// limitField returns the field of a number that is 0 or at least low.
func limitField(key string, low int, dest func(*Settings) *int) field {
	f := intField(key, 0, maxLimit, dest)
	f.permitted = fmt.Sprintf("0, or %d to %d", low, maxLimit)
	setInt := f.set
	f.set = func(s *Settings, v hujson.Value) string {
		if problem := setInt(s, v); problem != "" {
			return problem
		}
		if n := *dest(s); n != 0 && n < low {
			return strconv.Itoa(n) + " is out of range"
		}
		return ""
	}
	return f
}

func durationField(key string, low, high time.Duration, dest func(*Settings) *time.Duration) field {
	permitted := fmt.Sprintf("%s to %s, with the unit ms, s, m or h", formatDuration(low), formatDuration(high))
	return field{key: key, permitted: permitted, set: func(s *Settings, v hujson.Value) string {
		str, problem := stringValue(v)
		if problem != "" {
			return problem
		}
		d, err := time.ParseDuration(str)
		if err != nil || !durationUnits.MatchString(str) {
			return printable(str) + " is not a duration"
		}
		if d < low || d > high {
			return printable(str) + " is out of range"
		}
		*dest(s) = d
		return ""
	}}
}

// durationUnits matches durations in the units ms, s, m and h. Smaller units are not needed, and accepting them would hide
// mistakes such as "1us".
var durationUnits = regexp.MustCompile(`^-?([0-9.]+(ms|s|m|h))+$`)

// formatDuration formats a duration without the trailing zero units of time.Duration.String, which prints "1h0m0s" for 1h.
func formatDuration(d time.Duration) string {
	s := d.String()
	s = strings.Replace(s, "m0s", "m", 1)
	return strings.Replace(s, "h0m", "h", 1)
}

func checkName(s string) string {
	if !resource.ValidName(s) {
		return printable(s) + " is not a name"
	}
	return ""
}

func checkURL(s string) string {
	if strings.Contains(s, "@") {
		return "the value contains a user name" // the value is not shown, because it may also contain a password
	}
	u, err := url.Parse(s)
	if err != nil {
		return printable(s) + " is not a URL"
	}
	baseURL := url.URL{Scheme: u.Scheme, Host: u.Host}
	if u.Scheme != "http" && u.Scheme != "https" || baseURL.String() != s {
		return printable(s) + " is not of this form"
	}
	addr, problem := parseAddr(u.Host)
	if problem == "" && addr.Port() == 0 {
		problem = "the port is 0"
	}
	return problem
}

func oneOf(permitted string) func(string) string {
	return func(s string) string {
		for _, p := range strings.Split(permitted, ", ") {
			if s == p {
				return ""
			}
		}
		return printable(s) + " is not known"
	}
}
