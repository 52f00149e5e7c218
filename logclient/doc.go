// Package logclient is the HTTP client of the platform's log service. It does not retry: the caller repeats an append
// with the same record identifiers, and an error tells whether the append may have taken effect.
package logclient
