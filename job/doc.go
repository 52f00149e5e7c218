// Package job is the scheduling core of the job manager: it decides which task of which job runs on which worker.
//
// A Pool holds the jobs of one pool of workers. It does no I/O and starts no goroutines. Its owner drives it with events
// (a submitted or cancelled job, the list of workers, a worker's report, the result of an order, the passing of time) and
// takes from it the orders to send to workers (TakeOrders) and the records to store (TakeCommit). The current time is an
// argument of each event.
//
// # Contract
//
//   - A job is accepted, and a worker may forget the end of a run, only after the commit that contains it is stored. The
//     owner confirms a stored commit with Committed.
//   - Starts are not stored. A new owner learns which tasks run by requesting a report from each worker with a higher
//     fencing token. It starts no task of a restored job before every known worker has reported or its lease has
//     certainly expired.
//   - At most one run of a task may be alive at any time. A run ends when its worker reports the end, when the worker
//     reports that it does not have the run, or when the worker's lease has certainly expired.
//   - Orders may be lost, executed late or answered out of order; only the worker's report is authoritative.
package job
