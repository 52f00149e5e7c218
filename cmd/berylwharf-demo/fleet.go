package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"

	"github.com/berylwharf/berylwharf/resource"
	wire "github.com/berylwharf/berylwharf/vmapi"
)

const (
	workersPerService = 4
	region            = "region-1"
	operatorToken     = "demo-operator-token"
	peerKey           = "demo-peer-shared-key"
)

var (
	zones    = []string{"zone-a", "zone-b", "zone-c"}
	services = []string{"booking", "readings"}
)

// daemonAddrs holds the node name, zone and listen addresses of one berylwharfd process.
type daemonAddrs struct {
	node, zone                       string
	callers, operators, peers, admin string
}

// daemonSettings is the content of a berylwharfd settings file (docs/design.md, section 7).
type daemonSettings struct {
	Node            string            `json:"node"`
	VM              string            `json:"vm"`
	Zone            string            `json:"zone"`
	Region          string            `json:"region"`
	Callers         listenSettings    `json:"callers"`
	Operators       operatorsSettings `json:"operators"`
	Peers           peersSettings     `json:"peers"`
	Admin           listenSettings    `json:"admin"`
	Platform        platformSettings  `json:"platform"`
	Log             logSettings       `json:"log"`
	ShutdownTimeout string            `json:"shutdownTimeout"`
}

type listenSettings struct {
	Listen string `json:"listen"`
}

type operatorsSettings struct {
	Listen string `json:"listen"`
	Token  string `json:"token"`
}

type peersSettings struct {
	Listen    string   `json:"listen"`
	Key       string   `json:"key"`
	Addresses []string `json:"addresses"`
}

type platformSettings struct {
	URL          string `json:"url"`
	PollInterval string `json:"pollInterval"`
}

type logSettings struct {
	Level string `json:"level"`
}

// allocateDaemons assigns a node name and free ports to one daemon in each zone.
func allocateDaemons() ([]daemonAddrs, error) {
	ports, err := freeAddrs(4 * len(zones))
	if err != nil {
		return nil, err
	}
	var daemons []daemonAddrs
	for i, zone := range zones {
		p := ports[4*i:]
		daemons = append(daemons, daemonAddrs{
			node: "entry-" + zone[len(zone)-1:], zone: zone,
			callers: p[0], operators: p[1], peers: p[2], admin: p[3],
		})
	}
	return daemons, nil
}

// freeAddrs returns n addresses on 127.0.0.1 whose ports were free when chosen. All listeners stay open until the last port
// is chosen, so that the ports differ.
func freeAddrs(n int) ([]string, error) {
	var addrs []string
	for range n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = ln.Close() }()
		addrs = append(addrs, ln.Addr().String())
	}
	return addrs, nil
}

// settings returns the settings of this daemon, with all others as its peers.
func (d *daemonAddrs) settings(all []daemonAddrs, platformAddr string) daemonSettings {
	s := daemonSettings{
		Node: d.node, VM: d.node, Zone: d.zone, Region: region,
		Callers:         listenSettings{Listen: d.callers},
		Operators:       operatorsSettings{Listen: d.operators, Token: operatorToken},
		Peers:           peersSettings{Listen: d.peers, Key: peerKey, Addresses: []string{}},
		Admin:           listenSettings{Listen: d.admin},
		Platform:        platformSettings{URL: "http://" + platformAddr, PollInterval: "500ms"},
		Log:             logSettings{Level: "info"},
		ShutdownTimeout: "5s",
	}
	for _, other := range all {
		if other.node != d.node {
			s.Peers.Addresses = append(s.Peers.Addresses, other.peers)
		}
	}
	return s
}

// workerName returns the VM name of worker i, counted from 1, of a service.
func workerName(service string, i int) string { return fmt.Sprintf("%s-%d", service, i) }

// vmList returns the VM list: workers with the address of their backend server, and entry VMs with their peer address.
// Workers are distributed round-robin over the zones, with one rack for each service in each zone.
func vmList(backends map[string]string, daemons []daemonAddrs) []wire.VM {
	var vms []wire.VM
	for s, service := range services {
		for i := 1; i <= workersPerService; i++ {
			zone := zones[(i-1)%len(zones)]
			name := workerName(service, i)
			vms = append(vms, wire.VM{
				Name: name, Zone: zone, Rack: fmt.Sprintf("%s-rack-%d", zone, s+1),
				Role: wire.RoleWorker, Addr: backends[name], State: wire.StateLive,
			})
		}
	}
	for _, d := range daemons {
		vms = append(vms, wire.VM{
			Name: d.node, Zone: d.zone, Rack: d.zone + "-rack-0",
			Role: wire.RoleEntry, Addr: d.peers, State: wire.StateLive, Node: d.node,
		})
	}
	return vms
}

// document is one resource in the input file of "berylwharf apply".
type document struct {
	Kind resource.Kind `json:"kind"`
	Name string        `json:"name"`
	Spec resource.Spec `json:"spec"`
}

// documents returns the declared pools, customers, services and assignments of VMs to pools.
func documents() []document {
	var docs []document
	for _, service := range services {
		docs = append(docs, document{resource.KindPool, service, &resource.Pool{Description: "VMs of " + service, MinVMs: 2}})
	}
	docs = append(docs,
		document{resource.KindCustomer, "tanglaw", &resource.Customer{Share: 3}},
		document{resource.KindCustomer, "coldroot", &resource.Customer{Share: 2}},
		document{resource.KindService, "booking", &resource.Service{
			Pool: "booking", AnswerCheck: resource.AnswerCheckEcho, MaxRunMs: 5000, DefaultDeadlineMs: 5000,
		}},
		document{resource.KindService, "readings", &resource.Service{
			Pool: "readings", AnswerCheck: resource.AnswerCheckEcho, MaxRunMs: 5000, DefaultDeadlineMs: 5000,
		}},
	)
	for _, service := range services {
		for i := 1; i <= workersPerService; i++ {
			docs = append(docs, document{resource.KindVM, workerName(service, i), &resource.VM{Pool: service}})
		}
	}
	return docs
}

// writeJSON writes v as JSON to a file in dir and returns the path of the file.
func writeJSON(dir, name string, v any) (string, error) {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, name)
	return path, os.WriteFile(path, data, 0o600)
}
