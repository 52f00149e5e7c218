package command

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v2"
)

// maxLogLine limits the length of a log line in bytes.
const maxLogLine = 1 << 20

// logLine is a line of a node's log. Fields that the line does not contain are zero.
type logLine struct {
	Time  time.Time `json:"time"`
	Node  string    `json:"node"`
	Msg   string    `json:"msg"`
	Job   string    `json:"job"`
	Task  string    `json:"task"`
	Run   int       `json:"run"`
	Pool  string    `json:"pool"`
	Queue string    `json:"queue"`
	// Customer is the customer of a call.
	Customer string `json:"customer"`
	Worker   string `json:"worker"`
	Epoch    int64  `json:"epoch"`
	Why      string `json:"why"`
	AgeMs    int64  `json:"ageMs"`
	Count    int64  `json:"count"`
}

// decisiveEvents maps the log messages that determine the result of a job for its caller to an explanation.
var decisiveEvents = map[string]string{
	"callers: refused":            "the caller was refused",
	"job: job refused":            "the owner refused the job",
	"job: job refused over rate":  "the owner refused the job, which exceeds the rate of its customer",
	"job: job refused over share": "the owner refused the job for the backlog of its customer",
	"job: job completed":          "all tasks are done",
	"job: job failed":             "a task used up its attempts",
	"job: job cancelled":          "the job was cancelled",
}

func (b *builder) trace() *cli.Command {
	return &cli.Command{
		Name:      "trace",
		Usage:     "print the events of a job or task from the logs of the nodes",
		ArgsUsage: "ID [FILE...]",
		Description: "Reads the JSON lines of the nodes' logs from the files, or from standard input, and prints those about the job\n" +
			"or task in order of time. Clocks of nodes may differ; lines of one node keep their order.",
		Action: b.runTrace,
	}
}

func (b *builder) runTrace(c *cli.Context) error {
	if !c.Args().Present() {
		return usageErrorf("trace needs the identifier of a job or task")
	}
	id := c.Args().First()
	lines, err := b.readLogs(c.Args().Tail(), id)
	if err != nil {
		return err
	}
	if len(lines) == 0 {
		return &codedError{ExitNotFound, fmt.Sprintf("no log line about %q", id)}
	}
	slices.SortStableFunc(lines, func(x, y logLine) int { return x.Time.Compare(y.Time) })
	printTrace(b.env.Stdout, lines)
	return nil
}

// readLogs returns the lines about a job or task from the files, or from standard input if there are none.
func (b *builder) readLogs(files []string, id string) ([]logLine, error) {
	if len(files) == 0 {
		return parseLogLines(b.env.Stdin, id)
	}
	var lines []logLine
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, errors.Wrap(err, "open log file")
		}
		more, err := parseLogLines(f, id)
		_ = f.Close()
		if err != nil {
			return nil, errors.Wrapf(err, "read %s", name)
		}
		lines = append(lines, more...)
	}
	return lines, nil
}

// parseLogLines returns the lines about a job or task. It ignores text before the JSON object on a line, because log
// collectors add prefixes, and lines without an object, because other programs write to the same files.
func parseLogLines(in io.Reader, id string) ([]logLine, error) {
	var out []logLine
	job, _, _ := strings.Cut(id, ".")
	s := bufio.NewScanner(in)
	s.Buffer(nil, maxLogLine)
	for s.Scan() {
		_, object, found := strings.Cut(s.Text(), "{")
		if !found || !strings.Contains(object, job) {
			continue
		}
		var l logLine
		if json.Unmarshal([]byte("{"+object), &l) != nil || !l.matches(id) {
			continue
		}
		out = append(out, l)
	}
	return out, s.Err()
}

// matches reports whether a line is about the job with the given identifier, or, if it is the identifier of a task, about
// the task or its job.
func (l logLine) matches(id string) bool {
	job, _, isTask := strings.Cut(id, ".")
	if !isTask {
		return l.Job == id
	}
	return l.Task == id || (l.Job == job && l.Task == "")
}

func printTrace(out io.Writer, lines []logLine) {
	begin := lines[0].Time
	for _, l := range lines {
		_, _ = fmt.Fprintf(out, "%9.3fs  %-22s %-24s %s\n", l.Time.Sub(begin).Seconds(), l.Node, l.Msg, l.details())
	}
	decision := findDecision(lines)
	if decision == nil {
		_, _ = fmt.Fprintln(out, "\nno decision yet: the job is waiting or running")
		return
	}
	_, _ = fmt.Fprintf(out, "\ndecided by %s: %s", decision.Node, decisiveEvents[decision.Msg])
	if decision.Why != "" {
		_, _ = fmt.Fprintf(out, " (%s)", decision.Why)
	}
	_, _ = fmt.Fprintln(out)
}

// findDecision returns the line that determined the result for the caller: the last end of the job, or else the last
// refusal, or nil.
func findDecision(lines []logLine) *logLine {
	var refusal *logLine
	for i := len(lines) - 1; i >= 0; i-- {
		l := &lines[i]
		if decisiveEvents[l.Msg] == "" {
			continue
		}
		if !strings.HasSuffix(l.Msg, "refused") {
			return l
		}
		if refusal == nil {
			refusal = l
		}
	}
	return refusal
}

// details returns the fields of a line, other than time, node, message and job, as key=value pairs.
func (l logLine) details() string {
	var parts []string
	text := func(name, value string) {
		if value != "" {
			parts = append(parts, name+"="+value)
		}
	}
	number := func(name string, value int64) {
		if value != 0 {
			parts = append(parts, fmt.Sprintf("%s=%d", name, value))
		}
	}
	text("task", l.Task)
	number("run", int64(l.Run))
	text("worker", l.Worker)
	text("queue", l.Queue)
	text("customer", l.Customer)
	text("pool", l.Pool)
	number("epoch", l.Epoch)
	number("ageMs", l.AgeMs)
	number("count", l.Count)
	text("why", l.Why)
	return strings.Join(parts, " ")
}
