package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/berylwharf/berylwharf/logclient"
	"github.com/berylwharf/berylwharf/operator"
	"github.com/berylwharf/berylwharf/resource"
	"github.com/berylwharf/berylwharf/standin/platform"
	"github.com/berylwharf/berylwharf/statelog"
)

const (
	nodeCount = 2
	// startTimeout limits the start of a daemon. It is far above the 10 s in which a node should catch up.
	startTimeout = 120 * time.Second
	// clockTick is the unit of CPU times in /proc.
	clockTick = 10 * time.Millisecond
	// settleTime is the wait before the first measurement, in which start-up work completes.
	settleTime = 3 * time.Second
)

// testbed consists of a platform stand-in, a fake backend server and the daemons under measurement.
type testbed struct {
	dir         string
	platform    *countedServer
	listCounter *vmListCounter
	backend     *countedServer
	daemons     []*daemon
}

type daemon struct {
	cmd       *exec.Cmd
	operators string
	admin     string
}

func measure(bin string, workers int, window time.Duration, changes float64) (sample, error) {
	s := sample{workers: workers}
	b := &testbed{}
	defer b.close()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Minute)
	defer cancel()
	if err := b.start(ctx, workers); err != nil {
		return s, err
	}
	for i := range nodeCount {
		elapsed, err := b.startDaemon(bin, i)
		if err != nil {
			return s, err
		}
		s.catchUp = max(s.catchUp, elapsed.Seconds())
	}
	time.Sleep(settleTime)
	idle := b.window(window, nil)
	s.idleCPU = 100 * idle.cpu.Seconds() / window.Seconds()
	s.listBytes = float64(idle.list) / nodeCount / window.Seconds()
	s.logBytes = float64(idle.platform-idle.list) / nodeCount / window.Seconds()
	s.probeBytes = float64(idle.probes) / nodeCount / window.Seconds()

	var delays []float64
	count := 0
	loaded := b.window(window, func(end time.Time) error {
		var err error
		delays, count, err = b.measurePropagation(ctx, end, changes)
		return err
	})
	if loaded.err != nil {
		return s, loaded.err
	}
	s.changeCPU = float64((loaded.cpu - idle.cpu).Milliseconds()) / float64(count)
	s.changeBytes = float64(loaded.platform-loaded.list-(idle.platform-idle.list)) / nodeCount / float64(count)
	slices.Sort(delays)
	s.propagationMedian, s.propagationMax = delays[len(delays)/2], delays[len(delays)-1]
	var err error
	if s.rss, err = rss(b.daemons[1].cmd.Process.Pid); err != nil {
		return s, err
	}
	s.stateBytes, err = b.stateBytes(ctx)
	return s, err
}

func (b *testbed) start(ctx context.Context, workers int) error {
	var err error
	if b.dir, err = os.MkdirTemp("", "berylwharf-capacity"); err != nil {
		return err
	}
	health := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})
	if b.backend, err = serveCounted(health); err != nil {
		return err
	}
	standin, err := platform.New(platform.Config{VMs: vmList(workers, b.backend.addr)})
	if err != nil {
		return err
	}
	b.listCounter = &vmListCounter{next: standin}
	if b.platform, err = serveCounted(b.listCounter); err != nil {
		return err
	}
	log, err := logclient.New(logclient.Config{URL: "http://" + b.platform.addr})
	if err != nil {
		return err
	}
	defer log.Close()
	return publish(ctx, log, declarations(workers))
}

// loadingReasons are the texts of /readyz while a node is still loading its state; they must match those in package daemon.
var loadingReasons = []string{"the state is not loaded yet", "no VM list yet"}

// startDaemon starts a daemon with no state in memory, waits until it is ready, and returns the time until it had loaded the
// state and built its routes. The remaining conditions of readiness do not depend on the fleet size and are not included.
func (b *testbed) startDaemon(bin string, i int) (time.Duration, error) {
	d := &daemon{operators: fmt.Sprintf("127.0.0.1:%d", freePort()), admin: fmt.Sprintf("127.0.0.1:%d", freePort())}
	settings := fmt.Sprintf(`{"node": "entry-%d", "vm": "entry-%d", "zone": "zone-00", "region": "region-1",
		"callers": {"listen": "127.0.0.1:0"}, "operators": {"listen": %q},
		"peers": {"listen": "127.0.0.1:0", "key": "capacity-measurement"}, "admin": {"listen": %q},
		"platform": {"url": "http://%s"}, "log": {"level": "warn"}}`, i, i, d.operators, d.admin, b.platform.addr)
	file := filepath.Join(b.dir, fmt.Sprintf("entry-%d.json", i))
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		return 0, err
	}
	d.cmd = exec.Command(filepath.Join(bin, "berylwharfd"), file)
	d.cmd.Stderr = os.Stderr
	d.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := time.Now()
	if err := d.cmd.Start(); err != nil {
		return 0, err
	}
	b.daemons = append(b.daemons, d)
	loaded := time.Duration(0)
	for time.Since(started) < startTimeout {
		status, reason := readiness(d.admin)
		if status != 0 && loaded == 0 && !slices.Contains(loadingReasons, reason) {
			loaded = time.Since(started)
		}
		if status == http.StatusOK {
			return loaded, nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	return 0, errors.Errorf("daemon %d was not ready within %s", i, startTimeout)
}

// readiness returns the status and the body of /readyz, or status 0 if the request fails, as before the daemon listens.
func readiness(admin string) (status int, reason string) {
	resp, err := http.Get("http://" + admin + "/readyz")
	if err != nil {
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, 1024))
	if err != nil {
		return 0, ""
	}
	return resp.StatusCode, strings.TrimSpace(string(body))
}

