// Package statelog implements the replicated state machine for the state that all nodes share: resources, members and
// the membership epoch of each region. It does no I/O.
//
// The input is stream "config" of the log service. A caller passes its records to State.Apply in offset order, and the
// accept rule determines the outcome of each record from the records before it:
//
//  1. A record that does not decode, is not valid or names a read position beyond its own offset is malformed.
//  2. A record whose identifier occurred within the last DedupWindow offsets is a duplicate. It changes nothing and has
//     the outcome of the first record with that identifier.
//  3. A record whose read position is more than DedupWindow offsets before its own offset is stale.
//  4. A record whose base version is not the current version of its resource or member is a conflict, as is a join
//     whose incarnation is not greater than the member's.
//  5. All other records are accepted. The offset becomes the version of the resource or member.
//
// The outcome depends on nothing else, so nodes that have applied the same records agree without communicating and have
// equal hashes. Different hashes at one offset mean a fault, or builds with different validation rules.
//
// State.View returns an immutable view, which shares its unchanged parts with earlier views. State.Encode and Restore
// transfer a complete state between nodes; EncodeChunks and Assembler transfer it through stream "snapshots".
package statelog
