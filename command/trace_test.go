package command

import (
	"bytes"
	"context"
	"strings"
	"testing"
)

const traceLog = `other output
{"time":"2026-01-02T03:04:05.2Z","node":"n2","msg":"job: run ordered","job":"a1","task":"a1.0.0.0","run":1,"worker":"w","epoch":3}
 12.3 n1 {"time":"2026-01-02T03:04:05.1Z","node":"n1","msg":"job: job submitted","job":"a1","queue":"q"}
{"time":"2026-01-02T03:04:06Z","node":"n2","msg":"job: run ended","job":"a1","task":"a1.0.0.0","run":1,"why":"failed"}
{"time":"2026-01-02T03:04:06.1Z","node":"n2","msg":"job: job failed","job":"a1","ageMs":1000}
{"time":"2026-01-02T03:04:05Z","node":"n1","msg":"callers: refused","job":"a1","why":"POST: not-run: queue-full"}
{"time":"2026-01-02T03:04:05Z","node":"n1","msg":"job: job submitted","job":"b1"}
{not json a1
`

func runTrace(t *testing.T, args ...string) (string, int) {
	t.Helper()
	var out, errs bytes.Buffer
	code := Run(context.Background(), append([]string{"berylwharf", "trace"}, args...),
		Env{Stdin: strings.NewReader(traceLog), Stdout: &out, Stderr: &errs})
	return out.String() + errs.String(), code
}

// TestTrace guards against a trace that is out of order, contains lines of other jobs, or reports an earlier refusal as the
// decision although the job ended later.
func TestTrace(t *testing.T) {
	out, code := runTrace(t, "a1")
	if code != ExitOK {
		t.Fatalf("exit code %d: %s", code, out)
	}
	var last int
	for _, want := range []string{"refused", "job submitted", "run ordered", "run ended", "job failed", "decided by n2: a task used up its attempts"} {
		at := strings.Index(out, want)
		if at < last {
			t.Fatalf("%q is missing or out of order in\n%s", want, out)
		}
		last = at
	}
	if strings.Contains(out, "b1") {
		t.Errorf("a line of another job in\n%s", out)
	}
}

// TestTraceOfTask guards against a trace of a task that omits the events of its job.
func TestTraceOfTask(t *testing.T) {
	out, code := runTrace(t, "a1.0.0.0")
	if code != ExitOK || !strings.Contains(out, "run ordered") || !strings.Contains(out, "job failed") {
		t.Fatalf("exit code %d: %s", code, out)
	}
}

// TestTraceUnknown guards against an exit code of success for a job without log lines, and for a missing argument.
func TestTraceUnknown(t *testing.T) {
	if out, code := runTrace(t, "zz"); code != ExitNotFound {
		t.Fatalf("exit code %d: %s", code, out)
	}
	if out, code := runTrace(t); code != ExitUsage {
		t.Fatalf("exit code %d: %s", code, out)
	}
}
