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

// maxLogLine bounds a line of a log.
const maxLogLine = 1 << 20

// traceLine is a line of a node's log. Fields that a line does not have are zero.
type traceLine struct {
	Time   time.Time `json:"time"`
	Node   string    `json:"node"`
	Msg    string    `json:"msg"`
	Job    string    `json:"job"`
	Task   string    `json:"task"`
	Run    int       `json:"run"`
	Pool   string    `json:"pool"`
	Queue  string    `json:"queue"`
	Worker string    `json:"worker"`
	Epoch  int64     `json:"epoch"`
	Why    string    `json:"why"`
	AgeMs  int64     `json:"ageMs"`
	Count  int64     `json:"count"`
}

// deciding holds the messages that decide what a caller sees of a job.
var deciding = map[string]string{
	"callers: refused":   "the caller was refused",
	"job: job refused":   "the owner refused the job",
	"job: job completed": "all tasks ended as done",
	"job: job failed":    "a task used up its attempts",
	"job: job cancelled": "the job was cancelled",
}

func (r *runner) trace() *cli.Command {
	return &cli.Command{
		Name:      "trace",
		Usage:     "print the story of a job or task from the logs of the nodes",
		ArgsUsage: "ID [FILE...]",
		Description: "Reads the JSON lines of the nodes' logs from the files, or from standard input, and prints those on the job\n" +
			"or task in the order of their times. Clocks of nodes may differ; lines of one node keep their order.",
		Action: r.runTrace,
	}
}

func (r *runner) runTrace(c *cli.Context) error {
	if !c.Args().Present() {
		return usagef("trace needs the identifier of a job or task")
	}
	id := c.Args().First()
	lines, err := r.readLogs(c.Args().Tail(), id)
	if err != nil {
		return err
	}
	if len(lines) == 0 {
		return &codedError{ExitNotFound, fmt.Sprintf("no line about %q", id)}
	}
	slices.SortStableFunc(lines, func(a, b traceLine) int { return a.Time.Compare(b.Time) })
	printTrace(r.env.Stdout, lines)
	return nil
}

// readLogs returns the lines about a job or task.
func (r *runner) readLogs(files []string, id string) ([]traceLine, error) {
	if len(files) == 0 {
		return traceLines(r.env.Stdin, id)
	}
	var lines []traceLine
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, errors.Wrap(err, "reading a log")
		}
		more, err := traceLines(f, id)
		_ = f.Close()
		if err != nil {
			return nil, errors.Wrapf(err, "reading %s", name)
		}
		lines = append(lines, more...)
	}
	return lines, nil
}

// traceLines returns the lines about a job or task. What precedes the JSON object on a line is skipped, as is a line without
// one: collectors add prefixes, and other programs write to the same files.
func traceLines(in io.Reader, id string) ([]traceLine, error) {
	var out []traceLine
	job, _, _ := strings.Cut(id, ".")
	s := bufio.NewScanner(in)
	s.Buffer(nil, maxLogLine)
	for s.Scan() {
		_, object, found := strings.Cut(s.Text(), "{")
		if !found || !strings.Contains(object, job) {
			continue
		}
		var l traceLine
		if json.Unmarshal([]byte("{"+object), &l) != nil || !l.concerns(id) {
			continue
		}
		out = append(out, l)
	}
	return out, s.Err()
}

// concerns tells whether a line is about a job, or about a task or its job.
func (l traceLine) concerns(id string) bool {
	job, _, isTask := strings.Cut(id, ".")
	if !isTask {
		return l.Job == id
	}
	return l.Task == id || (l.Job == job && l.Task == "")
}

func printTrace(out io.Writer, lines []traceLine) {
	begin := lines[0].Time
	for _, l := range lines {
		_, _ = fmt.Fprintf(out, "%9.3fs  %-22s %-24s %s\n", l.Time.Sub(begin).Seconds(), l.Node, l.Msg, l.details())
	}
	decision := decisionOf(lines)
	if decision == nil {
		_, _ = fmt.Fprintln(out, "\nno decision yet: the job waits or runs")
		return
	}
	_, _ = fmt.Fprintf(out, "\ndecided by %s: %s", decision.Node, deciding[decision.Msg])
	if decision.Why != "" {
		_, _ = fmt.Fprintf(out, " (%s)", decision.Why)
	}
	_, _ = fmt.Fprintln(out)
}

// decisionOf returns the line that decided what the caller sees: the last end of the job, or else the last refusal.
func decisionOf(lines []traceLine) *traceLine {
	var refusal *traceLine
	for i := len(lines) - 1; i >= 0; i-- {
		l := &lines[i]
		if deciding[l.Msg] == "" {
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

// details returns the fields of a line that explain it.
func (l traceLine) details() string {
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
	text("pool", l.Pool)
	number("epoch", l.Epoch)
	number("ageMs", l.AgeMs)
	number("count", l.Count)
	text("why", l.Why)
	return strings.Join(parts, " ")
}
