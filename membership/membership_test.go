package membership

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"github.com/berylwharf/berylwharf/statelog"
)

func parseMembers(t *testing.T, names string) []statelog.Member {
	var members []statelog.Member
	for _, name := range strings.Fields(names) {
		node, inc, ok := strings.Cut(name, "/")
		m := statelog.Member{Node: node, Incarnation: 1}
		if ok {
			n, err := strconv.ParseUint(inc, 10, 64)
			if err != nil {
				t.Fatal(err)
			}
			m.Incarnation = n
		}
		members = append(members, m)
	}
	return members
}

// TestHistory guards against a home node that claims coverage for a time in which claims could be registered with other
// nodes, and against one that grants a key while home nodes of an earlier epoch still can. Times are in seconds. The hash
// of key n is n times an odd constant.
func TestHistory(t *testing.T) {
	at := func(s int) time.Time { return time.Unix(int64(1000+s), 0) }
	var h *History
	var now int
	datadriven.RunTest(t, "testdata/history", func(t *testing.T, d *datadriven.TestData) string {
		var arg string
		var epoch, key int
		if d.HasArg("at") {
			d.ScanArgs(t, "at", &now)
		}
		if d.HasArg("epoch") {
			d.ScanArgs(t, "epoch", &epoch)
		}
		switch d.Cmd {
		case "new":
			d.ScanArgs(t, "node", &arg)
			h = NewHistory(arg, 1)
			return ""
		case "observe":
			ok := h.Observe(NewSet(uint64(epoch), parseMembers(t, d.Input)), at(now))
			return fmt.Sprintf("new=%v gap=%v member=%v covered=%v\n", ok, h.Gap(), h.Member(), h.Covered())
		case "ack":
			inc := 1
			d.ScanArgs(t, "node", &arg)
			if d.HasArg("inc") {
				d.ScanArgs(t, "inc", &inc)
			}
			h.Acknowledge(arg, uint64(inc), uint64(epoch), d.HasArg("released"), at(now))
			return fmt.Sprintf("covered=%v released=%v\n", h.Covered(), h.Released(arg, uint64(inc)))
		case "silent":
			return fmt.Sprintln(h.Silent(3*time.Second, at(now)))
		case "key":
			d.ScanArgs(t, "n", &key)
			hash := uint64(key) * 0x9e3779b97f4a7c15
			first, second := h.Current().KeyHomes(hash)
			since, ok := h.HomeSince(hash)
			s := "-"
			if ok {
				s = strconv.Itoa(int(since.Unix()) - 1000)
			}
			return fmt.Sprintf("homes=%s,%s since=%s settled=%v replaced(made at %d)=%v\n",
				first, second, s, h.EarlierHomesInactive(hash), now, h.HomesReplaced(hash, at(now)))
		}
		return "unknown command"
	})
}

// TestRendezvous guards against home nodes that move between two remaining members when another one leaves, which would
// cost needless reports and interrupt coverage, and against an uneven distribution of workers.
func TestRendezvous(t *testing.T) {
	var members []statelog.Member
	for i := range 9 {
		members = append(members, statelog.Member{Node: fmt.Sprintf("entry-%c", 'a'+i), Incarnation: 1})
	}
	all, fewer := NewSet(1, members), NewSet(2, members[1:])
	count := make(map[string]int)
	for i := range 9000 {
		w := fmt.Sprintf("worker-%d", i)
		home := all.Home(w)
		count[home]++
		if home != members[0].Node && fewer.Home(w) != home {
			t.Fatalf("home node of %s moved from %s to %s", w, home, fewer.Home(w))
		}
	}
	for node, n := range count {
		if n < 850 || n > 1150 {
			t.Errorf("%s is the home node of %d of 9000 workers, want 850 to 1150", node, n)
		}
	}
}

// TestRank guards against two nodes with the same rank, which would write the same snapshot concurrently.
func TestRank(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z]{1,8}`), 1, 12, rapid.ID).Draw(t, "names")
		offset := rapid.Uint64().Draw(t, "offset")
		var members []statelog.Member
		for _, n := range names {
			members = append(members, statelog.Member{Node: n})
		}
		seen := make(map[int]bool)
		for _, n := range names {
			r := Rank(members, n, offset)
			if r < 0 || r >= len(names) || seen[r] {
				t.Fatalf("rank %d of %s is out of range or a duplicate", r, n)
			}
			seen[r] = true
		}
		if r := Rank(members, "NOBODY", offset); r != len(names) {
			t.Fatalf("rank %d of a node that is not a member", r)
		}
	})
}
