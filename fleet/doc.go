// Package fleet is the core of the fleet controller: it decides which machine is moved to which pool, and which machine has
// its planned maintenance now.
//
// A Controller does no I/O. Its owner passes it what it sees (Observe: the machines, the load of each pool, the waves) and
// the results of its orders, and takes from Plan the workers to evacuate, the orders to send and the states of waves to
// publish. The time is an argument of each call. There is one controller at a time; a new one waits before its first order
// until the orders of an earlier one have certainly taken effect.
package fleet
