package logclient

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/berylwharf/berylwharf/vmapi"
)

// newTestClient returns a client of a test server that handles all requests with h.
func newTestClient(t *testing.T, cfg Config, h http.HandlerFunc) *Client {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	cfg.URL = s.URL
	c, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

func respond(status int, body string, header ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if len(header) > 0 {
			w.Header().Set(header[0], header[1])
		}
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

// hang sends no response. It reads the request body, because only then does the server notice that the client has closed
// the connection.
func hang(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

func abort(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// TestAppendOutcome guards against an append that may have taken effect but is reported as without effect, and against
// the reverse for a response that proves that it has none.
func TestAppendOutcome(t *testing.T) {
	noEffect := []string{vmapi.EffectHeader, vmapi.EffectNone}
	for name, tc := range map[string]struct {
		h             http.HandlerFunc
		ok            bool
		mayTakeEffect bool
	}{
		"stored":               {h: respond(200, `{"first":7,"next":9}`), ok: true},
		"503 with header":      {h: respond(503, "", noEffect...)},
		"503 without header":   {h: respond(503, ""), mayTakeEffect: true},
		"500 with that header": {h: respond(500, "", noEffect...), mayTakeEffect: true},
		"503 other value":      {h: respond(503, "", vmapi.EffectHeader, "some"), mayTakeEffect: true},
		"400":                  {h: respond(400, "bad"), mayTakeEffect: true},
		"redirect":             {h: respond(307, "", "Location", "/elsewhere"), mayTakeEffect: true},
		"truncated response":   {h: respond(200, `{"first":7,`), mayTakeEffect: true},
		"too few offsets":      {h: respond(200, `{"first":7,"next":8}`), mayTakeEffect: true},
		"large response":       {h: respond(200, strings.Repeat(" ", 2000)), mayTakeEffect: true},
		"broken connection":    {h: abort, mayTakeEffect: true},
		"no response":          {h: hang, mayTakeEffect: true},
	} {
		cfg := Config{MaxResponseBytes: 1000}
		if name == "no response" {
			cfg.Timeout = 20 * time.Millisecond
		}
		c := newTestClient(t, cfg, tc.h)
		resp, err := c.Append(context.Background(), "config", [][]byte{{1}, {2}})
		var ae *AppendError
		if (err == nil) != tc.ok || err != nil && (!errors.As(err, &ae) || ae.MayTakeEffect != tc.mayTakeEffect) {
			t.Errorf("%s: error %v", name, err)
		}
		if tc.ok && (resp.First != 7 || resp.Next != 9) {
			t.Errorf("%s: response %+v", name, resp)
		}
	}
}

// TestAppendNotSent guards against an unknown outcome being reported for an append that was never sent.
func TestAppendNotSent(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = ln.Close() // from now on, connections to this port are refused
	c, err := New(Config{URL: "http://" + ln.Addr().String()})
	if err != nil {
		t.Fatal(err)
	}
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	for name, call := range map[string]func() error{
		"refused":  func() error { _, err := c.Append(context.Background(), "s", [][]byte{{1}}); return err },
		"canceled": func() error { _, err := c.Append(canceled, "s", [][]byte{{1}}); return err },
		"empty":    func() error { _, err := c.Append(context.Background(), "s", nil); return err },
		"many":     func() error { _, err := c.Append(context.Background(), "s", make([][]byte, 257)); return err },
		"large":    func() error { _, err := c.Append(context.Background(), "s", [][]byte{make([]byte, 1<<20)}); return err },
	} {
		if err := call(); err == nil || MayTakeEffect(err) {
			t.Errorf("%s: error %v", name, err)
		}
	}
}

// TestAppendNotRepeated guards against the HTTP transport resending an append when a reused connection breaks.
func TestAppendNotRepeated(t *testing.T) {
	var calls atomic.Int64
	c := newTestClient(t, Config{}, func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil || calls.Add(1) > 1 {
			abort(w, r)
		}
		respond(200, `{"first":1,"next":2}`)(w, r)
	})
	if _, err := c.Append(context.Background(), "s", [][]byte{{1}}); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Append(context.Background(), "s", [][]byte{{2}}); err == nil || !MayTakeEffect(err) || calls.Load() != 2 {
		t.Fatalf("%d calls, error %v", calls.Load(), err)
	}
}

// TestRead guards against a read that skips records, that returns no records instead of an error when they have been
// deleted, or that a large or missing response blocks.
func TestRead(t *testing.T) {
	for name, tc := range map[string]struct {
		h    http.HandlerFunc
		want string
	}{
		"records": {respond(200, `{"oldest":1,"next":9,"records":[{"offset":5,"data":"AQ=="},{"offset":6,"data":"Ag=="}]}`), "2 records, next 9"},
		"none":    {respond(200, `{"oldest":1,"next":5}`), "0 records, next 5"},
		"gone":    {respond(410, `{"oldest":8,"next":9}`), "records are no longer kept: oldest offset is 8, next is 9"},
		"gap":     {respond(200, `{"oldest":1,"next":9,"records":[{"offset":5},{"offset":7}]}`), "read response has offset 7, expected 6"},
		"start":   {respond(200, `{"oldest":1,"next":9,"records":[{"offset":6}]}`), "read response has offset 6, expected 5"},
		"head":    {respond(200, `{"oldest":1,"next":5,"records":[{"offset":5}]}`), "read response has offset 5, but its next offset is 5"},
		"large":   {respond(200, strings.Repeat(" ", 2000)), ErrResponseTooLarge.Error()},
		"status":  {respond(500, "x"), `log service returned status 500: "x"`},
	} {
		c := newTestClient(t, Config{MaxResponseBytes: 1000}, func(w http.ResponseWriter, r *http.Request) {
			if got := r.URL.String(); got != "/v1/log/config?from=5&max=3&wait_ms=30000" {
				t.Errorf("request %s", got)
			}
			tc.h(w, r)
		})
		resp, err := c.Read(context.Background(), "config", 5, 3, time.Minute)
		got := fmt.Sprintf("%d records, next %d", len(resp.Records), resp.Next)
		if err != nil {
			got = err.Error()
		}
		if got != tc.want {
			t.Errorf("%s: %s, want %s", name, got, tc.want)
		}
	}
	c := newTestClient(t, Config{Timeout: 10 * time.Millisecond}, hang)
	if _, err := c.Read(context.Background(), "s", 1, 1, 10*time.Millisecond); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("no response: error %v", err)
	}
}

// FuzzAnswers guards against a panic on a malformed response, and against a response that is accepted although its
// offsets do not match the request.
func FuzzAnswers(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte, from uint64) {
		if r, err := parseRead(data, from); err == nil && len(r.Records) > 0 && r.Records[0].Offset != from {
			t.Errorf("records start at %d, want %d", r.Records[0].Offset, from)
		}
		if a, err := parseAppend(data, 2); err == nil && a.Next-a.First < 2 {
			t.Errorf("append response %+v", a)
		}
		if parseGone(data) == nil {
			t.Error("status 410 without an error")
		}
	})
}
