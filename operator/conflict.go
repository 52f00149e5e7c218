package operator

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"

	"github.com/berylwharf/berylwharf/resource"
	"github.com/berylwharf/berylwharf/statelog"
)

// maxHistoryEntries limits the number of specs of earlier versions that are kept to explain conflicts. They take about
// 128 KiB at the usual spec size of 500 bytes, and 16 MiB at the maximum spec size.
const maxHistoryEntries = 256

type versionKey struct {
	key     resource.Key
	version uint64
}

// specHistory keeps the specs of the versions that operators have most recently read or written. It is used only to list
// the differing fields in conflict errors; no decision depends on it.
type specHistory struct {
	mu       sync.Mutex
	specs    map[versionKey]json.RawMessage
	ring     [maxHistoryEntries]versionKey // keys of specs in insertion order; the oldest is overwritten when it is full
	writePos int
}

func newSpecHistory() *specHistory {
	return &specHistory{specs: make(map[versionKey]json.RawMessage, maxHistoryEntries)}
}

func (h *specHistory) add(r *resource.Resource) {
	k := versionKey{r.Key, r.Version}
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, ok := h.specs[k]; ok {
		return
	}
	delete(h.specs, h.ring[h.writePos])
	h.ring[h.writePos] = k
	h.writePos = (h.writePos + 1) % maxHistoryEntries
	h.specs[k] = r.Spec
}

func (h *specHistory) get(key resource.Key, version uint64) json.RawMessage {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.specs[versionKey{key, version}]
}

// conflictError returns the error response for a change that conflicts with the record winner.
func (s *service) conflictError(c *change, winner statelog.RecordID) *Error {
	current := s.store.Current().Get(c.Key)
	err := &Error{StatusCode: http.StatusConflict, Code: CodeConflict, ID: c.ID.String(), Current: current, WinnerID: formatRecordID(winner)}
	if current == nil {
		err.Message = fmt.Sprintf("%s does not exist any more; the change was based on version %d", c.Key, c.BaseVersion)
		return err
	}
	err.Author = current.Author
	err.Message = fmt.Sprintf("%s is at version %d, changed by %s; the change was based on version %d",
		c.Key, current.Version, current.Author, c.BaseVersion)
	if c.BaseVersion == 0 {
		err.Message = fmt.Sprintf("%s exists already at version %d, changed by %s", c.Key, current.Version, current.Author)
	}
	err.ComparedWith, err.Fields = CompareSpecs(s.specHistory.get(c.Key, c.BaseVersion), current.Spec, c.Spec)
	return err
}

// CompareSpecs returns the top-level fields in which current differs from base, or from sent if base is nil, and which of
// the two it was compared with.
func CompareSpecs(base, current, sent json.RawMessage) (comparedWith string, changes []FieldChange) {
	comparedWith, other := ComparedWithBase, base
	if base == nil {
		comparedWith, other = ComparedWithSent, sent
	}
	if other == nil {
		return "", nil
	}
	names, err := resource.ChangedFields(other, current)
	if err != nil {
		return "", nil
	}
	b, c, s := specFields(base), specFields(current), specFields(sent)
	for _, name := range names {
		changes = append(changes, FieldChange{Field: name, Base: b[name], Current: c[name], Sent: s[name]})
	}
	return comparedWith, changes
}

// specFields returns the top-level fields of a spec, which is canonical JSON or empty.
func specFields(spec json.RawMessage) map[string]json.RawMessage {
	var m map[string]json.RawMessage
	if len(spec) > 0 {
		_ = json.Unmarshal(spec, &m)
	}
	return m
}
