package peer

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/sirupsen/logrus"
)

const testKey = "0123456789abcdef"

// logLines collects log lines.
type logLines struct {
	mu    sync.Mutex
	lines strings.Builder
}

func (l *logLines) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lines.Write(b)
}

func (l *logLines) has(s string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Contains(l.lines.String(), s)
}

type testNet struct {
	*Net
	log  *logLines
	stop context.CancelFunc
	done chan struct{}
}

func (n *testNet) addr() string { return n.Addr().String() }

func start(t *testing.T, node string, edit func(*Config)) *testNet {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	lines := &logLines{}
	log := logrus.New()
	log.SetOutput(lines)
	cfg := Config{Node: node, Incarnation: 1, Key: testKey, Listener: ln, Log: log}
	if edit != nil {
		edit(&cfg)
	}
	n, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	n.Handle("echo", func(_ context.Context, _ string, body Body) (any, error) { return body, nil })
	n.Handle("fail", func(context.Context, string, Body) (any, error) { return nil, errors.New("no") })
	ctx, cancel := context.WithCancel(context.Background())
	tn := &testNet{Net: n, log: lines, stop: cancel, done: make(chan struct{})}
	go func() {
		defer close(tn.done)
		if err := n.Run(ctx); err != nil {
			t.Errorf("run: %v", err)
		}
	}()
	t.Cleanup(tn.close)
	return tn
}

func (n *testNet) close() {
	n.stop()
	<-n.done
}

// eventually polls a condition until it holds. The limit only keeps a failing test from running forever.
func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	for range 3000 {
		if f() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("condition not met within the limit: %s", what)
}

func echo(n *Net, node, text string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	var reply string
	if err := n.Call(ctx, node, "echo", text, &reply); err != nil {
		return err
	}
	if reply != text {
		return errors.New("unexpected reply: " + reply)
	}
	return nil
}

// TestOneLink guards against two links between nodes that dial each other simultaneously, and against links that are
// replaced endlessly.
func TestOneLink(t *testing.T) {
	a, b := start(t, "a", nil), start(t, "b", nil)
	a.SetTargets([]Target{{Addr: b.addr()}})
	b.SetTargets([]Target{{Addr: a.addr()}, {Addr: b.addr()}})
	eventually(t, "both can call", func() bool { return echo(a.Net, "b", "x") == nil && echo(b.Net, "a", "y") == nil })
	eventually(t, "both use the link that the lesser name opened", func() bool {
		la, lb := a.link("b"), b.link("a")
		return la != nil && lb != nil && la.dialed && !lb.dialed
	})
	// An address listed under the name of a node that no longer uses it must not replace the existing link.
	l := a.link("b")
	if err := a.dial(context.Background(), b.addr(), &target{node: "gone"}); err == nil || a.link("b") != l {
		t.Errorf("dial under another name: %v", err)
	}
	var remote *RemoteError
	if err := a.Call(context.Background(), "b", "fail", nil, nil); !errors.As(err, &remote) || remote.Message != "no" {
		t.Errorf("handler's error: %v", err)
	}
	if err := a.Call(context.Background(), "c", "echo", nil, nil); !errors.Is(err, ErrNotConnected) {
		t.Errorf("call to an unknown node: %v", err)
	}
	if err := a.Send("b", "echo", make([]byte, MaxFrame)); !errors.Is(err, ErrTooLarge) {
		t.Errorf("oversized message: %v", err)
	}
}

// TestRestart guards against a link to the old incarnation of a restarted node, and against a restarted node to which no
// link is opened again.
func TestRestart(t *testing.T) {
	a, b := start(t, "a", nil), start(t, "b", nil)
	addr := b.addr()
	a.SetTargets([]Target{{Node: "b", Addr: addr}})
	eventually(t, "a link", func() bool { return echo(a.Net, "b", "x") == nil })
	b.close()
	eventually(t, "the end of the link", func() bool { return a.link("b") == nil })
	start(t, "b", func(c *Config) {
		c.Incarnation = 2
		_ = c.Listener.Close()
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		c.Listener = ln
	})
	eventually(t, "a new link", func() bool { return echo(a.Net, "b", "x") == nil })
	if l := a.link("b"); l != nil && l.peer.Incarnation != 2 {
		t.Errorf("incarnation %d", l.peer.Incarnation)
	}
}

