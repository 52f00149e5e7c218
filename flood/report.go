package flood

import (
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"

	"github.com/berylwharf/berylwharf/load"
)

const (
	// atOnce separates refusals on arrival from refusals after waiting in a queue.
	atOnce          = 100 * time.Millisecond
	histogramMax    = int64(time.Minute / time.Microsecond)
	histogramDigits = 3
)

// Row is what one customer's work got at the flooded service in the measured window. The floods are not part of it.
type Row struct {
	Scenario, Policy, Customer string
	// Flooding states that this customer also sends a flood.
	Flooding bool
	Demand   int
	// Compared states that the scenario was also run without flood.
	Compared bool
	// Kept counts requests answered within their deadlines; KeptAlone is the same without flood.
	Kept, KeptAlone int
	// Covered counts requests that the declared share alone would answer in time.
	Covered int
	// Latency of answered requests in milliseconds.
	P50, P99, P999 float64
	Ends           Ends
}

// Ends counts how requests ended. The fields add up to the requests sent.
type Ends struct {
	InTime, Late int
	// AtOnce and Waited count refusals as not run, on arrival and after a wait.
	AtOnce, Waited int
	// Unknown counts refusals as may-have-run and broken connections, Other all further ends.
	Unknown, Other int
}

// Total returns the number of requests.
func (e Ends) Total() int { return e.InTime + e.Late + e.AtOnce + e.Waited + e.Unknown + e.Other }

func (e *Ends) add(o *load.Outcome) {
	switch o.Kind {
	case load.KindAnswered:
		if o.Late {
			e.Late++
		} else {
			e.InTime++
		}
	case load.KindNotRun:
		if o.Latency < atOnce {
			e.AtOnce++
		} else {
			e.Waited++
		}
	case load.KindMayHaveRun, load.KindBroken:
		e.Unknown++
	default:
		e.Other++
	}
}

// Summary describes one run as a whole.
type Summary struct {
	Scenario, Policy string
	// Flood counts the requests of all floods; FloodDelayed those sent late because of the sender's bound.
	Flood                   Ends
	FloodDelayed, WorkDelay int
	// FloodFactor is the flood that was sent, as a multiple of the flooded service's capacity.
	FloodFactor float64
	// Unknown counts all requests, of the work and the floods, that ended as may-have-run.
	Unknown int
	// Runs counts runs at backend servers; Waste those without an answer that reached its caller in time.
	Runs, Waste int
	// Rate is the answers a second of the flooded service in the window, as a part of its capacity.
	Rate float64
	// ElsewhereDemand and ElsewhereKept count the work at the other services in the window.
	ElsewhereDemand, ElsewhereKept int
	// Recovery is the time from the end of the flood to the last request that failed though it was answered in time
	// without flood. RecoveryOthers leaves out the customers that flood.
	Recovery, RecoveryOthers time.Duration
	// FalseNotRun, Doubled, Lost and Swapped count broken promises; see load.Counts.
	FalseNotRun, Doubled, Lost, Swapped int
}

// Report holds the figures of all runs.
type Report struct {
	Rows      []Row
	Summaries []Summary
	// Shares holds, by policy and customer, the part of the answers in the saturated window.
	Shares  map[string]map[string]float64
	Samples []*Sample
}

// NewReport computes the figures. A sample of NoFlood must come before the samples of the other scenarios of its policy.
func NewReport(samples []*Sample) *Report {
	r := &Report{Shares: map[string]map[string]float64{}, Samples: samples}
	alone := map[string]*Sample{}
	for _, s := range samples {
		if s.Scenario.Name == NoFlood {
			alone[s.Policy] = s
		}
		base := alone[s.Policy]
		if s.Scenario.Trace != traceWork {
			base = nil
		}
		for _, c := range Customers() {
			r.Rows = append(r.Rows, s.row(c.Name, base))
		}
		r.Summaries = append(r.Summaries, s.summary(base))
		if s.Scenario.Name == Saturated {
			r.Shares[s.Policy] = s.shares()
		}
	}
	return r
}

func inTime(o *load.Outcome) bool { return o.Kind == load.KindAnswered && !o.Late }

// flooded reports whether the request goes to the flooded service.
func flooded(e load.Event) bool { return e.Service == serviceName(floodedService) }

func (s *Sample) inWindow(e load.Event) bool {
	return at(e) >= s.Scenario.From && at(e) < s.Scenario.To
}

