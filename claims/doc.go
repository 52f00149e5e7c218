// Package claims decides whether a request with a given identifier may be dispatched, so that a non-idempotent
// request runs at most once. It performs no I/O.
package claims
