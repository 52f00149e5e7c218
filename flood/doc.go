// Package flood measures what the other work keeps while one customer floods a service.
//
// It runs an entry.Handler and stand-in backend servers in one process over loopback sockets, and plays the same recorded
// traces against admission.Weighted and its three baselines. Plan holds the sizes, Scenario names who floods, Experiment
// plays, and Report holds the figures, the checked targets and the plots.
package flood
