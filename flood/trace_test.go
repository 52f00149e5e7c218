package flood

import (
	"reflect"
	"testing"

	"github.com/berylwharf/berylwharf/load"
)

// TestRecordedTraces guards against committed traces that Generate does not reproduce with the default seed, and against
// traces above the size limit of the repository.
func TestRecordedTraces(t *testing.T) {
	traces, err := Generate(DefaultSeed)
	if err != nil {
		t.Fatal(err)
	}
	total := 0
	for name, want := range traces {
		got, err := Recorded(name)
		if err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(got, want) {
			t.Errorf("trace %s differs from its generator", name)
		}
		data, err := recorded.ReadFile("traces/" + name + traceSuffix)
		if err != nil {
			t.Fatal(err)
		}
		total += len(data)
	}
	if total > 200_000 {
		t.Errorf("the traces have %d bytes", total)
	}
}

// TestTraceShape guards against traces in which the services do not peak one after another as specified, a customer or an
// urgency is missing, or the flood has the wrong size. The tolerances exceed four standard deviations of the random
// arrivals.
func TestTraceShape(t *testing.T) {
	traces, err := Generate(DefaultSeed)
	if err != nil {
		t.Fatal(err)
	}
	peakCounts, totals, classes := map[string]int{}, map[string]int{}, map[string]int{}
	for _, e := range traces[traceWork] {
		totals[e.Service]++
		classes[e.Customer+" "+e.Urgency]++
		for i := range serviceCount {
			from := int64(i) * peakInterval.Milliseconds() / serviceCount
			if e.Service == serviceName(i) && e.AtMs%peakInterval.Milliseconds() >= from &&
				e.AtMs%peakInterval.Milliseconds() < from+peakDuration.Milliseconds() {
				peakCounts[e.Service]++
			}
		}
	}
	for i := range serviceCount {
		name := serviceName(i)
		checkWithin(t, name+" in all", totals[name], meanDemandFactor*ServiceCapacity*workTraceDuration.Seconds(), 0.15)
		checkWithin(t, name+" in peaks", peakCounts[name], 3*peakFactor*meanDemandFactor*ServiceCapacity*peakDuration.Seconds(), 0.15)
	}
	if len(classes) != 9 {
		t.Errorf("classes of work: %v", classes)
	}
	checkWithin(t, "flood", len(traces[traceFlood]), floodFactor*ServiceCapacity*(floodEnd-floodStart).Seconds(), 0.03)
	first, last := traces[traceFlood][0], traces[traceFlood][len(traces[traceFlood])-1]
	if arrivalTime(first) < floodStart || arrivalTime(last) >= floodEnd {
		t.Errorf("the flood lasts from %s to %s", arrivalTime(first), arrivalTime(last))
	}
}

func checkWithin(t *testing.T, what string, got int, want, tolerance float64) {
	t.Helper()
	if float64(got) < want*(1-tolerance) || float64(got) > want*(1+tolerance) {
		t.Errorf("%s: %d requests, expected %.0f", what, got, want)
	}
}

// TestCovered guards against errors in computing the requests that a share covers: requests above the share counted as
// covered, a wrong order of service, or skipped requests that use capacity. With half the capacity, one request is served
// every 10 ms and ends after at least the run time of 80 ms.
func TestCovered(t *testing.T) {
	event := func(ms int64, urgency string, deadlineMs int64) load.Event {
		return load.Event{AtMs: ms, Urgency: urgency, DeadlineMs: deadlineMs}
	}
	for name, c := range map[string]struct {
		events []load.Event
		want   []bool
	}{
		"idle":               {[]load.Event{event(0, "normal", 80), event(500, "normal", 80)}, []bool{true, true}},
		"shorter than work":  {[]load.Event{event(0, "normal", 79)}, []bool{false}},
		"above the share":    {[]load.Event{event(0, "normal", 95), event(0, "normal", 95), event(0, "normal", 95)}, []bool{true, true, false}},
		"urgent first":       {[]load.Event{event(0, "batch", 80), event(0, "urgent", 80)}, []bool{false, true}},
		"earliest deadline":  {[]load.Event{event(0, "normal", 200), event(0, "normal", 80)}, []bool{true, true}},
		"skipped costs none": {[]load.Event{event(0, "urgent", 10), event(0, "batch", 80)}, []bool{false, true}},
	} {
		if got := coveredRequests(c.events, 0.5); !reflect.DeepEqual(got, c.want) {
			t.Errorf("%s: got %v, want %v", name, got, c.want)
		}
	}
}
