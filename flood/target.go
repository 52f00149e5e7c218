package flood

import (
	"fmt"
	"math"
)

// Targets of the policy used in production. They are requirements and must not be adjusted to measurements.
const (
	// shareTolerance is the permitted relative deviation of the host's fraction of the answers from its declared share
	// while all customers are saturated.
	shareTolerance = 0.02
	// minKeptRatio is the minimum ratio of kept to covered requests for customers that do not flood.
	minKeptRatio = 0.99
)

// Check is the comparison of one figure with its target.
type Check struct {
	Name     string
	Measured float64
	Target   string
	OK       bool
}

// Checks compares the figures of Weighted with the targets, and checks the guarantees on requests and refusals in all
// runs.
func (r *Report) Checks() []Check {
	var checks []Check
	if got, ok := r.Shares[WeightedName]; ok {
		want := shareFraction(Host)
		checks = append(checks, Check{
			Name: "host's part of the answers while all are saturated", Measured: got[Host],
			Target: fmt.Sprintf("%.3f to %.3f", want*(1-shareTolerance), want*(1+shareTolerance)),
			OK:     math.Abs(got[Host]-want) <= want*shareTolerance,
		})
	}
	for _, row := range r.Rows {
		if row.Policy != WeightedName || row.Flooding || row.Scenario == Saturated || row.Scenario == NoFlood {
			continue
		}
		kept := ratio(row.Kept, row.Covered)
		checks = append(checks, Check{
			Name: fmt.Sprintf("flood %s: kept part of what the share of %s covers", row.Scenario, row.Customer), Measured: kept,
			Target: fmt.Sprintf("at least %.2f", minKeptRatio),
			OK:     kept >= minKeptRatio,
		})
	}
	violations := 0
	for _, s := range r.Summaries {
		violations += s.FalseNotRun + s.Doubled + s.Lost + s.Swapped
	}
	return append(checks, Check{
		Name: "false not-run refusals, doubled, lost and swapped requests in all runs", Measured: float64(violations),
		Target: "0", OK: violations == 0,
	})
}

// ratio returns a/b, and 1 when b is 0.
func ratio(a, b int) float64 {
	if b == 0 {
		return 1
	}
	return float64(a) / float64(b)
}
