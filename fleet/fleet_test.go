package fleet

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// testFleet is a fleet whose orders take effect immediately.
type testFleet struct {
	t           *testing.T
	c           *Controller
	now         time.Duration
	machines    []Machine
	loads       map[string]Load
	waves       []Wave
	evacuate    map[string][]string
	restarts    int
	workerAgeMs int64 // age of every worker in milliseconds
}

func newTestFleet(t *testing.T, sizes map[string]int) *testFleet {
	w := &testFleet{t: t, c: New(0, 0), now: time.Hour, loads: make(map[string]Load)}
	pools := []string{"a", "b", "spare"}
	for _, pool := range pools {
		for i := range sizes[pool] {
			host := fmt.Sprintf("%s%d", pool, i)
			w.machines = append(w.machines, Machine{Host: host, Pool: pool, State: Up, Worker: "w-" + host})
		}
	}
	return w
}

// load sets the load of a pool. Its machines each run one task, as far as the used amount reaches.
func (w *testFleet) load(pool string, used, waiting float64) {
	w.loads[pool] = Load{Used: used, Waiting: waiting}
}

func (w *testFleet) observation() Observation {
	loads := make(map[string]Load)
	for pool, l := range w.loads {
		left := l.Used
		for _, m := range w.machines {
			if m.Pool != pool || m.State != Up {
				continue
			}
			wl := WorkerLoad{Worker: m.Worker, AgeMs: w.workerAgeMs}
			evacuated := slices.Contains(w.evacuate[pool], m.Worker)
			if left > 0 && !evacuated {
				wl.Runs = 1
				left--
			}
			wl.Evacuated = evacuated
			l.Workers = append(l.Workers, wl)
		}
		loads[pool] = l
	}
	return Observation{
		Machines: slices.Clone(w.machines), Loads: loads, Waves: w.waves,
		Pools: []Pool{{Name: "a"}, {Name: "b"}, {Name: "spare", Standby: true}},
	}
}

// round executes one planning round, applies its orders and returns the plan.
func (w *testFleet) round() Plan {
	w.now += 200 * time.Millisecond
	w.c.Observe(w.observation(), w.now)
	plan := w.c.Plan(w.now)
	w.evacuate = plan.Evacuate
	for _, o := range plan.Orders {
		for i := range w.machines {
			m := &w.machines[i]
			if m.Host != o.Host {
				continue
			}
			if o.Kind == OrderMove {
				m.Pool = o.Pool
			}
			w.restarts++
			m.Worker = fmt.Sprintf("life%d", w.restarts)
		}
		w.c.Result(o, Done, w.now)
	}
	return plan
}

func (w *testFleet) poolSize(pool string) int {
	n := 0
	for _, m := range w.machines {
		if m.Pool == pool {
			n++
		}
	}
	return n
}

// TestPeakTakesMachines guards against a pool that lacks capacity at its load peak while machines of other pools are
// idle.
func TestPeakTakesMachines(t *testing.T) {
	w := newTestFleet(t, map[string]int{"a": 10, "b": 10, "spare": 6})
	w.load("a", 10, 12)
	w.load("b", 1, 0)
	for range 40 {
		w.round()
	}
	if got := w.poolSize("a"); got < 18 {
		t.Fatalf("pool a has %d machines at its peak, want at least 18", got)
	}
	if got := w.poolSize("b"); got < minPoolSize {
		t.Fatalf("pool b has %d machines, less than %d", got, minPoolSize)
	}
}

// TestIdleMachinesGoOnStandby guards against paying for idle machines.
func TestIdleMachinesGoOnStandby(t *testing.T) {
	w := newTestFleet(t, map[string]int{"a": 10, "b": 10, "spare": 0})
	w.load("a", 0, 0)
	w.load("b", 0, 0)
	for range 60 {
		w.round()
	}
	if got := w.poolSize("spare"); got < 10 {
		t.Fatalf("%d machines on standby, want at least 10", got)
	}
}

// TestMachinesOfUnknownPoolsStay guards against moving machines out of a pool whose owner does not answer.
func TestMachinesOfUnknownPoolsStay(t *testing.T) {
	w := newTestFleet(t, map[string]int{"a": 4, "b": 10, "spare": 0})
	w.load("a", 4, 20)
	for range 30 {
		w.round()
	}
	if got := w.poolSize("b"); got != 10 {
		t.Fatalf("pool b has %d machines, want 10", got)
	}
}

