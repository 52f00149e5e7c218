// Command berylwharf-soak runs the fault soak with a range of seeds and prints the invariants that each run violated.
//
//	berylwharf-soak -bin bin/berylwharfd -seeds 50 -dir /tmp/soak
package main

import (
	"fmt"
	"os"
	"sync"

	"github.com/urfave/cli/v2"

	"github.com/berylwharf/berylwharf/platform/soak"
)

func main() {
	app := &cli.App{
		Name:  "berylwharf-soak",
		Usage: "run nodes of the job manager as processes under random faults and check invariants",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "bin", Usage: "path of the berylwharfd executable", Required: true},
			&cli.StringFlag{Name: "dir", Usage: "directory for settings and logs; those of successful runs are removed", Required: true},
			&cli.Uint64Flag{Name: "first", Usage: "first seed", Value: 1},
			&cli.IntFlag{Name: "seeds", Usage: "number of seeds", Value: 1},
			&cli.BoolFlag{Name: "restart-cuts", Usage: "restart workers silently and cut them off within seconds, in place of random faults"},
			&cli.BoolFlag{Name: "caps", Usage: "lower and raise the caps of tenants in two pools, with faults of owners besides the random ones"},
			&cli.BoolFlag{Name: "strengths", Usage: "use nodes of two sizes and lose all of the larger ones, besides the random faults"},
			&cli.IntFlag{Name: "parallel", Usage: "number of concurrent runs", Value: 2},
		},
		Action: run,
	}
	if err := app.Run(os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(c *cli.Context) error {
	seeds := make(chan uint64)
	var wg sync.WaitGroup
	var mu sync.Mutex
	failedSeeds := 0
	for range max(1, c.Int("parallel")) {
		wg.Go(func() {
			for seed := range seeds {
				ok := runSeed(c, seed)
				mu.Lock()
				if !ok {
					failedSeeds++
				}
				mu.Unlock()
			}
		})
	}
	for i := range c.Int("seeds") {
		seeds <- c.Uint64("first") + uint64(i)
	}
	close(seeds)
	wg.Wait()
	if failedSeeds > 0 {
		return cli.Exit(fmt.Sprintf("%d of %d seeds failed", failedSeeds, c.Int("seeds")), 1)
	}
	fmt.Printf("%d seeds, no invariant violated\n", c.Int("seeds"))
	return nil
}

// runSeed runs the soak with one seed and reports whether the run was completed without a violated invariant. It removes the
// directory of such a run.
func runSeed(c *cli.Context, seed uint64) bool {
	dir, err := soak.PrepareDir(c.String("dir"), seed)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return false
	}
	out, err := os.Create(dir + "/faults.log")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return false
	}
	defer func() { _ = out.Close() }()
	res, err := soak.Run(soak.Options{
		Binary: c.String("bin"), Dir: dir, Seed: seed, RestartCuts: c.Bool("restart-cuts"), Caps: c.Bool("caps"), Strengths: c.Bool("strengths"), Out: out,
	})
	if err != nil {
		fmt.Printf("seed %d: run failed: %v\n", seed, err)
		return false
	}
	fmt.Printf("seed %d: %d faults, %d jobs, %d accepted, %d runs, %d invariants violated\n",
		seed, res.Faults, res.Jobs, res.Accepted, res.Runs, len(res.Violations))
	if c.Bool("caps") {
		fmt.Printf("  at most %d%% of a cap in use\n", res.CapUse)
	}
	for _, v := range res.Violations {
		fmt.Printf("  %s\n", v)
	}
	if len(res.Violations) > 0 {
		return false
	}
	if err := os.RemoveAll(dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	return true
}
