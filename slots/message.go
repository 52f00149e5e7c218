package slots

import (
	"errors"
	"fmt"
	"time"
)

// Bounds and times of the protocol.
const (
	// PerWorker is the number of slots of a worker.
	PerWorker = 8
	// IdleTime is how long a holder keeps an unused slot.
	IdleTime = time.Second
	// ResendInterval is the time after which an unacknowledged message is sent again. It is several round trips, also
	// between the zones of a region, and short against the time of a request.
	ResendInterval = 200 * time.Millisecond
	// wantResend is the time after which a request for slots is repeated, and wantTime how long it counts at the home
	// node, since the message that ends it may be lost. Requests are repeated less often than other messages because
	// they stand as long as a worker is overloaded; they are lost only with a link.
	wantResend = time.Second
	wantTime   = 3 * time.Second
	// recallInterval bounds how often the balance of one worker is looked at.
	recallInterval = 20 * time.Millisecond
	// recallTime is how long a recall counts at a holder. It is repeated after half of that while others wait.
	recallTime = 2 * time.Second
	// maxWant bounds the slots of one worker that a holder asks for.
	maxWant = PerWorker
)

// Kind is the kind of a message.
type Kind uint8

// The kinds of messages.
const (
	KindAcquire   Kind = 1 // holder to home: Count slots are wanted
	KindGrant     Kind = 2 // home to holder: the slot is yours
	KindGrantAck  Kind = 3 // holder to home
	KindReturn    Kind = 4 // holder to home: the slot is free, or in quarantine
	KindReturnAck Kind = 5 // home to holder
	KindRecall    Kind = 6 // home to holder: return idle slots, and Count that are in use when they become idle
	KindReport    Kind = 7 // holder to home: all holdings at a new epoch
	KindReportAck Kind = 8 // home to holder
)

// Serial orders the grants of one slot number: by epoch, then by number.
type Serial struct {
	Epoch uint64 `cbor:"1,keyasint"`
	N     uint64 `cbor:"2,keyasint"`
}

// Less tells whether s is older than t.
func (s Serial) Less(t Serial) bool {
	return s.Epoch < t.Epoch || (s.Epoch == t.Epoch && s.N < t.N)
}

// Holding is an entry of a report: a slot that the reporting node uses, or one that it keeps in quarantine.
type Holding struct {
	Worker string `cbor:"1,keyasint"`
	Slot   uint8  `cbor:"2,keyasint"`
	Serial Serial `cbor:"3,keyasint"`
	// Quarantine is above zero for a slot that nobody uses and that must stay out of use for that long.
	Quarantine time.Duration `cbor:"4,keyasint,omitempty"`
}

// Message is a message between a holder and a home node. Which fields are used depends on Kind.
type Message struct {
	Kind   Kind   `cbor:"1,keyasint"`
	Epoch  uint64 `cbor:"2,keyasint"`
	Worker string `cbor:"3,keyasint,omitempty"`
	Slot   uint8  `cbor:"4,keyasint,omitempty"`
	Serial Serial `cbor:"5,keyasint,omitempty"`
	// Count is the number of slots wanted or recalled.
	Count int `cbor:"6,keyasint,omitempty"`
	// Order is increased by a holder with each request, so that an older one does not replace a newer one.
	Order      uint64        `cbor:"7,keyasint,omitempty"`
	Quarantine time.Duration `cbor:"8,keyasint,omitempty"`
	Holdings   []Holding     `cbor:"9,keyasint,omitempty"`
	// Removal is, in a report, for how long slots of members that were removed may still be in use; Aware is false when
	// the reporting node does not know.
	Removal time.Duration `cbor:"10,keyasint,omitempty"`
	Aware   bool          `cbor:"11,keyasint,omitempty"`
}

// Envelope is a message with its sender (on input) or recipient (on output).
type Envelope struct {
	Node string
	Msg  Message
}

// Check returns an error for a message that no node sends.
func (m *Message) Check() error {
	if m.Kind < KindAcquire || m.Kind > KindReportAck {
		return fmt.Errorf("unknown kind %d of slots message", m.Kind)
	}
	if m.Slot >= PerWorker || m.Count < 0 || m.Quarantine < 0 || m.Removal < 0 {
		return errors.New("slots message with a number out of bounds")
	}
	for i := range m.Holdings {
		if h := &m.Holdings[i]; h.Slot >= PerWorker || h.Quarantine < 0 || h.Worker == "" {
			return errors.New("report with an entry out of bounds")
		}
	}
	return nil
}
