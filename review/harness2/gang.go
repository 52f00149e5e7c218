package main

import (
	"fmt"
	"strings"
	"time"
)

// The gang case: a worker fails all that it starts, and a gang is started there once.
const (
	gangSize     = 6
	gangAttempts = 2
	// failTime is how long a run lasts on a worker that fails all that it starts.
	failTime = 100 * time.Millisecond
)

func gangCase() (options, scenario) {
	o, _ := kindCase()
	return o, playGang
}

func playGang(f *fleet, trouble bool) ([]string, error) {
	time.Sleep(2 * time.Second)
	if trouble {
		f.activeWorkers()[0].setFailing(true)
	}
	var ids []string
	for range 4 {
		id := newID()
		if f.submit(f.anyNode(), plainPrefix, id, "ms=400", step{Count: gangSize, CPU: 3500, MemMB: 7200, EstimateMs: 400, Gang: true}) {
			ids = append(ids, id)
		}
		time.Sleep(1500 * time.Millisecond)
	}
	f.activeWorkers()[0].setFailing(false)
	time.Sleep(8 * time.Second)
	var out []string
	for _, id := range ids {
		_, body := f.call(f.anyNode(), "GET", plainPrefix+id, nil)
		runs := make(map[int]int) // ends "failed" by run
		for _, r := range f.allRuns() {
			if r.job() == id && r.outcome == "failed" {
				runs[r.run]++
			}
		}
		if strings.Contains(body, "failed") && len(runs) < gangAttempts {
			out = append(out, fmt.Sprintf("LOST: job %s is shown as failed, though its gang has failed in %d run only and attempts is %d; ends by run: %v", id, len(runs), gangAttempts, runs))
		}
	}
	return out, nil
}
