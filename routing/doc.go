// Package routing decides which backend server gets a request and when a request is sent again. It does no I/O.
//
// A Set holds the backend servers of one service. Choose lists candidates, Start counts a request on the one that had a
// free slot, and Done reports how the request ended, from which the Set learns the server's health. The cost of a
// decision does not depend on the number of servers.
package routing
