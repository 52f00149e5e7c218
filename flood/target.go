package flood

import (
	"fmt"
	"math"
)

// Targets of the policy in use. They are requirements and are never adjusted to a measurement.
const (
	// shareTolerance is how far the host's part of the answers may be from its declared share, relative to the share,
	// while all customers are saturated.
	shareTolerance = 0.02
	// keptTarget is the least part of the covered requests that customers without a flood must keep.
	keptTarget = 0.99
)

// Check is the result of comparing one figure with its target.
type Check struct {
	Name   string
	Got    float64
	Target string
	OK     bool
}

// Checks compares the figures of Weighted with the targets, and all runs with the promises about refusals.
func (r *Report) Checks() []Check {
	var checks []Check
	if got, ok := r.Shares[WeightedName]; ok {
		want := shareOf(Host)
		checks = append(checks, Check{
			Name: "host's part of the answers while all are saturated", Got: got[Host],
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
			Name: fmt.Sprintf("flood %s: kept part of what the share of %s covers", row.Scenario, row.Customer), Got: kept,
			Target: fmt.Sprintf("at least %.2f", keptTarget),
			OK:     kept >= keptTarget,
		})
	}
	broken := 0
	for _, s := range r.Summaries {
		broken += s.FalseNotRun + s.Doubled + s.Lost + s.Swapped
	}
	return append(checks, Check{
		Name: "false not-run refusals, doubled, lost and swapped requests in all runs", Got: float64(broken), Target: "0", OK: broken == 0,
	})
}

// ratio returns a/b, and 1 when b is 0.
func ratio(a, b int) float64 {
	if b == 0 {
		return 1
	}
	return float64(a) / float64(b)
}
