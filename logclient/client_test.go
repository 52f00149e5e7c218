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

// serve returns a client of a log service that answers all calls in one way.
func serve(t *testing.T, cfg Config, h http.HandlerFunc) *Client {
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

func answer(status int, body string, header ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if len(header) > 0 {
			w.Header().Set(header[0], header[1])
		}
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

// hang reads the request, so that the server notices the end of the connection, and does not answer.
func hang(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

func abort(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// Guards against an append that may have taken effect being reported as without effect, and the reverse for the two
// proofs that the protocol offers.
func TestAppendOutcome(t *testing.T) {
	none := []string{vmapi.EffectHeader, vmapi.EffectNone}
	for name, tc := range map[string]struct {
		h   http.HandlerFunc
		ok  bool
		may bool
	}{
		"stored":               {h: answer(200, `{"first":7,"next":9}`), ok: true},
		"503 with proof":       {h: answer(503, "", none...)},
		"503 without proof":    {h: answer(503, ""), may: true},
		"500 with that header": {h: answer(500, "", none...), may: true},
		"503 other value":      {h: answer(503, "", vmapi.EffectHeader, "some"), may: true},
		"400":                  {h: answer(400, "bad"), may: true},
		"redirect":             {h: answer(307, "", "Location", "/elsewhere"), may: true},
		"cut answer":           {h: answer(200, `{"first":7,`), may: true},
		"too few offsets":      {h: answer(200, `{"first":7,"next":8}`), may: true},
		"large answer":         {h: answer(200, strings.Repeat(" ", 2000)), may: true},
		"broken connection":    {h: abort, may: true},
		"no answer":            {h: hang, may: true},
	} {
		cfg := Config{MaxResponseBytes: 1000}
		if name == "no answer" {
			cfg.Timeout = 20 * time.Millisecond
		}
		c := serve(t, cfg, tc.h)
		resp, err := c.Append(context.Background(), "config", [][]byte{{1}, {2}})
		var ae *AppendError
		if (err == nil) != tc.ok || err != nil && (!errors.As(err, &ae) || ae.MayTakeEffect != tc.may) {
			t.Errorf("%s: error %v", name, err)
		}
		if tc.ok && (resp.First != 7 || resp.Next != 9) {
			t.Errorf("%s: answer %+v", name, resp)
		}
	}
}

// Guards against "outcome unknown" for appends that were never sent.
func TestAppendNotSent(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = ln.Close() // connections to this port are refused now
	c, err := New(Config{URL: "http://" + ln.Addr().String()})
	if err != nil {
		t.Fatal(err)
	}
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	for name, call := range map[string]func() error{
		"refused": func() error { _, err := c.Append(context.Background(), "s", [][]byte{{1}}); return err },
		"ended":   func() error { _, err := c.Append(ended, "s", [][]byte{{1}}); return err },
		"empty":   func() error { _, err := c.Append(context.Background(), "s", nil); return err },
		"many":    func() error { _, err := c.Append(context.Background(), "s", make([][]byte, 257)); return err },
		"large":   func() error { _, err := c.Append(context.Background(), "s", [][]byte{make([]byte, 1<<20)}); return err },
	} {
		if err := call(); err == nil || MayTakeEffect(err) {
			t.Errorf("%s: error %v", name, err)
		}
	}
}

// Guards against the HTTP transport repeating an append on its own when a reused connection breaks.
func TestAppendNotRepeated(t *testing.T) {
	var calls atomic.Int64
	c := serve(t, Config{}, func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil || calls.Add(1) > 1 {
			abort(w, r)
		}
		answer(200, `{"first":1,"next":2}`)(w, r)
	})
	if _, err := c.Append(context.Background(), "s", [][]byte{{1}}); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Append(context.Background(), "s", [][]byte{{2}}); err == nil || !MayTakeEffect(err) || calls.Load() != 2 {
		t.Fatalf("%d calls, error %v", calls.Load(), err)
	}
}

// Guards against a reader that skips records, that takes a lost range for an empty one, or that a large or missing
// answer blocks.
func TestRead(t *testing.T) {
	for name, tc := range map[string]struct {
		h    http.HandlerFunc
		want string
	}{
		"records": {answer(200, `{"oldest":1,"next":9,"records":[{"offset":5,"data":"AQ=="},{"offset":6,"data":"Ag=="}]}`), "2 records, next 9"},
		"none":    {answer(200, `{"oldest":1,"next":5}`), "0 records, next 5"},
		"gone":    {answer(410, `{"oldest":8,"next":9}`), "records are no longer kept: oldest offset is 8, next is 9"},
		"gap":     {answer(200, `{"oldest":1,"next":9,"records":[{"offset":5},{"offset":7}]}`), "answer has offset 7 in place of 6"},
		"start":   {answer(200, `{"oldest":1,"next":9,"records":[{"offset":6}]}`), "answer has offset 6 in place of 5"},
		"head":    {answer(200, `{"oldest":1,"next":5,"records":[{"offset":5}]}`), "answer has offset 5 but names 5 as next"},
		"large":   {answer(200, strings.Repeat(" ", 2000)), ErrTooLarge.Error()},
		"status":  {answer(500, "x"), `log service answered with status 500: "x"`},
	} {
		c := serve(t, Config{MaxResponseBytes: 1000}, func(w http.ResponseWriter, r *http.Request) {
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
	c := serve(t, Config{Timeout: 10 * time.Millisecond}, hang)
	if _, err := c.Read(context.Background(), "s", 1, 1, 10*time.Millisecond); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("no answer: error %v", err)
	}
}

// Guards against panics on damaged answers and against accepting offsets that do not continue the request.
func FuzzAnswers(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte, from uint64) {
		if r, err := parseRead(data, from); err == nil && len(r.Records) > 0 && r.Records[0].Offset != from {
			t.Errorf("records start at %d, want %d", r.Records[0].Offset, from)
		}
		if a, err := parseAppend(data, 2); err == nil && a.Next-a.First < 2 {
			t.Errorf("append answer %+v", a)
		}
		if parseGone(data) == nil {
			t.Error("status 410 without an error")
		}
	})
}
