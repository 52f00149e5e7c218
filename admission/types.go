package admission

import (
	"fmt"
	"time"

	"github.com/berylwharf/berylwharf/verdict"
)

// Urgency is the priority class of a request among the requests of its customer.
type Urgency uint8

// Urgency values, most urgent first.
const (
	Urgent Urgency = iota
	Normal
	Batch
	urgencyCount
)

// ParseUrgency parses the value of the Berylwharf-Urgency header. An empty value means Normal.
func ParseUrgency(s string) (Urgency, error) {
	switch s {
	case "urgent":
		return Urgent, nil
	case "normal", "":
		return Normal, nil
	case "batch":
		return Batch, nil
	}
	return 0, fmt.Errorf("urgency %q (permitted: urgent, normal, batch)", s)
}

// String returns the header value.
func (u Urgency) String() string {
	return [...]string{"urgent", "normal", "batch", "?"}[min(u, urgencyCount)]
}

// Request is a request in the queue. The exported fields are set before Enqueue and must not change afterwards.
type Request struct {
	Customer string
	Urgency  Urgency
	Deadline time.Time
	// Cost is the expected slot time in seconds. If it is 0, the customer's recent mean is used.
	Cost float64
	// Ref is opaque to this package.
	Ref any

	seq     uint64
	state   state
	flow    *flow
	started time.Time
}

type state uint8

const (
	stateNew state = iota
	stateQueued
	stateRunning
	stateEnded
)

// Refusal is a request that is not run, with the error for its caller.
type Refusal struct {
	Request *Request
	Err     *verdict.Error
}

// Customer is the declared share and quota of a customer.
type Customer struct {
	// Share is the customer's weight; it must be positive.
	Share int
	// Quota limits the number of running requests; 0 means no limit.
	Quota int
}
