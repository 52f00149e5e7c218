package flood

import (
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"

	"github.com/berylwharf/berylwharf/load"
)

const (
	// immediateRefusalLimit is the latency below which a refusal counts as sent on arrival and not after a wait in a queue.
	immediateRefusalLimit = 100 * time.Millisecond
	histogramMax          = int64(time.Minute / time.Microsecond)
	histogramDigits       = 3
)

// Row holds the figures of one customer's work at the flooded service in the measured window. It excludes the floods.
type Row struct {
	Scenario, Policy, Customer string
	// Flooding is true if this customer also sends a flood.
	Flooding bool
	Demand   int
	// HasBaseline is true if the same work was also run without a flood under the same policy.
	HasBaseline bool
	// Kept counts the requests answered within their deadlines. KeptWithoutFlood counts those of the run without a flood.
	Kept, KeptWithoutFlood int
	// Covered counts the requests that a dedicated pool of the size of the customer's share would answer in time.
	Covered int
	// Latency quantiles of answered requests in milliseconds.
	P50, P99, P999 float64
	Counts         OutcomeCounts
}

// OutcomeCounts counts requests by outcome. The fields add up to the number of requests sent.
type OutcomeCounts struct {
	InTime, Late int
	// RefusedImmediately and RefusedAfterWait count requests refused with the verdict not-run, on arrival and after a wait.
	RefusedImmediately, RefusedAfterWait int
	// Unknown counts refusals with the verdict may-have-run and broken connections. Other counts all other outcomes.
	Unknown, Other int
}

// Total returns the number of requests.
func (e OutcomeCounts) Total() int {
	return e.InTime + e.Late + e.RefusedImmediately + e.RefusedAfterWait + e.Unknown + e.Other
}

func (e *OutcomeCounts) add(o *load.Outcome) {
	switch o.Kind {
	case load.KindAnswered:
		if o.Late {
			e.Late++
		} else {
			e.InTime++
		}
	case load.KindNotRun:
		if o.Latency < immediateRefusalLimit {
			e.RefusedImmediately++
		} else {
			e.RefusedAfterWait++
		}
	case load.KindMayHaveRun, load.KindBroken:
		e.Unknown++
	default:
		e.Other++
	}
}

// Summary holds the figures of one run of a scenario, including its floods.
type Summary struct {
	Scenario, Policy string
	// Flood counts the requests of all floods. FloodDelayed and WorkDelayed count the requests sent late because the sender
	// had reached its limit of requests in flight.
	Flood                     OutcomeCounts
	FloodDelayed, WorkDelayed int
	// FloodFactor is the rate of the flood as a multiple of the flooded service's capacity.
	FloodFactor float64
	// Unknown counts the requests of the work and the floods that were refused with the verdict may-have-run or whose
	// connection broke.
	Unknown int
	// Runs counts the runs on backend servers. WastedRuns counts those whose answer did not reach the caller in time.
	Runs, WastedRuns int
	// RelativeRate is the rate of answers of the flooded service in the window as a fraction of its capacity.
	RelativeRate float64
	// OtherServicesDemand and OtherServicesKept count the work at the other services in the window.
	OtherServicesDemand, OtherServicesKept int
	// Recovery is the time from the end of the flood to the last request that was not answered in time although it was
	// without a flood. RecoveryOthers excludes the customers that flood.
	Recovery, RecoveryOthers time.Duration
	// FalseNotRun, Doubled, Lost and Swapped count violated guarantees; see load.Counts.
	FalseNotRun, Doubled, Lost, Swapped int
}

// Report holds the figures of all runs of scenarios.
type Report struct {
	Rows      []Row
	Summaries []Summary
	// Shares holds the fraction of the answers in the window of the saturated scenario, by policy and customer.
	Shares  map[string]map[string]float64
	Samples []*Sample
}

// NewReport computes the figures. For each policy, the sample of NoFlood must come before those of the other scenarios.
func NewReport(samples []*Sample) *Report {
	r := &Report{Shares: map[string]map[string]float64{}, Samples: samples}
	baselines := map[string]*Sample{}
	for _, s := range samples {
		if s.Scenario.Name == NoFlood {
			baselines[s.Policy] = s
		}
		baseline := baselines[s.Policy]
		if s.Scenario.TraceName != traceWork {
			baseline = nil
		}
		for _, c := range Customers() {
			r.Rows = append(r.Rows, s.row(c.Name, baseline))
		}
		r.Summaries = append(r.Summaries, s.summary(baseline))
		if s.Scenario.Name == Saturated {
			r.Shares[s.Policy] = s.shares()
		}
	}
	return r
}

func inTime(o *load.Outcome) bool { return o.Kind == load.KindAnswered && !o.Late }

// toFloodedService reports whether the request is sent to the flooded service.
func toFloodedService(e load.Event) bool { return e.Service == serviceName(floodedServiceIndex) }

func (s *Sample) inWindow(e load.Event) bool {
	return arrivalTime(e) >= s.Scenario.WindowStart && arrivalTime(e) < s.Scenario.WindowEnd
}

