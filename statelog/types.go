package statelog

import (
	"encoding/hex"
	"fmt"

	"github.com/berylwharf/berylwharf/resource"
)

// Stream names in the log service.
const (
	StreamConfig    = "config"
	StreamSnapshots = "snapshots"
)

// RecordID identifies a record. It stays the same when the append of the record is retried.
type RecordID [16]byte

// String returns the identifier as 32 hexadecimal digits.
func (id RecordID) String() string { return hex.EncodeToString(id[:]) }

// ParseRecordID parses 32 hexadecimal digits.
func ParseRecordID(s string) (RecordID, error) {
	var id RecordID
	b, err := hex.DecodeString(s)
	if err != nil || len(b) != len(id) {
		return id, fmt.Errorf("record identifier %q must be %d hexadecimal digits", s, 2*len(id))
	}
	copy(id[:], b)
	return id, nil
}

// Op is the operation of a record.
type Op uint8

// The operations of records.
const (
	OpPut    Op = 1 // create or replace a resource
	OpDelete Op = 2 // delete a resource
	OpJoin   Op = 3 // add a member, or replace its older incarnation
	OpLeave  Op = 4 // remove a member
)

// Record is one entry of the config stream. Put and delete records use Key, BaseVersion and Spec. Join and leave
// records use Member and BaseVersion. BaseVersion is the version of the resource or member on which the writer based
// the change, 0 when it does not exist. ReadPos is the next offset that the writer had not yet applied when it wrote
// the record.
type Record struct {
	ID          RecordID     `cbor:"1,keyasint"`
	Op          Op           `cbor:"2,keyasint"`
	Key         resource.Key `cbor:"3,keyasint,omitempty"`
	BaseVersion uint64       `cbor:"4,keyasint,omitempty"`
	ReadPos     uint64       `cbor:"5,keyasint"`
	Author      string       `cbor:"6,keyasint,omitempty"`
	Spec        []byte       `cbor:"7,keyasint,omitempty"`
	Member      *Member      `cbor:"8,keyasint,omitempty"`
	UnixMsec    int64        `cbor:"9,keyasint,omitempty"` // writer's clock; informational, never used for decisions
}

// Member is an entry node that can be the home node of workers and request identifiers.
type Member struct {
	Node        string `json:"node" cbor:"1,keyasint"`
	Incarnation uint64 `json:"incarnation" cbor:"2,keyasint"` // increases with each start of the process
	VM          string `json:"vm" cbor:"3,keyasint"`          // the node's name in the platform's VM list
	Zone        string `json:"zone" cbor:"4,keyasint"`
	Region      string `json:"region" cbor:"5,keyasint"`
	PeerAddr    string `json:"peerAddr" cbor:"6,keyasint"`
	// Version is the offset of the record that admitted this incarnation. The state machine sets it.
	Version uint64 `json:"version" cbor:"7,keyasint,omitempty"`
}

// Status is the outcome of a record under the accept rule.
type Status uint8

// The outcomes of records.
const (
	StatusAccepted  Status = 1
	StatusConflict  Status = 2 // the base version is not the current version
	StatusStale     Status = 3 // the read position is too old
	StatusMalformed Status = 4 // the record does not decode or is not valid
)

// String returns the status in lower case.
func (s Status) String() string {
	switch s {
	case StatusAccepted:
		return "accepted"
	case StatusConflict:
		return "conflict"
	case StatusStale:
		return "stale"
	case StatusMalformed:
		return "malformed"
	}
	return fmt.Sprintf("status(%d)", uint8(s))
}

// Outcome is the result of applying a record. A duplicate has the outcome of the first record with its identifier.
type Outcome struct {
	ID             RecordID
	Status         Status
	Offset         uint64 // offset of the first record with this identifier
	CurrentVersion uint64 // on conflict: version of the resource or member at that offset, 0 when it did not exist
	// WinnerID is, on conflict, the identifier of the record that set the current version or removed the resource or
	// member. It is zero when the resource or member never existed or its removal has left the deduplication window.
	WinnerID RecordID
	// Message describes the error of a malformed record. It is not part of snapshots.
	Message string
	// Duplicate is set by State.Apply when an earlier record has the same identifier. The other fields are then those
	// of the first record.
	Duplicate bool
}
