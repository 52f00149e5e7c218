package load

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/berylwharf/berylwharf/standin/backend"
	"github.com/berylwharf/berylwharf/verdict"
)

// faultyEntry is an entry node that forwards requests to a backend server and behaves incorrectly as selected by fault.
type faultyEntry struct {
	t       *testing.T
	backend string
	fault   string

	mu           sync.Mutex
	lastResponse []byte
	attempts     int
}

func (e *faultyEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.attempts++
	id := "id-" + r.URL.Query().Get("request")
	w.Header().Set(backend.RequestIDHeader, id)
	if e.fault == "lost" {
		_, _ = w.Write(e.forward(r, body, id, "another-key"))
		return
	}
	if e.attempts > 1 {
		switch e.fault {
		case "retry replayed":
			w.Header().Set(headerReplayed, "true")
			_, _ = w.Write(e.lastResponse)
			return
		case "retry refused as not run":
			refuse(w, verdict.NotRun, id)
			return
		case "retry refused as may-have-run":
			refuse(w, verdict.MayHaveRun, id)
			return
		}
	}
	data := e.forward(r, body, id, r.Header.Get(backend.KeyHeader))
	switch {
	case e.fault == "doubled":
		data = e.forward(r, body, id, r.Header.Get(backend.KeyHeader))
	case e.fault == "swapped" && e.attempts == 2:
		w.Header().Del(backend.RequestIDHeader)
		data = e.lastResponse
	case e.fault == "wrong id":
		w.Header().Set(backend.RequestIDHeader, "id-other")
	case e.fault == "damaged":
		data = data[:len(data)/2]
	case e.fault == "error status":
		w.WriteHeader(http.StatusInternalServerError)
	case e.fault == "error without verdict":
		http.Error(w, "upstream failed", http.StatusBadGateway)
		return
	case e.fault == "refused as not run":
		refuse(w, verdict.NotRun, id)
		return
	case e.fault == "cut":
		w.Header().Set("Content-Length", "9999")
	case e.fault == "slow":
		time.Sleep(150 * time.Millisecond)
	case strings.HasPrefix(e.fault, "retry") && e.attempts == 1:
		e.lastResponse = data
		panic(http.ErrAbortHandler)
	}
	e.lastResponse = data
	_, _ = w.Write(data)
}

func (e *faultyEntry) forward(r *http.Request, body []byte, id, key string) []byte {
	req, _ := http.NewRequest(r.Method, "http://"+e.backend+r.URL.RequestURI(), bytes.NewReader(body))
	req.Header.Set(backend.RequestIDHeader, id)
	if key != "" {
		req.Header.Set(backend.KeyHeader, key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		e.t.Error(err)
		return nil
	}
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body)
	if key == "another-key" {
		// Fabricated response: all fields match the request, but no run was counted under its key.
		data = bytes.ReplaceAll(data, []byte(key), []byte(r.Header.Get(backend.KeyHeader)))
	}
	return data
}

func refuse(w http.ResponseWriter, v verdict.Verdict, id string) {
	verdict.New(v, verdict.ReasonQueueFull, http.StatusServiceUnavailable, "queue full").Write(w, "booking", id)
}

// runThroughFaultyEntry sends the events one after the other through an entry node with the given fault, and checks the
// outcomes.
func runThroughFaultyEntry(t *testing.T, fault string, retries int, events ...Event) (*Report, *Result) {
	t.Helper()
	b, err := backend.Start("127.0.0.1:0", backend.Config{Name: "b"})
	if err != nil {
		t.Fatal(err)
	}
	defer b.Close()
	srv := httptest.NewServer(&faultyEntry{t: t, backend: b.Addr(), fault: fault})
	defer srv.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	cfg := Config{
		Entries: []string{strings.TrimPrefix(srv.URL, "http://")},
		Retries: retries, RetryDelay: time.Millisecond, MaxInFlight: 1,
	}
	res, err := Run(ctx, cfg, events)
	if err != nil {
		t.Fatal(err)
	}
	runs, err := FetchRuns(ctx, []string{b.Addr()})
	if err != nil {
		t.Fatal(err)
	}
	return Check(res, runs), res
}

