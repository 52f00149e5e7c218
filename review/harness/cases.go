package main

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// slowAnswer is the answer time of a slow store: 25 times the usual 4 ms.
	slowAnswer = 100 * time.Millisecond
	// outage is how long the store is slow or down.
	outage = 4500 * time.Millisecond
	// finishTime is how long accepted jobs have after the end of the traffic (finish_s).
	finishTime = 14 * time.Second
)

// route is a queue of the configuration.
type route struct {
	Name        string  `json:"name"`
	Host        string  `json:"host"`
	PathPrefix  string  `json:"pathPrefix"`
	Backend     string  `json:"backend"`
	TimeoutMs   int     `json:"timeoutMs"`
	Priority    int     `json:"priority"`
	Attempts    int     `json:"attempts"`
	SlackFactor float64 `json:"slackFactor"`
	SLOMs       int     `json:"sloMs"`
}

func queue(name, backend string) route {
	return route{Name: name, Host: queueHost, PathPrefix: "/" + name + "/", Backend: backend, TimeoutMs: 3000, Attempts: 3, SlackFactor: 2, SLOMs: 20000}
}

// config returns a configuration in which each route's service exists.
func config(version int, services []string, routes ...route) []byte {
	list := []map[string]any{}
	for _, s := range services {
		list = append(list, map[string]any{"name": s, "admissionCheck": false})
	}
	b, _ := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": list, "limits": map[string]int{"maxBodyBytes": 262144},
	})
	return b
}

func jobID(n int) string { return fmt.Sprintf("%016x", 0x5c0e7a21d9000000+uint64(n)) }

