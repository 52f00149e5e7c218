package coord

import (
	"context"
	"errors"
	"slices"
	"sync"

	"github.com/berylwharf/berylwharf/follower"
	"github.com/berylwharf/berylwharf/statelog"
)

// fakeLog is an in-memory log of membership records. All nodes share it as their store and see each change
// immediately.
type fakeLog struct {
	mu          sync.Mutex
	view        *statelog.View
	epochs      map[*statelog.View]uint64
	changed     chan struct{}
	unavailable bool
}

func newFakeLog() *fakeLog {
	l := &fakeLog{view: &statelog.View{NextOffset: 1}, epochs: make(map[*statelog.View]uint64), changed: make(chan struct{})}
	return l
}

func (l *fakeLog) View() *statelog.View {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.view
}

func (l *fakeLog) Changed(v *statelog.View) <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.view != v {
		done := make(chan struct{})
		close(done)
		return done
	}
	return l.changed
}

func (l *fakeLog) epoch(v *statelog.View) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.epochs[v]
}

func (l *fakeLog) Propose(_ context.Context, c follower.Change) (statelog.Outcome, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unavailable {
		return statelog.Outcome{}, &follower.ProposeError{ID: c.ID, Cause: errors.New("log unavailable")}
	}
	offset := l.view.NextOffset
	out := statelog.Outcome{ID: c.ID, Status: statelog.StatusAccepted, Offset: offset}
	members := slices.Clone(l.view.Members)
	i := slices.IndexFunc(members, func(m statelog.Member) bool { return m.Node == c.Member.Node })
	var version uint64
	if i >= 0 {
		version = members[i].Version
		members = slices.Delete(members, i, i+1)
	}
	next := &statelog.View{NextOffset: offset + 1, Members: l.view.Members}
	epoch := l.epochs[l.view]
	if version != c.BaseVersion {
		out.Status, out.CurrentVersion = statelog.StatusConflict, version
	} else {
		if c.Op == statelog.OpJoin {
			m := *c.Member
			m.Version = offset
			members = append(members, m)
		}
		slices.SortFunc(members, func(a, b statelog.Member) int { return int(a.Version) - int(b.Version) })
		next.Members = members
		epoch = offset
	}
	l.view = next
	l.epochs[next] = epoch
	close(l.changed)
	l.changed = make(chan struct{})
	return out, nil
}

func (l *fakeLog) Lookup(statelog.RecordID) (statelog.Outcome, bool) {
	return statelog.Outcome{}, false
}