var (
	booking = Event{Service: "booking", Customer: "tanglaw", Method: "POST", Path: "/book", BodyBytes: 100, DeadlineMs: 5000}
	read    = Event{Service: "readings", Customer: "coldroot", Method: "GET", Path: "/probe", DeadlineMs: 5000}
)

// TestCheckerFindsViolations guards against a checker that misses a violated guarantee, or reports one that was kept.
func TestCheckerFindsViolations(t *testing.T) {
	shortDeadline := booking
	shortDeadline.DeadlineMs = 50
	cases := []struct {
		fault   string
		events  []Event
		retries int
		want    Counts
	}{
		{"", []Event{booking, read}, 0, Counts{Sent: 2, Answered: 2}},
		{"doubled", []Event{booking}, 0, Counts{Sent: 1, Answered: 1, Doubled: 1}},
		{"doubled", []Event{read}, 0, Counts{Sent: 1, Answered: 1}},
		{"lost", []Event{booking}, 0, Counts{Sent: 1, Answered: 1, Lost: 1}},
		{"swapped", []Event{booking, booking}, 0, Counts{Sent: 2, Answered: 1, Wrong: 1, Swapped: 1}},
		{"swapped", []Event{read, read}, 0, Counts{Sent: 2, Answered: 1, Wrong: 1, Swapped: 1}},
		{"wrong id", []Event{read}, 0, Counts{Sent: 1, Wrong: 1, Swapped: 1}},
		{"damaged", []Event{booking}, 0, Counts{Sent: 1, Wrong: 1, Swapped: 1}},
		{"error status", []Event{booking}, 0, Counts{Sent: 1, Failed: 1}},
		{"error without verdict", []Event{booking}, 0, Counts{Sent: 1, Wrong: 1, Swapped: 1}},
		{"refused as not run", []Event{booking}, 0, Counts{Sent: 1, NotRun: 1, FalseNotRun: 1}},
		{"refused as not run", []Event{read}, 0, Counts{Sent: 1, NotRun: 1, FalseNotRun: 1}},
		{"cut", []Event{booking}, 0, Counts{Sent: 1, MayHaveRun: 1, Broken: 1}},
		{"slow", []Event{shortDeadline}, 0, Counts{Sent: 1, Answered: 1, Late: 1}},
		{"retry forwarded", []Event{booking}, 1, Counts{Sent: 1, Answered: 1, Retries: 1, Doubled: 1}},
		{"retry replayed", []Event{booking}, 1, Counts{Sent: 1, Answered: 1, Retries: 1, Replayed: 1}},
		{"retry refused as not run", []Event{booking}, 1, Counts{Sent: 1, NotRun: 1, Retries: 1, FalseNotRun: 1}},
		{"retry refused as may-have-run", []Event{booking}, 1, Counts{Sent: 1, MayHaveRun: 1, Retries: 1}},
	}
	for _, tc := range cases {
		t.Run(tc.fault+" "+tc.events[0].Method, func(t *testing.T) {
			report, res := runThroughFaultyEntry(t, tc.fault, tc.retries, tc.events...)
			if report.Totals != tc.want {
				t.Errorf("got  %+v\nwant %+v\noutcomes %+v", report.Totals, tc.want, res.Outcomes)
			}
			violated := tc.want.Doubled+tc.want.Lost+tc.want.Swapped+tc.want.FalseNotRun > 0
			if report.Violated() != violated || (len(report.Findings) > 0) != violated {
				t.Errorf("Violated() = %v, findings %v", report.Violated(), report.Findings)
			}
		})
	}
}

// TestRefusedAddress guards against a load generator that counts a refused connection as an attempt, and against a
// request that reached no entry node and is reported as may-have-run.
func TestRefusedAddress(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closedAddr := ln.Addr().String()
	ln.Close()
	b, err := backend.Start("127.0.0.1:0", backend.Config{})
	if err != nil {
		t.Fatal(err)
	}
	defer b.Close()
	res, err := Run(context.Background(), Config{Entries: []string{closedAddr, b.Addr()}}, []Event{booking, booking})
	if err != nil {
		t.Fatal(err)
	}
	for _, o := range res.Outcomes {
		if o.Kind != KindAnswered || o.Attempts != 1 {
			t.Errorf("outcome %+v, want answered in one attempt", o)
		}
	}
	res, err = Run(context.Background(), Config{Entries: []string{closedAddr}}, []Event{booking})
	if err != nil {
		t.Fatal(err)
	}
	if report := Check(res, &Runs{}); report.Totals != (Counts{Sent: 1, NotRun: 1}) {
		t.Errorf("no address accepted a connection: totals %+v", report.Totals)
	}
}

