package operator

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/berylwharf/berylwharf/resource"
)

// HeaderNextOffset carries a log read position in requests and responses; see the package comment.
const HeaderNextOffset = "Berylwharf-Next"

const (
	// MaxBodyBytes limits the size of a request body: a spec, which may contain white space, and the other fields.
	MaxBodyBytes = resource.MaxSpecBytes + 32<<10
	// MaxAuthorBytes limits the length of an operator's name.
	MaxAuthorBytes = 128
)

// PutRequest is the body of PUT /v1/resources/{kind}/{name}.
type PutRequest struct {
	// BaseVersion is the version that the change is based on, or 0 if the resource does not exist. It is required.
	BaseVersion *uint64 `json:"base"`
	// ID is the record identifier, 32 hexadecimal digits. If it is empty, the handler generates one.
	ID string `json:"id,omitempty"`
	// Author is the name of the operator: 1 to MaxAuthorBytes bytes of printable characters. It is required.
	Author string          `json:"author"`
	Spec   json.RawMessage `json:"spec"`
}

// DeleteRequest holds the query parameters base, id and author of DELETE /v1/resources/{kind}/{name}.
type DeleteRequest struct {
	BaseVersion uint64 // greater than 0
	ID          string
	Author      string
}

// ListResponse is the response to GET /v1/resources/{kind}.
type ListResponse struct {
	NextOffset uint64               `json:"next"`
	Resources  []*resource.Resource `json:"resources"` // sorted by name
}

// ChangeResponse is the response to an accepted change.
type ChangeResponse struct {
	ID     string `json:"id"`
	Status string `json:"status"` // always "accepted"
	Offset uint64 `json:"offset"` // offset of the record; after a put also the version of the resource
	// Resource is the resource as stored by the put. It is nil after a deletion, or if a later change has replaced it.
	Resource *resource.Resource `json:"resource,omitempty"`
}

// ChangeStatus is the response to GET /v1/changes/{id}.
type ChangeStatus struct {
	ID             string `json:"id"`
	Status         string `json:"status"` // "accepted", "conflict", "stale" or "malformed"
	Offset         uint64 `json:"offset"`
	CurrentVersion uint64 `json:"current,omitempty"` // on conflict: version of the resource at Offset, 0 if it did not exist
	WinnerID       string `json:"winner,omitempty"`  // on conflict: identifier of the record that set or deleted it, if known
	Message        string `json:"message,omitempty"`
}

// NodeStatus is the state of one node as seen by the responding node.
type NodeStatus struct {
	Node        string `json:"node"`
	VM          string `json:"vm"`
	Zone        string `json:"zone"`
	Region      string `json:"region"`
	PeerAddr    string `json:"peerAddr,omitempty"`
	Incarnation uint64 `json:"incarnation"`
	Self        bool   `json:"self,omitempty"` // whether this is the responding node
	Member      bool   `json:"member"`
	State       string `json:"state"` // "ready", "not-ready", "draining" or "silent"
	Epoch       uint64 `json:"epoch"`
	NextOffset  uint64 `json:"next"`                // next log offset that the node will read
	StateHash   string `json:"stateHash,omitempty"` // hexadecimal; equal on all nodes with the same NextOffset
	LastHeardMs int64  `json:"lastHeardMs"`         // milliseconds since its last heartbeat, 0 for the responding node
	Message     string `json:"message,omitempty"`   // for example why the node is not ready
}

// NodesResponse is the response to GET /v1/nodes.
type NodesResponse struct {
	Nodes []NodeStatus `json:"nodes"` // sorted by region and name
}

// EventType is the type of an event in the watch stream.
type EventType string

// Types of events.
const (
	EventChanged EventType = "changed" // Resource was created or changed
	EventDeleted EventType = "deleted" // the resource Key no longer exists
	// EventSynced ends a group of changes: the stream has sent all changes before NextOffset, and a client that
	// reconnects with from=NextOffset misses none. If a stream starts with from above 0, its first EventSynced has Keys,
	// the keys of all existing resources of the selected kind.
	EventSynced    EventType = "synced"
	EventKeepAlive EventType = "alive" // sent when there was no event for Config.KeepAlive
)

