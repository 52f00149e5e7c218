package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	readyTimeout = 20 * time.Second
	// graceTime is the time from SIGTERM to SIGKILL (graceS).
	graceTime = 6 * time.Second
)

// node is a process of the system, started with the command of the deploy file.
type node struct {
	name                string
	binary, settings    string
	log                 *os.File
	record              *recorder
	callers, readyCheck string

	mu     sync.Mutex
	cmd    *exec.Cmd // nil while the process does not run
	exited chan struct{}
}

// newNode writes the settings of a node, in the layout of the project's template, and starts it.
func newNode(binary, dir, name, storeAddr, machinesAddr string, r *recorder) (*node, error) {
	ports, err := freeAddrs(4)
	if err != nil {
		return nil, err
	}
	settings := map[string]any{
		"node": name, "zone": "zone-a", "callers": ports[0], "readiness": ports[1], "peers": ports[2], "admin": ports[3],
		"peerKey": "berylwharf-nodes-of-one-system", "store": storeAddr, "machines": machinesAddr,
		"cpuShare": 0.4, "cpuSpeed": 1, "shards": storeParts,
		"bounds": map[string]any{
			"maxLeaseMs": 6000, "graceS": 6, "statusS": 120, "rackFactor": 3, "stopMs": 900, "orderLeaseMs": 3000,
			"callBytes": 2097152, "recordBytes": 262144,
		},
	}
	data, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	n := &node{name: name, binary: binary, settings: filepath.Join(dir, name+".json"), record: r, callers: ports[0], readyCheck: ports[1]}
	if err := os.WriteFile(n.settings, data, 0o600); err != nil {
		return nil, err
	}
	if n.log, err = os.Create(filepath.Join(dir, name+".log")); err != nil {
		return nil, err
	}
	return n, n.start()
}

// firstPort and portCount are the range of the nodes' ports. It lies below the range from which outgoing connections are
// given their ports, so that none of them takes a port before a node listens on it.
const firstPort, portCount = 12000, 16000

// givenPorts holds the ports that freeAddrs has returned, as a node may not listen yet when the next one is given its ports.
var givenPorts = make(map[int]bool)

// freeAddrs returns free loopback addresses, each only once.
func freeAddrs(count int) ([]string, error) {
	var out []string
	for tries := 0; len(out) < count && tries < portCount; tries++ {
		port := firstPort + rand.IntN(portCount)
		if givenPorts[port] {
			continue
		}
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		givenPorts[port] = true
		defer func() { _ = l.Close() }()
		out = append(out, l.Addr().String())
	}
	if len(out) < count {
		return nil, errors.New("no free ports")
	}
	return out, nil
}

func (n *node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	cmd := exec.Command(n.binary, "jobs")
	cmd.Env = append(os.Environ(), "BERYLWHARF_SETTINGS="+n.settings)
	cmd.Stdout, cmd.Stderr = n.log, n.log
	if err := cmd.Start(); err != nil {
		return err
	}
	n.record.add(n.name, "process started")
	exited := make(chan struct{})
	n.cmd, n.exited = cmd, exited
	go func() {
		// The exit status is of no interest, because the test ends processes itself.
		_ = cmd.Wait()
		n.record.add(n.name, "process ended")
		close(exited)
	}()
	return nil
}

// stop ends the process: with SIGTERM and, after the grace time, with SIGKILL.
func (n *node) stop() {
	n.signal(syscall.SIGTERM)
	select {
	case <-n.exited:
	case <-time.After(graceTime):
		n.kill()
	}
}

func (n *node) kill() {
	n.signal(syscall.SIGKILL)
	<-n.exited
}

func (n *node) signal(sig syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.record.add(n.name, "signal %v", sig)
	// An error means that the process has ended.
	_ = n.cmd.Process.Signal(sig)
}

func (n *node) awaitReady() error {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + n.readyCheck + "/berylwharf/ready")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("node %s is not ready after %v", n.name, readyTimeout)
}
