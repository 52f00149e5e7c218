package job

import (
	"fmt"
	"hash/fnv"
	"io"
	"maps"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/berylwharf/berylwharf/quota"
)

// fingerprint returns a hash of everything that is reachable from v, unexported fields included. The order of a map does not
// count, and neither does the capacity of a slice.
func fingerprint(v any) uint64 {
	h := fnv.New64a()
	writeState(h, reflect.ValueOf(v), make(map[uintptr]bool))
	return h.Sum64()
}

func writeState(w io.Writer, v reflect.Value, seen map[uintptr]bool) {
	switch v.Kind() {
	case reflect.Pointer:
		// The address stands for the identity, which must not change either.
		_, _ = fmt.Fprintf(w, "%x;", v.Pointer())
		if v.IsNil() || seen[v.Pointer()] {
			return
		}
		seen[v.Pointer()] = true
		writeState(w, v.Elem(), seen)
	case reflect.Struct:
		for i := range v.NumField() {
			writeState(w, v.Field(i), seen)
		}
	case reflect.Slice, reflect.Array:
		_, _ = fmt.Fprintf(w, "[%d;", v.Len())
		for i := range v.Len() {
			writeState(w, v.Index(i), seen)
		}
	case reflect.Map:
		values := make(map[string]reflect.Value, v.Len())
		for i := v.MapRange(); i.Next(); {
			values[fmt.Sprint(i.Key())] = i.Value()
		}
		_, _ = fmt.Fprintf(w, "{%d;", len(values))
		for _, k := range slices.Sorted(maps.Keys(values)) {
			_, _ = fmt.Fprintf(w, "%s:", k)
			writeState(w, values[k], seen)
		}
	default:
		_, _ = fmt.Fprintf(w, "%v;", v)
	}
}

// randomSpec returns a job of the mixed load: gangs, labels, chains, customers with a cap, best-effort and latency-critical tasks
// with images, jobs that need advice and jobs that are not due.
func randomSpec(r *rand.Rand, id string, now Time) *Spec {
	s := &Spec{
		ID: id, Pool: "pool", Queue: fmt.Sprint("q", r.IntN(3)), Attempts: 2, Priority: r.IntN(2), ObjectiveFactor: 2,
		ObjectiveMargin: 300 * time.Millisecond, AcceptedMs: now.WallMs, Customer: []string{"", "c", "free"}[r.IntN(3)],
		NeedsAdvice: r.IntN(12) == 0,
	}
	step := Step{
		Count: 1 + r.IntN(9), Request: Resources{CPU: 4000 * int64(1+r.IntN(8)), MemMB: 4000}, Estimate: time.Duration(100+r.IntN(600)) * time.Millisecond,
		Gang: r.IntN(5) == 0, MaxPerWorker: r.IntN(3),
	}
	switch r.IntN(8) {
	case 0:
		step.Image, step.BestEffort = fmt.Sprint("batch", r.IntN(40)), true
	case 1:
		step.Image, step.LatencyTarget = fmt.Sprint("serve", r.IntN(40)), time.Second
	case 2:
		step.Label = "none"
	case 3:
		step.Request.CPU = 70000
	case 4:
		s.Occurrences, s.StartMs, s.IntervalMs = 2, now.WallMs+int64(r.IntN(2))*60_000, 1000
	}
	s.Steps = []Step{step, {Count: 2, Request: Resources{CPU: 1000}, Estimate: 100 * time.Millisecond, DependsOn: []int{0}}}
	return s
}

