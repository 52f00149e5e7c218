package job

import (
	"errors"
	"strings"
	"testing"
)

// recordBytes is the record size of the tests.
const recordBytes = 16 << 10

// TestCheckNew guards against jobs that the store can't take. Their commit would be repeated forever, and with it that of all jobs
// of the shard.
func TestCheckNew(t *testing.T) {
	label := func(n int) *Spec {
		s := oneStep("a", 1, 100)
		s.Steps[0].Label = strings.Repeat("x", n)
		return s
	}
	for _, c := range []struct {
		name     string
		s        *Spec
		tooLarge bool
		ok       bool
	}{
		{"identifier of the platform", oneStep("5c0e7a21d94b36f8", 24, 100), false, true},
		{"longest identifier", oneStep(strings.Repeat("a", MaxIDBytes), 1, 100), false, true},
		{"long identifier", oneStep(strings.Repeat("a", MaxIDBytes+1), 1, 100), false, false},
		{"identifier that is not UTF-8", oneStep("a\xff", 1, 100), false, false},
		{"most tasks", oneStep("a", maxTasks(recordBytes), 100), false, true},
		{"too many tasks", oneStep("a", maxTasks(recordBytes)+1, 100), true, false},
		{"long label", label(recordBytes / 2), false, true},
		{"label of the size of a record", label(recordBytes), true, false},
	} {
		err := c.s.CheckNew(recordBytes)
		if (err == nil) != c.ok || errors.Is(err, ErrTooLarge) != c.tooLarge {
			t.Errorf("%s: %v", c.name, err)
		}
		if n := len(encode(specRecord{Phase: Active, Spec: c.s})); c.ok && n > recordBytes {
			t.Errorf("%s: record of %d bytes", c.name, n)
		}
	}
}
