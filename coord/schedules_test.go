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
	// Under the race detector only a twentieth of the schedules is run, since each schedule is single-threaded.
	schedules = flag.Int64("schedules", 10_000, "number of schedules")
)

// TestSchedules guards against more than eight running requests on a worker, slots that are never returned, waiting
// requests that are never served, and a request identifier that is granted twice. Each schedule combines message loss
// and reordering, pauses, process deaths and epoch changes at random.
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
				total.addCounts(s)
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

func (s *sim) addCounts(o *sim) {
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
			s.randomEvent()
			if live := s.alive(); len(live) > 0 && s.chance(40) {
				s.startAttempt(live[s.rng.IntN(len(live))])
			}
		}
		s.step(simStep)
		if s.chance(1) && s.chance(10) {
			s.advanceHorizon()
		}
		if s.err != nil {
			return s.err
		}
	}
	s.quiesce()
	return s.err
}

// advanceHorizon advances the time by about the claim horizon.
func (s *sim) advanceHorizon() {
	for range 110 {
		s.step(5*time.Second + time.Duration(s.rng.IntN(1000))*time.Millisecond)
		for _, p := range s.alive() {
			s.applyLog(p, len(s.log))
			s.endRequests(p)
			s.flushSlots(p)
		}
	}
}

// quiesce ends all disturbances and checks that all slots are returned.
func (s *sim) quiesce() {
	s.lossy = false
	if len(s.alive()) == 0 {
		s.join(s.newProcess("a"))
	}
	for i := range 150 {
		s.removeDeadMember()
		for _, p := range s.alive() {
			s.resume(p)
			s.applyLog(p, len(s.log))
			s.endRequests(p)
			s.advanceShutdown(p)
			if !p.dead {
				s.flushSlots(p)
			}
		}
		if len(s.alive()) == 0 {
			s.join(s.newProcess("a"))
		}
		if i == 100 {
			s.checkFullCapacity()
		}
		s.step(simStep)
	}
	if s.err != nil {
		return
	}
	for _, p := range s.alive() {
		if c := p.slots.Counts(); c != (slots.Counts{}) {
			s.failf("%s/%d still has slots or requests after all disturbances ended: %+v", p.name, p.incarnation, c)
		}
	}
}

// checkFullCapacity checks that no request is still waiting and that one node can use all slots of all workers at
// once.
func (s *sim) checkFullCapacity() {
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
			s.flushSlots(p)
		}
	}
	for range 10 {
		s.step(simStep)
	}
	if n := s.grants - before; n != len(simWorkers)*slots.PerWorker && s.err == nil {
		s.err = fmt.Errorf("%s got %d of %d slots while no other node requested any", p.name, n, len(simWorkers)*slots.PerWorker)
	}
}