// TestExplanationChangesNothing guards against explanations that leave anything behind in the pool, and that say something else
// than a submission right after does. Two pools get the same seeded load with caps and overload, and one of them explains each
// job before it is submitted.
func TestExplanationChangesNothing(t *testing.T) {
	answers, placed, waiting, known := make(map[Answer]int), 0, 0, 0
	for seed := range uint64(4) {
		asked, plain := newOverloadSim(6), newOverloadSim(6)
		r := rand.New(rand.NewPCG(seed, 1))
		for n := range 250 {
			grant := quota.Amount{int64(r.IntN(60000)), quota.NoLimit, quota.NoLimit}
			spec := randomSpec(r, fmt.Sprintf("j%05d", n-r.IntN(8)/7), asked.now)
			var told Explanation
			var orders [2][]Order
			for i, s := range []*overloadSim{asked, plain} {
				if n == 0 {
					s.pool.SetCustomers(map[string]CustomerLimits{"c": {Weight: 3, Cap: Resources{CPU: 60000}}, "free": {Weight: 20}})
					s.pool.SetCaps(1)
				}
				if n%10 == 0 {
					now := s.now.Steady
					s.pool.QuotaRound(quota.Offer{
						Epoch: 1, Number: int64(n + 1), Version: 1, Clock: now, Hold: quota.Hold, Give: true, Grants: map[string]quota.Amount{"c": grant},
					}, s.now)
				}
				s.pool.housekeeping(s.now)
				for _, r := range s.pool.TakeAdviceRequests() {
					// A request whose answer came too late is repeated by the next pass.
					valid := time.Duration(n%2) * 400 * time.Millisecond
					s.pool.ApplyAdvice(r, []Ticket{{r.Workers[0], "ticket"}}, valid, s.now.Steady, s.now)
				}
				if s == asked {
					var before uint64
					compare := n%4 == 0 // the comparison takes longer than all the rest
					if compare {
						before = fingerprint(s.pool)
					}
					told = s.pool.Explain(spec.ID, "", spec, s.now)
					s.pool.Explain("", "nobody", nil, s.now)
					if compare && fingerprint(s.pool) != before {
						t.Fatalf("seed %d, job %d: the explanation of %+v changed the pool", seed, n, spec)
					}
				}
				orders[i] = s.submitExplained(t, spec, told, s == asked)
				s.step()
			}
			if !reflect.DeepEqual(orders[0], orders[1]) || !reflect.DeepEqual(asked.completed, plain.completed) {
				t.Fatalf("seed %d, job %d: orders %+v with explanations, %+v without", seed, n, orders[0], orders[1])
			}
			answers[told.Answer]++
			switch {
			case told.Known:
				known++
			case told.Place != nil && told.Place.Worker != "":
				placed++
			case told.Place != nil && told.Place.Waits != "":
				waiting++
			}
		}
	}
	if placed < 40 || waiting < 40 || known < 10 || answers[Refused] < 40 || answers[OverCap] < 5 {
		t.Errorf("the load shows too little: answers %v, %d placed, %d waiting, %d known", answers, placed, waiting, known)
	}
}

// submitExplained submits a job and runs a scheduling pass. It returns the orders and, with check, compares them with what was
// told.
func (s *overloadSim) submitExplained(t *testing.T, spec *Spec, told Explanation, check bool) []Order {
	t.Helper()
	known := s.pool.Knows(spec.ID)
	answer, retry := s.pool.Submit(spec, s.now)
	s.commit()
	s.pool.lastHousekeeping = 0 // a new job is taken up by the next housekeeping
	s.pool.Tick(s.now)
	orders := s.pool.TakeOrders()
	got := make(map[string]int)
	first := ""
	for _, o := range orders {
		if o.Kind != OrderStart {
			continue
		}
		step := s.pool.task(o.Task).step
		s.running[o.Worker] = append(s.running[o.Worker], overloadRun{id: o.Task, run: o.Run, ends: s.now.Steady + step.Estimate})
		s.pool.Started(o, ResultDone, s.now)
		if o.Task.Job == spec.ID && o.Task.Step == 0 {
			got[o.Worker]++
		}
		if o.Task == (TaskID{Job: spec.ID}) {
			first = o.Worker
		}
	}
	if !check {
		return orders
	}
	if known != told.Known || (!known && (answer != told.Answer || retry.Milliseconds() != told.RetryMs)) {
		t.Fatalf("submission answered %d after %v, told %+v", answer, retry, told)
	}
	if told.Place == nil {
		return orders
	}
	want := make(map[string]int)
	for _, w := range told.Place.Workers {
		want[w.Worker] = w.Tasks
	}
	if first != told.Place.Worker || !reflect.DeepEqual(got, want) {
		t.Fatalf("first task on %q, all on %v; told %+v", first, got, told.Place)
	}
	return orders
}
