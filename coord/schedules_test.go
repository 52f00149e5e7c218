package coord

import (
	"flag"
	"fmt"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/berylwharf/berylwharf/slots"
)

var (
	replaySeed = flag.Int64("seed", -1, "run only the schedule with this seed")
	// Under the race detector, which the cores have no use for, a twentieth is run.
	schedules = flag.Int64("schedules", 10_000, "number of schedules")
)

// TestSchedules guards against more than eight running requests on a worker, slots that never come back, waiting
// requests that are never served, and a request identifier that is granted twice, whatever the network, pauses, deaths
// and epoch changes do.
func TestSchedules(t *testing.T) {
	if *replaySeed >= 0 {
		s := newSim(*replaySeed)
		if err := s.run(); err != nil {
			t.Fatal(err)
		}
		t.Logf("grants %d, recalls %d, removals %d, claims by result %v", s.grants, s.recalls, s.removals, s.results)
		return
	}
	n := *schedules
	if raceEnabled {
		n /= 20
	}
	var next atomic.Int64
	var mu sync.Mutex
	var wg sync.WaitGroup
	failures := 0
	var total sim
	for range min(3, runtime.GOMAXPROCS(0)) {
		wg.Go(func() {
			for seed := next.Add(1); seed <= n; seed = next.Add(1) {
				s := newSim(seed)
				err := s.run()
				mu.Lock()
				total.add(s)
				if err != nil {
					failures++
					if failures <= 5 {
						t.Errorf("seed %d: %v\nreplay: go test ./coord -run 'TestSchedules$' -seed %d", seed, err, seed)
					}
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	if failures > 0 {
		t.Errorf("%d of %d schedules failed", failures, n)
	}
	t.Logf("grants %d, recalls %d, removals %d, claims by result %v", total.grants, total.recalls, total.removals, total.results)
	for result, count := range total.results[1:7] {
		if count == 0 {
			// ResultMismatch cannot occur, since all attempts have the same fingerprint.
			if result+1 != 4 {
				t.Errorf("no schedule reached claim result %d", result+1)
			}
		}
	}
}

func (s *sim) add(o *sim) {
	s.grants += o.grants
	s.recalls += o.recalls
	s.removals += o.removals
	for i := range s.results {
		s.results[i] += o.results[i]
	}
}

func (s *sim) run() error {
	for range 150 {
		for range 1 + s.rng.IntN(4) {
			s.act()
			if live := s.alive(); len(live) > 0 && s.chance(40) {
				s.attempt(live[s.rng.IntN(len(live))])
			}
		}
		s.step(simStep)
		if s.chance(1) && s.chance(10) {
			s.jump()
		}
		if s.err != nil {
			return s.err
		}
	}
	s.calm()
	return s.err
}

// jump lets about the horizon of claims pass.
func (s *sim) jump() {
	for range 110 {
		s.step(5*time.Second + time.Duration(s.rng.IntN(1000))*time.Millisecond)
		for _, p := range s.alive() {
			s.apply(p, len(s.log))
			s.end(p)
			s.flush(p)
		}
	}
}

// calm ends all disturbances and checks that everything comes back.
func (s *sim) calm() {
	s.lossy = false
	if len(s.alive()) == 0 {
		s.join(s.spawn("a"))
	}
	for i := range 150 {
		s.bury()
		for _, p := range s.alive() {
			s.resume(p)
			s.apply(p, len(s.log))
			s.end(p)
			s.retire(p)
			if !p.dead {
				s.flush(p)
			}
		}
		if len(s.alive()) == 0 {
			s.join(s.spawn("a"))
		}
		if i == 100 {
			s.demand()
		}
		s.step(simStep)
	}
	if s.err != nil {
		return
	}
	for _, p := range s.alive() {
		if c := p.slots.Counts(); c != (slots.Counts{}) {
			s.failf("%s/%d after everything calmed down: %+v", p.name, p.inc, c)
		}
	}
}

// demand lets one node use all slots of all workers at once.
func (s *sim) demand() {
	for _, p := range s.alive() {
		if c := p.slots.Counts(); c.Waiting > 0 {
			s.failf("%s: %d requests were never served", p.name, c.Waiting)
		}
	}
	live := s.alive()
	p := live[s.rng.IntN(len(live))]
	if p.leaving {
		return
	}
	before := s.grants
	for _, w := range simWorkers {
		for range slots.PerWorker {
			s.nextID++
			p.slots.Acquire(s.nextID, []string{w}, s.now)
			s.flush(p)
		}
	}
	for range 10 {
		s.step(simStep)
	}
	if n := s.grants - before; n != len(simWorkers)*slots.PerWorker && s.err == nil {
		s.err = fmt.Errorf("%s got %d of %d slots when nobody else wanted any", p.name, n, len(simWorkers)*slots.PerWorker)
	}
}
