// Package platform is a stand-in for the platform: log service, VM list and workers over HTTP/1.1 with JSON, as described
// in docs/design.md, section 2, with fault commands. All state is in memory.
//
// Fault commands are sent as POST /fault while the server runs; see Fault. POST /standin/vms replaces the VM list, and
// GET /standin/vms returns it without lag. POST /fault, GET /fault and /standin/ are never affected by faults.
package platform
