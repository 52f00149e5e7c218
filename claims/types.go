package claims

import "time"

// Bounds of the claims of request identifiers.
const (
	// Horizon is how long a claim is kept. A retry later than that is refused as may-have-run.
	Horizon = 10 * time.Minute
	// ClockSkew is the permitted difference between a caller's clock and a node's clock.
	ClockSkew = 2 * time.Second
	// MaxStoredAnswerBytes bounds the body of an answer kept for replay.
	MaxStoredAnswerBytes = 16 << 10
	// MaxKeyBytes bounds a request identifier.
	MaxKeyBytes = 128
)

// Key is a request identifier in the scope of one customer and service.
type Key struct {
	Customer string `cbor:"1,keyasint"`
	Service  string `cbor:"2,keyasint"`
	ID       string `cbor:"3,keyasint"`
}

// Fingerprint is the SHA-256 of a request's method, path and body.
type Fingerprint [32]byte

// Answer is a backend server's complete answer, kept for replay.
type Answer struct {
	Status  int                 `cbor:"1,keyasint"`
	Headers map[string][]string `cbor:"2,keyasint,omitempty"`
	Body    []byte              `cbor:"3,keyasint,omitempty"`
}

// Phase is the state of a claim.
type Phase uint8

// The phases of a claim.
const (
	PhaseClaimed Phase = 1 // dispatched or about to be
	PhaseNotRun  Phase = 2 // refused before dispatch; may be claimed again
	PhaseDone    Phase = 3 // a complete answer came back
	PhaseUnknown Phase = 4 // dispatched, no complete answer
)

// Result tells what the caller of Begin must do.
type Result uint8

// The results of Begin.
const (
	ResultGranted     Result = 1 // run the request, then call Finish
	ResultInProgress  Result = 2 // another attempt holds the claim or ended as unknown: may-have-run
	ResultReplay      Result = 3 // completed earlier: send Answer; a nil Answer means it was not kept
	ResultMismatch    Result = 4 // the identifier belongs to a request with another fingerprint: not-run
	ResultUncovered   Result = 5 // no home node covers earlier attempts: may-have-run
	ResultUnreachable Result = 6 // the homes could not be asked: not-run for a first attempt, else may-have-run
	ResultFuture      Result = 7 // the identifier's time is in the future: not-run
)

// Decision is the answer of Begin.
type Decision struct {
	Result Result
	Answer *Answer
}
