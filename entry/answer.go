package entry

import (
	"bytes"
	"io"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"

	"github.com/berylwharf/berylwharf/claims"
	"github.com/berylwharf/berylwharf/verdict"
)

// response is the response of a backend server. If remaining is nil, body is the complete body. Otherwise the response is
// streamed: body is its first part and remaining reads the rest.
type response struct {
	status    int
	header    http.Header
	trailer   http.Header
	body      []byte
	remaining io.Reader
	length    int64 // Content-Length; -1 if the response is chunked
	isHead    bool
	onEnd     func(complete bool)
}

const copyBufferBytes = 64 << 10

// hopByHop lists the hop-by-hop headers, which apply to a single connection (RFC 9110, section 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

// endToEndHeader returns a copy of h without hop-by-hop headers and without the headers that only entry nodes set.
func endToEndHeader(h http.Header) http.Header {
	out := make(http.Header, len(h)+4)
	for k, v := range h {
		out[k] = v
	}
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			delete(out, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	for _, k := range hopByHop {
		delete(out, k)
	}
	delete(out, verdict.Header)
	delete(out, HeaderReplayed)
	return out
}

// backendHeader returns the headers to send to the backend server, given the caller's headers.
func (rq *request) backendHeader(h http.Header) http.Header {
	out := endToEndHeader(h)
	for _, k := range []string{HeaderKey, HeaderAttempt, HeaderDeadline, "Expect", "Content-Length", "Traceparent", "Tracestate"} {
		delete(out, k)
	}
	if rq.key != "" {
		out[rawHeaderKey] = []string{rq.key}
	}
	out[HeaderRequestID] = []string{rq.id}
	if _, ok := out["User-Agent"]; !ok {
		// An empty value prevents the transport from adding its default.
		out["User-Agent"] = []string{""}
	}
	return out
}

func newBody(b []byte) io.ReadCloser { return io.NopCloser(bytes.NewReader(b)) }

// discard reads and drops the rest of a response that is no longer needed, so that the end of the request and thus the
// release of its slot is known.
func (r *response) discard() {
	if r.remaining == nil {
		return
	}
	_, err := io.Copy(io.Discard, r.remaining)
	r.onEnd(err == nil)
}

// write sends the response to the caller. It returns false if a streamed response ended early, in which case the caller's
// connection must be aborted.
func (r *response) write(w http.ResponseWriter, id string) bool {
	h := w.Header()
	for k, v := range r.header {
		h[k] = v
	}
	h.Set(HeaderRequestID, id)
	if _, ok := h["Content-Type"]; !ok {
		// A nil value prevents net/http from detecting a content type.
		h["Content-Type"] = nil
	}
	r.setLength(h)
	w.WriteHeader(r.status)
	_, err := w.Write(r.body)
	complete := true
	if r.remaining != nil {
		complete = r.stream(w, err)
	}
	if complete {
		for k, v := range r.trailer {
			h[http.TrailerPrefix+k] = v
		}
	}
	return complete
}

func (r *response) setLength(h http.Header) {
	delete(h, "Content-Length")
	switch {
	case len(r.trailer) > 0:
	case r.isHead || r.remaining != nil:
		if r.length >= 0 {
			h.Set("Content-Length", strconv.FormatInt(r.length, 10))
		}
	case r.status != http.StatusNoContent && r.status != http.StatusNotModified:
		h.Set("Content-Length", strconv.Itoa(len(r.body)))
	}
}

// stream copies the rest of the response to w and reports whether it was complete. If writing fails, which callerErr
// reports for the first part, the rest is still read.
func (r *response) stream(w http.ResponseWriter, callerErr error) bool {
	buf := make([]byte, copyBufferBytes)
	for {
		n, err := r.remaining.Read(buf)
		if n > 0 && callerErr == nil {
			_, callerErr = w.Write(buf[:n])
		}
		if err == io.EOF { //nolint:errorlint // io.Reader returns io.EOF itself
			r.onEnd(true)
			return true
		}
		if err != nil {
			r.onEnd(false)
			return false
		}
	}
}

// toStored returns the response in the form in which it is stored for replay, or nil if it is too large.
func (r *response) toStored() *claims.StoredResponse {
	if r.remaining != nil || len(r.body) > claims.MaxStoredResponseBytes {
		return nil
	}
	return &claims.StoredResponse{Status: r.status, Headers: r.header, Body: r.body}
}

// replayedResponse returns the response for a duplicate request, made from the stored response.
func replayedResponse(stored *claims.StoredResponse, isHead bool) *response {
	h := make(http.Header, len(stored.Headers)+2)
	for k, v := range stored.Headers {
		h[k] = v
	}
	h.Set(HeaderReplayed, "true")
	return &response{status: stored.Status, header: h, body: stored.Body, length: int64(len(stored.Body)), isHead: isHead}
}
