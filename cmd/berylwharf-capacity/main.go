// Command berylwharf-capacity measures the resource usage of a node at several fleet sizes and prints the table of
// measurements in docs/CAPACITY.md.
//
// For each number of workers it runs daemon processes against the platform stand-in. The numbers of pools, services and
// customers are fixed. It reads CPU time and memory from /proc and counts bytes in the listeners of the stand-ins. A line
// fitted over the fleet sizes gives the slope of each figure.
package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v2"
)

func main() {
	app := &cli.App{
		Name:      "berylwharf-capacity",
		Usage:     "measure the resource usage of a node at several fleet sizes",
		ArgsUsage: " ",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "bin", Value: "bin", Usage: "directory of the berylwharfd executable"},
			&cli.StringFlag{Name: "sizes", Value: "100,1000,4000,10000", Usage: "numbers of workers, separated by commas"},
			&cli.DurationFlag{Name: "window", Value: 10 * time.Second, Usage: "duration of each measurement window"},
			&cli.Float64Flag{Name: "changes", Value: 20, Usage: "configuration changes per second in the loaded window"},
		},
		Action: run,
	}
	if err := app.Run(os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "berylwharf-capacity:", err)
		os.Exit(1)
	}
}

func run(c *cli.Context) error {
	sizes, err := parseSizes(c.String("sizes"))
	if err != nil {
		return err
	}
	var samples []sample
	for _, n := range sizes {
		fmt.Fprintf(os.Stderr, "measuring %d workers\n", n)
		s, err := measure(c.String("bin"), n, c.Duration("window"), c.Float64("changes"))
		if err != nil {
			return errors.Wrapf(err, "measure with %d workers", n)
		}
		samples = append(samples, s)
	}
	printReport(os.Stdout, samples)
	return nil
}

func parseSizes(list string) ([]int, error) {
	var sizes []int
	for _, s := range strings.Split(list, ",") {
		n, err := strconv.Atoi(strings.TrimSpace(s))
		if err != nil || n < 1 || n > 20_000 {
			return nil, errors.Errorf("-sizes: %q (permitted: numbers from 1 to 20000)", s)
		}
		sizes = append(sizes, n)
	}
	if len(sizes) < 3 {
		return nil, errors.New("-sizes: at least 3 sizes are needed for a fit")
	}
	return sizes, nil
}
