// Package statelog is the state machine behind the shared state of all nodes: records, the accept rule, state, hashes,
// snapshots and the membership epoch. It does no I/O.
package statelog
