// Package daemon wires the parts of berylwharfd together: listeners, the follower, coordination with peers, the VM list,
// health probes and graceful shutdown.
package daemon
