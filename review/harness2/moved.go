package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// The moved case: a queue moves to another service, a later version changes a timeout, and a client asks for a job of the
// time before the move, whose state the system need not know any more.
const (
	oldService   = "huvo11a"
	newService   = "lovo22d"
	otherPrefix  = "/tije37/"
	configTime   = 2 * time.Second  // configMs
	movedStatusS = 60 * time.Second // status_s of this deployment
)

// movedConfig returns a version of the configuration in which a service runs the plain queue.
func movedConfig(version int, service string, timeoutMs int) string {
	route := func(name, prefix, backend string) string {
		return fmt.Sprintf(`{"name":%q,"host":%q,"pathPrefix":%q,"type":"non_idempotent","timeoutMs":%d,"sloMs":600,"priority":0,"backend":%q,"attempts":2,"slackFactor":1.6}`,
			name, queueHost, prefix, timeoutMs, backend)
	}
	return fmt.Sprintf(`{"version":%d,"routes":[%s,%s],"services":[{"name":%q},{"name":%q}],"limits":{"maxBodyBytes":262144}}`,
		version, route("r-plain", plainPrefix, service), route("r-other", otherPrefix, oldService), oldService, newService)
}

func movedCase() (options, scenario) {
	return options{
		nodes: 3, cpu: 64000, statusS: movedStatusS,
		pools:  []poolOptions{{name: oldService, workers: 4}, {name: newService, workers: 4}},
		config: movedConfig(7, oldService, 3000),
	}, playMoved
}

func (f *fleet) publish(config string) {
	f.store.Put("keyed.op", "config", []byte(config))
	f.rec.line("operator: the store acknowledged %s", config)
}

func playMoved(f *fleet, trouble bool) ([]string, error) {
	short := step{Count: 2, CPU: 3500, MemMB: 7200, EstimateMs: 200}
	early := newID()
	if !f.submit(f.anyNode(), plainPrefix, early, "ms=200", short) {
		return nil, fmt.Errorf("the first job was not accepted")
	}
	time.Sleep(2 * time.Second)
	service := oldService
	if trouble {
		service = newService
		f.publish(movedConfig(8, newService, 3000))
		time.Sleep(5 * time.Second)
		f.publish(movedConfig(9, newService, 2900))
	}
	acknowledged := time.Now()
	expected := make(map[string]time.Time) // jobs by the time at which they were sent
	for end := time.Now().Add(85 * time.Second); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		id, sent := newID(), time.Now()
		if f.submit(f.anyNode(), plainPrefix, id, "ms=200", short) && time.Since(acknowledged) > configTime {
			expected[id] = sent
		}
		if status, _ := f.call(f.anyNode(), http.MethodGet, plainPrefix+early, nil); status == http.StatusGone {
			f.rec.line("the early job is no longer known")
		}
	}
	time.Sleep(3 * time.Second)
	return f.runsElsewhere(expected, service, acknowledged), nil
}

// runsElsewhere returns the runs of jobs on workers of another service than the one to which the queue is routed.
func (f *fleet) runsElsewhere(jobs map[string]time.Time, service string, acknowledged time.Time) []string {
	pools := make(map[string]string)
	for _, w := range f.workers {
		pools[w.id] = w.pool
	}
	var out []string
	for _, r := range f.allRuns() {
		sent, ok := jobs[r.job()]
		if ok && pools[r.worker] != service && strings.HasSuffix(r.task, ".0") {
			out = append(out, fmt.Sprintf("CONFIG: job %s was sent %v after the acknowledgement of the version that routes its queue to %s, and run %d of %s was run by %s of %s",
				r.job(), sent.Sub(acknowledged).Round(time.Millisecond), service, r.run, r.task, r.worker, pools[r.worker]))
		}
	}
	return out
}
