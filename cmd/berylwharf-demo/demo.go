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
	// drainBound is the time after which a leaving backend server receives no new work.
	drainBound = 3 * time.Second
	// platformLag is the lag of the VM list.
	platformLag = 500 * time.Millisecond
	// goneDelay is the time from the end of an entry VM to its removal from the VM list.
	goneDelay = 2 * time.Second

	bookingWork  = "20ms"
	readingsWork = "10ms"

	commandTimeout = 10 * time.Second
	readyLimit     = 15 * time.Second
	routeLimit     = 10 * time.Second
	settleLimit    = 8 * time.Second
	deadlineMs     = 3000
	retries        = 2
	bodyBytes      = 300
	maxAnswerBytes = 64 << 10
	checkPause     = 100 * time.Millisecond

	killedDaemon = 1 // index of the daemon that is killed
)

// demo is the state of one run.
type demo struct {
	drained  string // the worker that is drained
	procs    *procs
	dir      string
	rate     float64
	duration time.Duration
	seed     uint64
	fault    string
	began    time.Time

	platform     string            // address
	backends     map[string]string // worker VM to address
	backendOrder []string          // addresses
	daemons      []daemonAddrs
	daemonProcs  []*proc
	standInProcs []*proc
	drainedAt    time.Time
}

// say prints a line with the time since the start.
func (d *demo) say(format string, args ...any) {
	fmt.Printf("%5.1f s  %s\n", time.Since(d.began).Seconds(), fmt.Sprintf(format, args...))
}

// play starts everything, runs the load with its faults and checks the promises.
func (d *demo) play(ctx context.Context) error {
	steps := []struct {
		name string
		run  func(context.Context) error
	}{
		{"starting 8 backend servers", d.startBackends},
		{"starting the platform stand-in", d.startPlatform},
		{"starting 3 daemons", d.startDaemons},
		{"waiting until the daemons are ready", d.waitReady},
		{"applying pools, customers, services and VM assignments", d.apply},
		{"waiting until each daemon serves both services", d.waitRoutes},
	}
	for _, step := range steps {
		d.say("%s", step.name)
		if err := step.run(ctx); err != nil {
			return errors.Wrap(err, step.name)
		}
	}
	return d.loadWithFaults(ctx)
}

