package statelog

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/berylwharf/berylwharf/resource"
)

// benchSizes are numbers of VMs. Each state also has the pools and customers that the system is designed for.
var benchSizes = []int{10, 100, 1000, 10_000}

const benchPools, benchCustomers = 34, 670

func benchRecord(b testing.TB, s *State, kind resource.Kind, name, spec string, base uint64) []byte {
	b.Helper()
	n := s.Next()
	data, err := EncodeRecord(&Record{
		ID: RecordID{1, byte(n >> 24), byte(n >> 16), byte(n >> 8), byte(n)}, Op: OpPut, ReadPos: n, BaseVersion: base,
		Author: "operator", Key: resource.Key{Kind: kind, Name: name}, Spec: []byte(spec), UnixMsec: 1_790_000_000_000,
	})
	if err != nil {
		b.Fatal(err)
	}
	return data
}

func benchState(b testing.TB, vms int) *State {
	b.Helper()
	s := New()
	put := func(kind resource.Kind, name, spec string) {
		if out := s.Apply(s.Next(), benchRecord(b, s, kind, name, spec, 0)); out.Status != StatusAccepted {
			b.Fatal(out)
		}
	}
	for i := range benchPools {
		put(resource.KindPool, fmt.Sprintf("pool-%d", i), `{"description":"backend servers of one team","minVMs":8}`)
	}
	for i := range benchCustomers {
		put(resource.KindCustomer, fmt.Sprintf("team-%d", i),
			fmt.Sprintf(`{"share":10,"quota":64,"availabilityBudget":{"pool-%d":{"maxUnavailable":1}}}`, i%benchPools))
	}
	for i := range vms {
		put(resource.KindVM, fmt.Sprintf("worker-%d", i), fmt.Sprintf(`{"pool":"pool-%d"}`, i%benchPools))
	}
	return s
}

func benchmarkSizes(b *testing.B, f func(b *testing.B, vms int)) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("vms=%d", n), func(b *testing.B) { f(b, n) })
	}
}

// moveRecord returns an encoded record that moves one VM to another pool.
func moveRecord(b *testing.B, s *State, vms, i int) []byte {
	key := resource.Key{Kind: resource.KindVM, Name: fmt.Sprintf("worker-%d", i%vms)}
	base := s.tables[kindIndex[key.Kind]].get(key.Name).res.Version
	return benchRecord(b, s, key.Kind, key.Name, fmt.Sprintf(`{"pool":"pool-%d"}`, i%benchPools), base)
}

func BenchmarkApply(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, vms int) {
		s := benchState(b, vms)
		size := 0
		b.ReportAllocs()
		b.ResetTimer()
		for i := range b.N {
			b.StopTimer()
			data := moveRecord(b, s, vms, i)
			size += len(data)
			b.StartTimer()
			s.Apply(s.Next(), data)
		}
		b.ReportMetric(float64(size)/float64(b.N), "record-B/change")
	})
}

// BenchmarkApplyAndView builds a view after each change, which is the worst case: batches of one record.
func BenchmarkApplyAndView(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, vms int) {
		s := benchState(b, vms)
		b.ReportAllocs()
		b.ResetTimer()
		for i := range b.N {
			b.StopTimer()
			data := moveRecord(b, s, vms, i)
			b.StartTimer()
			s.Apply(s.Next(), data)
			s.View()
		}
	})
}

func BenchmarkEncode(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, vms int) {
		s := benchState(b, vms)
		size := 0
		for b.Loop() {
			data, err := s.Encode()
			if err != nil {
				b.Fatal(err)
			}
			size = len(data)
		}
		b.ReportMetric(float64(size), "snapshot-B")
	})
}

func BenchmarkRestore(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, vms int) {
		data, err := benchState(b, vms).Encode()
		if err != nil {
			b.Fatal(err)
		}
		before := liveHeapBytes()
		s, err := Restore(data)
		if err != nil {
			b.Fatal(err)
		}
		state := liveHeapBytes() - before
		runtime.KeepAlive(s)
		b.ResetTimer()
		for range b.N {
			if _, err := Restore(data); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(state), "state-B")
	})
}

// liveHeapBytes returns the heap size after garbage collection.
func liveHeapBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
