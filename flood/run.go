package flood

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/berylwharf/berylwharf/load"
)

// Sample is one run of a scenario under a policy.
type Sample struct {
	Scenario Scenario
	Policy   string
	Work     *load.Result
	Floods   []*load.Result // in the order of Scenario.Floods
	Runs     *load.Runs
}

// Config selects the scenarios and policies of Run. Progress is called before each run starts.
type Config struct {
	Scenarios []Scenario
	Policies  []Policy
	// MaxRun is the maxRunMs of the services, 0 for the default.
	MaxRun   time.Duration
	Progress func(scenario, policy string)
}

// Run replays the recorded traces of each scenario under each policy.
func Run(ctx context.Context, cfg Config) ([]*Sample, error) {
	arrivals, err := Recorded(traceFlood)
	if err != nil {
		return nil, err
	}
	var samples []*Sample
	for _, sc := range cfg.Scenarios {
		work, err := Recorded(sc.TraceName)
		if err != nil {
			return nil, err
		}
		var floods [][]load.Event
		for _, f := range sc.Floods {
			floods = append(floods, f.eventsFrom(arrivals))
		}
		for _, p := range cfg.Policies {
			cfg.Progress(sc.Name, p.Name)
			s, err := replay(ctx, fleetConfig{policy: p.Policy, runTime: requestRunTime, maxRun: cfg.MaxRun}, work, floods)
			if err != nil {
				return nil, errors.Wrapf(err, "scenario %s, policy %s", sc.Name, p.Name)
			}
			s.Scenario, s.Policy = sc, p.Name
			samples = append(samples, s)
		}
	}
	return samples, nil
}

// replay sends the work and the floods concurrently to a new fleet. Each flood has its own sender, so that its limit of
// requests in flight does not delay the work.
func replay(ctx context.Context, cfg fleetConfig, work []load.Event, floods [][]load.Event) (*Sample, error) {
	f, err := startFleet(cfg)
	if err != nil {
		return nil, err
	}
	defer f.close()
	s := &Sample{Floods: make([]*load.Result, len(floods))}
	errs := make([]error, len(floods)+1)
	var wg sync.WaitGroup
	for i, events := range floods {
		wg.Go(func() {
			s.Floods[i], errs[i] = load.Run(ctx, load.Config{Entries: []string{f.addr}, MaxInFlight: maxFloodInFlight}, events)
		})
	}
	wg.Go(func() {
		s.Work, errs[len(floods)] = load.Run(ctx, load.Config{Entries: []string{f.addr}, MaxInFlight: maxWorkInFlight}, work)
	})
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	s.Runs, err = f.drain()
	return s, err
}
