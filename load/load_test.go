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

// entryNode is an entry node that forwards to a backend server and breaks promises on demand.
type entryNode struct {
	t       *testing.T
	backend string
	lie     string

	mu       sync.Mutex
	previous []byte
	attempts int
}

func (e *entryNode) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.attempts++
	id := "id-" + r.URL.Query().Get("request")
	w.Header().Set(backend.RequestIDHeader, id)
	if e.lie == "lost" {
		_, _ = w.Write(e.forward(r, body, id, "another-key"))
		return
	}
	if e.attempts > 1 {
		switch e.lie {
		case "retry replayed":
			w.Header().Set(headerReplayed, "true")
			_, _ = w.Write(e.previous)
			return
		case "retry refused falsely":
			refuse(w, verdict.NotRun, id)
			return
		case "retry refused truthfully":
			refuse(w, verdict.MayHaveRun, id)
			return
		}
	}
	data := e.forward(r, body, id, r.Header.Get(backend.KeyHeader))
	switch {
	case e.lie == "doubled":
		data = e.forward(r, body, id, r.Header.Get(backend.KeyHeader))
	case e.lie == "swapped" && e.attempts == 2:
		w.Header().Del(backend.RequestIDHeader)
		data = e.previous
	case e.lie == "wrong id":
		w.Header().Set(backend.RequestIDHeader, "id-other")
	case e.lie == "damaged":
		data = data[:len(data)/2]
	case e.lie == "error status":
		w.WriteHeader(http.StatusInternalServerError)
	case e.lie == "error without verdict":
		http.Error(w, "upstream failed", http.StatusBadGateway)
		return
	case e.lie == "refused falsely":
		refuse(w, verdict.NotRun, id)
		return
	case e.lie == "cut":
		w.Header().Set("Content-Length", "9999")
	case e.lie == "slow":
		time.Sleep(150 * time.Millisecond)
	case strings.HasPrefix(e.lie, "retry") && e.attempts == 1:
		e.previous = data
		panic(http.ErrAbortHandler)
	}
	e.previous = data
	_, _ = w.Write(data)
}

func (e *entryNode) forward(r *http.Request, body []byte, id, key string) []byte {
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
		// A fabricated answer: right in all fields although no run belongs to it.
		data = bytes.ReplaceAll(data, []byte(key), []byte(r.Header.Get(backend.KeyHeader)))
	}
	return data
}

func refuse(w http.ResponseWriter, v verdict.Verdict, id string) {
	verdict.New(v, verdict.ReasonQueueFull, http.StatusServiceUnavailable, "queue full").Write(w, "booking", id)
}

// play sends the events one after the other through an entry node that tells the given lie, and checks them.
func play(t *testing.T, lie string, retries int, events ...Event) (*Report, *Result) {
	t.Helper()
	b, err := backend.Start("127.0.0.1:0", backend.Config{Name: "b"})
	if err != nil {
		t.Fatal(err)
	}
	defer b.Close()
	srv := httptest.NewServer(&entryNode{t: t, backend: b.Addr(), lie: lie})
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

// TestCheckerFindsLies guards against a checker that overlooks a broken promise, or that reports one where there is none.
func TestCheckerFindsLies(t *testing.T) {
	hurried := booking
	hurried.DeadlineMs = 50
	cases := []struct {
		lie     string
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
		{"refused falsely", []Event{booking}, 0, Counts{Sent: 1, NotRun: 1, FalseNotRun: 1}},
		{"refused falsely", []Event{read}, 0, Counts{Sent: 1, NotRun: 1, FalseNotRun: 1}},
		{"cut", []Event{booking}, 0, Counts{Sent: 1, MayHaveRun: 1, Broken: 1}},
		{"slow", []Event{hurried}, 0, Counts{Sent: 1, Answered: 1, Late: 1}},
		{"retry again", []Event{booking}, 1, Counts{Sent: 1, Answered: 1, Retries: 1, Doubled: 1}},
		{"retry replayed", []Event{booking}, 1, Counts{Sent: 1, Answered: 1, Retries: 1, Replayed: 1}},
		{"retry refused falsely", []Event{booking}, 1, Counts{Sent: 1, NotRun: 1, Retries: 1, FalseNotRun: 1}},
		{"retry refused truthfully", []Event{booking}, 1, Counts{Sent: 1, MayHaveRun: 1, Retries: 1}},
	}
	for _, tc := range cases {
		t.Run(tc.lie+" "+tc.events[0].Method, func(t *testing.T) {
			report, res := play(t, tc.lie, tc.retries, tc.events...)
			if report.Totals != tc.want {
				t.Errorf("got  %+v\nwant %+v\noutcomes %+v", report.Totals, tc.want, res.Outcomes)
			}
			broken := tc.want.Doubled+tc.want.Lost+tc.want.Swapped+tc.want.FalseNotRun > 0
			if report.Broken() != broken || (len(report.Findings) > 0) != broken {
				t.Errorf("broken %v, findings %v", report.Broken(), report.Findings)
			}
		})
	}
}

// TestRefusedAddress guards against a load generator that counts a connection refused by an address as an attempt, and
// against a request that reached nobody and passes as may-have-run.
func TestRefusedAddress(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed := ln.Addr().String()
	ln.Close()
	b, err := backend.Start("127.0.0.1:0", backend.Config{})
	if err != nil {
		t.Fatal(err)
	}
	defer b.Close()
	res, err := Run(context.Background(), Config{Entries: []string{closed, b.Addr()}}, []Event{booking, booking})
	if err != nil {
		t.Fatal(err)
	}
	for _, o := range res.Outcomes {
		if o.Kind != KindAnswered || o.Attempts != 1 {
			t.Errorf("outcome %+v, want answered in one attempt", o)
		}
	}
	res, err = Run(context.Background(), Config{Entries: []string{closed}}, []Event{booking})
	if err != nil {
		t.Fatal(err)
	}
	if report := Check(res, &Runs{}); report.Totals != (Counts{Sent: 1, NotRun: 1}) {
		t.Errorf("nobody reached: %+v", report.Totals)
	}
}

// TestUnreachableKeepsEarlierVerdict guards against a retry that reached nobody and takes back that an earlier attempt
// may have run, which would be counted as a false refusal.
func TestUnreachableKeepsEarlierVerdict(t *testing.T) {
	var o Outcome
	o.add(attempt{kind: KindBroken, reason: "cut"})
	o.add(attempt{kind: KindUnreachable})
	if o.Kind != KindBroken || o.Attempts != 2 {
		t.Fatalf("outcome %+v", o)
	}
}

// TestFetchRunsNeedsAllServers guards against a check that passes because a backend server did not report.
func TestFetchRunsNeedsAllServers(t *testing.T) {
	b, err := backend.Start("127.0.0.1:0", backend.Config{})
	if err != nil {
		t.Fatal(err)
	}
	addr := b.Addr()
	b.Close()
	if _, err := FetchRuns(context.Background(), []string{addr}); err == nil {
		t.Fatal("no error for a backend server that is gone")
	}
}

// TestSchedule guards against a schedule that cannot be replayed and against bursts that do not reach their rate.
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
		t.Fatal("the same seed gave another schedule")
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
		t.Fatalf("the written trace reads back differently (%v)", err)
	}
}

// TestReadTraceRejects guards against a damaged trace that is played in part, or with errors that do not name the line.
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
