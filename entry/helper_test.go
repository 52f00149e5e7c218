package entry

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/berylwharf/berylwharf/resource"
	"github.com/berylwharf/berylwharf/routing"
)

// testTimeout only ends a test that hangs; it is far longer than any test takes.
const testTimeout = 30 * time.Second

type testNode struct {
	t     testing.TB
	h     *Handler
	slots *LocalSlots
	srv   *httptest.Server
	table *routing.Table
}

// newNode starts a server with one service "booking" on the given backend addresses. edit, which may be nil, changes the
// configuration and the service.
func newNode(t testing.TB, edit func(*Config, *resource.Service), addrs ...string) *testNode {
	t.Helper()
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	n := &testNode{t: t, slots: NewLocalSlots()}
	cfg := Config{Node: "entry-a", Zone: "zone-a", Slots: n.slots, Logger: quiet, Seed: 1}
	spec := &resource.Service{Pool: "pool", Hosts: []string{"booking.test"}, AnswerCheck: resource.AnswerCheckEcho}
	if edit != nil {
		edit(&cfg, spec)
	}
	spec.SetDefaults()
	h, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	n.h = h
	n.table = newTable(spec, addrs...)
	h.SetTable(n.table)
	n.srv = httptest.NewUnstartedServer(h)
	n.srv.Config = NewServer(h, 1<<16)
	n.srv.Start()
	t.Cleanup(func() {
		n.srv.Close()
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		if err := h.Drain(ctx); err != nil {
			t.Error(err)
		}
		h.Close()
	})
	return n
}

func newTable(spec *resource.Service, addrs ...string) *routing.Table {
	svc := &routing.Service{Name: "booking", Spec: spec}
	for i, a := range addrs {
		svc.Backends = append(svc.Backends, routing.Backend{VM: "vm-" + string(rune('a'+i)), Zone: "zone-a", Addr: a})
	}
	return &routing.Table{
		Services:  map[string]*routing.Service{"booking": svc},
		Hosts:     map[string]string{"booking.test": "booking"},
		Customers: map[string]*resource.Customer{"tanglaw": {Share: 1}, "coldroot": {Share: 1}},
	}
}

type reply struct {
	status int
	header http.Header
	body   string
	err    error // sending the request or reading the response failed
}

// do sends a request. headers holds alternating names and values; an empty value removes the header.
func (n *testNode) do(method, path, body string, headers ...string) reply {
	n.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, n.srv.URL+path, strings.NewReader(body))
	if err != nil {
		n.t.Fatal(err)
	}
	req.Header.Set(HeaderCustomer, "tanglaw")
	for i := 0; i < len(headers); i += 2 {
		if headers[i+1] == "" {
			req.Header.Del(headers[i])
			continue
		}
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := n.srv.Client().Do(req)
	if err != nil {
		return reply{err: err, header: http.Header{}}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, body: string(b), err: err}
}

// echoServer starts a backend server that sets the request identifier on the response and then calls fn.
func echoServer(t testing.TB, fn http.HandlerFunc) (string, *httptest.Server) {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
		fn(w, r)
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String(), s
}

// rawServer starts a TCP server that calls fn for each connection with its number, starting at 1.
func rawServer(t testing.TB, fn func(n int, c net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for n := 1; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				fn(n, c)
			}()
		}
	}()
	return l.Addr().String()
}
