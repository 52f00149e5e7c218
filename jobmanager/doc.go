// Package jobmanager is the shell of the job manager. All nodes are equal. The platform's store deals the shards of the
// pools to the nodes; the owner of a shard schedules the pools in it with the core in package job, and every node passes
// what callers ask to the owner.
//
// The package speaks to the platform only through the interfaces Store, Group, Directory, ConfigSource and Workers.
package jobmanager
