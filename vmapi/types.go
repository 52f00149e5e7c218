// Package vmapi defines the wire types of the platform's protocol and a client for its VM list and workers. The client of
// the log service is in package logclient.
package vmapi

import "time"

// Roles and states of VMs in the VM list.
const (
	RoleWorker = "worker"
	RoleEntry  = "entry"

	StateLive    = "live"
	StateLeaving = "leaving"
)

// EffectHeader with the value EffectNone on a 503 response states that the request took no effect.
const (
	EffectHeader = "Platform-Effect"
	EffectNone   = "none"
)

// Limits of the log service.
const (
	MaxAppendRecords = 256
	MaxAppendBytes   = 1 << 20
	MaxWaitMs        = 30_000
)

// AppendRequest is the body of POST /v1/log/{stream}. Records are encoded as base64.
type AppendRequest struct {
	Records [][]byte `json:"records"`
}

// AppendResponse holds the offset of the first appended record and the next free offset.
type AppendResponse struct {
	First uint64 `json:"first"`
	Next  uint64 `json:"next"`
}

// LogRecord is one record of a stream.
type LogRecord struct {
	Offset uint64 `json:"offset"`
	Data   []byte `json:"data"`
}

// ReadResponse is the body of GET /v1/log/{stream}. On 410 only Oldest and Next are set.
type ReadResponse struct {
	Oldest  uint64      `json:"oldest"`
	Next    uint64      `json:"next"`
	Records []LogRecord `json:"records,omitempty"`
}

// VM is an entry of the VM list. A VM that no longer exists is not listed.
type VM struct {
	Name  string `json:"name"`
	Zone  string `json:"zone"`
	Rack  string `json:"rack"`
	Role  string `json:"role"`
	Addr  string `json:"addr"` // ip:port of the backend server, or of the peer listener of an entry VM
	State string `json:"state"`
	Node  string `json:"node,omitempty"` // node name of an entry VM
}

// VMList is the body of GET /v1/vms.
type VMList struct {
	AsOf time.Time `json:"as_of"`
	VMs  []VM      `json:"vms"`
}

// TaskRequest is the body of POST /v1/workers/{name}/tasks.
type TaskRequest struct {
	Task     string `json:"task"`
	LeaseMs  int64  `json:"lease_ms"`
	Epoch    uint64 `json:"epoch"`
	Cores    int    `json:"cores"`
	MemoryMB int    `json:"memory_mb"`
}
