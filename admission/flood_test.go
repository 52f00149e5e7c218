package admission

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

const (
	floodSlots    = 10
	floodRunTime  = 100 * time.Millisecond
	floodCapacity = 100 // requests per second
	floodSeconds  = 20
)

// simulateFlood simulates one service for floodSeconds. Customers b and c have shares of 20% and 60% of the capacity and
// send requests of all urgencies at 80% of their shares. Customer a has a share of 20% and sends requests of the given
// urgencies at 20 times the capacity. The result for b and c is the fraction of their requests that completed before
// their deadlines; for a it is the fraction of the capacity that it used.
func simulateFlood(p Policy, urgencies ...Urgency) map[string]float64 {
	q := New(Options{Limit: 256, Policy: p})
	q.SetCustomers(parseCustomers("a:20 b:20 c:60"))
	type run struct {
		r    *Request
		ends time.Time
	}
	var running []run
	sent, done := map[string]int{}, map[string]int{}
	rate := map[string]int{"a": 20 * floodCapacity, "b": 16, "c": 48}
	due := map[string]int{}
	for ms := range floodSeconds * 1000 {
		now := testStart.Add(time.Duration(ms) * time.Millisecond)
		rest := running[:0]
		for _, x := range running {
			if now.Before(x.ends) {
				rest = append(rest, x)
				continue
			}
			q.Done(now, x.r, true)
			if !now.After(x.r.Deadline) {
				done[x.r.Customer]++
			}
		}
		running = rest
		for _, name := range []string{"a", "b", "c"} {
			for due[name] += rate[name]; due[name] >= 1000; due[name] -= 1000 {
				u := Urgency(sent[name] % 3)
				if name == "a" {
					u = urgencies[sent[name]%len(urgencies)]
				}
				sent[name]++
				q.Enqueue(now, &Request{Customer: name, Urgency: u, Deadline: now.Add(2 * time.Second)})
			}
		}
		for len(running) < floodSlots {
			r, _ := q.Dequeue(now)
			if r == nil {
				break
			}
			running = append(running, run{r, now.Add(floodRunTime)})
		}
	}
	return map[string]float64{
		"a": float64(done["a"]) / (floodCapacity * floodSeconds),
		"b": float64(done["b"]) / float64(sent["b"]), "c": float64(done["c"]) / float64(sent["c"]),
	}
}

// TestFloodLeavesOthersTheirShare guards against one customer's flood taking the capacity of the others, whatever the
// urgency of its requests. The baseline policies run on the same load for comparison. FirstInFirstOut and EqualShares
// must fail to protect b and c respectively; otherwise the load is too low to prove anything.
func TestFloodLeavesOthersTheirShare(t *testing.T) {
	kinds := map[string][]Urgency{"batch": {Batch}, "urgent": {Urgent}, "both": {Urgent, Batch}}
	for _, kind := range []string{"batch", "urgent", "both"} {
		var line strings.Builder
		for _, name := range []string{"", "equal", "priority", "fifo"} {
			kept := simulateFlood(policies[name], kinds[kind]...)
			fmt.Fprintf(&line, " %T a=%.2f b=%.2f c=%.2f;", policies[name], kept["a"], kept["b"], kept["c"])
			if name == "" && (kept["b"] < 0.98 || kept["c"] < 0.98 || kept["a"] < 0.20) {
				t.Errorf("%s: the weighted policy keeps %v", kind, kept)
			}
			if (name == "fifo" && kept["b"] > 0.5) || (name == "equal" && kept["c"] > 0.95) {
				t.Errorf("%s: %T keeps %v", kind, policies[name], kept)
			}
		}
		t.Logf("flood of %s work:%s", kind, line.String())
	}
}

// BenchmarkQueue measures enqueueing, dequeueing and ending one request, with few customers and with the number of
// customers that the system is designed for.
func BenchmarkQueue(b *testing.B) {
	for _, n := range []int{5, 670} {
		b.Run(fmt.Sprint("customers=", n), func(b *testing.B) {
			cs := make(map[string]Customer)
			names := make([]string, n)
			for i := range names {
				names[i] = fmt.Sprint("c", i)
				cs[names[i]] = Customer{Share: 1 + i%7}
			}
			q := New(Options{Limit: 4 * n})
			q.SetCustomers(cs)
			for i := range 2 * n {
				q.Enqueue(testStart, &Request{Customer: names[i%n], Deadline: testStart.Add(time.Hour)})
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				q.Enqueue(testStart, &Request{Customer: names[i%n], Deadline: testStart.Add(time.Hour)})
				r, _ := q.Dequeue(testStart)
				q.Done(testStart, r, false)
			}
		})
	}
}
