package operator_test

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/berylwharf/berylwharf/operator"
	"github.com/berylwharf/berylwharf/operator/operatortest"
	"github.com/berylwharf/berylwharf/resource"
)

func noSleep(ctx context.Context, _ time.Duration) error { return ctx.Err() }

func newClient(t *testing.T, url string) *operator.Client {
	t.Helper()
	c, err := operator.NewClient(operator.ClientConfig{URL: url, Sleep: noSleep})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

var intake = resource.Key{Kind: resource.KindPool, Name: "intake"}

func putRequest(base uint64, spec string) *operator.PutRequest {
	return &operator.PutRequest{BaseVersion: &base, Author: "juan", Spec: []byte(spec)}
}

// TestClientResolvesUnknownOutcome guards against a change that is made twice, and against an unknown outcome that the
// client reports as a rejection or does not resolve although the API can.
func TestClientResolvesUnknownOutcome(t *testing.T) {
	lost, dropped, rejected := operatortest.LostResponse, operatortest.LostAppend, operatortest.NotAccepted
	for _, c := range []struct {
		name      string
		faults    []operatortest.Fault
		proposals int
		code      operator.Code // empty: accepted
	}{
		{"accepted at once", nil, 1, ""},
		{"response lost", []operatortest.Fault{lost}, 1, ""},
		{"append lost", []operatortest.Fault{dropped}, 2, ""},
		{"append lost twice, then response lost", []operatortest.Fault{dropped, dropped, lost}, 3, ""},
		{"not accepted", []operatortest.Fault{rejected}, 1, operator.CodeNotAccepted},
		{"unknown, then not accepted", []operatortest.Fault{dropped, rejected, rejected, rejected, rejected, rejected}, 6, operator.CodeOutcomeUnknown},
		{"always unknown", []operatortest.Fault{dropped, dropped, dropped, dropped, dropped, dropped}, 6, operator.CodeOutcomeUnknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			store := newStore()
			store.InjectFaults(c.faults...)
			server := newServer(t, operator.Config{Store: store})
			res, err := newClient(t, server.URL).Put(context.Background(), intake, putRequest(1, `{"minVMs":2}`))
			var e *operator.Error
			switch {
			case c.code == "" && (err != nil || res.Offset != store.Current().Get(intake).Version):
				t.Errorf("response %+v, error %v", res, err)
			case c.code != "" && (!errors.As(err, &e) || e.Code != c.code || e.ID == ""):
				t.Errorf("error %v, want %s", err, c.code)
			}
			if n := store.Proposals(); n != c.proposals {
				t.Errorf("%d proposals, want %d", n, c.proposals)
			}
		})
	}
}

// TestClientUnknownThenConflict guards against a conflict without details. The first attempt has an unknown outcome, so
// the client learns of the conflict from an outcome query, which does not return the details.
func TestClientUnknownThenConflict(t *testing.T) {
	store := newStore()
	server := newServer(t, operator.Config{Store: store})
	store.BeforeNextPropose(func() { store.Put("maria", resource.KindPool, "intake", `{"minVMs":9}`) })
	store.InjectFaults(operatortest.LostResponse)
	_, err := newClient(t, server.URL).Put(context.Background(), intake, putRequest(1, `{"minVMs":2}`))
	var e *operator.Error
	if !errors.As(err, &e) || e.Code != operator.CodeConflict || e.Author != "maria" || len(e.Fields) != 1 {
		t.Errorf("error %+v", err)
	}
}

// TestClientBrokenConnection guards against treating a connection that breaks after the change was sent as a rejection,
// and the error page of a proxy as a response of the API.
func TestClientBrokenConnection(t *testing.T) {
	for _, proxyError := range []bool{false, true} {
		store := newStore()
		handler := operator.NewHandler(operator.Config{Store: store})
		puts := 0
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method != http.MethodPut {
				handler.ServeHTTP(w, r)
				return
			}
			puts++
			handler.ServeHTTP(httptest.NewRecorder(), r) // takes effect, but the response is lost
			if !proxyError {
				panic(http.ErrAbortHandler)
			}
			http.Error(w, "bad gateway", http.StatusBadGateway)
		}))
		res, err := newClient(t, server.URL).Put(context.Background(), intake, putRequest(1, `{"minVMs":2}`))
		if err != nil || res.Offset != 4 || puts != 1 {
			t.Errorf("proxy error %t: response %+v, error %v, %d puts", proxyError, res, err, puts)
		}
		server.Close()
		_, err = newClient(t, server.URL).Put(context.Background(), intake, putRequest(4, `{"minVMs":3}`))
		var te *operator.TransportError
		if !errors.As(err, &te) || te.MayHaveTakenEffect {
			t.Errorf("refused connection: error %v", err)
		}
	}
}

