// Package jobmanager runs the job manager. All nodes are equal. The platform's store assigns the shards of the pools to
// the nodes. The owner of a shard schedules its pools with the scheduler core in package job; every node forwards
// callers' requests to the owner of their pool.
//
// The package accesses the platform only through the interfaces Store, Group, Directory, OperatorSource, Machines,
// Workers and Advisor.
package jobmanager
