package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"time"
)

const readyTimeout = 20 * time.Second

// node is a node of the job manager as a separate process.
type node struct {
	name, callers, readiness string
	cmd                      *exec.Cmd
	log                      *os.File
}

// freeAddrs returns loopback addresses with free ports.
func freeAddrs(count int) ([]string, error) {
	var out []string
	for range count {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }()
		out = append(out, l.Addr().String())
	}
	return out, nil
}

// startNode starts a node with settings like those of a small deployment.
func startNode(name, binary, dir, logs, store, machines, advice string, status time.Duration) (*node, error) {
	a, err := freeAddrs(4)
	if err != nil {
		return nil, err
	}
	settings, err := json.Marshal(map[string]any{
		"node": name, "zone": "zone-a", "callers": a[0], "readiness": a[1], "peers": a[2], "admin": a[3],
		"peerKey": "berylwharf-nodes-of-one-system", "store": store, "machines": machines, "advice": advice,
		"cpuShare": 0.4, "cpuSpeed": 1, "shards": shardCount,
		"bounds": map[string]any{
			"maxLeaseMs": 6000, "graceS": 6, "statusS": status.Seconds(), "rackFactor": 3, "stopMs": 900, "orderLeaseMs": 3000,
			"callBytes": 2097152, "recordBytes": 262144,
		},
	})
	if err != nil {
		return nil, err
	}
	path := filepath.Join(dir, name+".json")
	if err := os.WriteFile(path, settings, 0o600); err != nil {
		return nil, err
	}
	n := &node{name: name, callers: a[0], readiness: a[1]}
	if n.log, err = os.Create(filepath.Join(logs, name+".log")); err != nil {
		return nil, err
	}
	n.cmd = exec.Command(binary, "jobs", "--settings", path)
	n.cmd.Stdout, n.cmd.Stderr = n.log, n.log
	return n, n.cmd.Start()
}

func (n *node) awaitReady() error {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := client.Get("http://" + n.readiness + "/berylwharf/ready")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("node %s is not ready", n.name)
}

// kill ends the process that this harness started.
func (n *node) kill() {
	if n.cmd == nil || n.cmd.Process == nil {
		return
	}
	if err := n.cmd.Process.Kill(); err != nil && !errors.Is(err, os.ErrProcessDone) {
		fmt.Fprintln(os.Stderr, "harness2:", err)
	}
	_ = n.cmd.Wait()
	_ = n.log.Close()
}
