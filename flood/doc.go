// Package flood measures how well the requests of other customers are served while one customer floods a service.
//
// It runs an entry.Handler and stand-in backend servers in one process over loopback sockets, and replays the same
// recorded traces under admission.Weighted and three baseline policies. A Scenario defines which customers send a flood,
// Run replays the traces, and a Report holds the figures, the comparison with the targets and the plots. The regular
// requests of all customers are called the work, as opposed to the floods.
package flood
