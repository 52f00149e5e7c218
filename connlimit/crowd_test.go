package connlimit_test

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
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
	longPath   = strings.Repeat("a", 15_000)
)

// Bodies of jobs that are valid by their syntax and size. No worker has the label that they require.
var (
	// dueJob has 10,000 occurrences of 1,024 tasks, all of them due.
	dueJob = `{"spec":"x","repeatCount":10000,"startAtMs":1,"intervalMs":1,"steps":[{"count":1024,"cpu":100,"requiredLabel":"none"}]}`
	// waitingJob has 4,000 tasks that wait for a worker.
	waitingJob = `{"spec":"x","steps":[` + strings.Repeat(`{"count":1000,"cpu":100,"daemon":true,"requiredLabel":"none"},`, 3) +
		`{"count":1000,"cpu":100,"daemon":true,"requiredLabel":"none"}]}`
	// largestJob has as many tasks as a job may have.
	largestJob = `{"spec":"x","steps":[` + strings.Repeat(`{"count":1024,"daemon":true,"requiredLabel":"none"},`, 63) +
		`{"count":1024,"daemon":true,"requiredLabel":"none"}]}`
	// labelJob is stored as a record three times as large as its body, because each invalid byte is replaced by three.
	labelJob = `{"steps":[{"count":1,"requiredLabel":"` + strings.Repeat("\xff", 260_000) + `"}]}`
	// dependentJob has steps that name the same dependency very often.
	dependentJob = `{"steps":[{"count":1,"daemon":true,"requiredLabel":"none"}` +
		strings.Repeat(`,{"count":1,"daemon":true,"requiredLabel":"none","dependsOn":[`+strings.Repeat("0,", 1900)+`0]}`, 63) + `]}`
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
	// longPaths sends small requests that are refused, and reads the responses.
	longPaths = func(c *client) {
		go func() { _, _ = io.Copy(io.Discard, c) }()
		for range 10 {
			c.sendText("GET /none/%s HTTP/1.1\r\nHost: h\r\n\r\n", longPath)
		}
	}
	// unreadAnswers sends requests and reads no response.
	unreadAnswers = func(c *client) {
		_ = c.Conn.(*net.TCPConn).SetReadBuffer(4096)
		c.send(bytes.Repeat([]byte("GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n"), 1000), 1<<20)
	}
	// blockedStreams sends requests of HTTP/2 and accepts no byte of a response's body.
	blockedStreams = func(c *client) { c.sendStreams(0x82, endHeaders|endStream) }
	// openStreams sends heads of HTTP/2 whose bodies never come.
	openStreams = func(c *client) { c.sendStreams(0x83, endHeaders) }
	// upgrade asks for a link of a peer and sends nothing on it.
	upgrade = func(c *client) {
		c.sendText("GET /peer HTTP/1.1\r\nHost: h\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n" +
			"Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: MDEyMzQ1Njc4OWFiY2RlZg==\r\n\r\n")
	}
	// mixed mixes heads, bodies and silent connections.
	mixed = func(c *client) {
		kinds := []func(*client){shortLinesNoEnd, wholeBody, silent, piecedBody, silent, wholeShortLines, chunkedBody, silent, emptyNoEnd, silent}
		kinds[c.i%len(kinds)](c)
	}
)

// Types and flags of HTTP/2 frames.
const (
	frameHeaders  = 1
	frameSettings = 4
	endStream     = 0x1
	endHeaders    = 0x4
)

func frame(kind, flags byte, stream uint32, payload []byte) []byte {
	b := []byte{byte(len(payload) >> 16), byte(len(payload) >> 8), byte(len(payload)), kind, flags}
	return append(binary.BigEndian.AppendUint32(b, stream), payload...)
}

// sendStreams sends 100 heads of HTTP/2 with the indexed method and the flags, after settings that permit no body of a response.
func (c *client) sendStreams(method, flags byte) {
	head := []byte{method, 0x86, 0x04} // the scheme is http, the path follows
	for _, text := range []string{"/svc/booking/x", "", "berylwharf-customer", "c", "", "berylwharf-deadline-ms", "3600000"} {
		if text == "" {
			head = append(head, 0) // a header that is not indexed
			continue
		}
		head = append(append(head, byte(len(text))), text...)
	}
	c.sendText("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n")
	c.send(frame(frameSettings, 0, 0, []byte{0, 4, 0, 0, 0, 0}), 1<<20) // an initial window of 0
	for i := range uint32(100) {
		c.send(frame(frameHeaders, flags, 1+2*i, head), 1<<20)
	}
	_, _ = io.Copy(io.Discard, c) // until the deadline of the connection
}

// wholeJobs returns a kind of clients that submit the same job under different identifiers.
func wholeJobs(body string) func(*client) {
	return func(c *client) {
		go func() { _, _ = io.Copy(io.Discard, c) }()
		for range 4 {
			c.sendText(c.p.submit+"Content-Length: %d\r\n\r\n%s", c.p.jobs.Add(1)<<20, len(body), body)
		}
	}
}

// longIDs submits small jobs whose identifiers are longer than a key of the store may be.
func longIDs(c *client) {
	body := `{"steps":[{"count":1,"cpu":100}]}`
	c.sendText("POST /q/%0300x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", c.i, len(body), body)
}

// load is a crowd of clients that connects to one listener.
type load struct {
	name   string
	port   string
	conns  int
	rounds int // how often the crowd comes, each time after all its connections were closed; 0 means once
	act    func(*client)
	// logUnread means that nothing reads the log of the process until the crowd has left.
	logUnread bool
}

