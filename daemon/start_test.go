package daemon

import (
	"testing"
	"time"
)

// TestStartupWait guards against a node that becomes ready before all members are at the same epoch, and against a node that
// never becomes ready because a member that does not respond but is still listed never acknowledges the join.
func TestStartupWait(t *testing.T) {
	const settle, limit = 4 * time.Second, 15 * time.Second
	for _, c := range []struct {
		name           string
		member, agreed func(second int) bool
		want           int // second at which the wait ends
	}{
		{"members agree at once", func(int) bool { return true }, func(int) bool { return true }, 4},
		{"members agree late", func(int) bool { return true }, func(s int) bool { return s >= 3 }, 7},
		{"members change once more", func(int) bool { return true }, func(s int) bool { return s != 2 }, 7},
		{"one does not respond", func(int) bool { return true }, func(int) bool { return false }, 15},
		{"the join takes long", func(s int) bool { return s >= 20 }, func(int) bool { return false }, 35},
	} {
		var w startupWait
		got := -1
		for s := 0; s < 100 && got < 0; s++ {
			now := time.Unix(int64(s), 0)
			if w.update(c.member(s), c.agreed(s), settle, limit, now) {
				got = s
			}
		}
		if got != c.want {
			t.Errorf("%s: ready at second %d, want %d", c.name, got, c.want)
		}
	}
}
