package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/berylwharf/berylwharf/load"
	wire "github.com/berylwharf/berylwharf/vmapi"
)

const (
	// maxDrainDelay is the longest permitted time from a drain command until the worker receives no new requests.
	maxDrainDelay = 3 * time.Second
	// vmListLag is the time after which the platform stand-in's VM list shows a change.
	vmListLag = 500 * time.Millisecond
	// unlistDelay is the time from the kill of a daemon to the removal of its VM from the VM list.
	unlistDelay = 2 * time.Second

	bookingWorkTime  = "20ms"
	readingsWorkTime = "10ms"

	commandTimeout    = 10 * time.Second
	readinessTimeout  = 15 * time.Second
	routesTimeout     = 10 * time.Second
	checkTimeout      = 8 * time.Second
	requestDeadlineMs = 3000
	retries           = 2
	requestBodyBytes  = 300
	maxResponseBytes  = 64 << 10
	checkInterval     = 100 * time.Millisecond

	faultTarget = 1 // index of the daemon that is killed or paused
)

// demo is the state of one run.
type demo struct {
	drainedWorker string // VM name of the worker that is drained during the load
	procs         *procs
	dir           string
	rate          float64
	duration      time.Duration
	seed          uint64
	fault         string
	startTime     time.Time

	platformAddr string            // host:port of the platform stand-in
	backendByVM  map[string]string // worker VM name to backend server address
	backendAddrs []string          // addresses of all backend servers, in no particular order
	daemons      []daemonAddrs
	daemonProcs  []*proc
	standInProcs []*proc
	drainedAt    time.Time
}

// logf prints a line with the time elapsed since the start of the demo.
func (d *demo) logf(format string, args ...any) {
	fmt.Printf("%5.1f s  %s\n", time.Since(d.startTime).Seconds(), fmt.Sprintf(format, args...))
}

// execute starts all processes, runs the load with fault injection and checks the guarantees.
func (d *demo) execute(ctx context.Context) error {
	steps := []struct {
		name string
		run  func(context.Context) error
	}{
		{"starting 8 backend servers", d.startBackends},
		{"starting the platform stand-in", d.startPlatform},
		{"starting 3 daemons", d.startDaemons},
		{"waiting until the daemons are ready", d.waitReady},
		{"applying pools, customers, services and VM assignments", d.applyResources},
		{"waiting until each daemon serves both services", d.waitRoutes},
	}
	for _, step := range steps {
		d.logf("%s", step.name)
		if err := step.run(ctx); err != nil {
			return errors.Wrap(err, step.name)
		}
	}
	return d.runLoadWithFaults(ctx)
}

func (d *demo) startBackends(ctx context.Context) error {
	d.backendByVM = map[string]string{}
	started := map[string]*proc{}
	for _, service := range services {
		work := bookingWorkTime
		if service == "readings" {
			work = readingsWorkTime
		}
		for i := 1; i <= workersPerService; i++ {
			name := workerName(service, i)
			p, err := d.procs.start(name, "backend-standin",
				"-name", name, "-work", work, "-work-dist", "lognormal", "-seed", strconv.Itoa(i))
			if err != nil {
				return err
			}
			d.standInProcs = append(d.standInProcs, p)
			started[name] = p
		}
	}
	for name, p := range started {
		addr, err := p.address(ctx)
		if err != nil {
			return err
		}
		d.backendByVM[name] = addr
		d.backendAddrs = append(d.backendAddrs, addr)
	}
	return nil
}

func (d *demo) startPlatform(ctx context.Context) error {
	var err error
	if d.daemons, err = allocateDaemons(); err != nil {
		return err
	}
	file, err := writeJSON(d.dir, "vms.json", vmList(d.backendByVM, d.daemons))
	if err != nil {
		return err
	}
	p, err := d.procs.start("platform", "platform-standin", "-vms", file, "-lag", vmListLag.String())
	if err != nil {
		return err
	}
	d.standInProcs = append(d.standInProcs, p)
	d.platformAddr, err = p.address(ctx)
	return err
}

func (d *demo) startDaemons(context.Context) error {
	for i := range d.daemons {
		n := &d.daemons[i]
		file, err := writeJSON(d.dir, n.node+".json", n.settings(d.daemons, d.platformAddr))
		if err != nil {
			return err
		}
		p, err := d.procs.start(n.node, "berylwharfd", file)
		if err != nil {
			return err
		}
		d.daemonProcs = append(d.daemonProcs, p)
	}
	return nil
}

