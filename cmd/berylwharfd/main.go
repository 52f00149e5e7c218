// Command berylwharfd is the daemon of an entry VM. It also runs the nodes of the job manager.
//
//	berylwharfd FILE        run an entry node with the settings in FILE
//	berylwharfd check FILE  check the settings in FILE and exit
//	berylwharfd jobs        run a node of the job manager with the settings named by --settings or BERYLWHARF_SETTINGS
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v2"

	"github.com/berylwharf/berylwharf/daemon"
	"github.com/berylwharf/berylwharf/settings"
)

const (
	exitFailure  = 1
	exitSettings = 2
)

func main() {
	app := &cli.App{
		Name:      "berylwharfd",
		Usage:     "run an entry node of berylwharf",
		ArgsUsage: "FILE",
		Action:    run,
		Commands: []*cli.Command{
			{Name: "check", Usage: "check a settings file and exit", ArgsUsage: "FILE", Action: check},
			jobsCommand(),
		},
		ExitErrHandler: func(*cli.Context, error) {},
	}
	err := app.Run(os.Args)
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, err)
	var exitCoder cli.ExitCoder
	if errors.As(err, &exitCoder) {
		os.Exit(exitCoder.ExitCode())
	}
	os.Exit(exitFailure)
}

func loadSettings(c *cli.Context) (*settings.Settings, error) {
	if c.NArg() != 1 {
		return nil, cli.Exit("berylwharfd: expected exactly one argument, the settings file", exitSettings)
	}
	s, err := settings.Load(c.Args().First())
	if err != nil {
		return nil, cli.Exit(err.Error(), exitSettings)
	}
	return s, nil
}

func check(c *cli.Context) error {
	_, err := loadSettings(c)
	return err
}

func run(c *cli.Context) error {
	s, err := loadSettings(c)
	if err != nil {
		return err
	}
	d, err := daemon.New(s, newLogger(s.Log))
	if err != nil {
		return errors.Wrap(err, "berylwharfd")
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return errors.Wrap(d.Run(ctx), "berylwharfd")
}

func newLogger(s settings.Log) *logrus.Logger {
	log := logrus.New()
	log.SetOutput(os.Stderr)
	if s.Format == "json" {
		log.SetFormatter(&logrus.JSONFormatter{})
	} else {
		log.SetFormatter(&logrus.TextFormatter{FullTimestamp: true, DisableColors: true})
	}
	if level, err := logrus.ParseLevel(s.Level); err == nil {
		log.SetLevel(level)
	}
	return log
}
