package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/berylwharf/berylwharf/resource"
	wire "github.com/berylwharf/berylwharf/vmapi"
)

// TestDocuments guards against resources or VMs that fail the validation of the daemons or the platform.
func TestDocuments(t *testing.T) {
	for _, doc := range documents() {
		data, err := json.Marshal(doc.Spec)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := resource.Decode(resource.Key{Kind: doc.Kind, Name: doc.Name}, data); err != nil {
			t.Error(err)
		}
	}
	daemons, err := allocateDaemons()
	if err != nil {
		t.Fatal(err)
	}
	backends := map[string]string{}
	for _, service := range services {
		for i := 1; i <= workersPerService; i++ {
			backends[workerName(service, i)] = "127.0.0.1:80"
		}
	}
	list := wire.VMList{AsOf: time.Now(), VMs: vmList(backends, daemons)}
	if err := list.Validate(); err != nil {
		t.Error(err)
	}
	if len(list.VMs) != len(daemons)+len(services)*workersPerService {
		t.Errorf("unexpected length of the VM list: %d", len(list.VMs))
	}
}

// TestMain makes the test binary act as a child process of the demo when it is started through one of the links that
// programs creates; the name of the link selects the behaviour.
func TestMain(m *testing.M) {
	term := make(chan os.Signal, 1)
	signal.Notify(term, syscall.SIGTERM)
	switch filepath.Base(os.Args[0]) {
	case "good":
		fmt.Println("listening on 127.0.0.1:1")
		<-term
		os.Exit(0)
	case "faulty":
		fmt.Println("listening on 127.0.0.1:2")
		<-term
		os.Exit(3)
	case "broken":
		os.Exit(1)
	}
	signal.Stop(term)
	os.Exit(m.Run())
}

// programs creates a directory with links of the given names to the test binary, and a procs that starts them.
func programs(t *testing.T, names ...string) *procs {
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	ps := &procs{dir: t.TempDir(), bin: t.TempDir()}
	for _, name := range names {
		if err := os.Symlink(self, filepath.Join(ps.bin, name)); err != nil {
			t.Fatal(err)
		}
	}
	t.Cleanup(ps.killAll)
	return ps
}

// TestProcs guards against a process that is still running after stop, and against an exit before listening or a non-zero
// exit status after SIGTERM that is not reported.
func TestProcs(t *testing.T) {
	ps := programs(t, "good", "faulty", "broken")
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	var list []*proc
	for _, name := range []string{"good", "faulty", "broken"} {
		p, err := ps.start(name, name)
		if err != nil {
			t.Fatal(err)
		}
		list = append(list, p)
	}
	if addr, err := list[0].address(ctx); err != nil || addr != "127.0.0.1:1" {
		t.Fatalf("address %q, error %v", addr, err)
	}
	if addr, err := list[1].address(ctx); err != nil || addr != "127.0.0.1:2" {
		t.Fatalf("address %q, error %v", addr, err)
	}
	if _, err := list[2].address(ctx); err == nil || !strings.Contains(err.Error(), "broken exited before listening (exit status 1)") {
		t.Fatalf("error %v", err)
	}
	if remaining := ps.remaining(); len(remaining) != 2 {
		t.Fatalf("remaining %v, want 2 processes", remaining)
	}
	err := stop(list)
	if err == nil || !strings.Contains(err.Error(), "faulty failed on SIGTERM: exit status 3") || strings.Contains(err.Error(), "good") {
		t.Fatalf("stop returned %v", err)
	}
	if remaining := ps.remaining(); len(remaining) != 0 {
		t.Fatalf("remaining after stop: %v", remaining)
	}
}