// traffic hands in jobs at a steady rate for a time, and waits for the answers.
func (w *world) traffic(perSecond int, d time.Duration, spec string, steps []step) {
	var wg sync.WaitGroup
	end := time.Now().Add(d)
	for n := 0; time.Now().Before(end); n++ {
		wg.Go(func() { w.requester.submit(jobID(n), spec, steps) })
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	wg.Wait()
}

const (
	// reassignDelay is the least time from the join that tells the new owner to the second reassignment.
	reassignDelay = slowAnswer + 10*time.Millisecond
	// calmTime is how long the store is calm before it is slow again.
	calmTime = 7 * time.Second
	// askTime is how long after its 200 a job is asked for. By then the store has been calm for over stableWindowMs, 3 s, and
	// the next slow time has not begun.
	askTime = 8 * time.Second
)

// playTwoOwners: the store is slow for a while, and in that time all partitions are reassigned at once, two times two.
func playTwoOwners(w *world, trouble bool) ([]string, error) {
	const rounds = 4
	const firstTraffic = 16 * time.Second
	services := []string{"booking"}
	if err := w.open(8, map[string]int{"booking": 4}, config(3, services, queue(jobQueue, "booking"))); err != nil {
		return nil, err
	}
	go func() {
		time.Sleep(firstTraffic)
		for range rounds {
			time.Sleep(calmTime)
			if trouble {
				w.store.setAnswerTime(slowAnswer)
				w.reassignTwice("booking")
			}
			time.Sleep(outage / 2)
			if trouble {
				w.reassignTwice("booking")
			}
			time.Sleep(outage / 2)
			w.store.setAnswerTime(0)
		}
	}()
	steps := []step{{Count: 3, CPU: 4000, MemMB: 1024, EstimateMs: 800}}
	w.requester.askAfter = askTime
	w.traffic(28, firstTraffic+rounds*(calmTime+outage)+time.Second, "ms=800", steps)
	time.Sleep(5*time.Second + finishTime)
	for _, repeat := range findRepeats(w.workers, w.record) {
		w.record.add("twice", "%s", repeat)
	}
	return append(w.requester.findUnknown(), w.requester.findLost()...), nil
}

// reassignTwice reassigns all partitions when the owner of a service's partition joins, and once more when a third member
// joins, at least reassignDelay after the new owner was told.
func (w *world) reassignTwice(service string) {
	part := int(xxhash.Sum64String(service) % storeParts)
	s := w.store
	s.mu.Lock()
	defer s.mu.Unlock()
	first, second := s.owners[part], ""
	var told time.Time
	s.onJoin = func(member string) {
		switch {
		case second == "" && member == first:
			second = s.nextName(first)
			s.reassign(part, second)
		case second != "" && told.IsZero() && member == second:
			told = time.Now()
		case !told.IsZero() && member != second && time.Since(told) > reassignDelay:
			s.reassign(part, member)
			s.onJoin = nil
		}
	}
}

// playManyEnds: the store is down while small work units end.
func playManyEnds(w *world, trouble bool) ([]string, error) {
	services := []string{"booking"}
	if err := w.open(3, map[string]int{"booking": 2}, config(3, services, queue(jobQueue, "booking"))); err != nil {
		return nil, err
	}
	go func() {
		time.Sleep(8 * time.Second)
		if trouble {
			w.store.setDown(true)
		}
		time.Sleep(outage)
		w.store.setDown(false)
	}()
	// The demand is more than the pool holds, as in the peaks of the deployments.
	steps := []step{{Count: 40, CPU: 250, MemMB: 256, EstimateMs: 250}}
	w.traffic(80, 12*time.Second, "ms=250", steps)
	time.Sleep(20*time.Second + finishTime)
	for _, lost := range w.requester.findLost() {
		w.record.add("lost", "%s", lost)
	}
	return findRepeats(w.workers, w.record), nil
}

const (
	// rolledNodes is how many of rollFleet nodes are stopped and started in turn (a share of 0.45, rounded down).
	rollFleet, rolledNodes = 5, 2
	// rollGap is the pause between two of them.
	rollGap = 1300 * time.Millisecond
)

// playDroppedRoute: a route is removed while its accepted jobs run; then machines are stopped and started in turn, first the
// one that starts the jobs' work units.
func playDroppedRoute(w *world, trouble bool) ([]string, error) {
	services := []string{"booking", "kiosk"}
	both := []route{queue(jobQueue, "booking"), queue("walkin-book", "kiosk")}
	if err := w.open(rollFleet, map[string]int{"booking": 3, "kiosk": 3}, config(3, services, both...)); err != nil {
		return nil, err
	}
	steps := make([]step, 6)
	for i := range steps {
		steps[i] = step{Count: 4, CPU: 3500, MemMB: 7200, EstimateMs: 2000}
		if i > 0 {
			steps[i].DependsOn = []int{i - 1}
		}
	}
	w.traffic(5, time.Second, "ms=2000", steps)
	kept := both
	if trouble {
		kept = both[1:]
	}
	w.publishConfig(config(8, services, kept...))
	time.Sleep(2 * time.Second)
	if err := w.roll("booking", rolledNodes); err != nil {
		return nil, err
	}
	time.Sleep(12*time.Second + finishTime)
	return w.findUnfinished(steps), nil
}

// roll stops and starts nodes one at a time, first the owner of a service's partition.
func (w *world) roll(service string, count int) error {
	owner := w.store.ownerOf(int(xxhash.Sum64String(service) % storeParts))
	nodes := slices.Clone(w.nodes)
	slices.SortStableFunc(nodes, func(a, b *node) int {
		switch {
		case strings.HasPrefix(owner, a.name+"@"):
			return -1
		case strings.HasPrefix(owner, b.name+"@"):
			return 1
		}
		return 0
	})
	for _, n := range nodes[:count] {
		n.stop()
		if err := n.start(); err != nil {
			return err
		}
		if err := n.awaitReady(); err != nil {
			return err
		}
		time.Sleep(rollGap)
	}
	return nil
}

// findUnfinished returns the accepted jobs of which some work units have not ended done.
func (w *world) findUnfinished(steps []step) []string {
	done := make(map[string]bool)
	last := make(map[string]time.Time)
	for _, x := range w.workers {
		for _, r := range x.runs() {
			if r.how == "done" {
				done[r.task] = true
				id := r.task[:16]
				if r.endedAt.After(last[id]) {
					last[id] = r.endedAt
				}
			}
		}
	}
	total := 0
	for _, s := range steps {
		total += s.Count
	}
	var out []string
	for id, at := range w.requester.accepted {
		n := 0
		for task := range done {
			if task[:16] == id {
				n++
			}
		}
		if n < total {
			out = append(out, fmt.Sprintf("job %s, accepted at %.3f s: %d of %d work units have ended done, the last at %.3f s; now is %.3f s, and nothing of it runs",
				id, w.record.seconds(at), n, total, w.record.seconds(last[id]), w.record.seconds(time.Now())))
		}
	}
	slices.Sort(out)
	return out
}

// playMovedRoute: a queue is removed and added again with another service, while its jobs run; then requests that were already
// answered with 200 arrive again.
func playMovedRoute(w *world, trouble bool) ([]string, error) {
	services := []string{"booking", "kiosk"}
	other := queue("walkin-book", "kiosk")
	if err := w.open(3, map[string]int{"booking": 3, "kiosk": 3}, config(3, services, queue(jobQueue, "booking"), other)); err != nil {
		return nil, err
	}
	steps := []step{{Count: 6, CPU: 3500, MemMB: 7200, EstimateMs: 8000}}
	w.traffic(5, time.Second, "ms=8000", steps)
	backend := "booking"
	if trouble {
		backend = "kiosk"
		w.publishConfig(config(8, services, other))
	} else {
		w.publishConfig(config(8, services, queue(jobQueue, backend), other))
	}
	time.Sleep(time.Second)
	w.publishConfig(config(13, services, queue(jobQueue, backend), other))
	// A version is in force everywhere after configMs, 2 s.
	time.Sleep(3 * time.Second)
	for id := range w.requester.accepted {
		status, state := w.requester.state(w.requester.nextNode(), id)
		w.record.add("requester", "GET %s: %d, state %q", id, status, state)
	}
	w.traffic(5, time.Second, "ms=8000", steps)
	time.Sleep(10*time.Second + finishTime)
	return findRepeats(w.workers, w.record), nil
}
