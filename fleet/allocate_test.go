package fleet

import "testing"

// TestFloodLeavesSmallDemandsAlone guards against a queue whose peak asks for more than the whole fleet and takes the
// machines that another pool's small but steady demand needs. In a replay of the large site's small twin, a pool that
// needed 18 of 130 machines had 5 while another one asked for 300.
func TestFloodLeavesSmallDemandsAlone(t *testing.T) {
	w := newTestFleet(t, map[string]int{"a": 60, "b": 18, "spare": 0})
	for range 60 {
		w.loads["a"] = Load{Used: float64(w.poolSize("a")), Waiting: 200, OfferedLoad: 250}
		w.loads["b"] = Load{Used: 12, OfferedLoad: 12}
		w.round()
	}
	if got := w.poolSize("b"); got < 14 {
		t.Fatalf("the pool whose work needs 14 machines has %d", got)
	}
}
