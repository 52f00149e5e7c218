// Command berylwharf-soak plays seeds of the fault soak and prints what each broke.
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
		Usage: "run nodes of the job manager as processes under random faults",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "bin", Usage: "program of the daemon", Required: true},
			&cli.StringFlag{Name: "dir", Usage: "directory for settings and logs; logs of clean runs are removed", Required: true},
			&cli.Uint64Flag{Name: "first", Usage: "first seed", Value: 1},
			&cli.IntFlag{Name: "seeds", Usage: "number of seeds", Value: 1},
			&cli.IntFlag{Name: "parallel", Usage: "runs at a time", Value: 2},
		},
		Action: play,
	}
	if err := app.Run(os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func play(c *cli.Context) error {
	seeds := make(chan uint64)
	var wg sync.WaitGroup
	var mu sync.Mutex
	broken := 0
	for range max(1, c.Int("parallel")) {
		wg.Go(func() {
			for seed := range seeds {
				ok := playSeed(c, seed)
				mu.Lock()
				if !ok {
					broken++
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
	if broken > 0 {
		return cli.Exit(fmt.Sprintf("%d of %d seeds broke a promise", broken, c.Int("seeds")), 1)
	}
	fmt.Printf("%d seeds, no promise broken\n", c.Int("seeds"))
	return nil
}

// playSeed plays one seed and tells whether all promises held.
func playSeed(c *cli.Context, seed uint64) bool {
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
	res, err := soak.Run(soak.Options{Binary: c.String("bin"), Dir: dir, Seed: seed, Out: out})
	if err != nil {
		fmt.Printf("seed %d: not played: %v\n", seed, err)
		return false
	}
	fmt.Printf("seed %d: %d faults, %d jobs, %d accepted, %d runs, %d promises broken\n",
		seed, res.Faults, res.Jobs, res.Accepted, res.Runs, len(res.Violations))
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
