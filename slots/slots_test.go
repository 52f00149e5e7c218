package slots

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/berylwharf/berylwharf/membership"
	"github.com/berylwharf/berylwharf/statelog"
)

var t0 = time.Unix(1_700_000_000, 0)

var kindNames = []string{"", "acquire", "grant", "grant-ack", "return", "return-ack", "recall", "report", "report-ack"}

// cluster is a set of nodes whose messages are delivered by test commands.
type cluster struct {
	nodes    map[string]*Node
	now      time.Time
	next     uint64
	released map[string]bool
}

func (c *cluster) node(name string) *Node {
	n := c.nodes[name]
	if n == nil {
		n = NewNode(name, 30*time.Second)
		n.SetEpoch(membership.NewSet(0, nil), true, false, c.isReleased, c.now)
		c.nodes[name] = n
	}
	return n
}

func (c *cluster) isReleased(node string, _ uint64) bool { return c.released[node] }

// deliverAll prints and delivers messages until none are left. It drops those from or to the nodes in cut.
func (c *cluster) deliverAll(out *strings.Builder, cut string) {
	for {
		delivered := false
		for _, from := range sortedKeys(c.nodes) {
			n := c.nodes[from]
			for _, a := range n.Assigned() {
				fmt.Fprintf(out, "%s: request %d runs on %s\n", from, a.ID, a.Worker)
			}
			for _, e := range n.Outbox() {
				m := e.Msg
				suffix := ""
				lost := strings.Contains(cut, from) || strings.Contains(cut, e.Node)
				if lost {
					suffix = " (lost)"
				}
				switch m.Kind {
				case KindReportAck, KindReturnAck, KindGrantAck:
				case KindReport:
					fmt.Fprintf(out, "%s->%s report of %d%s\n", from, e.Node, len(m.Holdings), suffix)
				case KindAcquire, KindRecall:
					fmt.Fprintf(out, "%s->%s %s %s count=%d%s\n", from, e.Node, kindNames[m.Kind], m.Worker, m.Count, suffix)
				default:
					fmt.Fprintf(out, "%s->%s %s %s/%d%s\n", from, e.Node, kindNames[m.Kind], m.Worker, m.Slot, suffix)
				}
				if !lost && c.nodes[e.Node] != nil {
					c.nodes[e.Node].Receive(from, m, c.now)
				}
				delivered = true
			}
		}
		if !delivered {
			return
		}
	}
}

// TestProtocol guards against grants before all reports have arrived, slots of removed members that are granted again
// before their quarantine ends, unused slots that a node does not return, and waiting requests that are lost. With
// members a and b, the home node of w1 is a and that of w2 is b.
func TestProtocol(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		c := &cluster{nodes: make(map[string]*Node), now: t0, released: make(map[string]bool)}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var out strings.Builder
			var name, worker, cut string
			var epoch, ms, count, quarantine int
			for arg, into := range map[string]any{
				"node": &name, "worker": &worker, "cut": &cut, "epoch": &epoch, "ms": &ms, "count": &count,
				"quarantine": &quarantine,
			} {
				if d.HasArg(arg) {
					d.ScanArgs(t, arg, into)
				}
			}
			switch d.Cmd {
			case "epoch":
				var members []statelog.Member
				for _, m := range strings.Fields(d.Input) {
					c.node(m)
					members = append(members, statelog.Member{Node: m, Incarnation: 1})
				}
				set := membership.NewSet(uint64(epoch), members)
				for _, n := range sortedKeys(c.nodes) {
					if name == "" || strings.Contains(name, n) {
						_, member := set.Find(n)
						c.nodes[n].SetEpoch(set, d.HasArg("gap"), member, c.isReleased, c.now)
					}
				}
			case "acquire":
				for range max(1, count) {
					c.next++
					c.node(name).Acquire(c.next, strings.Split(worker, "+"), c.now)
				}
			case "cancel":
				c.node(name).Cancel(uint64(count), c.now)
			case "return":
				for range max(1, count) {
					c.node(name).Return(worker, time.Duration(quarantine)*time.Millisecond, c.now)
				}
			case "drain":
				c.node(name).Drain(c.now)
			case "released":
				c.released[name] = true
			case "remove":
				delete(c.nodes, name)
			case "tick":
				c.now = c.now.Add(time.Duration(ms) * time.Millisecond)
				for _, n := range sortedKeys(c.nodes) {
					c.nodes[n].Tick(c.now)
				}
			case "counts":
				for _, n := range sortedKeys(c.nodes) {
					fmt.Fprintf(&out, "%s: %+v\n", n, c.nodes[n].Counts())
				}
				return out.String()
			}
			c.deliverAll(&out, cut)
			return out.String()
		})
	})
}

// TestBalance guards against recalls that make two holders exchange slots endlessly, and against a node without any slot
// that never gets one.
func TestBalance(t *testing.T) {
	for _, c := range []struct {
		held     map[string]int
		requests []slotRequest
		toReturn map[string]int
	}{
		{map[string]int{"a": 8}, []slotRequest{{node: "b", count: 8}}, map[string]int{"a": 4}},
		{map[string]int{"a": 4, "b": 4}, []slotRequest{{node: "a", count: 3}, {node: "b", count: 3}}, map[string]int{}},
		{map[string]int{"a": 5, "b": 3}, []slotRequest{{node: "b", count: 3}}, map[string]int{"a": 1}},
		{map[string]int{"a": 1, "b": 7}, []slotRequest{{node: "c", count: 1}}, map[string]int{"b": 1}},
		{map[string]int{"a": 1}, []slotRequest{{node: "c", count: 1}}, map[string]int{"a": 1}},
		{map[string]int{}, []slotRequest{{node: "c", count: 1}}, map[string]int{}},
	} {
		held := fmt.Sprint(c.held)
		toReturn := balance(c.requests, c.held, slices.Sorted(slices.Values(sortedKeys(c.held))))
		if fmt.Sprint(toReturn) != fmt.Sprint(c.toReturn) {
			t.Errorf("held %s, requests %v: to return %v, want %v", held, c.requests, toReturn, c.toReturn)
		}
	}
}
