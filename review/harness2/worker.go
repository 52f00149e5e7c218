package main

import (
	"cmp"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// maxHold is the longest lease that a worker grants.
	maxHold = 6 * time.Second
	// startupTime is how long a lasting task needs until it is at work.
	startupTime = 200 * time.Millisecond
	// defaultRunTime is the run time of a task whose spec names none.
	defaultRunTime = time.Second
	// pollInterval is how often a waiting hold looks for an end.
	pollInterval = 5 * time.Millisecond
)

type capacity struct {
	CPU   int64 `json:"cpu"`
	MemMB int64 `json:"memMb"`
	GPU   int64 `json:"gpu"`
}

// taskRun is a run of a task on a worker. The worker's kind is that at the run's start.
type taskRun struct {
	task, spec, worker, kind string
	run                      int
	startedAt, endedAt       time.Time
	outcome                  string
	fails                    bool // the worker fails it
}

func (r *taskRun) job() string { return r.task[:strings.IndexByte(r.task, '.')] }

type finishedRun struct {
	seq int
	run *taskRun
}

// worker is a stand-in for a worker. A spec that begins with "lasting" runs until it is stopped; "ms=N" runs for N ms.
// It does not guard its capacity.
type worker struct {
	fleet    *fleet
	id       string
	pool     string
	rack     string
	capacity capacity

	mu       sync.Mutex
	addr     string
	kind     string
	up       bool
	born     time.Time
	beats    int
	fence    int64
	expiry   time.Time // of the lease
	running  map[string]*taskRun
	finished []finishedRun
	lastSeq  int
	highest  map[string]int // by task; greatest run number that was stopped or has ended
	runs     []*taskRun
	server   *http.Server
	failing  bool // the worker fails all that it starts
}

// setFailing sets whether the worker fails all that it starts.
func (w *worker) setFailing(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failing = on
}

// start begins a life of the worker, at its earlier address if it had one. The store has its entry before the worker
// listens.
func (w *worker) start(kind string) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	l, err := net.Listen("tcp", cmp.Or(w.addr, "127.0.0.1:0"))
	if err != nil {
		return err
	}
	w.addr, w.kind, w.up, w.born = l.Addr().String(), kind, true, time.Now()
	w.fence, w.expiry, w.finished, w.lastSeq, w.beats = 0, time.Time{}, nil, 0, 0
	w.running, w.highest = make(map[string]*taskRun), make(map[string]int)
	time.Sleep(storeLatency)
	w.fleet.store.Put("keyed.servers", w.id, w.entry())
	w.fleet.rec.line("worker %s of pool %s is registered at %s, kind %s, born %d", w.id, w.pool, w.addr, kind, w.born.UnixMilli())
	w.server = &http.Server{Handler: w, ReadHeaderTimeout: time.Minute}
	server := w.server
	go func() { _ = server.Serve(l) }()
	go w.sendHeartbeats(w.born)
	return nil
}

// sendHeartbeats writes the worker's entry again at each heartbeat, until this life ends.
func (w *worker) sendHeartbeats(born time.Time) {
	for {
		time.Sleep(heartbeatInterval)
		w.mu.Lock()
		alive := w.up && w.born.Equal(born)
		w.beats++
		entry := w.entry()
		w.mu.Unlock()
		if !alive {
			return
		}
		w.fleet.store.Put("keyed.servers", w.id, entry)
	}
}

func (w *worker) entry() []byte {
	b, _ := json.Marshal(map[string]any{
		"backend": w.pool, "address": w.addr, "zone": "zone-a", "version": "v1", "slots": 8, "state": "ready", "warmupLeftMs": 0,
		"capacity": w.capacity, "labels": []string{w.kind, w.rack}, "seq": w.beats, "born": w.born.UnixMilli(), "clockMs": w.clockMs(),
	})
	return b
}

// unregister removes the worker's entry.
func (w *worker) unregister() { w.fleet.store.Put("keyed.servers", w.id, nil) }

// crash ends this life of the worker and everything that runs on it.
func (w *worker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up {
		return
	}
	w.endDueRuns()
	for _, r := range w.running {
		r.endedAt, r.outcome = time.Now(), "crashed"
	}
	w.running, w.up = make(map[string]*taskRun), false
	w.fleet.rec.line("worker %s crashes", w.id)
	_ = w.server.Close()
}

// crashFor crashes the worker and starts it again under its id after d, as a worker of a kind.
func (w *worker) crashFor(d time.Duration, kind string) error {
	w.crash()
	time.Sleep(d)
	return w.start(kind)
}

// firstClockMs is the reading of a worker's clock at its start.
const firstClockMs = 1000

func (w *worker) clockMs() int64 { return time.Since(w.born).Milliseconds() + firstClockMs }

func (w *worker) currentKind() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.kind
}

func (w *worker) copyRuns() []taskRun {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.up {
		w.endDueRuns()
	}
	out := make([]taskRun, len(w.runs))
	for i, r := range w.runs {
		out[i] = *r
	}
	return out
}

// runTime returns how long a task of a spec runs, or 0 if it lasts.
func runTime(spec string) time.Duration {
	if strings.HasPrefix(spec, "lasting") {
		return 0
	}
	if ms, err := strconv.Atoi(strings.TrimPrefix(spec, "ms=")); err == nil {
		return time.Duration(ms) * time.Millisecond
	}
	return defaultRunTime
}

