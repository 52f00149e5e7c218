// Package statelog is the state machine behind the shared state of all nodes: records, the accept rule, state, hashes,
// snapshots and the membership epoch. It does no I/O.
//
// A caller feeds State.Apply with the records of stream "config" in offset order. The outcome of a record is a function
// of the records before it, so all nodes agree without talking to each other. Equal offsets mean equal hashes; nodes
// that differ at one offset have a fault, or run builds with different validation rules.
//
// State.View returns an immutable picture that shares its unchanged parts with earlier ones. State.Encode and Restore
// move a whole state between nodes, EncodeChunks and Assembler move it through stream "snapshots".
package statelog
