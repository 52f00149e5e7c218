package planner

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 5, 0, 0, 0, 0, time.UTC)

// TestPlan guards against waves that exceed a budget, start a second failure domain before the first is finished,
// continue after correlated failures, or wait without a reason.
func TestPlan(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var f Fleet
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "fleet":
				f = parseFleet(t, d.Input)
				return "ok"
			case "plan":
				now := start
				if d.HasArg("after") {
					var s string
					d.ScanArgs(t, "after", &s)
					elapsed, err := time.ParseDuration(s)
					if err != nil {
						t.Fatal(err)
					}
					now = now.Add(elapsed)
				}
				return formatPlan(Compute(&f, DefaultDeadlines(), now))
			}
			t.Fatalf("unknown command %s", d.Cmd)
			return ""
		})
	})
}

// parseFleet reads lines such as "vm a1 rack=r1 pool=p phase=draining unhealthy".
func parseFleet(t *testing.T, input string) Fleet {
	var f Fleet
	for _, line := range strings.Split(input, "\n") {
		words := strings.Fields(line)
		if len(words) < 2 {
			continue
		}
		args := make(map[string]string)
		for _, w := range words[2:] {
			k, v, _ := strings.Cut(w, "=")
			args[k] = v
		}
		number := func(k string) int {
			n, err := strconv.Atoi(args[k])
			if err != nil && args[k] != "" {
				t.Fatal(err)
			}
			return n
		}
		has := func(k string) bool { _, ok := args[k]; return ok }
		switch words[0] {
		case "pool":
			f.Pools = append(f.Pools, Pool{Name: words[1], MinVMs: number("min")})
		case "budget":
			f.Budgets = append(f.Budgets, AvailabilityBudget{Customer: words[1], Pool: args["pool"], MaxUnavailable: number("max")})
		case "wave":
			w := Wave{
				Name: words[1], Pool: args["pool"], FirstGroup: max(number("first"), 1),
				MaxParallel: max(number("parallel"), 1), Paused: has("paused"), StopReason: args["stopped"],
			}
			if has("order") {
				w.FirstVMs = strings.Split(args["order"], ",")
			}
			for _, r := range strings.FieldsFunc(args["finished"], func(c rune) bool { return c == ',' }) {
				w.Results = append(w.Results, MaintenanceResult{VM: strings.TrimSuffix(r, "!"), Failed: strings.HasSuffix(r, "!")})
			}
			f.Waves = append(f.Waves, w)
		case "vm":
			f.VMs = append(f.VMs, VM{
				Name: words[1], Rack: args["rack"], Zone: args["zone"], Pool: args["pool"], Phase: Phase(args["phase"]),
				PhaseSince: start, Wave: args["wave"], Drained: has("drained"), NextPool: args["next"], Healthy: !has("unhealthy"),
				Idle: has("idle"), Rebooted: has("rebooted"),
			})
		default:
			t.Fatalf("unknown line %q", line)
		}
	}
	return f
}

func formatPlan(p Plan) string {
	var b strings.Builder
	for _, s := range p.Steps {
		fmt.Fprintf(&b, "step %s %s %s: %s\n", s.Wave, s.Kind, s.VM, s.Reason)
	}
	for _, w := range p.Waiting {
		fmt.Fprintf(&b, "wait %s %s: %s\n", w.Wave, w.VM, w.Reason)
	}
	if b.Len() == 0 {
		return "nothing\n"
	}
	return b.String()
}

// TestBudgetsUnderFailures guards against planned stops that exceed a budget when VMs fail during a wave, and against
// waits without a reason.
func TestBudgetsUnderFailures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f, d := drawFleet(t), DefaultDeadlines()
		now := start
		for round := 0; round < 400; round++ {
			now = now.Add(time.Minute)
			injectFailures(t, &f)
			plan := Compute(&f, d, now)
			checkBudgets(t, &f, plan)
			checkReasons(t, plan)
			for _, s := range plan.Steps {
				if CheckStillDue(s, &f, d, now) == nil {
					applyStep(&f, s, now)
				}
			}
			simulateProgress(t, &f)
		}
	})
}