// TestRefused guards against accepting a peer without the shared key, and one whose address is not in the allow list.
func TestRefused(t *testing.T) {
	a := start(t, "a", nil)
	closed := start(t, "c", func(c *Config) { c.Allow = []netip.Prefix{netip.MustParsePrefix("192.0.2.0/24")} })
	b := start(t, "b", func(c *Config) { c.Key = "another key of 16" })
	b.SetTargets([]Target{{Addr: a.addr()}, {Addr: closed.addr()}})
	a.SetTargets([]Target{{Addr: b.addr()}})
	eventually(t, "the key is refused on both sides", func() bool { return a.log.has("shared key") && b.log.has("shared key") })
	eventually(t, "the address is refused", func() bool { return closed.log.has("not in the allow list") })
	for _, n := range []*testNet{a, b, closed} {
		if nodes := n.ConnectedNodes(); len(nodes) != 0 {
			t.Errorf("links to %v", nodes)
		}
	}
}

// TestReflectedProof guards against an attacker without the key that answers a node's challenge with the node's own
// proof.
func TestReflectedProof(t *testing.T) {
	x, y := newHello("a", 1), newHello("b", 1)
	key := []byte(testKey)
	macs := map[string]bool{}
	for _, m := range [][]byte{
		mac(key, roleDialer, x, y), mac(key, roleAcceptor, x, y), mac(key, roleDialer, y, x), mac(key, roleAcceptor, y, x),
		mac([]byte("another key of 16"), roleDialer, x, y), mac(key, roleDialer, newHello("a", 1), y),
		mac(key, roleDialer, hello{"a", 2, x.Challenge}, y), mac(key, roleDialer, hello{"c", 1, x.Challenge}, y),
	} {
		macs[string(m)] = true
	}
	if len(macs) != 8 {
		t.Errorf("%d different proofs, want 8", len(macs))
	}
}

// dialRaw opens an authenticated connection to a node and returns the underlying WebSocket.
func dialRaw(t *testing.T, n *testNet) *websocket.Conn {
	t.Helper()
	ctx := context.Background()
	c, _, err := websocket.Dial(ctx, "ws://"+n.addr()+linkPath, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.CloseNow() })
	if _, err := handshake(ctx, c, []byte(testKey), newHello("x", 1), func(hello) error { return nil }); err != nil {
		t.Fatal(err)
	}
	c.SetReadLimit(MaxFrame)
	return c
}

// TestBadFrames guards against malformed CBOR, a heartbeat that names another node, or an oversized frame that crashes
// the process or leaves the link open.
func TestBadFrames(t *testing.T) {
	a, b := start(t, "a", nil), start(t, "b", nil)
	a.SetTargets([]Target{{Addr: b.addr()}})
	eventually(t, "a link", func() bool { return echo(a.Net, "b", "x") == nil })
	spoofed, err := Encode(Heartbeat{Node: "b"})
	if err != nil {
		t.Fatal(err)
	}
	heartbeat, err := encodeFrame(frame{Type: TypeHeartbeat, Body: spoofed})
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name  string
		frame []byte
		line  string
	}{
		{"malformed", []byte{0xff, 0x00}, "link to x ended: decode frame"},
		{"spoofed", heartbeat, "malformed message"},
		{"oversized", make([]byte, MaxFrame+1), "read limited"},
	} {
		conn := dialRaw(t, a)
		ctx := context.Background()
		// The other side may close the link before the whole frame is written.
		_ = conn.Write(ctx, websocket.MessageBinary, c.frame)
		for {
			if _, _, err := conn.Read(ctx); err != nil {
				break
			}
		}
		eventually(t, c.name+" is logged", func() bool { return a.log.has(c.line) })
		eventually(t, c.name+" ends the link", func() bool { return a.link("x") == nil })
	}
	if err := echo(a.Net, "b", "still here"); err != nil {
		t.Error(err)
	}
}

