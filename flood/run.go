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

// Config selects what Run plays. Progress is told about each run before it starts.
type Config struct {
	Scenarios []Scenario
	Policies  []Policy
	// MaxRun is the services' maxRunMs; 0 means the default.
	MaxRun   time.Duration
	Progress func(scenario, policy string)
}

// Run plays the recorded traces for each scenario under each policy.
func Run(ctx context.Context, cfg Config) ([]*Sample, error) {
	arrivals, err := Recorded(traceFlood)
	if err != nil {
		return nil, err
	}
	var samples []*Sample
	for _, sc := range cfg.Scenarios {
		work, err := Recorded(sc.Trace)
		if err != nil {
			return nil, err
		}
		var floods [][]load.Event
		for _, f := range sc.Floods {
			floods = append(floods, f.events(arrivals))
		}
		for _, p := range cfg.Policies {
			cfg.Progress(sc.Name, p.Name)
			s, err := play(ctx, setup{policy: p.Policy, work: workTime, maxRun: cfg.MaxRun}, work, floods)
			if err != nil {
				return nil, errors.Wrapf(err, "scenario %s, policy %s", sc.Name, p.Name)
			}
			s.Scenario, s.Policy = sc, p.Name
			samples = append(samples, s)
		}
	}
	return samples, nil
}

// play sends the work and the floods at the same time to a new fleet. Each flood has a sender of its own, so that a bound
// on its waiting requests holds up no work.
func play(ctx context.Context, fleetSetup setup, work []load.Event, floods [][]load.Event) (*Sample, error) {
	f, err := startFleet(fleetSetup)
	if err != nil {
		return nil, err
	}
	defer f.close()
	s := &Sample{Floods: make([]*load.Result, len(floods))}
	failed := make([]error, len(floods)+1)
	var wg sync.WaitGroup
	for i, events := range floods {
		wg.Go(func() {
			s.Floods[i], failed[i] = load.Run(ctx, load.Config{Entries: []string{f.addr}, MaxInFlight: floodInFlight}, events)
		})
	}
	wg.Go(func() {
		s.Work, failed[len(floods)] = load.Run(ctx, load.Config{Entries: []string{f.addr}, MaxInFlight: workInFlight}, work)
	})
	wg.Wait()
	for _, err := range failed {
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
