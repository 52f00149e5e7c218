// Command platform-standin runs a stand-in that serves the platform's protocol, for tests and demonstrations. It supports
// fault injection.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v2"

	"github.com/berylwharf/berylwharf/standin/platform"
	wire "github.com/berylwharf/berylwharf/vmapi"
)

// shutdownTimeout is how long running requests may take after SIGTERM.
const shutdownTimeout = 5 * time.Second

func main() {
	app := &cli.App{
		Name:      "platform-standin",
		Usage:     "run a stand-in for the platform: log service, VM list and workers",
		ArgsUsage: " ",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "listen address"},
			&cli.DurationFlag{Name: "lag", Usage: "delay with which the VM list and the usage of workers show changes"},
			&cli.IntFlag{Name: "retention-records", Usage: "number of records kept in each stream (0: all)"},
			&cli.DurationFlag{Name: "retention-age", Usage: "how long a record is kept (0: no limit)"},
			&cli.DurationFlag{Name: "reboot-time", Value: platform.DefaultRebootTime, Usage: "how long a rebooting VM is missing from the VM list"},
			&cli.StringFlag{Name: "vms", Usage: "JSON file with the list of VMs"},
		},
		Action: run,
	}
	if err := app.Run(os.Args); err != nil {
		logrus.Errorf("platform-standin: %v", err)
		os.Exit(1)
	}
}

func run(c *cli.Context) error {
	vms, err := readVMs(c.String("vms"))
	if err != nil {
		return err
	}
	s, err := platform.New(platform.Config{
		Lag:              c.Duration("lag"),
		RetentionRecords: c.Int("retention-records"),
		RetentionAge:     c.Duration("retention-age"),
		RebootTime:       c.Duration("reboot-time"),
		VMs:              vms,
	})
	if err != nil {
		return err
	}
	ln, err := net.Listen("tcp", c.String("listen"))
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	srv := &http.Server{Handler: s, ReadHeaderTimeout: 10 * time.Second}
	served := make(chan error, 1)
	go func() { served <- srv.Serve(ln) }()
	fmt.Printf("listening on %s\n", ln.Addr())
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	s.Close()
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	return srv.Shutdown(ctx)
}

func readVMs(file string) ([]wire.VM, error) {
	if file == "" {
		return nil, nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	var vms []wire.VM
	if err := json.Unmarshal(data, &vms); err != nil {
		return nil, errors.Wrapf(err, "%s: expected a JSON list of VMs", file)
	}
	return vms, nil
}
