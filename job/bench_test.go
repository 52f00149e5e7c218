package job

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkTick measures one scheduling pass under overload: all workers are full and jobs wait.
func BenchmarkTick(b *testing.B) {
	for _, workers := range []int{12, 50, 350, 1100, 10000} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			now := Time{Steady: time.Hour, WallMs: 1_000_000}
			p := New(Config{Pool: "pool", MinRunNumber: 1, MaxLease: time.Hour, FinishedRetention: time.Minute, CrossRackFactor: 2}, now)
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
			for b.Loop() {
				p.Tick(now)
			}
		})
	}
}
