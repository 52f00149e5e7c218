package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// The advice case: jobs that can never be done come on a queue with a recommendation. No worker is eligible for them.
const (
	advisedPrefix = "/kafi706/"
	plainPrefix   = "/puxa400/"
	// finishTime is finish_s: the time after the end of the traffic from which a job must not lack a run.
	finishTime = 14 * time.Second
	// idleTime is how long a job may have nothing running then.
	idleTime = 3 * time.Second
	// hopelessPhase is the first part of a hopeless job's id.
	hopelessPrefix = "dead"
)

func adviceCase() (options, scenario) {
	route := func(name, prefix, extra string) string {
		return fmt.Sprintf(`{"name":%q,"host":%q,"pathPrefix":%q,"type":"non_idempotent","timeoutMs":3000,"sloMs":600,"priority":0,"backend":"huvo11a","attempts":2,"slackFactor":1.6%s}`,
			name, queueHost, prefix, extra)
	}
	return options{
		nodes: 3, cpu: 64000,
		pools: []poolOptions{{name: "huvo11a", workers: 9}, {name: "spare1a", workers: 8, standby: true}},
		config: `{"version":7,"routes":[` + route("r-advised", advisedPrefix, `,"recommendation":{"decideMs":20,"periodMs":1,"validMs":3000}`) +
			"," + route("r-plain", plainPrefix, "") + `],"services":[{"name":"huvo11a"},{"name":"spare1a","standby":true}],"limits":{"maxBodyBytes":262144}}`,
		eligible: func(step, _ string) bool { return !strings.HasPrefix(step, hopelessPrefix) },
	}, playAdvice
}

func playAdvice(f *fleet, trouble bool) ([]string, error) {
	if trouble {
		for range 2 {
			f.submit(f.anyNode(), advisedPrefix, hopelessPrefix+newID()[4:], "ms=1000", step{Count: 24, CPU: 3500, MemMB: 7200, EstimateMs: 1000})
		}
	}
	accepted := make(map[string]bool)
	traffic := time.Now().Add(45 * time.Second)
	for time.Now().Before(traffic) {
		for _, prefix := range []string{plainPrefix, advisedPrefix} {
			id := "50" + newID()[2:]
			if f.submit(f.anyNode(), prefix, id, "ms=1000", step{Count: 4, CPU: 3500, MemMB: 7200, EstimateMs: 1000}) {
				accepted[prefix+id] = true
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	f.rec.line("the traffic ends; %d jobs that can be done were accepted", len(accepted))
	time.Sleep(finishTime + idleTime)
	return f.idleJobs(accepted), nil
}

// idleJobs returns the accepted jobs that have not ended and of which nothing has run for idleTime, while under half of
// the pool's capacity is in use.
func (f *fleet) idleJobs(accepted map[string]bool) []string {
	begin := time.Now().Add(-idleTime)
	runs := f.allRuns()
	active := make(map[string]bool)
	recent := 0
	for _, r := range runs {
		if r.endedAt.IsZero() || r.endedAt.After(begin) {
			active[r.job()] = true
			recent++
		}
	}
	f.rec.line("%d runs in the last %v on %d workers", recent, idleTime, len(f.activeWorkers()))
	var out []string
	for path := range accepted {
		status, body := f.call(f.anyNode(), http.MethodGet, path, nil)
		id := path[strings.LastIndexByte(path, '/')+1:]
		ended := strings.Contains(body, "completed") || strings.Contains(body, "failed")
		if status == http.StatusOK && ended {
			continue
		}
		if !active[id] && recent*3500 < 64000*len(f.activeWorkers())/2 {
			out = append(out, fmt.Sprintf("LOST: job %s was accepted and has nothing running for %v, %v after the end of the traffic; state: %d %s", path, idleTime, finishTime, status, body))
		}
	}
	return out
}
