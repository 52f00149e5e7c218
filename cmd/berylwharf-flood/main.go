// Command berylwharf-flood measures what the other work keeps during a flood, under the admission policy in use and three
// baselines, and writes tables and plots.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v2"

	"github.com/berylwharf/berylwharf/flood"
)

// Exit codes.
const (
	exitMissed = 1 // a target was missed
	exitError  = 2 // wrong usage, or the experiment could not be made
)

// errMissed is returned when a target was missed. The report shows which.
var errMissed = errors.New("a target was missed")

func main() {
	app := &cli.App{
		Name:            "berylwharf-flood",
		Usage:           "measure what the other work keeps during a flood",
		HideHelpCommand: true,
		ArgsUsage:       " ",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "scenarios", Value: "none,batch,urgent,both,saturated", Usage: "scenarios, separated by commas"},
			&cli.StringFlag{Name: "policies", Value: "Weighted,FirstInFirstOut,FixedPriority,EqualShares", Usage: "policies, separated by commas"},
			&cli.DurationFlag{Name: "max-run", Usage: "maxRunMs of the services (0: the default)"},
			&cli.StringFlag{Name: "out", Usage: "directory for the report and the plots"},
		},
		Action: run,
		Commands: []*cli.Command{{
			Name: "traces", Usage: "regenerate the recorded traces", ArgsUsage: " ",
			Flags: []cli.Flag{
				&cli.StringFlag{Name: "dir", Value: "flood/traces", Usage: "directory of the traces"},
				&cli.Uint64Flag{Name: "seed", Value: flood.DefaultSeed, Usage: "seed of the traces"},
			},
			Action: func(c *cli.Context) error { return flood.WriteTraces(c.String("dir"), c.Uint64("seed")) },
		}},
	}
	err := app.Run(os.Args)
	if err == nil {
		return
	}
	logrus.Errorf("berylwharf-flood: %v", err)
	if errors.Is(err, errMissed) {
		os.Exit(exitMissed)
	}
	os.Exit(exitError)
}

func run(c *cli.Context) error {
	if c.NArg() > 0 {
		return errors.Errorf("unexpected argument %q", c.Args().First())
	}
	scenarios, err := choose("-scenarios", c.String("scenarios"), flood.Scenarios(), func(s flood.Scenario) string { return s.Name })
	if err != nil {
		return err
	}
	policies, err := choose("-policies", c.String("policies"), flood.Policies(), func(p flood.Policy) string { return p.Name })
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	samples, err := flood.Run(ctx, flood.Config{
		Scenarios: scenarios, Policies: policies, MaxRun: c.Duration("max-run"),
		Progress: func(scenario, policy string) {
			fmt.Fprintf(os.Stderr, "%s scenario %s, policy %s\n", time.Now().Format(time.TimeOnly), scenario, policy)
		},
	})
	if err != nil {
		return err
	}
	report := flood.NewReport(samples)
	if err := write(report, c.String("out")); err != nil {
		return err
	}
	for _, check := range report.Checks() {
		if !check.OK {
			return errMissed
		}
	}
	return nil
}

// choose returns the named items of a list in the order of all.
func choose[T any](option, list string, all []T, name func(T) string) ([]T, error) {
	wanted := map[string]bool{}
	for part := range strings.SplitSeq(list, ",") {
		wanted[strings.TrimSpace(part)] = true
	}
	var chosen []T
	var names []string
	for _, item := range all {
		names = append(names, name(item))
		if wanted[name(item)] {
			chosen = append(chosen, item)
			delete(wanted, name(item))
		}
	}
	for unknown := range wanted {
		return nil, errors.Errorf("%s: %q (permitted: %s)", option, unknown, strings.Join(names, ", "))
	}
	return chosen, nil
}

func write(r *flood.Report, dir string) error {
	if err := r.WriteMarkdown(os.Stdout); err != nil || dir == "" {
		return err
	}
	if err := r.WritePlots(dir); err != nil {
		return err
	}
	f, err := os.Create(filepath.Join(dir, "results.md"))
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(f, "## Flood run of %s\n\n", time.Now().UTC().Format("2006-01-02 15:04 MST")); err != nil {
		_ = f.Close()
		return err
	}
	if err := r.WriteMarkdown(f); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}
