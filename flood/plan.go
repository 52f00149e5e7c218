package flood

import (
	"slices"
	"strconv"
	"time"

	"github.com/berylwharf/berylwharf/admission"
	"github.com/berylwharf/berylwharf/entry"
	"github.com/berylwharf/berylwharf/load"
)

// Sizes of the experiment: the fleet of design.md section 1.6 with 2 instead of 8 to 12 workers for each service.
const (
	services          = 5
	workersPerService = 2
	// workTime is above the example of 50 ms, so that the delays of a shared machine are a small part of it.
	workTime = 80 * time.Millisecond
	// Capacity is the requests a second that the pool of one service can run.
	Capacity = float64(workersPerService*entry.SlotsPerWorker) / (float64(workTime) / float64(time.Second))
	// meanLoad is the mean demand of a service as a part of its capacity. With peakFactor, a peak is 1.5 times the
	// capacity.
	meanLoad   = 0.3
	peakFactor = 5.0
	// quietFactor is the demand between peaks, as a multiple of the mean.
	quietFactor = 0.05
	// peakEvery and peakLength let the services peak one after another with the stated mean:
	// 5 × 0.96 s + 0.05 × 4.04 s = 5.0 s.
	peakEvery  = 5 * time.Second
	peakLength = 960 * time.Millisecond
	// workSpan is a multiple of peakEvery, so that a trace can be rotated.
	workSpan = 3 * peakEvery
	// The flood covers one whole peak of the flooded service and ends within the next, when recovery is hardest.
	floodFrom   = 4500 * time.Millisecond
	floodTo     = 10200 * time.Millisecond
	floodFactor = 20.0
	// saturation is the demand of each customer in the saturated scenario, as a multiple of the capacity.
	saturation    = 1.5
	saturatedSpan = 8 * time.Second
	saturatedFrom = 2 * time.Second
	floodInFlight = 1024 // waiting requests, and thereby connections, of one flood
	workInFlight  = 2048
	// DefaultSeed is the seed of the recorded traces.
	DefaultSeed    = 20261204
	floodedService = 0
)

// Deadlines by urgency in milliseconds.
var deadlines = map[string]int64{"urgent": 1000, "normal": 3000, "batch": 8000}

// Customer is a customer of the experiment. Demand is its part of the requests, in twentieths.
type Customer struct {
	Name   string
	Share  int
	Demand int
}

// Names of the customers. The host's own services are a customer like any other.
const (
	Host    = "host"
	Kiosks  = "kiosks"
	Growers = "growers"
)

// Customers returns the customers. The demand differs from the shares, so that peaks exceed each share by another factor.
func Customers() []Customer {
	return []Customer{{Host, 5, 8}, {Kiosks, 3, 7}, {Growers, 2, 5}}
}

func shareOf(name string) float64 {
	sum, own := 0, 0
	for _, c := range Customers() {
		sum += c.Share
		if c.Name == name {
			own = c.Share
		}
	}
	return float64(own) / float64(sum)
}

func serviceName(i int) string { return "service-" + strconv.Itoa(i+1) }

// Flood is a flood of one customer.
type Flood struct {
	Customer string
	Urgency  string
}

// Scenario is one load. Trace is the recorded work; From and To bound the measured window.
type Scenario struct {
	Name   string
	Title  string
	Trace  string
	Floods []Flood
	From   time.Duration
	To     time.Duration
}

// Scenario names.
const (
	NoFlood     = "none"
	BatchFlood  = "batch"
	UrgentFlood = "urgent"
	BothFloods  = "both"
	Saturated   = "saturated"
)

// Scenarios returns all scenarios. NoFlood comes first, since the others are compared with it.
func Scenarios() []Scenario {
	window := Scenario{Trace: traceWork, From: floodFrom, To: floodTo}
	with := func(name, title string, floods ...Flood) Scenario {
		s := window
		s.Name, s.Title, s.Floods = name, title, floods
		return s
	}
	return []Scenario{
		with(NoFlood, "No flood"),
		with(BatchFlood, "Flood of batch work from growers", Flood{Growers, "batch"}),
		with(UrgentFlood, "Flood of urgent work from growers", Flood{Growers, "urgent"}),
		with(BothFloods, "Floods of batch work from host and urgent work from growers", Flood{Host, "batch"}, Flood{Growers, "urgent"}),
		{Name: Saturated, Title: "All customers saturated", Trace: traceSaturated, From: saturatedFrom, To: saturatedSpan},
	}
}

func (s Scenario) floods(customer string) bool {
	return slices.ContainsFunc(s.Floods, func(f Flood) bool { return f.Customer == customer })
}

// events returns the arrivals of the recorded flood as requests of f.
func (f Flood) events(arrivals []load.Event) []load.Event {
	out := slices.Clone(arrivals)
	for i := range out {
		out[i].Customer = f.Customer
		out[i].Urgency = f.Urgency
		out[i].DeadlineMs = deadlines[f.Urgency]
	}
	return out
}

// Policy is an admission policy with its name in reports.
type Policy struct {
	Name   string
	Policy admission.Policy
}

// Names of the policies. The targets apply to WeightedName.
const (
	WeightedName = "Weighted"
	FIFOName     = "FirstInFirstOut"
	PriorityName = "FixedPriority"
	EqualName    = "EqualShares"
)

// Policies returns the policy in use and the baselines.
func Policies() []Policy {
	return []Policy{
		{WeightedName, admission.Weighted{}},
		{FIFOName, admission.FirstInFirstOut{}},
		{PriorityName, admission.FixedPriority{}},
		{EqualName, admission.EqualShares{}},
	}
}
