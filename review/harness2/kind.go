package main

import (
	"fmt"
	"time"
)

// The kind case: a worker crashes and starts again under its id as a worker of another kind.
const labelledPool = "huvo11a"

func kindCase() (options, scenario) {
	return options{
		nodes: 3, cpu: 64000,
		pools: []poolOptions{{name: labelledPool, workers: 9}},
		config: fmt.Sprintf(`{"version":7,"routes":[{"name":"r-plain","host":%q,"pathPrefix":%q,"type":"non_idempotent","timeoutMs":3000,"sloMs":20000,"priority":0,"backend":%q,"attempts":2,"slackFactor":1.6}],"services":[{"name":%q}],"limits":{"maxBodyBytes":262144}}`,
			queueHost, plainPrefix, labelledPool, labelledPool),
	}, playKind
}

func playKind(f *fleet, trouble bool) ([]string, error) {
	end := time.Now().Add(70 * time.Second)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for time.Now().Before(end) {
			f.submit(f.anyNode(), plainPrefix, newID(), "ms=1000", step{Count: 6, CPU: 23000, MemMB: 7200, EstimateMs: 1000, RequiredLabel: "a"})
			time.Sleep(250 * time.Millisecond)
		}
	}()
	workers := f.activeWorkers()
	time.Sleep(3 * time.Second)
	for i := 0; time.Now().Before(end.Add(-8 * time.Second)); i++ {
		w := workers[i%4]
		kind := "a"
		if trouble && w.currentKind() == "a" {
			kind = "b"
		}
		if err := w.crashFor(3*time.Second, kind); err != nil {
			return nil, err
		}
		time.Sleep(2 * time.Second)
	}
	<-done
	var out []string
	for _, r := range f.allRuns() {
		if r.kind != "a" {
			out = append(out, fmt.Sprintf("ROUTE: run %d of %s, which requires the label a, started on worker %s of kind %s at %s",
				r.run, r.task, r.worker, r.kind, r.startedAt.Format(recordLayout)))
		}
	}
	return out, nil
}
