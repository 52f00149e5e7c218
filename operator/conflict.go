package operator

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"

	"github.com/berylwharf/berylwharf/resource"
	"github.com/berylwharf/berylwharf/statelog"
)

// maxHistory bounds the specs of earlier versions that are kept to explain conflicts. At the usual size of 500 bytes
// they take about 128 KiB, at the permitted size of a spec 16 MiB.
const maxHistory = 256

type versionKey struct {
	key     resource.Key
	version uint64
}

// history keeps the specs of the versions that operators have read or written last. It only explains conflicts; no
// decision depends on it.
type history struct {
	mu    sync.Mutex
	specs map[versionKey]json.RawMessage
	ring  [maxHistory]versionKey // in order of arrival; the oldest entry is replaced when it is full
	next  int
}

func newHistory() *history { return &history{specs: make(map[versionKey]json.RawMessage, maxHistory)} }

func (h *history) add(r *resource.Resource) {
	k := versionKey{r.Key, r.Version}
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, ok := h.specs[k]; ok {
		return
	}
	delete(h.specs, h.ring[h.next])
	h.ring[h.next] = k
	h.next = (h.next + 1) % maxHistory
	h.specs[k] = r.Spec
}

func (h *history) get(key resource.Key, version uint64) json.RawMessage {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.specs[versionKey{key, version}]
}

// conflict describes a change that lost against the record winner.
func (s *service) conflict(c *change, winner statelog.RecordID) *Error {
	current := s.store.Current().Get(c.Key)
	err := &Error{StatusCode: http.StatusConflict, Code: CodeConflict, ID: c.ID.String(), Current: current, Winner: idText(winner)}
	if current == nil {
		err.Message = fmt.Sprintf("%s does not exist any more; the change was based on version %d", c.Key, c.Base)
		return err
	}
	err.Author = current.Author
	err.Message = fmt.Sprintf("%s is at version %d, changed by %s; the change was based on version %d",
		c.Key, current.Version, current.Author, c.Base)
	if c.Base == 0 {
		err.Message = fmt.Sprintf("%s exists already at version %d, changed by %s", c.Key, current.Version, current.Author)
	}
	err.ComparedWith, err.Fields = CompareSpecs(s.history.get(c.Key, c.Base), current.Spec, c.Spec)
	return err
}

// CompareSpecs returns the top-level fields in which current differs from base, or from what was sent when base is not known.
func CompareSpecs(base, current, sent json.RawMessage) (with string, changes []FieldChange) {
	with, other := ComparedWithBase, base
	if base == nil {
		with, other = ComparedWithSent, sent
	}
	if other == nil {
		return "", nil
	}
	names, err := resource.ChangedFields(other, current)
	if err != nil {
		return "", nil
	}
	b, c, s := members(base), members(current), members(sent)
	for _, name := range names {
		changes = append(changes, FieldChange{Field: name, Base: b[name], Current: c[name], Sent: s[name]})
	}
	return with, changes
}

// members returns the fields of a spec, which is canonical JSON or empty.
func members(spec json.RawMessage) map[string]json.RawMessage {
	var m map[string]json.RawMessage
	if len(spec) > 0 {
		_ = json.Unmarshal(spec, &m)
	}
	return m
}
