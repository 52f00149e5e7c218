// Package operator implements the HTTP API for operators and a client for it. Operators list, read, put, delete and watch
// resources, query the outcome of a change, and inspect the state of the nodes and the maintenance plan.
//
// A change is proposed to the log under a record identifier, which the client supplies or the handler generates. Every
// response to a change repeats it. Changes are idempotent: sending one again with the same identifier does not apply it a
// second time. The status is 200 when the change was accepted, 409 when it conflicts with an earlier change, 422 when it is
// invalid, 503 when it did not take effect, and 504 when its outcome is unknown; GET /v1/changes/{id} then returns the
// outcome once the node has read the record.
//
// Each response carries the header Berylwharf-Next: the next offset that the responding node will read from the log. A
// client that sends the greatest value it has seen gets a response only from a node that has read at least as far. Its
// reads are therefore monotonic even when a load balancer distributes its requests over several nodes.
package operator
