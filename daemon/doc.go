// Package daemon assembles berylwharfd from its components: listeners, the follower, coordination with peers, the VM list,
// health probes, planned maintenance and graceful shutdown.
package daemon