// TestWaveKeepsMaxUnavailable guards against more machines in maintenance at once than the wave permits, and against a
// wave that is reported as completed before every machine was maintained.
func TestWaveKeepsMaxUnavailable(t *testing.T) {
	w := newTestFleet(t, map[string]int{"a": 8, "b": 4, "spare": 2})
	w.load("a", 2, 0)
	w.load("b", 1, 0)
	hosts := []string{"a0", "a1", "a2", "b0", "spare0"}
	w.waves = []Wave{{Number: 3, Hosts: hosts, Deadline: 10 * time.Second, MaxUnavailable: 2}}
	done := make(map[string]bool)
	completed := false
	for range 100 {
		plan := w.round()
		for _, o := range plan.Orders {
			if o.Kind == OrderMaintenance {
				done[o.Host] = true
			}
		}
		if n := w.c.countUnavailable(3); n > 2 {
			t.Fatalf("%d machines are down", n)
		}
		if c, ok := plan.Status[3]; ok && c {
			completed = true
			if len(done) != len(hosts) {
				t.Fatalf("completed after %d of %d machines", len(done), len(hosts))
			}
		}
	}
	if !completed {
		t.Fatalf("not completed; done %v", done)
	}
}

// TestNewControllerWaits guards against two controllers that order the same machine alternately.
func TestNewControllerWaits(t *testing.T) {
	w := newTestFleet(t, map[string]int{"a": 4, "spare": 6})
	w.c = New(w.now+2*time.Second, 0)
	w.load("a", 4, 20)
	for range 9 {
		if plan := w.round(); len(plan.Orders) > 0 {
			t.Fatalf("orders %+v before the time of the first order", plan.Orders)
		}
	}
	orders := 0
	for range 9 {
		orders += len(w.round().Orders)
	}
	if orders == 0 {
		t.Fatal("no orders after the time of the first order")
	}
}

// TestUnansweredOrderIsRepeated guards against a machine that stays evacuated indefinitely after a lost answer.
func TestUnansweredOrderIsRepeated(t *testing.T) {
	w := newTestFleet(t, map[string]int{"a": 4, "b": 4, "spare": 1})
	w.load("a", 4, 20)
	w.load("b", 4, 0)
	w.c.Observe(w.observation(), w.now)
	first := w.c.Plan(w.now).Orders
	if len(first) != 1 {
		t.Fatalf("%d orders, want the one for the machine on standby", len(first))
	}
	w.c.Result(first[0], OutcomeUnknown, w.now)
	w.now += orderTimeout + time.Millisecond
	w.c.Observe(w.observation(), w.now)
	if again := w.c.Plan(w.now).Orders; len(again) != 1 || again[0] != first[0] {
		t.Fatalf("orders %+v, want %+v again", again, first)
	}
}

// TestLabelledWorkTakesItsMachines guards against tasks that wait indefinitely because all machines with the required
// label are in other pools.
func TestLabelledWorkTakesItsMachines(t *testing.T) {
	w := newTestFleet(t, map[string]int{"a": 10, "b": 6, "spare": 3})
	w.machines[len(w.machines)-1].Labels = []string{"fast"}
	w.load("a", 2, 0)
	w.load("b", 1, 0.5)
	l := w.loads["b"]
	l.Labelled = []LabelDemand{{Label: "fast", Waiting: 0.5}}
	w.loads["b"] = l
	for range 5 {
		w.round()
	}
	for _, m := range w.machines {
		if slices.Contains(m.Labels, "fast") && m.Pool != "b" {
			t.Fatalf("the machine with the label is in pool %s", m.Pool)
		}
	}
}

// TestControllerHandoverDelay guards against orders of two controllers for one machine in quick succession, and
// against a controller that sends no orders for seconds after each change of the owner.
func TestControllerHandoverDelay(t *testing.T) {
	w := newTestFleet(t, map[string]int{"a": 4, "b": 8, "spare": 1})
	w.c = New(w.now, 3*time.Second)
	w.load("a", 4, 8)
	w.load("b", 0, 0)
	begin := w.now
	w.workerAgeMs = 10_000
	first := make(map[string]time.Duration)
	for range 20 {
		for _, o := range w.round().Orders {
			if _, ok := first[o.Host]; !ok {
				first[o.Host] = w.now - begin
			}
		}
	}
	if at, ok := first["spare0"]; ok && at < 3*time.Second {
		t.Errorf("a machine of unknown age was ordered after %v", at)
	}
	early := 0
	for _, at := range first {
		if at < time.Second {
			early++
		}
	}
	if early == 0 {
		t.Errorf("no machine was ordered within a second: %v", first)
	}
}

