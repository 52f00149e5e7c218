package connlimit_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/berylwharf/berylwharf/connlimit"
	"github.com/berylwharf/berylwharf/job"
	"github.com/berylwharf/berylwharf/jobmanager"
	"github.com/berylwharf/berylwharf/platform"
)

// jobService accepts all jobs.
type jobService struct {
	platform.JobService
	config *jobmanager.Config
}

func (s jobService) View() jobmanager.View { return jobmanager.View{Config: s.config} }
func (s jobService) Ready() bool           { return true }
func (s jobService) Submit(context.Context, jobmanager.QueueRef, *job.Spec) error {
	return nil
}

// BenchmarkProtected measures submissions to the callers' handler over loopback, on connections that are kept, with and
// without the account.
func BenchmarkProtected(b *testing.B) {
	for _, kind := range []string{"plain", "protected"} {
		b.Run(kind, func(b *testing.B) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			config := &jobmanager.Config{Routes: []jobmanager.Route{{Name: "q", Host: "h", PathPrefix: "/q/", Pool: "p"}}}
			log := jobmanager.NewLog(io.Discard, "n")
			srv := &http.Server{ReadHeaderTimeout: 5 * time.Second, Handler: platform.NewCallerHandler(jobService{config: config}, jobmanager.SystemClock{}, log)}
			addr := l.Addr().String()
			if kind == "protected" {
				a := connlimit.NewAccount(connlimit.Limits{}, nil)
				l = a.Protect(srv, l, connlimit.Server{Name: "callers", DecodesJSON: true})
			}
			go func() { _ = srv.Serve(l) }()
			b.Cleanup(func() { _ = srv.Close(); log.Close() })
			client := http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
			body := `{"spec":"payload","steps":[{"count":4,"cpu":500,"memMb":100,"estimateMs":150},{"count":1,"cpu":500,"dependsOn":[0]}]}`
			b.SetParallelism(4)
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					req, err := http.NewRequest(http.MethodPost, "http://"+addr+"/q/0123456789abcdef", strings.NewReader(body))
					if err != nil {
						b.Fatal(err)
					}
					req.Host = "h"
					req.Header.Set("X-Deadline-Ms", "3000")
					resp, err := client.Do(req)
					if err != nil {
						b.Fatal(err)
					}
					_, _ = io.Copy(io.Discard, resp.Body)
					_ = resp.Body.Close()
					if resp.StatusCode != http.StatusOK {
						b.Fatalf("status %d", resp.StatusCode)
					}
				}
			})
		})
	}
}
