package load

import (
	"fmt"
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Kinds of findings: violations of the guarantees that an entry node gives for a request.
const (
	FindingDuplicateRun = "doubled"       // a booking ran more than once
	FindingMissingRun   = "lost"          // a booking has fewer runs than complete responses
	FindingFalseNotRun  = "false-not-run" // refused as not run, but it ran
	FindingWrongAnswer  = "swapped"       // response to another request, or a corrupt one
)

const (
	// maxFindings limits the findings listed in a report; the counts include all of them.
	maxFindings = 20

	histogramMax    = int64(10 * time.Minute / time.Microsecond)
	histogramDigits = 3
)

// Counts counts requests by result. NotRun includes requests that reached no entry node, and MayHaveRun includes
// Broken. Sent = Answered + Failed + NotRun + MayHaveRun + Wrong, where Wrong counts the requests whose last attempt
// got a wrong response.
type Counts struct {
	Sent        int `json:"sent"`
	Answered    int `json:"answered"`
	Failed      int `json:"failed"`
	NotRun      int `json:"notRun"`
	MayHaveRun  int `json:"mayHaveRun"`
	Broken      int `json:"broken"`
	Wrong       int `json:"wrong"`
	Late        int `json:"late"`
	Retries     int `json:"retries"`
	Replayed    int `json:"replayed"`
	Doubled     int `json:"doubled"`
	Lost        int `json:"lost"`
	Swapped     int `json:"swapped"`
	FalseNotRun int `json:"falseNotRun"`
}

// Group holds the counts and latencies of one service and customer. Latencies are in milliseconds and include answered
// requests only.
type Group struct {
	Service  string  `json:"service"`
	Customer string  `json:"customer"`
	Counts   Counts  `json:"counts"`
	P50Ms    float64 `json:"p50Ms"`
	P99Ms    float64 `json:"p99Ms"`
	P999Ms   float64 `json:"p999Ms"`

	latency *hdrhistogram.Histogram
}

// Finding is one violation of a guarantee.
type Finding struct {
	Kind    string `json:"kind"`
	Service string `json:"service"`
	ID      string `json:"id"` // Idempotency-Key of a booking, request ID of a read
	Detail  string `json:"detail"`
}

// Report is the result of Check.
type Report struct {
	Seconds  float64        `json:"seconds"`
	Totals   Counts         `json:"totals"`
	Groups   []*Group       `json:"groups"` // sorted by service, customer
	Reasons  map[string]int `json:"reasons"`
	Findings []Finding      `json:"findings"` // at most maxFindings
	Delayed  int            `json:"delayed"`
	Backends *Runs          `json:"backends"`
}

// Violated reports whether a guarantee was violated.
func (r *Report) Violated() bool {
	t := &r.Totals
	return t.Doubled+t.Lost+t.Swapped+t.FalseNotRun > 0
}

// Check compares the outcomes with the runs that the backend servers counted.
func Check(res *Result, runs *Runs) *Report {
	c := &checker{
		report: &Report{
			Seconds: res.Elapsed.Seconds(), Delayed: res.Delayed, Backends: runs,
			Reasons: map[string]int{}, Findings: []Finding{},
		},
		runs:   runs.Counts,
		groups: map[[2]string]*Group{},
	}
	for i := range res.Outcomes {
		c.add(&res.Outcomes[i])
	}
	c.finish()
	return c.report
}

type checker struct {
	report *Report
	runs   map[string]int
	groups map[[2]string]*Group
}

func (c *checker) add(o *Outcome) {
	g := c.group(o)
	g.Counts.add(o)
	if o.Kind == KindAnswered {
		_ = g.latency.RecordValue(min(histogramMax, max(1, o.Latency.Microseconds())))
	} else {
		c.report.Reasons[string(o.Kind)+": "+o.Reason]++
	}
	if o.Wrong > 0 {
		g.Counts.Swapped++
		c.addFinding(FindingWrongAnswer, o, o.Key, o.Reason)
	}
	c.checkNotRunIDs(g, o)
	if o.Key != "" {
		c.checkBooking(g, o)
	}
}

// checkNotRunIDs finds attempts of reads that were refused as not run although a run was counted under their request
// ID. Bookings are counted by key instead.
func (c *checker) checkNotRunIDs(g *Group, o *Outcome) {
	if o.Key != "" {
		return
	}
	for _, id := range o.NotRunIDs {
		if n := c.runs[id]; n > 0 {
			g.Counts.FalseNotRun++
			c.addFinding(FindingFalseNotRun, o, id, fmt.Sprintf("refused as not run, but has %d runs", n))
		}
	}
}

// checkBooking compares a booking with its runs. A verdict covers all attempts with the same key, so only the last one
// is checked: not-run is false if this or an earlier attempt ran.
func (c *checker) checkBooking(g *Group, o *Outcome) {
	runs := c.runs[o.Key]
	if runs > 1 {
		g.Counts.Doubled++
		c.addFinding(FindingDuplicateRun, o, o.Key, fmt.Sprintf("%d runs in %d attempts, result %s", runs, o.Attempts, o.Kind))
	}
	if runs < o.Answers || (runs == 0 && o.Replays > 0) {
		g.Counts.Lost++
		c.addFinding(FindingMissingRun, o, o.Key, fmt.Sprintf("%d answers and %d replays, but %d runs", o.Answers, o.Replays, runs))
	}
	if o.Kind == KindNotRun && runs > 0 {
		g.Counts.FalseNotRun++
		c.addFinding(FindingFalseNotRun, o, o.Key, fmt.Sprintf("refused as not run (%s), but has %d runs", o.Reason, runs))
	}
}

func (c *checker) addFinding(kind string, o *Outcome, id, detail string) {
	if len(c.report.Findings) < maxFindings {
		c.report.Findings = append(c.report.Findings, Finding{Kind: kind, Service: o.Event.Service, ID: id, Detail: detail})
	}
}

func (c *checker) group(o *Outcome) *Group {
	key := [2]string{o.Event.Service, o.Event.Customer}
	g, ok := c.groups[key]
	if !ok {
		g = &Group{Service: key[0], Customer: key[1], latency: hdrhistogram.New(1, histogramMax, histogramDigits)}
		c.groups[key] = g
		c.report.Groups = append(c.report.Groups, g)
	}
	return g
}

func (c *checker) finish() {
	groups := c.report.Groups
	sort.Slice(groups, func(i, j int) bool {
		if groups[i].Service != groups[j].Service {
			return groups[i].Service < groups[j].Service
		}
		return groups[i].Customer < groups[j].Customer
	})
	for _, g := range groups {
		c.report.Totals.sum(&g.Counts)
		g.P50Ms = milliseconds(g.latency, 50)
		g.P99Ms = milliseconds(g.latency, 99)
		g.P999Ms = milliseconds(g.latency, 99.9)
	}
}

func milliseconds(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtQuantile(percentile)) / 1000
}

func (c *Counts) add(o *Outcome) {
	c.Sent++
	c.Retries += o.Attempts - 1
	switch o.Kind {
	case KindAnswered:
		c.Answered++
	case KindFailed:
		c.Failed++
	case KindNotRun, KindUnreachable:
		c.NotRun++
	case KindMayHaveRun:
		c.MayHaveRun++
	case KindBroken:
		c.MayHaveRun++
		c.Broken++
	case KindWrong:
		c.Wrong++
	}
	if o.Late {
		c.Late++
	}
	if o.Replays > 0 {
		c.Replayed++
	}
}

func (c *Counts) sum(o *Counts) {
	c.Sent += o.Sent
	c.Answered += o.Answered
	c.Failed += o.Failed
	c.NotRun += o.NotRun
	c.MayHaveRun += o.MayHaveRun
	c.Broken += o.Broken
	c.Wrong += o.Wrong
	c.Late += o.Late
	c.Retries += o.Retries
	c.Replayed += o.Replayed
	c.Doubled += o.Doubled
	c.Lost += o.Lost
	c.Swapped += o.Swapped
	c.FalseNotRun += o.FalseNotRun
}
