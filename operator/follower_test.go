package operator_test

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/berylwharf/berylwharf/follower"
	"github.com/berylwharf/berylwharf/operator"
	"github.com/berylwharf/berylwharf/statelog"
)

// stateStore is a follower.Store that applies each proposed record immediately to a statelog.State.
type stateStore struct {
	mu      sync.Mutex
	state   *statelog.State
	view    *statelog.View
	changed chan struct{}
}

func newStateStore() *stateStore {
	state := statelog.New()
	return &stateStore{state: state, view: state.View(), changed: make(chan struct{})}
}

func (s *stateStore) View() *statelog.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view
}

func (s *stateStore) Changed(v *statelog.View) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if v != s.view {
		newer := make(chan struct{})
		close(newer)
		return newer
	}
	return s.changed
}

func (s *stateStore) Lookup(id statelog.RecordID) (statelog.Outcome, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Lookup(id)
}

func (s *stateStore) Propose(_ context.Context, c follower.Change) (statelog.Outcome, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	data, err := statelog.EncodeRecord(&statelog.Record{
		ID: c.ID, Op: c.Op, Key: c.Key, BaseVersion: c.BaseVersion, ReadPos: s.state.Next(), Author: c.Author, Spec: c.Spec,
	})
	if err != nil {
		return statelog.Outcome{}, &follower.ProposeError{ID: c.ID, Cause: err}
	}
	out := s.state.Apply(s.state.Next(), data)
	s.view = s.state.View()
	close(s.changed)
	s.changed = make(chan struct{})
	return out, nil
}

// TestWithAcceptRule guards against records of the API that the accept rule rejects as malformed, and against an adapter
// that loses offsets or changes of the view.
func TestWithAcceptRule(t *testing.T) {
	server := newServer(t, operator.Config{Store: operator.FromFollower(newStateStore())})
	watch := openWatch(t, server, "")
	if got := watch(); got != `{"type":"synced","next":1}` {
		t.Errorf("watch: %s", got)
	}
	for _, c := range []struct {
		method, path, body string
		status             int
		want               string
	}{
		{"PUT", "/v1/resources/pool/intake", `{"base":0,"id":"` + testID + `","author":"juan","spec":{"minVMs":1}}`, 200, `"offset":1`},
		{"PUT", "/v1/resources/pool/intake", `{"base":0,"id":"` + testID + `","author":"juan","spec":{"minVMs":1}}`, 200, `"offset":1`},
		{"PUT", "/v1/resources/pool/intake", `{"base":0,"author":"ana","spec":{"minVMs":3}}`, 409, `"author":"juan","winner":"` + testID + `"`},
		{"PUT", "/v1/resources/pool/intake", `{"base":1,"author":"ana","spec":{"minVMs":3}}`, 200, `"offset":3`},
		{"PUT", "/v1/resources/pool/intake", `{"base":1,"author":"juan","spec":{"minVMs":2}}`, 409, `"comparedWith":"base","fields":[{"field":"minVMs","base":1,"current":3,"sent":2}]`},
		{"GET", "/v1/changes/" + testID, "", 200, `"status":"accepted","offset":1`},
		{"PUT", "/v1/resources/vm/w1", `{"base":0,"author":"ana","spec":{"pool":"intake"}}`, 200, `"offset":5`},
		{"DELETE", "/v1/resources/pool/intake?base=3&author=ana", "", 422, `"error":"in_use"`},
		{"DELETE", "/v1/resources/vm/w1?base=5&author=ana", "", 200, `"offset":6`},
		{"DELETE", "/v1/resources/pool/intake?base=3&author=ana", "", 200, `"offset":7`},
		{"GET", "/v1/resources/pool", "", 200, `{"next":8,"resources":[]}`},
	} {
		status, body, header := doRequest(t, server, c.method, c.path, c.body)
		if status != c.status || !strings.Contains(body, c.want) {
			t.Errorf("%s %s: status %d, %s\nwant %d, %s", c.method, c.path, status, body, c.status, c.want)
		}
		if status == http.StatusOK && header.Get(operator.HeaderNextOffset) == "" {
			t.Errorf("%s %s: no %s", c.method, c.path, operator.HeaderNextOffset)
		}
	}
	last := ""
	for range 100 {
		if last = watch(); last == `{"type":"synced","next":8}` {
			return
		}
	}
	t.Errorf("watch ended with %s", last)
}
