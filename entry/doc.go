// Package entry serves callers: it admits requests, picks a backend server, forwards the request and passes on only
// complete answers.
//
// A request passes these steps: headers are checked, the service is found, the body is read, the claim of its identifier
// is registered, it waits in the service's queue, it gets a slot, and it is sent. One goroutine for each service acquires
// slots and gives each to the best waiting request. The caller's goroutine sends the request and writes the answer.
//
// A refusal is not-run only when provably no byte of the request was written. Each connection to a backend server checks
// this itself: an attempt writes on at most one connection, and on none once its outcome was decided.
package entry
