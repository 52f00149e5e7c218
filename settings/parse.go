package settings

import (
	"bytes"
	"fmt"
	"regexp"
	"sort"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// Error describes one problem in a settings file.
type Error struct {
	File string
	Line int // starts at 1
	Key  string
	// Problem describes what is wrong. It never contains the value of a secret.
	Problem string
	// Permitted describes the permitted values. It is empty for most syntax errors.
	Permitted string
}

// Error implements error. The message is a single line.
func (e *Error) Error() string {
	s := fmt.Sprintf("%s:%d: ", e.File, e.Line)
	if e.Key != "" {
		s += e.Key + ": "
	}
	s += e.Problem
	if e.Permitted != "" {
		s += " (permitted: " + e.Permitted + ")"
	}
	return s
}

// Errors holds all problems of a settings file, ordered by line.
type Errors []*Error

// Error implements error. The message has one line for each problem.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, err := range e {
		lines[i] = err.Error()
	}
	return strings.Join(lines, "\n")
}

// Parse parses and validates the settings in data. The file name is used in error messages only. The error is of type
// Errors.
func Parse(name string, data []byte) (*Settings, error) {
	p := &parser{file: name, settings: defaults(), lines: make(map[string]int)}
	if len(data) > maxFileBytes {
		p.addError(1, "", "the file is too large", fmt.Sprintf("at most %d bytes", maxFileBytes))
		return nil, p.errs
	}
	// hujson rejects a line comment without a newline at its end, but the last line of a file may have none.
	p.data = append(bytes.Clone(data), '\n')
	root, err := hujson.Parse(p.data)
	if err != nil {
		p.addSyntaxError(err)
		return nil, p.errs
	}
	p.checkRoot(root)
	if len(p.errs) > 0 {
		sort.SliceStable(p.errs, func(i, j int) bool { return p.errs[i].Line < p.errs[j].Line })
		return nil, p.errs
	}
	return p.settings, nil
}

// parser holds the state of parsing one file: the settings and the problems found so far.
type parser struct {
	file     string
	data     []byte
	settings *Settings
	lines    map[string]int // line of each key and section parsed so far
	errs     Errors
}

func (p *parser) addError(line int, key, problem, permitted string) {
	p.errs = append(p.errs, &Error{File: p.file, Line: line, Key: key, Problem: problem, Permitted: permitted})
}

var syntaxError = regexp.MustCompile(`(?s)^hujson: line (\d+), column (\d+): (.*)$`)

// invalidLiteral is the start of hujson's error message for a literal that is not valid JSON.
const invalidLiteral = "invalid literal"

// addSyntaxError adds a syntax error of hujson. It takes the line number from hujson's message.
func (p *parser) addSyntaxError(err error) {
	m := syntaxError.FindStringSubmatch(err.Error())
	if m == nil {
		p.addError(1, "", "syntax: "+strconv.Quote(err.Error()), "JSON with comments")
		return
	}
	line, _ := strconv.Atoi(m[1]) // the pattern matches digits only
	problem := m[3]
	if strings.HasPrefix(problem, invalidLiteral) {
		problem = invalidLiteral // without the literal that follows, which may be a secret
	}
	p.addError(line, "", "syntax: column "+m[2]+": "+problem, "")
}

func (p *parser) lineOf(v hujson.Value) int {
	return 1 + bytes.Count(p.data[:v.StartOffset], []byte("\n"))
}

// checkRoot checks the top-level object, its sections, and the constraints that involve several keys.
func (p *parser) checkRoot(v hujson.Value) {
	if _, ok := v.Value.(*hujson.Object); !ok {
		p.addError(p.lineOf(v), "", "the top-level value is "+kindName(v.Value.Kind()), "an object")
		return
	}
	p.checkObject(v, "")
	p.finish()
}

// checkObject checks the members of the top-level object (prefix "") or of a section (prefix "name.").
func (p *parser) checkObject(v hujson.Value, prefix string) {
	start := p.lineOf(v)
	for _, m := range v.Value.(*hujson.Object).Members {
		p.checkMember(m, prefix)
	}
	for i := range fields {
		f := &fields[i]
		if !f.required || f.section() != prefix {
			continue
		}
		if _, ok := p.lines[f.key]; !ok {
			p.addError(start, f.key, "missing", f.permitted)
		}
	}
	if prefix != "" {
		return
	}
	for _, section := range sections() {
		if _, ok := p.lines[section]; !ok {
			p.addMissingKeys(start, section)
		}
	}
}

