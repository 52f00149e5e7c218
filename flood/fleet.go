package flood

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/berylwharf/berylwharf/admission"
	"github.com/berylwharf/berylwharf/entry"
	"github.com/berylwharf/berylwharf/load"
	"github.com/berylwharf/berylwharf/resource"
	"github.com/berylwharf/berylwharf/routing"
	"github.com/berylwharf/berylwharf/standin/backend"
)

const (
	maxHeaderBytes = 1 << 16
	// drainTimeout is longer than the longest deadline of a request.
	drainTimeout = 15 * time.Second
)

// fleet is an entry node with its stand-in backend servers.
type fleet struct {
	handler  *entry.Handler
	server   *http.Server
	addr     string
	backends []*backend.Server
}

// fleetConfig holds the parameters that differ between runs.
type fleetConfig struct {
	policy  admission.Policy
	runTime time.Duration // run time of each request
	maxRun  time.Duration // maxRunMs of the services, 0 for the default
}

// startFleet starts an entry node with empty queues and its backend servers.
func startFleet(cfg fleetConfig) (*fleet, error) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	h, err := entry.New(entry.Config{
		Node: "entry-a", Zone: "zone-a", Slots: entry.NewLocalSlots(), Logger: logger, Policy: cfg.policy, Seed: DefaultSeed,
	})
	if err != nil {
		return nil, err
	}
	f := &fleet{handler: h}
	table, err := f.startBackends(cfg)
	if err != nil {
		f.close()
		return nil, err
	}
	h.SetTable(table)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.close()
		return nil, errors.Wrap(err, "flood: entry listener")
	}
	f.addr = ln.Addr().String()
	f.server = entry.NewServer(h, maxHeaderBytes)
	go func() { _ = f.server.Serve(ln) }()
	return f, nil
}

func (f *fleet) startBackends(cfg fleetConfig) (*routing.Table, error) {
	t := &routing.Table{
		Services: map[string]*routing.Service{}, Hosts: map[string]string{}, Customers: map[string]*resource.Customer{},
	}
	for _, c := range Customers() {
		t.Customers[c.Name] = &resource.Customer{Share: c.Share}
	}
	for i := range serviceCount {
		name := serviceName(i)
		spec := &resource.Service{Pool: name, AnswerCheck: resource.AnswerCheckEcho, MaxRunMs: cfg.maxRun.Milliseconds()}
		spec.SetDefaults()
		svc := &routing.Service{Name: name, Spec: spec}
		for j := range workersPerService {
			vm := name + "-vm-" + strconv.Itoa(j+1)
			b, err := backend.Start("127.0.0.1:0", backend.Config{Name: vm, Work: backend.Work{Mean: cfg.runTime}})
			if err != nil {
				return nil, errors.Wrap(err, "flood: backend server")
			}
			f.backends = append(f.backends, b)
			svc.Backends = append(svc.Backends, routing.Backend{VM: vm, Zone: "zone-a", Addr: b.Addr()})
		}
		t.Services[name] = svc
	}
	return t, nil
}

// drain waits until no request is in flight at the entry node or running on a backend server, and returns the recorded
// runs. It must be called after the last request was sent.
func (f *fleet) drain() (*load.Runs, error) {
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	if err := f.handler.Drain(ctx); err != nil {
		return nil, err
	}
	var addrs []string
	for _, b := range f.backends {
		addrs = append(addrs, b.Addr())
	}
	return load.FetchRuns(ctx, addrs)
}

func (f *fleet) close() {
	if f.server != nil {
		_ = f.server.Close()
	}
	f.handler.Close()
	for _, b := range f.backends {
		_ = b.Close()
	}
}