// TestClientURL guards against accepting a server URL that is unusable, or that contains a password, which would appear in
// error messages.
func TestClientURL(t *testing.T) {
	for _, u := range []string{"", "127.0.0.1:8081", "localhost", "ftp://127.0.0.1", "http://", "http://a:b@127.0.0.1", "http://%"} {
		if _, err := operator.NewClient(operator.ClientConfig{URL: u}); err == nil {
			t.Errorf("%q is accepted", u)
		}
	}
}

// openWatch opens a watch stream and returns a function that reads its next line.
func openWatch(t *testing.T, server *httptest.Server, query string) func() string {
	t.Helper()
	response, err := server.Client().Get(server.URL + "/v1/watch" + query)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { response.Body.Close() })
	lines := bufio.NewScanner(response.Body)
	return func() string {
		if !lines.Scan() {
			return fmt.Sprintf("end of stream: %v", lines.Err())
		}
		return lines.Text()
	}
}

// TestWatchStream guards against changes of the event format, a missed change or deletion, and a stream that stays open
// after Config.Closing is closed.
func TestWatchStream(t *testing.T) {
	store := newStore()
	closing := make(chan struct{})
	server := newServer(t, operator.Config{Store: store, Closing: closing, MaxWatches: 2})
	all := openWatch(t, server, "")
	pools := openWatch(t, server, "?from=2&kind=pool")
	expect := func(next func() string, want ...string) {
		t.Helper()
		for _, w := range want {
			if got := next(); got != w {
				t.Errorf("got  %s\nwant %s", got, w)
			}
		}
	}
	expect(all,
		`{"type":"changed","resource":{"kind":"pool","name":"intake","version":1,"author":"maria","spec":{"minVMs":1}}}`,
		`{"type":"changed","resource":{"kind":"service","name":"booking","version":2,"author":"maria","spec":{"pool":"intake","repeatableMethods":["GET","HEAD","OPTIONS"],"answerCheck":"fresh","maxRunMs":30000,"defaultDeadlineMs":10000,"queueLimit":256,"maxBodyBytes":1048576}}}`,
		`{"type":"changed","resource":{"kind":"vm","name":"w1","version":3,"author":"maria","spec":{"pool":"intake"}}}`,
		`{"type":"synced","next":4}`)
	expect(pools, `{"type":"synced","next":4,"keys":[{"kind":"pool","name":"intake"}]}`)
	if status, body, _ := doRequest(t, server, "GET", "/v1/watch", ""); status != http.StatusTooManyRequests {
		t.Errorf("third stream: status %d, %s", status, body)
	}
	store.FreezeSnapshot(true) // withholds the next three changes, so that FreezeSnapshot(false) publishes them in one snapshot
	store.Put("juan", resource.KindVM, "w1", `{"pool":"intake","drain":true}`)
	store.Delete(resource.KindService, "booking")
	store.Put("juan", resource.KindPool, "spare", `{}`)
	store.FreezeSnapshot(false)
	spare := `{"type":"changed","resource":{"kind":"pool","name":"spare","version":6,"author":"juan","spec":{}}}`
	expect(all, `{"type":"changed","resource":{"kind":"vm","name":"w1","version":4,"author":"juan","spec":{"pool":"intake","drain":true}}}`,
		spare, `{"type":"deleted","key":{"kind":"service","name":"booking"}}`, `{"type":"synced","next":7}`)
	expect(pools, spare, `{"type":"synced","next":7}`)
	close(closing)
	expect(all, "end of stream: <nil>")
}

