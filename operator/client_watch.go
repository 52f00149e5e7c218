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
	// watchIdleTimeout is the time without any event, three keep-alive intervals, after which the client reconnects.
	watchIdleTimeout = 3 * DefaultKeepAlive
	// The delay before a reconnect starts at initialReconnectDelay and doubles up to maxReconnectDelay until an event is
	// received.
	initialReconnectDelay = 200 * time.Millisecond
	maxReconnectDelay     = 5 * time.Second
)

// WatchRequest selects the resources that Watch reports.
type WatchRequest struct {
	// From is the log offset to start with: resources changed at or after it are reported first. 0: all resources.
	From uint64
	Kind resource.Kind // empty: all kinds
	// OnReconnect is called with the cause before each reconnect. It may be nil.
	OnReconnect func(error)
}

// Watch calls f for each changed and each deleted resource and for each EventSynced, until f returns an error, the
// context ends, the server rejects the request with a status below 500, or the first connection fails. After the first
// event it reconnects whenever the stream breaks. The deletion of a resource that was reported before is reported once,
// also if it happened between two connections.
func (c *Client) Watch(ctx context.Context, req WatchRequest, f func(*Event) error) error {
	w := &watcher{client: c, WatchRequest: req, callback: f, reported: make(map[resource.Key]uint64), delay: initialReconnectDelay}
	for {
		err := w.stream(ctx)
		var rejection *Error
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case w.callbackErr != nil:
			return w.callbackErr
		case errors.As(err, &rejection) && rejection.StatusCode < http.StatusInternalServerError:
			return rejection
		case !w.connected:
			return clientError(err)
		}
		if req.OnReconnect != nil {
			req.OnReconnect(err)
		}
		if err := c.config.Sleep(ctx, w.delay); err != nil {
			return err
		}
		w.delay = min(2*w.delay, maxReconnectDelay)
	}
}

// watcher is the state of one call of Watch over all its connections.
type watcher struct {
	client *Client
	WatchRequest
	callback    func(*Event) error
	reported    map[resource.Key]uint64 // last reported version of each resource that was not deleted since
	callbackErr error                   // error returned by callback, which ends the watch
	delay       time.Duration

	connected bool // an event was received
}

// stream opens one connection and handles its events until it breaks or callback fails.
func (w *watcher) stream(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	query := url.Values{"from": {strconv.FormatUint(w.From, 10)}}
	if w.Kind != "" {
		query.Set("kind", string(w.Kind))
	}
	r, err := w.client.newRequest(ctx, http.MethodGet, w.client.url(query, "watch"), nil)
	if err != nil {
		return err
	}
	idleTimer := time.AfterFunc(watchIdleTimeout, cancel)
	defer idleTimer.Stop()
	response, err := w.client.config.HTTPClient.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		_, err := decodeResponse[Event](w.client, response)
		return err
	}
	dec := json.NewDecoder(response.Body)
	for {
		e := new(Event)
		if err := dec.Decode(e); err != nil {
			return err
		}
		idleTimer.Reset(watchIdleTimeout)
		w.delay, w.connected = initialReconnectDelay, true
		if w.handleEvent(e); w.callbackErr != nil {
			return w.callbackErr
		}
	}
}

// handleEvent passes an event to callback, except for keep-alives and for changes that an earlier connection delivered.
func (w *watcher) handleEvent(e *Event) {
	switch e.Type {
	case EventChanged:
		if version, ok := w.reported[e.Resource.Key]; ok && version >= e.Resource.Version {
			return // delivered again after a reconnect
		}
		w.reported[e.Resource.Key] = e.Resource.Version
		w.callbackErr = w.callback(e)
	case EventDeleted:
		w.reportDeletion(*e.Key)
	case EventSynced:
		if e.Keys != nil {
			w.reportMissing(*e.Keys)
		}
		w.From = e.NextOffset
		if w.callbackErr == nil {
			w.callbackErr = w.callback(&Event{Type: EventSynced, NextOffset: e.NextOffset})
		}
	}
}

func (w *watcher) reportDeletion(key resource.Key) {
	delete(w.reported, key)
	if w.callbackErr == nil {
		w.callbackErr = w.callback(&Event{Type: EventDeleted, Key: &key})
	}
}

// reportMissing reports the deletion of the resources that were reported before and no longer exist.
func (w *watcher) reportMissing(existing []resource.Key) {
	exists := make(map[resource.Key]bool, len(existing))
	for _, key := range existing {
		exists[key] = true
	}
	var missing []resource.Key
	for key := range w.reported {
		if !exists[key] {
			missing = append(missing, key)
		}
	}
	sort.Slice(missing, func(i, j int) bool { return missing[i].Less(missing[j]) })
	for _, key := range missing {
		w.reportDeletion(key)
	}
}
