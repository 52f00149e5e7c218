package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// readyTimeout limits the time until a node is ready. It allows for a busy machine.
const readyTimeout = 20 * time.Second

// nodeMemoryMB is the memory of a node's machine.
const nodeMemoryMB = 284

// node is a node of the job manager that runs as a process of its own.
type node struct {
	name, binary, settings, front, readiness string

	log    *os.File
	cmd    *exec.Cmd
	exited chan struct{}
}

// freeAddrs returns addresses with free ports of a loopback IP. The IP is not that of the stand-ins and of outgoing connections, which
// could take a port before the node listens on it.
func freeAddrs(count int) ([]string, error) {
	const parts = 250
	ip := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(parts), rand.IntN(parts), 1+rand.IntN(parts))
	var out []string
	for range count {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, errors.Wrap(err, "free port")
		}
		defer func() { _ = l.Close() }()
		out = append(out, l.Addr().String())
	}
	return out, nil
}

// newNode writes the settings of a node, with the keys of platform/settings.tmpl.
func newNode(dir, binary, name string, cpuShare float64, store, machines string) (*node, error) {
	addrs, err := freeAddrs(4)
	if err != nil {
		return nil, err
	}
	n := &node{name: name, binary: binary, settings: filepath.Join(dir, name+".json"), front: addrs[0], readiness: addrs[1]}
	data, err := json.Marshal(map[string]any{
		"node": name, "zone": "z", "callers": addrs[0], "readiness": addrs[1], "peers": addrs[2], "admin": addrs[3],
		"peerKey": "berylwharf-nodes-of-one-system", "store": store, "machines": machines,
		"cpuShare": cpuShare, "cpuSpeed": 1, "memoryMB": nodeMemoryMB, "maxFDs": 4100, "shards": storeParts,
		"bounds": map[string]any{
			"maxLeaseMs": maxHold.Milliseconds(), "graceS": 6, "statusS": 120, "rackFactor": 3, "stopMs": 900, "orderLeaseMs": 3000,
			"configMs": 2000, "callBytes": 2097152, "recordBytes": recordBytes,
		},
	})
	if err != nil {
		return nil, errors.Wrap(err, name)
	}
	const mode = 0o600
	if err := os.WriteFile(n.settings, data, mode); err != nil {
		return nil, errors.Wrap(err, name)
	}
	n.log, err = os.Create(filepath.Join(dir, name+".log"))
	return n, errors.Wrap(err, name)
}

// start starts the process with the command of the deploy file.
func (n *node) start() error {
	cmd := exec.Command(n.binary, "jobs")
	cmd.Env = append(os.Environ(), "BERYLWHARF_SETTINGS="+n.settings)
	cmd.Stdout, cmd.Stderr = n.log, n.log
	// The process ends with this one, whatever happens.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return errors.Wrap(err, n.name)
	}
	exited := make(chan struct{})
	n.cmd, n.exited = cmd, exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

// terminate sends SIGTERM, and SIGKILL after grace, and waits until the process has ended.
func (n *node) terminate(grace time.Duration) {
	if n.cmd == nil {
		return
	}
	_ = n.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-n.exited:
	case <-time.After(grace):
		_ = n.cmd.Process.Kill()
		<-n.exited
	}
	n.cmd = nil
}

func (n *node) kill() {
	if n.cmd == nil {
		return
	}
	_ = n.cmd.Process.Kill()
	<-n.exited
	n.cmd = nil
}

// awaitReady waits until the node passes its readiness check.
func (n *node) awaitReady() error {
	client := http.Client{Timeout: time.Second}
	for until := time.Now().Add(readyTimeout); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + n.readiness + "/berylwharf/ready")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.Errorf("%s is not ready", n.name)
}

// hasEnded says whether the process has ended by itself.
func (n *node) hasEnded() bool {
	select {
	case <-n.exited:
		return true
	default:
		return false
	}
}
