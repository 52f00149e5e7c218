package connlimit_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/berylwharf/berylwharf/jobmanager"
	"github.com/berylwharf/berylwharf/operator"
	"github.com/berylwharf/berylwharf/platform/standin"
	"github.com/berylwharf/berylwharf/resource"
	"github.com/berylwharf/berylwharf/standin/backend"
	platformstandin "github.com/berylwharf/berylwharf/standin/platform"
	"github.com/berylwharf/berylwharf/vmapi"
)

const (
	// memoryMB and maxFDs are the limits in the settings of the processes, and the bounds that the tests check.
	memoryMB = 96
	maxFDs   = 600
	// recordBytes is the largest record that the store accepts.
	recordBytes = 262_144
	// waitTimeout limits each wait for a condition. No check depends on its value.
	waitTimeout = 60 * time.Second
)

// process is one of the system's own processes under test.
type process struct {
	t       *testing.T
	cmd     *exec.Cmd
	exited  chan struct{}
	ports   map[string]string // listen address by the name of the listener
	request func() bool       // sends an ordinary request and reports whether it was served
	submit  string            // start of the head of a request with a body to the callers' port
	peakFDs atomic.Int64
	jobs    atomic.Int64 // jobs that crowds have submitted
	twin    *process     // another node of the system, or nil; every second client goes to it
	// reuse sends an ordinary request on the connection of the previous one, and reports whether it was served. It is nil
	// for systems without such a check.
	reuse func() bool
	// verify checks the state of the system after the crowd; it may be nil.
	verify func()
	// logPaused stops the reader of the process's output.
	logPaused atomic.Bool
}

// addrs returns n free addresses of a loopback IP of its own, so that no outgoing connection takes one of them.
func addrs(t *testing.T, n int) []string {
	t.Helper()
	ip := fmt.Sprintf("127.78.1.%d", 1+ipCount.Add(1))
	var out []string
	for range n {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		out = append(out, l.Addr().String())
	}
	return out
}

var ipCount atomic.Int32

// start runs the program with a settings file and waits until the process serves an ordinary request.
func (p *process) start(binary string, settings any, args ...string) {
	p.t.Helper()
	dir := p.t.TempDir()
	data, err := json.Marshal(settings)
	if err != nil {
		p.t.Fatal(err)
	}
	file, log := filepath.Join(dir, "settings.json"), filepath.Join(dir, "log")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		p.t.Fatal(err)
	}
	out, err := os.Create(log)
	if err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(func() { _ = out.Close() })
	p.cmd, p.exited = exec.Command(binary, append(args, file)...), make(chan struct{})
	p.cmd.Stdout, p.cmd.Stderr = logWriter{p, out}, out
	if err := p.cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	go func() {
		_ = p.cmd.Wait()
		close(p.exited)
	}()
	p.t.Cleanup(func() {
		p.logPaused.Store(false)
		_ = p.cmd.Process.Signal(syscall.SIGKILL)
		<-p.exited
		if data, err := os.ReadFile(log); err == nil && p.t.Failed() {
			p.t.Logf("end of the log:\n%s", data[max(0, len(data)-2000):])
		}
	})
	go p.watchFDs()
}

// logWriter writes the output of a process unless its reader is paused.
type logWriter struct {
	p *process
	io.Writer
}

// Write implements io.Writer.
func (w logWriter) Write(b []byte) (int, error) {
	for w.p.logPaused.Load() {
		time.Sleep(10 * time.Millisecond)
	}
	return w.Writer.Write(b)
}

// watchFDs records the greatest number of open descriptors until the process exits.
func (p *process) watchFDs() {
	for {
		select {
		case <-p.exited:
			return
		case <-time.After(20 * time.Millisecond):
		}
		if entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid)); err == nil {
			p.peakFDs.Store(max(p.peakFDs.Load(), int64(len(entries))))
		}
	}
}

// statusMB returns a field of /proc/PID/status in megabytes.
func (p *process) statusMB(field string) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		p.t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(data), field+":")
	var kb int
	if _, err := fmt.Sscan(rest, &kb); err != nil {
		p.t.Fatalf("/proc/PID/status: %s: %v", field, err)
	}
	return kb >> 10
}

