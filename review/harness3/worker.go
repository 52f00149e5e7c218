package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxHold is the longest lease that a worker grants (bound maxHoldMs).
	maxHold = 6 * time.Second
	// lastingStartup is the time from the start of a lasting work unit until it is at work.
	lastingStartup = 200 * time.Millisecond
	// firstClockMs is the reading of a worker's clock at its start.
	firstClockMs = 1000
	// listedEnds is the number of ends that a report lists at a time.
	listedEnds = 500
	// pollInterval is the time between checks of a report that waits.
	pollInterval = 5 * time.Millisecond
)

// unitRun is a run of a work unit as a worker has seen it. The worker's lock guards it.
type unitRun struct {
	worker    string
	task      string
	spec      string
	number    int
	fence     int64
	startedAt time.Time
	endedAt   time.Time // zero while it runs
	how       string
	notedAt   time.Time // when the end was taken note of; zero before
	duration  time.Duration
	lasting   bool
}

// behavior says how long the work units of a job run, from the name and the specification of the unit.
type behavior func(task, spec string) (duration time.Duration, lasting bool)

// worker is one life of a worker. It does what the pages say of workers with admissionCheck false.
type worker struct {
	id, pool, host, addr string
	labels               []string
	record               *record
	behavior             behavior
	server               *http.Server
	bornAt               time.Time

	mu      sync.Mutex
	gone    bool
	fence   int64
	leaseMs int64 // end of the lease on the worker's clock
	running map[string]*unitRun
	ended   []numberedEnd
	lastEnd int64
	highest map[string]int // by task, greatest run that was stopped or ended here
	runs    []*unitRun
	// cutFrom is the fence number from which on senders have no path to the worker; 0 if all have.
	cutFrom int64
}

type numberedEnd struct {
	number int64
	run    *unitRun
}

func newWorker(id, pool, host string, labels []string, r *record, b behavior) (*worker, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "worker")
	}
	w := &worker{
		id: id, pool: pool, host: host, addr: l.Addr().String(), labels: labels, record: r, behavior: b, bornAt: time.Now(),
		running: make(map[string]*unitRun), highest: make(map[string]int),
	}
	const headerTimeout = 5 * time.Second
	w.server = &http.Server{Handler: w, ReadHeaderTimeout: headerTimeout}
	go func() { _ = w.server.Serve(l) }()
	return w, nil
}

// entry returns the value of the worker's entry in the store.
func (w *worker) entry(seq int) []byte {
	b, _ := json.Marshal(map[string]any{
		"backend": w.pool, "address": w.addr, "zone": "z", "version": "v1", "slots": 8, "state": "ready", "warmupLeftMs": 0, "seq": seq,
		"born": w.bornAt.UnixMilli(), "capacity": map[string]any{"cpu": 64000, "memMb": 262144, "gpu": 0}, "labels": w.labels,
	})
	return b
}

// leave ends the worker's life: everything that runs on it ends at once.
func (w *worker) leave(why string) {
	w.mu.Lock()
	w.settle()
	w.gone = true
	for _, r := range w.running {
		r.endedAt, r.how = time.Now(), why
		w.record.add("worker %s: %s run %d ended by %s", w.id, r.task, r.number, why)
	}
	w.running = make(map[string]*unitRun)
	w.mu.Unlock()
	_ = w.server.Close()
}

// cut takes the path to the worker away from the senders with a fence number from fence on; 0 gives it back.
func (w *worker) cut(fence int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cutFrom = fence
}

func (w *worker) highestFence() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fence
}

// hasLeft reports whether the worker's life has ended.
func (w *worker) hasLeft() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.gone
}

// load returns the number of work units that run.
func (w *worker) load() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.running)
}

// copyRuns returns copies of all runs.
func (w *worker) copyRuns() []unitRun {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.settle()
	out := make([]unitRun, len(w.runs))
	for i, r := range w.runs {
		out[i] = *r
	}
	return out
}

