package command

import (
	"bytes"
	"context"
	"errors"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/berylwharf/berylwharf/follower"
	"github.com/berylwharf/berylwharf/operator"
	"github.com/berylwharf/berylwharf/operator/operatortest"
	"github.com/berylwharf/berylwharf/resource"
	"github.com/berylwharf/berylwharf/statelog"
)

// recordIDs matches record identifiers. The client generates them at random, so they differ in each run.
var recordIDs = regexp.MustCompile(`[0-9a-f]{32}`)

type fakeNodes struct{}

func (fakeNodes) NodeStatuses() []operator.NodeStatus {
	return []operator.NodeStatus{
		{Node: "entry-b", VM: "e2", Zone: "zone-b", Region: "region-1", State: "silent", Member: true, Epoch: 2, NextOffset: 7, LastHeardMs: 4200},
		{Node: "entry-a", VM: "e1", Zone: "zone-a", Region: "region-1", Self: true, State: "not-ready", Epoch: 2, NextOffset: 8, Message: "waits for a snapshot"},
	}
}

type fakePlanner struct{}

func (fakePlanner) PlanNow(context.Context) *operator.PlanResponse {
	return &operator.PlanResponse{
		Waves: []operator.WaveProgress{
			{Name: "october", Pool: "p", Total: 8, Finished: 2, Failed: 1, InMaintenance: 1},
			{Name: "september", Pool: "q", Total: 4, Finished: 4, Paused: true, StopReason: "VM q1 of the first group failed"},
		},
		Steps: []operator.PlanStep{{Kind: "drain", Wave: "october", VM: "vm1", Reason: "next in the wave"}},
		Waiting: []operator.PlanStep{
			{Wave: "october", VM: "vm2", Reason: "customer tanglaw has 0 of 2 unavailable VMs left in pool p"},
			{Wave: "september", Reason: "stopped: VM q1 of the first group failed"},
		},
	}
}

// fixture is a server of the operators' API on an in-memory store, with a directory for input files.
type fixture struct {
	store *operatortest.Store
	url   string
	dir   string
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{store: operatortest.New(), dir: t.TempDir()}
	server := httptest.NewServer(operator.NewHandler(operator.Config{Store: f.store, Nodes: fakeNodes{}, Planner: fakePlanner{}}))
	t.Cleanup(server.Close)
	f.url = server.URL
	t.Setenv("BERYLWHARF_SERVER", f.url)
	t.Setenv("BERYLWHARF_TOKEN", "")
	t.Setenv("USER", "juan")
	return f
}

// run executes a command and returns its exit code and output. In the output, paths are relative to the fixture's
// directory, and URL and ID stand for the server's URL and for record identifiers.
func (f *fixture) run(stdin string, args ...string) (code int, stdout, stderr string) {
	var out, errOut bytes.Buffer
	env := Env{Stdin: strings.NewReader(stdin), Stdout: &out, Stderr: &errOut, Sleep: func(context.Context, time.Duration) error { return nil }}
	code = Run(context.Background(), append([]string{"berylwharf"}, args...), env)
	normalize := func(s string) string {
		s = strings.ReplaceAll(strings.ReplaceAll(s, f.dir+"/", ""), f.url, "URL")
		return recordIDs.ReplaceAllString(s, "ID")
	}
	return code, normalize(out.String()), normalize(errOut.String())
}

// TestCommands guards against changes of the output and exit codes of the commands. The cases in one file share a store.
func TestCommands(t *testing.T) {
	datadriven.Walk(t, "testdata/commands", func(t *testing.T, path string) {
		f := newFixture(t)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "store": // changes by another operator, and faults
				return f.changeStore(t, d)
			case "file":
				name := filepath.Join(f.dir, d.CmdArgs[0].Key)
				if err := os.WriteFile(name, []byte(d.Input+"\n"), 0o600); err != nil {
					t.Fatal(err)
				}
				return ""
			case "run": // the first line is the command line, the rest is standard input
				line, stdin, _ := strings.Cut(d.Input, "\n")
				args := strings.Fields(strings.ReplaceAll(line, "DIR", f.dir))
				code, stdout, stderr := f.run(stdin, args...)
				out := stdout
				if stderr != "" {
					out += "stderr: " + stderr
				}
				return strings.ReplaceAll(out, "\n\n", "\n") + "exit " + string(rune('0'+code))
			}
			t.Fatalf("%s: unknown directive %s", d.Pos, d.Cmd)
			return ""
		})
	})
}

// changeStore executes the lines of a "store" directive: changes by another operator, and faults of the log service.
func (f *fixture) changeStore(t *testing.T, d *datadriven.TestData) string {
	faults := map[string]operatortest.Fault{
		"not-accepted": operatortest.NotAccepted, "lost-answer": operatortest.LostResponse,
		"lost-append": operatortest.LostAppend, "stale": operatortest.Stale,
	}
	for _, line := range strings.Split(d.Input, "\n") {
		words := strings.SplitN(line, " ", 4)
		switch words[0] {
		case "fail":
			for _, name := range strings.Fields(line)[1:] {
				f.store.InjectFaults(faults[name])
			}
		case "put":
			f.store.Put("maria", resource.Kind(words[1]), words[2], words[3])
		case "race":
			f.store.BeforeNextPropose(func() { f.store.Put("maria", resource.Kind(words[1]), words[2], words[3]) })
		case "delete":
			f.store.Delete(resource.Kind(words[1]), words[2])
		default:
			t.Fatalf("%s: %q", d.Pos, line)
		}
	}
	return ""
}