// waitFor waits until the condition holds or the process has exited.
func (p *process) waitFor(what string, f func() bool) {
	p.t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		select {
		case <-p.exited:
			p.t.Fatalf("the process ended while waiting for the condition %q", what)
		default:
		}
		if f() {
			return
		}
	}
	p.t.Fatalf("timed out waiting for the condition %q", what)
}

// answers reports whether a request on a connection of its own gets the status.
func answers(method, url, host string, header map[string]string, body string, want int) bool {
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return false
	}
	req.Host, req.Close = host, true
	for k, v := range header {
		req.Header.Set(k, v)
	}
	client := http.Client{Timeout: 10 * time.Second}
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == want
}

// startJobs starts a node of the job manager beside stand-ins of the store, the workers and the machines.
func startJobs(t *testing.T, binary string) *process {
	t.Helper()
	return startNodes(t, binary, 1)
}

// startPair starts two nodes of the job manager. Ordinary requests go to both by turns, so that half of them are passed on to the
// owner of the queue.
func startPair(t *testing.T, binary string) *process {
	t.Helper()
	return startNodes(t, binary, 2)
}

func startNodes(t *testing.T, binary string, n int) *process {
	t.Helper()
	store := standin.NewStore(4)
	var workers []*standin.Worker
	for i := range 2 {
		w := standin.NewWorker(fmt.Sprintf("w%d", i), "pool", fmt.Sprintf("m%d", i))
		t.Cleanup(w.Server.CloseClientConnections)
		workers = append(workers, w)
		store.Put("keyed.servers", w.ID, w.Entry())
	}
	store.RecordBytes = recordBytes
	config := strings.Replace(string(standin.Config(1, "pool")), `"maxBodyBytes":100000`, `"maxBodyBytes":262144`, 1)
	store.Put("keyed.op", "config", []byte(config))
	storeHTTP, machines := httptest.NewServer(store), httptest.NewServer(standin.NewMachines(workers))
	t.Cleanup(storeHTTP.CloseClientConnections)
	t.Cleanup(machines.CloseClientConnections)
	start := func(name string) *process {
		a := addrs(t, 4)
		p := &process{
			t: t, ports: map[string]string{"callers": a[0], "readiness": a[1], "admin": a[2], "peers": a[3]},
			submit: "POST /q/%016x HTTP/1.1\r\nHost: h\r\n",
		}
		p.start(binary, jobmanager.Settings{
			Node: name, Zone: "z", Callers: a[0], Readiness: a[1], Admin: a[2], Peers: a[3], PeerKey: "a key of the tests",
			Store: storeHTTP.Listener.Addr().String(), Machines: machines.Listener.Addr().String(), Shards: 4,
			MemoryMB: memoryMB, MaxFDs: maxFDs,
			Limits: jobmanager.Limits{
				MaxLeaseMs: 6000, GraceS: 2, StatusS: 120, CrossRackFactor: 2, OrderLeaseMs: 1000, CallBytes: 2 << 20, RecordBytes: recordBytes,
			},
		}, "jobs", "--settings")
		return p
	}
	p := start("n0")
	nodes := []*process{p}
	if n > 1 {
		p.twin = start("n1")
		nodes = append(nodes, p.twin)
	}
	jobs := 0
	p.request = func() bool {
		jobs++
		url := fmt.Sprintf("http://%s/q/%016x", nodes[jobs%n].ports["callers"], 1<<40+jobs)
		return answers(http.MethodPost, url, "h", nil, `{"spec":"x","steps":[{"count":1,"cpu":100,"estimateMs":10}]}`, http.StatusOK)
	}
	for range 2 * n {
		p.waitFor("ready", p.request)
	}
	p.lastingJob(workers, nodes)
	return p
}

