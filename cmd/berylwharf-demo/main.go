// Command berylwharf-demo runs the whole path on one machine: platform and backend stand-ins, three daemons in three
// availability zones, a mixed load, a drained worker and a killed daemon. It prints what became of the requests and exits
// with a status other than 0 when a promise was broken.
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

// runLimit bounds everything before the stop of the processes, which takes at most two times stopTimeout. Requests in
// flight at the limit take up to 4 s more, so that the demo ends within 60 s.
const runLimit = 40 * time.Second

func main() {
	// The kernel kills started processes when the thread that started them ends, so that thread must be the main one.
	runtime.LockOSThread()
	app := &cli.App{
		Name:      "berylwharf-demo",
		Usage:     "runs stand-ins, daemons and a load, and checks the promises",
		ArgsUsage: " ",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "bin", Usage: "directory of the built programs", Required: true},
			&cli.Float64Flag{Name: "rate", Value: 300, Usage: "requests per second"},
			&cli.DurationFlag{Name: "duration", Value: 20 * time.Second, Usage: "length of the load, 10s to 20s"},
			&cli.StringFlag{Name: "fault", Value: faultKill, Usage: "what happens to a daemon: kill (SIGKILL) or pause (SIGSTOP for 6 s)"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the load"},
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
	ctx, cancelLimit := context.WithTimeout(ctx, runLimit)
	defer cancelLimit()
	d := &demo{
		procs: &procs{dir: dir, bin: c.String("bin")}, dir: dir,
		rate: c.Float64("rate"), duration: duration, seed: c.Uint64("seed"), fault: c.String("fault"), began: time.Now(),
	}
	defer func() {
		err = d.cleanUp(err)
	}()
	if err := d.play(ctx); err != nil {
		return err
	}
	if err := d.stopAll(); err != nil {
		return err
	}
	d.say("all promises were kept")
	return nil
}

// cleanUp ends processes that a failure left, shows the logs after a failure, and removes the temporary directory.
func (d *demo) cleanUp(err error) error {
	if err != nil && len(d.procs.left()) > 0 {
		if stopErr := d.stopAll(); stopErr != nil {
			logrus.Warnf("berylwharf-demo: %v", stopErr)
		}
	}
	d.procs.killAll()
	if err != nil {
		d.procs.tails(os.Stderr)
	}
	if removeErr := os.RemoveAll(d.dir); removeErr != nil && err == nil {
		err = errors.Wrap(removeErr, "remove the temporary directory")
	}
	return err
}

// stopAll stops the daemons, then the backend servers and the platform, and checks that no process is left.
func (d *demo) stopAll() error {
	err := stop(d.daemonProcs)
	rest := stop(d.standInProcs)
	d.procs.killAll()
	if left := d.procs.left(); len(left) > 0 {
		return fmt.Errorf("processes are left: %v", left)
	}
	if err != nil {
		return errors.Wrap(err, "stop")
	}
	return errors.Wrap(rest, "stop")
}
