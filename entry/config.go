package entry

import (
	"net/http"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/trace"

	"github.com/berylwharf/berylwharf/admission"
)

// Config configures a Handler. Only Slots is required.
type Config struct {
	Node string
	// Zone is the availability zone of this node. At equal load, backend servers in this zone are preferred.
	Zone  string
	Slots Slots
	// Claims tracks request identifiers. If nil, requests are forwarded without checking their identifiers.
	Claims Claims
	// Clock returns the current time; nil means time.Now.
	Clock func() time.Time
	// Logger defaults to logrus.StandardLogger().
	Logger logrus.FieldLogger
	// Registry receives the metrics; nil means a new registry.
	Registry metrics.Registry
	// TracerProvider defaults to a no-op provider.
	TracerProvider trace.TracerProvider
	// Policy orders waiting requests; nil means admission.Weighted.
	Policy admission.Policy
	// Seed makes the random selection of backend servers reproducible. If it is 0, a random seed is used, because nodes
	// that make the same choices would load the same servers.
	Seed uint64
}

// NewServer returns an HTTP server for callers that supports HTTP/1.1 and cleartext HTTP/2. maxHeaderBytes limits the
// size of request headers.
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
	// readHeaderTimeout is the time within which a caller must send the request headers.
	readHeaderTimeout = 10 * time.Second
	callerIdleTimeout = 2 * time.Minute
)