type resourceUsage struct {
	cpu                    time.Duration // CPU time of the second daemon
	platform, list, probes int64         // bytes of all daemons; platform includes list
	err                    error
}

// window measures the resource usage over the given duration. It runs f, if not nil, which should return at end.
func (b *testbed) window(length time.Duration, f func(end time.Time) error) resourceUsage {
	before := b.readCounters()
	end := time.Now().Add(length)
	var err error
	if f != nil {
		err = f(end)
	}
	time.Sleep(time.Until(end))
	after := b.readCounters()
	return resourceUsage{
		cpu: after.cpu - before.cpu, platform: after.platform - before.platform, list: after.list - before.list,
		probes: after.probes - before.probes, err: errors.Wrap(err, "changes"),
	}
}

func (b *testbed) readCounters() resourceUsage {
	cpu, err := cpuTime(b.daemons[1].cmd.Process.Pid)
	return resourceUsage{
		cpu: cpu, platform: b.platform.bytes.Load(), list: b.listCounter.listBytes.Load(), probes: b.backend.bytes.Load(), err: err,
	}
}

// measurePropagation repeatedly updates one resource through the first daemon and measures how long after each accepted
// update the second daemon has it.
func (b *testbed) measurePropagation(ctx context.Context, end time.Time, rate float64) (delays []float64, count int, err error) {
	first, err := operator.NewClient(operator.ClientConfig{URL: "http://" + b.daemons[0].operators})
	if err != nil {
		return nil, 0, err
	}
	second, err := operator.NewClient(operator.ClientConfig{URL: "http://" + b.daemons[1].operators})
	if err != nil {
		return nil, 0, err
	}
	key := resource.Key{Kind: resource.KindPool, Name: poolName(0)}
	current, err := first.Get(ctx, key)
	if err != nil {
		return nil, 0, err
	}
	version := current.Version
	interval := time.Duration(float64(time.Second) / rate)
	for due := time.Now(); due.Before(end); due = due.Add(interval) {
		time.Sleep(time.Until(due))
		spec, err := json.Marshal(resource.Pool{MinVMs: 1, Description: fmt.Sprint("change ", count)})
		if err != nil {
			return nil, 0, err
		}
		put, err := first.Put(ctx, key, &operator.PutRequest{BaseVersion: &version, Author: "operator@example", Spec: spec})
		if err != nil {
			return nil, 0, err
		}
		version = put.Offset
		accepted := time.Now()
		for {
			r, err := second.Get(ctx, key)
			if err != nil {
				return nil, 0, err
			}
			if r.Version >= version {
				break
			}
			time.Sleep(time.Millisecond)
		}
		delays = append(delays, float64(time.Since(accepted).Microseconds())/1000)
		count++
	}
	return delays, count, nil
}

// stateBytes returns the size of the encoded state after applying all records of the log.
func (b *testbed) stateBytes(ctx context.Context) (float64, error) {
	log, err := logclient.New(logclient.Config{URL: "http://" + b.platform.addr})
	if err != nil {
		return 0, err
	}
	defer log.Close()
	state := statelog.New()
	for {
		resp, err := log.Read(ctx, statelog.StreamConfig, state.Next(), 256, 0)
		if err != nil {
			return 0, err
		}
		for _, r := range resp.Records {
			state.Apply(r.Offset, r.Data)
		}
		if state.Next() >= resp.Next {
			break
		}
	}
	data, err := state.Encode()
	return float64(len(data)), err
}

func (b *testbed) close() {
	for _, d := range b.daemons {
		_ = d.cmd.Process.Kill()
		_ = d.cmd.Wait()
	}
	for _, s := range []*countedServer{b.platform, b.backend} {
		if s != nil {
			_ = s.srv.Close()
		}
	}
	if b.dir != "" {
		_ = os.RemoveAll(b.dir)
	}
}

// cpuTime returns the sum of user and system CPU time of a process.
func cpuTime(pid int) (time.Duration, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	// Skip the command name, which may contain spaces. Of the fields after it, the state is the 1st, utime the 12th and stime
	// the 13th.
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 13 {
		return 0, errors.Errorf("/proc/%d/stat has only %d fields after the command name", pid, len(fields))
	}
	utime, err := strconv.ParseInt(fields[11], 10, 64)
	if err != nil {
		return 0, err
	}
	stime, err := strconv.ParseInt(fields[12], 10, 64)
	return time.Duration(utime+stime) * clockTick, err
}

// rss returns the resident set size of a process in MiB.
func rss(pid int) (float64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for _, line := range strings.Split(string(data), "\n") {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kib, err := strconv.ParseFloat(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 64)
			return kib / 1024, err
		}
	}
	return 0, errors.Errorf("/proc/%d/status has no VmRSS", pid)
}
