// Package backend is a stand-in for a backend server: an HTTP/1.1 server that counts how often each request ran, with
// fault commands for the connection and the answer.
//
// It answers GET and POST under any path with an Answer. These paths are its own and never affected by faults of
// requests: GET /healthz (200, or 503 while leaving), GET /runs (see Runs), POST /fault (see Fault) and GET /fault. The
// fault "refuse" closes the listener, so that commands must be sent to the control address (StartControl) or the fault
// must have a duration.
package backend