func (w *worker) clockMs() int64 { return firstClockMs + time.Since(w.bornAt).Milliseconds() }

// settle ends the runs that are done, and all when the lease has expired. The caller holds w.mu.
func (w *worker) settle() {
	lapsed := w.bornAt.Add(time.Duration(w.leaseMs-firstClockMs) * time.Millisecond)
	for _, r := range w.running {
		doneAt := r.startedAt.Add(r.duration)
		switch {
		case lapsed.Before(time.Now()) && (r.lasting || lapsed.Before(doneAt)):
			w.end(r, "lapsed", lapsed)
		case !r.lasting && doneAt.Before(time.Now()):
			w.end(r, "done", doneAt)
		}
	}
}

// end ends a run. The caller holds w.mu.
func (w *worker) end(r *unitRun, how string, at time.Time) {
	r.endedAt, r.how = at, how
	delete(w.running, r.task)
	w.highest[r.task] = max(w.highest[r.task], r.number)
	w.lastEnd++
	w.ended = append(w.ended, numberedEnd{w.lastEnd, r})
	w.record.add("worker %s: %s run %d %s at %.3f", w.id, r.task, r.number, how, w.record.seconds(at))
}

type workerCall struct {
	Task         string `json:"task"`
	Run          int    `json:"run"`
	Spec         string `json:"spec"`
	ExpiresMs    int64  `json:"expiresMs"`
	FencingToken int64  `json:"fencingToken"`
	SeenUpto     int64  `json:"seenUpto"`
	WaitMs       int64  `json:"waitMs"`
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var c workerCall
	if json.NewDecoder(r.Body).Decode(&c) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if expected := r.Header.Get("X-Expected-Instance"); expected != "" && expected != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.mu.Lock()
	if w.gone || (w.cutFrom > 0 && c.FencingToken >= w.cutFrom) {
		// The call is lost on its way.
		w.mu.Unlock()
		<-r.Context().Done()
		return
	}
	defer w.mu.Unlock()
	w.settle()
	if c.FencingToken < w.fence {
		w.reply(rw, http.StatusConflict, map[string]any{"reason": "fence"})
		return
	}
	w.fence = c.FencingToken
	if strings.HasSuffix(r.URL.Path, "/run-start") && c.ExpiresMs < w.clockMs() {
		w.reply(rw, http.StatusConflict, map[string]any{"reason": "late"})
		return
	}
	w.leaseMs = max(w.leaseMs, min(c.ExpiresMs, w.clockMs()+maxHold.Milliseconds()))
	switch {
	case strings.HasSuffix(r.URL.Path, "/run-start"):
		w.start(rw, c)
	case strings.HasSuffix(r.URL.Path, "/run-stop"):
		w.stop(c)
		w.reply(rw, http.StatusOK, map[string]any{})
	case strings.HasSuffix(r.URL.Path, "/hold"):
		w.hold(rw, r, c)
	default:
		w.reply(rw, http.StatusOK, map[string]any{})
	}
}

func (w *worker) reply(rw http.ResponseWriter, status int, body map[string]any) {
	body["clockMs"] = w.clockMs()
	body["born"] = w.bornAt.UnixMilli()
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body)
}

func (w *worker) start(rw http.ResponseWriter, c workerCall) {
	r := w.running[c.Task]
	if (r != nil && r.number != c.Run) || (r == nil && c.Run <= w.highest[c.Task]) {
		w.reply(rw, http.StatusConflict, map[string]any{"reason": "old"})
		return
	}
	if r == nil {
		r = &unitRun{worker: w.id, task: c.Task, spec: c.Spec, number: c.Run, fence: c.FencingToken, startedAt: time.Now()}
		r.duration, r.lasting = w.behavior(c.Task, c.Spec)
		w.running[c.Task] = r
		w.runs = append(w.runs, r)
		w.record.add("worker %s: %s run %d started, fence %d", w.id, c.Task, c.Run, c.FencingToken)
	}
	w.reply(rw, http.StatusOK, map[string]any{})
}

