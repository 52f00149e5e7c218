// Package planner decides which VMs may leave service and when: maintenance waves, availability budgets and hand-overs
// between pools.
//
// The package does no I/O. Plan turns an observed Fleet into a list of steps and, for everything that cannot go on, a
// reason. A plan is advice: the caller checks each step again with Check against the newest Fleet before carrying it
// out, because the fleet may have changed since the plan was made. Only the log's accept rule makes a step take effect.
package planner
