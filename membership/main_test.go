package membership

import "flag"

// The random cases are the same in each run; -rapid.seed overrides the seed.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}
