// Package logclient is the HTTP client of the platform's log service. It does not retry. The error of an append tells
// whether the append may have taken effect; a caller that retries must use the same record identifiers.
package logclient