// TestFullQueue guards against a send queue that grows without bound when a peer does not read.
func TestFullQueue(t *testing.T) {
	a := start(t, "a", nil)
	dialRaw(t, a)
	eventually(t, "a link", func() bool { return a.link("x") != nil })
	l := a.link("x")
	body := make([]byte, 256<<10)
	refused := false
	for range 1000 {
		if err := a.Send("x", "echo", body); errors.Is(err, ErrQueueFull) {
			refused = true
			break
		}
		if n := l.bytes.Load(); n > queueBytes {
			t.Fatalf("%d bytes queued", n)
		}
	}
	if !refused {
		t.Error("no message was refused with a full queue")
	}
}

// TestHeartbeats guards against heartbeats that do not arrive, and against a typical heartbeat of 100 bytes or more.
func TestHeartbeats(t *testing.T) {
	got := make(chan Heartbeat, 100)
	hb := Heartbeat{Zone: "zone-a", Epoch: 1 << 30, Next: 1 << 31, FreeSlots: 1112, Hash: StateHash{1, 2, 3, 4, 5, 6, 7, 8}}
	a := start(t, "entry-a", func(c *Config) { c.Heartbeat = func() Heartbeat { return hb } })
	b := start(t, "entry-b", func(c *Config) { c.OnHeartbeat = func(_ string, hb Heartbeat) { got <- hb } })
	a.SetTargets([]Target{{Addr: b.addr()}})
	for range 3 {
		if h := <-got; h.Node != "entry-a" || h.Epoch != hb.Epoch || h.FreeSlots != hb.FreeSlots {
			t.Errorf("heartbeat %+v", h)
		}
	}
	full := hb
	full.Node, full.Incarnation = "entry-a", uint64(time.Now().UnixNano())
	body, err := Encode(full)
	if err != nil {
		t.Fatal(err)
	}
	b1, err := encodeFrame(frame{Type: TypeHeartbeat, Body: body})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("a heartbeat frame has %d bytes", len(b1))
	if len(b1) >= 100 {
		t.Errorf("a heartbeat frame has %d bytes", len(b1))
	}
}

// TestHandshakesOfOthers guards against clients that never authenticate and keep the nodes from linking, while they stay.
func TestHandshakesOfOthers(t *testing.T) {
	a := start(t, "a", nil)
	var open atomic.Int32
	for range 2 * maxHandshakes {
		c, _, err := websocket.Dial(t.Context(), "ws://"+a.addr()+linkPath, nil) //nolint:bodyclose // a websocket has none
		if err != nil {
			continue // the node may refuse it
		}
		open.Add(1)
		go func() {
			_, _, _ = c.Read(t.Context())
			open.Add(-1)
		}()
	}
	b := start(t, "b", nil)
	b.SetTargets([]Target{{Addr: a.addr()}})
	eventually(t, "linked", func() bool { return echo(b.Net, "a", "x") == nil })
	if n := open.Load(); n < maxHandshakes/2 {
		t.Errorf("linked only after all but %d of the others had left", n)
	}
}

// TestPanicOfHandler guards against one message that ends the process or the link of its sender.
func TestPanicOfHandler(t *testing.T) {
	panics := make(chan string, 2)
	a := start(t, "a", nil)
	b := start(t, "b", func(c *Config) { c.OnPanic = func(msgType string, _ error) { panics <- msgType } })
	b.Handle("panic", func(context.Context, string, Body) (any, error) { panic("unexpected") })
	a.SetTargets([]Target{{Node: "b", Addr: b.addr()}})
	eventually(t, "link", func() bool { return echo(a.Net, "b", "x") == nil })
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	var remote *RemoteError
	if err := a.Call(ctx, "b", "panic", "x", nil); !errors.As(err, &remote) {
		t.Errorf("the call ended with %v, want an error of the other node", err)
	}
	if err := a.Send("b", "panic", "x"); err != nil {
		t.Error(err)
	}
	for range 2 {
		if msgType := <-panics; msgType != "panic" {
			t.Errorf("a panic on %q is reported", msgType)
		}
	}
	if err := echo(a.Net, "b", "after"); err != nil {
		t.Errorf("the link does not work after the panic: %v", err)
	}
}
