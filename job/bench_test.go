package job

import (
	"fmt"
	"testing"
	"time"
)

// fullPool returns a pool whose workers are all full, with jobs of a number of customers that wait.
func fullPool(workers, customers int) (*Pool, Time) {
	now := Time{Steady: time.Hour, WallMs: 1_000_000}
	p := New(Config{Pool: "pool", MinRunNumber: 1, MaxLease: time.Hour, FinishedRetention: time.Minute, CrossRackFactor: 2}, now)
	limits := make(map[string]CustomerLimits)
	for i := range customers {
		limits[fmt.Sprint("c", i)] = CustomerLimits{Weight: 1e6}
	}
	p.SetCustomers(limits)
	var infos []WorkerInfo
	for i := range workers {
		infos = append(infos, WorkerInfo{
			ID: fmt.Sprintf("w%03d", i), Rack: fmt.Sprint(i / 8), Capacity: Resources{CPU: 64000, MemMB: 256000},
		})
	}
	p.UpdateDirectory(infos, now)
	for _, i := range infos {
		p.Report(Report{Worker: i.ID, Incarnation: 1, SentAt: now.Steady}, now)
	}
	for i := range workers * 4 {
		s := &Spec{ID: fmt.Sprintf("j%d", i), Pool: "pool", Queue: "queue", Attempts: 2, ObjectiveFactor: 1.6, Steps: []Step{
			{Count: 8, Request: Resources{CPU: 6000, MemMB: 7000}, Estimate: time.Second, MaxPerWorker: 3},
			{Count: 8, Request: Resources{CPU: 6000, MemMB: 7000}, Estimate: time.Second, DependsOn: []int{0}},
		}}
		if customers > 0 {
			s.Customer = fmt.Sprint("c", i%customers)
		}
		p.Submit(s, now)
	}
	for c := p.TakeCommit(); c != nil; c = p.TakeCommit() {
		p.Committed(c, now)
	}
	p.Tick(now)
	p.TakeOrders()
	p.TakeEvents()
	for _, w := range p.workers {
		for _, r := range w.runs {
			r.state, r.activeSince = runActive, now.Steady
		}
	}
	return p, now
}

// BenchmarkTick measures one scheduling pass under overload: all workers are full and jobs wait. The difference to zero
// customers is the cost of the shares.
func BenchmarkTick(b *testing.B) {
	for _, c := range [][2]int{{12, 0}, {50, 0}, {350, 0}, {1000, 0}, {1000, 20}, {1000, 2000}, {10000, 0}, {10000, 20}, {10000, 2000}} {
		b.Run(fmt.Sprintf("workers=%d/customers=%d", c[0], c[1]), func(b *testing.B) {
			p, now := fullPool(c[0], c[1])
			for b.Loop() {
				p.Tick(now)
			}
		})
	}
}

// BenchmarkAdmission measures the decision on a job of a customer that has used its share of a full pool.
func BenchmarkAdmission(b *testing.B) {
	for _, c := range [][2]int{{1000, 20}, {1000, 2000}, {10000, 20}, {10000, 2000}} {
		p, now := fullPool(c[0], c[1])
		b.Run(fmt.Sprintf("workers=%d/customers=%d", c[0], c[1]), func(b *testing.B) {
			for b.Loop() {
				p.checkAdmission(p.jobs["j0"].spec, now)
			}
		})
	}
}
