// Command berylwharf-demo runs a complete deployment on one machine: platform and backend stand-ins, and three daemons in
// three availability zones. It sends a mixed load, meanwhile drains a worker and kills or pauses a daemon, and prints the
// outcomes of the requests. It exits with a non-zero status if a guarantee was violated.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v2"
)

// runTimeout limits the run up to the stop of the processes. The stop takes at most twice stopTimeout, and requests in
// flight at the timeout take up to 4 s more, so that the demo ends within 60 s.
const runTimeout = 40 * time.Second

func main() {
	// Child processes are started with Pdeathsig: the kernel kills them when the thread that started them exits. That
	// thread must therefore be the main thread, which exists as long as the process.
	runtime.LockOSThread()
	app := &cli.App{
		Name:      "berylwharf-demo",
		Usage:     "run stand-ins, daemons and a load with faults, and check the guarantees",
		ArgsUsage: " ",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "bin", Usage: "directory of the executables", Required: true},
			&cli.Float64Flag{Name: "rate", Value: 300, Usage: "requests per second"},
			&cli.DurationFlag{Name: "duration", Value: 20 * time.Second, Usage: "duration of the load, 10s to 20s"},
			&cli.StringFlag{Name: "fault", Value: faultKill, Usage: "fault injected into a daemon: kill (SIGKILL) or pause (SIGSTOP for 6 s)"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "random seed of the load"},
		},
		Action: run,
	}
	if err := app.Run(os.Args); err != nil {
		logrus.Errorf("berylwharf-demo: %v", err)
		os.Exit(1)
	}
}

func run(c *cli.Context) (err error) {
	duration := c.Duration("duration")
	if duration < 10*time.Second || duration > 20*time.Second {
		return fmt.Errorf("duration: %s (permitted: 10s to 20s)", duration)
	}
	if f := c.String("fault"); f != faultKill && f != faultPause {
		return fmt.Errorf("fault: %q (permitted: kill, pause)", f)
	}
	dir, err := os.MkdirTemp("", "berylwharf-demo-")
	if err != nil {
		return err
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	ctx, cancelLimit := context.WithTimeout(ctx, runTimeout)
	defer cancelLimit()
	d := &demo{
		procs: &procs{dir: dir, bin: c.String("bin")}, dir: dir,
		rate: c.Float64("rate"), duration: duration, seed: c.Uint64("seed"), fault: c.String("fault"), startTime: time.Now(),
	}
	defer func() {
		err = d.cleanUp(err)
	}()
	if err := d.execute(ctx); err != nil {
		return err
	}
	if err := d.stopAll(); err != nil {
		return err
	}
	d.logf("no guarantee was violated")
	return nil
}

// cleanUp stops the processes that a failure left running, prints the ends of the logs after a failure, and removes the
// temporary directory.
func (d *demo) cleanUp(err error) error {
	if err != nil && len(d.procs.remaining()) > 0 {
		if stopErr := d.stopAll(); stopErr != nil {
			logrus.Warnf("berylwharf-demo: %v", stopErr)
		}
	}
	d.procs.killAll()
	if err != nil {
		d.procs.writeLogTails(os.Stderr)
	}
	if removeErr := os.RemoveAll(d.dir); removeErr != nil && err == nil {
		err = errors.Wrap(removeErr, "remove the temporary directory")
	}
	return err
}

// stopAll stops the daemons, then the stand-ins, and checks that no process remains.
func (d *demo) stopAll() error {
	err := stop(d.daemonProcs)
	standInErr := stop(d.standInProcs)
	d.procs.killAll()
	if remaining := d.procs.remaining(); len(remaining) > 0 {
		return fmt.Errorf("processes still running after the stop: %v", remaining)
	}
	if err != nil {
		return errors.Wrap(err, "stop")
	}
	return errors.Wrap(standInErr, "stop")
}
