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

// Error is one problem of a settings file.
type Error struct {
	File string
	Line int // from 1
	Key  string
	// Problem says what is wrong, without the value of a secret.
	Problem string
	// Permitted lists the permitted values. It is empty for a syntax error.
	Permitted string
}

// Error returns the problem on one line.
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

// Errors are all problems of a settings file in the order of their lines.
type Errors []*Error

// Error returns one line for each problem.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, err := range e {
		lines[i] = err.Error()
	}
	return strings.Join(lines, "\n")
}

// Parse checks the settings in data and returns them. Name is the file name for messages. The error is an Errors value.
func Parse(name string, data []byte) (*Settings, error) {
	p := &parser{file: name, settings: defaults(), lines: make(map[string]int)}
	if len(data) > maxFileBytes {
		p.add(1, "", "the file is too large", fmt.Sprintf("at most %d bytes", maxFileBytes))
		return nil, p.errs
	}
	// hujson refuses a line comment that ends without a newline, as the last line of a file may.
	p.data = append(bytes.Clone(data), '\n')
	root, err := hujson.Parse(p.data)
	if err != nil {
		p.addSyntax(err)
		return nil, p.errs
	}
	p.root(root)
	if len(p.errs) > 0 {
		sort.SliceStable(p.errs, func(i, j int) bool { return p.errs[i].Line < p.errs[j].Line })
		return nil, p.errs
	}
	return p.settings, nil
}

// parser collects the settings and the problems of one file.
type parser struct {
	file     string
	data     []byte
	settings *Settings
	lines    map[string]int // line of each key that was seen
	errs     Errors
}

func (p *parser) add(line int, key, problem, permitted string) {
	p.errs = append(p.errs, &Error{File: p.file, Line: line, Key: key, Problem: problem, Permitted: permitted})
}

var syntaxError = regexp.MustCompile(`(?s)^hujson: line (\d+), column (\d+): (.*)$`)

// invalidLiteral starts hujson's message about a literal that is not JSON.
const invalidLiteral = "invalid literal"

// addSyntax moves the line of a syntax error to where other problems have it.
func (p *parser) addSyntax(err error) {
	m := syntaxError.FindStringSubmatch(err.Error())
	if m == nil {
		p.add(1, "", "syntax: "+strconv.Quote(err.Error()), "JSON with comments")
		return
	}
	line, _ := strconv.Atoi(m[1]) // the pattern admits digits only
	problem := m[3]
	if strings.HasPrefix(problem, invalidLiteral) {
		problem = invalidLiteral // followed by the value itself, which may be a secret
	}
	p.add(line, "", "syntax: column "+m[2]+": "+problem, "")
}

func (p *parser) line(v hujson.Value) int {
	return 1 + bytes.Count(p.data[:v.StartOffset], []byte("\n"))
}

// root checks the top-level object, its sections, and what involves several keys.
func (p *parser) root(v hujson.Value) {
	if _, ok := v.Value.(*hujson.Object); !ok {
		p.add(p.line(v), "", "the top-level value is "+kindName(v.Value.Kind()), "an object")
		return
	}
	p.object(v, "")
	p.finish()
}

// object checks the members of the top-level object (prefix "") or of a section (prefix "name.").
func (p *parser) object(v hujson.Value, prefix string) {
	start := p.line(v)
	for _, m := range v.Value.(*hujson.Object).Members {
		p.member(m, prefix)
	}
	for i := range fields {
		f := &fields[i]
		if !f.required || f.section() != prefix {
			continue
		}
		if _, ok := p.lines[f.key]; !ok {
			p.add(start, f.key, "missing", f.permitted)
		}
	}
	if prefix != "" {
		return
	}
	for _, section := range sections() {
		if _, ok := p.lines[section]; !ok {
			p.missingSection(start, section)
		}
	}
}

// missingSection reports the required keys of a section that was left out.
func (p *parser) missingSection(line int, section string) {
	for i := range fields {
		if f := &fields[i]; f.required && f.section() == section+"." {
			p.add(line, f.key, "missing", f.permitted)
		}
	}
}

func (p *parser) member(m hujson.ObjectMember, prefix string) {
	name := m.Name.Value.(hujson.Literal).String()
	key := prefix + name
	line := p.line(m.Name)
	f, section := findField(key), isSection(key)
	if f == nil && !section {
		p.add(line, prefix+printable(name), "unknown key", permittedKeys(prefix))
		return
	}
	if first, ok := p.lines[key]; ok {
		p.add(line, key, fmt.Sprintf("duplicate key, first on line %d", first), "once")
		return
	}
	p.lines[key] = line
	if section {
		p.section(m.Value, key)
		return
	}
	if problem := f.set(p.settings, m.Value); problem != "" {
		p.add(p.line(m.Value), key, problem, f.permitted)
	}
}

func (p *parser) section(v hujson.Value, key string) {
	if _, ok := v.Value.(*hujson.Object); !ok {
		p.add(p.line(v), key, "the value is "+kindName(v.Value.Kind()), "an object")
		p.missingSection(p.line(v), key)
		return
	}
	p.object(v, key+".")
}

// finish fills in what depends on other keys and compares the listeners.
func (p *parser) finish() {
	s := p.settings
	if s.VM == "" {
		s.VM = s.Node
	}
	seen := make(map[string]string)
	for _, l := range []struct{ key, addr string }{
		{"callers.listen", s.Callers.Listen.String()},
		{"operators.listen", s.Operators.Listen.String()},
		{"peers.listen", s.Peers.Listen.String()},
		{"admin.listen", s.Admin.Listen.String()},
	} {
		if strings.HasSuffix(l.addr, ":0") || l.addr == noAddr {
			continue
		}
		if other, ok := seen[l.addr]; ok {
			p.add(p.lines[l.key], l.key, "same address as "+other, "a different address or port for each listener")
			continue
		}
		seen[l.addr] = l.key
	}
}

// noAddr is how netip formats an address that was not set.
const noAddr = "invalid AddrPort"

// maxShown bounds how much of a value is repeated in a message.
const maxShown = 64

// printable returns a key or value from the file in a form that fits on one line.
func printable(s string) string {
	if len(s) > maxShown {
		s = s[:maxShown] + "..."
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
