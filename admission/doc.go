// Package admission implements the admission queue of one service at one entry node. It decides which request runs next
// and which is refused. It does no I/O, starts no goroutines and takes the current time as an argument.
//
// The queue is a weighted fair queue with one flow for each customer. A request accepted by Enqueue leaves the queue in
// exactly one way: Dequeue or Drop returns it, a Refusal names it, or Cancel removes it. Every request returned by
// Dequeue must be ended with Done.
package admission