func drawFleet(t *rapid.T) Fleet {
	f := Fleet{
		Pools:   []Pool{{Name: "p", MinVMs: rapid.IntRange(0, 4).Draw(t, "min")}},
		Budgets: []AvailabilityBudget{{Customer: "c", Pool: "p", MaxUnavailable: rapid.IntRange(0, 4).Draw(t, "budget")}},
	}
	if rapid.Bool().Draw(t, "second budget") {
		f.Budgets = append(f.Budgets, AvailabilityBudget{Customer: "d", Pool: "p", MaxUnavailable: rapid.IntRange(0, 4).Draw(t, "d")})
	}
	for i := range rapid.IntRange(1, 16).Draw(t, "vms") {
		f.VMs = append(f.VMs, VM{
			Name: fmt.Sprintf("vm%02d", i), Rack: fmt.Sprintf("r%d", i/4), Zone: fmt.Sprintf("z%d", i/8), Pool: "p",
			Healthy: true,
		})
	}
	for i := range rapid.IntRange(1, 2).Draw(t, "waves") {
		f.Waves = append(f.Waves, Wave{
			Name: fmt.Sprintf("w%d", i), Pool: "p", FirstGroup: rapid.IntRange(1, 3).Draw(t, "first"),
			MaxParallel: rapid.IntRange(1, 6).Draw(t, "parallel"),
		})
	}
	return f
}

func injectFailures(t *rapid.T, f *Fleet) {
	for i := range f.VMs {
		if rapid.IntRange(0, 99).Draw(t, "failure") == 0 {
			f.VMs[i].Healthy = !f.VMs[i].Healthy
		}
	}
}

// checkBudgets counts the VMs that the drain steps of a plan make unavailable and checks every budget. Failed VMs alone
// may exceed a budget, but then the plan must not make another VM unavailable.
func checkBudgets(t *rapid.T, f *Fleet, plan Plan) {
	unavailable, available := 0, 0
	for i := range f.VMs {
		if f.VMs[i].Available() {
			available++
		} else {
			unavailable++
		}
	}
	newlyUnavailable := 0
	for _, s := range plan.Steps {
		if s.Kind != StepDrain {
			continue
		}
		for i := range f.VMs {
			if f.VMs[i].Name == s.VM && f.VMs[i].Available() {
				newlyUnavailable++
			}
		}
	}
	if newlyUnavailable == 0 {
		return
	}
	for _, b := range f.Budgets {
		if unavailable+newlyUnavailable > b.MaxUnavailable {
			t.Fatalf("%d unavailable and %d more by plan exceed %d of %s", unavailable, newlyUnavailable, b.MaxUnavailable, b.Customer)
		}
	}
	if available-newlyUnavailable < f.Pools[0].MinVMs {
		t.Fatalf("%d available, %d taken out, %d needed", available, newlyUnavailable, f.Pools[0].MinVMs)
	}
}

func checkReasons(t *rapid.T, plan Plan) {
	for _, w := range plan.Waiting {
		if w.Reason == "" {
			t.Fatalf("wait without a reason: %+v", w)
		}
	}
}

// applyStep applies one step to the simulated fleet as the controller does.
func applyStep(f *Fleet, s Step, now time.Time) {
	var w *Wave
	for i := range f.Waves {
		if f.Waves[i].Name == s.Wave {
			w = &f.Waves[i]
		}
	}
	if s.Kind == StepStopWave {
		w.StopReason = s.Reason
		return
	}
	for i := range f.VMs {
		v := &f.VMs[i]
		if v.Name != s.VM {
			continue
		}
		v.PhaseSince = now
		switch s.Kind {
		case StepDrain:
			v.Phase, v.Wave, v.Idle, v.Rebooted = PhaseDraining, s.Wave, false, false
		case StepReboot:
			v.Phase = PhaseRebooting
		case StepVerify:
			v.Phase = PhaseVerifying
		case StepReturn, StepCancel, StepGiveUp:
			failed := s.Kind != StepReturn
			w.Results = append(w.Results, MaintenanceResult{VM: v.Name, Rack: v.Rack, Failed: failed})
			v.Phase, v.Wave = PhaseServing, ""
			if s.Kind == StepGiveUp {
				v.Healthy = false
			}
		}
	}
}

