package entry

import (
	"crypto/sha256"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/berylwharf/berylwharf/admission"
	"github.com/berylwharf/berylwharf/claims"
	"github.com/berylwharf/berylwharf/resource"
	"github.com/berylwharf/berylwharf/verdict"
)

// Header names of the protocol with callers and backend servers.
const (
	HeaderCustomer  = "Berylwharf-Customer"
	HeaderUrgency   = "Berylwharf-Urgency"
	HeaderDeadline  = "Berylwharf-Deadline-Ms"
	HeaderAttempt   = "Berylwharf-Attempt"
	HeaderRequestID = "Berylwharf-Request-Id"
	HeaderReplayed  = "Berylwharf-Replayed"
	HeaderKey       = "Idempotency-Key"

	// rawHeaderKey is HeaderKey as a non-canonical map key, which http.Transport does not recognise. With the canonical
	// key, the transport would replay the request when a reused connection breaks.
	rawHeaderKey      = "idempotency-key"
	servicePathPrefix = "/svc/"
	// maxDeadline is the longest deadline that a caller may request.
	maxDeadline = time.Hour
)

// request is a validated request of a caller.
type request struct {
	id           string
	service      string
	customer     string
	urgency      admission.Urgency
	deadline     time.Time
	key          string
	firstAttempt bool
	repeatable   bool
	method       string
	host         string
	url          url.URL // path and query for the backend server
	header       http.Header
	body         []byte
	spec         *resource.Service
}

// needsClaim reports whether the request must claim its identifier before it runs.
func (rq *request) needsClaim() bool { return rq.key != "" && !rq.repeatable }

// refusalBeforeClaim adjusts the verdict of a refusal that is decided before the identifier is claimed. The verdict
// applies to the key, and for a later attempt it is unknown whether an earlier one ran.
func (rq *request) refusalBeforeClaim(e *verdict.Error) *verdict.Error {
	if rq.key != "" && !rq.firstAttempt && !rq.repeatable {
		e.Verdict = verdict.MayHaveRun
	}
	return e
}

func badRequest(message string) *verdict.Error {
	return notRun(verdict.ReasonBadRequest, http.StatusBadRequest, message)
}

// parseHeaders parses the headers of the protocol into rq. The error names the header and the permitted values.
func parseHeaders(r *http.Request, rq *request) *verdict.Error {
	id, err := uuid.NewV7()
	if err != nil {
		return verdict.Wrap(err, verdict.NotRun, verdict.ReasonInternal, http.StatusInternalServerError,
			"no request identifier")
	}
	rq.id = id.String()
	rq.method = r.Method
	for _, name := range []string{HeaderCustomer, HeaderUrgency, HeaderDeadline, HeaderAttempt, HeaderKey} {
		if len(r.Header[name]) > 1 {
			return badRequest(name + ": more than one value")
		}
	}
	if e := rq.parseKey(r.Header); e != nil {
		return e
	}
	rq.customer = r.Header.Get(HeaderCustomer)
	if rq.customer == "" {
		return badRequest(HeaderCustomer + ": missing")
	}
	if rq.urgency, err = admission.ParseUrgency(r.Header.Get(HeaderUrgency)); err != nil {
		return badRequest(HeaderUrgency + ": " + err.Error())
	}
	if r.Method == http.MethodConnect || r.Method == http.MethodTrace {
		return badRequest("method " + r.Method + " is not supported")
	}
	if r.Header.Get("Upgrade") != "" {
		return badRequest("Upgrade: protocol changes are not supported")
	}
	return nil
}

func (rq *request) parseKey(h http.Header) *verdict.Error {
	if v, ok := h[HeaderKey]; ok {
		if len(v[0]) == 0 || len(v[0]) > claims.MaxKeyBytes || !isPrintableASCII(v[0]) {
			return badRequest(HeaderKey + ": 1 to 128 printable ASCII characters are required")
		}
		rq.key = v[0]
	}
	v := h.Get(HeaderAttempt)
	if v == "" {
		return nil
	}
	n, err := strconv.ParseUint(v, 10, 31)
	if err != nil || n == 0 {
		return badRequest(HeaderAttempt + ": a positive number is required")
	}
	rq.firstAttempt = n == 1
	return nil
}

func isPrintableASCII(s string) bool {
	for i := range len(s) {
		if s[i] < 0x20 || s[i] > 0x7e {
			return false
		}
	}
	return true
}

// parseDeadline sets the deadline from the header, or from the service's default if there is none.
func (rq *request) parseDeadline(h http.Header, now time.Time) *verdict.Error {
	ms := rq.spec.DefaultDeadlineMs
	if v := h.Get(HeaderDeadline); v != "" {
		n, err := strconv.ParseInt(v, 10, 64)
		if err != nil || n <= 0 || n > maxDeadline.Milliseconds() {
			return badRequest(HeaderDeadline + ": a number from 1 to " +
				strconv.FormatInt(maxDeadline.Milliseconds(), 10) + " is required")
		}
		ms = n
	}
	rq.deadline = now.Add(time.Duration(ms) * time.Millisecond)
	return nil
}

// resolve sets the service from the path or the host, and the URL for the backend server. A path /svc/{service}/rest is
// forwarded as /rest.
func (rq *request) resolve(r *http.Request, hosts map[string]string) {
	rq.host = r.Host
	rq.url = url.URL{Scheme: "http", Path: r.URL.Path, RawPath: r.URL.RawPath, RawQuery: r.URL.RawQuery}
	if rest, ok := strings.CutPrefix(r.URL.Path, servicePathPrefix); ok {
		name, path, _ := strings.Cut(rest, "/")
		rq.service = name
		rq.url.Path = "/" + path
		if raw, ok := strings.CutPrefix(r.URL.RawPath, servicePathPrefix+name); ok {
			rq.url.RawPath = raw
		} else {
			rq.url.RawPath = ""
		}
		return
	}
	host := r.Host
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	rq.service = hosts[strings.ToLower(host)]
}

// readBody reads the body. It fails if the body is longer than the service's limit.
func (rq *request) readBody(w http.ResponseWriter, r *http.Request) *verdict.Error {
	limit := rq.spec.MaxBodyBytes
	if r.ContentLength > limit {
		return tooLarge(limit)
	}
	if r.Body == nil || r.Body == http.NoBody {
		return nil
	}
	rc := http.NewResponseController(w)
	// An error means that the writer does not support deadlines, as in tests, where the body is in memory.
	_ = rc.SetReadDeadline(rq.deadline)
	var err error
	// The memory follows what arrives. A client that only announces a body must not take memory for it.
	rq.body, err = io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		e := badRequest("the body is incomplete")
		e.Cause = errors.Wrap(err, "read body")
		return e
	}
	if int64(len(rq.body)) > limit {
		return tooLarge(limit)
	}
	_ = rc.SetReadDeadline(time.Time{})
	return nil
}

func tooLarge(limit int64) *verdict.Error {
	return notRun(verdict.ReasonTooLarge, http.StatusRequestEntityTooLarge,
		"the body exceeds "+strconv.FormatInt(limit, 10)+" bytes")
}

// fingerprint returns the SHA-256 hash of the method, the path with query, and the body. Method and path are prefixed
// with their lengths, so that different requests never have the same hash input.
func (rq *request) fingerprint() claims.Fingerprint {
	h := sha256.New()
	for _, part := range []string{rq.method, rq.url.RequestURI()} {
		// Writes to a hash never return an error.
		_, _ = io.WriteString(h, strconv.Itoa(len(part))+":"+part)
	}
	_, _ = h.Write(rq.body)
	return claims.Fingerprint(h.Sum(nil))
}