func (d *demo) startBackends(ctx context.Context) error {
	d.backends = map[string]string{}
	started := map[string]*proc{}
	for _, service := range services {
		work := bookingWork
		if service == "readings" {
			work = readingsWork
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
		d.backends[name] = addr
		d.backendOrder = append(d.backendOrder, addr)
	}
	return nil
}

func (d *demo) startPlatform(ctx context.Context) error {
	var err error
	if d.daemons, err = newDaemons(); err != nil {
		return err
	}
	file, err := writeJSON(d.dir, "vms.json", vmList(d.backends, d.daemons))
	if err != nil {
		return err
	}
	p, err := d.procs.start("platform", "platform-standin", "-vms", file, "-lag", platformLag.String())
	if err != nil {
		return err
	}
	d.standInProcs = append(d.standInProcs, p)
	d.platform, err = p.address(ctx)
	return err
}

func (d *demo) startDaemons(context.Context) error {
	for i := range d.daemons {
		n := &d.daemons[i]
		file, err := writeJSON(d.dir, n.node+".json", n.settings(d.daemons, d.platform))
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
	ctx, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	for i, n := range d.daemons {
		err := until(ctx, func() error {
			if p := d.daemonProcs[i]; p.ended() {
				return fatal{fmt.Errorf("%s ended (%s)", p.name, p.cmd.ProcessState)}
			}
			return get(ctx, "http://"+n.admin+"/readyz", nil)
		})
		if err != nil {
			return errors.Wrap(err, n.node)
		}
	}
	return nil
}

// apply publishes the resources through the first daemon.
func (d *demo) apply(ctx context.Context) error {
	file, err := writeJSON(d.dir, "resources.json", documents())
	if err != nil {
		return err
	}
	out, err := d.command(ctx, "apply", "-f", file)
	fmt.Print(out)
	return err
}

// command runs the command-line tool against the first daemon. Flags come before the arguments.
func (d *demo) command(ctx context.Context, name string, args ...string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	flags := []string{
		name, "--server", "http://" + d.daemons[0].operators, "--token", operatorToken, "--author", "demo",
	}
	return d.procs.run(ctx, "berylwharf-"+name, "berylwharf", append(flags, args...)...)
}

// waitRoutes sends a read of each service through each daemon until it is answered.
func (d *demo) waitRoutes(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, routeLimit)
	defer cancel()
	for _, n := range d.daemons {
		for _, service := range services {
			url := "http://" + n.callers + "/svc/" + service + "/warm-up"
			header := http.Header{"Berylwharf-Customer": {"tanglaw"}, "Berylwharf-Deadline-Ms": {"1000"}}
			if err := until(ctx, func() error { return get(ctx, url, header) }); err != nil {
				return errors.Wrapf(err, "%s, service %s", n.node, service)
			}
		}
	}
	return nil
}

// fatal marks an error after which waiting is pointless.
type fatal struct{ error }

// until repeats a check until it succeeds or ctx ends, and returns the last error that was not caused by the end of ctx.
func until(ctx context.Context, check func() error) error {
	var last error
	for {
		err := check()
		var f fatal
		if err == nil || errors.As(err, &f) {
			return err
		}
		if last == nil || ctx.Err() == nil {
			last = err
		}
		if !pause(ctx, checkPause) {
			return errors.Wrap(last, "gave up")
		}
	}
}

// get fetches a URL and returns an error for a status other than 200.
func get(ctx context.Context, url string, header http.Header) error {
	_, err := fetch(ctx, http.MethodGet, url, nil, header)
	return err
}

// fetch sends a request on its own connection and returns the body of an answer with status 200.
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
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s %s: status %d: %s", method, url, resp.StatusCode, bytes.TrimSpace(data))
	}
	return data, err
}

// events is the schedule of the load: bookings and reads of both customers.
func (d *demo) events() ([]load.Event, error) {
	classes, err := load.ParseMix("booking:tanglaw:urgent:POST:4,booking:coldroot:normal:POST:1," +
		"readings:coldroot:normal:GET:4,readings:tanglaw:batch:GET:1")
	if err != nil {
		return nil, err
	}
	for i := range classes {
		classes[i].BodyBytes = bodyBytes
		classes[i].DeadlineMs = deadlineMs
	}
	rate := load.Rate{Seed: d.seed, PerSecond: d.rate, Duration: d.duration, Classes: classes}
	return rate.Generate()
}

// loadWithFaults runs the load in the background, drains a worker and kills a daemon meanwhile, and checks the results.
func (d *demo) loadWithFaults(ctx context.Context) error {
	events, err := d.events()
	if err != nil {
		return err
	}
	cfg := load.Config{Retries: retries}
	for _, n := range d.daemons {
		cfg.Entries = append(cfg.Entries, n.callers)
	}
	d.say("sending %d requests in %s to %d daemons", len(events), d.duration, len(d.daemons))
	results := make(chan *load.Result, 1)
	go func() {
		// The configuration has entries, so that Run returns no error.
		res, _ := load.Run(ctx, cfg, events)
		results <- res
	}()
	faultErr := d.faults(ctx)
	res := <-results
	if faultErr != nil {
		return faultErr
	}
	return d.check(ctx, res)
}

