// Package entry implements the HTTP proxy of an entry node. It admits callers' requests, selects a backend server for
// each, forwards the request and passes on only complete responses.
//
// A request is processed in these steps: validate the headers, look up the service, read the body, claim the request
// identifier, wait in the service's queue, acquire a slot, send the request. One goroutine for each service acquires
// slots and assigns each to the waiting request that is served next. The goroutine that serves the caller's request sends
// it and writes the response.
//
// A request is refused as not-run only if provably none of its bytes were written. This is enforced by the connections to
// the backend servers: an attempt can write on at most one connection, and on none once its outcome has been decided.
package entry
