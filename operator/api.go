package operator

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/berylwharf/berylwharf/resource"
)

// HeaderNext carries a read position in requests and answers, see the package comment.
const HeaderNext = "Berylwharf-Next"

const (
	// MaxBodyBytes bounds a request body: a spec, which may contain white space, and the other fields.
	MaxBodyBytes = resource.MaxSpecBytes + 32<<10
	// MaxAuthorBytes bounds the name of an operator.
	MaxAuthorBytes = 128
)

// PutRequest is the body of PUT /v1/resources/{kind}/{name}.
type PutRequest struct {
	// Base is the version on which the change is based, 0 when the resource does not exist. It is required.
	Base *uint64 `json:"base"`
	// ID is the record identifier, 32 hexadecimal digits. The handler makes one when it is empty.
	ID string `json:"id,omitempty"`
	// Author names the operator: 1 to 128 bytes of printable characters. It is required.
	Author string          `json:"author"`
	Spec   json.RawMessage `json:"spec"`
}

// DeleteRequest has the query parameters base, id and author of DELETE /v1/resources/{kind}/{name}.
type DeleteRequest struct {
	Base   uint64 // above 0
	ID     string
	Author string
}

// ListResponse is the answer to GET /v1/resources/{kind}.
type ListResponse struct {
	Next      uint64               `json:"next"`
	Resources []*resource.Resource `json:"resources"` // sorted by name
}

// ChangeResponse is the answer to an accepted change.
type ChangeResponse struct {
	ID     string `json:"id"`
	Status string `json:"status"` // accepted
	Offset uint64 `json:"offset"` // the version of the resource after a put
	// Resource is the resource as it was put. It is nil after a deletion and when a later change replaced it.
	Resource *resource.Resource `json:"resource,omitempty"`
}

// ChangeStatus is the answer to GET /v1/changes/{id}.
type ChangeStatus struct {
	ID      string `json:"id"`
	Status  string `json:"status"` // accepted, conflict, stale or malformed
	Offset  uint64 `json:"offset"`
	Current uint64 `json:"current,omitempty"` // on conflict: the version at that offset
	Winner  string `json:"winner,omitempty"`  // on conflict: the identifier of the record that set or removed it
	Message string `json:"message,omitempty"`
}

// NodeStatus is the state of one node as the answering node sees it.
type NodeStatus struct {
	Node        string `json:"node"`
	VM          string `json:"vm"`
	Zone        string `json:"zone"`
	Region      string `json:"region"`
	PeerAddr    string `json:"peerAddr,omitempty"`
	Incarnation uint64 `json:"incarnation"`
	Self        bool   `json:"self,omitempty"` // the answering node
	Member      bool   `json:"member"`
	State       string `json:"state"` // ready, not-ready, draining or silent
	Epoch       uint64 `json:"epoch"`
	Next        uint64 `json:"next"`                // next offset that the node reads
	StateHash   string `json:"stateHash,omitempty"` // hexadecimal; equal on all nodes with the same Next
	LastHeardMs int64  `json:"lastHeardMs"`         // milliseconds since its last heartbeat, 0 for the answering node
	Message     string `json:"message,omitempty"`   // for example why the node is not ready
}

// NodesResponse is the answer to GET /v1/nodes.
type NodesResponse struct {
	Nodes []NodeStatus `json:"nodes"` // sorted by region and name
}

// EventType tells what a line of the watch stream means.
type EventType string

// The types of events.
const (
	EventChanged EventType = "changed" // Resource was created or changed
	EventDeleted EventType = "deleted" // the resource Key no longer exists
	// EventSynced ends a group of changes: everything before offset Next was sent. A client that reconnects with
	// from=Next misses nothing. The first one of a stream with from above 0 carries Keys, all resources that exist.
	EventSynced EventType = "synced"
	EventAlive  EventType = "alive" // nothing happened for a while
)

// Event is one line of GET /v1/watch.
type Event struct {
	Type     EventType          `json:"type"`
	Resource *resource.Resource `json:"resource,omitempty"`
	Key      *resource.Key      `json:"key,omitempty"`
	Next     uint64             `json:"next,omitempty"`
	Keys     *[]resource.Key    `json:"keys,omitempty"`
}

// Code identifies the reason of an error answer.
type Code string

// The codes of error answers and their HTTP status.
const (
	CodeMalformed        Code = "malformed_request"  // 400
	CodeUnauthorized     Code = "unauthorized"       // 401
	CodeForbidden        Code = "forbidden"          // 403
	CodeNotFound         Code = "not_found"          // 404
	CodeUnknownChange    Code = "unknown_change"     // 404
	CodeMethod           Code = "method_not_allowed" // 405
	CodeConflict         Code = "conflict"           // 409
	CodeTooLarge         Code = "too_large"          // 413
	CodeInvalid          Code = "invalid"            // 422
	CodeMissingReference Code = "missing_reference"  // 422
	CodeInUse            Code = "in_use"             // 422
	CodeReusedID         Code = "identifier_reused"  // 422
	CodeBusy             Code = "too_many_watches"   // 429
	CodeInternal         Code = "internal"           // 500
	CodeNotAccepted      Code = "not_accepted"       // 503
	CodeBehind           Code = "behind"             // 503
	CodeOutcomeUnknown   Code = "outcome_unknown"    // 504
)

// FieldChange is a field of a spec with the values that met in a conflict. A nil value means that the field is absent,
// or that this side is not known.
type FieldChange struct {
	Field   string          `json:"field"`
	Base    json.RawMessage `json:"base,omitempty"`
	Current json.RawMessage `json:"current,omitempty"`
	Sent    json.RawMessage `json:"sent,omitempty"`
}

// What the fields of a conflict were compared with.
const (
	ComparedWithBase = "base" // the fields that the other operator changed
	ComparedWithSent = "sent" // the base is not known; the fields that differ from what was sent
)

// Error is an error answer.
type Error struct {
	StatusCode int    `json:"-"`
	Code       Code   `json:"error"`
	Message    string `json:"message"`
	// Field names the part of the request that is wrong, for example "spec.minVMs".
	Field string `json:"field,omitempty"`
	// ID is the record identifier, in answers to a change.
	ID string `json:"id,omitempty"`
	// References are resources that do not exist, or that use the resource to be deleted.
	References []resource.Key `json:"references,omitempty"`

	// In a conflict: the resource as it is now (nil when it does not exist), who changed it, and the fields concerned.
	Current      *resource.Resource `json:"current,omitempty"`
	Author       string             `json:"author,omitempty"`
	Winner       string             `json:"winner,omitempty"` // identifier of the record that came first
	ComparedWith string             `json:"comparedWith,omitempty"`
	Fields       []FieldChange      `json:"fields,omitempty"`
}

// Error implements error.
func (e *Error) Error() string {
	if e.Field == "" {
		return e.Message
	}
	return e.Field + ": " + e.Message
}

func errorf(status int, code Code, field, format string, args ...any) *Error {
	return &Error{StatusCode: status, Code: code, Field: field, Message: fmt.Sprintf(format, args...)}
}

func malformed(field, format string, args ...any) *Error {
	return errorf(http.StatusBadRequest, CodeMalformed, field, format, args...)
}