// endDueRuns ends the runs that are done or whose lease has expired.
func (w *worker) endDueRuns() {
	now := time.Now()
	for _, r := range w.running {
		d := runTime(r.spec)
		due := r.startedAt.Add(d)
		if r.fails && r.startedAt.Add(failTime).Before(now) {
			w.end(r, "failed", r.startedAt.Add(failTime))
			continue
		}
		switch {
		case w.expiry.Before(now) && (d == 0 || w.expiry.Before(due)):
			w.end(r, "lapsed", w.expiry)
		case d > 0 && due.Before(now):
			w.end(r, "done", due)
		}
	}
}

func (w *worker) end(r *taskRun, outcome string, at time.Time) {
	r.endedAt, r.outcome = at, outcome
	delete(w.running, r.task)
	w.highest[r.task] = max(w.highest[r.task], r.run)
	w.lastSeq++
	w.finished = append(w.finished, finishedRun{seq: w.lastSeq, run: r})
	w.fleet.rec.line("worker %s: run %d of %s ends: %s", w.id, r.run, r.task, outcome)
}

type order struct {
	Task         string `json:"task"`
	Run          int    `json:"run"`
	Spec         string `json:"spec"`
	Ticket       string `json:"ticket"`
	ExpiresMs    int64  `json:"expiresMs"`
	FencingToken int64  `json:"fencingToken"`
	SeenUpto     int    `json:"seenUpto"`
	WaitMs       int    `json:"waitMs"`
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.Header.Get("X-Expected-Instance") != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up {
		panic(http.ErrAbortHandler)
	}
	w.endDueRuns()
	if o.FencingToken < w.fence {
		w.refuse(rw, "fence")
		return
	}
	w.fence = o.FencingToken
	if r.URL.Path == "/berylwharf/run-start" && o.ExpiresMs < w.clockMs() {
		w.refuse(rw, "late")
		return
	}
	w.extend(o.ExpiresMs)
	switch r.URL.Path {
	case "/berylwharf/run-start":
		w.startRun(rw, o)
	case "/berylwharf/run-stop":
		w.stopRun(rw, o)
	case "/berylwharf/hold":
		w.hold(rw, r, o)
	default:
		w.confirm(rw)
	}
}

func (w *worker) confirm(rw http.ResponseWriter) {
	writeJSON(rw, http.StatusOK, map[string]any{"clockMs": w.clockMs()})
}

func (w *worker) refuse(rw http.ResponseWriter, reason string) {
	writeJSON(rw, http.StatusConflict, map[string]any{"clockMs": w.clockMs(), "reason": reason})
}

// extend extends the lease; a longer one than maxHold is shortened.
func (w *worker) extend(expiresMs int64) {
	expiry := w.born.Add(time.Duration(expiresMs-firstClockMs) * time.Millisecond)
	if latest := time.Now().Add(maxHold); expiry.After(latest) {
		expiry = latest
	}
	if expiry.After(w.expiry) {
		w.expiry = expiry
	}
}

func (w *worker) startRun(rw http.ResponseWriter, o order) {
	if r := w.running[o.Task]; r != nil && r.run == o.Run {
		w.confirm(rw)
		return
	} else if r != nil || o.Run <= w.highest[o.Task] {
		w.refuse(rw, "old")
		return
	}
	r := &taskRun{task: o.Task, spec: o.Spec, worker: w.id, kind: w.kind, run: o.Run, startedAt: time.Now(), fails: w.failing}
	w.running[o.Task] = r
	w.runs = append(w.runs, r)
	w.fleet.rec.line("worker %s (kind %s): run %d of %s starts, token %d, spec %q", w.id, w.kind, o.Run, o.Task, o.FencingToken, o.Spec)
	w.confirm(rw)
}

func (w *worker) stopRun(rw http.ResponseWriter, o order) {
	w.highest[o.Task] = max(w.highest[o.Task], o.Run)
	if r := w.running[o.Task]; r != nil && r.run <= o.Run {
		w.end(r, "stopped", time.Now())
	}
	w.confirm(rw)
}

// hold answers when an end is listed or the requested wait is over.
func (w *worker) hold(rw http.ResponseWriter, r *http.Request, o order) {
	born, deadline := w.born, time.Now().Add(time.Duration(o.WaitMs)*time.Millisecond)
	for len(w.finished) > 0 && w.finished[0].seq <= o.SeenUpto {
		w.finished = w.finished[1:]
	}
	for len(w.finished) == 0 && time.Now().Before(deadline) && r.Context().Err() == nil {
		w.mu.Unlock()
		time.Sleep(pollInterval)
		w.mu.Lock()
		if !w.up || !w.born.Equal(born) {
			panic(http.ErrAbortHandler)
		}
		w.endDueRuns()
	}
	running, finished := [][]any{}, [][]any{}
	for _, r := range w.running {
		percent := 100
		if runTime(r.spec) == 0 && time.Since(r.startedAt) < startupTime {
			percent = 0
		}
		running = append(running, []any{r.task, r.run, "", percent, 0})
	}
	for _, e := range w.finished[:min(len(w.finished), 500)] {
		finished = append(finished, []any{e.seq, e.run.task, e.run.run, e.run.outcome, ""})
	}
	writeJSON(rw, http.StatusOK, map[string]any{
		"clockMs": w.clockMs(), "born": w.born.UnixMilli(), "running": running, "finished": finished,
	})
}
