// Package load sends requests to entry nodes, as recorded in a trace or at a seeded rate with bursts, and checks the
// answers against the runs that the backend servers counted.
//
// A booking is a POST with an Idempotency-Key and a read is a GET. Each request carries a token in its query, and a
// booking also in its body, so that an answer to another request is recognised. Run plays the events, FetchRuns asks the
// backend servers, and Check compares both.
package load
