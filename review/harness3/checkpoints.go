package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// savingMachines are the machines of the pool, which is less than half of all; the other ones are on standby.
	savingMachines = 6
	otherMachines  = 7
	// savingSteps of savingUnits work units each save their progress, in values of savedBytes.
	savingSteps = 2
	savingUnits = 600
	savedBytes  = 256
	savingTime  = 25 * time.Second
	// upkeepTimeOfAll is the time for the upkeep of all machines.
	upkeepTimeOfAll = 30 * time.Second
	savingWave      = 9
	// cancelledJobs is the number of other jobs, which are cancelled in the end.
	cancelledJobs = 10
	// ackTime is the time after which a cancel has to be acknowledged (bound ackMs), noteTime that after which an end that a worker
	// has listed has to be taken note of.
	ackTime  = 4 * time.Second
	noteTime = 10 * time.Second
)

// playCheckpoints runs a job whose work units save their progress while the machines that its service has at the start have their upkeep, two at a time.
// Without trouble there is no upkeep. In the end other jobs are cancelled.
func playCheckpoints(w *world, trouble bool) (*verdict, error) {
	if err := addWorkers(w, savingMachines, func(string, string) (time.Duration, bool) { return savingTime, false }); err != nil {
		return nil, err
	}
	for i := range otherMachines {
		if err := w.machines.add(fmt.Sprintf("s%02d", i), sparePool, fmt.Sprintf("r2-%d", i/4)); err != nil {
			return nil, err
		}
	}
	w.configure([]route{{"bookings", pool}, {"nightly", pool}}, map[string]bool{pool: false, sparePool: true})
	if err := w.startNodes(3); err != nil {
		return nil, err
	}
	saving := jobBody{Spec: savingSpec}
	for range savingSteps {
		saving.Steps = append(saving.Steps, step{Count: savingUnits, CPU: 200, MemMB: 64, EstimateMs: int(savingTime.Milliseconds()), Checkpointable: true})
	}
	hosts := w.machines.inPool(pool)
	id := w.newJobID()
	if err := w.callUntil(http.MethodPost, "bookings", id, saving); err != nil {
		return nil, err
	}
	others, err := w.submitBatches(cancelledJobs, "nightly", time.Now().Add(time.Hour))
	if err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	if trouble {
		b, _ := json.Marshal(map[string]any{"wave": savingWave, "machines": hosts, "deadlineS": upkeepTimeOfAll.Seconds(), "cap": 2})
		w.store.Put("keyed.op", fmt.Sprintf("wave/%d", savingWave), b)
		w.record.add("operator: wave %d", savingWave)
	}
	time.Sleep(upkeepTimeOfAll + savingTime + noteTime)
	return w.judgeAcks(id, others)
}

// judgeAcks judges the two rules on acknowledgements: of the ends that workers have listed, and of the cancels of accepted jobs.
func (w *world) judgeAcks(id string, others []string) (*verdict, error) {
	_, state := w.call(w.nodes[0], http.MethodGet, "bookings", id, nil)
	listed, noted := w.countEnds()
	v := &verdict{summary: fmt.Sprintf("the job is shown as %s; %d of %d ends taken note of", state, noted, listed)}
	if (listed-noted)*5 > listed {
		v.violations = append(v.violations, fmt.Sprintf("%d of %d ends that workers list are not taken note of after %v", listed-noted, listed, noteTime))
	}
	var missing atomic.Int32
	_ = concurrently(len(others), func(i int) error {
		for until := time.Now().Add(ackTime); time.Now().Before(until); time.Sleep(time.Second) {
			if status, _ := w.call(w.nodes[i%len(w.nodes)], http.MethodDelete, "nightly", others[i], nil); status == http.StatusOK || status == http.StatusGone {
				return nil
			}
		}
		missing.Add(1)
		return nil
	})
	v.summary += fmt.Sprintf("; %d of %d cancels acknowledged", len(others)-int(missing.Load()), len(others))
	if n := int(missing.Load()); n >= 3 && n*10 > len(others) {
		v.violations = append(v.violations, fmt.Sprintf("%d of %d cancels of accepted jobs have no 2xx or 410 after %v", n, len(others), ackTime))
	}
	return v, nil
}

// countEnds counts the ends that living workers have listed for noteTime, and those of them that were taken note of.
func (w *world) countEnds() (listed, noted int) {
	for _, k := range w.allWorkers() {
		if k.hasLeft() {
			continue
		}
		for _, u := range k.copyRuns() {
			if u.endedAt.IsZero() || time.Since(u.endedAt) < noteTime {
				continue
			}
			listed++
			if !u.notedAt.IsZero() {
				noted++
			}
		}
	}
	return listed, noted
}
