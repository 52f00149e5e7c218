package platform

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	wire "github.com/berylwharf/berylwharf/vmapi"
)

// TestUnchangedListIsNotSent guards against sending an unchanged list again, and against a change that a conditional
// poll does not see.
func TestUnchangedListIsNotSent(t *testing.T) {
	vms := []wire.VM{{Name: "w1", Zone: "z", Rack: "r", Role: wire.RoleWorker, Addr: "127.0.0.1:1", State: wire.StateLive}}
	s, err := New(Config{VMs: vms})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	var full, unchanged atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		rec := httptest.NewRecorder()
		s.ServeHTTP(rec, r)
		if rec.Code == http.StatusNotModified {
			unchanged.Add(1)
		} else {
			full.Add(1)
		}
		for k, v := range rec.Header() {
			w.Header()[k] = v
		}
		w.WriteHeader(rec.Code)
		_, _ = w.Write(rec.Body.Bytes())
	}))
	defer srv.Close()
	client, err := wire.NewClient(srv.URL, 0)
	if err != nil {
		t.Fatal(err)
	}
	changes := 0
	p := wire.NewPoller(client, time.Second, func(wire.VMList) { changes++ }, nil)
	poll := func() {
		t.Helper()
		if err := p.Poll(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
	for range 3 {
		poll()
	}
	if full.Load() != 1 || unchanged.Load() != 2 || changes != 1 {
		t.Fatalf("%d full responses, %d unchanged, %d changes", full.Load(), unchanged.Load(), changes)
	}
	vms[0].State = wire.StateLeaving
	if err := s.SetVMs(vms); err != nil {
		t.Fatal(err)
	}
	poll()
	list, _ := p.List()
	if full.Load() != 2 || changes != 2 || list.VMs[0].State != wire.StateLeaving {
		t.Fatalf("after the change: %d full responses, %d changes, list %+v", full.Load(), changes, list)
	}
}
