// Package backend implements a backend server for tests: an HTTP/1.1 server that counts how often each request ran and
// can inject faults into connections and responses.
//
// It responds to GET and POST under any path with a Response. Faults of requests do not affect the following endpoints:
// GET /healthz (200, or 503 while leaving), GET /runs (see Runs), POST /fault (see Fault) and GET /fault. The fault
// "refuse" closes the listener, so commands must be sent to the control address (StartControl) or the fault must have a
// duration.
package backend
