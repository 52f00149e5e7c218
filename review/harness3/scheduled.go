package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// pool is the pool of the cases with scheduled jobs.
const pool = "booking"

// addWorkers adds workers of one pool that stay with their machines.
func addWorkers(w *world, count int, b behavior) error {
	w.machines.behavior = b
	for i := range count {
		if err := w.machines.add(fmt.Sprintf("m%02d", i), pool, fmt.Sprintf("r1-%d", i/4)); err != nil {
			return err
		}
	}
	return nil
}

// taskFields returns the occurrence, step and index of a work unit's name.
func taskFields(task string) (occurrence, step, index string) {
	f := strings.Split(task, ".")
	const fields = 4
	if len(f) != fields {
		return "", "", ""
	}
	return f[1], f[2], f[3]
}

const (
	// reminderJobs is the number of scheduled jobs that have two occurrences open, nightJobs that of jobs that are due later.
	reminderJobs = 210
	nightJobs    = 200
)

// batchSteps returns the steps of a batch: a short one, a long one, and then four steps that need both.
func batchSteps() []step {
	const (
		shortMs, longMs, restMs = 300, 90_000, 1000
		width                   = 32
	)
	return []step{
		{Count: 1, CPU: 100, MemMB: 16, EstimateMs: shortMs},
		{Count: 1, CPU: 100, MemMB: 16, EstimateMs: longMs},
		{Count: width, CPU: 3500, MemMB: 256, EstimateMs: restMs, DependsOn: []int{0, 1}},
		{Count: width, CPU: 3500, MemMB: 256, EstimateMs: restMs, DependsOn: []int{2}},
		{Count: width, CPU: 3500, MemMB: 256, EstimateMs: restMs, DependsOn: []int{3}},
		{Count: width, CPU: 3500, MemMB: 256, EstimateMs: restMs, DependsOn: []int{4}},
	}
}

// batchBehavior makes the work unit of step 0 short and that of step 1 long.
func batchBehavior(task, _ string) (time.Duration, bool) {
	if _, step, _ := taskFields(task); step == "0" {
		return 300 * time.Millisecond, false
	}
	return 90 * time.Second, false
}

// playScheduledMemory has jobs with two occurrences under way, each with a short work unit that is done. Other jobs that are due
// later are accepted. Then the nodes are stopped and started in turn, and the jobs that are due later are cancelled.
func playScheduledMemory(w *world, trouble bool) (*verdict, error) {
	if err := addWorkers(w, 6, batchBehavior); err != nil {
		return nil, err
	}
	w.configure([]route{{"reminders", pool}, {"nightly", pool}}, map[string]bool{pool: false})
	if err := w.startNodes(3); err != nil {
		return nil, err
	}
	reminders, err := w.submitBatches(reminderJobs, "reminders", time.Now().Add(5*time.Second))
	if err != nil {
		return nil, err
	}
	if err := w.awaitShortUnits(2 * reminderJobs); err != nil {
		return nil, err
	}
	nightly, err := w.submitBatches(nightJobs, "nightly", time.Now().Add(time.Hour))
	if err != nil {
		return nil, err
	}
	if trouble {
		if err := w.roll(); err != nil {
			return nil, err
		}
	}
	err = concurrently(len(nightly), func(i int) error { return w.callUntil(http.MethodDelete, "nightly", nightly[i], nil) })
	if err != nil {
		return nil, err
	}
	time.Sleep(5 * time.Second)
	violations := judgeTwice(w.record, w.allWorkers())
	return &verdict{violations, fmt.Sprintf("%d scheduled jobs, %d work units run twice", len(reminders), len(violations))}, nil
}

// submitBatches submits jobs of two occurrences, one second apart.
func (w *world) submitBatches(count int, queue string, start time.Time) ([]string, error) {
	ids := make([]string, count)
	for i := range ids {
		ids[i] = w.newJobID()
	}
	body := jobBody{Spec: queue, Steps: batchSteps(), RepeatCount: 2, StartAtMs: start.UnixMilli(), IntervalMs: time.Second.Milliseconds()}
	return ids, concurrently(count, func(i int) error { return w.callUntil(http.MethodPost, queue, ids[i], body) })
}

