package command

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v2"

	"github.com/berylwharf/berylwharf/jobmanager"
	"github.com/berylwharf/berylwharf/operator"
	"github.com/berylwharf/berylwharf/resource"
)

// maxExplainAnswer bounds the answer of a node in bytes.
const maxExplainAnswer = 4 << 20

func (b *builder) explain() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "show what a VM or a wave is waiting for, or where a request or a job would go now",
		ArgsUsage: "vm NAME | wave NAME | request HOST PATH | job HOST PATH FILE",
		Description: "A request or a job is not sent: a node of the job manager (--node) asks the owner of the pool, and nothing changes.\n" +
			"FILE holds the body of the job, - stands for standard input.",
		Flags: sharedFlags(
			&cli.StringFlag{Name: "node", Usage: "admin `ADDRESS` of a node of the job manager; for request and job", EnvVars: []string{"BERYLWHARF_NODE"}},
			&cli.StringFlag{Name: "customer", Usage: "`NAME` of the customer that calls; for request and job"},
			&cli.BoolFlag{Name: "json", Usage: "the same as -o json"},
		),
		Action: b.action(runExplain),
	}
}

func runExplain(ctx context.Context, s *session) error {
	switch s.Args().First() {
	case "request":
		return explainCall(ctx, s, 3)
	case "job":
		return explainCall(ctx, s, 4)
	}
	key, err := parseKeyArgs(s.Context)
	if err != nil {
		return err
	}
	if key.Kind != resource.KindVM && key.Kind != resource.KindWave {
		return usageErrorf("only a vm, a wave, a request or a job can be explained, not a %s", key.Kind)
	}
	if _, err := s.client.Get(ctx, key); err != nil {
		return err
	}
	return printPlan(ctx, s, func(step operator.PlanStep) bool {
		return key.Kind == resource.KindVM && step.VM == key.Name || key.Kind == resource.KindWave && step.Wave == key.Name
	}, func(w operator.WaveProgress) bool { return key.Kind == resource.KindWave && w.Name == key.Name })
}

// explainCall explains a request or, with four arguments, a job.
func explainCall(ctx context.Context, s *session, count int) error {
	args, err := checkArgCount(s.Context, count, count)
	if err != nil {
		return err
	}
	if s.String("node") == "" {
		return usageErrorf("no node; set --node or BERYLWHARF_NODE to the admin address of a node of the job manager")
	}
	if !strings.HasPrefix(args[2], "/") {
		return usageErrorf("path %q does not begin with /", args[2])
	}
	req := jobmanager.ExplainRequest{Host: args[1], Path: args[2], Customer: s.String("customer")}
	if count == 4 {
		body, err := readBody(s, args[3])
		if err != nil {
			return err
		}
		req.Job = &body
	}
	answer, err := askNode(ctx, s.String("node"), req)
	if err != nil {
		return err
	}
	if s.json() || s.Bool("json") {
		return s.printJSON(answer)
	}
	printCall(s.env.Stdout, answer, count == 4)
	return nil
}

func readBody(s *session, name string) (string, error) {
	if name == "-" {
		b, err := io.ReadAll(s.env.Stdin)
		return string(b), errors.Wrap(err, "read standard input")
	}
	b, err := os.ReadFile(name)
	return string(b), errors.Wrap(err, "read the job")
}

// askNode sends an explain request to the admin address of a node.
func askNode(ctx context.Context, node string, req jobmanager.ExplainRequest) (*jobmanager.CallExplanation, error) {
	data, err := json.Marshal(req)
	if err != nil {
		return nil, errors.Wrap(err, "encode the request")
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+node+"/explain", bytes.NewReader(data))
	if err != nil {
		return nil, usageErrorf("node %q: %v", node, err)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, errors.Wrapf(err, "ask node %s", node)
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxExplainAnswer))
	if err != nil {
		return nil, errors.Wrapf(err, "read the answer of node %s", node)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("node %s answered %d: %s", node, resp.StatusCode, strings.TrimSpace(string(b)))
	}
	var answer jobmanager.CallExplanation
	return &answer, errors.Wrapf(json.Unmarshal(b, &answer), "decode the answer of node %s", node)
}

// printCall prints an explanation as a table.
func printCall(out io.Writer, e *jobmanager.CallExplanation, isJob bool) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	line := func(name, format string, args ...any) { _, _ = fmt.Fprintf(w, name+"\t"+format+"\n", args...) }
	age := "the node has never read all of it"
	if e.AgeMs >= 0 {
		age = fmt.Sprintf("known as of %d ms ago", e.AgeMs)
	}
	line("configuration", "version %d, %s", e.Version, age)
	if e.Route != "" {
		public := ""
		if e.Public {
			public = ", public"
		}
		line("route", "%s (%s)%s", e.Route, e.Queue, public)
		line("pool", "%s", e.Pool)
	}
	if o := e.Owner; o != nil {
		if o.Pool != e.Pool {
			line("redirected", "to pool %s", o.Pool)
		}
		line("owner", "%s of shard %d, epoch %d", o.Owner, o.Shard, o.Epoch)
		printOwner(line, e)
	} else if e.KnownOwner != "" {
		line("owner", "%s of shard %d as far as the node knows; no answer from it", e.KnownOwner, e.Shard)
	}
	switch r := e.Refusal; {
	case r != nil:
		retry := ""
		if r.RetryAfterMs > 0 {
			retry = fmt.Sprintf(", Retry-After %d s", (r.RetryAfterMs+999)/1000)
		}
		line("refused", "%d %s (%s)%s: %s", r.Status, r.Reason, r.Verdict, retry, r.Message)
	case isJob:
		line("answer", "accepted")
	default:
		line("answer", "the owner would answer")
	}
	// Errors of standard output are not reported, as in the other commands.
	_ = w.Flush()
}

// printOwner prints what the owner of the pool says.
func printOwner(line func(name, format string, args ...any), e *jobmanager.CallExplanation) {
	x := &e.Owner.Job
	if c := x.Customer; c != nil {
		limit := "no cap"
		if c.Cap != nil {
			limit = "cap " + c.Cap.String()
		}
		line("customer", "%s, %s (configuration %d), in use %v, late starts %v", c.Name, limit, c.Version, c.InUse, c.LateStarts)
		if c.Limited {
			line("grant", "%d.%d of %v, %d ms old (configuration %d)", c.GrantEpoch, c.GrantNumber, c.Grant, c.GrantAgeMs, c.GrantVersion)
		}
	}
	line("backlog", "%d ms of jobs that can be on time, %d ms in all", x.OnTimeBacklogMs, x.BacklogMs)
	if x.Known {
		line("job", "%s is known, state %s", e.Job, x.State)
	} else if e.Job != "" {
		line("job", "%s is not known", e.Job)
	}
	for _, r := range x.Reasons {
		line("reason", "%s", r)
	}
	if x.DueMs != 0 {
		line("due", "first at %d (Unix time in ms)", x.DueMs)
	}
	p := x.Place
	if p == nil {
		return
	}
	position := fmt.Sprintf("%d of %d in the queue", p.Position, p.Queued)
	if p.Position == 0 {
		position = fmt.Sprintf("kept out of the queue of %d by the grant", p.Queued)
	}
	line("place", "%s; %s", position, p.Needs)
	for _, c := range p.Conditions {
		line("workers", "%d %s", c.Workers, c.Name)
	}
	if p.Worker != "" {
		line("worker", "%s for the first task", p.Worker)
	}
	for _, t := range p.Workers {
		line("tasks", "%d on %s", t.Tasks, t.Worker)
	}
	if p.Waits != "" {
		line("waits", "%s", p.Waits)
	}
}
