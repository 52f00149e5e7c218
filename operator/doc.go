// Package operator is the operators' HTTP API and its client. Operators list, read, put, delete and watch resources, ask
// what became of a change, and see the state of the nodes.
//
// A change is proposed to the log with a record identifier, which the client gives or the handler makes, and which every
// answer to a change repeats. Repeating a change with the same identifier is harmless. The answer is 200 when the change
// was accepted, 409 when another change came first, 422 when it is not valid, 503 when it certainly did not take effect,
// and 504 when that is not known; GET /v1/changes/{id} then tells the outcome later.
//
// Each answer carries the header Berylwharf-Next: the next offset that the answering node will read from the log. A
// client that sends the greatest value it has seen is answered only by a node that has read as far, so that what it
// reads never goes back when a load balancer sends its requests to different nodes.
package operator
