package routing

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"
)

// A fixed seed makes the property tests reproducible. The flag -rapid.seed overrides it.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}

var epoch = time.Unix(1_700_000_000, 0)

func newSet(backends ...Backend) *BackendSet {
	s := NewBackendSet("zone-a", rand.New(rand.NewPCG(1, 2)))
	s.Update(epoch, backends)
	return s
}

func fleet(n int) []Backend {
	bs := make([]Backend, n)
	for i := range bs {
		bs[i] = Backend{VM: fmt.Sprintf("vm-%05d", i), Zone: "zone-" + string(rune('a'+i%3))}
	}
	return bs
}

// TestSetTables guards against wrong ejections, servers that are restored too early or never, and new requests to leaving
// servers.
func TestSetTables(t *testing.T) {
	var s *BackendSet
	var started *Server
	now := epoch
	outcomes := map[string]Outcome{"fail": OutcomeFailed, "ok": OutcomeOK, "timeout": OutcomeTimeout}
	probes := map[string]Probe{"alive": ProbeAlive, "dead": ProbeFailed, "leaving": ProbeLeaving}
	datadriven.RunTest(t, "testdata/set", func(t *testing.T, d *datadriven.TestData) string {
		var vm, duration, p string
		var n int
		d.MaybeScanArgs(t, "vm", &vm)
		d.MaybeScanArgs(t, "d", &duration)
		d.MaybeScanArgs(t, "p", &p)
		d.MaybeScanArgs(t, "n", &n)
		switch d.Cmd {
		case "update":
			var bs []Backend
			for line := range strings.Lines(d.Input) {
				f := strings.Fields(line)
				bs = append(bs, Backend{VM: f[0], Zone: f[1]})
			}
			if s == nil || len(bs) > 1 {
				s = newSet()
			}
			s.Update(now, bs)
		case "fail", "ok", "timeout":
			for range n {
				s.Done(now, s.Start(vm), outcomes[d.Cmd])
			}
		case "mixed":
			for range n {
				s.Done(now, s.Start(vm), OutcomeOK)
				s.Done(now, s.Start(vm), OutcomeFailed)
			}
		case "probe":
			s.SetProbe(now, vm, probes[p])
		case "advance":
			dur, _ := time.ParseDuration(duration)
			now = now.Add(dur)
		case "choose":
			// Slow start skips servers at random, so the output is the union of many decisions.
			var seen []string
			for range 200 {
				for _, c := range s.Choose(now, nil) {
					if !slices.Contains(seen, c) {
						seen = append(seen, c)
					}
				}
			}
			slices.Sort(seen)
			return strings.Join(seen, " ") + "\n"
		case "start":
			if started = s.Start(vm); started == nil {
				return "refused\n"
			}
			return fmt.Sprintf("outstanding=%d\n", s.Outstanding(vm))
		case "done":
			s.Done(now, startedServer(s, started), OutcomeOK)
		case "outstanding":
			return fmt.Sprintln(s.Outstanding(vm))
		case "state":
			return describe(s, now)
		}
		return ""
	})
}

// startedServer returns started, or the server that has a request in flight if the last start command was refused and
// set started to nil.
func startedServer(s *BackendSet, started *Server) *Server {
	if started != nil {
		return started
	}
	for _, sv := range s.byVM {
		if sv.outstanding > 0 {
			return sv
		}
	}
	return nil
}

func describe(s *BackendSet, now time.Time) string {
	s.restoreEjected(now)
	var lines []string
	for vm, sv := range s.byVM {
		line := fmt.Sprintf("%s load=%.1f", vm, sv.load(now))
		if s.Ejected(vm) {
			line += " ejected"
		}
		if w := sv.slowStartWeight(now); w < 1 {
			line += fmt.Sprintf(" slow=%.2f", w)
		}
		lines = append(lines, line+"\n")
	}
	slices.Sort(lines)
	return strings.Join(lines, "")
}

// TestChoiceKeepsInvariants guards against candidate lists with a duplicate, excluded or removed server, and against
// wrong counts of requests in flight, under any order of events.
func TestChoiceKeepsInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSet(fleet(5)...)
		now := epoch
		var inFlight []*Server
		listed := fleet(5)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			vm := fmt.Sprintf("vm-%05d", rapid.IntRange(0, 7).Draw(t, "vm"))
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				listed = rapid.Permutation(fleet(8)).Draw(t, "listed")[:rapid.IntRange(0, 8).Draw(t, "n")]
				s.Update(now, listed)
			case 1:
				if sv := s.Start(vm); sv != nil {
					inFlight = append(inFlight, sv)
				}
			case 2:
				if len(inFlight) > 0 {
					s.Done(now, inFlight[0], Outcome(rapid.IntRange(1, 4).Draw(t, "outcome")))
					inFlight = inFlight[1:]
				}
			case 3:
				s.SetProbe(now, vm, Probe(rapid.IntRange(0, 3).Draw(t, "probe")))
			case 4:
				now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond)
			}
			got := s.Choose(now, nil, vm)
			seen := map[string]bool{vm: true}
			for _, g := range got {
				if seen[g] || !slices.ContainsFunc(listed, func(b Backend) bool { return b.VM == g }) {
					t.Fatalf("choice %v, excluded %s, listed %v", got, vm, listed)
				}
				seen[g] = true
			}
			total := 0
			for _, sv := range s.byVM {
				total += sv.outstanding
			}
			if total != len(inFlight) {
				t.Fatalf("%d requests counted, %d in flight", total, len(inFlight))
			}
		}
	})
}

