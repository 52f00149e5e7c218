package slots

import (
	"errors"
	"fmt"
	"time"
)

// Limits and intervals of the protocol.
const (
	// PerWorker is the number of slots of a worker.
	PerWorker = 8
	// IdleTimeout is how long a holder keeps an unused slot before it returns it.
	IdleTimeout = time.Second
	// ResendInterval is the time after which an unacknowledged message is resent. It exceeds several round trips, also
	// between the zones of a region, and is short compared with the duration of a request.
	ResendInterval = 200 * time.Millisecond
	// acquireResendInterval is the time after which a request for slots is resent. It is longer than ResendInterval
	// because requests stand as long as a worker is overloaded, and they are lost only with a link. acquireTTL is how
	// long a request is valid at the home node, since the message that ends it may be lost.
	acquireResendInterval = time.Second
	acquireTTL            = 3 * time.Second
	// rebalanceInterval is the minimum time between two computations of the balance of one worker's slots.
	rebalanceInterval = 20 * time.Millisecond
	// recallTTL is how long a recall is valid at a holder. It is resent after half of that time while others wait.
	recallTTL = 2 * time.Second
	// maxRequested is the maximum number of slots of one worker that a holder requests.
	maxRequested = PerWorker
)

// Kind is the kind of a message.
type Kind uint8

// The kinds of messages.
const (
	KindAcquire   Kind = 1 // holder to home: requests Count slots; 0 ends the request
	KindGrant     Kind = 2 // home to holder: grants Slot
	KindGrantAck  Kind = 3 // holder to home
	KindReturn    Kind = 4 // holder to home: Slot is free, or in quarantine if Quarantine is set
	KindReturnAck Kind = 5 // home to holder
	// KindRecall (home to holder) recalls slots for other holders, for recallTTL. The holder returns all idle slots, and each
	// slot whose use ends unless a request of its own waits for it. It returns the first Count slots even then; slots whose
	// return is not yet acknowledged count towards these.
	KindRecall    Kind = 6
	KindReport    Kind = 7 // holder to home: all slots held at a new epoch
	KindReportAck Kind = 8 // home to holder
)

// Serial orders the grants of one slot, first by epoch, then by N.
type Serial struct {
	Epoch uint64 `cbor:"1,keyasint"`
	N     uint64 `cbor:"2,keyasint"`
}

// Less reports whether s is older than t.
func (s Serial) Less(t Serial) bool {
	return s.Epoch < t.Epoch || (s.Epoch == t.Epoch && s.N < t.N)
}

// Holding is an entry of a report: a slot that the reporting node holds, or one that it keeps in quarantine.
type Holding struct {
	Worker string `cbor:"1,keyasint"`
	Slot   uint8  `cbor:"2,keyasint"`
	Serial Serial `cbor:"3,keyasint"`
	// Quarantine is positive for a slot that nobody holds and that must not be granted for that long.
	Quarantine time.Duration `cbor:"4,keyasint,omitempty"`
}

// Message is a message between a holder and a home node. Kind determines which fields are set.
type Message struct {
	Kind   Kind   `cbor:"1,keyasint"`
	Epoch  uint64 `cbor:"2,keyasint"`
	Worker string `cbor:"3,keyasint,omitempty"`
	Slot   uint8  `cbor:"4,keyasint,omitempty"`
	Serial Serial `cbor:"5,keyasint,omitempty"`
	// Count is the number of slots requested or recalled.
	Count int `cbor:"6,keyasint,omitempty"`
	// Seq is a sequence number that a holder increments with each request, so that the home node ignores a request
	// that arrives after a newer one.
	Seq        uint64        `cbor:"7,keyasint,omitempty"`
	Quarantine time.Duration `cbor:"8,keyasint,omitempty"`
	Holdings   []Holding     `cbor:"9,keyasint,omitempty"`
	// RemovedInUse, in a report, is how long slots of removed members may still be in use. It is valid only if
	// RemovalsKnown is true: the reporting node knows of all recent removals.
	RemovedInUse  time.Duration `cbor:"10,keyasint,omitempty"`
	RemovalsKnown bool          `cbor:"11,keyasint,omitempty"`
}

// Envelope is a message with its sender (on input) or recipient (on output).
type Envelope struct {
	Node string
	Msg  Message
}

// Check returns an error if a field of the message is out of range.
func (m *Message) Check() error {
	if m.Kind < KindAcquire || m.Kind > KindReportAck {
		return fmt.Errorf("slots message of unknown kind %d", m.Kind)
	}
	if m.Slot >= PerWorker || m.Count < 0 || m.Quarantine < 0 || m.RemovedInUse < 0 {
		return errors.New("slots message with a slot, count or duration out of range")
	}
	for i := range m.Holdings {
		if h := &m.Holdings[i]; h.Slot >= PerWorker || h.Quarantine < 0 || h.Worker == "" {
			return errors.New("slots report with an invalid entry (worker, slot or quarantine)")
		}
	}
	return nil
}
