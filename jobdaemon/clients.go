package jobdaemon

import (
	"net"
	"net/http"

	"github.com/berylwharf/berylwharf/connlimit"
	"github.com/berylwharf/berylwharf/jobmanager"
)

// limitClients creates the account of the memory and the connections that clients may hold.
func (d *Daemon) limitClients() {
	s := d.settings
	d.account = connlimit.NewAccount(connlimit.Limits{
		MemoryMB: s.MemoryMB, MaxFDs: s.MaxFDs, ClientMemoryMB: s.Connections.MemoryMB, MaxConns: s.Connections.Max,
	}, func(r connlimit.Refusal) {
		d.log.Event(jobmanager.LogEvent{
			Component: "connections", Event: "limited", Reason: r.Kind.String() + " at " + r.Listener, Count: int(r.Count),
		})
	})
	d.account.LimitRuntime()
}

// protect returns the function that charges the server of a listener to the account.
func (d *Daemon) protect(name string, decodesJSON bool) func(*http.Server, net.Listener) net.Listener {
	return func(srv *http.Server, l net.Listener) net.Listener {
		return d.account.Protect(srv, l, connlimit.Server{Name: name, DecodesJSON: decodesJSON})
	}
}
