// Package load sends requests to entry nodes, either from a recorded trace or at a seeded random rate with bursts, and
// checks the responses against the runs that the backend servers counted.
//
// A booking is a POST with an Idempotency-Key and a read is a GET. Each request carries a unique token in its query,
// and a booking also in its body, so that a response to another request is detected. Run sends the requests, FetchRuns
// reads the counts of the backend servers, and Check compares both.
package load
