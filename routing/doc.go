// Package routing selects the backend server for a request and limits retries and hedges. It does no I/O.
//
// A BackendSet holds the backend servers of one service. Choose lists candidates, Start counts a request on the
// candidate that granted a slot, and Done reports the outcome of the request, from which the BackendSet tracks the
// server's health. The cost of a decision does not depend on the number of servers.
package routing
