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

// service implements the endpoints. It holds no state that affects the outcome of a change.
type service struct {
	Config
	store       Store
	specHistory *specHistory
	watchSlots  chan struct{} // semaphore that holds one element for each open watch stream
}

// change is a change requested by a client.
type change struct {
	follower.Change
	spec          resource.Spec // decoded spec; nil for a deletion
	clientChoseID bool          // whether the client supplied the identifier, so that this may be a retry
}

func (s *service) list(_ context.Context, kind resource.Kind) (*ListResponse, error) {
	snapshot := s.store.Current()
	list := &ListResponse{NextOffset: snapshot.NextOffset(), Resources: []*resource.Resource{}}
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
	s.specHistory.add(r)
	return r, nil
}

// apply proposes a put or a deletion. If the outcome of an earlier attempt is known, apply returns it without validating
// the change again, because the state may have changed since that attempt took effect.
func (s *service) apply(ctx context.Context, c *change) (*ChangeResponse, error) {
	if out, ok := s.store.Lookup(c.ID); ok {
		return s.outcomeResponse(c, out)
	}
	if err := s.validate(c); err != nil {
		err.ID = c.ID.String()
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, s.ProposeTimeout)
	defer cancel()
	out, err := s.store.Propose(ctx, c.Change)
	if err != nil {
		return nil, s.proposeError(c, err)
	}
	return s.outcomeResponse(c, out)
}

func (s *service) validate(c *change) *Error {
	if c.Op == statelog.OpDelete {
		return checkUnreferenced(s.store.Current(), c.Key)
	}
	return checkReferences(s.store.Current(), c.Key, c.spec)
}

// outcomeResponse converts the outcome of a record to the response to the client.
func (s *service) outcomeResponse(c *change, out statelog.Outcome) (*ChangeResponse, error) {
	id := c.ID.String()
	switch out.Status {
	case statelog.StatusAccepted:
		return s.acceptedResponse(c, out.Offset)
	case statelog.StatusConflict:
		s.Log.Infof("operators: change of %s by %q rejected: conflict with an earlier change", c.Key, c.Author)
		return nil, s.conflictError(c, out.WinnerID)
	case statelog.StatusMalformed:
		err := errorf(http.StatusUnprocessableEntity, CodeInvalid, "", "%s", out.Message)
		err.ID = id
		return nil, err
	}
	// A stale record was not accepted. If the client supplied the identifier, however, an earlier record with the same
	// identifier may have been accepted, whose outcome is no longer kept.
	err := errorf(http.StatusServiceUnavailable, CodeNotAccepted, "", "the change was read too late to be accepted; try again")
	if c.clientChoseID {
		err = errorf(http.StatusGatewayTimeout, CodeOutcomeUnknown, "id",
			"the change was read too late to be accepted, and an earlier attempt with its identifier is no longer known; read the resource")
	}
	err.ID = id
	return nil, err
}

// acceptedResponse returns the response to an accepted change, or an error if the identifier was used for another change.
func (s *service) acceptedResponse(c *change, offset uint64) (*ChangeResponse, error) {
	response := &ChangeResponse{ID: c.ID.String(), Status: statelog.StatusAccepted.String(), Offset: offset}
	snapshot := s.store.Current()
	if !couldBeRecordAt(snapshot, c, offset) {
		err := errorf(http.StatusUnprocessableEntity, CodeIdentifierReused, "id", "the identifier belongs to another change")
		err.ID = response.ID
		return nil, err
	}
	current := snapshot.Get(c.Key)
	switch {
	case c.Op == statelog.OpDelete:
	case current != nil && current.Version == offset:
		response.Resource = current
	case offset >= snapshot.NextOffset():
		response.Resource = &resource.Resource{Key: c.Key, Version: offset, Author: c.Author, Spec: c.Spec}
	}
	if response.Resource != nil {
		s.specHistory.add(response.Resource)
	}
	s.Log.Infof("operators: %s %s by %q accepted at offset %d", opName(c.Op), c.Key, c.Author, offset)
	return response, nil
}

// couldBeRecordAt reports whether the record accepted at an offset could be this change. An outcome does not include the
// resource, so the reuse of an identifier is detected only through the snapshot: as long as the resource of the first change
// has not been changed again.
func couldBeRecordAt(s Snapshot, c *change, offset uint64) bool {
	if offset >= s.NextOffset() {
		return true
	}
	if current := s.Get(c.Key); current != nil && current.Version <= offset {
		return c.Op == statelog.OpPut && current.Version == offset && bytes.Equal(current.Spec, c.Spec)
	}
	otherResource := false
	s.Each("", func(r *resource.Resource, _ resource.Spec) bool {
		otherResource = r.Version == offset
		return !otherResource
	})
	return !otherResource
}

func opName(op statelog.Op) string {
	if op == statelog.OpDelete {
		return "deletion of"
	}
	return "put of"
}

func (s *service) proposeError(c *change, cause error) *Error {
	s.Log.Warnf("operators: %s %s by %q failed: %v", opName(c.Op), c.Key, c.Author, cause)
	var pe *follower.ProposeError
	err := errorf(http.StatusGatewayTimeout, CodeOutcomeUnknown, "",
		"it is not known whether the change takes effect; ask for the outcome of identifier %s", c.ID)
	if errors.As(cause, &pe) && !pe.MayTakeEffect {
		err = errorf(http.StatusServiceUnavailable, CodeNotAccepted, "", "the change did not take effect: %v", pe.Cause)
	}
	err.ID = c.ID.String()
	return err
}

func (s *service) changeStatus(_ context.Context, id statelog.RecordID) (*ChangeStatus, error) {
	out, ok := s.store.Lookup(id)
	if !ok {
		err := errorf(http.StatusNotFound, CodeUnknownChange, "id",
			"the change is not in the log as far as this node has read it, or its outcome is no longer kept")
		err.ID = id.String()
		return nil, err
	}
	return &ChangeStatus{ID: id.String(), Status: out.Status.String(), Offset: out.Offset, CurrentVersion: out.CurrentVersion, WinnerID: formatRecordID(out.WinnerID), Message: out.Message}, nil
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

// waitForOffset waits until this node has read the log up to next, the greatest offset that the client has received from
// any node.
func (s *service) waitForOffset(ctx context.Context, next uint64) error {
	timer := time.NewTimer(s.CatchUpTimeout)
	defer timer.Stop()
	for {
		snapshot := s.store.Current()
		if snapshot.NextOffset() >= next {
			return nil
		}
		select {
		case <-s.store.Changed(snapshot):
		case <-timer.C:
			return errorf(http.StatusServiceUnavailable, CodeBehind, "",
				"this node has read the log up to %d, the client has seen %d; try again", snapshot.NextOffset(), next)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// formatRecordID returns the text of an identifier, or an empty string for the zero identifier.
func formatRecordID(id statelog.RecordID) string {
	if id == (statelog.RecordID{}) {
		return ""
	}
	return id.String()
}

func newRecordID() statelog.RecordID {
	var id statelog.RecordID
	_, _ = rand.Read(id[:]) // crypto/rand.Read never returns an error
	return id
}
