// Package quota divides the caps of customers among the pools in which their tasks run.
//
// The owner of each pool has a Ledger, which holds the newest offer of the Allocator: a grant for each customer with a cap.
// The pool starts a task only while what the customer has running there is within the grant. The Allocator learns from the
// reports of the pools what runs and what waits, and keeps the sum of what it counts in all pools within the cap.
//
// The package has no input or output. Times are readings of steady clocks, which include the time for which a machine was
// suspended; the clocks of the allocator and of the pools are unrelated.
package quota
