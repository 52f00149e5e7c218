package vmapi

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
)

// script is a platform that returns one answer after the other.
type script struct {
	answers []string // body; "503", "503none" and "cut" stand for failures
	paths   []string
}

func (s *script) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.paths = append(s.paths, r.Method+" "+r.URL.Path)
	answer := s.answers[0]
	s.answers = s.answers[1:]
	switch answer {
	case "503none":
		w.Header().Set(EffectHeader, EffectNone)
		w.WriteHeader(http.StatusServiceUnavailable)
	case "503", "404", "409":
		w.WriteHeader(map[string]int{"503": 503, "404": 404, "409": 409}[answer])
	case "cut":
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "{")
	default:
		_, _ = io.WriteString(w, answer)
	}
}

func connect(t *testing.T, answers ...string) (*Client, *script) {
	t.Helper()
	s := &script{answers: answers}
	srv := httptest.NewServer(s)
	t.Cleanup(srv.Close)
	c, err := NewClient(srv.URL+"/", time.Second)
	if err != nil {
		t.Fatal(err)
	}
	return c, s
}

const (
	entryW1 = `{"name":"w1","zone":"a","rack":"r","role":"worker","addr":"10.0.0.1:80","state":"live"}`
	entryW2 = `{"name":"w2","zone":"a","rack":"r","role":"worker","addr":"10.0.0.2:80","state":"live"}`
	entryE1 = `{"name":"e1","zone":"a","rack":"r","role":"entry","addr":"10.0.0.3:80","state":"leaving","node":"n1"}`
)

func list(asOf string, entries ...string) string {
	return `{"as_of":"2026-01-01T00:00:` + asOf + `Z","vms":[` + strings.Join(entries, ",") + `]}`
}

// TestMalformedLists guards against a damaged VM list that passes as complete, which would take VMs out of service or
// send requests nowhere.
func TestMalformedLists(t *testing.T) {
	cases := []struct{ answer, want string }{
		{`{}`, "as_of is missing"},
		{`{"as_of":"2026-01-01T00:00:00Z"}`, "vms is missing"},
		{list("00", entryW1, entryW1), `vms[1]: name "w1" is also used by vms[0]`},
		{list("00", strings.Replace(entryW1, `"w1"`, `"W 1"`, 1)), `vms[0]: vm: name "W 1" must match`},
		{list("00", strings.Replace(entryW1, "worker", "boss", 1)), `w1: role "boss" (permitted: worker, entry)`},
		{list("00", strings.Replace(entryW1, "live", "lost", 1)), `w1: state "lost" (permitted: live, leaving)`},
		{list("00", strings.Replace(entryW1, "10.0.0.1:80", "host:80", 1)), `w1: addr "host:80" is not ip:port`},
		{list("00", strings.Replace(entryW1, `"zone":"a"`, `"zone":""`, 1)), "w1: zone is empty"},
		{list("00", strings.Replace(entryE1, `"n1"`, `""`, 1)), "e1: node is empty"},
		{list("00", entryW1) + "x", "not the expected JSON"},
		{"cut", "incomplete answer"},
		{"503", "Service Unavailable"},
	}
	for _, tc := range cases {
		c, _ := connect(t, tc.answer)
		_, err := c.VMs(context.Background())
		if err == nil || !strings.Contains(err.Error(), tc.want) {
			t.Errorf("%s: got error %v, want %q", tc.answer, err, tc.want)
		}
	}
}

// TestPollerKeepsLastList guards against a poller that drops the VMs when the platform fails, that goes back to an older
// list, or that reports a change when there is none.
func TestPollerKeepsLastList(t *testing.T) {
	c, s := connect(t, "503")
	log := logrus.New()
	log.SetOutput(io.Discard)
	var changes []string
	p := NewPoller(c, time.Second, func(l VMList) { changes = append(changes, names(l)) }, log)
	steps := []struct {
		answer  string
		ok      bool
		list    string
		changes int
	}{
		{"503none", false, "", 0},
		{list("05", entryW2, entryW1), true, "w1 w2", 1},
		{list("06", entryW1, entryW2), true, "w1 w2", 1},
		{"cut", false, "w1 w2", 1},
		{list("07", entryW1, entryW1), false, "w1 w2", 1},
		{list("04", entryW1), false, "w1 w2", 1},
		{list("08", entryW2, entryE1), true, "e1 w2", 2},
		{list("09"), true, "", 3},
	}
	for i, step := range steps {
		s.answers = []string{step.answer}
		err := p.Poll(context.Background())
		got, _ := p.List()
		if (err == nil) != step.ok || names(got) != step.list || len(changes) != step.changes {
			t.Fatalf("step %d: error %v, list %q, changes %v", i, err, names(got), changes)
		}
		if (p.Status().LastError == nil) != step.ok {
			t.Fatalf("step %d: status %+v", i, p.Status())
		}
	}
	// A platform whose clock was set back must not block updates for ever.
	for range olderListsToAccept {
		s.answers = []string{list("01", entryW1)}
		_ = p.Poll(context.Background())
	}
	if got, _ := p.List(); names(got) != "w1" {
		t.Fatalf("list after the clock was set back: %q", names(got))
	}
}

func names(l VMList) string {
	var out []string
	for _, vm := range l.VMs {
		out = append(out, vm.Name)
	}
	return strings.Join(out, " ")
}

// TestNoEffect guards against a failure that is taken as proof that nothing happened.
func TestNoEffect(t *testing.T) {
	for answer, want := range map[string]bool{"503": false, "503none": true, "409": true, "404": true, "cut": false} {
		c, _ := connect(t, answer)
		err := c.StartTask(context.Background(), "w1", TaskRequest{Task: "a"})
		var e *Error
		if !errors.As(err, &e) || e.NoEffect != want {
			t.Errorf("%s: got %+v, want NoEffect %v", answer, err, want)
		}
	}
	srv := httptest.NewServer(http.NotFoundHandler())
	srv.Close()
	c, err := NewClient(srv.URL, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	err = c.DrainVM(context.Background(), "w1")
	var e *Error
	if !errors.As(err, &e) || !e.NoEffect || StatusOf(err) != 0 {
		t.Errorf("refused connection: %+v", err)
	}
}

// TestPaths guards against calls that reach another resource than the one named.
func TestPaths(t *testing.T) {
	c, s := connect(t, `{"name":"w1"}`, "{}", "{}", "{}", "{}", "{}", "{}", "{}")
	ctx := context.Background()
	if w, err := c.Worker(ctx, "w1"); err != nil || w.Name != "w1" {
		t.Fatal(w, err)
	}
	calls := []error{
		c.StartTask(ctx, "w1", TaskRequest{}), c.RenewTask(ctx, "w1", "a"), c.CheckpointTask(ctx, "w1", "a"),
		c.ThrottleTask(ctx, "w1", "a"), c.StopTask(ctx, "w1", "a"), c.DrainVM(ctx, "v"), c.RebootVM(ctx, "v"),
	}
	for i, err := range calls {
		if err != nil {
			t.Fatal(i, err)
		}
	}
	want := "GET /v1/workers/w1,POST /v1/workers/w1/tasks,POST /v1/workers/w1/tasks/a/renew," +
		"POST /v1/workers/w1/tasks/a/checkpoint,POST /v1/workers/w1/tasks/a/throttle,POST /v1/workers/w1/tasks/a/stop," +
		"POST /v1/vms/v/drain,POST /v1/vms/v/reboot"
	if got := strings.Join(s.paths, ","); got != want {
		t.Fatalf("got %s\nwant %s", got, want)
	}
}