// row computes one customer's figures. base is the run without flood, nil when there is none to compare with.
func (s *Sample) row(customer string, base *Sample) Row {
	r := Row{Scenario: s.Scenario.Name, Policy: s.Policy, Customer: customer, Flooding: s.Scenario.floods(customer)}
	r.Compared = base != nil
	latency := hdr.New(1, histogramMax, histogramDigits)
	var own []load.Event
	for i := range s.Work.Outcomes {
		o := &s.Work.Outcomes[i]
		if o.Event.Customer != customer || !flooded(o.Event) {
			continue
		}
		own = append(own, o.Event)
		if !s.inWindow(o.Event) {
			continue
		}
		r.Ends.add(o)
		if o.Kind == load.KindAnswered {
			// Latencies are below the range's end, since the sender gives up at the deadline and a grace time.
			_ = latency.RecordValue(max(o.Latency.Microseconds(), 1))
		}
		if base != nil && inTime(&base.Work.Outcomes[i]) {
			r.KeptAlone++
		}
	}
	for i, ok := range covered(own, shareOf(customer)) {
		if ok && s.inWindow(own[i]) {
			r.Covered++
		}
	}
	r.Demand = r.Ends.Total()
	r.Kept = r.Ends.InTime
	r.P50, r.P99, r.P999 = quantile(latency, 50), quantile(latency, 99), quantile(latency, 99.9)
	return r
}

// quantile returns a quantile in milliseconds.
func quantile(h *hdr.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }

// all returns the outcomes of the work and of the floods.
func (s *Sample) all() []load.Outcome {
	all := append([]load.Outcome(nil), s.Work.Outcomes...)
	for _, f := range s.Floods {
		all = append(all, f.Outcomes...)
	}
	return all
}

func (s *Sample) summary(base *Sample) Summary {
	m := Summary{Scenario: s.Scenario.Name, Policy: s.Policy, Runs: s.Runs.Total, WorkDelay: s.Work.Delayed}
	for _, f := range s.Floods {
		for i := range f.Outcomes {
			m.Flood.add(&f.Outcomes[i])
		}
		m.FloodDelayed += f.Delayed
	}
	m.FloodFactor = float64(m.Flood.Total()) / (floodTo - floodFrom).Seconds() / Capacity
	all := s.all()
	useful, answers := 0, 0
	for i := range all {
		o := &all[i]
		if inTime(o) {
			useful++
		}
		if o.Kind == load.KindMayHaveRun || o.Kind == load.KindBroken {
			m.Unknown++
		}
		end := at(o.Event) + o.Latency
		if o.Kind == load.KindAnswered && flooded(o.Event) && end >= s.Scenario.From && end < s.Scenario.To {
			answers++
		}
	}
	m.Waste = m.Runs - useful
	m.Rate = float64(answers) / (s.Scenario.To - s.Scenario.From).Seconds() / Capacity
	s.elsewhere(&m)
	if base != nil {
		m.Recovery = s.recovery(base, func(string) bool { return true })
		m.RecoveryOthers = s.recovery(base, func(customer string) bool { return !s.Scenario.floods(customer) })
	}
	c := load.Check(&load.Result{Outcomes: all}, s.Runs).Totals
	m.FalseNotRun, m.Doubled, m.Lost, m.Swapped = c.FalseNotRun, c.Doubled, c.Lost, c.Swapped
	return m
}

func (s *Sample) elsewhere(m *Summary) {
	for i := range s.Work.Outcomes {
		o := &s.Work.Outcomes[i]
		if flooded(o.Event) || !s.inWindow(o.Event) {
			continue
		}
		m.ElsewhereDemand++
		if inTime(o) {
			m.ElsewhereKept++
		}
	}
}

func (s *Sample) recovery(base *Sample, of func(customer string) bool) time.Duration {
	last := time.Duration(0)
	for i := range s.Work.Outcomes {
		o := &s.Work.Outcomes[i]
		if of(o.Event.Customer) && flooded(o.Event) && at(o.Event) >= floodTo && !inTime(o) && inTime(&base.Work.Outcomes[i]) {
			last = max(last, at(o.Event)-floodTo)
		}
	}
	return last
}

// shares returns each customer's part of the answers that ended in the window.
func (s *Sample) shares() map[string]float64 {
	counts := map[string]float64{}
	sum := 0.0
	for i := range s.Work.Outcomes {
		o := &s.Work.Outcomes[i]
		end := at(o.Event) + o.Latency
		if o.Kind == load.KindAnswered && end >= s.Scenario.From && end < s.Scenario.To {
			counts[o.Event.Customer]++
			sum++
		}
	}
	for name := range counts {
		counts[name] /= max(sum, 1)
	}
	return counts
}
