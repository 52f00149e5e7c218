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

// watchWriteTimeout bounds one write to a watch stream, so that a client that stopped reading does not hold the stream.
const watchWriteTimeout = 30 * time.Second

type watchRequest struct {
	from uint64
	kind resource.Kind // empty: all kinds
}

// decodeWatch returns a watchRequest.
func decodeWatch(_ context.Context, r *http.Request) (any, error) {
	var req watchRequest
	for name, values := range r.URL.Query() {
		switch name {
		case "from":
			from, err := strconv.ParseUint(values[0], 10, 64)
			if err != nil {
				return nil, malformed("from", "%s is not an offset", shown(values[0]))
			}
			req.from = from
		case "kind":
			req.kind = resource.Kind(values[0])
			if err := req.kind.Validate(); err != nil {
				return nil, malformed("kind", "%v", err)
			}
		default:
			return nil, malformed(shown(name), "unknown parameter (permitted: from, kind)")
		}
	}
	return req, nil
}

// watchStream is an admitted watch that waits to be written.
type watchStream struct {
	watchRequest
	service *service
}

func (s *service) watch(_ context.Context, req watchRequest) (*watchStream, error) {
	select {
	case s.watches <- struct{}{}:
		return &watchStream{watchRequest: req, service: s}, nil
	default:
		return nil, errorf(http.StatusTooManyRequests, CodeBusy, "", "%d watch streams are open (permitted: %d)", cap(s.watches), cap(s.watches))
	}
}

// encodeWatch writes the stream until the client leaves or the server closes.
func encodeWatch(ctx context.Context, w http.ResponseWriter, response any) error {
	stream := response.(*watchStream)
	defer func() { <-stream.service.watches }()
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(http.StatusOK)
	out := &eventWriter{w: w, control: http.NewResponseController(w)}
	stream.run(ctx, out)
	return nil
}

// run compares successive snapshots and writes what differs. A snapshot that was replaced while a write was going on
// is skipped; the newest one never is.
func (st *watchStream) run(ctx context.Context, out *eventWriter) {
	snapshot := st.service.store.Current()
	for snapshot.Next() < st.from {
		if snapshot = st.await(ctx, out, snapshot, snapshot.Next()); snapshot == nil {
			return
		}
	}
	out.start(st, snapshot)
	for out.err == nil {
		newer := st.await(ctx, out, snapshot, snapshot.Next())
		if newer == nil {
			return
		}
		if newer.Next() <= snapshot.Next() {
			continue // a state is replaced only by one with a higher offset
		}
		out.difference(st, snapshot, newer)
		snapshot = newer
	}
}

// await returns the next snapshot, or nil when the stream ends. It writes a line whenever nothing happens for a while.
func (st *watchStream) await(ctx context.Context, out *eventWriter, old Snapshot, next uint64) Snapshot {
	timer := time.NewTicker(st.service.KeepAlive)
	defer timer.Stop()
	for out.err == nil {
		select {
		case <-st.service.store.Changed(old):
			return st.service.store.Current()
		case <-timer.C:
			out.write(&Event{Type: EventAlive, Next: next})
			out.flush()
		case <-ctx.Done():
			return nil
		case <-st.service.Closing:
			return nil
		}
	}
	return nil
}

// eventWriter writes lines until the first error.
type eventWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	err     error
}

// start writes what changed from the offset on that the client asked for, and all keys when the client may know
// resources that were deleted since.
func (o *eventWriter) start(st *watchStream, s Snapshot) {
	var changed []*resource.Resource
	keys := []resource.Key{}
	s.Each(st.kind, func(r *resource.Resource, _ resource.Spec) bool {
		keys = append(keys, r.Key)
		if r.Version >= st.from {
			changed = append(changed, r)
		}
		return true
	})
	o.changed(changed)
	synced := &Event{Type: EventSynced, Next: s.Next()}
	if st.from > 0 {
		sort.Slice(keys, func(i, j int) bool { return keys[i].Less(keys[j]) })
		synced.Keys = &keys
	}
	o.write(synced)
	o.flush()
}

// difference writes what differs between two snapshots.
func (o *eventWriter) difference(st *watchStream, old, newer Snapshot) {
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
	o.changed(changed)
	sort.Slice(deleted, func(i, j int) bool { return deleted[i].Less(deleted[j]) })
	for i := range deleted {
		o.write(&Event{Type: EventDeleted, Key: &deleted[i]})
	}
	o.write(&Event{Type: EventSynced, Next: newer.Next()})
	o.flush()
}

// changed writes resources in the order in which they were accepted.
func (o *eventWriter) changed(list []*resource.Resource) {
	sort.Slice(list, func(i, j int) bool { return list[i].Version < list[j].Version })
	for _, r := range list {
		o.write(&Event{Type: EventChanged, Resource: r})
	}
}

func (o *eventWriter) write(e *Event) {
	if o.err != nil {
		return
	}
	_ = o.control.SetWriteDeadline(time.Now().Add(watchWriteTimeout)) // not supported by test recorders
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
