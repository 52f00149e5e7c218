package admission

import (
	"flag"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"github.com/berylwharf/berylwharf/verdict"
)

// A fixed seed makes the random cases the same in every run; -rapid.seed overrides it.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}

var testStart = time.Unix(1_700_000_000, 0)

var policies = map[string]Policy{
	"": Weighted{}, "equal": EqualShares{}, "priority": FixedPriority{}, "fifo": FirstInFirstOut{},
}

// TestQueueTables guards against serving requests in the wrong order, refusing the wrong request, and refusals with a
// wrong verdict, reason, status or Retry-After.
func TestQueueTables(t *testing.T) {
	var q *Queue
	var now time.Time
	var byID map[string]*Request
	datadriven.RunTest(t, "testdata/queue", func(t *testing.T, d *datadriven.TestData) string {
		var id, customer, urgency, span, policy string
		var n, limit int
		d.MaybeScanArgs(t, "id", &id)
		d.MaybeScanArgs(t, "customer", &customer)
		d.MaybeScanArgs(t, "urgency", &urgency)
		d.MaybeScanArgs(t, "deadline", &span)
		d.MaybeScanArgs(t, "d", &span)
		d.MaybeScanArgs(t, "policy", &policy)
		d.MaybeScanArgs(t, "n", &n)
		d.MaybeScanArgs(t, "limit", &limit)
		after, _ := time.ParseDuration(span)
		var out strings.Builder
		report := func(refused []Refusal) {
			for _, r := range refused {
				fmt.Fprintf(&out, "refused %v: %s %s %d retry=%s\n", r.Request.Ref, r.Err.Verdict, r.Err.Reason,
					r.Err.Status, r.Err.RetryAfter)
			}
		}
		switch d.Cmd {
		case "new":
			q, now, byID = New(Options{Limit: limit, Policy: policies[policy]}), testStart, make(map[string]*Request)
			q.SetCustomers(parseCustomers(d.Input))
		case "enqueue":
			u, err := ParseUrgency(urgency)
			if err != nil {
				t.Fatal(err)
			}
			r := &Request{Customer: customer, Urgency: u, Deadline: now.Add(after), Ref: id}
			byID[id] = r
			report(q.Enqueue(now, r))
			fmt.Fprintf(&out, "queued=%d\n", q.Len())
		case "fill":
			for range n {
				report(q.Enqueue(now, &Request{Customer: customer, Deadline: now.Add(time.Hour), Cost: 1, Ref: customer}))
			}
			fmt.Fprintf(&out, "queued=%d\n", q.Len())
		case "dequeue":
			var ids []string
			for range n {
				r, refused := q.Dequeue(now)
				report(refused)
				if r == nil {
					ids = append(ids, "-")
					continue
				}
				ids = append(ids, r.Ref.(string))
			}
			out.WriteString(strings.Join(ids, " ") + "\n")
		case "done":
			q.Done(now, byID[id], true)
		case "cancel":
			fmt.Fprintln(&out, q.Cancel(byID[id]))
		case "advance":
			now = now.Add(after)
		}
		return out.String()
	})
}

// parseCustomers parses a space-separated list of name:share[:quota].
func parseCustomers(s string) map[string]Customer {
	cs := make(map[string]Customer)
	for f := range strings.FieldsSeq(s) {
		p := append(strings.Split(f, ":"), "0")
		share, _ := strconv.Atoi(p[1])
		quota, _ := strconv.Atoi(p[2])
		cs[p[0]] = Customer{Share: share, Quota: quota}
	}
	return cs
}

// TestSharesUnderSaturation guards against a customer receiving more or less than its declared share, and against the
// shares of idle customers not being distributed in proportion. The tolerance is 2% of the capacity.
func TestSharesUnderSaturation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cs := make(map[string]Customer)
		busy := make(map[string]bool)
		sum := 0
		n := rapid.IntRange(2, 8).Draw(t, "customers")
		for i := range n {
			name := fmt.Sprint("c", i)
			cs[name] = Customer{Share: rapid.IntRange(1, 100).Draw(t, "share")}
			if i < 2 || rapid.Bool().Draw(t, "busy") {
				busy[name] = true
				sum += cs[name].Share
			}
		}
		q := New(Options{Limit: 1000})
		q.SetCustomers(cs)
		add := func(name string) {
			u := Urgency(rapid.IntRange(0, 2).Draw(t, "urgency"))
			q.Enqueue(testStart, &Request{Customer: name, Urgency: u, Deadline: testStart.Add(time.Hour), Cost: 1})
		}
		for name := range busy {
			for range 3 {
				add(name)
			}
		}
		served := make(map[string]int)
		const total = 2000
		for range total {
			r, _ := q.Dequeue(testStart)
			served[r.Customer]++
			add(r.Customer)
			q.Done(testStart, r, false)
		}
		for name := range busy {
			got, want := float64(served[name])/total, float64(cs[name].Share)/float64(sum)
			if got < want-0.02 || got > want+0.02 {
				t.Fatalf("%s got %.3f of the capacity, its share is %.3f", name, got, want)
			}
		}
	})
}

// TestEveryRequestEndsOnce guards against requests that are lost, served twice, or both refused and served, and against
// exceeding the queue limit or a quota.
func TestEveryRequestEndsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := policies[rapid.SampledFrom([]string{"", "equal", "priority", "fifo"}).Draw(t, "policy")]
		limit := rapid.IntRange(1, 10).Draw(t, "limit")
		q := New(Options{Limit: limit, Policy: policy})
		cs := parseCustomers("a:1 b:5:2 c:9:1")
		q.SetCustomers(cs)
		now := testStart
		ends := make(map[*Request]int)
		var waiting, running []*Request
		refuse := func(refused []Refusal) {
			for _, r := range refused {
				ends[r.Request]++
				if r.Err.Verdict != verdict.NotRun || r.Err.RetryAfter <= 0 {
					t.Fatalf("refusal %+v", r.Err)
				}
			}
		}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				r := &Request{
					Customer: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "customer"),
					Urgency:  Urgency(rapid.IntRange(0, 2).Draw(t, "urgency")),
					Deadline: now.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, "deadline")) * time.Second),
				}
				ends[r] = 0
				waiting = append(waiting, r)
				refuse(q.Enqueue(now, r))
			case 2:
				r, refused := q.Dequeue(now)
				refuse(refused)
				if r != nil {
					ends[r]++
					running = append(running, r)
				}
			case 3:
				now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			case 4:
				if len(running) > 0 {
					q.Done(now, running[0], true)
					running = running[1:]
				}
			case 5:
				if len(waiting) > 0 {
					r := waiting[rapid.IntRange(0, len(waiting)-1).Draw(t, "index")]
					if q.Cancel(r) {
						ends[r]++
					}
				}
			}
			for name, c := range cs {
				if c.Quota > 0 && q.Running(name) > c.Quota {
					t.Fatalf("%s runs %d", name, q.Running(name))
				}
			}
			open := 0
			for r, n := range ends {
				if n > 1 {
					t.Fatalf("%+v ended %d times", r, n)
				}
				if n == 0 {
					open++
				}
			}
			if open != q.Len() || open > limit {
				t.Fatalf("%d requests wait, Len is %d, the limit %d", open, q.Len(), limit)
			}
		}
	})
}
