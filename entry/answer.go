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

// answer is a backend server's answer. It is complete when rest is nil; otherwise body is its first part.
type answer struct {
	status  int
	header  http.Header
	trailer http.Header
	body    []byte
	rest    io.Reader
	length  int64 // -1 when the answer is chunked
	head    bool
	done    func(complete bool)
}

const copyBufferBytes = 64 << 10

// hopByHop lists the headers that concern one connection (RFC 9110, section 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

// endToEnd returns a copy of h without hop-by-hop headers and without headers that only this node may set.
func endToEnd(h http.Header) http.Header {
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

// forwarded returns the headers for the backend server.
func (rq *request) forwarded(h http.Header) http.Header {
	out := endToEnd(h)
	for _, k := range []string{HeaderKey, HeaderAttempt, HeaderDeadline, "Expect", "Content-Length", "Traceparent", "Tracestate"} {
		delete(out, k)
	}
	if rq.key != "" {
		out[rawHeaderKey] = []string{rq.key}
	}
	out[HeaderRequestID] = []string{rq.id}
	if _, ok := out["User-Agent"]; !ok {
		// An empty value keeps the transport from adding its own.
		out["User-Agent"] = []string{""}
	}
	return out
}

func newBody(b []byte) io.ReadCloser { return io.NopCloser(bytes.NewReader(b)) }

// discard reads the rest of an answer that nobody waits for, so that its slot is free at a known time.
func (a *answer) discard() {
	if a.rest == nil {
		return
	}
	_, err := io.Copy(io.Discard, a.rest)
	a.done(err == nil)
}

// write sends the answer to the caller. It returns false when a streamed answer ended early; the caller's connection
// must then be aborted.
func (a *answer) write(w http.ResponseWriter, id string) bool {
	h := w.Header()
	for k, v := range a.header {
		h[k] = v
	}
	h.Set(HeaderRequestID, id)
	if _, ok := h["Content-Type"]; !ok {
		// A nil value keeps net/http from guessing one.
		h["Content-Type"] = nil
	}
	a.setLength(h)
	w.WriteHeader(a.status)
	_, err := w.Write(a.body)
	complete := true
	if a.rest != nil {
		complete = a.stream(w, err)
	}
	if complete {
		for k, v := range a.trailer {
			h[http.TrailerPrefix+k] = v
		}
	}
	return complete
}

func (a *answer) setLength(h http.Header) {
	delete(h, "Content-Length")
	switch {
	case len(a.trailer) > 0:
	case a.head || a.rest != nil:
		if a.length >= 0 {
			h.Set("Content-Length", strconv.FormatInt(a.length, 10))
		}
	case a.status != http.StatusNoContent && a.status != http.StatusNotModified:
		h.Set("Content-Length", strconv.Itoa(len(a.body)))
	}
}

// stream copies the rest of the answer. When the caller is gone, the rest is still read.
func (a *answer) stream(w http.ResponseWriter, callerErr error) bool {
	buf := make([]byte, copyBufferBytes)
	for {
		n, err := a.rest.Read(buf)
		if n > 0 && callerErr == nil {
			_, callerErr = w.Write(buf[:n])
		}
		if err == io.EOF { //nolint:errorlint // io.Reader returns io.EOF itself
			a.done(true)
			return true
		}
		if err != nil {
			a.done(false)
			return false
		}
	}
}

// stored returns the answer in the form that is kept for replay, nil when it is too large.
func (a *answer) stored() *claims.Answer {
	if a.rest != nil || len(a.body) > claims.MaxStoredAnswerBytes {
		return nil
	}
	return &claims.Answer{Status: a.status, Headers: a.header, Body: a.body}
}

// replay returns a stored answer.
func replay(c *claims.Answer, head bool) *answer {
	h := make(http.Header, len(c.Headers)+2)
	for k, v := range c.Headers {
		h[k] = v
	}
	h.Set(HeaderReplayed, "true")
	return &answer{status: c.Status, header: h, body: c.Body, length: int64(len(c.Body)), head: head}
}
