package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	// strongNodes and weakNodes are the numbers of nodes with strongShare and weakShare of a core.
	strongNodes = 2
	weakNodes   = 4
	strongShare = 0.8
	weakShare   = 0.192
	// keptJobs is the number of jobs that are accepted before the strong nodes are lost.
	keptJobs = 20
	// unitsOfKept is the number of work units of each of them.
	unitsOfKept = 8
	// judgedIdle is the time for which nothing may run while work units could.
	judgedIdle = 3 * time.Second
	// lossTime is how long after the loss the jobs are asked for (finish_s is 14, recoverS 15 on the grown sites).
	lossTime = 45 * time.Second
)

// playStrongLost loses all strong nodes for good. The others stay and are not disturbed.
func playStrongLost(w *world, trouble bool) (*verdict, error) {
	if err := addWorkers(w, 6, func(string, string) (time.Duration, bool) { return 2 * time.Second, false }); err != nil {
		return nil, err
	}
	w.configure([]route{{"bookings", pool}}, map[string]bool{pool: false})
	shares := make([]float64, 0, strongNodes+weakNodes)
	for i := range strongNodes + weakNodes {
		share := strongShare
		if i >= strongNodes {
			share = weakShare
		}
		shares = append(shares, share)
	}
	if err := w.startNodesWith(shares); err != nil {
		return nil, err
	}
	ids := make([]string, keptJobs)
	for i := range ids {
		ids[i] = w.newJobID()
	}
	body := jobBody{Spec: "booking", Steps: []step{
		{Count: unitsOfKept / 2, CPU: 1000, MemMB: 256, EstimateMs: 2000}, {Count: unitsOfKept / 2, CPU: 1000, MemMB: 256, EstimateMs: 2000, DependsOn: []int{0}},
	}}
	err := concurrently(len(ids), func(i int) error { return w.callUntil(http.MethodPost, "bookings", ids[i], body) })
	if err != nil {
		return nil, err
	}
	if trouble {
		for _, n := range w.nodes[:strongNodes] {
			w.record.add("%s is lost for good", n.name)
			n.kill()
		}
		w.nodes = w.nodes[strongNodes:]
	}
	time.Sleep(lossTime)
	return w.judgeKept(ids)
}

// unitsLeft returns how many of the given number of work units are not done, and for how long nothing has run.
func (w *world) unitsLeft(units int) (left int, idle time.Duration) {
	done := make(map[string]bool)
	var last time.Time
	for _, k := range w.allWorkers() {
		for _, u := range k.copyRuns() {
			end := u.endedAt
			if end.IsZero() {
				end = time.Now()
			}
			if end.After(last) {
				last = end
			}
			if u.how == "done" {
				done[u.task] = true
			}
		}
	}
	return units - len(done), time.Since(last)
}

// judgeKept asks for the states of accepted jobs, which have ended long ago unless nobody takes care of them.
func (w *world) judgeKept(ids []string) (*verdict, error) {
	v := &verdict{}
	answered := 0
	for i, id := range ids {
		status, answer := w.call(w.nodes[i%len(w.nodes)], http.MethodGet, "bookings", id, nil)
		if status == http.StatusOK && strings.Contains(string(answer), "completed") {
			answered++
			continue
		}
		v.violations = append(v.violations, fmt.Sprintf("GET of the accepted job %s at %s: %d %.60s", id, w.nodes[i%len(w.nodes)].name, status, answer))
	}
	v.summary = fmt.Sprintf("%d of %d accepted jobs are shown as completed", answered, len(ids))
	if left, idle := w.unitsLeft(len(ids) * unitsOfKept); left > 0 && idle > judgedIdle {
		v.violations = append(v.violations, fmt.Sprintf("%d work units are not done, and nothing has run for %.1f s on %d workers", left, idle.Seconds(), len(w.allWorkers())))
	}
	if len(w.nodes) == 0 {
		return nil, errors.New("no node is left")
	}
	return v, nil
}
