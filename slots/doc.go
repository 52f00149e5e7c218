// Package slots moves the slots of workers between nodes, so that at most PerWorker requests run on a worker at once.
//
// Home is the side of a worker's home node: it grants slots, recalls them, and rebuilds its table from the holders'
// reports when the membership epoch changes. Holder is the side of a node that uses slots. Both do no I/O: inputs are
// messages, calls and ticks with the time; outputs are messages to send, taken with Outbox, and for Holder the grants to
// its waiters.
//
// Messages may be lost, delayed, repeated and reordered. A grant is sent again until it is acknowledged, a return until
// it is acknowledged, a request for slots and a report in intervals. Grants of one slot number carry increasing serials,
// so that a repeated grant is recognized. A message of another epoch than the receiver's own is dropped; its sender
// repeats it once both are at the same epoch.
package slots