func (w *worker) stop(c workerCall) {
	w.highest[c.Task] = max(w.highest[c.Task], c.Run)
	if r := w.running[c.Task]; r != nil && r.number <= c.Run {
		w.end(r, "stopped", time.Now())
	}
}

// hold takes note of ends, waits for an end if asked to, and reports.
func (w *worker) hold(rw http.ResponseWriter, r *http.Request, c workerCall) {
	for len(w.ended) > 0 && w.ended[0].number <= c.SeenUpto {
		w.ended[0].run.notedAt = time.Now()
		w.ended = w.ended[1:]
	}
	until := time.Now().Add(time.Duration(c.WaitMs) * time.Millisecond)
	for len(w.ended) == 0 && !w.gone && time.Now().Before(until) && r.Context().Err() == nil {
		w.mu.Unlock()
		time.Sleep(pollInterval)
		w.mu.Lock()
		w.settle()
	}
	if w.gone || (w.cutFrom > 0 && c.FencingToken >= w.cutFrom) {
		w.mu.Unlock()
		<-r.Context().Done()
		w.mu.Lock()
		return
	}
	running, finished := [][]any{}, [][]any{}
	for _, u := range w.running {
		percent := 100
		if u.lasting && time.Since(u.startedAt) < lastingStartup {
			percent = 0
		}
		running = append(running, []any{u.task, u.number, w.saved(u), percent, 0})
	}
	for _, e := range w.ended[:min(len(w.ended), listedEnds)] {
		finished = append(finished, []any{e.number, e.run.task, e.run.number, e.run.how, w.saved(e.run)})
	}
	w.reply(rw, http.StatusOK, map[string]any{"running": running, "finished": finished})
}

// savingSpec is the specification of jobs that save their progress.
const savingSpec = "saving"

// saved returns the saved value of a run. One that is done has none.
func (w *worker) saved(u *unitRun) string {
	if u.spec != savingSpec || u.how == "done" {
		return ""
	}
	return u.task + strings.Repeat("0", savedBytes-len(u.task))
}

// judgeTwice returns the violations of the rule TWICE among the runs of the workers.
func judgeTwice(r *record, workers []*worker) []string {
	byTask := make(map[string][]unitRun)
	for _, w := range workers {
		for _, u := range w.copyRuns() {
			byTask[u.task] = append(byTask[u.task], u)
		}
	}
	var out []string
	for _, runs := range byTask {
		for i := range runs {
			for k := range runs {
				if i != k {
					out = append(out, conflict(r, &runs[i], &runs[k])...)
				}
			}
		}
	}
	return out
}

// minOverlap is the shortest time of two simultaneous runs that counts.
const minOverlap = 20 * time.Millisecond

// conflict returns what is wrong with a run beside an earlier one of the same work unit.
func conflict(r *record, earlier, later *unitRun) []string {
	if !earlier.startedAt.Before(later.startedAt) {
		return nil
	}
	if earlier.how == "done" && !earlier.notedAt.IsZero() && later.startedAt.After(earlier.endedAt) {
		return []string{fmt.Sprintf("%s: run %d on %s started at %.3f, after run %d on %s had ended done at %.3f, taken note of at %.3f",
			later.task, later.number, later.worker, r.seconds(later.startedAt), earlier.number, earlier.worker,
			r.seconds(earlier.endedAt), r.seconds(earlier.notedAt))}
	}
	end := earlier.endedAt
	if end.IsZero() {
		end = time.Now()
	}
	if !later.endedAt.IsZero() && later.endedAt.Before(end) {
		end = later.endedAt
	}
	if both := end.Sub(later.startedAt); both >= minOverlap {
		return []string{fmt.Sprintf("%s: run %d on %s (fence %d) and run %d on %s (fence %d) at the same time for %.3f s from %.3f on",
			later.task, earlier.number, earlier.worker, earlier.fence, later.number, later.worker, later.fence, both.Seconds(),
			r.seconds(later.startedAt))}
	}
	return nil
}
