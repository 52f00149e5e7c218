package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"time"

	"github.com/berylwharf/berylwharf/resource"
)

// watchWriteTimeout limits the duration of one write to a watch stream, so that a client that has stopped reading does not
// keep the stream open.
const watchWriteTimeout = 30 * time.Second

type watchRequest struct {
	from uint64
	kind resource.Kind // all kinds if empty
}

// decodeWatch returns a watchRequest.
func decodeWatch(_ context.Context, r *http.Request) (any, error) {
	var req watchRequest
	for name, values := range r.URL.Query() {
		switch name {
		case "from":
			from, err := strconv.ParseUint(values[0], 10, 64)
			if err != nil {
				return nil, malformedRequest("from", "%s is not an offset", quoteShort(values[0]))
			}
			req.from = from
		case "kind":
			req.kind = resource.Kind(values[0])
			if err := req.kind.Validate(); err != nil {
				return nil, malformedRequest("kind", "%v", err)
			}
		default:
			return nil, malformedRequest(quoteShort(name), "unknown parameter (permitted: from, kind)")
		}
	}
	return req, nil
}

// watchStream is a watch that occupies one of service.watchSlots until encodeWatch has written it.
type watchStream struct {
	watchRequest
	service *service
}

func (s *service) openWatch(_ context.Context, req watchRequest) (*watchStream, error) {
	select {
	case s.watchSlots <- struct{}{}:
		return &watchStream{watchRequest: req, service: s}, nil
	default:
		return nil, errorf(http.StatusTooManyRequests, CodeTooManyWatches, "", "%d watch streams are open (permitted: %d)", cap(s.watchSlots), cap(s.watchSlots))
	}
}

// encodeWatch writes the stream until the client disconnects, a write fails or the server shuts down.
func encodeWatch(ctx context.Context, w http.ResponseWriter, response any) error {
	stream := response.(*watchStream)
	defer func() { <-stream.service.watchSlots }()
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(http.StatusOK)
	out := &eventWriter{w: w, control: http.NewResponseController(w)}
	stream.run(ctx, out)
	return nil
}

// run compares successive snapshots and writes the differences. It skips snapshots that are superseded during a write, but
// never the newest one.
func (st *watchStream) run(ctx context.Context, out *eventWriter) {
	snapshot := st.service.store.Current()
	for snapshot.NextOffset() < st.from {
		if snapshot = st.nextSnapshot(ctx, out, snapshot, snapshot.NextOffset()); snapshot == nil {
			return
		}
	}
	out.writeInitial(st, snapshot)
	for out.err == nil {
		newer := st.nextSnapshot(ctx, out, snapshot, snapshot.NextOffset())
		if newer == nil {
			return
		}
		if newer.NextOffset() <= snapshot.NextOffset() {
			continue // a state is replaced only by one with a higher offset
		}
		out.writeDifference(st, snapshot, newer)
		snapshot = newer
	}
}

// nextSnapshot returns the newest snapshot once it differs from old, or nil if the stream ends. While it waits it writes
// EventKeepAlive at intervals of Config.KeepAlive.
func (st *watchStream) nextSnapshot(ctx context.Context, out *eventWriter, old Snapshot, next uint64) Snapshot {
	ticker := time.NewTicker(st.service.KeepAlive)
	defer ticker.Stop()
	for out.err == nil {
		select {
		case <-st.service.store.Changed(old):
			return st.service.store.Current()
		case <-ticker.C:
			out.write(&Event{Type: EventKeepAlive, NextOffset: next})
			out.flush()
		case <-ctx.Done():
			return nil
		case <-st.service.Closing:
			return nil
		}
	}
	return nil
}

// eventWriter writes events as lines of JSON until the first error.
type eventWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	err     error
}

// writeInitial writes the resources changed at or after the requested offset. If the client may know resources that were
// deleted since then, it also writes the keys of all existing resources.
func (o *eventWriter) writeInitial(st *watchStream, s Snapshot) {
	var changed []*resource.Resource
	keys := []resource.Key{}
	s.Each(st.kind, func(r *resource.Resource, _ resource.Spec) bool {
		keys = append(keys, r.Key)
		if r.Version >= st.from {
			changed = append(changed, r)
		}
		return true
	})
	o.writeChanged(changed)
	synced := &Event{Type: EventSynced, NextOffset: s.NextOffset()}
	if st.from > 0 {
		sort.Slice(keys, func(i, j int) bool { return keys[i].Less(keys[j]) })
		synced.Keys = &keys
	}
	o.write(synced)
	o.flush()
}

// writeDifference writes the changes and deletions between two snapshots.
func (o *eventWriter) writeDifference(st *watchStream, old, newer Snapshot) {
	var changed []*resource.Resource
	newer.Each(st.kind, func(r *resource.Resource, _ resource.Spec) bool {
		if before := old.Get(r.Key); before == nil || before.Version != r.Version {
			changed = append(changed, r)
		}
		return true
	})
	var deleted []resource.Key
	old.Each(st.kind, func(r *resource.Resource, _ resource.Spec) bool {
		if newer.Get(r.Key) == nil {
			deleted = append(deleted, r.Key)
		}
		return true
	})
	o.writeChanged(changed)
	sort.Slice(deleted, func(i, j int) bool { return deleted[i].Less(deleted[j]) })
	for i := range deleted {
		o.write(&Event{Type: EventDeleted, Key: &deleted[i]})
	}
	o.write(&Event{Type: EventSynced, NextOffset: newer.NextOffset()})
	o.flush()
}

// writeChanged writes an EventChanged for each resource, in the order in which the changes were accepted.
func (o *eventWriter) writeChanged(list []*resource.Resource) {
	sort.Slice(list, func(i, j int) bool { return list[i].Version < list[j].Version })
	for _, r := range list {
		o.write(&Event{Type: EventChanged, Resource: r})
	}
}

func (o *eventWriter) write(e *Event) {
	if o.err != nil {
		return
	}
	_ = o.control.SetWriteDeadline(time.Now().Add(watchWriteTimeout)) // httptest.ResponseRecorder does not support it
	line, err := json.Marshal(e)
	if err == nil {
		_, err = o.w.Write(append(line, '\n'))
	}
	o.err = err
}

func (o *eventWriter) flush() {
	if o.err == nil {
		o.err = o.control.Flush()
	}
}