// simulateProgress makes random draining VMs idle and random rebooting VMs restart.
func simulateProgress(t *rapid.T, f *Fleet) {
	for i := range f.VMs {
		v := &f.VMs[i]
		switch v.Phase {
		case PhaseDraining:
			v.Idle = rapid.IntRange(0, 2).Draw(t, "idle") > 0
		case PhaseRebooting:
			v.Rebooted = v.Rebooted || rapid.IntRange(0, 3).Draw(t, "rebooted") > 0
		}
	}
}

// BenchmarkCompute measures one planning round. The target for 10,000 VMs is 100 ms and 64 MB.
func BenchmarkCompute(b *testing.B) {
	for _, n := range []int{100, 1_000, 10_000} {
		f := benchFleet(n)
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				Compute(f, DefaultDeadlines(), start)
			}
		})
	}
}

func benchFleet(n int) *Fleet {
	const pools = 34
	f := &Fleet{}
	for i := range pools {
		name := fmt.Sprintf("pool%02d", i)
		f.Pools = append(f.Pools, Pool{Name: name, MinVMs: 1})
		f.Waves = append(f.Waves, Wave{Name: name, Pool: name, FirstGroup: 1, MaxParallel: 4})
		for c := range 20 {
			f.Budgets = append(f.Budgets, AvailabilityBudget{Customer: fmt.Sprintf("c%d", c), Pool: name, MaxUnavailable: 2 + c})
		}
	}
	for i := range n {
		f.VMs = append(f.VMs, VM{
			Name: fmt.Sprintf("vm%05d", i), Rack: fmt.Sprintf("r%d", i/4), Zone: fmt.Sprintf("z%d", i%22),
			Pool: f.Pools[i%pools].Name, Healthy: true,
		})
	}
	return f
}

// TestWaveCompletes guards against a wave that stalls, or takes longer than its budget requires, although no VM fails.
func TestWaveCompletes(t *testing.T) {
	f := Fleet{
		Budgets: []AvailabilityBudget{{Customer: "c", Pool: "p", MaxUnavailable: 2}},
		Waves:   []Wave{{Name: "w", Pool: "p", FirstGroup: 1, MaxParallel: 3}},
	}
	for i := range 16 {
		f.VMs = append(f.VMs, VM{Name: fmt.Sprintf("vm%02d", i), Rack: fmt.Sprintf("r%d", i/4), Pool: "p", Healthy: true})
	}
	now, rounds := start, 0
	for ; len(f.Waves[0].Results) < len(f.VMs) && rounds < 1000; rounds++ {
		now = now.Add(time.Minute)
		for _, s := range Compute(&f, DefaultDeadlines(), now).Steps {
			applyStep(&f, s, now)
		}
		for i := range f.VMs {
			f.VMs[i].Idle = f.VMs[i].Phase == PhaseDraining
			f.VMs[i].Rebooted = f.VMs[i].Phase == PhaseRebooting
		}
	}
	// Each VM takes 4 rounds. Rack 0 needs 3 batches (1, 2 and 1 VMs), the other racks 2 batches of two VMs each: 9 batches
	// in all. A batch may start in the round after the previous one ended.
	const batches, roundsPerBatch = 9, 5
	if rounds > batches*roundsPerBatch {
		t.Fatalf("%d of %d VMs finished after %d rounds", len(f.Waves[0].Results), len(f.VMs), rounds)
	}
	t.Logf("%d rounds", rounds)
}
