// Package admission holds the waiting requests of one service at one entry node. It decides which request runs next and
// which is refused. It does no I/O, starts no goroutine and takes the time as an argument.
//
// A request that Enqueue accepts ends in exactly one of three ways: Dequeue returns it, a Refusal names it, or Cancel
// removes it. Each request that Dequeue returned is ended by Done.
package admission
