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
	// drainTimeout covers the longest deadline of a request.
	drainTimeout = 15 * time.Second
)

// fleet is one entry node with its backend servers.
type fleet struct {
	handler  *entry.Handler
	server   *http.Server
	addr     string
	backends []*backend.Server
}

// setup holds what differs between fleets.
type setup struct {
	policy admission.Policy
	work   time.Duration // run time of each request
	maxRun time.Duration // 0 means the default of a service
}

// startFleet starts the servers with empty queues.
func startFleet(s setup) (*fleet, error) {
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	h, err := entry.New(entry.Config{
		Node: "entry-a", Zone: "zone-a", Slots: entry.NewLocalSlots(), Logger: quiet, Policy: s.policy, Seed: DefaultSeed,
	})
	if err != nil {
		return nil, err
	}
	f := &fleet{handler: h}
	table, err := f.startBackends(s)
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

func (f *fleet) startBackends(s setup) (*routing.Table, error) {
	t := &routing.Table{
		Services: map[string]*routing.Service{}, Hosts: map[string]string{}, Customers: map[string]*resource.Customer{},
	}
	for _, c := range Customers() {
		t.Customers[c.Name] = &resource.Customer{Share: c.Share}
	}
	for i := range services {
		name := serviceName(i)
		spec := &resource.Service{Pool: name, AnswerCheck: resource.AnswerCheckEcho, MaxRunMs: s.maxRun.Milliseconds()}
		spec.SetDefaults()
		svc := &routing.Service{Name: name, Spec: spec}
		for j := range workersPerService {
			vm := name + "-vm-" + strconv.Itoa(j+1)
			b, err := backend.Start("127.0.0.1:0", backend.Config{Name: vm, Work: backend.Work{Mean: s.work}})
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

// drain waits until no request is in flight and no backend server runs one, and returns the runs. It is called once
// nothing more is sent.
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
