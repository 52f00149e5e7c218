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

// scriptedPlatform is a platform that returns the given answers in order.
type scriptedPlatform struct {
	answers []string // body; "503", "503none" and "cut" stand for failures
	paths   []string
}

func (s *scriptedPlatform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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

func newTestClient(t *testing.T, answers ...string) (*Client, *scriptedPlatform) {
	t.Helper()
	s := &scriptedPlatform{answers: answers}
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

func vmListJSON(asOf string, entries ...string) string {
	return `{"as_of":"2026-01-01T00:00:` + asOf + `Z","vms":[` + strings.Join(entries, ",") + `]}`
}

// TestMalformedLists guards against accepting a damaged or incomplete VM list, which would take VMs out of service or
// route requests to wrong addresses.
func TestMalformedLists(t *testing.T) {
	cases := []struct{ answer, want string }{
		{`{}`, "as_of is missing"},
		{`{"as_of":"2026-01-01T00:00:00Z"}`, "vms is missing"},
		{vmListJSON("00", entryW1, entryW1), `vms[1]: name "w1" is also used by vms[0]`},
		{vmListJSON("00", strings.Replace(entryW1, `"w1"`, `"W 1"`, 1)), `vms[0]: vm: name "W 1" must match`},
		{vmListJSON("00", strings.Replace(entryW1, "worker", "boss", 1)), `w1: role "boss" (permitted: worker, entry)`},
		{vmListJSON("00", strings.Replace(entryW1, "live", "lost", 1)), `w1: state "lost" (permitted: live, leaving)`},
		{vmListJSON("00", strings.Replace(entryW1, "10.0.0.1:80", "host:80", 1)), `w1: addr "host:80" is not ip:port`},
		{vmListJSON("00", strings.Replace(entryW1, `"zone":"a"`, `"zone":""`, 1)), "w1: zone is empty"},
		{vmListJSON("00", strings.Replace(entryE1, `"n1"`, `""`, 1)), "e1: node is empty"},
		{vmListJSON("00", entryW1) + "x", "not the expected JSON"},
		{"cut", "incomplete response"},
		{"503", "Service Unavailable"},
	}
	for _, tc := range cases {
		c, _ := newTestClient(t, tc.answer)
		_, err := c.VMs(context.Background())
		if err == nil || !strings.Contains(err.Error(), tc.want) {
			t.Errorf("%s: got error %v, want %q", tc.answer, err, tc.want)
		}
	}
}

// TestPollerKeepsLastList guards against a poller that discards the VMs when the platform fails, returns to an older
// list, or reports a change when there is none. It also guards against a poller that rejects older lists forever after
// the platform's clock was set back.
func TestPollerKeepsLastList(t *testing.T) {
	c, s := newTestClient(t, "503")
	log := logrus.New()
	log.SetOutput(io.Discard)
	var changes []string
	p := NewPoller(c, time.Second, func(l VMList) { changes = append(changes, vmNames(l)) }, log)
	steps := []struct {
		answer  string
		ok      bool
		list    string
		changes int
	}{
		{"503none", false, "", 0},
		{vmListJSON("05", entryW2, entryW1), true, "w1 w2", 1},
		{vmListJSON("06", entryW1, entryW2), true, "w1 w2", 1},
		{"cut", false, "w1 w2", 1},
		{vmListJSON("07", entryW1, entryW1), false, "w1 w2", 1},
		{vmListJSON("04", entryW1), false, "w1 w2", 1},
		{vmListJSON("08", entryW2, entryE1), true, "e1 w2", 2},
		{vmListJSON("09"), true, "", 3},
	}
	for i, step := range steps {
		s.answers = []string{step.answer}
		err := p.Poll(context.Background())
		got, _ := p.List()
		if (err == nil) != step.ok || vmNames(got) != step.list || len(changes) != step.changes {
			t.Fatalf("step %d: error %v, list %q, changes %v", i, err, vmNames(got), changes)
		}
		if (p.Status().LastError == nil) != step.ok {
			t.Fatalf("step %d: status %+v", i, p.Status())
		}
	}
	// If the platform's clock was set back, its lists must be accepted eventually.
	for range acceptOlderListAfter {
		s.answers = []string{vmListJSON("01", entryW1)}
		_ = p.Poll(context.Background())
	}
	if got, _ := p.List(); vmNames(got) != "w1" {
		t.Fatalf("list after the clock was set back: %q", vmNames(got))
	}
}

func vmNames(l VMList) string {
	var out []string
	for _, vm := range l.VMs {
		out = append(out, vm.Name)
	}
	return strings.Join(out, " ")
}

// TestNoEffect guards against failed calls that are reported as having no effect although they may have taken effect.
func TestNoEffect(t *testing.T) {
	for answer, want := range map[string]bool{"503": false, "503none": true, "409": true, "404": true, "cut": false} {
		c, _ := newTestClient(t, answer)
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

// TestPaths guards against calls that are sent to the wrong path.
func TestPaths(t *testing.T) {
	c, s := newTestClient(t, `{"name":"w1"}`, "{}", "{}", "{}", "{}", "{}", "{}", "{}")
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
