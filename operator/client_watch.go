package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"sort"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/berylwharf/berylwharf/resource"
)

const (
	// watchSilence is how long a watch stream may be silent before the client opens a new one: three keep-alive lines.
	watchSilence = 3 * DefaultKeepAlive
	// firstReconnect doubles up to maxReconnect while the server cannot be reached.
	firstReconnect = 200 * time.Millisecond
	maxReconnect   = 5 * time.Second
)

// WatchRequest selects what Watch reports.
type WatchRequest struct {
	// From is an offset: resources changed at or after it are reported first. 0: all resources.
	From uint64
	Kind resource.Kind // empty: all kinds
	// Retrying is called with the reason before each reconnect. It may be nil.
	Retrying func(error)
}

// Watch calls f for each changed and each deleted resource and for each EventSynced, until f returns an error, the
// context ends, the server refuses the request, or the first connection fails. Later it reconnects when the stream
// breaks, and reports each deletion once, also of resources that were deleted in between, if it reported them before.
func (c *Client) Watch(ctx context.Context, req WatchRequest, f func(*Event) error) error {
	w := &watcher{client: c, WatchRequest: req, report: f, known: make(map[resource.Key]uint64), delay: firstReconnect}
	for {
		err := w.stream(ctx)
		var refused *Error
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case w.stopped != nil:
			return w.stopped
		case errors.As(err, &refused) && refused.StatusCode < http.StatusInternalServerError:
			return refused
		case !w.connected:
			return clientError(err)
		}
		if req.Retrying != nil {
			req.Retrying(err)
		}
		if err := c.config.Wait(ctx, w.delay); err != nil {
			return err
		}
		w.delay = min(2*w.delay, maxReconnect)
	}
}

// watcher is one Watch over all its connections.
type watcher struct {
	client *Client
	WatchRequest
	report  func(*Event) error
	known   map[resource.Key]uint64 // versions that were reported
	stopped error                   // returned by report
	delay   time.Duration

	connected bool // a stream was opened before
}

// stream reads one connection until it breaks.
func (w *watcher) stream(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	query := url.Values{"from": {strconv.FormatUint(w.From, 10)}}
	if w.Kind != "" {
		query.Set("kind", string(w.Kind))
	}
	r, err := w.client.request(ctx, http.MethodGet, w.client.url(query, "watch"), nil)
	if err != nil {
		return err
	}
	silence := time.AfterFunc(watchSilence, cancel)
	defer silence.Stop()
	answer, err := w.client.config.HTTP.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		_, err := decodeAnswer[Event](w.client, answer)
		return err
	}
	dec := json.NewDecoder(answer.Body)
	for {
		e := new(Event)
		if err := dec.Decode(e); err != nil {
			return err
		}
		silence.Reset(watchSilence)
		w.delay, w.connected = firstReconnect, true
		if w.event(e); w.stopped != nil {
			return w.stopped
		}
	}
}

// event reports what is new in a line.
func (w *watcher) event(e *Event) {
	switch e.Type {
	case EventChanged:
		if version, ok := w.known[e.Resource.Key]; ok && version >= e.Resource.Version {
			return // sent again after a reconnect
		}
		w.known[e.Resource.Key] = e.Resource.Version
		w.stopped = w.report(e)
	case EventDeleted:
		w.deleted(*e.Key)
	case EventSynced:
		if e.Keys != nil {
			w.deleteOthers(*e.Keys)
		}
		w.From = e.Next
		if w.stopped == nil {
			w.stopped = w.report(&Event{Type: EventSynced, Next: e.Next})
		}
	}
}

func (w *watcher) deleted(key resource.Key) {
	delete(w.known, key)
	if w.stopped == nil {
		w.stopped = w.report(&Event{Type: EventDeleted, Key: &key})
	}
}

// deleteOthers reports the known resources that no longer exist.
func (w *watcher) deleteOthers(existing []resource.Key) {
	exists := make(map[resource.Key]bool, len(existing))
	for _, key := range existing {
		exists[key] = true
	}
	var gone []resource.Key
	for key := range w.known {
		if !exists[key] {
			gone = append(gone, key)
		}
	}
	sort.Slice(gone, func(i, j int) bool { return gone[i].Less(gone[j]) })
	for _, key := range gone {
		w.deleted(key)
	}
}
