package jobmanager

import "testing"

// TestHomeRejectsMisroutedClaim guards against a queue that goes to a pool to which the version of the claim does not route
// it: all jobs of the queue ran in the wrong pool.
func TestHomeRejectsMisroutedClaim(t *testing.T) {
	config := &Config{Version: 9, Routes: []Route{{Name: "q", Host: "H", PathPrefix: "/q/", Pool: "new"}}}
	for _, test := range []struct {
		claim       call
		contradicts bool
	}{
		{call{Pool: "old", Address: "h/q/", Version: 9}, true},
		{call{Pool: "new", Address: "h/q/", Version: 9}, false},
		{call{Pool: "new", Address: "h/other/", Version: 9}, true},
		// The node doesn't know these versions.
		{call{Pool: "old", Address: "h/q/", Version: 8}, false},
		{call{Pool: "old", Address: "h/q/", Version: 10}, false},
	} {
		if got := config.contradicts(test.claim); got != test.contradicts {
			t.Errorf("contradicts(%+v) = %t", test.claim, got)
		}
	}
	if (*Config)(nil).contradicts(call{Version: 9}) {
		t.Error("a node without a configuration rejects a claim")
	}
}

// TestRepeatedClaimRaisesVersion guards against a queue that is taken away by a late claim: its pool had claimed it again
// under a later version than that of the late claim, but the earlier version was kept.
func TestRepeatedClaimRaisesVersion(t *testing.T) {
	home, _ := queueHome{}.claim(call{Pool: "a", Address: "h/q/", Version: 7})
	home, granted := home.claim(call{Pool: "a", Address: "h/q/", Version: 9})
	if !granted {
		t.Fatal("the pool of the queue is refused")
	}
	if home, granted = home.claim(call{Pool: "b", Address: "h/q/", Version: 8}); granted {
		t.Errorf("a claim under version 8 was granted after one under version 9: %+v", home)
	}
}
