// Package operatortest provides an in-memory operator.Store with fault injection for tests of the operators' API and its
// clients. It implements the parts of the accept rule that are visible to operators: duplicates and conflicts.
package operatortest

import (
	"context"
	"errors"
	"sync"

	"github.com/berylwharf/berylwharf/follower"
	"github.com/berylwharf/berylwharf/operator"
	"github.com/berylwharf/berylwharf/resource"
	"github.com/berylwharf/berylwharf/statelog"
)

// Fault is a failure injected into one proposal.
type Fault int

// Faults of proposals.
const (
	// NotAccepted drops the change and fails with an error stating that it did not take effect.
	NotAccepted Fault = iota + 1
	// LostResponse applies the change and fails with an unknown outcome.
	LostResponse
	// LostAppend drops the change and fails with an unknown outcome.
	LostAppend
	// Stale rejects the change as if its read position were too old.
	Stale
)

// ErrInjected is the cause of injected failures.
var ErrInjected = errors.New("injected failure")

// Store is an operator.Store without a log. Use New to create one.
type Store struct {
	mu            sync.Mutex
	resources     map[resource.Key]*resource.Resource
	outcomes      map[statelog.RecordID]statelog.Outcome
	next          uint64
	frozen        bool // whether the published snapshot stays as it is
	snapshot      *snapshot
	changed       chan struct{}
	faults        []Fault
	beforePropose func()
	proposals     int
}

var _ operator.Store = (*Store)(nil)

// New returns an empty store whose next offset is 1.
func New() *Store {
	s := &Store{
		resources: make(map[resource.Key]*resource.Resource), outcomes: make(map[statelog.RecordID]statelog.Outcome),
		next: 1, changed: make(chan struct{}),
	}
	s.publish()
	return s
}

// InjectFaults applies the faults to the next proposals, one to each, in the given order.
func (s *Store) InjectFaults(faults ...Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append(s.faults, faults...)
}

// BeforeNextPropose calls f once, before the next proposal is applied. It simulates a concurrent change by another operator.
func (s *Store) BeforeNextPropose(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beforePropose = f
}

// FreezeSnapshot sets whether changes are withheld from the published snapshot, as on a node that lags behind the log.
// FreezeSnapshot(false) publishes the changes made in between.
func (s *Store) FreezeSnapshot(frozen bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.frozen = frozen
	s.publish()
}

// Proposals returns the number of calls of Propose.
func (s *Store) Proposals() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.proposals
}

// Put stores a resource unconditionally and returns its version.
func (s *Store) Put(author string, kind resource.Kind, name, spec string) uint64 {
	key := resource.Key{Kind: kind, Name: name}
	canonical, err := resource.Canonical(key, []byte(spec))
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.apply(follower.Change{Op: statelog.OpPut, Key: key, Author: author, Spec: canonical})
}

// Delete removes a resource unconditionally.
func (s *Store) Delete(kind resource.Kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(follower.Change{Op: statelog.OpDelete, Key: resource.Key{Kind: kind, Name: name}})
}

// Current implements operator.Store.
func (s *Store) Current() operator.Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.snapshot
}

// Changed implements operator.Store.
func (s *Store) Changed(old operator.Snapshot) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old.NextOffset() != s.snapshot.next {
		newer := make(chan struct{})
		close(newer)
		return newer
	}
	return s.changed
}

// Lookup implements operator.Store.
func (s *Store) Lookup(id statelog.RecordID) (statelog.Outcome, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out, ok := s.outcomes[id]
	return out, ok
}

// Propose implements operator.Store.
func (s *Store) Propose(_ context.Context, c follower.Change) (statelog.Outcome, error) {
	s.mu.Lock()
	beforePropose := s.beforePropose
	s.beforePropose = nil
	s.proposals++
	s.mu.Unlock()
	if beforePropose != nil {
		beforePropose()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var fault Fault
	if len(s.faults) > 0 {
		fault, s.faults = s.faults[0], s.faults[1:]
	}
	switch fault {
	case NotAccepted, LostAppend:
		return statelog.Outcome{}, &follower.ProposeError{ID: c.ID, MayTakeEffect: fault == LostAppend, Cause: ErrInjected}
	case Stale:
		out := statelog.Outcome{ID: c.ID, Status: statelog.StatusStale, Offset: s.next}
		s.outcomes[c.ID] = out
		s.next++
		s.publish()
		return out, nil
	}
	out := s.applyAcceptRule(c)
	if fault == LostResponse {
		return statelog.Outcome{}, &follower.ProposeError{ID: c.ID, MayTakeEffect: true, Cause: ErrInjected}
	}
	return out, nil
}

// applyAcceptRule implements rules 2 (duplicates), 4 (conflicts) and 5 (acceptance) of the accept rule in docs/design.md.
func (s *Store) applyAcceptRule(c follower.Change) statelog.Outcome {
	if out, ok := s.outcomes[c.ID]; ok {
		return out
	}
	out := statelog.Outcome{ID: c.ID, Status: statelog.StatusConflict, Offset: s.next}
	if current := s.resources[c.Key]; current != nil {
		out.CurrentVersion = current.Version
	}
	if c.BaseVersion == out.CurrentVersion {
		out.Status, out.CurrentVersion = statelog.StatusAccepted, 0
		s.apply(c)
	} else {
		s.next++
		s.publish()
	}
	s.outcomes[c.ID] = out
	return out
}

func (s *Store) apply(c follower.Change) uint64 {
	version := s.next
	s.next++
	if c.Op == statelog.OpDelete {
		delete(s.resources, c.Key)
	} else {
		s.resources[c.Key] = &resource.Resource{Key: c.Key, Version: version, Author: c.Author, Spec: c.Spec}
	}
	s.publish()
	return version
}

func (s *Store) publish() {
	if s.frozen {
		return
	}
	s.snapshot = newSnapshot(s.next, s.resources)
	close(s.changed)
	s.changed = make(chan struct{})
}

type snapshot struct {
	next      uint64
	resources map[resource.Key]*resource.Resource
	specs     map[resource.Key]resource.Spec
}

func newSnapshot(next uint64, resources map[resource.Key]*resource.Resource) *snapshot {
	s := &snapshot{next: next, resources: make(map[resource.Key]*resource.Resource), specs: make(map[resource.Key]resource.Spec)}
	for key, r := range resources {
		spec, err := resource.Decode(key, r.Spec)
		if err != nil {
			panic(err)
		}
		s.resources[key], s.specs[key] = r, spec
	}
	return s
}

// NextOffset implements operator.Snapshot.
func (s *snapshot) NextOffset() uint64 { return s.next }

// Get implements operator.Snapshot.
func (s *snapshot) Get(key resource.Key) *resource.Resource { return s.resources[key] }

// Each implements operator.Snapshot.
func (s *snapshot) Each(kind resource.Kind, f func(*resource.Resource, resource.Spec) bool) {
	for key, r := range s.resources {
		if kind != "" && key.Kind != kind {
			continue
		}
		if !f(r, s.specs[key]) {
			return
		}
	}
}