// TestRoundTrip guards against JSON output of get that apply does not accept or treats as a change.
func TestRoundTrip(t *testing.T) {
	f := newFixture(t)
	f.store.Put("maria", resource.KindPool, "a", `{"description":"<b> & \"c\""}`)
	f.store.Put("maria", resource.KindPool, "b", `{"minVMs":1}`)
	_, list, _ := f.run("", "get", "pool", "-o", "json")
	code, out, stderr := f.run(list, "apply", "-f", "-")
	if code != ExitOK || out != "pool/a unchanged, version 1\npool/b unchanged, version 2\n" || f.store.Proposals() != 0 {
		t.Errorf("exit %d, %s%s", code, out, stderr)
	}
}

// TestServerDown guards against reporting a failure to connect as an unknown outcome, and, for commands that change
// nothing, as a change that was not accepted.
func TestServerDown(t *testing.T) {
	f := newFixture(t)
	server := httptest.NewServer(nil)
	server.Close()
	if code, _, stderr := f.run("", "get", "pool", "--server", server.URL); code != ExitError || !strings.Contains(stderr, "refused") {
		t.Errorf("get: exit %d, %s", code, stderr)
	}
	if code, _, stderr := f.run("", "watch", "--server", server.URL); code != ExitError || !strings.Contains(stderr, "refused") {
		t.Errorf("watch: exit %d, %s", code, stderr)
	}
	for _, args := range [][]string{{"drain", "vm", "w1"}, {"delete", "vm", "w1"}, {"apply", "-f", "-"}} {
		code, _, stderr := f.run(`{"kind":"pool","name":"a","spec":{}}`, append(args, "--server", server.URL)...)
		if code != ExitNotAccepted || !strings.Contains(stderr, "not accepted: ") {
			t.Errorf("%v: exit %d, %s", args, code, stderr)
		}
	}
	broken := &changeError{cause: &operator.TransportError{MayHaveTakenEffect: true, Cause: errors.New("broken")}}
	if code := exitCode(broken); code != ExitOutcomeUnknown {
		t.Errorf("change: exit %d", code)
	}
}

// TestChange guards against the wrong exit code for an outcome, which would let a script repeat a change that took effect
// or drop one that did not.
func TestChange(t *testing.T) {
	f := newFixture(t)
	f.store.Put("maria", resource.KindPool, "a", `{}`)
	propose := func(id byte, base uint64) {
		spec := []byte(`{"minVMs":1}`)
		key := resource.Key{Kind: resource.KindPool, Name: "a"}
		_, err := f.store.Propose(context.Background(), follower.Change{ID: statelog.RecordID{id}, Op: statelog.OpPut, Key: key, BaseVersion: base, Spec: spec})
		if err != nil {
			t.Fatal(err)
		}
	}
	propose(1, 1)
	propose(2, 1)
	f.store.InjectFaults(operatortest.Stale)
	propose(3, 2)
	for _, c := range []struct {
		id          byte
		code        int
		out, errOut string
	}{
		{1, ExitOK, "ID accepted at offset 2\n", ""},
		{2, ExitConflict, "ID conflict at offset 3\n", "berylwharf: conflict: the resource was at version 2\n"},
		{3, ExitNotAccepted, "ID stale at offset 4\n", "berylwharf: not accepted: the change is stale\n"},
	} {
		code, out, errOut := f.run("", "change", statelog.RecordID{c.id}.String())
		if code != c.code || out != c.out || errOut != c.errOut {
			t.Errorf("identifier %d: exit %d, %q, %q", c.id, code, out, errOut)
		}
	}
}

// TestWatch guards against a watch that misses a change or a deletion, or that does not end when interrupted.
func TestWatch(t *testing.T) {
	f := newFixture(t)
	f.store.Put("maria", resource.KindPool, "a", `{"minVMs":1}`)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	out := &lineWriter{lines: make(chan string, 16)}
	done := make(chan int, 1)
	go func() {
		done <- Run(ctx, []string{"berylwharf", "watch", "pool"}, Env{Stdout: out, Stderr: out})
	}()
	expect := func(want string) {
		t.Helper()
		if got := <-out.lines; got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
	expect("pool/a exists, version 1, by maria\n")
	f.store.Put("juan", resource.KindPool, "a", `{"minVMs":2}`)
	expect("pool/a changed, version 2, by juan: minVMs 1 -> 2\n")
	f.store.Put("juan", resource.KindConfig, "c", `{}`) // another kind
	f.store.Delete(resource.KindPool, "a")
	expect("pool/a deleted\n")
	cancel()
	if code := <-done; code != ExitOK {
		t.Errorf("exit %d", code)
	}
}

type lineWriter struct{ lines chan string }

func (w *lineWriter) Write(p []byte) (int, error) {
	w.lines <- string(p)
	return len(p), nil
}