// lastingJob submits a job whose task runs until the test ends. A caller asks for its state on a connection that stays open, and the
// lease of its worker must never lapse.
func (p *process) lastingJob(workers []*standin.Worker, nodes []*process) {
	p.t.Helper()
	const path = "/q/00000000000000aa"
	callers := nodes[len(nodes)-1].ports["callers"]
	p.waitFor("the lasting job is accepted", func() bool {
		return answers(http.MethodPost, "http://"+callers+path, "h", nil, `{"spec":"lasting","steps":[{"count":1,"cpu":100,"daemon":true}]}`, http.StatusOK)
	})
	client := &http.Client{Transport: &http.Transport{}, Timeout: 10 * time.Second}
	p.t.Cleanup(client.CloseIdleConnections)
	p.reuse = func() bool {
		req, err := http.NewRequest(http.MethodGet, "http://"+callers+path, nil)
		if err != nil {
			return false
		}
		req.Host = "h"
		resp, err := client.Do(req)
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		return err == nil && string(body) == `{"state":"running"}`
	}
	p.waitFor("the lasting job runs", p.reuse)
	p.verify = func() {
		for _, w := range workers {
			for _, r := range w.Runs() {
				if r.Spec == "lasting" && !r.EndedAt.IsZero() {
					p.t.Errorf("run %d of the lasting task ended as %s", r.Run, r.Outcome)
				}
			}
		}
	}
}

// startEntry starts an entry daemon beside stand-ins of the platform and of a backend server.
func startEntry(t *testing.T, binary string) *process {
	t.Helper()
	server, err := platformstandin.New(platformstandin.Config{})
	if err != nil {
		t.Fatal(err)
	}
	b, err := backend.Start("127.0.0.1:0", backend.Config{Name: "w0"})
	if err != nil {
		t.Fatal(err)
	}
	front := httptest.NewServer(server)
	t.Cleanup(func() { server.Close(); front.CloseClientConnections(); _ = b.Close() })
	a := addrs(t, 4)
	if err := server.SetVMs([]vmapi.VM{
		{Name: "w0", Zone: "z", Rack: "r", Role: vmapi.RoleWorker, Addr: b.Addr(), State: vmapi.StateLive},
		{Name: "n0", Zone: "z", Rack: "r", Role: vmapi.RoleEntry, Addr: a[3], State: vmapi.StateLive, Node: "n0"},
	}); err != nil {
		t.Fatal(err)
	}
	p := &process{
		t: t, ports: map[string]string{"callers": a[0], "operators": a[1], "admin": a[2], "peers": a[3]},
		submit: "POST /svc/booking/x?%d HTTP/1.1\r\nHost: h\r\nBerylwharf-Customer: c\r\n",
	}
	p.request = func() bool {
		return answers(http.MethodGet, "http://"+a[0]+"/svc/booking/x", "", map[string]string{"Berylwharf-Customer": "c"}, "", http.StatusOK)
	}
	p.start(binary, map[string]any{
		"node": "n0", "zone": "z", "region": "r1", "callers": map[string]any{"listen": a[0]},
		"operators": map[string]any{"listen": a[1]}, "admin": map[string]any{"listen": a[2]},
		"peers": map[string]any{"listen": a[3], "key": "0123456789abcdef"}, "platform": map[string]any{"url": front.URL},
		"limits": map[string]any{"memoryMB": memoryMB, "maxFDs": maxFDs},
	})
	p.waitFor("ready", func() bool { return answers(http.MethodGet, "http://"+a[2]+"/readyz", "", nil, "", http.StatusOK) })
	client, err := operator.NewClient(operator.ClientConfig{URL: "http://" + a[1]})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	for _, r := range []struct {
		kind resource.Kind
		name string
		spec any
	}{
		{resource.KindPool, "p", resource.Pool{}}, {resource.KindCustomer, "c", resource.Customer{Share: 1}},
		{resource.KindService, "booking", resource.Service{
			Pool: "p", AnswerCheck: resource.AnswerCheckEcho, MaxRunMs: 1000, DefaultDeadlineMs: 10000, MaxBodyBytes: 262144,
		}},
		{resource.KindVM, "w0", resource.VM{Pool: "p"}},
	} {
		spec, err := json.Marshal(r.spec)
		if err != nil {
			t.Fatal(err)
		}
		var base uint64
		put := &operator.PutRequest{BaseVersion: &base, Author: "test", Spec: spec}
		if _, err := client.Put(ctx, resource.Key{Kind: r.kind, Name: r.name}, put); err != nil {
			t.Fatal(err)
		}
	}
	p.waitFor("serves", p.request)
	return p
}
