// Package slots distributes the slots of workers among nodes, so that at most PerWorker requests run on a worker at once.
//
// A Node has two roles. As home node of some workers it grants their slots, recalls them, and rebuilds its tables from
// the holders' reports when the membership epoch changes. As holder it uses slots that home nodes granted to it. Neither
// role does I/O: inputs are messages, calls and ticks with the current time; outputs are messages, taken with Outbox, and
// assignments of slots to waiting requests, taken with Assigned.
//
// Messages may be lost, delayed, duplicated and reordered. Grants, returns and reports are resent until they are
// acknowledged, requests for slots at an interval while they stand. Grants of the same slot carry increasing serials, by
// which a holder recognizes a duplicate. A message from an epoch other than the receiver's is dropped; its sender resends
// it once both are at the same epoch.
package slots