var loads = []load{
	{name: "whole heads of short lines", port: "callers", conns: 30, act: wholeShortLines},
	{name: "heads of short lines in pieces without end", port: "callers", conns: 30, act: shortLinesNoEnd},
	{name: "heads of repeated lines", port: "callers", conns: 120, act: repeatedLines},
	{name: "heads without end", port: "callers", conns: 150, act: headNoEnd},
	{name: "empty lines before a request", port: "callers", conns: manyConns, act: emptyNoEnd},
	{name: "bodies that stop short", port: "callers", conns: manyConns, act: wholeBody},
	{name: "bodies in pieces that stop short", port: "callers", conns: manyConns, act: piecedBody},
	{name: "chunked bodies of one byte per piece", port: "callers", conns: manyConns, act: chunkedBody},
	{name: "whole bodies of many objects", port: "callers", conns: 150, act: wholeObjects},
	{name: "silent connections", port: "callers", conns: manyConns, act: silent},
	{name: "all kinds, three times", port: "callers", conns: manyConns, rounds: 3, act: mixed},
}

// jobLoads are crowds that send whole requests to a node of the job manager.
var jobLoads = []load{
	{name: "jobs of which all occurrences are due", port: "callers", conns: 4, act: wholeJobs(dueJob)},
	{name: "jobs of many tasks that wait", port: "callers", conns: 150, act: wholeJobs(waitingJob)},
	{name: "jobs of as many tasks as possible", port: "callers", conns: 40, act: wholeJobs(largestJob)},
	{name: "jobs that are larger than a record", port: "callers", conns: 4, act: wholeJobs(labelJob)},
	{name: "jobs with repeated dependencies", port: "callers", conns: 60, act: wholeJobs(dependentJob)},
	{name: "jobs with long identifiers", port: "callers", conns: 4, act: longIDs},
	{name: "refused requests with long paths, log not read", port: "callers", conns: 600, act: longPaths, logUnread: true},
	{name: "answers that are not read", port: "admin", conns: manyConns, act: unreadAnswers},
	{name: "links of peers without a handshake", port: "peers", conns: manyConns, act: upgrade},
}

// pairLoads are crowds at both of two nodes.
var pairLoads = []load{
	{name: "all kinds, three times", port: "callers", conns: 2 * manyConns, rounds: 3, act: mixed},
	{name: "whole bodies of many objects", port: "callers", conns: 150, act: wholeObjects},
	{name: "links of peers without a handshake", port: "peers", conns: manyConns, act: upgrade},
}

// streamLoads are crowds at a listener with HTTP/2.
var streamLoads = []load{
	{name: "HTTP/2 responses that are not accepted", port: "callers", conns: manyConns, act: blockedStreams},
	{name: "HTTP/2 bodies that do not come", port: "callers", conns: manyConns, act: openStreams},
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
		loads []load
	}{
		{"jobs", startJobs, []string{"readiness", "admin", "peers"}, append(loads[:len(loads):len(loads)], jobLoads...)},
		{"two nodes", startPair, []string{"peers"}, pairLoads},
		{"entry", startEntry, []string{"operators", "admin", "peers"}, append(loads[:len(loads):len(loads)], streamLoads...)},
	} {
		all := system.loads
		for _, port := range system.ports {
			all = append(all[:len(all):len(all)], load{name: "all kinds at " + port, port: port, conns: manyConns, act: mixed})
		}
		for _, l := range all {
			t.Run(system.name+"/"+l.name, func(t *testing.T) { meet(system.start(t, binary), l) })
		}
	}
}

// meet sends the crowd to the process and checks the bounds.
func meet(p *process, l load) {
	p.t.Helper()
	p.logPaused.Store(l.logUnread)
	for range max(1, l.rounds) {
		var mu sync.Mutex
		var open []net.Conn
		var sending sync.WaitGroup
		for i := range l.conns {
			sending.Go(func() {
				node := p
				if p.twin != nil && i%2 == 1 {
					node = p.twin
				}
				conn, err := net.DialTimeout("tcp", node.ports[l.port], sendTime)
				if err != nil {
					return
				}
				mu.Lock()
				open = append(open, conn)
				mu.Unlock()
				_ = conn.SetDeadline(time.Now().Add(sendTime))
				l.act(&client{Conn: conn, p: node, i: i})
			})
		}
		sending.Wait()
		time.Sleep(holdTime)
		p.checkServed("beside the crowd")
		for _, conn := range open {
			_ = conn.Close()
		}
	}
	p.logPaused.Store(false)
	p.checkServed("after the crowd")
	if p.verify != nil {
		p.verify()
	}
	p.checkBounds()
	if p.twin != nil {
		p.twin.checkBounds()
	}
}

// checkServed checks that ordinary requests are served at each node, and on a connection that was open before.
func (p *process) checkServed(when string) {
	p.t.Helper()
	p.waitFor("an ordinary request is served "+when, p.request)
	if p.twin != nil {
		p.waitFor("an ordinary request is served at the other node "+when, p.request)
	}
	if p.reuse != nil {
		p.waitFor("a request of a caller that stays is served "+when, p.reuse)
	}
}

// checkBounds checks the peaks of memory and descriptors.
func (p *process) checkBounds() {
	p.t.Helper()
	peak, now, fds := p.statusMB("VmHWM"), p.statusMB("VmRSS"), p.peakFDs.Load()
	p.t.Logf("peak of resident memory %d MB, now %d MB; peak of descriptors %d", peak, now, fds)
	if peak > memoryMB {
		p.t.Errorf("peak of resident memory %d MB, limit %d MB", peak, memoryMB)
	}
	if fds > maxFDs {
		p.t.Errorf("%d open descriptors, limit %d", fds, maxFDs)
	}
}
