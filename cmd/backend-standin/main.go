// Command backend-standin runs a stand-in for a backend server, for tests and demonstrations. It supports fault injection.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v2"

	"github.com/berylwharf/berylwharf/standin/backend"
)

func main() {
	app := &cli.App{
		Name:      "backend-standin",
		Usage:     "run a stand-in for a backend server that counts runs",
		ArgsUsage: " ",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "listen address"},
			&cli.StringFlag{Name: "control", Usage: "additional listen address that is not affected by faults"},
			&cli.StringFlag{Name: "name", Value: "backend", Usage: "server name in responses"},
			&cli.DurationFlag{Name: "work", Value: 10 * time.Millisecond, Usage: "mean duration of a run"},
			&cli.StringFlag{Name: "work-dist", Value: backend.DistFixed, Usage: "distribution of the run duration: fixed, exponential, lognormal"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "random seed of the run durations"},
			&cli.IntFlag{Name: "answer-bytes", Usage: "pad each response to about this size"},
			&cli.BoolFlag{Name: "chunked", Usage: "send responses in chunks, without Content-Length"},
			&cli.DurationFlag{Name: "leave-delay", Usage: "after SIGTERM, serve for this long with /healthz 503 before closing the listener"},
			&cli.DurationFlag{Name: "shutdown-timeout", Value: 30 * time.Second, Usage: "how long running requests may take after SIGTERM"},
		},
		Action: run,
	}
	if err := app.Run(os.Args); err != nil {
		logrus.Errorf("backend-standin: %v", err)
		os.Exit(1)
	}
}

func run(c *cli.Context) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	s, err := backend.Start(c.String("listen"), backend.Config{
		Name: c.String("name"),
		Work: backend.Work{Mean: c.Duration("work"), Dist: c.String("work-dist"), Seed: c.Uint64("seed")},

		AnswerBytes: c.Int("answer-bytes"),
		Chunked:     c.Bool("chunked"),
	})
	if err != nil {
		return err
	}
	if c.String("control") != "" {
		addr, err := s.StartControl(c.String("control"))
		if err != nil {
			return err
		}
		fmt.Printf("control on %s\n", addr)
	}
	fmt.Printf("listening on %s\n", s.Addr())
	<-ctx.Done()
	if err := s.Inject(backend.Fault{Kind: backend.FaultLeave}); err != nil {
		return err
	}
	time.Sleep(c.Duration("leave-delay"))
	ctx, cancel := context.WithTimeout(context.Background(), c.Duration("shutdown-timeout"))
	defer cancel()
	return s.Shutdown(ctx)
}