// faults drains a worker after a fifth of the load and kills a daemon after half of it.
func (d *demo) faults(ctx context.Context) error {
	if !pause(ctx, d.duration/5) {
		return ctx.Err()
	}
	vm, err := d.busiestWorker(ctx)
	if err != nil {
		return err
	}
	d.drained = vm
	d.say("draining %s", vm)
	if _, err := d.command(ctx, "drain", "vm", vm); err != nil {
		return err
	}
	d.drainedAt = time.Now()
	if !pause(ctx, d.duration*3/10) {
		return ctx.Err()
	}
	victim := d.daemonProcs[killedDaemon]
	if d.fault == faultPause {
		return d.pauseDaemon(ctx, victim)
	}
	d.say("killing %s with SIGKILL", victim.name)
	victim.kill()
	if !pause(ctx, goneDelay) {
		return ctx.Err()
	}
	d.say("removing %s from the VM list", victim.name)
	return d.unlist(ctx, victim.name)
}

// Faults of a daemon during the load.
const (
	faultKill  = "kill"
	faultPause = "pause"
	// pauseTime is longer than all timeouts between nodes and than the requests' deadlines, so that the daemon wakes up to
	// requests whose callers have repeated them elsewhere.
	pauseTime = 6 * time.Second
)

// pauseDaemon stops a daemon with SIGSTOP and lets it go on later. The platform goes on listing its VM.
func (d *demo) pauseDaemon(ctx context.Context, victim *proc) error {
	d.say("pausing %s with SIGSTOP for %s", victim.name, pauseTime)
	if err := victim.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	pause(ctx, pauseTime)
	d.say("continuing %s", victim.name)
	return victim.cmd.Process.Signal(syscall.SIGCONT)
}

// unlist removes a VM from the platform's VM list and keeps the other entries as they are.
func (d *demo) unlist(ctx context.Context, name string) error {
	url := "http://" + d.platform + "/standin/vms"
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

// check prints the table and returns an error when a promise was broken.
func (d *demo) check(ctx context.Context, res *load.Result) error {
	ctx, cancel := context.WithTimeout(ctx, settleLimit)
	defer cancel()
	runs, err := load.FetchRuns(ctx, d.backendOrder)
	if err != nil {
		return errors.Wrap(err, "the check could not be made")
	}
	report := load.Check(res, runs)
	if err := report.WriteTable(os.Stdout); err != nil {
		return err
	}
	if err := d.checkDrain(ctx); err != nil {
		return err
	}
	if report.Broken() {
		return errors.New("a promise was broken: see the table")
	}
	// A demo in which nearly everything is refused keeps all promises but shows nothing.
	if t := report.Totals; t.Answered*2 < t.Sent {
		return fmt.Errorf("only %d of %d requests were answered", t.Answered, t.Sent)
	}
	return nil
}

// busiestWorker returns the booking worker with the most runs so far. Nodes keep using the workers whose slots they hold,
// so that another one may have had no work yet, and its drain would show nothing.
func (d *demo) busiestWorker(ctx context.Context) (string, error) {
	busiest, most := "", -1
	for i := 1; i <= workersPerService; i++ {
		vm := workerName("booking", i)
		runs, err := load.FetchServerRuns(ctx, d.backends[vm])
		if err != nil {
			return "", err
		}
		if runs.Total > most {
			busiest, most = vm, runs.Total
		}
	}
	return busiest, nil
}

// checkDrain checks that the drained worker got work before the drain and none later than drainBound after it.
func (d *demo) checkDrain(ctx context.Context) error {
	vm := d.drained
	runs, err := load.FetchServerRuns(ctx, d.backends[vm])
	if err != nil {
		return err
	}
	if runs.Total == 0 {
		return fmt.Errorf("%s got no work before its drain, so the drain shows nothing", vm)
	}
	after := runs.LastStart.Sub(d.drainedAt)
	if after > drainBound {
		return fmt.Errorf("%s got new work %s after its drain, at most %s is permitted", vm, after, drainBound)
	}
	d.say("%s got its last work %s relative to its drain (at most %s is permitted)",
		vm, after.Round(time.Millisecond), drainBound)
	return nil
}
