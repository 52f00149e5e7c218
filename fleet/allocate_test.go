package fleet

import (
	"fmt"
	"testing"
	"time"
)

// TestFloodLeavesSmallDemandsAlone guards against a queue whose peak asks for more than the whole fleet and takes the
// machines that another pool's small but steady demand needs. In a replay of the large site's small twin, a pool that
// needed 18 of 130 machines had 5 while another one asked for 300.
func TestFloodLeavesSmallDemandsAlone(t *testing.T) {
	w := newTestFleet(t, map[string]int{"a": 60, "b": 18, "spare": 0})
	for range 60 {
		w.loads["a"] = Load{Used: float64(w.poolSize("a")), Waiting: 200, OfferedLoad: 250}
		w.loads["b"] = Load{Used: 12, OfferedLoad: 12}
		w.round()
	}
	if got := w.poolSize("b"); got < 14 {
		t.Fatalf("the pool whose work needs 14 machines has %d", got)
	}
}

// TestHeadroomOfManyPools guards against pools that together keep more machines in reserve than exist, so that none goes
// on standby and each peak finds the machines divided up.
func TestHeadroomOfManyPools(t *testing.T) {
	const pools, machines = 34, 340
	o := Observation{Pools: []Pool{{Name: "spare", Standby: true}}, Loads: make(map[string]Load)}
	for i := range machines {
		pool := fmt.Sprintf("p%02d", i%pools)
		worker := fmt.Sprintf("w%d", i)
		o.Machines = append(o.Machines, Machine{Host: fmt.Sprintf("m%d", i), Pool: pool, State: Up, Worker: worker})
		l := o.Loads[pool]
		l.Used, l.Workers = 1, append(l.Workers, WorkerLoad{Worker: worker})
		o.Loads[pool] = l
	}
	for pool := range o.Loads {
		o.Pools = append(o.Pools, Pool{Name: pool})
	}
	c := New(0, 0)
	c.Observe(o, time.Hour)
	need := 0
	for _, b := range c.Plan(time.Hour).Balances {
		need += b.Need
	}
	if need > machines {
		t.Fatalf("%d pools that use a machine each want %d of %d machines", pools, need, machines)
	}
}
