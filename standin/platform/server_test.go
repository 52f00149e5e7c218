package platform

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	wire "github.com/berylwharf/berylwharf/vmapi"
)

// clock is a clock that tests advance.
type clock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *clock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

type fixture struct {
	clock  *clock
	server *Server
	http   *httptest.Server
}

func start(t *testing.T, cfg Config) *fixture {
	t.Helper()
	c := &clock{now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}
	cfg.Now = c.Now
	s, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	h := httptest.NewServer(s)
	t.Cleanup(func() { s.Close(); h.Close() })
	return &fixture{clock: c, server: s, http: h}
}

func (f *fixture) request(method, path, body string) string {
	req, err := http.NewRequest(method, f.http.URL+path, strings.NewReader(body))
	if err != nil {
		return err.Error()
	}
	resp, err := f.http.Client().Do(req)
	if err != nil {
		return "no response"
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	out := fmt.Sprintf("%d", resp.StatusCode)
	if effect := resp.Header.Get(wire.EffectHeader); effect != "" {
		out += " effect=" + effect
	}
	if err != nil {
		return out + " response truncated"
	}
	return out + " " + string(data)
}

var workers = []wire.VM{
	{Name: "w1", Zone: "a", Rack: "r1", Role: wire.RoleWorker, Addr: "127.0.0.1:1001", State: wire.StateLive},
	{Name: "w2", Zone: "b", Rack: "r2", Role: wire.RoleWorker, Addr: "127.0.0.1:1002", State: wire.StateLive},
}

// TestProtocol guards against a stand-in that differs from the protocol: clients tested against it could fail against
// the real platform. The test data has the commands "start [lag=D] [records=N] [age=D]", "advance D" and "call"; the
// input of "call" is a line METHOD PATH followed by the body.
func TestProtocol(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var f *fixture
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "start":
				f = start(t, Config{
					VMs: workers, Lag: durationArg(t, d, "lag"), RetentionAge: durationArg(t, d, "age"),
					RetentionRecords: intArg(t, d, "records"),
				})
				return ""
			case "advance":
				step, err := time.ParseDuration(d.CmdArgs[0].Key)
				if err != nil {
					t.Fatal(err)
				}
				f.clock.advance(step)
				return ""
			case "call":
				line, body, _ := strings.Cut(d.Input, "\n")
				method, target, _ := strings.Cut(line, " ")
				return f.request(method, target, body)
			}
			t.Fatalf("unknown command %q", d.Cmd)
			return ""
		})
	})
}

func durationArg(t *testing.T, d *datadriven.TestData, key string) time.Duration {
	var s string
	d.MaybeScanArgs(t, key, &s)
	v, _ := time.ParseDuration(s)
	return v
}

func intArg(t *testing.T, d *datadriven.TestData, key string) int {
	var n int
	d.MaybeScanArgs(t, key, &n)
	return n
}

// TestLongPoll guards against a long poll that misses an append, or that continues during an outage.
func TestLongPoll(t *testing.T) {
	f := start(t, Config{})
	poll := func() chan string {
		out := make(chan string, 1)
		go func() { out <- f.request("GET", "/v1/log/s?from=1&wait_ms=20000", "") }()
		return out
	}
	first := poll()
	f.request("POST", "/v1/log/s", `{"records":["YQ=="]}`)
	if got := <-first; !strings.Contains(got, `"data":"YQ=="`) {
		t.Fatalf("long poll returned %s", got)
	}
	out := make(chan string, 1)
	go func() { out <- f.request("GET", "/v1/log/s?from=2&wait_ms=20000", "") }()
	if err := f.server.Inject(Fault{Kind: FaultOutage, Target: TargetLog}); err != nil {
		t.Fatal(err)
	}
	if got := <-out; !strings.HasPrefix(got, "503 effect=none") {
		t.Fatalf("long poll during an outage returned %s", got)
	}
}