// Event is one line of GET /v1/watch.
type Event struct {
	Type       EventType          `json:"type"`
	Resource   *resource.Resource `json:"resource,omitempty"`
	Key        *resource.Key      `json:"key,omitempty"`
	NextOffset uint64             `json:"next,omitempty"`
	Keys       *[]resource.Key    `json:"keys,omitempty"`
}

// Code identifies the reason of an error response.
type Code string

// Codes of error responses, with their HTTP status.
const (
	CodeMalformed        Code = "malformed_request"  // 400
	CodeUnauthorized     Code = "unauthorized"       // 401
	CodeForbidden        Code = "forbidden"          // 403
	CodeNotFound         Code = "not_found"          // 404
	CodeUnknownChange    Code = "unknown_change"     // 404
	CodeMethodNotAllowed Code = "method_not_allowed" // 405
	CodeConflict         Code = "conflict"           // 409
	CodeTooLarge         Code = "too_large"          // 413
	CodeInvalid          Code = "invalid"            // 422
	CodeMissingReference Code = "missing_reference"  // 422
	CodeInUse            Code = "in_use"             // 422
	CodeIdentifierReused Code = "identifier_reused"  // 422
	CodeTooManyWatches   Code = "too_many_watches"   // 429
	CodeInternal         Code = "internal"           // 500
	CodeNotAccepted      Code = "not_accepted"       // 503
	CodeBehind           Code = "behind"             // 503
	CodeOutcomeUnknown   Code = "outcome_unknown"    // 504
)

// FieldChange holds the values of a field of a spec in the base version, in the current version, and in the request of a
// change. A nil value means that the field is absent or that the spec is not known.
type FieldChange struct {
	Field   string          `json:"field"`
	Base    json.RawMessage `json:"base,omitempty"`
	Current json.RawMessage `json:"current,omitempty"`
	Sent    json.RawMessage `json:"sent,omitempty"`
}

// Values of Error.ComparedWith: the spec with which the current one was compared.
const (
	ComparedWithBase = "base" // Fields lists what has changed since the base version
	ComparedWithSent = "sent" // the base version is not known; Fields lists what differs from the spec in the request
)

// Error is an error response.
type Error struct {
	StatusCode int    `json:"-"`
	Code       Code   `json:"error"`
	Message    string `json:"message"`
	// Field is the invalid part of the request, for example "spec.minVMs".
	Field string `json:"field,omitempty"`
	// ID is the record identifier, set in responses to a change.
	ID string `json:"id,omitempty"`
	// References lists the referenced resources that do not exist (CodeMissingReference), or the resources that refer to
	// the one to be deleted (CodeInUse).
	References []resource.Key `json:"references,omitempty"`

	// Set on CodeConflict: the current resource (nil if it does not exist), the author of its last change, and the
	// differing fields.
	Current      *resource.Resource `json:"current,omitempty"`
	Author       string             `json:"author,omitempty"`
	WinnerID     string             `json:"winner,omitempty"` // identifier of the record that set or deleted the resource, if known
	ComparedWith string             `json:"comparedWith,omitempty"`
	Fields       []FieldChange      `json:"fields,omitempty"`
}

// Error returns the message, preceded by the field if there is one.
func (e *Error) Error() string {
	if e.Field == "" {
		return e.Message
	}
	return e.Field + ": " + e.Message
}

func errorf(status int, code Code, field, format string, args ...any) *Error {
	return &Error{StatusCode: status, Code: code, Field: field, Message: fmt.Sprintf(format, args...)}
}

func malformedRequest(field, format string, args ...any) *Error {
	return errorf(http.StatusBadRequest, CodeMalformed, field, format, args...)
}
