package operator

import (
	"bytes"
	"context"
	"crypto/rand"
	"net/http"
	"sort"
	"time"

	"github.com/pkg/errors"

	"github.com/berylwharf/berylwharf/follower"
	"github.com/berylwharf/berylwharf/resource"
	"github.com/berylwharf/berylwharf/statelog"
)

// service answers decoded requests. It holds no state that a decision depends on.
type service struct {
	Config
	store   Store
	history *history
	watches chan struct{} // one entry for each open watch stream
}

// change is a change as a client asked for it.
type change struct {
	follower.Change
	spec    resource.Spec // decoded; nil for a deletion
	givenID bool          // the client chose the identifier, so that this may be a repetition
}

func (s *service) list(_ context.Context, kind resource.Kind) (*ListResponse, error) {
	snapshot := s.store.Current()
	list := &ListResponse{Next: snapshot.Next(), Resources: []*resource.Resource{}}
	snapshot.Each(kind, func(r *resource.Resource, _ resource.Spec) bool {
		list.Resources = append(list.Resources, r)
		return true
	})
	sort.Slice(list.Resources, func(i, j int) bool { return list.Resources[i].Less(list.Resources[j].Key) })
	return list, nil
}

func (s *service) get(_ context.Context, key resource.Key) (*resource.Resource, error) {
	r := s.store.Current().Get(key)
	if r == nil {
		return nil, errorf(http.StatusNotFound, CodeNotFound, "", "%s does not exist", key)
	}
	s.history.add(r)
	return r, nil
}

// apply proposes a put or a deletion. What is known of a repeated change comes before all checks, since the state may
// have changed after the first attempt took effect.
func (s *service) apply(ctx context.Context, c *change) (*ChangeResponse, error) {
	if out, ok := s.store.Lookup(c.ID); ok {
		return s.answer(c, out)
	}
	if err := s.check(c); err != nil {
		err.ID = c.ID.String()
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, s.ProposeTimeout)
	defer cancel()
	out, err := s.store.Propose(ctx, c.Change)
	if err != nil {
		return nil, s.proposeError(c, err)
	}
	return s.answer(c, out)
}

func (s *service) check(c *change) *Error {
	if c.Op == statelog.OpDelete {
		return checkUnused(s.store.Current(), c.Key)
	}
	return checkReferences(s.store.Current(), c.Key, c.spec)
}

// answer turns the outcome of a record into the answer to the client.
func (s *service) answer(c *change, out statelog.Outcome) (*ChangeResponse, error) {
	id := c.ID.String()
	switch out.Status {
	case statelog.StatusAccepted:
		return s.accepted(c, out.Offset)
	case statelog.StatusConflict:
		s.Log.Infof("operators: %s by %q lost a conflict", c.Key, c.Author)
		return nil, s.conflict(c, out.Winner)
	case statelog.StatusMalformed:
		err := errorf(http.StatusUnprocessableEntity, CodeInvalid, "", "%s", out.Message)
		err.ID = id
		return nil, err
	}
	// A stale record was not accepted. When the client chose the identifier, an earlier record with it may have been
	// accepted and forgotten since.
	err := errorf(http.StatusServiceUnavailable, CodeNotAccepted, "", "the change was read too late to be accepted; try again")
	if c.givenID {
		err = errorf(http.StatusGatewayTimeout, CodeOutcomeUnknown, "id",
			"the change was read too late to be accepted, and an earlier attempt with its identifier is no longer known; read the resource")
	}
	err.ID = id
	return nil, err
}

