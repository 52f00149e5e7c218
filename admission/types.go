package admission

import (
	"fmt"
	"time"

	"github.com/berylwharf/berylwharf/verdict"
)

// Urgency is the class of a request within its customer.
type Urgency uint8

// The urgencies, most urgent first.
const (
	Urgent Urgency = iota
	Normal
	Batch
	urgencies
)

// ParseUrgency reads the value of the Berylwharf-Urgency header. The empty value is Normal.
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
	return [...]string{"urgent", "normal", "batch", "?"}[min(u, urgencies)]
}

// Request is one waiting request. The caller sets the exported fields before Enqueue and leaves them unchanged.
type Request struct {
	Customer string
	Urgency  Urgency
	Deadline time.Time
	// Cost is the expected slot time in seconds; 0 means the customer's recent mean.
	Cost float64
	// Ref is for the caller's use.
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

// Refusal is a request that does not run and the reason.
type Refusal struct {
	Request *Request
	Err     *verdict.Error
}

// Customer is the declared share and quota of a customer.
type Customer struct {
	// Share is the weight, above zero.
	Share int
	// Quota bounds the running requests; 0 means no bound.
	Quota int
}
