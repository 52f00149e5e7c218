package job

import (
	"strings"
	"testing"
)

// TestCheckNew guards against jobs that the store can't take. Their commit would be repeated forever, and with it that of all jobs
// of the shard.
func TestCheckNew(t *testing.T) {
	for _, c := range []struct {
		name string
		s    *Spec
		ok   bool
	}{
		{"identifier of the platform", oneStep("5c0e7a21d94b36f8", 24, 100), true},
		{"longest identifier", oneStep(strings.Repeat("a", MaxIDBytes), 1, 100), true},
		{"long identifier", oneStep(strings.Repeat("a", MaxIDBytes+1), 1, 100), false},
		{"identifier that is not UTF-8", oneStep("a\xff", 1, 100), false},
	} {
		err := c.s.CheckNew()
		if (err == nil) != c.ok {
			t.Errorf("%s: %v", c.name, err)
		}
	}
}
