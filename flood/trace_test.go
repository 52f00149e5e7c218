package flood

import (
	"reflect"
	"testing"

	"github.com/berylwharf/berylwharf/load"
)

// TestRecordedTraces guards against committed traces that the stated command does not reproduce, and against traces
// above the size limit of the repository.
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

// TestTraceShape guards against a trace without the stated peaks by turns, without work of some customer or urgency, or
// with a flood of another size. The bounds are over four standard deviations of the random arrivals wide.
func TestTraceShape(t *testing.T) {
	traces, err := Generate(DefaultSeed)
	if err != nil {
		t.Fatal(err)
	}
	peak, all, classes := map[string]int{}, map[string]int{}, map[string]int{}
	for _, e := range traces[traceWork] {
		all[e.Service]++
		classes[e.Customer+" "+e.Urgency]++
		for i := range services {
			from := int64(i) * peakEvery.Milliseconds() / services
			if e.Service == serviceName(i) && e.AtMs%peakEvery.Milliseconds() >= from &&
				e.AtMs%peakEvery.Milliseconds() < from+peakLength.Milliseconds() {
				peak[e.Service]++
			}
		}
	}
	for i := range services {
		name := serviceName(i)
		within(t, name+" in all", all[name], meanLoad*Capacity*workSpan.Seconds(), 0.15)
		within(t, name+" in peaks", peak[name], 3*peakFactor*meanLoad*Capacity*peakLength.Seconds(), 0.15)
	}
	if len(classes) != 9 {
		t.Errorf("classes of work: %v", classes)
	}
	within(t, "flood", len(traces[traceFlood]), floodFactor*Capacity*(floodTo-floodFrom).Seconds(), 0.03)
	first, last := traces[traceFlood][0], traces[traceFlood][len(traces[traceFlood])-1]
	if at(first) < floodFrom || at(last) >= floodTo {
		t.Errorf("the flood lasts from %s to %s", at(first), at(last))
	}
}

func within(t *testing.T, what string, got int, want, tolerance float64) {
	t.Helper()
	if float64(got) < want*(1-tolerance) || float64(got) > want*(1+tolerance) {
		t.Errorf("%s: %d requests, expected %.0f", what, got, want)
	}
}

// TestCovered guards against a wrong account of what a declared share covers: work above the share counted as covered, a
// wrong order of service, or skipped work that takes capacity. With half the capacity one request is served each 10 ms and
// ends after at least the work time of 80 ms.
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
		if got := covered(c.events, 0.5); !reflect.DeepEqual(got, c.want) {
			t.Errorf("%s: got %v, want %v", name, got, c.want)
		}
	}
}
