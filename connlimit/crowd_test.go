package connlimit_test

import (
	"bytes"
	"fmt"
	"net"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	headBytes = 1_000_000 // just under net/http's default limit of the size of a head
	bodyBytes = 262_144   // legal size of a body
	manyConns = 700       // more than maxFDs
	// sendTime limits how long a client of a crowd sends. A server that reads slowly must not hold up the test.
	sendTime = 8 * time.Second
	// holdTime is how long a crowd stays after it has sent everything, so that the server reads what it can.
	holdTime = 500 * time.Millisecond
)

// shortLines holds header lines with different short names.
var shortLines = func() []byte {
	var b bytes.Buffer
	for i := 0; b.Len() < headBytes; i++ {
		fmt.Fprintf(&b, "%x:\r\n", i)
	}
	return b.Bytes()
}()

var (
	equalLines = bytes.Repeat([]byte("X-Trace-Part: 0123456789abcdef\r\n"), headBytes/32)
	longLine   = append([]byte("X-Long: "), bytes.Repeat([]byte("a"), headBytes)...)
	emptyLines = bytes.Repeat([]byte("\r\n"), 50_000)
	body       = bytes.Repeat([]byte("0123456789abcdef"), bodyBytes/16)
	objects    = []byte(`{"steps":[{}` + strings.Repeat(",{}", (bodyBytes-14)/3) + "]}")
	onePieces  = bytes.Repeat([]byte("1\r\nx\r\n"), 40_000)
)

// client is one client of a crowd.
type client struct {
	net.Conn
	p *process
	i int // number of the client
}

// send sends the data in pieces of the given size. Errors are ignored, because the server may close the connection.
func (c *client) send(data []byte, piece int) {
	for len(data) > 0 {
		n := min(piece, len(data))
		if _, err := c.Write(data[:n]); err != nil {
			return
		}
		data = data[n:]
	}
}

func (c *client) sendText(format string, args ...any) {
	c.send(fmt.Appendf(nil, format, args...), 1<<20)
}

// sendBody sends a request whose body stops 16 bytes short of its end.
func (c *client) sendBody(piece int) {
	c.sendText(c.p.submit+"Content-Length: %d\r\n\r\n", c.i, bodyBytes)
	c.send(body[:bodyBytes-16], piece)
}

// Kinds of clients. Each sends what it has and keeps its connection open.
var (
	wholeShortLines = func(c *client) {
		c.sendText("GET / HTTP/1.1\r\nHost: h\r\n")
		c.send(shortLines, headBytes)
		c.sendText("\r\n")
	}
	shortLinesNoEnd = func(c *client) { c.sendText("GET / HTTP/1.1\r\nHost: h\r\n"); c.send(shortLines, 4000) }
	repeatedLines   = func(c *client) { c.sendText("GET / HTTP/1.1\r\nHost: h\r\n"); c.send(equalLines, headBytes) }
	headNoEnd       = func(c *client) { c.sendText("GET / HTTP/1.1\r\nHost: h\r\n"); c.send(longLine, 16_000) }
	emptyNoEnd      = func(c *client) { c.send(emptyLines, 100) }
	wholeBody       = func(c *client) { c.sendBody(bodyBytes) }
	piecedBody      = func(c *client) { c.sendBody(10_000) }
	chunkedBody     = func(c *client) {
		c.sendText(c.p.submit+"Transfer-Encoding: chunked\r\n\r\n", c.i)
		c.send(onePieces, 6000)
	}
	// wholeObjects sends a whole body of the shortest steps.
	wholeObjects = func(c *client) {
		c.sendText(c.p.submit+"Content-Length: %d\r\n\r\n", c.i, len(objects))
		c.send(objects, bodyBytes)
	}
	silent = func(*client) {}
	// mixed mixes heads, bodies and silent connections.
	mixed = func(c *client) {
		kinds := []func(*client){shortLinesNoEnd, wholeBody, silent, piecedBody, silent, wholeShortLines, chunkedBody, silent, emptyNoEnd, silent}
		kinds[c.i%len(kinds)](c)
	}
)

// load is a crowd of clients that connects to one listener.
type load struct {
	name   string
	port   string
	conns  int
	rounds int // how often the crowd comes, each time after all its connections were closed
	act    func(*client)
}

var loads = []load{
	{"whole heads of short lines", "callers", 30, 1, wholeShortLines},
	{"heads of short lines in pieces without end", "callers", 30, 1, shortLinesNoEnd},
	{"heads of repeated lines", "callers", 120, 1, repeatedLines},
	{"heads without end", "callers", 150, 1, headNoEnd},
	{"empty lines before a request", "callers", manyConns, 1, emptyNoEnd},
	{"bodies that stop short", "callers", manyConns, 1, wholeBody},
	{"bodies in pieces that stop short", "callers", manyConns, 1, piecedBody},
	{"chunked bodies of one byte per piece", "callers", manyConns, 1, chunkedBody},
	{"whole bodies of many objects", "callers", 150, 1, wholeObjects},
	{"silent connections", "callers", manyConns, 1, silent},
	{"all kinds, three times", "callers", manyConns, 3, mixed},
}

// TestCrowds guards against clients of any kind that make a process exceed the memory or the descriptors of its machine,
// end it, or keep it from serving an ordinary request. Each crowd meets a new process.
func TestCrowds(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes and sends several hundred MB to each")
	}
	binary := filepath.Join(t.TempDir(), "berylwharfd")
	if out, err := exec.Command("go", "build", "-o", binary, "../cmd/berylwharfd").CombinedOutput(); err != nil {
		t.Fatalf("building the daemon: %v\n%s", err, out)
	}
	for _, system := range []struct {
		name  string
		start func(*testing.T, string) *process
		ports []string // listeners beside that for callers
	}{
		{"jobs", startJobs, []string{"readiness", "admin", "peers"}},
		{"entry", startEntry, []string{"operators", "admin", "peers"}},
	} {
		all := loads
		for _, port := range system.ports {
			all = append(all[:len(all):len(all)], load{"all kinds at " + port, port, manyConns, 1, mixed})
		}
		for _, l := range all {
			t.Run(system.name+"/"+l.name, func(t *testing.T) { meet(system.start(t, binary), l) })
		}
	}
}

// meet sends the crowd to the process and checks the bounds.
func meet(p *process, l load) {
	p.t.Helper()
	for range l.rounds {
		var mu sync.Mutex
		var open []net.Conn
		var sending sync.WaitGroup
		for i := range l.conns {
			sending.Go(func() {
				conn, err := net.DialTimeout("tcp", p.ports[l.port], sendTime)
				if err != nil {
					return
				}
				mu.Lock()
				open = append(open, conn)
				mu.Unlock()
				_ = conn.SetDeadline(time.Now().Add(sendTime))
				l.act(&client{Conn: conn, p: p, i: i})
			})
		}
		sending.Wait()
		time.Sleep(holdTime)
		p.waitFor("an ordinary request is served beside the crowd", p.request)
		for _, conn := range open {
			_ = conn.Close()
		}
	}
	p.waitFor("an ordinary request is served after the crowd", p.request)
	peak, now, fds := p.statusMB("VmHWM"), p.statusMB("VmRSS"), p.peakFDs.Load()
	p.t.Logf("peak of resident memory %d MB, now %d MB; peak of descriptors %d", peak, now, fds)
	if peak > memoryMB {
		p.t.Errorf("peak of resident memory %d MB, limit %d MB", peak, memoryMB)
	}
	if fds > maxFDs {
		p.t.Errorf("%d open descriptors, limit %d", fds, maxFDs)
	}
}