// TestUnreachableKeepsEarlierVerdict guards against a retry that reaches no entry node and replaces the result of an
// earlier attempt that may have run. The request would then be counted as not run.
func TestUnreachableKeepsEarlierVerdict(t *testing.T) {
	var o Outcome
	o.add(attemptResult{kind: KindBroken, reason: "cut"})
	o.add(attemptResult{kind: KindUnreachable})
	if o.Kind != KindBroken || o.Attempts != 2 {
		t.Fatalf("outcome %+v", o)
	}
}

// TestFetchRunsNeedsAllServers guards against a check that passes without the counts of a backend server that did not
// respond.
func TestFetchRunsNeedsAllServers(t *testing.T) {
	b, err := backend.Start("127.0.0.1:0", backend.Config{})
	if err != nil {
		t.Fatal(err)
	}
	addr := b.Addr()
	b.Close()
	if _, err := FetchRuns(context.Background(), []string{addr}); err == nil {
		t.Fatal("no error for a stopped backend server")
	}
}

// TestSchedule guards against a schedule that differs between runs with the same seed, and against bursts with the
// wrong rate.
func TestSchedule(t *testing.T) {
	classes, err := ParseMix("booking:tanglaw:urgent:POST:3,readings:coldroot:normal:GET:1")
	if err != nil {
		t.Fatal(err)
	}
	r := Rate{
		Seed: 1, PerSecond: 100, Duration: 100 * time.Second, Classes: classes,
		BurstFactor: 5, QuietFactor: 0.05, BurstEvery: 10 * time.Second, BurstLength: 2 * time.Second,
	}
	events, err := r.Generate()
	if err != nil {
		t.Fatal(err)
	}
	again, _ := r.Generate()
	if !reflect.DeepEqual(events, again) {
		t.Fatal("the same seed gave a different schedule")
	}
	bursts, posts := 0, 0
	for _, e := range events {
		if e.AtMs%10_000 < 2000 {
			bursts++
		}
		if e.Method == "POST" {
			posts++
		}
	}
	if quiet := len(events) - bursts; bursts < 9000 || bursts > 11000 || quiet < 300 || quiet > 500 {
		t.Fatalf("%d requests in bursts and %d between, want about 10000 and 400", bursts, quiet)
	}
	if part := float64(posts) / float64(len(events)); part < 0.7 || part > 0.8 {
		t.Fatalf("%.2f of the requests are bookings, want 0.75", part)
	}
	var trace bytes.Buffer
	if err := WriteTrace(&trace, events); err != nil {
		t.Fatal(err)
	}
	if back, err := ReadTrace(&trace); err != nil || !reflect.DeepEqual(back, events) {
		t.Fatalf("the trace differs after writing and reading it (%v)", err)
	}
}

// TestReadTraceRejects guards against accepting a corrupt trace in part, and against errors that do not name the line.
func TestReadTraceRejects(t *testing.T) {
	good := `{"at_ms":1,"service":"s","customer":"c","method":"POST","path":"/x","key":"k"}` + "\n"
	cases := map[string]string{
		`{"at_ms":1`: "line 2",
		good:         `line 2: key "k" was used in line 1`,
		`{"service":"s","customer":"c","method":"PUT","path":"/x"}`:                 `line 2: method: "PUT" (permitted: GET, POST)`,
		`{"service":"s","customer":"c","method":"GET","path":"x"}`:                  `line 2: path: "x" must begin with /`,
		`{"service":"s","customer":"c","method":"GET","path":"/x","urgency":"now"}`: `line 2: urgency: "now"`,
		`{"service":"s","method":"GET","path":"/x"}`:                                "line 2: service and customer must be set",
		`{"serv":"s"}`: "line 2",
	}
	for line, want := range cases {
		if _, err := ReadTrace(strings.NewReader(good + line)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: error %v, want %q", line, err, want)
		}
	}
}
