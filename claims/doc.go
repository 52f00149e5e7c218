// Package claims decides whether a request identifier may be dispatched, so that a non-idempotent request runs at most
// once. It does no I/O.
package claims
