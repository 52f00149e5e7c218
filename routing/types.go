package routing

import "github.com/berylwharf/berylwharf/resource"

// Backend is a backend server of a service: the server process on one worker.
type Backend struct {
	VM   string
	Zone string
	Rack string
	Addr string // ip:port
}

// Service is a service with the backend servers that may receive new requests. Backend servers on leaving, drained and
// unlisted VMs are not included.
type Service struct {
	Name     string
	Spec     *resource.Service
	Backends []Backend // sorted by VM
}

// Table is an immutable routing table, built from a view of the log's state and a VM list.
type Table struct {
	Services  map[string]*Service
	Hosts     map[string]string // maps a request's host name to a service name
	Customers map[string]*resource.Customer
}
