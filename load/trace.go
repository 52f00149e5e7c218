package load

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"

	"github.com/google/uuid"
	"github.com/pkg/errors"
)

const (
	// DefaultDeadlineMs applies to events without a deadline. It equals the default deadline of a service.
	DefaultDeadlineMs = 10_000
	// maxBodyBytes limits the body of an event. It equals the largest body size that a service can be configured to
	// accept.
	maxBodyBytes = 64 << 20
	// maxLineBytes limits the length of a line of a trace.
	maxLineBytes = 64 << 10
)

// Event is one line of a trace: a request at an offset in milliseconds from the start. Key is the Idempotency-Key of a
// POST; if it is empty, a UUIDv7 is generated when the request is sent.
type Event struct {
	AtMs       int64  `json:"at_ms"`
	Service    string `json:"service"`
	Customer   string `json:"customer"`
	Urgency    string `json:"urgency,omitempty"`
	Method     string `json:"method"`
	Path       string `json:"path"`
	BodyBytes  int    `json:"body_bytes,omitempty"`
	DeadlineMs int64  `json:"deadline_ms,omitempty"`
	Key        string `json:"key,omitempty"`
}

// normalize sets defaults and returns the first validation error.
func (e *Event) normalize() error {
	if e.Urgency == "" {
		e.Urgency = "normal"
	}
	if e.DeadlineMs == 0 {
		e.DeadlineMs = DefaultDeadlineMs
	}
	switch {
	case e.AtMs < 0:
		return fmt.Errorf("at_ms: %d must not be negative", e.AtMs)
	case e.Service == "" || e.Customer == "":
		return errors.New("service and customer must be set")
	case e.Urgency != "urgent" && e.Urgency != "normal" && e.Urgency != "batch":
		return fmt.Errorf("urgency: %q (permitted: urgent, normal, batch)", e.Urgency)
	case e.Method != http.MethodGet && e.Method != http.MethodPost:
		return fmt.Errorf("method: %q (permitted: GET, POST)", e.Method)
	case !strings.HasPrefix(e.Path, "/") || strings.ContainsAny(e.Path, "?# "):
		return fmt.Errorf("path: %q must begin with / and have no query", e.Path)
	case e.BodyBytes < 0 || e.BodyBytes > maxBodyBytes:
		return fmt.Errorf("body_bytes: %d is out of range (permitted: 0 to %d)", e.BodyBytes, maxBodyBytes)
	case e.DeadlineMs < 0:
		return fmt.Errorf("deadline_ms: %d must not be negative", e.DeadlineMs)
	case e.Key != "" && e.Method != http.MethodPost:
		return errors.New("key: permitted only with method POST")
	}
	return nil
}

// ReadTrace reads a trace with one JSON object per line and sorts it by time. It rejects duplicate keys, because two
// bookings with the same key cannot be told from one booking that ran twice.
func ReadTrace(r io.Reader) ([]Event, error) {
	var events []Event
	keys := map[string]int{}
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for n := 1; lines.Scan(); n++ {
		if strings.TrimSpace(lines.Text()) == "" {
			continue
		}
		var e Event
		dec := json.NewDecoder(strings.NewReader(lines.Text()))
		dec.DisallowUnknownFields()
		if err := dec.Decode(&e); err != nil {
			return nil, errors.Wrapf(err, "line %d", n)
		}
		if err := e.normalize(); err != nil {
			return nil, errors.Wrapf(err, "line %d", n)
		}
		if first, ok := keys[e.Key]; ok && e.Key != "" {
			return nil, fmt.Errorf("line %d: key %q was used in line %d", n, e.Key, first)
		}
		keys[e.Key] = n
		events = append(events, e)
	}
	if err := lines.Err(); err != nil {
		return nil, errors.Wrap(err, "trace")
	}
	sort.SliceStable(events, func(i, j int) bool { return events[i].AtMs < events[j].AtMs })
	return events, nil
}

// WriteTrace writes events in the format that ReadTrace reads.
func WriteTrace(w io.Writer, events []Event) error {
	buf := bufio.NewWriter(w)
	enc := json.NewEncoder(buf)
	for i := range events {
		if err := enc.Encode(&events[i]); err != nil {
			return err
		}
	}
	return buf.Flush()
}

// newToken returns a UUIDv7.
func newToken() string { return uuid.Must(uuid.NewV7()).String() }
