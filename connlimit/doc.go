// Package connlimit keeps a process within the memory and the descriptors of its machine whatever its clients send.
//
// An Account holds the budget of one process. All listeners of the process charge it: for connections when they are accepted,
// for heads before the server parses them, and for bodies as a handler reads them. When the budget is exhausted, the account
// closes the slowest and largest of the connections whose request is not complete. The design is in docs/design/connections.md.
package connlimit
