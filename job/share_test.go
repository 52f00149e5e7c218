package job

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"
)

// stream is a load of jobs of one step. Its tasks take 640 ms and an eighth of a worker unless the step says else. The rate, in
// jobs a second, is multiplied by a factor from one second to another.
type stream struct {
	customer               string
	priority               int
	step                   Step
	rate, factor, from, to float64
	jobs                   []*replayedJob // filled by replay
}

// replayedJob is a job that is submitted for the first time at one time, and for the next time at another.
type replayedJob struct {
	at, next time.Duration
	id       string
	waits    []time.Duration // Retry-After of the refusals
	took     time.Duration   // from the accepted submission to the completion; zero if the job was not completed
}

// replay runs 15 seconds of streams against a pool of 20 workers. A refused caller returns after the time that it was told, up to
// four times.
func replay(limits map[string]CustomerLimits, streams ...*stream) *overloadSim {
	s := newOverloadSim(20)
	s.pool.SetCustomers(limits)
	rnd := rand.New(rand.NewPCG(1, 2))
	owed := make([]float64, len(streams))
	for start, at := s.now.Steady, time.Duration(0); at < time.Minute; at = s.now.Steady - start {
		for i, st := range streams {
			st.step.Request.CPU, st.step.Estimate = max(8000, st.step.Request.CPU), max(640*time.Millisecond, st.step.Estimate)
			rate := st.rate
			if at.Seconds() >= st.from && at.Seconds() < st.to {
				rate *= st.factor
			}
			for owed[i] += rate * overloadStep.Seconds() * 2 * rnd.Float64(); owed[i] >= 1 && at < 15*time.Second; owed[i]-- {
				st.jobs = append(st.jobs, &replayedJob{at: at, next: at})
			}
			for _, j := range st.jobs {
				j.took = s.completed[j.id]
				if j.id == "" && len(j.waits) < 5 && at >= j.next {
					id, answer, wait := s.submitSpec(Spec{Queue: fmt.Sprint(st.priority), Priority: st.priority, Customer: st.customer, Steps: []Step{st.step}})
					if answer == Refused {
						j.waits, j.next = append(j.waits, wait), at+(wait+time.Second-1).Truncate(time.Second)
					} else {
						j.id = id
					}
				}
			}
		}
		s.step()
	}
	return s
}

// served returns the part that completed on time of the jobs first submitted between two times in seconds, how many completed
// late, and the 99th percentile of how long the completed ones waited.
func (s *stream) served(from, to float64) (onTime float64, late int, wait time.Duration) {
	var waits []time.Duration
	n := 0.0
	for _, j := range s.jobs {
		if j.at.Seconds() < from || j.at.Seconds() >= to {
			continue
		}
		n++
		waits = append(waits, max(0, j.took-s.step.Estimate))
		switch {
		case j.took > 600*time.Millisecond+s.step.Estimate*8/5:
			late++
		case j.took > 0:
			onTime++
		}
	}
	slices.Sort(waits)
	return onTime / n, late, waits[len(waits)*99/100]
}

// TestSharesNeedWeights guards against decisions on jobs without a weighted customer that depend on the customers of the
// configuration.
func TestSharesNeedWeights(t *testing.T) {
	var jobs [2][]*replayedJob
	for i, limits := range []map[string]CustomerLimits{nil, {"a": {Weight: 3}, "b": {Weight: 0.5}, "x": {}}} {
		streams := []*stream{
			{step: Step{Count: 4}, rate: 20, factor: 5, from: 3, to: 9},
			{customer: "x", priority: 1, step: Step{Count: 16, Gang: true}, rate: 4, factor: 3, from: 5, to: 12},
		}
		if s := replay(limits, streams...); s.refused == 0 {
			t.Error("no job was refused, so the load shows nothing")
		}
		jobs[i] = slices.Concat(streams[0].jobs, streams[1].jobs)
	}
	if !reflect.DeepEqual(jobs[0], jobs[1]) {
		t.Error("answers or times depend on the customers of the configuration")
	}
}

