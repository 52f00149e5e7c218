// Package fleet decides which pool each machine belongs to and which machines undergo planned maintenance. It is the
// core of the fleet controller.
//
// A Controller performs no I/O. The caller passes it observations (Observe: the machines, the load of each pool, the
// waves) and the results of its orders (Result), and takes from Plan the workers to evacuate, the orders to send and
// the wave states to publish. Every call takes the current time as an argument. At most one controller is active at a
// time; a new one sends no order until every order of its predecessor has taken effect or can no longer do so.
package fleet
