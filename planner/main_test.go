package planner

import "flag"

// A fixed seed makes the property tests reproducible in CI. The flag -rapid.seed overrides it.
func init() {
	if err := flag.Set("rapid.seed", "20260105"); err != nil {
		panic(err)
	}
}
