package jobmanager

import (
	"testing"
	"time"
)

// TestConfigState guards against a node that stays in service by a version that is out of force, and against one that leaves it
// because the store does not answer.
func TestConfigState(t *testing.T) {
	const bound = 3 * time.Second
	for _, c := range []struct {
		name              string
		state             ConfigState
		bound             time.Duration
		mayLack, outdated bool
	}{
		{"nothing read", ConfigState{}, bound, true, false},
		{"current", ConfigState{Known: true, Age: time.Second}, bound, false, false},
		{"store down", ConfigState{Known: true, Age: time.Minute}, bound, true, false},
		{"transfer", ConfigState{Known: true, Age: 2 * time.Second, Pending: 1, BehindFor: time.Second}, bound, true, false},
		{"transfer beyond the bound", ConfigState{Known: true, Age: 4 * time.Second, Pending: 1, BehindFor: bound}, bound, true, true},
		{"no bound", ConfigState{Known: true, Age: time.Minute}, 0, false, false},
		{"transfer, no bound", ConfigState{Known: true, Age: time.Minute, Pending: 1, BehindFor: time.Minute}, 0, true, false},
	} {
		if l, o := c.state.mayLack(c.bound), c.state.outdated(c.bound); l != c.mayLack || o != c.outdated {
			t.Errorf("%s: may lack a version %v, outdated %v", c.name, l, o)
		}
	}
}
