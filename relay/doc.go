// Package relay lets other nodes carry the calls of a shard owner to its workers.
//
// The owner of a large pool makes thousands of calls a second to its workers, which takes more processor time and
// bandwidth than one small node has. The owner keeps all decisions. It sends its calls in batches to other nodes, the
// relays, which call the workers and send the answers back in batches.
//
// # Contract
//
//   - A relay makes each call at most once and decides nothing. It keeps no state about workers or tasks.
//   - A call carries the time until which the relay may begin it, on the relay's clock. A relay that was paused, or that
//     received the call late, answers that it did not make the call.
//   - The owner never estimates a relay's clock ahead of that clock, and an estimate holds for one process of the relay.
//   - A relay that is silent while it has calls to answer is avoided for some time. Its unanswered calls may have reached
//     the workers; the owner treats them like any other call without an answer.
//   - While no relay can be used, the owner calls the workers itself.
package relay
