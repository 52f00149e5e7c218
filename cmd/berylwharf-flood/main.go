// Command berylwharf-flood measures how well the regular requests are served during a flood, under the admission policy in
// use and three baseline policies, and writes tables and plots.
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
	exitTargetMissed = 1 // a target was missed
	exitError        = 2 // invalid arguments, or the experiment failed
)

// errTargetMissed is returned when a target was missed. The report shows which one.
var errTargetMissed = errors.New("a target was missed")

func main() {
	app := &cli.App{
		Name:            "berylwharf-flood",
		Usage:           "measure how well the regular requests are served during a flood",
		HideHelpCommand: true,
		ArgsUsage:       " ",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "scenarios", Value: "none,batch,urgent,both,saturated", Usage: "names of scenarios, separated by commas"},
			&cli.StringFlag{Name: "policies", Value: "Weighted,FirstInFirstOut,FixedPriority,EqualShares", Usage: "names of policies, separated by commas"},
			&cli.DurationFlag{Name: "max-run", Usage: "maxRunMs of the services (0: default)"},
			&cli.StringFlag{Name: "out", Usage: "directory for the report and the plots; without it, only the report is printed"},
		},
		Action: run,
		Commands: []*cli.Command{{
			Name: "traces", Usage: "regenerate the recorded traces", ArgsUsage: " ",
			Flags: []cli.Flag{
				&cli.StringFlag{Name: "dir", Value: "flood/traces", Usage: "output directory of the traces"},
				&cli.Uint64Flag{Name: "seed", Value: flood.DefaultSeed, Usage: "random seed of the traces"},
			},
			Action: func(c *cli.Context) error { return flood.WriteTraces(c.String("dir"), c.Uint64("seed")) },
		}},
	}
	err := app.Run(os.Args)
	if err == nil {
		return
	}
	logrus.Errorf("berylwharf-flood: %v", err)
	if errors.Is(err, errTargetMissed) {
		os.Exit(exitTargetMissed)
	}
	os.Exit(exitError)
}

func run(c *cli.Context) error {
	if c.NArg() > 0 {
		return errors.Errorf("unexpected argument %q", c.Args().First())
	}
	scenarios, err := selectByName("-scenarios", c.String("scenarios"), flood.Scenarios(), func(s flood.Scenario) string { return s.Name })
	if err != nil {
		return err
	}
	policies, err := selectByName("-policies", c.String("policies"), flood.Policies(), func(p flood.Policy) string { return p.Name })
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
	if err := writeReport(report, c.String("out")); err != nil {
		return err
	}
	for _, check := range report.Checks() {
		if !check.OK {
			return errTargetMissed
		}
	}
	return nil
}

// selectByName returns the items of all whose names are in the comma-separated list, in the order of all.
func selectByName[T any](option, list string, all []T, name func(T) string) ([]T, error) {
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

func writeReport(r *flood.Report, dir string) error {
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
