package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// servingPool runs the lasting job, sparePool is on standby.
	servingPool, sparePool = "kiosk", "spare"
	servingMachines        = 3
	spareMachines          = 14
	// lastingUnits is the number of work units of the lasting job, at most one a worker; missBudget of them may be away.
	lastingUnits = 12
	missBudget   = 1
	// outageTime is how long the machine service is silent.
	outageTime = 3700 * time.Millisecond
	// The wave names two racks, 8 of 17 machines, and permits four at once.
	waveNumber = 7
	waveCap    = 4
)

// waveRacks are the racks whose machines are due for upkeep.
var waveRacks = []string{"r1-1", "r1-2"}

// playMachineList submits a lasting job for which machines move from standby. Right after the moves the machine service is silent
// for some seconds. Meanwhile the operator asks for the upkeep of the machines.
func playMachineList(w *world, trouble bool) (*verdict, error) {
	w.machines.behavior = func(string, string) (time.Duration, bool) { return 0, true }
	for i := range servingMachines + spareMachines {
		p := sparePool
		if i < servingMachines {
			p = servingPool
		}
		if err := w.machines.add(fmt.Sprintf("m%02d", i), p, fmt.Sprintf("r1-%d", i/4)); err != nil {
			return nil, err
		}
	}
	w.configure([]route{{"desk", servingPool}}, map[string]bool{servingPool: false, sparePool: true})
	if err := w.startNodes(3); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	moved := make(chan struct{})
	var once sync.Once
	w.machines.mu.Lock()
	w.machines.onOrder = func(string, string) { once.Do(func() { close(moved) }) }
	w.machines.mu.Unlock()
	body := jobBody{Spec: "desk", Steps: []step{{
		Count: lastingUnits, CPU: 40000, MemMB: 1024, EstimateMs: 1000, MaxPerServer: 1, Daemon: true, MissBudget: missBudget,
	}}}
	if err := w.callUntil(http.MethodPost, "desk", w.newJobID(), body); err != nil {
		return nil, err
	}
	select {
	case <-moved:
	case <-time.After(10 * time.Second):
		return nil, errors.New("no machine moves")
	}
	// The moves of one round are sent together.
	time.Sleep(30 * time.Millisecond)
	if trouble {
		w.machines.setSilent(true)
	}
	time.Sleep(3 * time.Second)
	w.declareWave()
	time.Sleep(outageTime - 3*time.Second)
	w.machines.setSilent(false)
	time.Sleep(25 * time.Second)
	violations := w.judgeBudget()
	return &verdict{violations, fmt.Sprintf("%d lasting work units, %d ended by orders beyond missBudget %d", lastingUnits, len(violations), missBudget)}, nil
}

// declareWave asks for the upkeep of the machines of two racks.
func (w *world) declareWave() {
	hosts := w.machines.inRacks(waveRacks)
	b, _ := json.Marshal(map[string]any{"wave": waveNumber, "machines": hosts, "deadlineS": 24.0, "cap": waveCap})
	w.store.Put("keyed.op", fmt.Sprintf("wave/%d", waveNumber), b)
	w.record.add("operator: wave %d with %s", waveNumber, strings.Join(hosts, " "))
}

// judgeBudget returns the violations of the rule AVAIL: an order ends a work unit that is at work on a sound worker while missBudget
// others of its step are away, ended by such an order.
func (w *world) judgeBudget() []string {
	byTask := make(map[string][]unitRun)
	var all []unitRun
	for _, k := range w.allWorkers() {
		for _, u := range k.copyRuns() {
			byTask[u.task] = append(byTask[u.task], u)
			all = append(all, u)
		}
	}
	sort.Slice(all, func(i, k int) bool { return all[i].endedAt.Before(all[k].endedAt) })
	var out []string
	for _, u := range all {
		if !endedByOrder(&u) || u.endedAt.Sub(u.startedAt) < lastingStartup {
			continue
		}
		away := 0
		for task, runs := range byTask {
			if task != u.task && awayByOrder(runs, u.endedAt) {
				away++
			}
		}
		if away >= missBudget {
			out = append(out, fmt.Sprintf("%s on %s ended by a %s at %.3f while %d others are away by such orders",
				u.task, u.worker, u.how, w.record.seconds(u.endedAt), away))
		}
	}
	return out
}

func endedByOrder(u *unitRun) bool { return u.how == "machine order" || u.how == "stopped" }

// awayByOrder reports whether at a time the last run of a work unit has been ended by an order and no later run is at work.
func awayByOrder(runs []unitRun, at time.Time) bool {
	var last *unitRun
	for i := range runs {
		r := &runs[i]
		if r.startedAt.Add(lastingStartup).Before(at) && (r.endedAt.IsZero() || !r.endedAt.Before(at)) {
			return false
		}
		if !r.endedAt.IsZero() && r.endedAt.Before(at) && (last == nil || r.endedAt.After(last.endedAt)) {
			last = r
		}
	}
	return last != nil && endedByOrder(last)
}