// TestWatchKeepAlive guards against an idle stream without events, which a client cannot distinguish from a broken one, and
// against a stream that starts before this node has read up to the offset that the client has seen.
func TestWatchKeepAlive(t *testing.T) {
	store := newStore()
	server := newServer(t, operator.Config{Store: store, KeepAlive: time.Millisecond})
	next := openWatch(t, server, "?from=5&kind=vm")
	if got := next(); got != `{"type":"alive","next":4}` {
		t.Errorf("got %s", got)
	}
	store.Put("juan", resource.KindPool, "spare", `{}`)
	got := next()
	for range 100_000 {
		if got != `{"type":"alive","next":4}` {
			break
		}
		got = next()
	}
	if got != `{"type":"synced","next":5,"keys":[{"kind":"vm","name":"w1"}]}` {
		t.Errorf("got %s", got)
	}
}

// TestWatchLastState guards against a slow client that misses the final state: whichever snapshots are skipped, the
// events must add up to the state of the store.
func TestWatchLastState(t *testing.T) {
	const changes = 300
	store := operatortest.New()
	server := newServer(t, operator.Config{Store: store})
	seen := make(map[resource.Key]uint64)
	go func() {
		for i := range changes {
			name := fmt.Sprintf("p%d", i%7)
			if i%3 == 2 {
				store.Delete(resource.KindPool, name)
			} else {
				store.Put("juan", resource.KindPool, name, `{}`)
			}
		}
	}()
	done := errors.New("done")
	err := newClient(t, server.URL).Watch(context.Background(), operator.WatchRequest{}, func(e *operator.Event) error {
		switch e.Type {
		case operator.EventChanged:
			seen[e.Resource.Key] = e.Resource.Version
		case operator.EventDeleted:
			delete(seen, *e.Key)
		case operator.EventSynced:
			if e.NextOffset == changes+1 {
				return done
			}
		}
		return nil
	})
	if !errors.Is(err, done) {
		t.Fatal(err)
	}
	want := make(map[resource.Key]uint64)
	store.Current().Each("", func(r *resource.Resource, _ resource.Spec) bool {
		want[r.Key] = r.Version
		return true
	})
	if fmt.Sprint(seen) != fmt.Sprint(want) {
		t.Errorf("seen %v, want %v", seen, want)
	}
}

// TestWatchReconnect guards against changes and deletions that are missed or reported twice when the stream breaks.
func TestWatchReconnect(t *testing.T) {
	store := newStore()
	handler := operator.NewHandler(operator.Config{Store: store})
	streams := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if streams++; streams == 1 {
			// The first stream breaks in the middle of a group of changes.
			_ = json.NewEncoder(w).Encode(operator.Event{Type: operator.EventChanged, Resource: store.Current().Get(intake)})
			_ = json.NewEncoder(w).Encode(operator.Event{Type: operator.EventSynced, NextOffset: 2})
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		}
		if streams == 2 {
			http.Error(w, "bad gateway", http.StatusBadGateway)
			store.Delete(resource.KindPool, "intake")
			return
		}
		handler.ServeHTTP(w, r)
	}))
	defer server.Close()
	var got []string
	done := errors.New("done")
	err := newClient(t, server.URL).Watch(context.Background(), operator.WatchRequest{}, func(e *operator.Event) error {
		switch e.Type {
		case operator.EventChanged:
			got = append(got, e.Resource.String())
		case operator.EventDeleted:
			got = append(got, "-"+e.Key.String())
		case operator.EventSynced:
			if e.NextOffset == 5 {
				return done
			}
		}
		return nil
	})
	want := "pool/intake service/booking vm/w1 -pool/intake"
	if !errors.Is(err, done) || strings.Join(got, " ") != want {
		t.Errorf("error %v, got %v, want %s", err, got, want)
	}
}

// TestWatchRejected guards against a client that retries a watch endlessly although the server rejects it.
func TestWatchRejected(t *testing.T) {
	server := newServer(t, operator.Config{Store: newStore(), Token: "operators-token-1"})
	err := newClient(t, server.URL).Watch(context.Background(), operator.WatchRequest{}, func(*operator.Event) error { return nil })
	var e *operator.Error
	if !errors.As(err, &e) || e.Code != operator.CodeUnauthorized {
		t.Errorf("error %v", err)
	}
}
