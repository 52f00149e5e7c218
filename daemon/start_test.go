package daemon

import (
	"testing"
	"time"
)

// TestStartWait guards against a node that becomes ready before its members agree, and against one that never becomes
// ready because a member that is silent but still listed does not acknowledge its join.
func TestStartWait(t *testing.T) {
	const settle, limit = 4 * time.Second, 15 * time.Second
	for _, c := range []struct {
		name           string
		member, agreed func(second int) bool
		want           int // second of readiness
	}{
		{"members agree at once", func(int) bool { return true }, func(int) bool { return true }, 4},
		{"they agree late", func(int) bool { return true }, func(s int) bool { return s >= 3 }, 7},
		{"they change once more", func(int) bool { return true }, func(s int) bool { return s != 2 }, 7},
		{"one stays silent", func(int) bool { return true }, func(int) bool { return false }, 15},
		{"the join takes long", func(s int) bool { return s >= 20 }, func(int) bool { return false }, 35},
	} {
		var w startWait
		got := -1
		for s := 0; s < 100 && got < 0; s++ {
			now := time.Unix(int64(s), 0)
			if w.over(c.member(s), c.agreed(s), settle, limit, now) {
				got = s
			}
		}
		if got != c.want {
			t.Errorf("%s: ready at second %d, want %d", c.name, got, c.want)
		}
	}
}