// accepted answers an accepted change, unless the record that was accepted under the identifier is a different one.
func (s *service) accepted(c *change, offset uint64) (*ChangeResponse, error) {
	answer := &ChangeResponse{ID: c.ID.String(), Status: statelog.StatusAccepted.String(), Offset: offset}
	snapshot := s.store.Current()
	if !plausible(snapshot, c, offset) {
		err := errorf(http.StatusUnprocessableEntity, CodeReusedID, "id", "the identifier belongs to another change")
		err.ID = answer.ID
		return nil, err
	}
	current := snapshot.Get(c.Key)
	switch {
	case c.Op == statelog.OpDelete:
	case current != nil && current.Version == offset:
		answer.Resource = current
	case offset >= snapshot.Next():
		answer.Resource = &resource.Resource{Key: c.Key, Version: offset, Author: c.Author, Spec: c.Spec}
	}
	if answer.Resource != nil {
		s.history.add(answer.Resource)
	}
	s.Log.Infof("operators: %s %s by %q accepted at offset %d", opName(c.Op), c.Key, c.Author, offset)
	return answer, nil
}

// plausible reports whether the record accepted at an offset can be this change. An outcome does not name the resource,
// so a reused identifier is found only while the snapshot shows it: until the resource of the first change is changed
// again.
func plausible(s Snapshot, c *change, offset uint64) bool {
	if offset >= s.Next() {
		return true
	}
	if current := s.Get(c.Key); current != nil && current.Version <= offset {
		return c.Op == statelog.OpPut && current.Version == offset && bytes.Equal(current.Spec, c.Spec)
	}
	other := false
	s.Each("", func(r *resource.Resource, _ resource.Spec) bool {
		other = r.Version == offset
		return !other
	})
	return !other
}

func opName(op statelog.Op) string {
	if op == statelog.OpDelete {
		return "deletion of"
	}
	return "put of"
}

func (s *service) proposeError(c *change, cause error) *Error {
	s.Log.Warnf("operators: %s %s by %q: %v", opName(c.Op), c.Key, c.Author, cause)
	var pe *follower.ProposeError
	err := errorf(http.StatusGatewayTimeout, CodeOutcomeUnknown, "",
		"it is not known whether the change takes effect; ask for the outcome of identifier %s", c.ID)
	if errors.As(cause, &pe) && !pe.MayTakeEffect {
		err = errorf(http.StatusServiceUnavailable, CodeNotAccepted, "", "the change did not take effect: %v", pe.Cause)
	}
	err.ID = c.ID.String()
	return err
}

func (s *service) change(_ context.Context, id statelog.RecordID) (*ChangeStatus, error) {
	out, ok := s.store.Lookup(id)
	if !ok {
		err := errorf(http.StatusNotFound, CodeUnknownChange, "id",
			"the change is not in the log as far as this node has read it, or its outcome is no longer kept")
		err.ID = id.String()
		return nil, err
	}
	return &ChangeStatus{ID: id.String(), Status: out.Status.String(), Offset: out.Offset, Current: out.Current, Winner: idText(out.Winner), Message: out.Message}, nil
}

func (s *service) nodes(context.Context) (*NodesResponse, error) {
	nodes := &NodesResponse{Nodes: []NodeStatus{}}
	if s.Nodes != nil {
		nodes.Nodes = append(nodes.Nodes, s.Nodes.NodeStatuses()...)
	}
	sort.Slice(nodes.Nodes, func(i, j int) bool {
		a, b := nodes.Nodes[i], nodes.Nodes[j]
		if a.Region != b.Region {
			return a.Region < b.Region
		}
		return a.Node < b.Node
	})
	return nodes, nil
}

// waitNext waits until this node has read up to next, which the client has seen elsewhere.
func (s *service) waitNext(ctx context.Context, next uint64) error {
	timer := time.NewTimer(s.CatchUpTimeout)
	defer timer.Stop()
	for {
		snapshot := s.store.Current()
		if snapshot.Next() >= next {
			return nil
		}
		select {
		case <-s.store.Changed(snapshot):
		case <-timer.C:
			return errorf(http.StatusServiceUnavailable, CodeBehind, "",
				"this node has read the log up to %d, the client has seen %d; try again", snapshot.Next(), next)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// idText returns an empty string for the zero identifier.
func idText(id statelog.RecordID) string {
	if id == (statelog.RecordID{}) {
		return ""
	}
	return id.String()
}

func newRecordID() statelog.RecordID {
	var id statelog.RecordID
	_, _ = rand.Read(id[:]) // never fails, see package crypto/rand
	return id
}
