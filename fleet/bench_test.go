package fleet

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkRound measures one planning round in which one pool needs more machines than it has and half of the machines
// are due for maintenance.
func BenchmarkRound(b *testing.B) {
	for _, machines := range []int{50, 350, 1100, 10000} {
		b.Run(fmt.Sprintf("machines=%d", machines), func(b *testing.B) {
			pools := []Pool{{Name: "p0"}, {Name: "p1"}, {Name: "p2"}, {Name: "p3"}, {Name: "spare", Standby: true}}
			o := Observation{Pools: pools, Loads: make(map[string]Load)}
			wave := Wave{Number: 1, Deadline: time.Minute, MaxUnavailable: machines / 5}
			for i := range machines {
				m := Machine{Host: fmt.Sprintf("m%05d", i), Pool: pools[i%5].Name, State: Up, Worker: fmt.Sprintf("w%05d", i)}
				o.Machines = append(o.Machines, m)
				l := o.Loads[m.Pool]
				l.Workers = append(l.Workers, WorkerLoad{Worker: m.Worker, Runs: i % 3, AgeMs: 60_000})
				o.Loads[m.Pool] = l
				if i%2 == 0 {
					wave.Hosts = append(wave.Hosts, m.Host)
				}
			}
			delete(o.Loads, "spare")
			peak := o.Loads["p0"]
			peak.Used, peak.Waiting = float64(machines/5), float64(machines/4)
			o.Loads["p0"] = peak
			o.Waves = []Wave{wave}
			for b.Loop() {
				c := New(0, 0)
				c.Observe(o, time.Hour)
				c.Plan(time.Hour)
				c.Observe(o, time.Hour+200*time.Millisecond)
				c.Plan(time.Hour + 200*time.Millisecond)
			}
		})
	}
}
