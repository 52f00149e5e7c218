package entry

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/berylwharf/berylwharf/resource"
)

const (
	benchWorkers  = 128 // 1,024 slots
	benchRequests = 4096
	benchRounds   = 3
)

// plainProxy is a minimal reverse proxy, the baseline of BenchmarkAgainstRelay. It sends each request to the next address
// in turn and copies the response.
type plainProxy struct {
	addrs []string
	next  atomic.Uint64
	tr    *http.Transport
}

func (p *plainProxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	addr := p.addrs[p.next.Add(1)%uint64(len(p.addrs))]
	out, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+addr+r.URL.Path, r.Body)
	if err != nil {
		panic(err)
	}
	out.ContentLength = r.ContentLength
	out.Header = r.Header.Clone()
	resp, err := p.tr.RoundTrip(out)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	defer resp.Body.Close()
	for k, v := range resp.Header {
		w.Header()[k] = v
	}
	w.WriteHeader(resp.StatusCode)
	io.Copy(w, resp.Body)
}

type measurement struct {
	latencies []time.Duration
	elapsed   time.Duration
	allocs    uint64
	failed    int64
}

// load sends benchRequests requests from n concurrent callers and adds to the measurement. The allocations are those of
// the whole process.
func (f *measurement) load(url string, n int) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: n}}
	defer client.CloseIdleConnections()
	var left, failed atomic.Int64
	left.Store(benchRequests)
	perCaller := make([][]time.Duration, n)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	start := time.Now()
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			for left.Add(-1) >= 0 {
				began := time.Now()
				req, _ := http.NewRequest("POST", url+"/svc/booking/x", strings.NewReader("slot 9"))
				req.Header.Set(HeaderCustomer, "tanglaw")
				resp, err := client.Do(req)
				if err != nil {
					failed.Add(1)
					continue
				}
				io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				if resp.StatusCode != http.StatusOK {
					failed.Add(1)
				}
				perCaller[i] = append(perCaller[i], time.Since(began))
			}
		})
	}
	wg.Wait()
	f.elapsed += time.Since(start)
	runtime.ReadMemStats(&after)
	f.allocs += after.Mallocs - before.Mallocs
	f.failed += failed.Load()
	f.latencies = append(f.latencies, slices.Concat(perCaller...)...)
}

func (f *measurement) quantile(q float64) float64 {
	slices.Sort(f.latencies)
	return float64(f.latencies[int(q*float64(len(f.latencies)-1))].Microseconds())
}

// BenchmarkAgainstRelay compares the handler with a plain proxy. Rounds of the two alternate in the same run. The ns/op
// figure is meaningless.
func BenchmarkAgainstRelay(b *testing.B) {
	for _, n := range []int{1, 64, 1024} {
		b.Run(fmt.Sprint("callers=", n), func(b *testing.B) {
			var addrs []string
			for range benchWorkers {
				addr, _ := echoServer(b, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "booked") })
				addrs = append(addrs, addr)
			}
			node := newNode(b, func(_ *Config, s *resource.Service) { s.QueueLimit = 4096 }, addrs...)
			plain := httptest.NewServer(&plainProxy{addrs: addrs, tr: &http.Transport{MaxIdleConnsPerHost: SlotsPerWorker}})
			defer plain.Close()
			for b.Loop() {
				var own, base measurement
				for range benchRounds {
					base.load(plain.URL, n)
					own.load(node.srv.URL, n)
				}
				const total = benchRounds * benchRequests
				b.ReportMetric(base.elapsed.Seconds()/own.elapsed.Seconds(), "throughput-ratio")
				b.ReportMetric(total/own.elapsed.Seconds(), "requests/s")
				b.ReportMetric(own.quantile(0.5)-base.quantile(0.5), "added-p50-us")
				b.ReportMetric(own.quantile(0.99)-base.quantile(0.99), "added-p99-us")
				b.ReportMetric((float64(own.allocs)-float64(base.allocs))/total, "added-allocs/request")
				b.ReportMetric(float64(own.failed+base.failed), "failed")
			}
		})
	}
}
