package resource

import (
	"bytes"
	"encoding/json"
	"strings"
)

// isObject reports whether the first character of the JSON value opens an object. The decoder would accept null and
// leave a spec of defaults.
func isObject(data []byte) bool {
	return bytes.HasPrefix(bytes.TrimLeft(data, " \t\r\n"), []byte("{"))
}

// object is an open JSON object, or an array when names is nil.
type object struct {
	names   map[string]bool
	inValue bool // the next token is a member's value
}

// duplicateName returns the first name that appears twice in one object, "" when there is none or data is not JSON. The
// decoder would keep the last value and drop the others. Field names of the spec itself are compared without regard to
// case, as the decoder does.
func duplicateName(data []byte) string {
	dec := json.NewDecoder(bytes.NewReader(data))
	var open []*object
	for {
		token, err := dec.Token()
		if err != nil {
			return ""
		}
		var top *object
		if len(open) > 0 {
			top = open[len(open)-1]
		}
		if name, ok := token.(string); ok && top != nil && top.names != nil && !top.inValue {
			if len(open) == 1 {
				name = strings.ToLower(name)
			}
			if top.names[name] {
				return token.(string)
			}
			top.names[name] = true
			top.inValue = true
			continue
		}
		if top != nil {
			top.inValue = false
		}
		switch token {
		case json.Delim('{'):
			open = append(open, &object{names: make(map[string]bool)})
		case json.Delim('['):
			open = append(open, &object{})
		case json.Delim('}'), json.Delim(']'):
			open = open[:len(open)-1]
		}
		if len(open) == 0 {
			return ""
		}
	}
}
