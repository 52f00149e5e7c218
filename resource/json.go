package resource

import (
	"bytes"
	"encoding/json"
	"strings"
)

// isObject reports whether data starts with an opening brace. Without this check, json.Decoder would accept null and leave
// the spec unchanged, so that it would consist of defaults.
func isObject(data []byte) bool {
	return bytes.HasPrefix(bytes.TrimLeft(data, " \t\r\n"), []byte("{"))
}

// container is a JSON object or array whose closing bracket has not been read yet. In an array, names is nil.
type container struct {
	names       map[string]bool
	expectValue bool // whether the next token is the value of a member
}

// duplicateName returns the first member name that appears twice in one object. It returns "" if there is none or if data
// is not valid JSON. json.Decoder would silently keep only the last value. Field names of the top-level object are compared
// case-insensitively, as json.Decoder matches them.
func duplicateName(data []byte) string {
	dec := json.NewDecoder(bytes.NewReader(data))
	var stack []*container
	for {
		token, err := dec.Token()
		if err != nil {
			return ""
		}
		var top *container
		if len(stack) > 0 {
			top = stack[len(stack)-1]
		}
		if name, ok := token.(string); ok && top != nil && top.names != nil && !top.expectValue {
			if len(stack) == 1 {
				name = strings.ToLower(name)
			}
			if top.names[name] {
				return token.(string)
			}
			top.names[name] = true
			top.expectValue = true
			continue
		}
		if top != nil {
			top.expectValue = false
		}
		switch token {
		case json.Delim('{'):
			stack = append(stack, &container{names: make(map[string]bool)})
		case json.Delim('['):
			stack = append(stack, &container{})
		case json.Delim('}'), json.Delim(']'):
			stack = stack[:len(stack)-1]
		}
		if len(stack) == 0 {
			return ""
		}
	}
}