// row computes the figures of one customer. baseline is the run without a flood, nil if there is none to compare with.
func (s *Sample) row(customer string, baseline *Sample) Row {
	r := Row{Scenario: s.Scenario.Name, Policy: s.Policy, Customer: customer, Flooding: s.Scenario.hasFloodFrom(customer)}
	r.HasBaseline = baseline != nil
	latency := hdr.New(1, histogramMax, histogramDigits)
	var own []load.Event
	for i := range s.Work.Outcomes {
		o := &s.Work.Outcomes[i]
		if o.Event.Customer != customer || !toFloodedService(o.Event) {
			continue
		}
		own = append(own, o.Event)
		if !s.inWindow(o.Event) {
			continue
		}
		r.Counts.add(o)
		if o.Kind == load.KindAnswered {
			// The sender stops waiting a grace period after the deadline. Latencies are therefore below the maximum of the
			// histogram, and RecordValue cannot fail.
			_ = latency.RecordValue(max(o.Latency.Microseconds(), 1))
		}
		if baseline != nil && inTime(&baseline.Work.Outcomes[i]) {
			r.KeptWithoutFlood++
		}
	}
	for i, ok := range coveredRequests(own, shareFraction(customer)) {
		if ok && s.inWindow(own[i]) {
			r.Covered++
		}
	}
	r.Demand = r.Counts.Total()
	r.Kept = r.Counts.InTime
	r.P50, r.P99, r.P999 = quantile(latency, 50), quantile(latency, 99), quantile(latency, 99.9)
	return r
}

// quantile returns a quantile of a histogram of microseconds, in milliseconds.
func quantile(h *hdr.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }

// allOutcomes returns the outcomes of the work and of the floods.
func (s *Sample) allOutcomes() []load.Outcome {
	all := append([]load.Outcome(nil), s.Work.Outcomes...)
	for _, f := range s.Floods {
		all = append(all, f.Outcomes...)
	}
	return all
}

func (s *Sample) summary(baseline *Sample) Summary {
	m := Summary{Scenario: s.Scenario.Name, Policy: s.Policy, Runs: s.Runs.Total, WorkDelayed: s.Work.Delayed}
	for _, f := range s.Floods {
		for i := range f.Outcomes {
			m.Flood.add(&f.Outcomes[i])
		}
		m.FloodDelayed += f.Delayed
	}
	m.FloodFactor = float64(m.Flood.Total()) / (floodEnd - floodStart).Seconds() / ServiceCapacity
	all := s.allOutcomes()
	useful, answers := 0, 0
	for i := range all {
		o := &all[i]
		if inTime(o) {
			useful++
		}
		if o.Kind == load.KindMayHaveRun || o.Kind == load.KindBroken {
			m.Unknown++
		}
		end := arrivalTime(o.Event) + o.Latency
		if o.Kind == load.KindAnswered && toFloodedService(o.Event) &&
			end >= s.Scenario.WindowStart && end < s.Scenario.WindowEnd {
			answers++
		}
	}
	m.WastedRuns = m.Runs - useful
	m.RelativeRate = float64(answers) / (s.Scenario.WindowEnd - s.Scenario.WindowStart).Seconds() / ServiceCapacity
	s.countOtherServices(&m)
	if baseline != nil {
		m.Recovery = s.recovery(baseline, func(string) bool { return true })
		m.RecoveryOthers = s.recovery(baseline, func(customer string) bool { return !s.Scenario.hasFloodFrom(customer) })
	}
	c := load.Check(&load.Result{Outcomes: all}, s.Runs).Totals
	m.FalseNotRun, m.Doubled, m.Lost, m.Swapped = c.FalseNotRun, c.Doubled, c.Lost, c.Swapped
	return m
}

// countOtherServices counts the work at the services that are not flooded.
func (s *Sample) countOtherServices(m *Summary) {
	for i := range s.Work.Outcomes {
		o := &s.Work.Outcomes[i]
		if toFloodedService(o.Event) || !s.inWindow(o.Event) {
			continue
		}
		m.OtherServicesDemand++
		if inTime(o) {
			m.OtherServicesKept++
		}
	}
}

// recovery returns the recovery time of the customers for which include returns true; see Summary.Recovery.
func (s *Sample) recovery(baseline *Sample, include func(customer string) bool) time.Duration {
	last := time.Duration(0)
	for i := range s.Work.Outcomes {
		o := &s.Work.Outcomes[i]
		if include(o.Event.Customer) && toFloodedService(o.Event) && arrivalTime(o.Event) >= floodEnd &&
			!inTime(o) && inTime(&baseline.Work.Outcomes[i]) {
			last = max(last, arrivalTime(o.Event)-floodEnd)
		}
	}
	return last
}

// shares returns each customer's fraction of the answers received in the window.
func (s *Sample) shares() map[string]float64 {
	counts := map[string]float64{}
	sum := 0.0
	for i := range s.Work.Outcomes {
		o := &s.Work.Outcomes[i]
		end := arrivalTime(o.Event) + o.Latency
		if o.Kind == load.KindAnswered && end >= s.Scenario.WindowStart && end < s.Scenario.WindowEnd {
			counts[o.Event.Customer]++
			sum++
		}
	}
	for name := range counts {
		counts[name] /= max(sum, 1)
	}
	return counts
}
