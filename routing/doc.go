// Package routing decides which backend server gets a request and when a request is sent again. It does no I/O.
package routing
