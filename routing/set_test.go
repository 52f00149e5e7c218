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

// The random cases are the same in each run; -rapid.seed overrides the seed.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}

var epoch = time.Unix(1_700_000_000, 0)

func newSet(backends ...Backend) *Set {
	s := NewSet("zone-a", rand.New(rand.NewPCG(1, 2)))
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

// TestSetTables guards against wrong ejections, servers that return too early or never, and new work on servers that
// leave.
func TestSetTables(t *testing.T) {
	var s *Set
	var held *Server
	now := epoch
	outcomes := map[string]Outcome{"fail": OutcomeFailed, "ok": OutcomeOK, "timeout": OutcomeTimeout}
	probes := map[string]Probe{"alive": ProbeAlive, "dead": ProbeDead, "leaving": ProbeLeaving}
	datadriven.RunTest(t, "testdata/set", func(t *testing.T, d *datadriven.TestData) string {
		var vm, span, p string
		var n int
		d.MaybeScanArgs(t, "vm", &vm)
		d.MaybeScanArgs(t, "d", &span)
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
			dur, _ := time.ParseDuration(span)
			now = now.Add(dur)
		case "choose":
			// Slow start leaves servers out at random; the union of many decisions is stable.
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
			if held = s.Start(vm); held == nil {
				return "refused\n"
			}
			return fmt.Sprintf("outstanding=%d\n", s.Outstanding(vm))
		case "done":
			s.Done(now, heldOf(s, held), OutcomeOK)
		case "outstanding":
			return fmt.Sprintln(s.Outstanding(vm))
		case "state":
			return describe(s, now)
		}
		return ""
	})
}

// heldOf returns the started server that the last refused start has hidden.
func heldOf(s *Set, held *Server) *Server {
	if held != nil {
		return held
	}
	for _, sv := range s.byVM {
		if sv.outstanding > 0 {
			return sv
		}
	}
	return nil
}

func describe(s *Set, now time.Time) string {
	s.returnEjected(now)
	var lines []string
	for vm, sv := range s.byVM {
		line := fmt.Sprintf("%s load=%.1f", vm, sv.load(now))
		if s.Ejected(vm) {
			line += " ejected"
		}
		if w := sv.slowWeight(now); w < 1 {
			line += fmt.Sprintf(" slow=%.2f", w)
		}
		lines = append(lines, line+"\n")
	}
	slices.Sort(lines)
	return strings.Join(lines, "")
}

// TestChoiceKeepsInvariants guards against a list that names a server twice, an excluded one or one that left, and
// against broken bookkeeping under any order of events.
func TestChoiceKeepsInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSet(fleet(5)...)
		now := epoch
		var held []*Server
		listed := fleet(5)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			vm := fmt.Sprintf("vm-%05d", rapid.IntRange(0, 7).Draw(t, "vm"))
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				listed = rapid.Permutation(fleet(8)).Draw(t, "listed")[:rapid.IntRange(0, 8).Draw(t, "n")]
				s.Update(now, listed)
			case 1:
				if sv := s.Start(vm); sv != nil {
					held = append(held, sv)
				}
			case 2:
				if len(held) > 0 {
					s.Done(now, held[0], Outcome(rapid.IntRange(1, 4).Draw(t, "outcome")))
					held = held[1:]
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
			if total != len(held) {
				t.Fatalf("%d requests counted, %d in flight", total, len(held))
			}
		}
	})
}

// TestZonePreference guards against cross-zone traffic on equal load, and against a preference that overloads the own
// zone.
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

// TestFastFailuresAttractNoTraffic guards against a server that fails at once, therefore looks idle, and draws the
// traffic of all others. The others take 100 ms for a request.
func TestFastFailuresAttractNoTraffic(t *testing.T) {
	s := newSet(fleet(3)...)
	type run struct {
		sv   *Server
		ends time.Time
	}
	var running []run
	bad, total := 0, 0
	for ms := range 60_000 {
		now := epoch.Add(time.Duration(ms) * time.Millisecond)
		running = slices.DeleteFunc(running, func(r run) bool {
			if now.Before(r.ends) {
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
			bad++
			s.Done(now, sv, OutcomeFailed)
			continue
		}
		running = append(running, run{sv, now.Add(100 * time.Millisecond)})
	}
	t.Logf("the failing server got %d of %d requests", bad, total)
	if bad*100 > total {
		t.Errorf("the failing server got %d of %d requests, over 1%%", bad, total)
	}
}

// TestSlowStartShareRises guards against a new server that gets its full share, or nothing, at once.
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
	early, half, full := share(time.Second), share(5*time.Second), share(SlowStart)
	t.Logf("first choices of 10,000 after 1 s: %d, 5 s: %d, 10 s: %d", early, half, full)
	if early == 0 || early > 300 || half < 350 || half > 750 || full < 850 || full > 1150 {
		t.Errorf("first choices of 10,000 after 1 s: %d, 5 s: %d, 10 s: %d", early, half, full)
	}
}

// TestBudgetBoundsAmplification guards against retries that multiply the load of an outage.
func TestBudgetBoundsAmplification(t *testing.T) {
	b := NewBudget()
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
	// The budget starts full, so the first deposit is lost: 1,000 + 10 + 999 × 0.08, rounded down.
	if attempts != 1089 {
		t.Fatalf("%d attempts for 1,000 requests", attempts)
	}
}

// TestHedgeDelay guards against hedges that come too early or too late, and against latencies that are never forgotten.
func TestHedgeDelay(t *testing.T) {
	l := NewLatency()
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
	want := []time.Duration{HedgeMax, HedgeMin, 300 * time.Millisecond, HedgeMax, HedgeMin}
	if !slices.Equal(got, want) {
		t.Fatalf("got %v, want %v", got, want)
	}
}

// TestChooseDoesNotAllocate guards against a decision that allocates, which would not stay flat under load.
func TestChooseDoesNotAllocate(t *testing.T) {
	s := newSet(fleet(1000)...)
	dst := make([]string, 0, MaxCandidates)
	if n := testing.AllocsPerRun(100, func() { dst = s.Choose(epoch, dst[:0]) }); n != 0 {
		t.Fatalf("%v allocations", n)
	}
}

// BenchmarkChoose measures one decision, with the request's start and end.
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
