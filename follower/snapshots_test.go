package follower

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/berylwharf/berylwharf/statelog"
)

// Guards against a due snapshot that no node writes: after a writer crashed midway, when nodes restart more often than
// snapshots are due by time, or when a writer's clock was in the future. Also guards against a snapshot by a node that
// is behind.
func TestSnapshotDue(t *testing.T) {
	now := time.Now()
	old := now.Add(-7 * time.Hour) // a quarter of the retention is 6 h
	for name, tc := range map[string]struct {
		chunk statelog.Chunk
		next  uint64
		want  bool
	}{
		"empty state":       {next: 1},
		"no snapshot":       {next: 2, want: true},
		"recent":            {statelog.Chunk{Offset: 100, Count: 1, UnixMsec: now.UnixMilli()}, 1123, false},
		"1024 records":      {statelog.Chunk{Offset: 100, Count: 1, UnixMsec: now.UnixMilli()}, 1124, true},
		"old":               {statelog.Chunk{Offset: 100, Count: 1, UnixMsec: old.UnixMilli()}, 100, true},
		"writer failed":     {statelog.Chunk{Offset: 100, Count: 2, UnixMsec: now.UnixMilli()}, 101, true},
		"clock ahead":       {statelog.Chunk{Offset: 100, Count: 1, UnixMsec: now.Add(99 * time.Hour).UnixMilli()}, 100, true},
		"this node behind":  {statelog.Chunk{Offset: 100, Count: 1, UnixMsec: old.UnixMilli()}, 50, false},
		"last of two parts": {statelog.Chunk{Offset: 100, Index: 1, Count: 2, UnixMsec: now.UnixMilli()}, 101, false},
	} {
		f, err := New(testConfig("a", newFakeLog()))
		if err != nil {
			t.Fatal(err)
		}
		for o := uint64(1); o < tc.next; o++ {
			f.state.Apply(o, nil)
		}
		at := now
		if name == "clock ahead" {
			at = now.Add(7 * time.Hour)
		}
		if tc.chunk.Count > 0 {
			f.updateSnapshotInfo(&tc.chunk, 2)
		} else {
			f.updateSnapshotInfo(nil, 1)
		}
		if got := f.snapshotDue(at); got != tc.want {
			t.Errorf("%s: due %v, want %v", name, got, tc.want)
		}
	}
}

// Guards against two members with the same rank, and against one member always ranking first.
func TestRank(t *testing.T) {
	var members []statelog.Member
	for i := range 9 {
		members = append(members, statelog.Member{Node: fmt.Sprint("node-", i)})
	}
	firstRanked := map[string]bool{}
	for offset := range uint64(40) {
		var ranks []int
		for _, m := range members {
			r := rank(members, m.Node, offset)
			ranks = append(ranks, r)
			if r == 0 {
				firstRanked[m.Node] = true
			}
		}
		slices.Sort(ranks)
		if !slices.Equal(ranks, []int{0, 1, 2, 3, 4, 5, 6, 7, 8}) || rank(members, "other", offset) != 9 {
			t.Fatalf("offset %d: ranks %v", offset, ranks)
		}
	}
	if len(firstRanked) < 5 {
		t.Errorf("only %d of 9 nodes come first at 40 offsets", len(firstRanked))
	}
}

// Guards against several nodes writing the same snapshot: only the first-ranked node writes while the others wait, and a
// node whose delay has passed reads the stream before it writes.
func TestOneWriter(t *testing.T) {
	l := newFakeLog()
	var fs []*Follower
	for i, node := range []string{"a", "b", "c"} {
		cfg := testConfig(node, l)
		cfg.RecordsPerSnapshot, cfg.RankDelay = 20, time.Hour
		f, _ := start(t, cfg)
		<-f.Loaded()
		fs = append(fs, f)
		if i > 0 {
			continue
		}
		for _, m := range []string{"a", "b", "c"} {
			propose(t, f, Change{Op: statelog.OpJoin, Member: &statelog.Member{Node: m, VM: m, Zone: "z", Region: "r",
				PeerAddr: "127.0.0.1:1", Incarnation: 1}})
		}
		eventually(t, "first snapshot", func() bool { return f.Status().Snapshot > 0 })
	}
	proposeN(t, fs[0], 0, 20+int(fs[0].Status().Snapshot))
	eventually(t, "second snapshot", func() bool { return l.next(statelog.StreamSnapshots) > 2 })
	before := l.next(statelog.StreamSnapshots)
	resp, err := l.Read(context.Background(), statelog.StreamSnapshots, 1, 100, 0)
	if err != nil {
		t.Fatal(err)
	}
	base := uint64(0)
	for _, r := range resp.Records {
		c, err := statelog.DecodeChunk(r.Data)
		if err != nil {
			t.Fatal(err)
		}
		if base > 0 && rank(fs[0].View().Members, c.Writer, base) != 0 {
			t.Errorf("%s wrote the snapshot after offset %d, but another node ranks first", c.Writer, base)
		}
		base = c.Offset
	}
	late, err := New(testConfig("late", l))
	if err != nil {
		t.Fatal(err)
	}
	late.state, late.snapshot.checked = fs[0].state, true // it does not know the last snapshot
	if err := late.writeIfDue(context.Background()); err != nil || l.next(statelog.StreamSnapshots) != before {
		t.Errorf("a second snapshot was written, error %v", err)
	}
}
