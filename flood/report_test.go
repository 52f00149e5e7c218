package flood

import (
	"bytes"
	"context"
	"encoding/xml"
	"errors"
	"io"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/berylwharf/berylwharf/load"
)

func outcome(ms int64, customer string, kind load.Kind, latency time.Duration, late bool) load.Outcome {
	return load.Outcome{
		Event: load.Event{AtMs: ms, Service: serviceName(floodedServiceIndex), Customer: customer, Urgency: "normal", DeadlineMs: 1000},
		Kind:  kind, Latency: latency, Late: late,
	}
}

func sampleOf(scenario, policy string, runs int, work []load.Outcome, floods ...load.Outcome) *Sample {
	s := &Sample{Policy: policy, Work: &load.Result{Outcomes: work}, Runs: &load.Runs{Total: runs}}
	for _, sc := range Scenarios() {
		if sc.Name == scenario {
			s.Scenario = sc
		}
	}
	if len(floods) > 0 {
		s.Floods = []*load.Result{{Outcomes: floods}}
	}
	return s
}

// TestReport guards against wrong figures: requests outside the window or of the flood counted as work, outcomes that do
// not add up, a wrong number of wasted runs, a wrong recovery time, and a missed target reported as met.
func TestReport(t *testing.T) {
	const ms = time.Millisecond
	answered, notRun := load.KindAnswered, load.KindNotRun
	alone := []load.Outcome{
		outcome(1000, Host, answered, 90*ms, false),
		outcome(5000, Host, answered, 90*ms, false), outcome(5100, Host, answered, 90*ms, false),
		outcome(5200, Host, answered, 90*ms, false), outcome(5300, Kiosks, answered, 90*ms, false),
		outcome(10500, Host, answered, 90*ms, false), outcome(11000, Host, notRun, 5*ms, false),
		outcome(10600, Growers, answered, 90*ms, false),
	}
	flooded := []load.Outcome{
		outcome(1000, Host, notRun, 5*ms, false),
		outcome(5000, Host, answered, 100*ms, false), outcome(5100, Host, answered, 1200*ms, true),
		outcome(5200, Host, notRun, 500*ms, false), outcome(5300, Kiosks, answered, 200*ms, false),
		outcome(10500, Host, notRun, 5*ms, false), outcome(11000, Host, notRun, 5*ms, false),
		outcome(10600, Growers, notRun, 5*ms, false),
	}
	flood := []load.Outcome{
		outcome(4600, Growers, answered, 90*ms, false), outcome(4700, Growers, notRun, 5*ms, false),
		outcome(4800, Growers, load.KindBroken, 5*ms, false),
	}
	r := NewReport([]*Sample{
		sampleOf(NoFlood, WeightedName, 6, alone), sampleOf(BatchFlood, WeightedName, 5, flooded, flood...),
	})
	row := r.Rows[len(Customers())]
	if row.Customer != Host || row.Demand != 3 || row.Kept != 1 || row.KeptWithoutFlood != 3 || row.Covered != 3 {
		t.Errorf("row %+v", row)
	}
	if want := (OutcomeCounts{InTime: 1, Late: 1, RefusedAfterWait: 1}); row.Counts != want {
		t.Errorf("ends %+v", row.Counts)
	}
	if math.Abs(row.P50-100) > 1 || math.Abs(row.P999-1200) > 2 {
		t.Errorf("latencies %f and %f", row.P50, row.P999)
	}
	s := r.Summaries[1]
	if s.Flood != (OutcomeCounts{InTime: 1, RefusedImmediately: 1, Unknown: 1}) || s.WastedRuns != 2 ||
		s.Recovery != 400*ms || s.RecoveryOthers != 300*ms {
		t.Errorf("summary %+v", s)
	}
	met := map[string]bool{}
	for _, c := range r.Checks() {
		met[c.Name] = c.OK
	}
	if met["flood batch: kept part of what the share of host covers"] || !met["flood batch: kept part of what the share of kiosks covers"] {
		t.Errorf("checks %v", met)
	}
	var table bytes.Buffer
	if err := r.WriteMarkdown(&table); err != nil || !strings.Contains(table.String(), "| 0.333 | at least 0.99 | **no** |") {
		t.Errorf("table: %v\n%s", err, table.String())
	}
}

// TestSharesTarget guards against a fraction of answers that differs by more than 2% from the declared share and is
// reported as met.
func TestSharesTarget(t *testing.T) {
	for got, want := range map[float64]bool{0.489: false, 0.491: true, 0.509: true, 0.511: false} {
		r := &Report{Shares: map[string]map[string]float64{WeightedName: {Host: got}}}
		if ok := r.Checks()[0].OK; ok != want {
			t.Errorf("share %.3f: met is %v", got, ok)
		}
	}
}

// TestDraw guards against an invalid SVG document, for example one that contains NaN for a bucket without requests.
func TestDraw(t *testing.T) {
	svg := draw(Scenarios()[1], []panel{{"title", 1, []series{{"line", "red", []float64{1, math.NaN(), 0.5}}}}})
	if bytes.Contains(svg, []byte("NaN")) || !bytes.Contains(svg, []byte("M")) {
		t.Errorf("%s", svg)
	}
	dec := xml.NewDecoder(bytes.NewReader(svg))
	for {
		if _, err := dec.Token(); errors.Is(err, io.EOF) {
			return
		} else if err != nil {
			t.Fatal(err)
		}
	}
}

// TestSmallFlood guards against requests that ran although they were refused with the verdict not-run, doubled or lost
// bookings, requests missing from the counts, and answers without a run. It sends a flood over loopback under each policy.
// The checks do not depend on how fast the requests are served.
func TestSmallFlood(t *testing.T) {
	work, err := Recorded(traceWork)
	if err != nil {
		t.Fatal(err)
	}
	arrivals, err := Recorded(traceFlood)
	if err != nil {
		t.Fatal(err)
	}
	work, arrivals = work[:200], arrivals[:600]
	for i := range arrivals {
		arrivals[i].AtMs -= floodStart.Milliseconds()
	}
	for _, p := range Policies() {
		s, err := replay(context.Background(), fleetConfig{policy: p.Policy, runTime: 10 * time.Millisecond}, work,
			[][]load.Event{Flood{Growers, "batch"}.eventsFrom(arrivals)})
		if err != nil {
			t.Fatal(err)
		}
		s.Scenario, s.Policy = Scenarios()[1], p.Name
		m := s.summary(nil)
		if m.FalseNotRun+m.Doubled+m.Lost+m.Swapped != 0 {
			t.Errorf("%s: broken promises: %+v", p.Name, m)
		}
		var ends OutcomeCounts
		for i := range s.Work.Outcomes {
			ends.add(&s.Work.Outcomes[i])
		}
		if ends.Total() != len(work) || m.Flood.Total() != len(arrivals) {
			t.Errorf("%s: %d of %d requests and %d of %d of the flood are counted", p.Name, ends.Total(), len(work),
				m.Flood.Total(), len(arrivals))
		}
		answers := ends.InTime + ends.Late + m.Flood.InTime + m.Flood.Late
		if m.Runs < answers || m.WastedRuns < 0 {
			t.Errorf("%s: %d answers, %d runs, waste %d", p.Name, answers, m.Runs, m.WastedRuns)
		}
	}
}
