// Command berylwharf-load sends a recorded trace or a load generated from a seed to entry nodes and checks the responses
// against the runs that the backend servers counted.
package main

import (
	"context"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v2"

	"github.com/berylwharf/berylwharf/load"
)

// Exit codes.
const (
	exitViolation = 1 // a guarantee was violated
	exitError     = 2 // invalid arguments, or the load or the check could not run
)

// errViolation is returned when the check found a violated guarantee. The report shows which one.
var errViolation = errors.New("a guarantee was violated")

func main() {
	app := &cli.App{
		Name:            "berylwharf-load",
		Usage:           "send a load to entry nodes and check the responses",
		ArgsUsage:       " ",
		HideHelpCommand: true,
		Flags:           flags(),
		Action:          run,
	}
	err := app.Run(os.Args)
	if err == nil {
		return
	}
	logrus.Errorf("berylwharf-load: %v", err)
	if errors.Is(err, errViolation) {
		os.Exit(exitViolation)
	}
	os.Exit(exitError)
}

func flags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "entry", Usage: "entry addresses, separated by commas", Required: true},
		&cli.StringFlag{Name: "backends", Usage: "addresses of the backend stand-ins for GET /runs, separated by commas", Required: true},
		&cli.StringFlag{Name: "trace", Usage: "trace file to replay (JSON lines), instead of a generated schedule"},
		&cli.StringFlag{Name: "write-trace", Usage: "write the generated schedule to a file and exit"},
		&cli.StringFlag{Name: "mix", Value: "booking:tanglaw:urgent:POST:1,readings:coldroot:normal:GET:1",
			Usage: "service:customer:urgency:method:weight, separated by commas"},
		&cli.Float64Flag{Name: "rate", Value: 50, Usage: "requests per second"},
		&cli.DurationFlag{Name: "duration", Value: 10 * time.Second, Usage: "duration of the schedule"},
		&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "random seed of the schedule"},
		&cli.Float64Flag{Name: "burst-factor", Value: 5, Usage: "rate in bursts, as a multiple of -rate"},
		&cli.Float64Flag{Name: "quiet-factor", Value: 1, Usage: "rate between bursts, as a multiple of -rate"},
		&cli.DurationFlag{Name: "burst-every", Usage: "time from the start of a burst to the start of the next (0: no bursts)"},
		&cli.DurationFlag{Name: "burst-length", Value: 2 * time.Second, Usage: "duration of a burst"},
		&cli.IntFlag{Name: "body-bytes", Value: 200, Usage: "size of the body of a booking in bytes"},
		&cli.Int64Flag{Name: "deadline-ms", Value: 5000, Usage: "deadline of each request in milliseconds"},
		&cli.IntFlag{Name: "retries", Usage: "maximum number of further attempts, at other addresses with the same key"},
		&cli.DurationFlag{Name: "retry-delay", Value: load.DefaultRetryDelay, Usage: "delay before a retry, unless Retry-After is longer"},
		&cli.IntFlag{Name: "max-in-flight", Value: load.DefaultMaxInFlight, Usage: "maximum number of requests in flight"},
		&cli.DurationFlag{Name: "settle", Value: 30 * time.Second, Usage: "how long to wait for requests that still run at backend servers at the end"},
		&cli.BoolFlag{Name: "json", Usage: "print the report as JSON"},
	}
}

func run(c *cli.Context) error {
	if c.NArg() > 0 {
		return errors.Errorf("unexpected argument %q", c.Args().First())
	}
	events, err := loadEvents(c)
	if err != nil {
		return err
	}
	if file := c.String("write-trace"); file != "" {
		return writeTrace(file, events)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	res, err := load.Run(ctx, load.Config{
		Entries:     splitList(c.String("entry")),
		Retries:     c.Int("retries"),
		RetryDelay:  c.Duration("retry-delay"),
		MaxInFlight: c.Int("max-in-flight"),
	}, events)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.Duration("settle"))
	defer cancel()
	runs, err := load.FetchRuns(ctx, splitList(c.String("backends")))
	if err != nil {
		return errors.Wrap(err, "fetch the runs of the backend servers")
	}
	return printReport(load.Check(res, runs), c.Bool("json"))
}

func printReport(report *load.Report, asJSON bool) error {
	write := report.WriteTable
	if asJSON {
		write = report.WriteJSON
	}
	if err := write(os.Stdout); err != nil {
		return err
	}
	if report.Violated() {
		return errViolation
	}
	return nil
}

func loadEvents(c *cli.Context) ([]load.Event, error) {
	if file := c.String("trace"); file != "" {
		f, err := os.Open(file)
		if err != nil {
			return nil, err
		}
		defer func() { _ = f.Close() }()
		events, err := load.ReadTrace(f)
		return events, errors.Wrap(err, file)
	}
	classes, err := load.ParseMix(c.String("mix"))
	if err != nil {
		return nil, err
	}
	for i := range classes {
		classes[i].BodyBytes = c.Int("body-bytes")
		classes[i].DeadlineMs = c.Int64("deadline-ms")
	}
	rate := load.Rate{
		Seed: c.Uint64("seed"), PerSecond: c.Float64("rate"), Duration: c.Duration("duration"), Classes: classes,
		BurstFactor: c.Float64("burst-factor"), QuietFactor: c.Float64("quiet-factor"),
		BurstEvery: c.Duration("burst-every"), BurstLength: c.Duration("burst-length"),
	}
	return rate.Generate()
}

func writeTrace(file string, events []load.Event) error {
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	if err := load.WriteTrace(f, events); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}

func splitList(s string) []string {
	var out []string
	for _, part := range strings.Split(s, ",") {
		if part = strings.TrimSpace(part); part != "" {
			out = append(out, part)
		}
	}
	return out
}