func (d *demo) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readinessTimeout)
	defer cancel()
	for i, n := range d.daemons {
		err := poll(ctx, func() error {
			if p := d.daemonProcs[i]; p.exited() {
				return permanentError{fmt.Errorf("%s exited (%s)", p.name, p.cmd.ProcessState)}
			}
			return get(ctx, "http://"+n.admin+"/readyz", nil)
		})
		if err != nil {
			return errors.Wrap(err, n.node)
		}
	}
	return nil
}

// applyResources publishes the declared resources through the first daemon's operator API.
func (d *demo) applyResources(ctx context.Context) error {
	file, err := writeJSON(d.dir, "resources.json", documents())
	if err != nil {
		return err
	}
	out, err := d.runCommand(ctx, "apply", "-f", file)
	fmt.Print(out)
	return err
}

// runCommand runs a subcommand of the command-line tool against the first daemon. The flags precede the arguments.
func (d *demo) runCommand(ctx context.Context, name string, args ...string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	flags := []string{
		name, "--server", "http://" + d.daemons[0].operators, "--token", operatorToken, "--author", "demo",
	}
	return d.procs.run(ctx, "berylwharf-"+name, "berylwharf", append(flags, args...)...)
}

// waitRoutes sends a read request for each service to each daemon and repeats it until it succeeds.
func (d *demo) waitRoutes(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, routesTimeout)
	defer cancel()
	for _, n := range d.daemons {
		for _, service := range services {
			url := "http://" + n.callers + "/svc/" + service + "/warm-up"
			header := http.Header{"Berylwharf-Customer": {"tanglaw"}, "Berylwharf-Deadline-Ms": {"1000"}}
			if err := poll(ctx, func() error { return get(ctx, url, header) }); err != nil {
				return errors.Wrapf(err, "%s, service %s", n.node, service)
			}
		}
	}
	return nil
}

// permanentError wraps an error that a retry cannot resolve, such as the exit of a daemon.
type permanentError struct{ error }

// poll repeats a check until it succeeds, returns a permanentError, or ctx ends. When ctx ends, it returns the last error
// that was not caused by the end of ctx.
func poll(ctx context.Context, check func() error) error {
	var lastErr error
	for {
		err := check()
		var f permanentError
		if err == nil || errors.As(err, &f) {
			return err
		}
		if lastErr == nil || ctx.Err() == nil {
			lastErr = err
		}
		if !sleep(ctx, checkInterval) {
			return errors.Wrap(lastErr, "timed out")
		}
	}
}

// get sends a GET request and returns an error for a status other than 200.
func get(ctx context.Context, url string, header http.Header) error {
	_, err := fetch(ctx, http.MethodGet, url, nil, header)
	return err
}

// fetch sends a request on a connection of its own and returns the response body. A status other than 200 is an error.
func fetch(ctx context.Context, method, url string, body []byte, header http.Header) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	for k, v := range header {
		req.Header[k] = v
	}
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s %s: status %d: %s", method, url, resp.StatusCode, bytes.TrimSpace(data))
	}
	return data, err
}

// events generates the load: bookings and reads by both customers.
func (d *demo) events() ([]load.Event, error) {
	classes, err := load.ParseMix("booking:tanglaw:urgent:POST:4,booking:coldroot:normal:POST:1," +
		"readings:coldroot:normal:GET:4,readings:tanglaw:batch:GET:1")
	if err != nil {
		return nil, err
	}
	for i := range classes {
		classes[i].BodyBytes = requestBodyBytes
		classes[i].DeadlineMs = requestDeadlineMs
	}
	rate := load.Rate{Seed: d.seed, PerSecond: d.rate, Duration: d.duration, Classes: classes}
	return rate.Generate()
}

// runLoadWithFaults runs the load, meanwhile drains a worker and kills or pauses a daemon, and checks the results.
func (d *demo) runLoadWithFaults(ctx context.Context) error {
	events, err := d.events()
	if err != nil {
		return err
	}
	cfg := load.Config{Retries: retries}
	for _, n := range d.daemons {
		cfg.Entries = append(cfg.Entries, n.callers)
	}
	d.logf("sending %d requests in %s to %d daemons", len(events), d.duration, len(d.daemons))
	results := make(chan *load.Result, 1)
	go func() {
		// Run fails only for a configuration without entry nodes.
		res, _ := load.Run(ctx, cfg, events)
		results <- res
	}()
	faultErr := d.injectFaults(ctx)
	res := <-results
	if faultErr != nil {
		return faultErr
	}
	return d.checkResults(ctx, res)
}