// TestNewControllerCountsMachinesThatAreDown guards against more machines in maintenance than the wave permits after a
// change of the controller. It occurs when the new controller counts only the machines that it has ordered itself.
func TestNewControllerCountsMachinesThatAreDown(t *testing.T) {
	w := newTestFleet(t, map[string]int{"a": 8, "spare": 4})
	w.load("a", 1, 0)
	w.waves = []Wave{{Number: 3, Hosts: []string{"a0", "a1", "spare0", "spare1", "spare2", "spare3"}, Deadline: time.Second, MaxUnavailable: 2}}
	for i := range w.machines {
		if h := w.machines[i].Host; h == "a0" || h == "spare0" {
			w.machines[i].State = Maintenance
		}
	}
	for range 5 {
		for _, o := range w.round().Orders {
			if o.Kind == OrderMaintenance {
				t.Fatalf("%s is taken down while 2 others are in maintenance", o.Host)
			}
		}
	}
}

// TestScarceMachinesAreShared guards against a pool that keeps almost all machines throughout its load peak because it
// peaked first, while requests to another pool that peaks later are refused.
func TestScarceMachinesAreShared(t *testing.T) {
	w := newTestFleet(t, map[string]int{"a": 26, "b": 4, "spare": 2})
	w.load("a", 26, 14)
	w.load("b", 4, 28)
	for range 60 {
		w.round()
		w.load("a", float64(w.poolSize("a")), 40-float64(w.poolSize("a")))
		w.load("b", float64(w.poolSize("b")), 32-float64(w.poolSize("b")))
	}
	if a, b := w.poolSize("a"), w.poolSize("b"); b < 12 || a < 15 {
		t.Fatalf("pools that need 40 and 32 of 32 machines have %d and %d", a, b)
	}
}

// TestLateWorkGivesWay guards against machines that run jobs which miss their objective in any case, while jobs in
// another pool become late for lack of machines.
func TestLateWorkGivesWay(t *testing.T) {
	w := newTestFleet(t, map[string]int{"a": 20, "b": 6, "spare": 0})
	for range 40 {
		size := float64(w.poolSize("a"))
		w.loads["a"] = Load{Used: size, UsedLate: size - 1, WaitingLate: 30}
		w.load("b", float64(w.poolSize("b")), 16-float64(w.poolSize("b")))
		w.round()
	}
	if got := w.poolSize("b"); got < 16 {
		t.Fatalf("pool b has %d machines for work that can be on time, want 16", got)
	}
}

// TestLateWorkTakesMachinesOnStandby guards against accepted jobs that wait although standby machines are available.
func TestLateWorkTakesMachinesOnStandby(t *testing.T) {
	w := newTestFleet(t, map[string]int{"a": 4, "b": 4, "spare": 8})
	w.loads["a"] = Load{Used: 4, UsedLate: 4, WaitingLate: 10}
	w.load("b", 1, 0)
	for range 20 {
		w.round()
	}
	if got := w.poolSize("a"); got < 10 {
		t.Fatalf("pool a has %d machines while 8 were on standby, want at least 10", got)
	}
}

// TestWaveBeginsWithLongRunningTasks guards against a wave that leaves all machines with long-running tasks to its end.
// Those tasks move one at a time within their budgets, so the last machines missed the deadline.
func TestWaveBeginsWithLongRunningTasks(t *testing.T) {
	w := newTestFleet(t, map[string]int{"a": 5, "b": 5, "spare": 8})
	for _, pool := range []string{"a", "b"} {
		l := Load{Used: 1}
		for i := range 5 {
			l.Workers = append(l.Workers, WorkerLoad{Worker: fmt.Sprintf("w-%s%d", pool, i), Runs: 1, LongRunning: 1})
		}
		w.loads[pool] = l
	}
	wave := Wave{Number: 3, Deadline: time.Minute, MaxUnavailable: 3}
	for _, m := range w.machines {
		wave.Hosts = append(wave.Hosts, m.Host)
	}
	o := Observation{
		Machines: w.machines, Loads: w.loads, Waves: []Wave{wave},
		Pools: []Pool{{Name: "a"}, {Name: "b"}, {Name: "spare", Standby: true}},
	}
	w.c.Observe(o, w.now)
	plan := w.c.Plan(w.now)
	if len(plan.Evacuate["a"]) != 1 || len(plan.Evacuate["b"]) != 1 {
		t.Fatalf("evacuated first: %v, want one machine with long-running tasks in each pool", plan.Evacuate)
	}
}