// awaitShortUnits waits until the ends of the given number of short work units have been taken note of.
func (w *world) awaitShortUnits(count int) error {
	const timeout = 30 * time.Second
	noted := 0
	for until := time.Now().Add(timeout); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		noted = 0
		for _, k := range w.allWorkers() {
			for _, u := range k.copyRuns() {
				if u.how == "done" && !u.notedAt.IsZero() {
					noted++
				}
			}
		}
		if noted >= count {
			return nil
		}
	}
	return errors.Errorf("%d of %d short work units are done and taken note of", noted, count)
}

// roll stops and starts the nodes in turn.
func (w *world) roll() error {
	for _, n := range w.nodes {
		w.record.add("%s gets SIGTERM", n.name)
		n.terminate(grace)
		if err := n.start(); err != nil {
			return err
		}
		if err := n.awaitReady(); err != nil {
			return err
		}
		w.record.add("%s is ready again", n.name)
	}
	return nil
}

const (
	// bulkJobs is the number of jobs of a batch. They are due one after the other within bulkSpread, cutRounds times, every
	// bulkInterval.
	bulkJobs     = 300
	bulkSpread   = 3 * time.Second
	bulkInterval = 12500 * time.Millisecond
	// bulkRunTime is how long a work unit of the batch runs.
	bulkRunTime = 3 * time.Second
	// cutTime is how long workers lose the path to a node.
	cutTime = 5 * time.Second
	// cutRounds is the number of cuts.
	cutRounds = 6
	// cutWorkers is the number of workers that are cut off, a fifth of all.
	cutWorkers = 2
	allWorkers = 10
	cutNodes   = 4
)

// playScheduledCut has jobs of a batch that are due one after the other. While they come due, a fifth of the workers lose the path
// to one node of four for 5 s, and the store deals all partitions anew, so that this node becomes the owner of the pool.
func playScheduledCut(w *world, trouble bool) (*verdict, error) {
	if err := addWorkers(w, allWorkers, func(string, string) (time.Duration, bool) { return bulkRunTime, false }); err != nil {
		return nil, err
	}
	w.configure([]route{{"reminders", pool}}, map[string]bool{pool: false})
	if err := w.startNodes(cutNodes); err != nil {
		return nil, err
	}
	start := time.Now().Add(5 * time.Second)
	err := concurrently(bulkJobs, func(i int) error {
		due := start.Add(time.Duration(i) * bulkSpread / bulkJobs)
		return w.callUntil(http.MethodPost, "reminders", w.newJobID(), jobBody{
			Spec: "reminder", Steps: []step{{Count: 1, CPU: 200, MemMB: 64, EstimateMs: int(bulkRunTime.Milliseconds())}},
			RepeatCount: cutRounds, StartAtMs: due.UnixMilli(), IntervalMs: bulkInterval.Milliseconds(),
		})
	})
	if err != nil {
		return nil, err
	}
	for round := range cutRounds {
		time.Sleep(time.Until(start.Add(time.Duration(round)*bulkInterval + bulkSpread/4)))
		w.cutAndDeal(trouble)
	}
	time.Sleep(bulkInterval / 2)
	violations := judgeTwice(w.record, w.allWorkers())
	return &verdict{violations, fmt.Sprintf("%d scheduled jobs, %d work units run twice", bulkJobs, len(violations))}, nil
}

// cutAndDeal makes the store deal all partitions anew. With trouble, the busiest workers lose the path to the next owner for cutTime
// before that.
func (w *world) cutAndDeal(trouble bool) {
	workers := w.allWorkers()
	slices.SortFunc(workers, func(a, b *worker) int { return b.load() - a.load() })
	for _, k := range workers[:cutWorkers] {
		if trouble {
			// The next owner has the next fence number.
			k.cut(k.highestFence() + 1)
			w.record.add("worker %s has no path to the next owner", k.id)
		}
	}
	w.front.dealAfterJoin(partitionOf(pool))
	time.Sleep(cutTime)
	for _, k := range workers[:cutWorkers] {
		k.cut(0)
	}
	w.record.add("all workers have all paths")
}
