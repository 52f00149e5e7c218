package vmapi

import "time"

// States of a task in the response to GET /v1/workers/{name}.
const (
	TaskRunning   = "running"
	TaskThrottled = "throttled"
)

// Task is a task that runs on a worker under a lease.
type Task struct {
	Task         string    `json:"task"`
	Epoch        uint64    `json:"epoch"`
	State        string    `json:"state"`
	LeaseUntil   time.Time `json:"lease_until"`
	Cores        int       `json:"cores"`
	MemoryMB     int       `json:"memory_mb"`
	Checkpoints  int       `json:"checkpoints"`
	CheckpointAt time.Time `json:"checkpoint_at,omitzero"`
}

// Usage is the resource usage of a worker at the time AsOf.
type Usage struct {
	AsOf     time.Time `json:"as_of"`
	Tasks    int       `json:"tasks"`
	Cores    int       `json:"cores"`
	MemoryMB int       `json:"memory_mb"`
}

// Worker is the body of GET /v1/workers/{name}. Usage may be older than Tasks.
type Worker struct {
	Name     string `json:"name"`
	Zone     string `json:"zone"`
	Rack     string `json:"rack"`
	Slots    int    `json:"slots"`
	Cores    int    `json:"cores"`
	MemoryMB int    `json:"memory_mb"`
	Epoch    uint64 `json:"epoch"` // greatest epoch seen
	Tasks    []Task `json:"tasks"` // sorted by name
	Usage    Usage  `json:"usage"`
}