// TestZonePreference guards against cross-zone traffic on equal load, and against a preference that overloads the node's
// own availability zone.
func TestZonePreference(t *testing.T) {
	s := newSet(fleet(9)...)
	for range 3 {
		got := s.Choose(epoch, nil)
		if sv := s.Start(got[0]); sv.Zone != "zone-a" {
			t.Fatalf("first choice %s is in %s", got[0], sv.Zone)
		}
	}
	for range 300 {
		s.Start(s.Choose(epoch, nil)[0])
	}
	for _, b := range fleet(9) {
		if n := s.Outstanding(b.VM); n < 25 || n > 42 {
			t.Errorf("%s has %d of 303 requests on 9 servers", b.VM, n)
		}
	}
}

// TestFastFailuresAttractNoTraffic guards against a server that fails requests immediately, has none in flight, and
// therefore attracts the traffic of the other servers, which take 100 ms per request.
func TestFastFailuresAttractNoTraffic(t *testing.T) {
	s := newSet(fleet(3)...)
	type request struct {
		sv     *Server
		endsAt time.Time
	}
	var inFlight []request
	failed, total := 0, 0
	for ms := range 60_000 {
		now := epoch.Add(time.Duration(ms) * time.Millisecond)
		inFlight = slices.DeleteFunc(inFlight, func(r request) bool {
			if now.Before(r.endsAt) {
				return false
			}
			s.Done(now, r.sv, OutcomeOK)
			return true
		})
		if ms%10 != 0 {
			continue
		}
		total++
		sv := s.Start(s.Choose(now, nil)[0])
		if sv.VM == "vm-00000" {
			failed++
			s.Done(now, sv, OutcomeFailed)
			continue
		}
		inFlight = append(inFlight, request{sv, now.Add(100 * time.Millisecond)})
	}
	t.Logf("the failing server got %d of %d requests", failed, total)
	if failed*100 > total {
		t.Errorf("the failing server got %d of %d requests, over 1%%", failed, total)
	}
}

// TestSlowStartShareRises guards against a new server that immediately receives its full share of the requests, or none.
func TestSlowStartShareRises(t *testing.T) {
	bs := fleet(10)
	for i := range bs {
		bs[i].Zone = "zone-a"
	}
	s := newSet(bs[:9]...)
	s.Update(epoch, bs)
	share := func(age time.Duration) int {
		n := 0
		for range 10_000 {
			if s.Choose(epoch.Add(age), nil)[0] == bs[9].VM {
				n++
			}
		}
		return n
	}
	early, half, full := share(time.Second), share(5*time.Second), share(SlowStartDuration)
	t.Logf("first choices of 10,000 after 1 s: %d, 5 s: %d, 10 s: %d", early, half, full)
	if early == 0 || early > 300 || half < 350 || half > 750 || full < 850 || full > 1150 {
		t.Errorf("first choices of 10,000 after 1 s: %d, 5 s: %d, 10 s: %d", early, half, full)
	}
}

// TestBudgetBoundsAmplification guards against retries that multiply the load during an outage.
func TestBudgetBoundsAmplification(t *testing.T) {
	b := NewRetryBudget()
	attempts := 0
	for range 1000 {
		b.Deposit()
		attempts++
		for range 2 {
			if b.Withdraw() {
				attempts++
			}
		}
	}
	// The budget starts full, so the first deposit is lost: 1,000 + 10 + 999 × 0.08 attempts, rounded down.
	if attempts != 1089 {
		t.Fatalf("%d attempts for 1,000 requests", attempts)
	}
}

// TestHedgeDelay guards against hedges sent too early or too late, and against old latencies that are never discarded.
func TestHedgeDelay(t *testing.T) {
	l := NewLatencyEstimator()
	at := func(after, sample time.Duration, n int) time.Duration {
		for range n {
			l.Record(epoch.Add(after), sample)
		}
		return l.HedgeDelay(epoch.Add(after))
	}
	got := []time.Duration{
		at(0, time.Millisecond, 5),
		at(2*time.Second, time.Millisecond, 95),
		at(4*time.Second, 300*time.Millisecond, 900).Round(10 * time.Millisecond),
		at(6*time.Second, 30*time.Second, 9000),
		at(60*time.Second, time.Millisecond, 50),
	}
	want := []time.Duration{MaxHedgeDelay, MinHedgeDelay, 300 * time.Millisecond, MaxHedgeDelay, MinHedgeDelay}
	if !slices.Equal(got, want) {
		t.Fatalf("got %v, want %v", got, want)
	}
}

// TestChooseDoesNotAllocate guards against a decision that allocates memory, because its cost would grow under load.
func TestChooseDoesNotAllocate(t *testing.T) {
	s := newSet(fleet(1000)...)
	dst := make([]string, 0, MaxCandidates)
	if n := testing.AllocsPerRun(100, func() { dst = s.Choose(epoch, dst[:0]) }); n != 0 {
		t.Fatalf("%v allocations", n)
	}
}

// BenchmarkChoose measures one decision, including Start and Done of the request.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 10_000} {
		b.Run(fmt.Sprint("workers=", n), func(b *testing.B) {
			s := newSet(fleet(n)...)
			dst := make([]string, 0, MaxCandidates)
			ring := make([]*Server, 256)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				dst = s.Choose(epoch, dst[:0])
				if old := ring[i%len(ring)]; old != nil {
					s.Done(epoch, old, OutcomeOK)
				}
				ring[i%len(ring)] = s.Start(dst[0])
			}
		})
	}
}
