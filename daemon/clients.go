package daemon

import (
	"net"
	"net/http"

	"github.com/pkg/errors"

	"github.com/berylwharf/berylwharf/claims"
	"github.com/berylwharf/berylwharf/connlimit"
)

// limitClients creates the account of the memory and the connections that clients may hold.
func (d *Daemon) limitClients() error {
	l := d.cfg.Limits
	d.account = connlimit.NewAccount(connlimit.Limits{
		MemoryMB: int64(l.MemoryMB), MaxFDs: int64(l.MaxFDs),
		ClientMemoryMB: int64(l.ClientMemoryMB), MaxConns: int64(l.MaxConnections),
	}, func(r connlimit.Refusal) {
		d.log.Warnf("daemon: limits of clients: %s, %d since the last such line, the last one at the listener for %s",
			r.Kind, r.Count, r.Listener)
	})
	d.account.LimitRuntime()
	return errors.Wrap(d.account.RegisterMetrics(d.registry), "metrics of clients' connections")
}

// claimMemoryPercent is the percentage of the memory that the table of claims may take.
const claimMemoryPercent = 20

// claimLimits returns the limits of the table of claims; zero for the defaults if the memory of the machine is unknown.
func (d *Daemon) claimLimits() (maxClaims, maxResponseBytes int) {
	if d.cfg.Limits.MemoryMB == 0 {
		return 0, 0
	}
	return claims.LimitsFor(int64(d.cfg.Limits.MemoryMB) << 20 / 100 * claimMemoryPercent)
}

// protect returns the function that charges the server of a listener to the account.
func (d *Daemon) protect(name string, decodesJSON bool) func(*http.Server, net.Listener) net.Listener {
	return func(srv *http.Server, l net.Listener) net.Listener {
		return d.account.Protect(srv, l, connlimit.Server{Name: name, DecodesJSON: decodesJSON})
	}
}