// TestCustomerFlood guards against a customer that sends seven times its usual load and thereby takes the pool from 19 others.
// Without weights 0.48 of the others' jobs were on time during the flood, 0.32 in the worst-served tenth of the customers.
// With priority before shares it was 0.07 if the flood was urgent.
func TestCustomerFlood(t *testing.T) {
	for _, c := range []struct {
		priority         int
		scale            float64 // of the weights; with 1 the rates are a little above the usual load
		mean, worstTenth float64
		wait             time.Duration // bound of the 99th percentile
	}{{1, 1, 1, 1, 200 * time.Millisecond}, {1, 10, 1, 1, 200 * time.Millisecond}, {0, 10, 1, 1, 200 * time.Millisecond}, {1, 1. / 6, 0.97, 0.85, 600 * time.Millisecond}} {
		flood := &stream{customer: "large", priority: c.priority, step: Step{Count: 4}, rate: 9.4, factor: 7, from: 3, to: 9}
		streams, limits := []*stream{flood}, map[string]CustomerLimits{"large": {Weight: 12 * c.scale}}
		for i := range 19 {
			streams = append(streams, &stream{customer: fmt.Sprint(i), priority: 1, step: Step{Count: 4}, rate: 2.3})
			limits[fmt.Sprint(i)] = CustomerLimits{Weight: 3 * c.scale}
		}
		replay(limits, streams...)
		for _, phase := range [][2]float64{{0, 3}, {3, 9}, {9, 15}} {
			var parts []float64
			mean, wait := 0.0, time.Duration(0)
			for _, st := range streams[1:] {
				part, _, w := st.served(phase[0], phase[1])
				parts, mean, wait = append(parts, part), mean+part/19, max(wait, w)
			}
			slices.Sort(parts)
			worst := (parts[0] + parts[1]) / 2
			t.Logf("%+v, seconds %v: others %.3f on time, worst tenth %.3f, wait %v", c, phase, mean, worst, wait)
			if mean < c.mean-0.001 || worst < c.worstTenth || wait > c.wait {
				t.Errorf("the service of the others suffers")
			}
		}
		onTime, late, _ := flood.served(0, 15)
		returns := make(map[time.Duration]int) // by the second
		for _, j := range flood.jobs {
			for _, w := range j.waits {
				returns[w.Truncate(time.Second)]++
			}
		}
		t.Logf("flood: %d jobs, %.3f on time, %d late, Retry-After %v", len(flood.jobs), onTime, late, returns)
		if late > 25 || len(returns) < 7 {
			t.Error("the excess is not refused at once, or its callers return together")
		}
	}
}

// TestBursts guards against bursts that starve each other, the largest tenth of a queue or the next fifth, and against peaks
// in turn that leave the pool idle. In the former, one customer sends jobs of three sizes, another urgent ones, and a third as
// usual. Without weights 0.09 to 0.25 of most sizes of the first one's jobs and 0.3 to 0.4 of the third one's were on time.
func TestBursts(t *testing.T) {
	for _, large := range []Step{{Count: 40}, {Count: 2, Request: Resources{CPU: 40000}}, {Count: 16, Gang: true}, {Count: 4, Estimate: 4 * time.Second}} {
		streams := []*stream{
			{customer: "a", priority: 1, step: large, rate: 1}, {customer: "a", priority: 1, step: Step{Count: 8}, rate: 2},
			{customer: "a", priority: 1, step: Step{Count: 2}, rate: 7}, {customer: "b", step: Step{Count: 4}, rate: 20}, {customer: "c", priority: 1, step: Step{Count: 4}, rate: 10},
		}
		part := make([]float64, len(streams))
		for _, s := range streams[:4] {
			s.factor, s.from, s.to = 5, 3, 9
		}
		replay(map[string]CustomerLimits{"a": {Weight: 200}, "b": {Weight: 200}, "c": {Weight: 200}}, streams...)
		for i, s := range streams {
			part[i], _, _ = s.served(0, 15)
		}
		whole := 0.1*part[0] + 0.2*part[1] + 0.7*part[2]
		t.Logf("%+v: largest tenth, next fifth, rest, urgent, usual: %.2f on time", large, part)
		if min(part[0], part[1]) < whole/2 || min(whole, part[3]) < 0.6 || part[4] < 0.98 {
			t.Error("a burst starves another load")
		}
	}
	var streams []*stream
	limits := make(map[string]CustomerLimits)
	for i := 0.0; i < 5; i++ {
		limits[fmt.Sprint(i)] = CustomerLimits{Weight: 7}
		streams = append(streams, &stream{customer: fmt.Sprint(i), step: Step{Count: 4}, rate: 1, factor: 80, from: 3 * i, to: 3*i + 3})
	}
	replay(limits, streams...)
	for _, s := range streams {
		if onTime, _, _ := s.served(0, 15); onTime < 0.95 {
			t.Errorf("customer %s has %.3f of its peak on time", s.customer, onTime)
		}
	}
}

// TestAdmissionAtShare guards against a rate that refuses jobs while the pool is idle, against tokens that frequent versions
// of the configuration renew, and against refusals that an operator cannot explain.
func TestAdmissionAtShare(t *testing.T) {
	s := newOverloadSim(1)
	spec := Spec{Customer: "a", Steps: []Step{{Count: 1, Request: Resources{CPU: 8000, MemMB: 8000}, Estimate: time.Second}}}
	for i := range 30 {
		s.pool.SetCustomers(map[string]CustomerLimits{"a": {Weight: 2}, "b": {Weight: 6}})
		s.pool.SetCustomersVersion(17)
		id, answer, wait := s.submitSpec(spec)
		events := s.pool.TakeEvents()
		switch j := s.pool.jobs[id]; {
		case answer == Refused && (i < 8 || wait < minRetryAfter || wait > maxRetryAfter):
			t.Errorf("job %d is refused for %v", i, wait)
		case answer == Refused && !strings.Contains(events[0].Reason, `"a" of configuration 17: share 1.0000`):
			t.Errorf("job %d is refused with the reason %s", i, events[0].Reason)
		case answer != Refused && j.overRate != (i >= 2):
			t.Errorf("job %d: over rate %v, want the first two within the rate", i, j.overRate)
		}
	}
	spec.Customer = "b"
	if _, answer, _ := s.submitSpec(spec); answer == Refused {
		t.Error("a customer without work is refused because of another customer's work")
	}
}
