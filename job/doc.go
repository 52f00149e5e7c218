// Package job is the core of the job manager: it decides which task of which job runs on which worker.
//
// A Pool holds the jobs of one pool of workers. It does no I/O and starts no goroutines. Its owner steps it with events
// (a submitted or cancelled job, the list of workers, what a worker reports, the result of an order, the passing of time)
// and takes from it the orders to send to workers (TakeOrders) and the records to store (TakeCommit). The time is an
// argument of each event.
//
// # Contract
//
//   - A job is accepted, and an end of a task may be forgotten by its worker, only after the commit that contains it is
//     stored. The owner confirms a stored commit with Committed.
//   - Starts are not stored. A new owner learns what runs by looking at each worker with a higher fencing token. It starts
//     nothing before every known worker has been looked at, or its lease has certainly expired.
//   - A task has at most one run that may be alive. A run ends when its worker reports the end, when the worker reports
//     that it does not have the run, or when the worker's lease has certainly expired.
//   - Orders may be lost, executed late or answered out of order; only the worker's report decides.
package job
