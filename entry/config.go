package entry

import (
	"net/http"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/trace"

	"github.com/berylwharf/berylwharf/admission"
)

// Config holds what a Handler needs. Only Slots is required.
type Config struct {
	Node string
	// Zone is the availability zone of this node; backend servers in it are preferred on equal load.
	Zone  string
	Slots Slots
	// Claims may be nil: identifiers are then forwarded without a check.
	Claims Claims
	// Clock is time.Now when nil.
	Clock func() time.Time
	// Logger is logrus.StandardLogger() when nil.
	Logger logrus.FieldLogger
	// Registry is a new registry when nil.
	Registry metrics.Registry
	// TracerProvider is a no-op provider when nil.
	TracerProvider trace.TracerProvider
	// Policy orders waiting requests; admission.Weighted when nil.
	Policy admission.Policy
	// Seed makes the random choices of backend servers reproducible. With 0 each node gets its own random seed, since
	// nodes that choose alike would load the same servers.
	Seed uint64
}

// NewServer returns an HTTP server for callers that speaks HTTP/1.1 and cleartext HTTP/2. maxHeaderBytes bounds a
// request's headers.
func NewServer(h http.Handler, maxHeaderBytes int) *http.Server {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           h,
		Protocols:         p,
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       callerIdleTimeout,
	}
}

const (
	// readHeaderTimeout bounds how long a caller may take to send its headers.
	readHeaderTimeout = 10 * time.Second
	callerIdleTimeout = 2 * time.Minute
)