// injectFaults drains a worker after a fifth of the load's duration and kills or pauses a daemon after half of it.
func (d *demo) injectFaults(ctx context.Context) error {
	if !sleep(ctx, d.duration/5) {
		return ctx.Err()
	}
	vm, err := d.busiestWorker(ctx)
	if err != nil {
		return err
	}
	d.drainedWorker = vm
	d.logf("draining %s", vm)
	if _, err := d.runCommand(ctx, "drain", "vm", vm); err != nil {
		return err
	}
	d.drainedAt = time.Now()
	if !sleep(ctx, d.duration*3/10) {
		return ctx.Err()
	}
	target := d.daemonProcs[faultTarget]
	if d.fault == faultPause {
		return d.pauseDaemon(ctx, target)
	}
	d.logf("killing %s with SIGKILL", target.name)
	target.kill()
	if !sleep(ctx, unlistDelay) {
		return ctx.Err()
	}
	d.logf("removing %s from the VM list", target.name)
	return d.removeFromVMList(ctx, target.name)
}

// Values of -fault: what is done to a daemon during the load.
const (
	faultKill  = "kill"
	faultPause = "pause"
	// pauseDuration exceeds all timeouts between nodes and the deadlines of the requests, so that the resumed daemon still
	// holds requests that their callers have meanwhile retried at other daemons.
	pauseDuration = 6 * time.Second
)

// pauseDaemon suspends a daemon with SIGSTOP and resumes it after pauseDuration. Its VM stays in the VM list.
func (d *demo) pauseDaemon(ctx context.Context, target *proc) error {
	d.logf("pausing %s with SIGSTOP for %s", target.name, pauseDuration)
	if err := target.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	sleep(ctx, pauseDuration)
	d.logf("resuming %s with SIGCONT", target.name)
	return target.cmd.Process.Signal(syscall.SIGCONT)
}

// removeFromVMList removes a VM from the platform's VM list and leaves the other entries unchanged.
func (d *demo) removeFromVMList(ctx context.Context, name string) error {
	url := "http://" + d.platformAddr + "/standin/vms"
	data, err := fetch(ctx, http.MethodGet, url, nil, nil)
	if err != nil {
		return err
	}
	var vms []wire.VM
	if err := json.Unmarshal(data, &vms); err != nil {
		return err
	}
	vms = slices.DeleteFunc(vms, func(vm wire.VM) bool { return vm.Name == name })
	body, err := json.Marshal(wire.VMList{VMs: vms})
	if err != nil {
		return err
	}
	_, err = fetch(ctx, http.MethodPost, url, body, nil)
	return err
}

// checkResults prints the report and returns an error if a guarantee was violated, the drained worker received requests too
// late, or less than half of the requests were answered.
func (d *demo) checkResults(ctx context.Context, res *load.Result) error {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	runs, err := load.FetchRuns(ctx, d.backendAddrs)
	if err != nil {
		return errors.Wrap(err, "fetch the runs of the backend servers")
	}
	report := load.Check(res, runs)
	if err := report.WriteTable(os.Stdout); err != nil {
		return err
	}
	if err := d.checkDrain(ctx); err != nil {
		return err
	}
	if report.Violated() {
		return errors.New("a guarantee was violated: see the table")
	}
	// A run in which most requests are refused violates no guarantee but demonstrates nothing.
	if t := report.Totals; t.Answered*2 < t.Sent {
		return fmt.Errorf("only %d of %d requests were answered", t.Answered, t.Sent)
	}
	return nil
}

// busiestWorker returns the booking worker with the most runs so far. Nodes keep using the workers whose slots they hold, so
// another worker may have received no requests, and draining it would demonstrate nothing.
func (d *demo) busiestWorker(ctx context.Context) (string, error) {
	busiest, most := "", -1
	for i := 1; i <= workersPerService; i++ {
		vm := workerName("booking", i)
		runs, err := load.FetchServerRuns(ctx, d.backendByVM[vm])
		if err != nil {
			return "", err
		}
		if runs.Total > most {
			busiest, most = vm, runs.Total
		}
	}
	return busiest, nil
}

// checkDrain checks that the drained worker received requests before the drain and none later than maxDrainDelay after it.
func (d *demo) checkDrain(ctx context.Context) error {
	vm := d.drainedWorker
	runs, err := load.FetchServerRuns(ctx, d.backendByVM[vm])
	if err != nil {
		return err
	}
	if runs.Total == 0 {
		return fmt.Errorf("%s received no requests before its drain, so the drain cannot be checked", vm)
	}
	after := runs.LastStart.Sub(d.drainedAt)
	if after > maxDrainDelay {
		return fmt.Errorf("%s received a request %s after its drain (at most %s is permitted)", vm, after, maxDrainDelay)
	}
	d.logf("%s received its last request %s after its drain (at most %s is permitted; negative: before the drain)",
		vm, after.Round(time.Millisecond), maxDrainDelay)
	return nil
}
