package flood

import (
	"slices"
	"strconv"
	"time"

	"github.com/berylwharf/berylwharf/admission"
	"github.com/berylwharf/berylwharf/entry"
	"github.com/berylwharf/berylwharf/load"
)

// Parameters of the experiment. The fleet is that of design.md section 1.6 with 2 instead of 8 to 12 workers per service.
const (
	serviceCount      = 5
	workersPerService = 2
	// requestRunTime is longer than the 50 ms of the design's example, so that scheduling delays on a shared machine are
	// small in comparison.
	requestRunTime = 80 * time.Millisecond
	// ServiceCapacity is the number of requests per second that the pool of one service can run.
	ServiceCapacity = float64(workersPerService*entry.SlotsPerWorker) / (float64(requestRunTime) / float64(time.Second))
	// meanDemandFactor is the mean demand of a service as a fraction of its capacity. peakFactor is the demand in a peak as
	// a multiple of the mean, so that a peak has 1.5 times the capacity.
	meanDemandFactor = 0.3
	peakFactor       = 5.0
	// quietFactor is the demand between peaks, as a multiple of the mean.
	quietFactor = 0.05
	// peakInterval and peakDuration are chosen so that the peaks of the services follow one another and the demand has the
	// stated mean: 5 × 0.96 s + 0.05 × 4.04 s = 5.0 s.
	peakInterval = 5 * time.Second
	peakDuration = 960 * time.Millisecond
	// workTraceDuration is a multiple of peakInterval, so that the peaks keep their spacing when a trace is shifted
	// cyclically.
	workTraceDuration = 3 * peakInterval
	// The flood spans one whole peak of the flooded service and ends during the next one, when recovery is hardest.
	floodStart  = 4500 * time.Millisecond
	floodEnd    = 10200 * time.Millisecond
	floodFactor = 20.0
	// saturatedDemandFactor is the demand of each customer in the saturated scenario, as a multiple of the capacity.
	saturatedDemandFactor  = 1.5
	saturatedTraceDuration = 8 * time.Second
	saturatedWindowStart   = 2 * time.Second
	maxFloodInFlight       = 1024 // requests of one flood in flight, which also limits its connections
	maxWorkInFlight        = 2048
	// DefaultSeed is the seed of the recorded traces.
	DefaultSeed         = 20261204
	floodedServiceIndex = 0
)

// deadlinesMs maps each urgency to its deadline in milliseconds.
var deadlinesMs = map[string]int64{"urgent": 1000, "normal": 3000, "batch": 8000}

// Customer is a customer of the experiment. Demand is its fraction of the requests, in twentieths.
type Customer struct {
	Name   string
	Share  int
	Demand int
}

// Names of the customers. The host firm's own services are a customer like any other.
const (
	Host    = "host"
	Kiosks  = "kiosks"
	Growers = "growers"
)

// Customers returns the customers. Their demands differ from their shares, so that a peak exceeds the share of each
// customer by a different factor.
func Customers() []Customer {
	return []Customer{{Host, 5, 8}, {Kiosks, 3, 7}, {Growers, 2, 5}}
}

// shareFraction returns the share of a customer as a fraction of all shares.
func shareFraction(name string) float64 {
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

// Flood identifies an overload by the customer that sends it and the urgency of its requests.
type Flood struct {
	Customer string
	Urgency  string
}

// Scenario defines one load: the work recorded in the trace TraceName, together with Floods. Figures are computed for the
// window from WindowStart to WindowEnd.
type Scenario struct {
	Name        string
	Title       string
	TraceName   string
	Floods      []Flood
	WindowStart time.Duration
	WindowEnd   time.Duration
}

// Names of the scenarios.
const (
	NoFlood     = "none"
	BatchFlood  = "batch"
	UrgentFlood = "urgent"
	BothFloods  = "both"
	Saturated   = "saturated"
)

// Scenarios returns all scenarios. NoFlood comes first, because it is the baseline of the flood scenarios.
func Scenarios() []Scenario {
	floodWindow := Scenario{TraceName: traceWork, WindowStart: floodStart, WindowEnd: floodEnd}
	newScenario := func(name, title string, floods ...Flood) Scenario {
		s := floodWindow
		s.Name, s.Title, s.Floods = name, title, floods
		return s
	}
	return []Scenario{
		newScenario(NoFlood, "No flood"),
		newScenario(BatchFlood, "Flood of batch work from growers", Flood{Growers, "batch"}),
		newScenario(UrgentFlood, "Flood of urgent work from growers", Flood{Growers, "urgent"}),
		newScenario(BothFloods, "Floods of batch work from host and urgent work from growers", Flood{Host, "batch"}, Flood{Growers, "urgent"}),
		{
			Name: Saturated, Title: "All customers saturated", TraceName: traceSaturated,
			WindowStart: saturatedWindowStart, WindowEnd: saturatedTraceDuration,
		},
	}
}

func (s Scenario) hasFloodFrom(customer string) bool {
	return slices.ContainsFunc(s.Floods, func(f Flood) bool { return f.Customer == customer })
}

// eventsFrom returns copies of the arrivals with the customer, urgency and deadline of f.
func (f Flood) eventsFrom(arrivals []load.Event) []load.Event {
	out := slices.Clone(arrivals)
	for i := range out {
		out[i].Customer = f.Customer
		out[i].Urgency = f.Urgency
		out[i].DeadlineMs = deadlinesMs[f.Urgency]
	}
	return out
}

// Policy is an admission policy with the name used in reports.
type Policy struct {
	Name   string
	Policy admission.Policy
}

// Names of the policies. Only the policy WeightedName is compared with the targets for shares and kept requests.
const (
	WeightedName = "Weighted"
	FIFOName     = "FirstInFirstOut"
	PriorityName = "FixedPriority"
	EqualName    = "EqualShares"
)

// Policies returns the policy used in production, followed by the baselines.
func Policies() []Policy {
	return []Policy{
		{WeightedName, admission.Weighted{}},
		{FIFOName, admission.FirstInFirstOut{}},
		{PriorityName, admission.FixedPriority{}},
		{EqualName, admission.EqualShares{}},
	}
}
