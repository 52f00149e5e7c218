// Command berylwharf-load sends a recorded trace or a seeded load to entry nodes and checks the answers against the runs
// that the backend servers counted.
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
	exitBroken = 1 // a promise was broken
	exitError  = 2 // wrong usage, or the check could not be made
)

// errBroken is returned when the check found a broken promise. The report shows it.
var errBroken = errors.New("a promise was broken")

func main() {
	app := &cli.App{
		Name:            "berylwharf-load",
		Usage:           "load generator and checker",
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
	if errors.Is(err, errBroken) {
		os.Exit(exitBroken)
	}
	os.Exit(exitError)
}

func flags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "entry", Usage: "entry addresses, separated by commas", Required: true},
		&cli.StringFlag{Name: "backends", Usage: "addresses of the backend stand-ins for GET /runs, separated by commas", Required: true},
		&cli.StringFlag{Name: "trace", Usage: "trace to play (JSON lines); replaces -rate"},
		&cli.StringFlag{Name: "write-trace", Usage: "write the generated schedule to a file and exit"},
		&cli.StringFlag{Name: "mix", Value: "booking:tanglaw:urgent:POST:1,readings:coldroot:normal:GET:1",
			Usage: "service:customer:urgency:method:weight, separated by commas"},
		&cli.Float64Flag{Name: "rate", Value: 50, Usage: "requests per second"},
		&cli.DurationFlag{Name: "duration", Value: 10 * time.Second, Usage: "length of the schedule"},
		&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the schedule"},
		&cli.Float64Flag{Name: "burst-factor", Value: 5, Usage: "rate in bursts, as a multiple of -rate"},
		&cli.Float64Flag{Name: "quiet-factor", Value: 1, Usage: "rate between bursts, as a multiple of -rate"},
		&cli.DurationFlag{Name: "burst-every", Usage: "time from burst to burst (0: no bursts)"},
		&cli.DurationFlag{Name: "burst-length", Value: 2 * time.Second, Usage: "length of a burst"},
		&cli.IntFlag{Name: "body-bytes", Value: 200, Usage: "size of the body of a booking"},
		&cli.Int64Flag{Name: "deadline-ms", Value: 5000, Usage: "deadline of each request in milliseconds"},
		&cli.IntFlag{Name: "retries", Usage: "further attempts with the same key at other addresses"},
		&cli.DurationFlag{Name: "retry-delay", Value: load.DefaultRetryDelay, Usage: "pause before a retry"},
		&cli.IntFlag{Name: "max-in-flight", Value: load.DefaultMaxInFlight, Usage: "bound of requests that wait for an answer"},
		&cli.DurationFlag{Name: "settle", Value: 30 * time.Second, Usage: "how long to wait at the end for running requests"},
		&cli.BoolFlag{Name: "json", Usage: "print the report as JSON"},
	}
}

func run(c *cli.Context) error {
	if c.NArg() > 0 {
		return errors.Errorf("unexpected argument %q", c.Args().First())
	}
	events, err := schedule(c)
	if err != nil {
		return err
	}
	if file := c.String("write-trace"); file != "" {
		return writeTrace(file, events)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	res, err := load.Run(ctx, load.Config{
		Entries:     split(c.String("entry")),
		Retries:     c.Int("retries"),
		RetryDelay:  c.Duration("retry-delay"),
		MaxInFlight: c.Int("max-in-flight"),
	}, events)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.Duration("settle"))
	defer cancel()
	runs, err := load.FetchRuns(ctx, split(c.String("backends")))
	if err != nil {
		return errors.Wrap(err, "the check could not be made")
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
	if report.Broken() {
		return errBroken
	}
	return nil
}

func schedule(c *cli.Context) ([]load.Event, error) {
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

func split(s string) []string {
	var out []string
	for _, part := range strings.Split(s, ",") {
		if part = strings.TrimSpace(part); part != "" {
			out = append(out, part)
		}
	}
	return out
}