// TestDelayedAppendAfterClientDisconnects guards against a delay fault that drops the append of a client that
// disconnected: the platform may still execute it, and clients must handle that.
func TestDelayedAppendAfterClientDisconnects(t *testing.T) {
	f := start(t, Config{})
	if err := f.server.Inject(Fault{Kind: FaultDelay, Target: TargetLog, DelayMs: 200, Count: 1}); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, "POST", f.http.URL+"/v1/log/s", strings.NewReader(`{"records":["YQ=="]}`))
	if _, err := f.http.Client().Do(req); err == nil {
		t.Fatal("the append received a response before the delay")
	}
	got := f.request("GET", "/v1/log/s?from=1&wait_ms=20000", "")
	if !strings.Contains(got, `"next":2`) {
		t.Fatalf("the append of the client that disconnected had no effect: %s", got)
	}
}

// TestRebootedVMIsListedAgain guards against a rebooted worker that keeps its tasks or is never listed again.
func TestRebootedVMIsListedAgain(t *testing.T) {
	f := start(t, Config{VMs: workers, RebootTime: 50 * time.Millisecond})
	f.request("POST", "/v1/workers/w1/tasks", `{"task":"a","lease_ms":60000,"epoch":3}`)
	if got := f.request("POST", "/v1/vms/w1/reboot", ""); !strings.HasPrefix(got, "202") {
		t.Fatal(got)
	}
	if got := f.request("GET", "/v1/vms", ""); strings.Contains(got, `"w1"`) {
		t.Fatalf("rebooting VM is listed: %s", got)
	}
	for i := 0; i < 200 && len(f.server.VMs()) < 2; i++ {
		time.Sleep(10 * time.Millisecond)
	}
	got := f.request("GET", "/v1/workers/w1", "")
	if !regexp.MustCompile(`"epoch":3,"tasks":\[\]`).MatchString(got) {
		t.Fatalf("after the reboot: %s", got)
	}
}

// TestAppendBounds guards against a stand-in that accepts larger appends than the platform: it would not detect a
// client that exceeds the limits.
func TestAppendBounds(t *testing.T) {
	f := start(t, Config{})
	quoted := `"` + strings.Repeat("A", 1<<20*4/3/4*4) + `"` // just below 1 MiB decoded
	cases := []struct {
		name, records, want string
	}{
		{"256 records", strings.Repeat(`"YQ==",`, 255) + `"YQ=="`, "200"},
		{"257 records", strings.Repeat(`"YQ==",`, 256) + `"YQ=="`, "400"},
		{"below 1 MiB", quoted, "200"},
		{"above 1 MiB", quoted + `,"YWFhYQ=="`, "413"},
	}
	for _, c := range cases {
		got := f.request("POST", "/v1/log/s", `{"records":[`+c.records+`]}`)
		if !strings.HasPrefix(got, c.want) {
			t.Errorf("%s: got %.80s, want %s", c.name, got, c.want)
		}
	}
}

// TestHangEndsOnClear guards against a hanging append that continues after its fault was cleared, or that takes effect
// twice.
func TestHangEndsOnClear(t *testing.T) {
	f := start(t, Config{})
	if err := f.server.Inject(Fault{Kind: FaultHang, Target: TargetLog}); err != nil {
		t.Fatal(err)
	}
	out := make(chan string, 1)
	go func() { out <- f.request("POST", "/v1/log/s", `{"records":["YQ=="]}`) }()
	for len(out) == 0 {
		time.Sleep(20 * time.Millisecond)
		if err := f.server.Inject(Fault{Kind: FaultClear}); err != nil {
			t.Fatal(err)
		}
	}
	if got := <-out; got != "no response" && !strings.HasPrefix(got, `200 {"first":1`) {
		t.Fatalf("hanging append returned %s", got)
	}
	if got := f.request("GET", "/v1/log/s?from=2", ""); strings.Contains(got, `"next":3`) {
		t.Fatalf("hanging append took effect twice: %s", got)
	}
}
