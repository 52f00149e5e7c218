package claims

import "time"

// Limits on request identifiers and their claims.
const (
	// Horizon is how long a claim is kept. A later retry is refused as may-have-run.
	Horizon = 10 * time.Minute
	// ClockSkew is the maximum permitted difference between the clocks of a caller and a node.
	ClockSkew = 2 * time.Second
	// MaxStoredResponseBytes limits the body of a response that is stored for replay.
	MaxStoredResponseBytes = 16 << 10
	// MaxKeyBytes limits the length of a request identifier.
	MaxKeyBytes = 128
)

// Key is a request identifier, scoped to a customer and a service.
type Key struct {
	Customer string `cbor:"1,keyasint"`
	Service  string `cbor:"2,keyasint"`
	ID       string `cbor:"3,keyasint"`
}

// Fingerprint is the SHA-256 of a request's method, path and body.
type Fingerprint [32]byte

// StoredResponse is a complete response of a backend server, stored for replay.
type StoredResponse struct {
	Status  int                 `cbor:"1,keyasint"`
	Headers map[string][]string `cbor:"2,keyasint,omitempty"`
	Body    []byte              `cbor:"3,keyasint,omitempty"`
}

// Phase is the state of a claim.
type Phase uint8

// The phases of a claim.
const (
	PhaseClaimed Phase = 1 // dispatched, or about to be dispatched
	PhaseNotRun  Phase = 2 // refused before dispatch; may be claimed again
	PhaseDone    Phase = 3 // the backend server returned a complete answer
	PhaseUnknown Phase = 4 // dispatched, but no complete answer was received
)

// Result is the outcome of a claim attempt and determines how the caller of Begin proceeds.
type Result uint8

// The results of Begin.
const (
	ResultGranted    Result = 1 // dispatch the request, then call Finish
	ResultInProgress Result = 2 // another attempt holds the claim or ended as unknown: may-have-run
	ResultReplay     Result = 3 // completed earlier: send Response, which is nil if it was not stored
	ResultMismatch   Result = 4 // the identifier was used for a request with a different fingerprint: not-run
	ResultUncovered  Result = 5 // the home nodes cannot rule out earlier attempts: may-have-run
	// ResultUndecided: home nodes are unreachable or full, or those of an earlier epoch may have granted the key or may
	// still grant it. It means not-run for a first attempt, else may-have-run.
	ResultUndecided Result = 6
	ResultFuture    Result = 7 // the time in the identifier is in the future: not-run
)

// Decision is the result of Begin.
type Decision struct {
	Result   Result
	Response *StoredResponse
}
