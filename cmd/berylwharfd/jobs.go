package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v2"

	"github.com/berylwharf/berylwharf/jobdaemon"
	"github.com/berylwharf/berylwharf/jobmanager"
)

// jobsCommand returns the subcommand that runs a node of the job manager.
func jobsCommand() *cli.Command {
	return &cli.Command{
		Name:  "jobs",
		Usage: "run a node of the job manager on a platform",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "settings file", EnvVars: []string{"BERYLWHARF_SETTINGS"}, Required: true},
			&cli.BoolFlag{Name: "check", Usage: "check the settings file and exit"},
		},
		Action: runJobs,
	}
}

func runJobs(c *cli.Context) error {
	settings, err := jobmanager.LoadSettings(c.String("settings"))
	if err != nil {
		return cli.Exit(err.Error(), exitSettings)
	}
	if c.Bool("check") {
		return nil
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	// SIGHUP must not terminate the process. It does not reload the settings, which are read only at the start.
	signal.Ignore(syscall.SIGHUP)
	d, err := jobdaemon.Start(settings, os.Stdout)
	if err != nil {
		return errors.Wrap(err, "berylwharfd jobs")
	}
	<-ctx.Done()
	d.Stop()
	return nil
}
