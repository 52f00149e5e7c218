// Package planner decides which VMs may be taken out of service and when. It covers maintenance waves, availability
// budgets and moves of VMs between pools.
//
// The package does no I/O. Compute turns an observed Fleet into a Plan: the steps that are due and, for each VM or wave
// that cannot proceed, the reason. A plan is only a proposal. The caller checks each step with Check against the newest
// Fleet before executing it, because the fleet may have changed since the plan was computed. A step takes effect only
// when the log's accept rule accepts its record.
package planner
