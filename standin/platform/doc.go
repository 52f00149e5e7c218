// Package platform implements the platform's protocol for tests: the log service, the VM list and the workers over
// HTTP/1.1 with JSON, as described in docs/design.md, section 2. It can inject faults, and keeps all state in memory.
//
// Fault commands are sent with POST /fault while the server runs; see Fault. POST /standin/vms replaces the VM list,
// and GET /standin/vms returns it without lag. Faults never affect POST /fault, GET /fault and /standin/.
package platform