// addMissingKeys reports all required keys of a section that is absent or is not an object.
func (p *parser) addMissingKeys(line int, section string) {
	for i := range fields {
		if f := &fields[i]; f.required && f.section() == section+"." {
			p.addError(line, f.key, "missing", f.permitted)
		}
	}
}

func (p *parser) checkMember(m hujson.ObjectMember, prefix string) {
	name := m.Name.Value.(hujson.Literal).String()
	key := prefix + name
	line := p.lineOf(m.Name)
	f, section := findField(key), isSection(key)
	if f == nil && !section {
		p.addError(line, prefix+printable(name), "unknown key", permittedKeys(prefix))
		return
	}
	if first, ok := p.lines[key]; ok {
		p.addError(line, key, fmt.Sprintf("duplicate key, first on line %d", first), "once")
		return
	}
	p.lines[key] = line
	if section {
		p.checkSection(m.Value, key)
		return
	}
	if problem := f.set(p.settings, m.Value); problem != "" {
		p.addError(p.lineOf(m.Value), key, problem, f.permitted)
	}
}

func (p *parser) checkSection(v hujson.Value, key string) {
	if _, ok := v.Value.(*hujson.Object); !ok {
		p.addError(p.lineOf(v), key, "the value is "+kindName(v.Value.Kind()), "an object")
		p.addMissingKeys(p.lineOf(v), key)
		return
	}
	p.checkObject(v, key+".")
}

// finish sets the defaults that depend on other keys and checks that no two listeners have the same address.
func (p *parser) finish() {
	s := p.settings
	if s.VM == "" {
		s.VM = s.Node
	}
	p.checkLimits()
	seen := make(map[string]string)
	for _, l := range []struct{ key, addr string }{
		{"callers.listen", s.Callers.Listen.String()},
		{"operators.listen", s.Operators.Listen.String()},
		{"peers.listen", s.Peers.Listen.String()},
		{"admin.listen", s.Admin.Listen.String()},
	} {
		if strings.HasSuffix(l.addr, ":0") || l.addr == unsetAddr {
			continue
		}
		if other, ok := seen[l.addr]; ok {
			p.addError(p.lines[l.key], l.key, "same address as "+other, "a different address or port for each listener")
			continue
		}
		seen[l.addr] = l.key
	}
}

// checkLimits checks the limits that depend on each other.
func (p *parser) checkLimits() {
	l := p.settings.Limits
	if l.MemoryMB > 0 && l.ClientMemoryMB > l.MemoryMB/2 {
		const key = "limits.clientMemoryMB"
		p.addError(p.lines[key], key, strconv.Itoa(l.ClientMemoryMB)+" is more than half of limits.memoryMB",
			fmt.Sprintf("at most %d", l.MemoryMB/2))
	}
	if l.MaxFDs > 0 && l.MaxConnections >= l.MaxFDs {
		const key = "limits.maxConnections"
		p.addError(p.lines[key], key, strconv.Itoa(l.MaxConnections)+" is not less than limits.maxFDs",
			fmt.Sprintf("at most %d", l.MaxFDs-1))
	}
}

// unsetAddr is the string form of the zero netip.AddrPort.
const unsetAddr = "invalid AddrPort"

// maxQuotedBytes limits how much of a value is quoted in a message.
const maxQuotedBytes = 64

// printable returns a key or value of the file in a form that fits on one line. It is truncated if long, and quoted if it
// is empty or contains a space, a colon or a character that needs escaping.
func printable(s string) string {
	if len(s) > maxQuotedBytes {
		s = s[:maxQuotedBytes] + "..."
	}
	q := strconv.Quote(s)
	if s != "" && q == `"`+s+`"` && !strings.ContainsAny(s, " :") {
		return s
	}
	return q
}

func kindName(k hujson.Kind) string {
	switch k {
	case 'n':
		return "null"
	case 't', 'f':
		return "a boolean"
	case '"':
		return "a string"
	case '0':
		return "a number"
	case '{':
		return "an object"
	}
	return "an array"
}
